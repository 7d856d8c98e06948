package member

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

// processGap is the least difference between the incarnations of two processes
// of one name: incarnations begin with the start time in milliseconds and a
// refutation adds one. A new process does not inherit the leaving mark.
const processGap = 1000

// verifiers is the mean number of members that ping a suspect themselves, the
// accuser aside.
const verifiers = 10

// Table is one instance's view of the members. It is used by one goroutine.
type Table struct {
	cfg  Config
	rng  *rand.Rand
	self string
	// members holds every known instance, this one included.
	members map[string]*Member
	// order lists the live members sorted by name; nil when it must be rebuilt.
	order    []string
	probes   map[uint64]*probe
	seq      uint64
	lastTick time.Time
	nextTurn time.Time
	// suspects holds the deadline of each suspicion, accused the time of the next
	// ping to a member whose suspicion began here.
	suspects map[string]time.Time
	accused  map[string]time.Time
	queue    queue
	gossip   bucket
	urgent   int
	// joins lists instances to be pinged at the next ticks.
	joins    []string
	turns    int
	servers  map[string]*server
	backlogs map[backlogKey]*Backlog
	own      map[string]*ownBacklog
	head     int64
	// selfListed is when the list began to call this instance leaving.
	selfListed time.Time
	cycle      cycle
	version    uint64
	counters   Counters
}

// New returns the table of the instance self, which is live from now on.
// incarnation is its start time in milliseconds since the Unix epoch.
func New(cfg Config, self Info, incarnation uint64, now time.Time, rng *rand.Rand) *Table {
	t := &Table{
		cfg: cfg, rng: rng, self: self.ID,
		members:  map[string]*Member{},
		probes:   map[uint64]*probe{},
		suspects: map[string]time.Time{},
		accused:  map[string]time.Time{},
		servers:  map[string]*server{},
		backlogs: map[backlogKey]*Backlog{},
		own:      map[string]*ownBacklog{},
		lastTick: now,
		gossip:   bucket{rate: cfg.GossipPerSecond, burst: 2 * cfg.GossipPerSecond, level: 2 * cfg.GossipPerSecond, at: now},
	}
	t.members[self.ID] = &Member{Info: self, Status: Alive, Incarnation: incarnation, Since: now, LiveSince: now}
	t.nextTurn = t.turnAfter(now)
	t.announce(t.members[self.ID], classJoin)
	return t
}

// Self returns this instance's own entry.
func (t *Table) Self() Member { return *t.members[t.self] }

// Member returns the entry of an instance.
func (t *Table) Member(id string) (Member, bool) {
	if m := t.members[id]; m != nil {
		return *m, true
	}
	return Member{}, false
}

// Counters returns what the table has met.
func (t *Table) Counters() Counters { return t.counters }

// Version changes with every change of a member's status, weight or leaving
// mark; the caller takes a new View when it does.
func (t *Table) Version() uint64 { return t.version }

// live returns the names of the live members in order, this one included.
func (t *Table) live() []string {
	if t.order == nil {
		for id, m := range t.members {
			if m.Live() {
				t.order = append(t.order, id)
			}
		}
		sort.Strings(t.order)
	}
	return t.order
}

func (t *Table) changed() {
	t.order = nil
	t.version++
}

// suspicionTimeout is the time from suspicion to death.
func (t *Table) suspicionTimeout() time.Duration {
	scale := math.Max(1, math.Log10(float64(len(t.live()))))
	return time.Duration(float64(t.cfg.SuspicionTimeout) * scale)
}

// Leave marks this instance as leaving, at the start of a drain.
func (t *Table) Leave(now time.Time) []Action {
	m := t.members[t.self]
	if m.Leaving {
		return nil
	}
	return t.set(now, m, m.Status, m.Incarnation, true)
}

// Exit announces this instance's death at the end of a drain. The caller sends
// the returned pings before the process ends.
func (t *Table) Exit(now time.Time) []Action {
	m := t.members[t.self]
	m.Status = Dead
	t.announce(m, classMember)
	t.changed()
	var out []Action
	for range 2 * t.cfg.GossipFanout {
		out = append(out, t.gossipTo(now)...)
	}
	return out
}

// set changes a member's entry, announces the change and reports it.
func (t *Table) set(now time.Time, m *Member, status Status, incarnation uint64, leaving bool) []Action {
	before, wasLeaving, wasLive := m.Status, m.Leaving, m.Live()
	m.Status, m.Incarnation, m.Leaving = status, incarnation, leaving
	if before == status && wasLeaving == leaving {
		t.announce(m, classMember)
		return nil
	}
	t.changed()
	if before != status {
		m.Since = now
	}
	switch {
	case m.Live() && !wasLive:
		m.LiveSince = now
		if before == Dead {
			t.counters.Recovered++
		}
	case status == Dead && before != Dead:
		t.counters.Died++
		t.dropBacklogs(m.ID)
	}
	if status == Suspect {
		t.counters.Suspected++
		t.suspect(now, m)
	} else {
		delete(t.suspects, m.ID)
	}
	if status == Alive && before == Listed && !leaving {
		t.announce(m, classJoin)
	} else {
		t.announce(m, classMember)
		t.urgent += t.cfg.GossipFanout
	}
	return []Action{MemberChanged{Member: *m, PreviousStatus: before, Leaving: leaving}}
}

