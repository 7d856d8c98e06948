package balance

import "time"

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
