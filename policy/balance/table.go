package balance

import (
	"math/rand/v2"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
)

// Class is the class of a request in flight.
type Class uint8

// The classes. Batch requests yield to online ones.
const (
	Online Class = iota
	Batch
	classes
)

// Counts are numbers of requests in flight by class.
type Counts [classes]int

// total returns the number over all classes.
func (c Counts) total() int { return c[Online] + c[Batch] }

const (
	// peerLifetime is the age from which a peer's statement is ignored: several of the
	// longest intervals between statements.
	peerLifetime = 2 * time.Second
	// failShare is the weight of one outcome in a server's failure rate, and
	// failHalfLife lets the rate fall when nothing is sent to the server.
	failShare    = 0.2
	failHalfLife = 2 * time.Second
	// paceShare is the weight of one measured pace.
	paceShare = 0.1
	// backoffFirst and backoffMost bound the time for which a server that does not
	// answer gets nothing.
	backoffFirst = 400 * time.Millisecond
	backoffMost  = 3 * time.Second
	// trialLimit is the time after which the next trial may begin.
	trialLimit = time.Second
	// tallyFor is the time for which a changed tally is stated.
	tallyFor = 2 * time.Second
	// tallyMost bounds the outcomes of one statement that move a failure rate.
	tallyMost = 5
	// defaultSlots is taken for a server that does not state its slots.
	defaultSlots = 8
)

// OutcomeCounts counts how requests to a server ended since the start of an instance.
type OutcomeCounts struct{ Answered, Failed uint32 }

// since returns the outcomes after an earlier tally of the same instance; all of them
// when the instance has started again.
func (t OutcomeCounts) since(old OutcomeCounts) OutcomeCounts {
	if t.Answered < old.Answered || t.Failed < old.Failed {
		return t
	}
	return OutcomeCounts{t.Answered - old.Answered, t.Failed - old.Failed}
}

// Load is what an instance states of one server.
type Load struct {
	Counts
	OutcomeCounts
	// StepTime is the measured pace; zero when there is none.
	StepTime time.Duration
}

// serverState is what the instance knows of one server.
type serverState struct {
	server *serving.Server
	own    Counts
	peers  Counts
	// failures is a moving share of failed requests, as of failedAt.
	failures float64
	failedAt time.Time
	// dead counts the failures in a row that look like a lost server; until
	// downUntil it gets nothing, after that one trial at a time.
	dead      int
	downUntil time.Time
	// trialUntil is the end of a trial that is under way.
	trialUntil time.Time
	// tally counts how this instance's own requests ended, as of tallied.
	tally   OutcomeCounts
	tallied time.Time
	// pace is the moving mean time of one step of its answers; zero before any.
	pace time.Duration
}

// Grant is a place that was given to a peer and that its statements may not show yet.
type Grant struct {
	// Sequence numbers the peer's questions.
	Sequence uint64
	Server   string
	Class    Class
}

// statement is what a peer has in flight, as it stated it, and what it was granted
// since.
type statement struct {
	at     time.Time
	loads  map[string]Load
	grants []Grant
}

// Table is the view of one instance.
type Table struct {
	servers  map[string]*serverState
	services map[string][]*serverState
	peers    map[string]*statement
	// wants holds, by asking instance, the batch requests that found no slot lately.
	wants  map[string]want
	random *rand.Rand
}

// NewTable returns an empty table.
func NewTable(random *rand.Rand) *Table {
	return &Table{
		servers: map[string]*serverState{}, services: map[string][]*serverState{}, peers: map[string]*statement{},
		wants: map[string]want{}, random: random,
	}
}

// SetServers replaces the registered servers. What is known of a server stays,
// unless it has started again.
func (t *Table) SetServers(servers map[string]*serving.Server) {
	for id, b := range t.servers {
		s := servers[id]
		if s == nil || s.Started != b.server.Started || s.Address != b.server.Address {
			delete(t.servers, id)
		}
	}
	clear(t.services)
	for id, s := range servers {
		b := t.servers[id]
		if b == nil {
			b = &serverState{}
			t.servers[id] = b
		}
		b.server, b.peers = s, Counts{}
		t.services[s.Service] = append(t.services[s.Service], b)
	}
	for _, s := range t.peers {
		t.add(s, 1)
	}
}

func (b *serverState) slots() int {
	if b.server.Slots > 0 {
		return b.server.Slots
	}
	return defaultSlots
}

func (b *serverState) busy() int { return b.own.total() + b.peers.total() }

// add adds a peer's statement to the sums of the servers, or takes it out with -1.
func (t *Table) add(s *statement, sign int) {
	for id, c := range s.loads {
		if b := t.servers[id]; b != nil {
			b.peers[Online] += sign * c.Counts[Online]
			b.peers[Batch] += sign * c.Counts[Batch]
		}
	}
	for _, g := range s.grants {
		if b := t.servers[g.Server]; b != nil {
			b.peers[g.Class] += sign
		}
	}
}

// UpdatePeer records what a peer states by server. The statement shows the grants up to the
// sequence number seen.
func (t *Table) UpdatePeer(now time.Time, name string, loads map[string]Load, seen uint64) {
	next := &statement{at: now, loads: loads}
	if old := t.peers[name]; old != nil {
		t.learn(now, old.loads, next)
		t.add(old, -1)
		for _, g := range old.grants {
			if g.Sequence > seen {
				next.grants = append(next.grants, g)
			}
		}
	}
	t.peers[name] = next
	t.add(next, 1)
}

