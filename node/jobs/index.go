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
	"github.com/jacinthnotch/jacinthnotch/node/internal/coalesce"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/policy/pagesize"
	"github.com/jacinthnotch/jacinthnotch/policy/quota"
)

const (
	// readWait is the time for which the store holds a read of the index open until there
	// are new records.
	readWait = 800 * time.Millisecond
	// minReadInterval is the pause after a read that returned the last records. It limits the
	// number of calls, each of which has a cost, and is below maxStaleness so that the
	// state stays current between two reads.
	minReadInterval = 600 * time.Millisecond
	// The records of one read of the index have initialReadBytes at first, and minReadBytes to
	// maxReadBytes as the store bears.
	initialReadBytes = 64 << 10
	minReadBytes     = 16 << 10
	maxReadBytes     = 512 << 10
	// minRetryDelay and maxRetryDelay limit the random delay after a failed call.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 300 * time.Millisecond
	// maxStaleness is the age up to which the state derived from the index counts as
	// current. A result that was read at one instance must be readable at all instances
	// one second later, whenever the responses of the store arrive.
	maxStaleness = 900 * time.Millisecond
	// maxClaimStaleness is the age of that state above which other instances may have claimed jobs
	// without this one knowing.
	maxClaimStaleness = 2 * time.Second
	// maxAppendRecords is the maximum number of records of one append.
	maxAppendRecords = 256
	// jobRetention is the time after its last record for which a job that is not open is
	// kept. Its results must be readable for 120 s.
	jobRetention  = 200 * time.Second
	purgeInterval = 10 * time.Second
)

var indexPartition = port.Partition{Topic: IndexTopic}

// Index reads and writes the index partition and holds the state of all jobs. It is safe
// for concurrent use.
type Index struct {
	store port.Store

	mu      sync.Mutex
	table   *joblog.Table
	changed chan struct{}
	// currentAt is the latest time at which the state is known to have been that of the whole
	// index.
	currentAt time.Time

	refreshes coalesce.Group

	admissions admissions

	// pageSize is the size of the next read. Only reads that the store answers at once tell how busy
	// it is: those made while behind is set.
	pageSize *pagesize.Size
	behind   bool
	// turn holds a value during a read that is made while behind is set.
	turn chan struct{}

	appends     chan *pendingAppend
	storeHealth storeHealth
}

type pendingAppend struct {
	raw  []byte
	done chan error
}

// NewIndex returns an index that has not read any records.
func NewIndex(store port.Store) *Index {
	return &Index{
		store: store, table: joblog.NewTable(), changed: make(chan struct{}), admissions: admissions{quota.NewTable()},
		appends: make(chan *pendingAppend, maxAppendRecords), pageSize: pagesize.New(initialReadBytes, minReadBytes, maxReadBytes), behind: true, turn: make(chan struct{}, 1),
	}
}

// Follow reads the index and applies its records until ctx is done.
func (x *Index) Follow(ctx context.Context) {
	lost, lastPurge := false, time.Now()
	for ctx.Err() == nil {
		n, atEnd, err := x.readNext(ctx, readWait)
		switch {
		case ctx.Err() != nil:
			return
		case port.IsRateLimited(err):
			clock.Sleep(ctx, minRetryDelay+rand.N(maxRetryDelay-minRetryDelay))
			continue
		case err != nil:
			x.storeHealth.recordFailure(time.Now())
			if !lost {
				klog.InfoS("dependency lost", "dependency", "store", "feed", "job index", "cause", err)
			}
			lost = true
			clock.Sleep(ctx, minRetryDelay+rand.N(maxRetryDelay-minRetryDelay))
			continue
		case lost:
			klog.InfoS("dependency regained", "dependency", "store", "feed", "job index")
			lost = false
		}
		x.storeHealth.recordSuccess()
		if now := time.Now(); now.Sub(lastPurge) > purgeInterval {
			lastPurge = now
			x.mu.Lock()
			x.table.Purge(now.Add(-jobRetention))
			x.mu.Unlock()
		}
		if n > 0 && atEnd {
			clock.Sleep(ctx, minReadInterval)
		}
	}
}

