package balance

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/policy/pace"
	"github.com/jacinthnotch/jacinthnotch/policy/promptcache"
	"github.com/jacinthnotch/jacinthnotch/policy/ratelimit"
	"github.com/jacinthnotch/jacinthnotch/policy/servermemory"
)

// Class is the scheduling class of a request.
type Class uint8

// The classes. Batch requests can be preempted by online ones.
const (
	Online Class = iota
	Batch
	numClasses
)

// Counts are numbers of requests in flight by class.
type Counts [numClasses]int

// total returns the number over all classes.
func (c Counts) total() int { return c[Online] + c[Batch] }

const (
	// peerReportTTL is the age above which a peer's report is ignored: several times
	// the longest interval between reports.
	peerReportTTL = 2 * time.Second
	// failureSmoothing is the weight of one outcome in a server's failure rate, an
	// exponentially weighted moving average. failureHalfLife lets the rate decay while
	// the server gets no requests.
	failureSmoothing = 0.2
	failureHalfLife  = 2 * time.Second
	// stepTimeSmoothing is the weight of one measurement in a server's mean step time.
	stepTimeSmoothing = 0.1
	// initialBackoff and maxBackoff bound the time for which an unreachable server
	// gets no requests.
	initialBackoff = 400 * time.Millisecond
	maxBackoff     = 3 * time.Second
	// trialTimeout is the time after which another trial request may be sent even
	// if the outcome of the last one is not known.
	trialTimeout = time.Second
	// atMostOnceTrialDelay is the time after a backoff without a trial from which a request that must
	// not be repeated may be one. It doubles with each further failure, maxAtMostOnceDoublings times.
	atMostOnceTrialDelay   = 10 * time.Second
	maxAtMostOnceDoublings = 5
	// outcomeReportPeriod is the time for which changed outcome counts of a server that
	// fails or failed requests are included in this instance's reports.
	outcomeReportPeriod = 2 * time.Second
	// minFailureRate is the failure rate below which a server counts as sound.
	minFailureRate = 1e-3
	// medianInterval is the interval at which the median step time is computed anew.
	medianInterval = 100 * time.Millisecond
	// surplusGrace is the time for which a server must have had more requests in flight
	// than slots until a further batch request is preempted there. It exceeds the time in
	// which a preemption shows in the reports.
	surplusGrace = 200 * time.Millisecond
	// maxOutcomesPerReport bounds the failed and the answered requests of one report
	// that count towards a server's failure rate.
	maxOutcomesPerReport = 5
	// defaultSlots is assumed for a server that does not state its slots.
	defaultSlots = 8
)

// OutcomeCounts counts how an instance's requests to a server ended since the instance
// started.
type OutcomeCounts struct{ Answered, Failed uint32 }

// since returns the outcomes after earlier counts of the same instance. If a count has
// decreased, the instance was restarted and all outcomes are new.
func (c OutcomeCounts) since(earlier OutcomeCounts) OutcomeCounts {
	if c.Answered < earlier.Answered || c.Failed < earlier.Failed {
		return c
	}
	return OutcomeCounts{c.Answered - earlier.Answered, c.Failed - earlier.Failed}
}

// Load is what an instance reports about one server.
type Load struct {
	Counts
	OutcomeCounts
	// StepTime is the mean time of one step of an answer; zero if none was measured.
	StepTime time.Duration
}

