package fairshare

import (
	"maps"
	"slices"
	"time"
)

// sweep removes what is not in use any more, at intervals.
func (c *Controller) sweep(now time.Time) {
	if age := now.Sub(c.sweptAt); age >= 0 && age < sweepInterval {
		return
	}
	c.sweptAt = now
	for name, s := range c.services {
		if now.Sub(s.askedAt) > idleTime {
			delete(c.services, name)
			continue
		}
		s.sweep(now)
	}
}

func (s *service) sweep(now time.Time) {
	s.order = slices.DeleteFunc(s.order, func(f *flow) bool {
		idle := now.Sub(f.askedAt) > idleTime
		if idle {
			delete(s.flows, f.flowKey)
		}
		return idle
	})
	maps.DeleteFunc(s.turns, func(_ turnKey, turn time.Time) bool { return now.Sub(turn) > turnTTL })
}

// sortedKeys returns the priorities, the most urgent first.
func sortedKeys(byPriority map[int]float64) []int {
	return slices.Sorted(maps.Keys(byPriority))
}
