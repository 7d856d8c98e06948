package peers

import (
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/poison"
)

const (
	// rosterRequestInterval is the minimum interval of requests for the whole list.
	rosterRequestInterval = 300 * time.Millisecond
	// maxRosterChanges is the number of changes above which a roster is not sent as
	// changes: the peers ask for the whole list then.
	maxRosterChanges = 128
)

// roster is a hub's list of the live instances with its recent changes. It does no I/O and
// reads no clock.
//
// Each change has the next revision. A replica that has applied all changes up to a
// revision therefore equals the roster at that revision.
type roster struct {
	revision uint64
	members  map[uint32]liveInstance
	changes  []timedChange
}

// timedChange is a change of a roster at a time.
type timedChange struct {
	at     time.Time
	change rosterChange
}

// update replaces the list of live instances.
func (r *roster) update(now time.Time, current map[uint32]liveInstance) {
	for name, old := range r.members {
		if _, live := current[name]; !live {
			r.record(now, rosterChange{Left: true, Instance: liveInstance{Name: name, Incarnation: old.Incarnation}})
		}
	}
	for name, i := range current {
		if old, known := r.members[name]; !known || old != i {
			r.record(now, rosterChange{Instance: i})
		}
	}
	r.members = current
	first := 0
	for first < len(r.changes) && now.Sub(r.changes[first].at) > rosterHistory {
		first++
	}
	r.changes = append(r.changes[:0], r.changes[first:]...)
}

func (r *roster) record(now time.Time, c rosterChange) {
	r.revision++
	r.changes = append(r.changes, timedChange{now, c})
}

// changesSince returns a report of the changes since a time.
func (r *roster) changesSince(since time.Time) *rosterReport {
	report := &rosterReport{Revision: r.revision}
	for _, c := range r.changes {
		if !c.at.Before(since) {
			report.Changes = append(report.Changes, c.change)
		}
	}
	if len(report.Changes) > maxRosterChanges {
		report.Changes = nil
	}
	return report
}

// full returns a report of the whole list.
func (r *roster) full() *rosterReport {
	report := &rosterReport{Revision: r.revision, Full: true}
	for _, i := range r.members {
		report.Changes = append(report.Changes, rosterChange{Instance: i})
	}
	return report
}

// rosterReplica is a peer's copy of a hub's roster.
type rosterReplica struct {
	incarnation uint32
	revision    uint64
	members     map[uint32]liveInstance
}

// apply applies a hub's report. It returns false if the replica lacks changes, so that the
// whole list is needed.
func (r *rosterReplica) apply(report *rosterReport) (complete bool) {
	if r.incarnation != report.Incarnation {
		*r = rosterReplica{incarnation: report.Incarnation}
	}
	switch {
	case report.Full && (r.members == nil || report.Revision >= r.revision):
		r.members, r.revision = make(map[uint32]liveInstance, len(report.Changes)), report.Revision
		for _, c := range report.Changes {
			r.members[c.Instance.Name] = c.Instance
		}
		return true
	case r.members == nil:
		return false
	case report.Revision <= r.revision:
		return true // a report that was overtaken
	}
	missing := report.Revision - r.revision
	if missing > uint64(len(report.Changes)) {
		return false
	}
	for _, c := range report.Changes[uint64(len(report.Changes))-missing:] {
		if c.Left {
			delete(r.members, c.Instance.Name)
		} else {
			r.members[c.Instance.Name] = c.Instance
		}
	}
	r.revision = report.Revision
	return true
}

// rosterReport is a hub's report on the live instances: the changes that lead to a
// revision, or the whole list.
type rosterReport struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Incarnation is that of the hub; its revisions begin anew when it is restarted.
	Incarnation uint32
	Revision    uint64
	// Full is set if Changes holds all live instances.
	Full    bool
	Changes []rosterChange
	// Blocked are the whole requests that are blocked because they crash servers. It is sent
	// for instances that do not know containment reports, and otherwise ignored.
	Blocked []poison.Subject
}

// rosterChange is one change of a roster: an instance that is live, or has left.
type rosterChange struct {
	_        struct{} `cbor:",toarray"`
	Left     bool
	Instance liveInstance
}

// rosterRequest asks a hub for its whole list of live instances.
type rosterRequest struct {
	_    struct{} `cbor:",toarray"`
	Name string
}