// serverState is what this instance knows about one server.
type serverState struct {
	server *serving.Server
	// own and peers count the requests in flight of this instance and of its peers.
	own   Counts
	peers Counts
	// failureEWMA is the moving average of failed requests as of failureUpdatedAt.
	failureEWMA      float64
	failureUpdatedAt time.Time
	// consecutiveUnreachable counts the Unreachable outcomes since the server last
	// answered. The server gets no requests until backoffUntil, and after that one
	// trial request at a time.
	consecutiveUnreachable int
	backoffUntil           time.Time
	// trialUntil is the time until which a trial request counts as in progress.
	trialUntil time.Time
	// outcomes counts how this instance's own requests ended; it last changed at
	// outcomesAt.
	outcomes   OutcomeCounts
	outcomesAt time.Time
	// stepTime is the moving average of the time of one step of an answer; zero before
	// the first measurement.
	stepTime time.Duration
	// rate holds the latest statement of the server's rate limit, and stated the latest one to
	// this instance.
	rate   ratelimit.Bucket
	stated ratelimit.Statement
	// starts counts the requests that this instance sent to the server.
	starts uint32
	// surplusSince is when the server was first seen with more requests in flight than
	// slots, zero while it has not; preemptedAt is the time of the last preemption there.
	surplusSince, preemptedAt time.Time
	// kept is what the server keeps of prompts; nil if nothing. hash is the hash of its ID, and
	// recent the sum of the weights of the requests with a prompt that were placed there.
	kept   *promptcache.Server
	hash   uint32
	recent float64
	// memory is what the requests on the server hold; nil if none is known.
	memory *servermemory.Server
	// pace is what the server stated of itself, and unusualReportedAt the time of the last
	// statement that this instance reported, zero if that was the usual pace.
	pace              pace.State
	unusualReportedAt time.Time
	// unknown is the number of requests that only the server knows of.
	unknown int
}

// serviceState is the group of servers of one service.
type serviceState struct {
	servers []*serverState
	// medianStep is the median of the known step times of the servers, as of medianAt.
	medianStep time.Duration
	medianAt   time.Time
	stepTimes  []time.Duration // the buffer of medianStepTime
}

// medianStepTime returns the median step time of the servers that have one; zero if none
// has. Unlike the mean, it does not grow with the step times of a few very slow servers.
func (g *serviceState) medianStepTime(now time.Time) time.Duration {
	if age := now.Sub(g.medianAt); !g.medianAt.IsZero() && age >= 0 && age < medianInterval {
		return g.medianStep
	}
	g.stepTimes = g.stepTimes[:0]
	for _, s := range g.servers {
		if s.stepTime > 0 {
			g.stepTimes = append(g.stepTimes, s.stepTime)
		}
	}
	slices.Sort(g.stepTimes)
	g.medianStep, g.medianAt = 0, now
	if n := len(g.stepTimes); n > 0 {
		g.medianStep = g.stepTimes[n/2]
	}
	return g.medianStep
}

// LoadVersion identifies a state of this instance's own load.
type LoadVersion struct {
	// Changes counts all changes of the requests in flight, and Ends those that a hub
	// that grants the slots does not know of: ends, and starts without a grant.
	Changes, Ends uint64
}

// Grant is a slot that was granted to a peer and that the peer's reports may not
// include yet.
type Grant struct {
	// Sequence is the peer's number of the request for a slot.
	Sequence uint64
	Server   string
	Class    Class
	// Incarnation is that of the peer's process; zero if the peer does not state it.
	Incarnation uint32
	// at is the time of the grant.
	at time.Time
}

// peerReport is the load that a peer reported last, and what it was granted since.
type peerReport struct {
	receivedAt time.Time
	// incarnation is that of the peer's process; zero if it is not known.
	incarnation uint32
	loads       map[string]Load
	// included is the sequence number up to which the loads include the peer's grants.
	included uint64
	grants   []Grant
}

// Table is one instance's view of the servers and of the load on them.
type Table struct {
	servers  map[string]*serverState
	services map[string]*serviceState
	// active holds the servers on which this instance has requests in flight or whose
	// outcome counts it still reports.
	active  map[string]*serverState
	version LoadVersion
	peers   map[string]*peerReport
	// peerStarts holds what peers have reported of requests to servers with a rate limit.
	peerStarts map[string]*peerStarts
	// batchWaits holds, by requesting instance, the batch requests that recently
	// found no free slot.
	batchWaits map[string]batchWait
	// urgentWaits is the buffer of findUrgentWaits.
	urgentWaits []batchWait
	// unreportedPaces holds the servers with a statement for TakePaces.
	unreportedPaces map[string]*serverState
	// demands holds the demand by service, on a hub.
	demands map[string]*serviceDemand
	random  *rand.Rand
	// candidates is the buffer of Pick.
	candidates []candidate
	// prompts holds the prompt caches by service, for those whose capacity is known.
	prompts map[string]*prompts
}

