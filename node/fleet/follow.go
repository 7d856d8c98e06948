package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/node/internal/clock"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

const (
	// followWait is how long the store keeps a read waiting. A connection to the
	// store that has gone silent is noticed after it and the call's time limit,
	// together within the stable window of 3 s.
	followWait = 1500 * time.Millisecond
	// followPause bounds the reads of a busy feed: servers write their heartbeats
	// several times a second, and each call has a price. A leaving server must not get
	// work 2 s after it said so.
	followPause = 800 * time.Millisecond
	// retryLeast and retryMost bound the random pause after a failed read. A store
	// that is back has to be noticed within its stable window of 3 s.
	retryLeast = 150 * time.Millisecond
	retryMost  = 450 * time.Millisecond
)

// Follower keeps up with one feed.
type Follower[T any] struct {
	// Name is the feed's name in logs.
	Name string
	Feed port.Feed[T]
	// Apply takes entries in their order; full marks a whole listing.
	Apply func(entries []port.Entry[T], full bool)
	// OnRead, if not nil, is told after each read whether it succeeded.
	OnRead func(ok bool)
}

// Run follows the feed until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	next, lost := int64(-1), false
	for ctx.Err() == nil {
		entries, to, err := f.read(ctx, next)
		var expired *port.ExpiredError
		switch {
		case ctx.Err() != nil:
			return
		case errors.As(err, &expired):
			klog.InfoS("feed expired, listing anew", "feed", f.Name, "from", next, "first", expired.First)
			next = -1
			continue
		case err != nil:
			if !lost {
				klog.InfoS("dependency lost", "dependency", "store", "feed", f.Name, "cause", err)
			}
			lost = true
			f.confirm(false)
			clock.Sleep(ctx, retryLeast+rand.N(retryMost-retryLeast))
			continue
		}
		if lost {
			klog.InfoS("dependency regained", "dependency", "store", "feed", f.Name)
			lost = false
		}
		f.confirm(true)
		if len(entries) > 0 || next < 0 {
			f.Apply(entries, next < 0)
		}
		next = to
		clock.Sleep(ctx, followPause)
	}
}

func (f *Follower[T]) read(ctx context.Context, next int64) ([]port.Entry[T], int64, error) {
	if next < 0 {
		return f.Feed.Newest(ctx)
	}
	return f.Feed.Changes(ctx, next, followWait)
}

func (f *Follower[T]) confirm(ok bool) {
	if f.OnRead != nil {
		f.OnRead(ok)
	}
}
