package member

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

// minRestartGapMs is the minimum difference of incarnations by which a restarted
// process is recognized: an incarnation starts as the start time in milliseconds and
// a refutation adds 1. A restarted process does not inherit the leaving mark.
const minRestartGapMs = 1000

// meanSuspectPingers is the mean number of members that ping a suspect directly
// before its timeout, in addition to the member that raised the suspicion.
const meanSuspectPingers = 10

// Table is one instance's view of the members. It is not safe for concurrent use.
type Table struct {
	cfg  Config
	rng  *rand.Rand
	self string
	// members holds all known instances, including this one.
	members map[string]*Member
	// liveIDs caches the sorted names of the live members; nil if outdated.
	liveIDs []string
	// probes holds the unanswered pings by sequence number; seq is the last number used.
	probes   map[uint64]*probe
	seq      uint64
	lastTick time.Time
	// nextProbe is the time of the next regular probe.
	nextProbe time.Time
	// suspicionDeadlines holds the time at which each suspect is declared dead,
	// nextSuspectPing the time of the next ping to the suspects that this member
	// pings itself.
	suspicionDeadlines map[string]time.Time
	nextSuspectPing    map[string]time.Time
	queue              updateQueue
	gossipLimiter      tokenBucket
	// gossipsDue is the number of messages to send to random members as soon as the
	// limiter allows, because of changes that are sent immediately.
	gossipsDue int
	// pendingJoins lists the newly listed instances that are not yet pinged.
	pendingJoins []string
	probeRounds  int
	// servers holds the leaving marks of the backend servers.
	servers  map[string]*serverMark
	backlogs map[backlogKey]*Backlog
	// ownBacklogs holds this instance's backlogs by model.
	ownBacklogs map[string]*ownBacklog
	// configRevision is the configuration revision that this instance holds.
	configRevision int64
	// selfListedLeavingSince is when the list began to show this instance as leaving;
	// zero if it does not.
	selfListedLeavingSince time.Time
	offsets                offsetCycle
	// version changes with every change that makes a View outdated.
	version  uint64
	counters Counters
}

// New returns the table of the instance self, which is alive as of now. incarnation
// is the start time of the process in milliseconds since the Unix epoch.
func New(cfg Config, self Info, incarnation uint64, now time.Time, rng *rand.Rand) *Table {
	t := &Table{
		cfg: cfg, rng: rng, self: self.ID,
		members:            map[string]*Member{},
		probes:             map[uint64]*probe{},
		suspicionDeadlines: map[string]time.Time{},
		nextSuspectPing:    map[string]time.Time{},
		servers:            map[string]*serverMark{},
		backlogs:           map[backlogKey]*Backlog{},
		ownBacklogs:        map[string]*ownBacklog{},
		lastTick:           now,
		gossipLimiter:      tokenBucket{rate: cfg.GossipPerSecond, burst: 2 * cfg.GossipPerSecond, tokens: 2 * cfg.GossipPerSecond, updatedAt: now},
	}
	t.members[self.ID] = &Member{Info: self, Status: Alive, Incarnation: incarnation, Since: now, LiveSince: now}
	t.nextProbe = t.nextProbeAfter(now)
	t.queueMember(t.members[self.ID], priorityJoin)
	return t
}

// Self returns this instance's own entry.
func (t *Table) Self() Member { return *t.members[t.self] }

// Member returns the entry of an instance and whether it is known.
func (t *Table) Member(id string) (Member, bool) {
	if m := t.members[id]; m != nil {
		return *m, true
	}
	return Member{}, false
}

// Counters returns the current values of the counters.
func (t *Table) Counters() Counters { return t.counters }

// Version changes with every change of a member's status, weight or leaving mark,
// after which the caller has to take a new View.
func (t *Table) Version() uint64 { return t.version }

// sortedLive returns the sorted names of the live members, including this one. The
// result must not be changed.
func (t *Table) sortedLive() []string {
	if t.liveIDs == nil {
		for id, m := range t.members {
			if m.Live() {
				t.liveIDs = append(t.liveIDs, id)
			}
		}
		sort.Strings(t.liveIDs)
	}
	return t.liveIDs
}

// liveChanged invalidates the cached names and, through Version, the views taken before.
func (t *Table) liveChanged() {
	t.liveIDs = nil
	t.version++
}

// suspicionTimeout returns the time from suspicion to death, which depends on the
// number of live members.
func (t *Table) suspicionTimeout() time.Duration {
	scale := math.Max(1, math.Log10(float64(len(t.sortedLive()))))
	return time.Duration(float64(t.cfg.SuspicionTimeout) * scale)
}

// Leave marks this instance as leaving. It is called at the start of a drain.
func (t *Table) Leave(now time.Time) []Action {
	m := t.members[t.self]
	if m.Leaving {
		return nil
	}
	return t.setMember(now, m, m.Status, m.Incarnation, true)
}