// NewTable returns an empty table.
func NewTable(random *rand.Rand) *Table {
	return &Table{
		servers: map[string]*serverState{}, services: map[string]*serviceState{}, active: map[string]*serverState{},
		peers: map[string]*peerReport{}, peerStarts: map[string]*peerStarts{}, batchWaits: map[string]batchWait{}, random: random,
		unreportedPaces: map[string]*serverState{}, demands: map[string]*serviceDemand{},
	}
}

// SetServers replaces the registered servers. The state of a server is kept unless the
// server was restarted or its address has changed.
func (t *Table) SetServers(now time.Time, servers map[string]*serving.Server) {
	for id, s := range t.servers {
		server := servers[id]
		if server == nil || server.Started != s.server.Started || server.Address != s.server.Address {
			t.recordStop(now, s)
			delete(t.servers, id)
			delete(t.active, id)
			delete(t.unreportedPaces, id)
		} else if server.Version != s.server.Version || server.Service != s.server.Service {
			s.forgetPrompts()
		}
	}
	clear(t.services)
	// A draw from a service's servers depends on their order.
	for _, id := range slices.Sorted(maps.Keys(servers)) {
		s, server := t.servers[id], servers[id]
		if s == nil {
			s = &serverState{hash: hashOf(id)}
			t.servers[id] = s
		}
		group := t.services[server.Service]
		if group == nil {
			group = &serviceState{}
			t.services[server.Service] = group
		}
		s.server, s.peers = server, Counts{}
		group.servers = append(group.servers, s)
	}
	t.startRecent()
	for _, r := range t.peers {
		t.applyReport(r, 1)
	}
}

// Usable reports whether a server is registered and takes new requests.
func (t *Table) Usable(server string) bool {
	s := t.servers[server]
	return s != nil && s.server.Usable()
}

func (s *serverState) slots() int {
	if s.server.Slots > 0 {
		return s.server.Slots
	}
	return defaultSlots
}

func (s *serverState) inFlight() int { return s.own.total() + s.peers.total() }

// applyReport adds a peer's report to the counts of the servers, or subtracts it when
// sign is -1.
func (t *Table) applyReport(r *peerReport, sign int) {
	for id, l := range r.loads {
		if s := t.servers[id]; s != nil {
			s.peers[Online] += sign * l.Counts[Online]
			s.peers[Batch] += sign * l.Counts[Batch]
		}
	}
	for _, g := range r.grants {
		if s := t.servers[g.Server]; s != nil {
			s.peers[g.Class] += sign
		}
	}
}

// UpdatePeer replaces a peer's report with its loads by server. The loads include the
// grants to the process with that incarnation up to the sequence number seen; later grants are kept
// beside them for grantTTL. A report that a later one of the same process has overtaken is ignored.
func (t *Table) UpdatePeer(now time.Time, name string, incarnation uint32, loads map[string]Load, seen uint64) {
	t.ObserveProcess(name, incarnation)
	if old := t.peers[name]; old != nil && incarnation != 0 && seen < old.included && now.Sub(old.receivedAt) < grantTTL {
		return
	}
	next := &peerReport{receivedAt: now, incarnation: incarnation, loads: loads, included: seen}
	if old := t.peers[name]; old != nil {
		t.recordPeerObservations(now, old.loads, next)
		t.applyReport(old, -1)
		for _, g := range old.grants {
			if g.Sequence > seen && now.Sub(g.at) < grantTTL {
				next.grants = append(next.grants, g)
			}
		}
	}
	t.peers[name] = next
	t.applyReport(next, 1)
}