// readNext reads the next records and applies them. It returns their number, and whether they are
// the last ones.
func (x *Index) readNext(ctx context.Context, wait time.Duration) (n int, atEnd bool, err error) {
	behind, release, err := x.awaitTurn(ctx)
	if err != nil {
		return 0, false, err
	}
	defer release()
	if behind {
		wait = 0
	}
	x.mu.Lock()
	from, size := x.table.Next(), x.pageSize.Bytes()
	x.mu.Unlock()
	sentAt := time.Now()
	page, err := x.store.Read(ctx, indexPartition, from, size, wait)
	x.recordRead(page, wait, time.Since(sentAt), err)
	var expired *port.ExpiredError
	if errors.As(err, &expired) {
		klog.InfoS("job index records expired before they were read", "from", from, "first", expired.First)
		x.mu.Lock()
		x.table.SkipTo(expired.First)
		x.mu.Unlock()
		return 0, false, nil
	}
	if err != nil {
		return 0, false, err
	}
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, r := range page.Records {
		x.table.Apply(now, r.Offset, r.Payload)
	}
	if atEnd = x.table.Next() >= page.End; atEnd {
		if madeAt := earliestAnswer(sentAt, now, wait, len(page.Records)); madeAt.After(x.currentAt) {
			x.currentAt = madeAt
		}
		x.admissions.observe(now, x.table)
	}
	if len(page.Records) > 0 {
		close(x.changed)
		x.changed = make(chan struct{})
	}
	return len(page.Records), atEnd, nil
}

// awaitTurn waits while there is more to read than one read returns and another one is in flight: both would
// get the same records.
func (x *Index) awaitTurn(ctx context.Context) (behind bool, release func(), err error) {
	x.mu.Lock()
	behind = x.behind
	x.mu.Unlock()
	if !behind {
		return false, func() {}, nil
	}
	select {
	case x.turn <- struct{}{}:
		return true, func() { <-x.turn }, nil
	case <-ctx.Done():
		return true, nil, fmt.Errorf("%w: %w", port.ErrUnavailable, ctx.Err())
	}
}

// recordRead records what a read tells of how busy the store is.
func (x *Index) recordRead(page port.Page, wait, took time.Duration, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case errors.Is(err, port.ErrOutcomeUnknown):
		x.pageSize.RecordFailure()
	case err == nil:
		atOnce := x.behind || wait == 0
		x.behind = len(page.Records) > 0 && page.Records[len(page.Records)-1].Offset+1 < page.End
		if atOnce {
			x.pageSize.RecordPage(x.behind, took)
		}
	}
}

// earliestAnswer returns the earliest time at which the store may have made its response to a read. The
// response may have been on its way, or waited for this process, for any part of the time until now. The
// store holds a read without records open for the whole wait.
func earliestAnswer(sentAt, now time.Time, wait time.Duration, records int) time.Time {
	if heldUntil := sentAt.Add(wait); records == 0 && !heldUntil.After(now) {
		return heldUntil
	}
	return sentAt
}

// Read calls f with the table of jobs, which f must not retain. It returns a channel that
// is closed at the next change and whether the table is current.
func (x *Index) Read(f func(*joblog.Table)) (changed <-chan struct{}, current bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f(x.table)
	return x.changed, !x.currentAt.IsZero() && time.Since(x.currentAt) < maxStaleness
}

// Behind reports whether the claims of other instances may not be known.
func (x *Index) Behind() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.currentAt.IsZero() || time.Since(x.currentAt) > maxClaimStaleness
}

// CatchUp reads the index up to its present end and applies the records. It does not depend on
// Follow.
func (x *Index) CatchUp(ctx context.Context) error {
	for {
		_, atEnd, err := x.readNext(ctx, 0)
		if err != nil || atEnd {
			return err
		}
	}
}

// Refresh is CatchUp for callers that share reads.
func (x *Index) Refresh(ctx context.Context) error {
	return x.refreshes.Do(ctx, storeReadTimeout, x.CatchUp)
}

// Append appends a record to the index. Concurrent calls share one append to the store.
// The error is port.ErrUnavailable if nothing was written. After any other error the
// record may have been written.
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

// RunAppends writes the records passed to Append until ctx is done.
func (x *Index) RunAppends(ctx context.Context) {
	for {
		var group []*pendingAppend
		select {
		case <-ctx.Done():
			return
		case p := <-x.appends:
			group = append(group, p)
		}
		for more := true; more && len(group) < maxAppendRecords; {
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
			x.storeHealth.recordSuccess()
		} else {
			x.storeHealth.recordFailure(time.Now())
			klog.InfoS("append to the job index failed", "records", len(group), "noEffect", noEffect(err), "err", err)
		}
		for _, p := range group {
			p.done <- err
		}
	}
}
