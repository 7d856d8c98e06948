package members

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/member"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
)

const (
	// backlogInterval is how often this instance's backlog is passed to the table and
	// the other members' backlogs are published in a snapshot.
	backlogInterval = 250 * time.Millisecond
)

// state is the state of the event loop in addition to the table.
type state struct {
	minLiveTime time.Duration
	startedAt   time.Time
	// tableVersion is the table's version at the last snapshot. stale is set when
	// something else that a snapshot depends on has changed. nextMaturityAt is when the
	// next new member will have been live for minLiveTime.
	tableVersion   uint64
	stale          bool
	nextMaturityAt time.Time
	settled        bool

	listedInstances []member.ListedInstance
	serversListedAt map[string]time.Time // when each server was last listed
	leaving         map[string]bool      // servers with a leaving mark
	partitionKeys   []string             // rendezvous hashing keys of the partitions
	owners          []string             // preferred owners by partition
	directors       map[string]string    // preferred directors by server
	announcedModels map[string]string    // models whose backlog was passed to the table
	announcedAt     time.Time
	publishedAt     time.Time
}

// snapshot is the view that readers use. It is immutable.
type snapshot struct {
	self        string
	settled     bool
	listWasRead bool // the platform's list was read
	view        *member.View
	byID        map[string]member.Member
	owners      []string
	directors   map[string]string
	leaving     map[string]bool
	backlogs    map[string][]member.Backlog
}

// publish stores a new snapshot if the members or preferences may have changed, or if
// the backlogs are due to be published.
func (m *Members) publish(now time.Time) {
	s, v := &m.state, m.table.Version()
	changed := v != s.tableVersion || s.stale || !s.nextMaturityAt.IsZero() && !now.Before(s.nextMaturityAt)
	if !s.settled && m.hasSettled(now) {
		s.settled, changed = true, true
	}
	old := m.snapshot.Load()
	if !changed && now.Sub(s.publishedAt) < backlogInterval {
		return
	}
	next := *old
	s.publishedAt = now
	next.backlogs = m.backlogs()
	if changed {
		s.tableVersion, s.stale = v, false
		m.updatePreferences(&next, now)
	}
	m.snapshot.Store(&next)
	if changed {
		select {
		case m.changes <- struct{}{}:
		default:
		}
	}
}

// hasSettled reports whether all listed instances have answered or maxSettleTime has
// passed. Before that, a new instance would claim partitions of owners that it does not
// know yet.
func (m *Members) hasSettled(now time.Time) bool {
	if now.Sub(m.state.startedAt) >= maxSettleTime {
		return true
	}
	for _, l := range m.state.listedInstances {
		if known, ok := m.table.Member(l.ID); !ok || known.Status == member.Listed {
			return false
		}
	}
	return m.state.listedInstances != nil
}

// updatePreferences computes the preferred owners and directors. It takes those of the
// last snapshot as the current ones.
func (m *Members) updatePreferences(next *snapshot, now time.Time) {
	s := &m.state
	view := m.table.View()
	byID := make(map[string]member.Member, len(view.Members))
	s.nextMaturityAt = time.Time{}
	for i := range view.Members {
		inst := &view.Members[i]
		// An instance that has just started learns of all others at about the same
		// time. Their incarnations, which are start times, show that they are older, so
		// that it does not take work from them immediately.
		if started := time.UnixMilli(int64(inst.Incarnation)); started.Before(inst.LiveSince) && inst.LiveSince.Sub(s.startedAt) < s.minLiveTime {
			inst.LiveSince = started
		}
		if at := inst.LiveSince.Add(s.minLiveTime); now.Before(at) && (s.nextMaturityAt.IsZero() || at.Before(s.nextMaturityAt)) {
			s.nextMaturityAt = at
		}
		byID[inst.ID] = *inst
	}
	next.view, next.byID, next.settled, next.listWasRead = view, byID, s.settled, s.listedInstances != nil
	next.leaving = make(map[string]bool, len(s.leaving))
	for id := range s.leaving {
		next.leaving[id] = true
	}
	if !s.settled {
		return
	}
	next.owners = make([]string, len(s.owners))
	for p := range s.owners {
		s.owners[p] = view.PreferredOwner(s.partitionKeys[p], s.owners[p], now)
		next.owners[p] = s.owners[p]
	}
	next.directors = make(map[string]string, len(s.serversListedAt))
	for id := range s.serversListedAt {
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
	inst, ok := m.snapshot.Load().byID[instance]
	return inst.Address, ok
}

// Alive implements owner.Preference. Before this instance has settled, it reports every
// instance as alive.
func (m *Members) Alive(instance string) bool {
	s := m.snapshot.Load()
	_, ok := s.byID[instance]
	return ok || !s.settled
}

// Changes implements owner.Preference.
func (m *Members) Changes() <-chan struct{} { return m.changes }

// IsPreferred reports whether this instance is the preferred one for the task named by
// key, which one member performs for the whole fleet.
func (m *Members) IsPreferred(key string) bool {
	s := m.snapshot.Load()
	return s.settled && s.view.PreferredOwner(key, "", time.Now()) == s.self
}

// Settled reports whether all listed instances have answered or this instance has
// waited long enough for them.
func (m *Members) Settled() bool { return m.snapshot.Load().settled }

// Directs reports whether this instance directs the batch work of a server.
func (m *Members) Directs(server string) bool {
	s := m.snapshot.Load()
	return s.settled && s.directors[server] == s.self
}

// DirectorOf implements director.Locator.
func (m *Members) DirectorOf(server string) (instance, address string, ok bool) {
	s := m.snapshot.Load()
	inst, ok := s.byID[s.directors[server]]
	return inst.ID, inst.Address, ok
}

// Servers returns the names of the listed servers. read is false if the platform's
// list has not been read yet.
func (m *Members) Servers() (ids []string, read bool) {
	s := m.snapshot.Load()
	for id := range s.directors {
		ids = append(ids, id)
	}
	return ids, s.listWasRead
}

// ServerLeaving reports whether a server has a leaving mark and gets no new work.
func (m *Members) ServerLeaving(server string) bool { return m.snapshot.Load().leaving[server] }

// LeavingServers returns the servers with a leaving mark.
func (m *Members) LeavingServers() []string {
	return slices.Sorted(maps.Keys(m.snapshot.Load().leaving))
}

// Backlogs returns the backlogs of a model on all instances. The result must not be
// changed.
func (m *Members) Backlogs(model string) []member.Backlog {
	return m.snapshot.Load().backlogs[model]
}

// Live returns the live members, sorted by name. The result must not be changed.
func (m *Members) Live() []member.Member { return m.snapshot.Load().view.Members }

// StayingMembers returns the live members that are not leaving, with their weights.
func (m *Members) StayingMembers() []route.Member {
	live := m.Live()
	out := make([]route.Member, 0, len(live))
	for _, inst := range live {
		if !inst.Leaving {
			out = append(out, route.Member{ID: inst.ID, Weight: int(max(1, inst.Weight))})
		}
	}
	return out
}
