package jobs

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
	"github.com/jacinthnotch/jacinthnotch/node/internal/clock"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

const (
	// tailWait is how long the store keeps a read of the index waiting.
	tailWait = 800 * time.Millisecond
	// tailPause bounds the reads of a busy index: each call has a price. Reads of results
	// need the folded state to be younger than freshFor.
	tailPause = 600 * time.Millisecond
	// tailBytes bounds one read of the index.
	tailBytes = 512 << 10
	// retryLeast and retryMost bound the random pause after a failed call.
	retryLeast = 100 * time.Millisecond
	retryMost  = 300 * time.Millisecond
	// freshFor is the age up to which the folded state counts as current. A result
	// that was read anywhere has to be there a second later.
	freshFor = 900 * time.Millisecond
	// groupMost bounds the records of one append.
	groupMost = 256
	// purgeAfter is the time after its last record at which a job that is not open is
	// forgotten: results are owed for 120 s.
	purgeAfter    = 200 * time.Second
	purgeInterval = 10 * time.Second
)

var indexPartition = port.Partition{Topic: IndexTopic}

// Index follows and writes the index partition. It is safe for concurrent use.
type Index struct {
	store port.Store

	mu      sync.Mutex
	book    *joblog.Table
	changed chan struct{}
	// fresh is when the store last confirmed that the book is current.
	fresh time.Time

	appends chan *pendingAppend
	outage  outage
}

type pendingAppend struct {
	raw  []byte
	done chan error
}

// NewIndex returns an index that has folded nothing.
func NewIndex(store port.Store) *Index {
	return &Index{store: store, book: joblog.NewTable(), changed: make(chan struct{}), appends: make(chan *pendingAppend, groupMost)}
}

// Follow folds the index until ctx ends.
func (x *Index) Follow(ctx context.Context) {
	lost, purged := false, time.Now()
	for ctx.Err() == nil {
		n, err := x.advance(ctx, tailWait)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			x.outage.noteFailed(time.Now())
			if !lost {
				klog.InfoS("dependency lost", "dependency", "store", "feed", "job index", "cause", err)
			}
			lost = true
			clock.Sleep(ctx, retryLeast+rand.N(retryMost-retryLeast))
			continue
		case lost:
			klog.InfoS("dependency regained", "dependency", "store", "feed", "job index")
			lost = false
		}
		x.outage.noteAnswered()
		if now := time.Now(); now.Sub(purged) > purgeInterval {
			purged = now
			x.mu.Lock()
			x.book.Purge(now.Add(-purgeAfter))
			x.mu.Unlock()
		}
		if n > 0 {
			clock.Sleep(ctx, tailPause)
		}
	}
}

// advance reads and folds the records that follow. It returns their number.
func (x *Index) advance(ctx context.Context, wait time.Duration) (int, error) {
	x.mu.Lock()
	from := x.book.Next()
	x.mu.Unlock()
	page, err := x.store.Read(ctx, indexPartition, from, tailBytes, wait)
	var expired *port.ExpiredError
	if errors.As(err, &expired) {
		klog.InfoS("records of the job index expired", "from", from, "first", expired.First)
		x.mu.Lock()
		x.book.SkipTo(expired.First)
		x.mu.Unlock()
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, r := range page.Records {
		x.book.Apply(now, r.Offset, r.Payload)
	}
	if x.book.Next() >= page.End {
		x.fresh = now
	}
	if len(page.Records) > 0 {
		close(x.changed)
		x.changed = make(chan struct{})
	}
	return len(page.Records), nil
}

// Read calls f with the book, which f must not keep, and returns the channel that is
// closed at the next change and whether the book is current.
func (x *Index) Read(f func(*joblog.Table)) (changed <-chan struct{}, fresh bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f(x.book)
	return x.changed, !x.fresh.IsZero() && time.Since(x.fresh) < freshFor
}

// CatchUp makes the book current by a read of its own.
func (x *Index) CatchUp(ctx context.Context) error {
	for {
		n, err := x.advance(ctx, 0)
		if err != nil {
			return err
		}
		if n == 0 {
			return nil
		}
	}
}

// Append adds a record. Calls that come together share one append of the store. The
// error is that of the store: port.ErrUnavailable when nothing was written.
func (x *Index) Append(ctx context.Context, r *joblog.Record) error {
	raw, err := r.Encode()
	if err != nil {
		return fmt.Errorf("%w: %w", port.ErrUnavailable, err)
	}
	p := &pendingAppend{raw: raw, done: make(chan error, 1)}
	select {
	case x.appends <- p:
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", port.ErrUnavailable, ctx.Err())
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", port.ErrOutcomeUnknown, ctx.Err())
	}
}

// RunAppends writes what Append takes until ctx ends.
func (x *Index) RunAppends(ctx context.Context) {
	for {
		var group []*pendingAppend
		select {
		case <-ctx.Done():
			return
		case p := <-x.appends:
			group = append(group, p)
		}
		for more := true; more && len(group) < groupMost; {
			select {
			case p := <-x.appends:
				group = append(group, p)
			default:
				more = false
			}
		}
		records := make([][]byte, len(group))
		for i, p := range group {
			records[i] = p.raw
		}
		_, err := x.store.Append(ctx, indexPartition, records)
		if err == nil {
			x.outage.noteAnswered()
		} else {
			x.outage.noteFailed(time.Now())
			klog.InfoS("append to the job index failed", "records", len(group), "noEffect", noEffect(err), "err", err)
		}
		for _, p := range group {
			p.done <- err
		}
	}
}
