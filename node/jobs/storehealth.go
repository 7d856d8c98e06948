package jobs

import (
	"sync"
	"time"
)

// unavailablePeriod is the time for which submissions are refused immediately after a
// call to the store failed on all paths, unless a later call succeeds.
const unavailablePeriod = time.Second

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