// Exit announces that this instance is dead. It is called at the end of a drain; the
// caller sends the returned pings before the process ends.
func (t *Table) Exit(now time.Time) []Action {
	m := t.members[t.self]
	m.Status = Dead
	t.queueMember(m, priorityMember)
	t.liveChanged()
	var out []Action
	for range 2 * t.cfg.GossipFanout {
		out = append(out, t.gossipToRandom(now)...)
	}
	return out
}

// setMember changes a member's entry, queues the new state for dissemination and
// returns the change.
func (t *Table) setMember(now time.Time, m *Member, status Status, incarnation uint64, leaving bool) []Action {
	before, wasLeaving, wasLive := m.Status, m.Leaving, m.Live()
	m.Status, m.Incarnation, m.Leaving = status, incarnation, leaving
	if before == status && wasLeaving == leaving {
		t.queueMember(m, priorityMember)
		return nil
	}
	t.liveChanged()
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
		t.removeBacklogs(m.ID)
	}
	if status == Suspect {
		t.counters.Suspected++
		t.startSuspicion(now, m)
	} else {
		delete(t.suspicionDeadlines, m.ID)
	}
	if status == Alive && before == Listed && !leaving {
		t.queueMember(m, priorityJoin)
	} else {
		t.queueMember(m, priorityMember)
		t.gossipsDue += t.cfg.GossipFanout
	}
	return []Action{MemberChanged{Member: *m, PreviousStatus: before, Leaving: leaving}}
}

// startSuspicion starts the timeout after which a suspect is declared dead. A few
// randomly chosen members ping the suspect directly before their timeout ends. The
// others wait 1.5 times as long for the result of these pings, because they may have
// missed a refutation.
func (t *Table) startSuspicion(now time.Time, m *Member) {
	timeout := t.suspicionTimeout()
	t.suspicionDeadlines[m.ID] = now.Add(timeout)
	if t.rng.IntN(len(t.sortedLive())) < meanSuspectPingers {
		t.nextSuspectPing[m.ID] = now.Add(timeout - t.cfg.DirectTimeout)
	} else {
		t.suspicionDeadlines[m.ID] = now.Add(timeout + timeout/2)
	}
}

// queueMember queues a member's state for dissemination.
func (t *Table) queueMember(m *Member, prio priority) {
	if m.Status == Listed {
		return
	}
	t.queue.put(prio, "m/"+m.ID, &peerpb.Update{Kind: &peerpb.Update_Member{Member: memberState(m)}})
}

func memberState(m *Member) *peerpb.MemberState {
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

// mergeMember applies a statement about a member and reports whether it was new.
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
	restarted := m.Status != Listed && s.Incarnation >= m.Incarnation+minRestartGapMs
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
			t.liveChanged()
		}
		m.Address, m.DataCentre, m.Weight = s.Address, s.DataCentre, s.Weight
	}
	if restarted && status == Alive {
		m.LiveSince = now
		t.liveChanged()
		t.removeBacklogs(m.ID)
	}
	if status == Suspect && m.Status == Suspect {
		t.startSuspicion(now, m)
	}
	return t.setMember(now, m, status, max(s.Incarnation, m.Incarnation), leaving), true
}

// mergeSelf applies a statement of another member about this instance: it refutes
// suspicion and death and accepts a leaving mark.
func (t *Table) mergeSelf(now time.Time, s *peerpb.MemberState) (out []Action, useful bool) {
	m := t.members[t.self]
	if s.Incarnation < m.Incarnation || m.Status == Dead {
		return nil, false
	}
	switch s.Status {
	case peerpb.MemberState_SUSPECT, peerpb.MemberState_DEAD:
		t.counters.Refuted++
		m.Incarnation = s.Incarnation + 1
		t.queueMember(m, priorityMember)
		t.gossipsDue += t.cfg.GossipFanout
		return nil, true
	case peerpb.MemberState_LEAVING:
		if !m.Leaving {
			return append(t.setMember(now, m, m.Status, m.Incarnation, true), MarkedLeaving{}), true
		}
	case peerpb.MemberState_ALIVE:
		if s.Incarnation > m.Incarnation {
			// The statement is about a previous process of this name whose clock
			// was ahead.
			m.Incarnation = s.Incarnation + 1
			t.queueMember(m, priorityMember)
			return nil, true
		}
	}
	return nil, false
}

// removeExpired removes the members that have been dead, or have been off the list
// without ever answering, for DeadRetention.
func (t *Table) removeExpired(now time.Time) {
	for id, m := range t.members {
		if (m.Status == Dead || m.Status == Listed) && id != t.self && now.Sub(m.Since) >= t.cfg.DeadRetention {
			delete(t.members, id)
		}
	}
}

// randomLive returns up to n other live members in random order.
func (t *Table) randomLive(n int, except string) []*Member {
	live := t.sortedLive()
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

// tokenBucket limits a rate per second with a token bucket.
type tokenBucket struct {
	rate, burst, tokens float64
	updatedAt           time.Time
}

func (b *tokenBucket) allow(now time.Time) bool {
	b.tokens = math.Min(b.burst, b.tokens+b.rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// sortedKeys returns the sorted keys of m, so that results do not depend on the
// iteration order of the map.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
