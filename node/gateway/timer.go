package gateway

import (
	"sync"
	"time"
)

// attemptTimer ends an attempt that makes no progress.
type attemptTimer struct {
	mu sync.Mutex
	// timer is nil once the timer was stopped.
	timer *time.Timer
	// begun is set once there was progress. The attempt goes on while hasAlternative reports
	// that there is no other server, which is asked every pollInterval.
	begun          bool
	pollInterval   time.Duration
	hasAlternative func(begun bool) bool
	expired        func()
}

// start arms the timer.
func (t *attemptTimer) start(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(timeout, t.fire)
}

func (t *attemptTimer) fire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.timer == nil:
	case !t.hasAlternative(t.begun):
		t.timer.Reset(t.pollInterval)
	default:
		t.expired()
	}
}

// progress restarts the timer after progress.
func (t *attemptTimer) progress(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begun = true
	t.timer.Reset(timeout)
}

// stop ends the timer.
func (t *attemptTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
	t.timer = nil
}
