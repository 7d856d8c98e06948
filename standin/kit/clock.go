package kit

import (
	"context"
	"sync"
	"time"
)

// Clock is the time source of a stand-in, so that tests can decide when time
// passes.
type Clock interface {
	Now() time.Time
	// After returns a channel that receives once d has passed, and a function
	// that releases it early.
	After(d time.Duration) (<-chan time.Time, func())
}

// Sleep waits for d on c. It returns the context's error when ctx ends first.
func Sleep(ctx context.Context, c Clock, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	fired, stop := c.After(d)
	defer stop()
	select {
	case <-fired:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// RealClock is the clock of the system.
type RealClock struct{}

// Now returns the current time.
func (RealClock) Now() time.Time { return time.Now() }

// After starts a timer of the system.
func (RealClock) After(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTimer(d)
	return t.C, func() { t.Stop() }
}

// ManualClock stands still until Advance is called.
type ManualClock struct {
	mu      sync.Mutex
	changed *sync.Cond
	now     time.Time
	timers  map[*manualTimer]struct{}
}

type manualTimer struct {
	at time.Time
	ch chan time.Time
}

// NewManualClock returns a clock that stands at start.
func NewManualClock(start time.Time) *ManualClock {
	c := &ManualClock{now: start, timers: make(map[*manualTimer]struct{})}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// Now returns the time that the clock stands at.
func (c *ManualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// After returns a channel that fires when Advance reaches the time.
func (c *ManualClock) After(d time.Duration) (<-chan time.Time, func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &manualTimer{at: c.now.Add(d), ch: make(chan time.Time, 1)}
	if d <= 0 {
		t.ch <- c.now
		return t.ch, func() {}
	}
	c.timers[t] = struct{}{}
	c.changed.Broadcast()
	return t.ch, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.timers, t)
	}
}

// Advance moves the clock on by d and fires the timers that are due.
func (c *ManualClock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	for t := range c.timers {
		if !t.at.After(c.now) {
			t.ch <- c.now
			delete(c.timers, t)
		}
	}
}

// WaitForTimers blocks until at least n timers are pending. A test calls it
// before Advance, so that the advance cannot come before the wait that it is
// meant to end.
func (c *ManualClock) WaitForTimers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.timers) < n {
		c.changed.Wait()
	}
}
