// Package coalesce lets concurrent callers share one call, where each of them needs a call that
// began after it asked.
package coalesce

import (
	"context"
	"sync"
	"time"
)

// Group shares calls. The zero value is ready to use.
type Group struct {
	mu sync.Mutex
	// running is the call in progress, and next the one that follows it; nil if there is none.
	running, next *call
}

// call is a shared call; err is valid once done is closed.
type call struct {
	done chan struct{}
	err  error
}

// Do calls f, or waits for a call of f by another caller that begins after Do was called. A call
// is not cancelled with the context of the caller that makes it, but after timeout.
func (g *Group) Do(ctx context.Context, timeout time.Duration, f func(context.Context) error) error {
	g.mu.Lock()
	previous, c := g.running, g.next
	owner := c == nil
	if owner {
		c = &call{done: make(chan struct{})}
		if previous == nil {
			g.running = c
		} else {
			g.next = c
		}
	}
	g.mu.Unlock()
	if owner {
		go g.run(context.WithoutCancel(ctx), timeout, previous, c, f)
	}
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run makes a call after the previous one has ended.
func (g *Group) run(ctx context.Context, timeout time.Duration, previous, c *call, f func(context.Context) error) {
	if previous != nil {
		<-previous.done
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.err = f(ctx)
	g.mu.Lock()
	g.running, g.next = g.next, nil
	g.mu.Unlock()
	close(c.done)
}
