package balance

import "time"

// grantTTL is the time after which a peer that reports has included a grant or given it up, whatever its
// sequence numbers say: a few intervals of reports.
const grantTTL = time.Second

// GrantStats are the slots that a hub has granted and that the reports of the peers do not include.
type GrantStats struct {
	// Slots is their number, and Oldest the age of the oldest one.
	Slots  int
	Oldest time.Duration
}

// GrantStats returns the slots that are granted and not reported.
func (t *Table) GrantStats(now time.Time) GrantStats {
	var stats GrantStats
	for _, r := range t.peers {
		stats.Slots += len(r.grants)
		for _, g := range r.grants {
			stats.Oldest = max(stats.Oldest, now.Sub(g.at))
		}
	}
	return stats
}

// ObserveProcess records that a peer's process has an incarnation; zero means that it is not known. If it is a
// new process, what is known of the one before is dropped: its requests have ended with it, and its sequence
// numbers and counts begin anew.
func (t *Table) ObserveProcess(name string, incarnation uint32) {
	r := t.peers[name]
	if r == nil || incarnation == 0 || r.incarnation == incarnation {
		return
	}
	if r.incarnation == 0 {
		r.incarnation = incarnation
		return
	}
	t.RemovePeer(name)
	next := &peerReport{receivedAt: r.receivedAt, incarnation: incarnation}
	for _, g := range r.grants {
		if g.Incarnation == incarnation {
			next.grants = append(next.grants, g)
		}
	}
	t.peers[name] = next
	t.applyReport(next, 1)
}
