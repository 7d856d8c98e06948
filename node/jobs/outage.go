package jobs

import (
	"sync"
	"time"
)

// suspicion is the time for which submissions are refused at once after the store did
// not take a call by any path, unless a call succeeds.
const suspicion = time.Second

// outage knows whether the store has lately failed by every path.
type outage struct {
	mu      sync.Mutex
	suspect time.Time
}

// noteAnswered records a successful call.
func (o *outage) noteAnswered() {
	o.mu.Lock()
	o.suspect = time.Time{}
	o.mu.Unlock()
}

// noteFailed records a call that the store refused or did not answer in time.
func (o *outage) noteFailed(now time.Time) {
	o.mu.Lock()
	o.suspect = now
	o.mu.Unlock()
}

// suspected reports whether the store is thought not to take calls.
func (o *outage) suspected(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.suspect.IsZero() && now.Sub(o.suspect) < suspicion
}
