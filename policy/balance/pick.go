package balance

import (
	"math"
	"slices"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
)

// Query describes the request for which a server is picked.
type Query struct {
	Service string
	Class   Class
	// AtMostOnce is set for a request that must not be repeated: it is kept away from
	// servers that fail.
	AtMostOnce bool
	// Tried holds the servers that the request was already sent to.
	Tried map[string]bool
	// RequireVersion is set for a request that goes on with the output of a server, which only
	// servers with the same Version of the software can do.
	RequireVersion bool
	Version        string
	// DataCentre is the data centre of the instance that asks. Servers in others cost
	// more, because traffic between data centres is charged for.
	DataCentre string
	// CompleteView is set when the table counts the requests in flight of all
	// instances, so that the server with the lowest score can be taken.
	CompleteView bool
	// Instances is the number of live instances. Without a complete view each of them uses
	// its share of the rate limits of servers.
	Instances int
	// Left is the time until the request's deadline, and RunTime the time that a request
	// takes on a server of median speed; zero if not known. Batch requests state RunTime alone.
	Left, RunTime time.Duration
	// Headroom is the number of slots that a batch request leaves free on a server. Of the
	// servers that have no more slots than that, it leaves a share free over the whole service.
	Headroom int
	// Slack is the time for which a batch request can wait and still be done when it is
	// due; it is negative for one that a server of mean speed would finish late. Requester
	// names the instance that asks. The requester with the least slack gets the next free
	// slot; a request without a requester takes any free slot at once.
	Slack     time.Duration
	Requester string
	// Waiting is the number of batch requests that wait at the requester, this one included.
	Waiting int
	// Workspace is the name of the caller's workspace, empty for none, and Priority the priority
	// class; 0 is the most urgent.
	Workspace string
	Priority  int
	// Charged is set for a request that counts in the workspace's quota already, or not at all.
	Charged bool
	// Prompt holds the segments of the prompt in order. The last one is the request's or its
	// session's own.
	Prompt []PromptSegment
	// PromptTokens is the length of the prompt and OutputTokens the maximum length of the
	// output; zero if not stated.
	PromptTokens, OutputTokens int64
	// Bytes is the size of the body.
	Bytes int64
	// Objective is the latency objective of a request that may be rejected as over its share;
	// zero if it may not, because a server may have run it.
	Objective time.Duration
	// Repeated is set for a request that was sent to a server before.
	Repeated bool
}

// Rejection is why a request gets no server now.
type Rejection struct {
	Reason Reason
	// RetryAfter is the time after which the request is likely to be taken; zero if not known.
	RetryAfter time.Duration
}

// Reason is the reason of a Rejection.
type Reason uint8

// The reasons.
const (
	// NoServer: no server is eligible, or a batch request has to wait for a slot.
	NoServer Reason = iota
	// OverQuota: the workspace has used up its quota.
	OverQuota
	// OverShare: there is too little room, and the workspace has more than its share of it.
	OverShare
)

// String returns the reason's name in logs and metrics.
func (r Reason) String() string {
	return [...]string{"no server", "over quota", "over share"}[min(r, OverShare)]
}

// Choice is the chosen server and its load when it was chosen.
type Choice struct {
	Server *serving.Server
	// InFlight is the known number of requests on the server, BatchInFlight the number
	// of batch requests among them.
	InFlight, BatchInFlight, Slots int
	// Preempt is set when the request needs the slot of a batch request.
	Preempt bool
	// QueuePosition is the request's place in the server's queue of online requests; it
	// is 0 when the request gets a free slot or that of a batch request.
	QueuePosition int
}

