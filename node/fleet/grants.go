package fleet

import (
	"expvar"
	"time"
)

// GrantMetrics returns the number of the slots that this instance has granted as a hub and that the
// peers' reports do not include, and the age of the oldest one in milliseconds.
func (v *View) GrantMetrics() expvar.Var {
	return expvar.Func(func() any {
		v.mu.Lock()
		stats := v.table.GrantStats(time.Now())
		v.mu.Unlock()
		return map[string]int64{"unreported": int64(stats.Slots), "oldest_ms": stats.Oldest.Milliseconds()}
	})
}
