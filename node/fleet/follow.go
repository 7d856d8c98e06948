package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/node/internal/clock"
	"github.com/jacinthnotch/jacinthnotch/node/internal/coalesce"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

const (
	// readWait is how long the store may delay a read until there are changes. A connection
	// that has become unresponsive is detected after readWait and the call's timeout,
	// which together have to be below the 3 s after which a store that has recovered counts
	// as stable.
	readWait = 1500 * time.Millisecond
	// readPause is the pause after a read that reached the end of the feed. It limits the reads of a busy feed:
	// servers write heartbeats several times a second, and the platform charges for each
	// call. It must be short enough that a server gets no more requests 2 s after it has
	// announced that it is leaving.
	readPause = 800 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the random delay after a failed read. The
	// recovery of the store has to be noticed within the 3 s after which it counts as stable.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 450 * time.Millisecond
	// refreshTimeout limits a read of Refresh.
	refreshTimeout = time.Second
)

// Follower reads a feed continuously and passes its entries on.
type Follower[T any] struct {
	// Name is the feed's name in logs.
	Name string
	Feed port.Feed[T]
	// Apply is called with the entries in the order of the feed. If full is set, they
	// are the complete list of the feed's newest entries.
	Apply func(entries []port.Entry[T], full bool)
	// OnRead, if not nil, is called after each read, once its entries were applied; ok is set if the
	// read succeeded.
	OnRead func(ok bool)
	// NewestOnly is set if only the newest record of each key matters. The feed is listed then where
	// it has more changes than fit into a page, instead of reading them all.
	NewestOnly bool

	mu sync.Mutex
	// applied is the offset up to which entries were applied; listed is set once there was a
	// full list.
	applied   int64
	listed    bool
	refreshes coalesce.Group
}

// Run reads the feed until ctx is done.
func (f *Follower[T]) Run(ctx context.Context) {
	offset, lost := int64(-1), false
	for ctx.Err() == nil {
		wait := readWait
		if lost {
			wait = 0 // the time of the store's return is wanted, and what was written before
		}
		changes, err := f.read(ctx, offset, wait)
		var expired *port.ExpiredError
		switch {
		case ctx.Err() != nil:
			return
		case errors.As(err, &expired):
			klog.InfoS("feed expired, listing anew", "feed", f.Name, "from", offset, "first", expired.First)
			offset = -1
			continue
		case port.IsRateLimited(err):
			// The store is up, so that entries do not expire.
			clock.Sleep(ctx, minRetryDelay+rand.N(maxRetryDelay-minRetryDelay))
			continue
		case err != nil:
			if !lost {
				klog.InfoS("dependency lost", "dependency", "store", "feed", f.Name, "cause", err)
			}
			lost = true
			f.notifyRead(false)
			clock.Sleep(ctx, minRetryDelay+rand.N(maxRetryDelay-minRetryDelay))
			continue
		}
		if lost {
			klog.InfoS("dependency regained", "dependency", "store", "feed", f.Name)
			lost = false
		}
		behind, previous := changes.Next < changes.End, offset
		offset = f.apply(changes.Entries, offset < 0, changes.Next)
		f.notifyRead(true)
		switch {
		case behind && f.NewestOnly:
			offset = -1
		case behind && offset > previous:
			// The next page follows at once.
		default:
			clock.Sleep(ctx, readPause)
		}
	}
}

// apply applies the entries of a read that ends at offset next, unless a later read was applied
// before, and returns the offset of the next read.
func (f *Follower[T]) apply(entries []port.Entry[T], full bool, next int64) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if full || next > f.applied {
		if len(entries) > 0 || full {
			f.Apply(entries, full)
		}
		f.applied, f.listed = next, true
	}
	return f.applied
}

// Refresh reads and applies the entries that were written until now, beside Run. Calls at the
// same time share a read.
func (f *Follower[T]) Refresh(ctx context.Context) error {
	return f.refreshes.Do(ctx, refreshTimeout, func(ctx context.Context) error {
		f.mu.Lock()
		from, listed := f.applied, f.listed
		f.mu.Unlock()
		if !listed {
			return errNotListed
		}
		for {
			changes, err := f.Feed.Changes(ctx, from, 0)
			if err != nil {
				return err
			}
			f.apply(changes.Entries, false, changes.Next)
			if changes.Next >= changes.End || changes.Next <= from {
				return nil
			}
			from = changes.Next
		}
	})
}

// errNotListed is the error of Refresh before the feed was read for the first time.
var errNotListed = errors.New("fleet: the feed has not been listed yet")

func (f *Follower[T]) read(ctx context.Context, offset int64, wait time.Duration) (port.Changes[T], error) {
	if offset < 0 {
		entries, next, err := f.Feed.Newest(ctx)
		return port.Changes[T]{Entries: entries, Next: next, End: next}, err
	}
	return f.Feed.Changes(ctx, offset, wait)
}

func (f *Follower[T]) notifyRead(ok bool) {
	if f.OnRead != nil {
		f.OnRead(ok)
	}
}
