package balance

import (
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/reserve"
)

// serviceDemand is the demand of one service, as a hub sees it.
type serviceDemand struct {
	reserve.Demand
	// stated is set if one of the servers states its pace, as of checkedAt. Servers on shared
	// machines do, and only for them slots are reserved.
	stated    bool
	checkedAt time.Time
	// waiting holds, by requesting instance, the batch requests that wait there.
	waiting map[string]waitingRequests
	// held counts the batch requests that were held back.
	held uint64
}

// waitingTTL is the time for which an instance's number of waiting batch requests counts: it asks
// again after reserve.RetryAfter.
const waitingTTL = 500 * time.Millisecond

// waitingRequests is the number of batch requests that wait at one instance, as of a time.
type waitingRequests struct {
	count int
	at    time.Time
}

// recordWaiting records how many batch requests wait at the requesting instance.
func (d *serviceDemand) recordWaiting(now time.Time, q *Query) {
	if d.waiting == nil {
		d.waiting = map[string]waitingRequests{}
	}
	d.waiting[q.Requester] = waitingRequests{q.Waiting, now}
}

// totalWaiting returns the number of waiting batch requests.
func (d *serviceDemand) totalWaiting(now time.Time) (n int) {
	for requester, w := range d.waiting {
		if now.Sub(w.at) >= waitingTTL {
			delete(d.waiting, requester)
			continue
		}
		n += w.count
	}
	return n
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

// fleet returns the load of the servers in use, and whether one of them states its pace.
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
func (t *Table) observeDemand(now time.Time, q *Query) {
	group := t.services[q.Service]
	if group == nil || !q.CompleteView {
		return
	}
	d := t.demands[q.Service]
	if d == nil {
		d = &serviceDemand{}
		t.demands[q.Service] = d
	}
	if now.Sub(d.checkedAt) < reserve.SampleInterval {
		return
	}
	var f reserve.Fleet
	d.checkedAt = now
	if f, d.stated = group.fleet(now); d.stated {
		d.Observe(now, f)
	}
}

// HoldsBack reports whether a batch request has to leave the free slots to the next wave of online
// requests.
func (t *Table) HoldsBack(now time.Time, q *Query) bool {
	group, d := t.services[q.Service], t.demands[q.Service]
	if q.Class != Batch || !q.CompleteView || group == nil || d == nil || !d.stated {
		return false
	}
	f, _ := group.fleet(now)
	d.recordWaiting(now, q)
	f.Waiting = d.totalWaiting(now)
	return !d.Allows(now, reserve.Request{Slack: q.Slack, RunTime: q.RunTime}, f)
}

// recordBatchStart records that a batch request starts.
func (t *Table) recordBatchStart(now time.Time, q *Query) {
	if d := t.demands[q.Service]; d != nil && d.stated && q.Class == Batch && q.CompleteView {
		d.RecordStart(now, reserve.Request{Slack: q.Slack, RunTime: q.RunTime})
	}
}
