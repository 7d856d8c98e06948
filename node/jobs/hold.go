package jobs

import (
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/balance"
	"github.com/jacinthnotch/jacinthnotch/policy/reserve"
)

// isHeld reports whether an item with a slack need not be placed yet.
func (r *Runner) isHeld(now time.Time, service string, slack time.Duration) bool {
	return now.Before(r.holds[service]) && slack >= reserve.UrgentSlack
}

// hold records that a service has no slot for an item.
func (r *Runner) hold(now time.Time, service string, rejection *balance.Rejection) {
	if rejection.RetryAfter > 0 {
		r.Metrics.count("held_back")
		r.holds[service] = now.Add(rejection.RetryAfter)
	}
}