// The terms of a score. A score of 1 is that of a server of mean speed on which the request
// would take the last free slot.
const (
	// crossDataCentreCost is about two of eight slots: a request stays in its data centre
	// until servers there have about that many more slots in use than others. A cost of
	// 0.3 moves a fifth fewer bytes between data centres than 0.13, with as many requests
	// in time.
	crossDataCentreCost = 0.3
	// failureCost and atMostOnceFailureCost are the costs of a failure rate of 1. The
	// second keeps requests that must not be repeated away from failing servers.
	failureCost           = 2.0
	atMostOnceFailureCost = 6.0
	// preemptionBaseCost is above the score of nearly every server with a free slot: a
	// batch request is preempted only when no server has one. preemptionLoadCost makes
	// the servers with the fewest online requests the first choice then.
	preemptionBaseCost = 1.6
	preemptionLoadCost = 0.3
	// queueLoadCost is far above any score of a server with a free slot.
	queueLoadCost = 3.0
	// maxBatchFailureRate is the failure rate above which a server gets no batch
	// requests, since these can wait for another server.
	maxBatchFailureRate = 0.5
	// avoidFailureRate is the failure rate above which an instance asks the hub for
	// another server.
	avoidFailureRate = 0.35
	// muchSlowerRatio is the ratio of a server's step time to the median above which online
	// requests avoid it in proportion to the ratio, and rootOfMuchSlower its fourth root. The
	// servers of a fleet differ by less.
	muchSlowerRatio  = 2.0
	rootOfMuchSlower = 1.189207
	// riskyShare and hopelessShare are the shares of the time left until the deadline above
	// which a request's expected time on a server is a risk, or too long.
	riskyShare    = 0.4
	hopelessShare = 0.8
	// batchWaitTTL is the time for which a batch request that found no slot has priority
	// over requests with more slack: instances ask again every 40 ms.
	batchWaitTTL = 120 * time.Millisecond
	// smallServerShare is the share of the slots of servers with no more slots than the headroom
	// that batch requests leave free, as many as of a server with eight slots and one that is free.
	smallServerShare = 1.0 / 8
	// slackMargin is the difference up to which two slacks count as equal.
	slackMargin = 500 * time.Millisecond
	// sampleSize is the number of candidates that are drawn at random; the best of them
	// is taken. Instances decide on reports that are up to one interval old. If all of
	// them took the server that looks best, they would overload it.
	sampleSize = 2
)

func exp2(x float64) float64 { return math.Exp2(x) }

// candidate is a server that may get the request, with its expected cost.
type candidate struct {
	*serverState
	score float64
	tier  tier
}

// better reports whether c is the better choice. Servers of equal score are ordered by
// their recent requests with a prompt and then by their IDs, so that the choice does not depend
// on the order of the list.
func (c candidate) better(other candidate) bool {
	if c.score != other.score {
		return c.score < other.score
	}
	return c.recent < other.recent || c.recent == other.recent && c.server.ID < other.server.ID
}

// tier says what a request gets at a server.
type tier uint8

const (
	tierFree    tier = iota // a free slot
	tierPreempt             // the slot of a batch request
	tierQueue               // a place in the queue
)

func (s *serverState) tier() tier {
	switch {
	case s.load() < s.slots():
		return tierFree
	case s.own[Online]+s.peers[Online]+s.unknown < s.slots():
		return tierPreempt
	}
	return tierQueue
}

// Pick returns the server for a request. It returns false when no server is eligible,
// or when a batch request has to wait.
func (t *Table) Pick(now time.Time, q Query) (Choice, bool) {
	t.observeDemand(now, &q)
	if t.HoldsBack(now, &q) {
		t.demands[q.Service].held++
		return Choice{}, false
	}
	candidates, unreachable := t.evaluate(now, q)
	if len(candidates) == 0 {
		if q.Class == Batch {
			t.recordBatchWait(now, q)
			return Choice{}, false
		}
		if unreachable == nil {
			return Choice{}, false
		}
		unreachable.takeRate(now, q)
		return unreachable.choice(), true
	}
	delete(t.batchWaits, q.Requester)
	best := t.selectCandidate(candidates, &q)
	best.takeRate(now, q)
	t.recordPlacement(now, best, &q)
	t.recordBatchStart(now, &q)
	best.startTrial(now)
	return best.choice(), true
}

// startTrial records that a request is sent to the server, as a trial if it seemed unreachable.
func (s *serverState) startTrial(now time.Time) {
	if s.consecutiveUnreachable > 0 {
		s.trialUntil = now.Add(trialTimeout)
	}
}