// suspect starts a suspicion's timeout. A few members ping the suspect
// themselves before they declare it dead; the others leave that to them for half
// as long again, because a refutation may have missed them.
func (t *Table) suspect(now time.Time, m *Member) {
	timeout := t.suspicionTimeout()
	t.suspects[m.ID] = now.Add(timeout)
	if t.rng.IntN(len(t.live())) < verifiers {
		t.accused[m.ID] = now.Add(timeout - t.cfg.DirectTimeout)
	} else {
		t.suspects[m.ID] = now.Add(timeout + timeout/2)
	}
}

// announce queues a member's state for dissemination.
func (t *Table) announce(m *Member, c class) {
	if m.Status == Listed {
		return
	}
	t.queue.put(c, "m/"+m.ID, &peerpb.Update{Kind: &peerpb.Update_Member{Member: state(m)}})
}

func state(m *Member) *peerpb.MemberState {
	s := &peerpb.MemberState{
		Instance: m.ID, Address: m.Address, DataCentre: m.DataCentre,
		Incarnation: m.Incarnation, Weight: m.Weight,
	}
	switch {
	case m.Status == Dead:
		s.Status = peerpb.MemberState_DEAD
	case m.Status == Suspect:
		s.Status = peerpb.MemberState_SUSPECT
	case m.Leaving:
		s.Status = peerpb.MemberState_LEAVING
	}
	return s
}

// mergeMember applies a statement about a member.
func (t *Table) mergeMember(now time.Time, s *peerpb.MemberState) (out []Action, useful bool) {
	if s.Instance == t.self {
		return t.mergeSelf(now, s)
	}
	m := t.members[s.Instance]
	if m == nil {
		m = &Member{Info: Info{ID: s.Instance}, Status: Listed, Since: now}
		t.members[s.Instance] = m
	}
	newer := s.Incarnation > m.Incarnation || m.Status == Listed
	restarted := m.Status != Listed && s.Incarnation >= m.Incarnation+processGap
	status, leaving := m.Status, m.Leaving
	switch s.Status {
	case peerpb.MemberState_ALIVE, peerpb.MemberState_LEAVING:
		switch {
		case newer:
			leaving = leaving && !restarted
			status = Alive
		case s.Incarnation < m.Incarnation || m.Status == Dead:
			return nil, false
		}
		leaving = leaving || s.Status == peerpb.MemberState_LEAVING
	case peerpb.MemberState_SUSPECT:
		if m.Status == Dead && !newer || m.Status == Suspect && !newer || s.Incarnation < m.Incarnation {
			return nil, false
		}
		status = Suspect
	case peerpb.MemberState_DEAD:
		if s.Incarnation < m.Incarnation || m.Status == Dead && !newer {
			return nil, false
		}
		status = Dead
	default:
		return nil, false
	}
	if status == m.Status && leaving == m.Leaving && s.Incarnation == m.Incarnation {
		return nil, false
	}
	if newer || m.Address == "" {
		if m.Weight != s.Weight {
			t.changed()
		}
		m.Address, m.DataCentre, m.Weight = s.Address, s.DataCentre, s.Weight
	}
	if restarted && status == Alive {
		m.LiveSince = now
		t.changed()
		t.dropBacklogs(m.ID)
	}
	if status == Suspect && m.Status == Suspect {
		t.suspect(now, m)
	}
	return t.set(now, m, status, max(s.Incarnation, m.Incarnation), leaving), true
}

// mergeSelf refutes what others say about this instance.
func (t *Table) mergeSelf(now time.Time, s *peerpb.MemberState) (out []Action, useful bool) {
	m := t.members[t.self]
	if s.Incarnation < m.Incarnation || m.Status == Dead {
		return nil, false
	}
	switch s.Status {
	case peerpb.MemberState_SUSPECT, peerpb.MemberState_DEAD:
		t.counters.Refuted++
		m.Incarnation = s.Incarnation + 1
		t.announce(m, classMember)
		t.urgent += t.cfg.GossipFanout
		return nil, true
	case peerpb.MemberState_LEAVING:
		if !m.Leaving {
			return append(t.set(now, m, m.Status, m.Incarnation, true), MarkedLeaving{}), true
		}
	case peerpb.MemberState_ALIVE:
		if s.Incarnation > m.Incarnation {
			// An earlier process of this name had a faster clock.
			m.Incarnation = s.Incarnation + 1
			t.announce(m, classMember)
			return nil, true
		}
	}
	return nil, false
}

// forget removes members that have been dead or silent for long.
func (t *Table) forget(now time.Time) {
	for id, m := range t.members {
		if (m.Status == Dead || m.Status == Listed) && id != t.self && now.Sub(m.Since) >= t.cfg.DeadRetention {
			delete(t.members, id)
		}
	}
}

// randomLive returns up to n other live members in random order.
func (t *Table) randomLive(n int, except string) []*Member {
	live := t.live()
	var out []*Member
	for _, i := range t.rng.Perm(len(live)) {
		if len(out) >= n {
			break
		}
		if id := live[i]; id != t.self && id != except {
			out = append(out, t.members[id])
		}
	}
	return out
}

// bucket is a token bucket.
type bucket struct {
	rate, burst, level float64
	at                 time.Time
}

func (b *bucket) take(now time.Time) bool {
	b.level = math.Min(b.burst, b.level+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// sortedKeys returns the keys of m in order, so that a run does not depend on
// the order of the map.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