// learn takes what the peer's requests since its last statement show of the servers.
// The tallies of servers that the peer does not name are carried over.
func (t *Table) learn(now time.Time, old map[string]Load, next *statement) {
	for id, l := range next.loads {
		b := t.servers[id]
		if b == nil {
			continue
		}
		since := l.OutcomeCounts.since(old[id].OutcomeCounts)
		for range min(since.Failed, tallyMost) {
			b.note(now, 1)
		}
		for range min(since.Answered, tallyMost) {
			b.note(now, 0)
		}
		if since.Answered > 0 {
			b.alive()
		}
		if l.StepTime > 0 {
			b.paced(l.StepTime)
		}
	}
	for id, l := range old {
		if _, named := next.loads[id]; !named && l.OutcomeCounts != (OutcomeCounts{}) {
			next.loads[id] = Load{OutcomeCounts: l.OutcomeCounts}
		}
	}
}

// Grant records a place that is given to a peer.
func (t *Table) Grant(now time.Time, name string, g Grant) {
	s := t.peers[name]
	if s == nil {
		s = &statement{at: now}
		t.peers[name] = s
	}
	s.grants = append(s.grants, g)
	if b := t.servers[g.Server]; b != nil {
		b.peers[g.Class]++
	}
}

// RemovePeer drops the statements of a peer that has left.
func (t *Table) RemovePeer(name string) {
	if s := t.peers[name]; s != nil {
		t.add(s, -1)
		delete(t.peers, name)
	}
}

// ExpirePeers drops the statements of peers that have gone silent.
func (t *Table) ExpirePeers(now time.Time) {
	for name, s := range t.peers {
		if now.Sub(s.at) > peerLifetime {
			t.RemovePeer(name)
		}
	}
}

// TotalLoad returns what is in flight by server, this instance's own included.
func (t *Table) TotalLoad() map[string]Load {
	loads := map[string]Load{}
	for id, b := range t.servers {
		if b.busy() > 0 {
			loads[id] = Load{Counts: Counts{b.own[Online] + b.peers[Online], b.own[Batch] + b.peers[Batch]}}
		}
	}
	return loads
}

// OwnLoad returns what this instance states: what it has in flight, and how its requests
// ended where that has changed lately.
func (t *Table) OwnLoad(now time.Time) map[string]Load {
	loads := map[string]Load{}
	for id, b := range t.servers {
		if b.own.total() > 0 || now.Sub(b.tallied) < tallyFor {
			loads[id] = Load{Counts: b.own, OutcomeCounts: b.tally, StepTime: b.pace}
		}
	}
	return loads
}

// RequestStarted records a request that was sent to a server.
func (t *Table) RequestStarted(server string, class Class) {
	if b := t.servers[server]; b != nil {
		b.own[class]++
	}
}

// Outcome says how a request ended.
type Outcome uint8

// The outcomes.
const (
	// Answered: the server answered, whatever the status.
	Answered Outcome = iota
	// Refused: the server stated that it did not run the request.
	Refused
	// Failed: the server answered with an error or its answer broke off.
	Failed
	// Unreachable: no connection could be opened, or the server was silent.
	Unreachable
	// Abandoned: the request was given up for a reason that says nothing about the
	// server.
	Abandoned
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"answered", "refused", "failed", "unreachable", "abandoned"}[o]
}

// RequestEnded records the end of a request.
func (t *Table) RequestEnded(now time.Time, server string, class Class, outcome Outcome) {
	b := t.servers[server]
	if b == nil {
		return
	}
	shed := b.busy() <= b.slots()
	b.own[class] = max(0, b.own[class]-1)
	b.trialUntil = time.Time{}
	switch outcome {
	case Answered:
		b.ended(now, 0)
		b.alive()
	case Failed:
		b.ended(now, 1)
	case Refused:
		// A server that refuses work while it has free slots serves as badly as one
		// that fails.
		if shed {
			b.ended(now, 1)
		}
	case Unreachable:
		b.ended(now, 1)
		b.dead++
		b.downUntil = now.Add(min(backoffMost, backoffFirst<<min(b.dead-1, 8)))
	}
}

// ended records how one of this instance's own requests ended.
func (b *serverState) ended(now time.Time, failed float64) {
	b.note(now, failed)
	b.tallied = now
	if failed > 0 {
		b.tally.Failed++
	} else {
		b.tally.Answered++
	}
}

// alive records that a server answers.
func (b *serverState) alive() { b.dead, b.trialUntil = 0, time.Time{} }

// ResponseStarted records that a server has begun to answer, which shows that it lives.
func (t *Table) ResponseStarted(server string) {
	if b := t.servers[server]; b != nil {
		b.alive()
	}
}

// RecordStepTime records the time of one step of an answer: the gap between two events, or
// the whole time of a plain answer.
func (t *Table) RecordStepTime(server string, step time.Duration) {
	if b := t.servers[server]; b != nil {
		b.paced(step)
	}
}

func (b *serverState) paced(step time.Duration) {
	if b.pace == 0 {
		b.pace = step
		return
	}
	b.pace += time.Duration(paceShare * float64(step-b.pace))
}

func (b *serverState) note(now time.Time, failed float64) {
	b.failures = b.failureRate(now)*(1-failShare) + failed*failShare
	b.failedAt = now
}

func (b *serverState) failureRate(now time.Time) float64 {
	if b.failures == 0 {
		return 0
	}
	halves := now.Sub(b.failedAt).Seconds() / failHalfLife.Seconds()
	return b.failures * exp2(-halves)
}