// evaluate returns the servers that may get the request with their scores, in a buffer that
// the next call reuses. If none may, unreachable is the one among the servers that seem
// unreachable whose backoff ends first.
func (t *Table) evaluate(now time.Time, q Query) (candidates []candidate, unreachable *serverState) {
	group := t.services[q.Service]
	if group == nil {
		return nil, nil
	}
	median := group.medianStepTime(now)
	candidates = t.candidates[:0]
	t.findUrgentWaits(now, &q)
	smallServersFull := q.Class == Batch && group.smallServersFull(now, q.Headroom)
	memory, kept, meanRecent := t.prompts[q.Service], t.lookUpPrompt(&q), 0.0
	if kept != nil {
		meanRecent = group.meanRecent()
	}
	for _, s := range group.servers {
		s.updateUnknown(now, &q)
		switch {
		case !s.eligible(&q):
		case !t.rateAllows(now, s, q):
		case s.unreachableFor(now, q):
			if unreachable == nil || s.backoffUntil.Before(unreachable.backoffUntil) {
				unreachable = s
			}
		case q.Class == Batch && (!s.hasBatchSlot(q.Headroom, smallServersFull) || s.failureRate(now) > maxBatchFailureRate || t.isReserved(s)):
		default:
			tier := s.tier()
			score := s.score(now, q, tier, median) - s.keptBenefit(kept, &q, meanRecent)
			if room := memory.room(now, s, &q); room != fits {
				if room == overflows && q.Class == Batch {
					continue
				}
				score += overflowCost
			}
			candidates = append(candidates, candidate{s, score, tier})
		}
	}
	t.candidates = candidates
	return candidates, unreachable
}

// hasBatchSlot reports whether a batch request may take a slot of the server.
func (s *serverState) hasBatchSlot(headroom int, smallServersFull bool) bool {
	if s.slots() > headroom {
		return s.load()+headroom < s.slots()
	}
	return s.load() < s.slots() && !smallServersFull
}

// smallServersFull reports whether no batch request may take a slot of the servers that have no
// more slots than the headroom. One of them alone takes batch requests, since an online request
// can preempt them.
func (g *serviceState) smallServersFull(now time.Time, headroom int) bool {
	free, slots := 0, 0
	for _, s := range g.servers {
		if s.slots() > headroom || !s.server.Usable() || s.consecutiveUnreachable > 0 && now.Before(s.backoffUntil) {
			continue
		}
		free += max(0, s.slots()-s.inFlight())
		slots += s.slots()
	}
	reserve := int(math.Ceil(smallServerShare * float64(slots)))
	return free <= min(reserve, slots-1)
}

// batchWait is a batch request that found no free slot.
type batchWait struct {
	service string
	slack   time.Duration
	since   time.Time
	// excluded holds the servers that cannot take the request.
	excluded map[string]bool
	// version is the version of the servers that can, if requireVersion is set.
	requireVersion bool
	version        string
}

// recordBatchWait records a batch request that found no free slot.
func (t *Table) recordBatchWait(now time.Time, q Query) {
	if q.Class == Batch && q.Requester != "" {
		t.batchWaits[q.Requester] = batchWait{q.Service, q.Slack, now, q.Tried, q.RequireVersion, q.Version}
	}
}

// findUrgentWaits finds the batch requests of other instances that wait for a slot with less
// slack, in a buffer that the next call reuses. Without them an instance whose item has just
// ended would take the slot at once, and the others would never get one.
func (t *Table) findUrgentWaits(now time.Time, q *Query) {
	t.urgentWaits = t.urgentWaits[:0]
	if q.Class != Batch || q.Requester == "" {
		return
	}
	for requester, w := range t.batchWaits {
		switch age := now.Sub(w.since); {
		case age > batchWaitTTL:
			delete(t.batchWaits, requester)
		case requester != q.Requester && w.service == q.Service && w.slack-age < q.Slack-slackMargin:
			t.urgentWaits = append(t.urgentWaits, w)
		}
	}
}

// isReserved reports whether a more urgent batch request waits for a slot of the server.
func (t *Table) isReserved(s *serverState) bool {
	return slices.ContainsFunc(t.urgentWaits, func(w batchWait) bool {
		return !w.excluded[s.server.ID] && (!w.requireVersion || w.version == s.server.Version)
	})
}

