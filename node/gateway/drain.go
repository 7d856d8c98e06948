package gateway

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// drainRunTimes is the number of mean run times that a request needs until the end of a
	// drain to be accepted.
	drainRunTimes = 2
	// drainMargin is the time before the end of a drain at which the requests in flight get
	// their final responses, for the writing of these.
	drainMargin = 200 * time.Millisecond
)

// causeDraining is the cause of the refusal of a request that cannot end before its instance.
const causeDraining = "the instance is about to stop"

// Drain is the end of an instance's work. A nil Drain never begins. It is safe for concurrent
// use.
type Drain struct {
	end atomic.Pointer[time.Time]
	// closed is set once the instance accepts no more connections.
	closed atomic.Bool
	// ended is done drainMargin before the end.
	ended context.Context
	stop  context.CancelFunc
}

// NewDrain returns a drain that has not begun.
func NewDrain() *Drain {
	d := &Drain{}
	d.ended, d.stop = context.WithCancel(context.Background())
	return d
}

// Begin begins the drain of an instance that ends at the given time.
func (d *Drain) Begin(end time.Time) {
	d.end.Store(&end)
	time.AfterFunc(time.Until(end.Add(-drainMargin)), d.stop)
}

// Close records that the instance accepts no more connections, so that callers find other
// instances.
func (d *Drain) Close() { d.closed.Store(true) }

// Closed reports whether the instance accepts no more connections.
func (d *Drain) Closed() bool { return d != nil && d.closed.Load() }

// admits reports whether a request with a deadline, or zero if it has none, is accepted. It
// must be able to end before the drain: those in time by their deadlines, and until the
// instance accepts no more connections those that are expected to end in time.
func (d *Drain) admits(now, deadline time.Time, runTime time.Duration) bool {
	if d == nil {
		return true
	}
	end := d.end.Load()
	if end == nil {
		return true
	}
	last := end.Add(-drainMargin)
	if !deadline.IsZero() && !deadline.After(last) {
		return true
	}
	return !d.closed.Load() && !now.Add(drainRunTimes*runTime).After(last)
}

// over reports whether the requests in flight get their final responses.
func (d *Drain) over() bool { return d != nil && d.ended.Err() != nil }

// cancelAtEnd calls cancel when the requests in flight get their final responses. The returned
// function must be called once the request is done.
func (d *Drain) cancelAtEnd(cancel func()) (done func()) {
	if d == nil {
		return func() {}
	}
	stop := context.AfterFunc(d.ended, cancel)
	return func() { stop() }
}
