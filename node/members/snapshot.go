package members

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/member"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
)

const (
	// backlogInterval is how often this instance's own backlog is looked at and
	// the others' backlogs are published to readers.
	backlogInterval = 250 * time.Millisecond
)

// state is what the duty keeps beside the table.
type state struct {
	maturity time.Duration
	started  time.Time
	// version is the table's version at the last snapshot; stale is set when
	// something else changed; matures is when the next young member matures.
	version uint64
	stale   bool
	matures time.Time
	settled bool

	listed    []member.ListedInstance
	servers   map[string]time.Time
	leaving   map[string]bool
	keys      []string // rendezvous keys of the partitions
	owners    []string
	directors map[string]string
	known     map[string]string // models whose backlog was announced here
	backlogAt time.Time
	shownAt   time.Time
}

// snapshot is what readers see. It is never changed.
type snapshot struct {
	self      string
	settled   bool
	listed    bool // the platform's list was read
	view      *member.View
	byID      map[string]member.Member
	owners    []string
	directors map[string]string
	leaving   map[string]bool
	backlogs  map[string][]member.Backlog
}

// publish gives readers a new snapshot when there is something new.
func (m *Members) publish(now time.Time) {
	s, v := &m.state, m.table.Version()
	changed := v != s.version || s.stale || !s.matures.IsZero() && !now.Before(s.matures)
	if !s.settled && m.hasSettled(now) {
		s.settled, changed = true, true
	}
	old := m.snapshot.Load()
	if !changed && now.Sub(s.shownAt) < backlogInterval {
		return
	}
	next := *old
	s.shownAt = now
	next.backlogs = m.backlogs()
	if changed {
		s.version, s.stale = v, false
		m.prefer(&next, now)
	}
	m.snapshot.Store(&next)
	if changed {
		select {
		case m.changes <- struct{}{}:
		default:
		}
	}
}

// hasSettled reports whether the listed instances have answered, or have had
// time to. Before that a new instance would take partitions from owners of
// which it has not heard.
func (m *Members) hasSettled(now time.Time) bool {
	if now.Sub(m.state.started) >= settleTime {
		return true
	}
	for _, l := range m.state.listed {
		if e, ok := m.table.Member(l.ID); !ok || e.Status == member.Listed {
			return false
		}
	}
	return m.state.listed != nil
}

// prefer computes the preferred owners and directors. Those of the last
// snapshot stand for the owners in force.
func (m *Members) prefer(next *snapshot, now time.Time) {
	s := &m.state
	view := m.table.View()
	byID := make(map[string]member.Member, len(view.Members))
	s.matures = time.Time{}
	for i := range view.Members {
		e := &view.Members[i]
		// An instance that has just started hears of all others at about the same
		// time. Their incarnations, which are start times, tell it that they are
		// older, so that it does not take work from them at once.
		if began := time.UnixMilli(int64(e.Incarnation)); began.Before(e.LiveSince) && e.LiveSince.Sub(s.started) < s.maturity {
			e.LiveSince = began
		}
		if at := e.LiveSince.Add(s.maturity); now.Before(at) && (s.matures.IsZero() || at.Before(s.matures)) {
			s.matures = at
		}
		byID[e.ID] = *e
	}
	next.view, next.byID, next.settled, next.listed = view, byID, s.settled, s.listed != nil
	next.leaving = make(map[string]bool, len(s.leaving))
	for id := range s.leaving {
		next.leaving[id] = true
	}
	if !s.settled {
		return
	}
	next.owners = make([]string, len(s.owners))
	for p := range s.owners {
		s.owners[p] = view.PreferredOwner(s.keys[p], s.owners[p], now)
		next.owners[p] = s.owners[p]
	}
	next.directors = make(map[string]string, len(s.servers))
	for id := range s.servers {
		s.directors[id] = view.PreferredDirector(id, s.directors[id], now)
		next.directors[id] = s.directors[id]
	}
}

// backlogs returns the backlogs of all instances by model.
func (m *Members) backlogs() map[string][]member.Backlog {
	if m.opts.Models == nil {
		return nil
	}
	out := map[string][]member.Backlog{}
	for _, model := range m.opts.Models() {
		if list := m.table.Backlogs(model); len(list) > 0 {
			out[model] = list
		}
	}
	return out
}

// Preferred implements owner.Preference.
func (m *Members) Preferred(partition int) (instance string, self bool) {
	s := m.snapshot.Load()
	if partition < 0 || partition >= len(s.owners) {
		return "", false
	}
	instance = s.owners[partition]
	return instance, instance == s.self
}

// Address implements owner.Preference.
func (m *Members) Address(instance string) (string, bool) {
	e, ok := m.snapshot.Load().byID[instance]
	return e.Address, ok
}

// Alive implements owner.Preference. Before this instance has heard of the
// others everyone counts as alive.
func (m *Members) Alive(instance string) bool {
	s := m.snapshot.Load()
	_, ok := s.byID[instance]
	return ok || !s.settled
}

// Changes implements owner.Preference.
func (m *Members) Changes() <-chan struct{} { return m.changes }

// IsPreferred reports whether this instance is the preferred one for a task that one
// member does for all, named by key.
func (m *Members) IsPreferred(key string) bool {
	s := m.snapshot.Load()
	return s.settled && s.view.PreferredOwner(key, "", time.Now()) == s.self
}

// Settled reports whether the listed instances have answered or have had time to.
func (m *Members) Settled() bool { return m.snapshot.Load().settled }

// Directs reports whether this instance directs the batch work of a server.
func (m *Members) Directs(server string) bool {
	s := m.snapshot.Load()
	return s.settled && s.directors[server] == s.self
}

// DirectorOf returns the instance that directs the batch work of a server and
// the address of its peer listener; false when none is known.
func (m *Members) DirectorOf(server string) (instance, address string, ok bool) {
	s := m.snapshot.Load()
	e, ok := s.byID[s.directors[server]]
	return e.ID, e.Address, ok
}

// Servers returns the names of the listed servers; read is false before the
// platform's list was read.
func (m *Members) Servers() (ids []string, read bool) {
	s := m.snapshot.Load()
	for id := range s.directors {
		ids = append(ids, id)
	}
	return ids, s.listed
}

// ServerLeaving reports whether a server gets no new work.
func (m *Members) ServerLeaving(server string) bool { return m.snapshot.Load().leaving[server] }

// LeavingServers returns the servers with a leaving mark.
func (m *Members) LeavingServers() []string {
	return slices.Sorted(maps.Keys(m.snapshot.Load().leaving))
}

// Backlogs returns what the instances have pending for a model. The result is
// not changed afterwards.
func (m *Members) Backlogs(model string) []member.Backlog {
	return m.snapshot.Load().backlogs[model]
}

// Live returns the live members in order of their names. The result must not
// be changed.
func (m *Members) Live() []member.Member { return m.snapshot.Load().view.Members }

// StayingMembers returns the live members that do not leave, for subsets of servers.
func (m *Members) StayingMembers() []route.Member {
	live := m.Live()
	out := make([]route.Member, 0, len(live))
	for _, e := range live {
		if !e.Leaving {
			out = append(out, route.Member{ID: e.ID, Weight: int(max(1, e.Weight))})
		}
	}
	return out
}
