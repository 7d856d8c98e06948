package balance

import (
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/reserve"
)

// serviceDemand is the demand of one service, as a hub sees it.
type serviceDemand struct {
	reserve.Demand
	// held counts the batch requests that were held back.
	held uint64
}

// ReserveStats is how a service's slots are kept free for waves of online requests.
type ReserveStats struct {
	// Peak is the height of the last waves in requests in flight, zero without waves.
	Peak int
	// Held counts the batch requests that were held back, each time that they were.
	Held uint64
}

// ReserveStats returns the reserves by service.
func (t *Table) ReserveStats() map[string]ReserveStats {
	stats := make(map[string]ReserveStats, len(t.demands))
	for service, d := range t.demands {
		stats[service] = ReserveStats{Peak: d.Peak(), Held: d.held}
	}
	return stats
}

// fleet returns the load of the servers in use, and whether one of them states its pace. Servers on
// shared machines do, and only for them slots are reserved.
func (g *serviceState) fleet(now time.Time) (f reserve.Fleet, stated bool) {
	for _, s := range g.servers {
		stated = stated || s.pace.Stated()
		f.Online += s.own[Online] + s.peers[Online]
		f.Batch += s.own[Batch] + s.peers[Batch]
		if s.server.Usable() && (s.consecutiveUnreachable == 0 || !now.Before(s.backoffUntil)) {
			f.Slots += s.slots()
		}
	}
	return f, stated
}

// observeDemand follows the demand of a service. Without a complete view it is not known.
func (t *Table) observeDemand(now time.Time, group *serviceState, q *Query) {
	if !q.CompleteView {
		return
	}
	d := t.demands[q.Service]
	if d != nil && !d.Due(now) {
		return
	}
	f, stated := group.fleet(now)
	if !stated {
		return
	}
	if d == nil {
		d = &serviceDemand{}
		t.demands[q.Service] = d
	}
	d.Observe(now, f.Online)
}

// HoldsBack reports whether a batch request has to leave the free slots to the next wave of online
// requests.
func (t *Table) HoldsBack(now time.Time, q *Query) bool {
	group, d := t.services[q.Service], t.demands[q.Service]
	if q.Class != Batch || !q.CompleteView || group == nil || d == nil {
		return false
	}
	f, _ := group.fleet(now)
	return !d.Allows(now, reserve.Request{Slack: q.Slack, RunTime: q.RunTime}, f)
}

// recordBatchStart records that a batch request starts.
func (t *Table) recordBatchStart(now time.Time, q *Query) {
	if d := t.demands[q.Service]; d != nil && q.Class == Batch && q.CompleteView {
		d.RecordStart(now, reserve.Request{Slack: q.Slack, RunTime: q.RunTime})
	}
}
