package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/internal/clock"
)

// unavailablePeriod is the time for which submissions are refused immediately after a
// call to the store failed on all paths, unless a later call succeeds.
const unavailablePeriod = time.Second

// healthPollInterval is the interval at which a writer that waits looks for the recovery of
// the store.
const healthPollInterval = 50 * time.Millisecond

// storeHealth tracks whether the last call to the store failed on all paths.
type storeHealth struct {
	mu       sync.Mutex
	failedAt time.Time
}

// recordSuccess records a successful call.
func (h *storeHealth) recordSuccess() {
	h.mu.Lock()
	h.failedAt = time.Time{}
	h.mu.Unlock()
}

// recordFailure records a call that the store rejected or did not answer in time.
func (h *storeHealth) recordFailure(now time.Time) {
	h.mu.Lock()
	h.failedAt = now
	h.mu.Unlock()
}

// unavailable reports whether the last call failed and unavailablePeriod has not passed.
func (h *storeHealth) unavailable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.failedAt.IsZero() && now.Sub(h.failedAt) < unavailablePeriod
}

// await waits at least the given time, and then until a call has succeeded, but at most for
// unavailablePeriod. Writers that wait need not each try a store that is known to be away.
func (h *storeHealth) await(ctx context.Context, least time.Duration) {
	clock.Sleep(ctx, least)
	for end := time.Now().Add(unavailablePeriod - least); ctx.Err() == nil && time.Now().Before(end) && h.unavailable(time.Now()); {
		clock.Sleep(ctx, healthPollInterval)
	}
}