// recordPeerObservations records the outcomes since the peer's last report and the step
// times that it measured. Outcome counts of servers that the new report leaves out are
// carried over to it, as the base for later reports.
func (t *Table) recordPeerObservations(now time.Time, old map[string]Load, next *peerReport) {
	for id, l := range next.loads {
		s := t.servers[id]
		if s == nil {
			continue
		}
		since := l.OutcomeCounts.since(old[id].OutcomeCounts)
		if since.Failed > 0 {
			s.recordBroken(now)
		}
		for range min(since.Failed, maxOutcomesPerReport) {
			s.recordOutcome(now, 1)
		}
		for range min(since.Answered, maxOutcomesPerReport) {
			s.recordOutcome(now, 0)
		}
		if since.Answered > 0 {
			s.markReachable()
		}
		if l.StepTime > 0 {
			s.recordStepTime(l.StepTime)
		}
	}
	for id, l := range old {
		if _, reported := next.loads[id]; !reported && l.OutcomeCounts != (OutcomeCounts{}) {
			next.loads[id] = Load{OutcomeCounts: l.OutcomeCounts}
		}
	}
}

// IsIncluded reports whether the loads that a peer reported include the request with a
// sequence number. The peer has given up a request that arrives later than such a report.
func (t *Table) IsIncluded(name string, sequence uint64) bool {
	r := t.peers[name]
	return r != nil && sequence <= r.included
}

// Grant records a slot that is granted to a peer.
func (t *Table) Grant(now time.Time, name string, g Grant) {
	r := t.peers[name]
	if r == nil {
		r = &peerReport{receivedAt: now, incarnation: g.Incarnation}
		t.peers[name] = r
	}
	g.at = now
	r.grants = append(r.grants, g)
	t.recordRateGrant(name, g)
	if s := t.servers[g.Server]; s != nil {
		s.peers[g.Class]++
	}
}

// RemovePeer drops the report and the grants of a peer.
func (t *Table) RemovePeer(name string) {
	if r := t.peers[name]; r != nil {
		t.applyReport(r, -1)
		delete(t.peers, name)
		delete(t.peerStarts, name)
	}
}

// ExpirePeers removes the peers whose reports are too old.
func (t *Table) ExpirePeers(now time.Time) {
	for name, r := range t.peers {
		if now.Sub(r.receivedAt) > peerReportTTL {
			t.RemovePeer(name)
		}
	}
}

// TotalLoad returns the requests in flight by server, of this instance and its peers.
func (t *Table) TotalLoad() map[string]Load {
	loads := map[string]Load{}
	for id, s := range t.servers {
		if s.inFlight() > 0 {
			loads[id] = Load{Counts: Counts{s.own[Online] + s.peers[Online], s.own[Batch] + s.peers[Batch]}}
		}
	}
	return loads
}

// OwnLoad returns what this instance reports to its peers, about the servers on which it
// has requests in flight and those that fail requests and whose outcome counts changed
// recently.
func (t *Table) OwnLoad(now time.Time) map[string]Load {
	loads := make(map[string]Load, len(t.active))
	for id, s := range t.active {
		switch {
		case s.own.total() > 0 || s.isSuspect(now) && now.Sub(s.outcomesAt) < outcomeReportPeriod:
			loads[id] = Load{Counts: s.own, OutcomeCounts: s.outcomes, StepTime: s.stepTime}
		case now.Sub(s.outcomesAt) >= outcomeReportPeriod:
			delete(t.active, id)
		}
	}
	return loads
}

// isSuspect reports whether the server failed requests recently, so that other instances
// need to know how requests to it end.
func (s *serverState) isSuspect(now time.Time) bool {
	return s.consecutiveUnreachable > 0 || s.failureRate(now) > 0
}

// LoadVersion returns the version of the own load, which changes with the requests in
// flight.
func (t *Table) LoadVersion() LoadVersion { return t.version }

// RequestStarted records a request that was sent to a server.
func (t *Table) RequestStarted(server string, class Class) {
	if t.servers[server] != nil {
		t.version.Ends++
		t.RequestGranted(server, class)
	}
}

