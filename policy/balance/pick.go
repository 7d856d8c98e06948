package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
)

// Query asks for a server.
type Query struct {
	Service string
	Class   Class
	// AtMostOnce is set for a request that may run at most once: it is kept away from
	// servers that fail.
	AtMostOnce bool
	// Tried holds the servers that have had the request.
	Tried map[string]bool
	// DataCentre is the data centre of the instance that asks; bytes between data centres
	// are priced.
	DataCentre string
	// CompleteView is set when the table shows all requests in flight, so that the best
	// server can be taken.
	CompleteView bool
	// Headroom is the number of slots that a batch request leaves free.
	Headroom int
	// Slack is the time for which a batch request can wait and still be done when it is
	// due; it is negative for one that will be late. Asker names the instance that asks,
	// so that the instance with the least slack gets the next free slot; without a name
	// the order of asking decides.
	Slack     time.Duration
	Requester string
}

// Choice is the chosen server with the figures that decided.
type Choice struct {
	Server *serving.Server
	// InFlight is the number of requests that are thought to be there, BatchInFlight the
	// batch ones among them.
	InFlight, BatchInFlight, Slots int
	// Preempt is set when the request needs the slot of a batch request.
	Preempt bool
	// QueuePosition is the number of online requests that are thought to wait there.
	QueuePosition int
}

// Weights of a score. The unit is a full server.
const (
	// otherCentre is about two of eight slots: a request stays in its data centre while
	// servers there have some slots more in use than others. On kme-confirm 0.3 moves a
	// fifth fewer bytes between data centres than 0.13, with as many requests in time.
	otherCentre = 0.3
	failureCost = 2.0
	// onceFailureCost keeps requests that cannot be repeated away from failing
	// servers.
	onceFailureCost = 6.0
	// preemptBase is above the score of nearly every server with a free slot: a batch
	// request yields only when no server has one.
	preemptBase = 1.6
	preemptCost = 0.3
	// queueCost is far above any score of a server with a free slot.
	queueCost = 3.0
	// batchFailureLimit is the failure rate from which batch requests, which can
	// wait, are not sent to a server.
	batchFailureLimit = 0.5
	// avoidFailures is the failure rate from which an instance asks for another server.
	avoidFailures = 0.35
	// onlinePace and batchPace are the exponents of the measured pace. Batch requests are
	// long, and on a slow server one may not be done when it is due, so that they get
	// the fast servers while there is a choice; online requests take whichever slots
	// are free.
	onlinePace = 0.25
	batchPace  = 1.0
	// wantFor is the time for which a batch request that found no slot keeps requests
	// with more slack from the next one: instances ask again every 40 ms.
	wantFor = 120 * time.Millisecond
	// slackMargin is the difference in slack that counts.
	slackMargin = 500 * time.Millisecond
	// draws is the number of candidates that are drawn; the best of them is taken.
	// Instances decide on figures that are up to an interval old, so that all of
	// them taking the best server would overload it.
	draws = 2
)

func exp2(x float64) float64 { return math.Exp2(x) }

type candidate struct {
	*serverState
	score float64
	tier  tier
}

// tier says what a request finds at a server.
type tier uint8

const (
	free     tier = iota // a free slot
	yielding             // the slot of a batch request
	queue                // a place in the queue
)

func (b *serverState) tier() tier {
	switch {
	case b.busy() < b.slots():
		return free
	case b.own[Online]+b.peers[Online] < b.slots():
		return yielding
	}
	return queue
}

// Pick returns the server for a request, or false when no server is registered or
// all of them are excluded.
func (t *Table) Pick(now time.Time, q Query) (Choice, bool) {
	usable, down := t.filter(now, q)
	if len(usable) == 0 {
		if q.Class == Batch || len(down) == 0 {
			return Choice{}, false
		}
		// Every server is thought to be lost: take the one that is due first.
		b := slices.MinFunc(down, func(a, b *serverState) int { return a.downUntil.Compare(b.downUntil) })
		return b.choice(), true
	}
	if q.Class == Batch && t.waitsLonger(now, q) {
		return Choice{}, false
	}
	mean := meanPace(usable)
	candidates := make([]candidate, 0, len(usable))
	for _, b := range usable {
		if q.Class == Batch && b.busy()+q.Headroom >= b.slots() {
			continue
		}
		candidates = append(candidates, candidate{b, t.score(now, b, q, mean), b.tier()})
	}
	if len(candidates) == 0 {
		t.want(now, q)
		return Choice{}, false
	}
	delete(t.wants, q.Requester)
	best := t.draw(candidates, q.CompleteView)
	if best.dead > 0 {
		best.trialUntil = now.Add(trialLimit)
	}
	return best.choice(), true
}

// want is a batch request that found no slot.
type want struct {
	service string
	slack   time.Duration
	at      time.Time
}

// want remembers a batch request that found no slot.
func (t *Table) want(now time.Time, q Query) {
	if q.Class == Batch && q.Requester != "" {
		t.wants[q.Requester] = want{q.Service, q.Slack, now}
	}
}

