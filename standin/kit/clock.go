package kit

import (
	"context"
	"sync"
	"time"
)

// Clock is the time source of a stand-in. Tests replace it to control the passage of
// time.
type Clock interface {
	Now() time.Time
	// After returns a channel that receives the time once d has passed, and a function
	// that stops the timer.
	After(d time.Duration) (<-chan time.Time, func())
}

// Sleep waits for d on c, or returns the error of ctx if that ends first.
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

// RealClock is the system clock.
type RealClock struct{}

// Now returns the current time.
func (RealClock) Now() time.Time { return time.Now() }

// After implements Clock with a time.Timer.
func (RealClock) After(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTimer(d)
	return t.C, func() { t.Stop() }
}

// ManualClock is a Clock whose time changes only by Advance.
type ManualClock struct {
	mu         sync.Mutex
	timerAdded *sync.Cond
	now        time.Time
	timers     map[*manualTimer]struct{}
}

type manualTimer struct {
	at time.Time
	ch chan time.Time
}

// NewManualClock returns a clock whose time is start.
func NewManualClock(start time.Time) *ManualClock {
	c := &ManualClock{now: start, timers: make(map[*manualTimer]struct{})}
	c.timerAdded = sync.NewCond(&c.mu)
	return c
}

// Now returns the time of the clock.
func (c *ManualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// After implements Clock. The timer fires when Advance reaches its time.
func (c *ManualClock) After(d time.Duration) (<-chan time.Time, func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &manualTimer{at: c.now.Add(d), ch: make(chan time.Time, 1)}
	if d <= 0 {
		t.ch <- c.now
		return t.ch, func() {}
	}
	c.timers[t] = struct{}{}
	c.timerAdded.Broadcast()
	return t.ch, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.timers, t)
	}
}

// Advance moves the clock forward by d and fires the timers that are due.
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

// WaitForTimers blocks until at least n timers are pending. Tests call it before Advance,
// so that the timer that Advance should fire has been started.
func (c *ManualClock) WaitForTimers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.timers) < n {
		c.timerAdded.Wait()
	}
}
