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
	// defaultSlots is taken for a server that does not state its slots.
	defaultSlots = 8
)

// backend is what the instance knows of one server.
type backend struct {
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
	trial     bool
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
	counts map[string]Counts
	grants []Grant
}

// Table is the view of one instance.
type Table struct {
	backends map[string]*backend
	services map[string][]*backend
	peers    map[string]*statement
	random   *rand.Rand
}

// NewTable returns an empty table.
func NewTable(random *rand.Rand) *Table {
	return &Table{
		backends: map[string]*backend{}, services: map[string][]*backend{}, peers: map[string]*statement{},
		random: random,
	}
}

// SetServers replaces the registered servers. What is known of a server stays,
// unless it has started again.
func (t *Table) SetServers(servers map[string]*serving.Server) {
	for id, b := range t.backends {
		s := servers[id]
		if s == nil || s.Started != b.server.Started || s.Address != b.server.Address {
			delete(t.backends, id)
		}
	}
	clear(t.services)
	for id, s := range servers {
		b := t.backends[id]
		if b == nil {
			b = &backend{}
			t.backends[id] = b
		}
		b.server, b.peers = s, Counts{}
		t.services[s.Service] = append(t.services[s.Service], b)
	}
	for _, s := range t.peers {
		t.add(s, 1)
	}
}

func (b *backend) slots() int {
	if b.server.Slots > 0 {
		return b.server.Slots
	}
	return defaultSlots
}

func (b *backend) busy() int { return b.own.total() + b.peers.total() }

// add adds a peer's statement to the sums of the servers, or takes it out with -1.
func (t *Table) add(s *statement, sign int) {
	for id, c := range s.counts {
		if b := t.backends[id]; b != nil {
			b.peers[Online] += sign * c[Online]
			b.peers[Batch] += sign * c[Batch]
		}
	}
	for _, g := range s.grants {
		if b := t.backends[g.Server]; b != nil {
			b.peers[g.Class] += sign
		}
	}
}

// Peer records what a peer has in flight by server. The statement shows the grants
// up to the sequence number seen.
func (t *Table) Peer(now time.Time, name string, counts map[string]Counts, seen uint64) {
	next := &statement{at: now, counts: counts}
	if old := t.peers[name]; old != nil {
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

// Grant records a place that is given to a peer.
func (t *Table) Grant(now time.Time, name string, g Grant) {
	s := t.peers[name]
	if s == nil {
		s = &statement{at: now}
		t.peers[name] = s
	}
	s.grants = append(s.grants, g)
	if b := t.backends[g.Server]; b != nil {
		b.peers[g.Class]++
	}
}

// Forget drops the statements of a peer that has left.
func (t *Table) Forget(name string) {
	if s := t.peers[name]; s != nil {
		t.add(s, -1)
		delete(t.peers, name)
	}
}

// Expire drops the statements of peers that have gone silent.
func (t *Table) Expire(now time.Time) {
	for name, s := range t.peers {
		if now.Sub(s.at) > peerLifetime {
			t.Forget(name)
		}
	}
}

// Total returns what is in flight by server, this instance's own included.
func (t *Table) Total() map[string]Counts {
	counts := map[string]Counts{}
	for id, b := range t.backends {
		if b.busy() > 0 {
			counts[id] = Counts{b.own[Online] + b.peers[Online], b.own[Batch] + b.peers[Batch]}
		}
	}
	return counts
}

// Paces returns the measured paces of the servers that this instance uses now.
func (t *Table) Paces() map[string]time.Duration {
	paces := map[string]time.Duration{}
	for id, b := range t.backends {
		if b.own.total() > 0 && b.pace > 0 {
			paces[id] = b.pace
		}
	}
	return paces
}

// Own returns what this instance has in flight, by server.
func (t *Table) Own() map[string]Counts {
	counts := map[string]Counts{}
	for id, b := range t.backends {
		if b.own.total() > 0 {
			counts[id] = b.own
		}
	}
	return counts
}

// BatchHolders returns the peers that state batch requests on a server.
func (t *Table) BatchHolders(server string) []string {
	var names []string
	for name, s := range t.peers {
		if s.counts[server][Batch] > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Started records a request that was sent to a server.
func (t *Table) Started(server string, class Class) {
	if b := t.backends[server]; b != nil {
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

// Ended records the end of a request.
func (t *Table) Ended(now time.Time, server string, class Class, outcome Outcome) {
	b := t.backends[server]
	if b == nil {
		return
	}
	b.own[class] = max(0, b.own[class]-1)
	switch outcome {
	case Answered:
		b.note(now, 0)
		b.dead, b.trial = 0, false
	case Failed:
		b.note(now, 1)
		b.trial = false
	case Unreachable:
		b.note(now, 1)
		b.trial = false
		b.dead++
		b.downUntil = now.Add(min(backoffMost, backoffFirst<<min(b.dead-1, 8)))
	default:
		b.trial = false
	}
}

// Answering records that a server has begun to answer, which shows that it lives.
func (t *Table) Answering(server string) {
	if b := t.backends[server]; b != nil {
		b.dead, b.trial = 0, false
	}
}

// Pace records the time of one step of an answer: the gap between two events, or
// the whole time of a plain answer.
func (t *Table) Pace(server string, step time.Duration) {
	b := t.backends[server]
	if b == nil {
		return
	}
	if b.pace == 0 {
		b.pace = step
		return
	}
	b.pace += time.Duration(paceShare * float64(step-b.pace))
}

func (b *backend) note(now time.Time, failed float64) {
	b.failures = b.failureRate(now)*(1-failShare) + failed*failShare
	b.failedAt = now
}

func (b *backend) failureRate(now time.Time) float64 {
	if b.failures == 0 {
		return 0
	}
	halves := now.Sub(b.failedAt).Seconds() / failHalfLife.Seconds()
	return b.failures * exp2(-halves)
}
