package fleet

import (
	"expvar"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/balance"
	"github.com/jacinthnotch/jacinthnotch/policy/reserve"
)

// Rejection returns why a request that found no server has to wait, and for how long if that is
// known.
func (v *View) Rejection(q balance.Query) *balance.Rejection {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table.HoldsBack(time.Now(), &q) {
		return &balance.Rejection{RetryAfter: reserve.RetryAfter}
	}
	return &balance.Rejection{}
}

// ReserveMetrics returns, by service, the height of the waves of online requests for which this
// instance as a hub keeps slots free, and how often it held batch requests back.
func (v *View) ReserveMetrics() expvar.Var {
	return expvar.Func(func() any {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.table.ReserveStats()
	})
}