// eligible reports whether a request may go to the server at all.
func (s *serverState) eligible(q *Query) bool {
	return s.server.Usable() && !q.Tried[s.server.ID] && (!q.RequireVersion || s.server.Version == q.Version)
}

// HasEligible reports whether there is a server to which a request may go, however loaded.
func (t *Table) HasEligible(q Query) bool {
	group := t.services[q.Service]
	return group != nil && slices.ContainsFunc(group.servers, func(s *serverState) bool { return s.eligible(&q) })
}

// Versions returns the versions of the software of the registered servers of a service.
func (t *Table) Versions(service string) []string {
	group := t.services[service]
	if group == nil {
		return nil
	}
	var versions []string
	for _, s := range group.servers {
		if !slices.Contains(versions, s.server.Version) {
			versions = append(versions, s.server.Version)
		}
	}
	return versions
}

// unreachableFor reports whether the server counts as unreachable for a request. A
// server whose backoff is over gets one trial request at a time, which is one that may be
// repeated unless no such request has come for a while.
func (s *serverState) unreachableFor(now time.Time, q Query) bool {
	if s.consecutiveUnreachable == 0 {
		return false
	}
	until := s.backoffUntil
	if s.trialUntil.After(until) {
		until = s.trialUntil
	}
	if q.AtMostOnce {
		until = until.Add(atMostOnceTrialDelay << min(s.consecutiveUnreachable-1, maxAtMostOnceDoublings))
	}
	return now.Before(until)
}

func (s *serverState) choice() Choice {
	c := Choice{Server: s.server, InFlight: s.inFlight(), BatchInFlight: s.own[Batch] + s.peers[Batch], Slots: s.slots()}
	c.Preempt = c.InFlight >= c.Slots && c.BatchInFlight > 0
	c.QueuePosition = max(0, c.InFlight-c.BatchInFlight+1-c.Slots)
	return c
}

// slowness returns the step time relative to the median, weighted for the class of the
// request; it is 1 for a server of median speed. Batch requests are long, and on a slow
// server one may miss its due time, so that they get the fast servers while there is a
// choice. Online requests take whichever slots are free, and the fourth root of the ratio
// counts; but servers that are much slower than the others get few of them.
func slowness(class Class, ratio float64) float64 {
	if class == Batch {
		return ratio
	}
	root := math.Sqrt(math.Sqrt(ratio))
	if ratio <= muchSlowerRatio {
		return root
	}
	return ratio * rootOfMuchSlower / muchSlowerRatio
}

// deadlineCost returns the cost of the risk that a request is not done by its deadline on a
// server whose step time has the given ratio to the median.
func (q *Query) deadlineCost(ratio float64) float64 {
	if q.Left <= 0 || q.RunTime <= 0 {
		return 0
	}
	switch share := ratio * float64(q.RunTime) / float64(q.Left); {
	case share > hopelessShare:
		return preemptionBaseCost + queueLoadCost
	case share > riskyShare:
		return preemptionBaseCost
	}
	return 0
}

// score returns the expected cost of a server; the server with the lowest is best.
func (s *serverState) score(now time.Time, q Query, tier tier, median time.Duration) float64 {
	slots, inFlight := float64(s.slots()), float64(s.load())
	online := float64(s.own[Online] + s.peers[Online] + s.unknown)
	ratio := 1.0
	if s.stepTime > 0 && median > 0 {
		ratio = float64(s.stepTime) / float64(median)
	}
	slowdown := s.slowdown(now, q.Class)
	slowness := slowness(q.Class, ratio)
	var score float64
	switch tier {
	case tierFree:
		score = slowness * (inFlight + 1) / slots
	case tierPreempt:
		score = preemptionBaseCost + preemptionLoadCost*slowness*(online+1)/slots
	default:
		score = preemptionBaseCost + preemptionLoadCost + queueLoadCost*slowness*(online+1-slots)/slots
	}
	score += slowdownCost(slowdown) + q.deadlineCost(ratio*slowdown)
	if rate := s.failureRate(now); rate > 0 {
		perFailure := failureCost
		if q.AtMostOnce {
			perFailure = atMostOnceFailureCost
		}
		score += perFailure * rate
	}
	if q.DataCentre != "" && s.server.DataCentre != q.DataCentre {
		score += crossDataCentreCost
	}
	return score
}