// RequestGranted records a request that was sent to a server on a slot that a hub granted
// and counts itself.
func (t *Table) RequestGranted(server string, class Class) {
	if s := t.servers[server]; s != nil {
		s.own[class]++
		s.starts++
		t.active[server] = s
		t.version.Changes++
	}
}

// Outcome says how a request ended.
type Outcome uint8

// The outcomes.
const (
	// Answered: the server answered in full. An error status that is due to the request
	// counts as an answer.
	Answered Outcome = iota
	// Refused: the server stated that it did not run the request.
	Refused
	// Failed: the server answered with an error of its own, or its answer was cut off.
	Failed
	// Unreachable: no connection could be opened, or the server did not respond.
	Unreachable
	// Abandoned: the request was given up for a reason unrelated to the server.
	Abandoned
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"answered", "refused", "failed", "unreachable", "abandoned"}[o]
}

// RequestEnded records the end of a request of this instance.
func (t *Table) RequestEnded(now time.Time, server string, class Class, outcome Outcome) {
	s := t.servers[server]
	if s == nil {
		return
	}
	withinSlots := s.inFlight() <= s.slots()
	if outcome == Failed || outcome == Unreachable {
		s.recordBroken(now)
	}
	s.pace.RequestEnded()
	s.own[class] = max(0, s.own[class]-1)
	t.active[server] = s
	t.version.Changes++
	t.version.Ends++
	s.trialUntil = time.Time{}
	switch outcome {
	case Answered:
		s.recordOwnOutcome(now, 0)
		s.markReachable()
	case Failed:
		s.recordOwnOutcome(now, 1)
	case Refused:
		// A server that refuses requests while it has free slots is as bad a choice as
		// one that fails them; a refusal by a full server is no fault.
		if withinSlots {
			s.recordOwnOutcome(now, 1)
		}
	case Unreachable:
		s.recordOwnOutcome(now, 1)
		s.consecutiveUnreachable++
		s.backoffUntil = now.Add(min(maxBackoff, initialBackoff<<min(s.consecutiveUnreachable-1, 8)))
	}
}

// recordOwnOutcome records the outcome of a request of this instance; failed is 1 for a
// failure and 0 otherwise.
func (s *serverState) recordOwnOutcome(now time.Time, failed float64) {
	s.recordOutcome(now, failed)
	s.outcomesAt = now
	if failed > 0 {
		s.outcomes.Failed++
	} else {
		s.outcomes.Answered++
	}
}

// markReachable ends the backoff of a server that answers.
func (s *serverState) markReachable() { s.consecutiveUnreachable, s.trialUntil = 0, time.Time{} }

// ResponseStarted records that a server has begun to answer, which shows that it is
// reachable.
func (t *Table) ResponseStarted(server string) {
	if s := t.servers[server]; s != nil {
		s.markReachable()
	}
}

// RecordStepTime records the time of one step of an answer: the gap between two events,
// or the whole time of an answer that is not streamed.
func (t *Table) RecordStepTime(server string, step time.Duration) {
	if s := t.servers[server]; s != nil {
		s.recordStepTime(step)
	}
}

func (s *serverState) recordStepTime(step time.Duration) {
	if s.stepTime == 0 {
		s.stepTime = step
		return
	}
	s.stepTime += time.Duration(stepTimeSmoothing * float64(step-s.stepTime))
}

func (s *serverState) recordOutcome(now time.Time, failed float64) {
	s.failureEWMA = s.failureRate(now)*(1-failureSmoothing) + failed*failureSmoothing
	s.failureUpdatedAt = now
}

// failureRate returns the moving average of failed requests, decayed to the present.
func (s *serverState) failureRate(now time.Time) float64 {
	if s.failureEWMA == 0 {
		return 0
	}
	halfLives := now.Sub(s.failureUpdatedAt).Seconds() / failureHalfLife.Seconds()
	rate := s.failureEWMA * exp2(-halfLives)
	if rate < minFailureRate {
		return 0
	}
	return rate
}