// waitsLonger reports whether another instance waits for a slot with less slack. The
// request is then remembered as well. Without this an instance whose item has just
// ended takes the slot at once, and the others never find one.
func (t *Table) waitsLonger(now time.Time, q Query) bool {
	if q.Requester == "" {
		return false
	}
	for asker, w := range t.wants {
		switch age := now.Sub(w.at); {
		case age > wantFor:
			delete(t.wants, asker)
		case asker != q.Requester && w.service == q.Service && w.slack-age < q.Slack-slackMargin:
			t.want(now, q)
			return true
		}
	}
	return false
}

// filter returns the servers that may take the request and those that are left out
// because they do not answer.
func (t *Table) filter(now time.Time, q Query) (usable, down []*serverState) {
	for _, b := range t.services[q.Service] {
		switch {
		case !b.server.Usable() || q.Tried[b.server.ID]:
		case b.lost(now, q):
			down = append(down, b)
		case q.Class == Batch && b.failureRate(now) > batchFailureLimit:
		default:
			usable = append(usable, b)
		}
	}
	return usable, down
}

// lost reports whether the server is thought not to answer. One that is due for a
// trial is not, unless the request can run only once or a trial is under way.
func (b *serverState) lost(now time.Time, q Query) bool {
	return b.dead > 0 && (now.Before(b.downUntil) || now.Before(b.trialUntil) || q.AtMostOnce)
}

func (b *serverState) choice() Choice {
	c := Choice{Server: b.server, InFlight: b.busy(), BatchInFlight: b.own[Batch] + b.peers[Batch], Slots: b.slots()}
	c.Preempt = c.InFlight >= c.Slots && c.BatchInFlight > 0
	c.QueuePosition = max(0, c.InFlight-c.BatchInFlight+1-c.Slots)
	return c
}

// score is the expected cost of a server; the least is best.
func (t *Table) score(now time.Time, b *serverState, q Query, mean time.Duration) float64 {
	slots, busy := float64(b.slots()), float64(b.busy())
	online := float64(b.own[Online] + b.peers[Online])
	pace := 1.0
	if b.pace > 0 && mean > 0 {
		exponent := onlinePace
		if q.Class == Batch {
			exponent = batchPace
		}
		pace = math.Pow(b.pace.Seconds()/mean.Seconds(), exponent)
	}
	var s float64
	switch b.tier() {
	case free:
		s = pace * (busy + 1) / slots
	case yielding:
		s = preemptBase + preemptCost*pace*(online+1)/slots
	default:
		s = preemptBase + preemptCost + queueCost*pace*(online+1-slots)/slots
	}
	cost := failureCost
	if q.AtMostOnce {
		cost = onceFailureCost
	}
	s += cost * b.failureRate(now)
	if q.DataCentre != "" && b.server.DataCentre != q.DataCentre {
		s += otherCentre
	}
	return s
}

// draw takes the best of a few candidates that are drawn at random.
func (t *Table) draw(list []candidate, exact bool) *serverState {
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	if exact {
		return list[0].serverState
	}
	// Servers that would make the request wait are no alternatives to those that
	// would not.
	n := len(list)
	for i, c := range list {
		if c.tier > list[0].tier || c.score > max(1, 1.5*list[0].score+0.1) {
			n = i
			break
		}
	}
	best := n - 1
	for range draws {
		best = min(best, t.random.IntN(n))
	}
	return list[best].serverState
}

func meanPace(list []*serverState) time.Duration {
	var sum time.Duration
	n := 0
	for _, b := range list {
		if b.pace > 0 {
			sum += b.pace
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// Capacity returns the free slots, the slots and the servers of a service, as far as
// servers answer.
func (t *Table) Capacity(now time.Time, service string) (free, slots, servers int) {
	for _, b := range t.services[service] {
		if !b.server.Usable() || b.dead > 0 && now.Before(b.downUntil) {
			continue
		}
		free += b.slots() - b.busy()
		slots += b.slots()
		servers++
	}
	return free, slots, servers
}

// AcceptPick returns the choice of a server that another instance has picked, or false
// when this instance does not know the server or does not use it.
func (t *Table) AcceptPick(now time.Time, server string, q Query) (Choice, bool) {
	b := t.servers[server]
	if b == nil || !b.server.Usable() || q.Tried[server] || b.dead > 0 && now.Before(b.downUntil) {
		return Choice{}, false
	}
	return b.choice(), true
}

// ServersToAvoid returns the servers of a service that this instance would not use for a
// request: those that were tried, that do not answer, or that fail.
func (t *Table) ServersToAvoid(now time.Time, q Query) []string {
	var ids []string
	for _, b := range t.services[q.Service] {
		if q.Tried[b.server.ID] || b.lost(now, q) || b.failureRate(now) > avoidFailures {
			ids = append(ids, b.server.ID)
		}
	}
	return ids
}

// PeerWithMostBatch returns a peer that has batch requests on a server, or "".
func (t *Table) PeerWithMostBatch(server string) string {
	best, most := "", 0
	for name, s := range t.peers {
		if n := s.loads[server].Counts[Batch]; n > most {
			best, most = name, n
		}
	}
	return best
}

// PreemptionCandidates returns the servers that have batch requests and more requests than
// slots.
func (t *Table) PreemptionCandidates() []string {
	var ids []string
	for id, b := range t.servers {
		if b.busy() > b.slots() && b.own[Batch]+b.peers[Batch] > 0 {
			ids = append(ids, id)
		}
	}
	return ids
}