// selectCandidate returns the best candidate if the view is complete, and otherwise the
// best of a few that are drawn at random, or a home of the request's prompt.
func (t *Table) selectCandidate(list []candidate, q *Query) *serverState {
	best := list[0]
	for _, c := range list[1:] {
		if c.better(best) {
			best = c
		}
	}
	if q.CompleteView {
		return best.serverState
	}
	// Candidates of a worse tier than the best one, or with a much higher score, are not
	// drawn.
	n := 0
	for _, c := range list {
		if c.tier <= best.tier && c.score <= max(1, 1.5*best.score+0.1) {
			list[n] = c
			n++
		}
	}
	drawn := list[t.random.IntN(n)]
	for range sampleSize - 1 {
		if c := list[t.random.IntN(n)]; c.better(drawn) {
			drawn = c
		}
	}
	return t.preferHome(list[:n], drawn, q).serverState
}

// Capacity returns the numbers of free slots, slots and servers of a service, without
// the servers that drain or are in backoff.
func (t *Table) Capacity(now time.Time, service string) (free, slots, servers int) {
	group := t.services[service]
	if group == nil {
		return 0, 0, 0
	}
	for _, s := range group.servers {
		if !s.server.Usable() || s.consecutiveUnreachable > 0 && now.Before(s.backoffUntil) {
			continue
		}
		free += s.slots() - s.inFlight()
		slots += s.slots()
		servers++
	}
	return free, slots, servers
}

// AcceptPick returns the choice of a server that a hub picked for this instance. It
// returns false when this instance does not know the server or would not use it, or knows it as one of
// another service.
func (t *Table) AcceptPick(now time.Time, server string, q Query) (Choice, bool) {
	s := t.servers[server]
	if s == nil || s.server.Service != q.Service || !s.eligible(&q) || s.consecutiveUnreachable > 0 && now.Before(s.backoffUntil) {
		return Choice{}, false
	}
	s.startTrial(now)
	return s.choice(), true
}

// ServersToAvoid returns the servers of a service that this instance would not use for
// a request: those that are leaving, already tried, of another version than required,
// unreachable, or with a high failure rate.
func (t *Table) ServersToAvoid(now time.Time, q Query) []string {
	group := t.services[q.Service]
	if group == nil {
		return nil
	}
	var ids []string
	for _, s := range group.servers {
		if !s.eligible(&q) || s.unreachableFor(now, q) || s.failureRate(now) > avoidFailureRate {
			ids = append(ids, s.server.ID)
		}
	}
	return ids
}

// PeerWithMostBatch returns the peer that reports the most batch requests on a server,
// or "" when none reports any.
func (t *Table) PeerWithMostBatch(server string) string {
	best, most := "", 0
	for name, r := range t.peers {
		if n := r.loads[server].Counts[Batch]; n > most {
			best, most = name, n
		}
	}
	return best
}

// RecordPreemption records that a batch request on a server was told to stop.
func (t *Table) RecordPreemption(now time.Time, server string) {
	if s := t.servers[server]; s != nil {
		s.preemptedAt = now
	}
}

// PreemptionCandidates returns the servers that have had more requests in flight than
// slots for surplusGrace, batch requests among them, and on which nothing was preempted
// within that time. It must be called repeatedly, at intervals below surplusGrace.
func (t *Table) PreemptionCandidates(now time.Time) []string {
	var ids []string
	for id, s := range t.servers {
		if s.inFlight() <= s.slots() || s.own[Batch]+s.peers[Batch] == 0 {
			s.surplusSince = time.Time{}
			continue
		}
		if s.surplusSince.IsZero() {
			s.surplusSince = now
		}
		if now.Sub(s.surplusSince) >= surplusGrace && now.Sub(s.preemptedAt) >= surplusGrace {
			ids = append(ids, id)
		}
	}
	return ids
}
