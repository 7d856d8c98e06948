// Package auditor appends an instance's audit entries to the audit stream and
// answers queries about the entries of the whole fleet.
//
// Entries are queued in a bounded ring, so that Record never blocks. One goroutine
// collects them into batches, within the fleet's rate limit for appends, and
// repeats each batch until its append is confirmed.
package auditor

import (
	"context"
	"expvar"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/audit"
	"github.com/jacinthnotch/jacinthnotch/domain/record"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/ring"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	// queueCapacity limits the entries that wait for the auditor's goroutine.
	queueCapacity = 1024
	// stepInterval is how often the auditor checks whether a batch is due.
	stepInterval  = 100 * time.Millisecond
	appendTimeout = 5 * time.Second
	// defaultAppendsPerSecond is this instance's rate of appends if Options.Budget is
	// nil.
	defaultAppendsPerSecond = 5.0
	// flushAppendsPerSecond is this instance's rate of appends during Flush.
	flushAppendsPerSecond = 20.0
)

var (
	entriesAdded   = expvar.NewInt("audit_entries_total")
	entriesDropped = expvar.NewInt("audit_entries_dropped_total")
	entriesWritten = expvar.NewInt("audit_entries_written_total")
	appendFailures = expvar.NewInt("audit_append_failures_total")
)

// Options configure an Auditor. Instance and Log are required.
type Options struct {
	Instance string
	// Incarnation is the start time of the process in milliseconds since the
	// Unix epoch.
	Incarnation uint64
	Log         port.Log
	// Budget returns the fleet's rate limit in appends per second and the number of
	// members that share it; a limit of zero leaves the rate unchanged. If Budget is
	// nil, defaultAppendsPerSecond applies.
	Budget func() (appendsPerSecond float64, members int)
}

// Auditor writes the audit entries of one instance. Record is safe for concurrent
// use.
type Auditor struct {
	opts   Options
	ring   *ring.Ring[*recordpb.Audit]
	buffer *audit.Buffer
	// appendResult receives the result of the append in flight.
	appendResult chan error
	appends      conc.WaitGroup
	failing      bool
	// countedDrops is the number of entries dropped by the buffer that are included in
	// entriesDropped.
	countedDrops uint64
}

// New returns an Auditor that writes nothing until Run is called.
func New(o Options) *Auditor {
	return &Auditor{opts: o, ring: ring.New[*recordpb.Audit](queueCapacity, entriesDropped), appendResult: make(chan error, 1),
		buffer: audit.New(audit.DefaultConfig(), o.Instance, o.Incarnation, time.Now())}
}

// Record queues an entry. It does not block: if the queue is full, the entry is
// dropped and counted.
func (a *Auditor) Record(entry *recordpb.Audit) {
	entriesAdded.Add(1)
	_ = a.ring.Offer(entry)
}

// Run writes entries until ctx ends.
func (a *Auditor) Run(ctx context.Context) {
	defer a.appends.Wait()
	for ctx.Err() == nil {
		a.step(ctx, time.Now(), 0)
	}
}

// Flush writes the remaining entries after Run has returned. Those that are not
// written when ctx ends are counted as dropped. As Flush is part of a drain, entries
// do not wait for a batch to fill, and the rate of appends is higher.
func (a *Auditor) Flush(ctx context.Context) {
	a.ring.Close()
	a.opts.Budget = func() (float64, int) { return flushAppendsPerSecond, 1 }
	for ctx.Err() == nil && (a.ring.Len() > 0 || a.buffer.Len() > 0) {
		a.step(ctx, time.Now(), audit.DefaultConfig().MaxBatchDelay)
	}
	a.appends.Wait()
	select {
	case err := <-a.appendResult:
		a.handleAppendResult(err)
	default:
	}
	if n := a.buffer.Len() + a.ring.Len(); n > 0 {
		klog.InfoS("audit entries lost at shutdown", "instance", a.opts.Instance, "entries", n)
		entriesDropped.Add(int64(n))
	}
}

// step moves the queued entries to the buffer and starts an append if one is due
// within lookahead. It waits at most stepInterval for an entry.
func (a *Auditor) step(ctx context.Context, now time.Time, lookahead time.Duration) {
	wait, cancel := context.WithTimeout(ctx, stepInterval)
	defer cancel()
	if entry, err := a.ring.Get(wait); err == nil {
		a.addToBuffer(now, entry)
		for range queueCapacity {
			next, ok := a.ring.TryGet()
			if !ok {
				break
			}
			a.addToBuffer(now, next)
		}
	} else if a.ring.Len() == 0 {
		<-wait.Done() // Get does not wait if the ring is closed
	}
	select {
	case err := <-a.appendResult:
		a.handleAppendResult(err)
	default:
	}
	if a.opts.Budget != nil {
		if rate, members := a.opts.Budget(); rate > 0 {
			a.buffer.SetAppendsPerSecond(rate / float64(max(1, members)))
		}
	} else {
		a.buffer.SetAppendsPerSecond(defaultAppendsPerSecond)
	}
	if batch := a.buffer.NextBatch(now.Add(lookahead)); batch != nil {
		a.appends.Go(func() { a.appendResult <- a.append(batch) })
	}
}

func (a *Auditor) addToBuffer(now time.Time, entry *recordpb.Audit) {
	a.buffer.Add(now, entry)
	if d := a.buffer.Counters().Dropped; d > a.countedDrops {
		entriesDropped.Add(int64(d - a.countedDrops))
		a.countedDrops = d
	}
}

func (a *Auditor) append(batch *recordpb.Batch) error {
	payload, err := record.Encode(batch)
	if err != nil {
		return err
	}
	// An append in flight is completed even if Run has been cancelled.
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	_, err = a.opts.Log.Append(ctx, audit.Stream, payload)
	return err
}

// handleAppendResult records the result of an append. A batch whose append failed
// or whose response was lost is repeated under the same number. Readers accept each
// number only once.
func (a *Auditor) handleAppendResult(err error) {
	if (err != nil) != a.failing {
		a.failing = err != nil
		klog.InfoS("audit stream availability changed", "instance", a.opts.Instance, "available", !a.failing, "err", err)
	}
	if err != nil {
		appendFailures.Add(1)
		a.buffer.BatchFailed()
		return
	}
	before := a.buffer.Len()
	a.buffer.BatchAppended()
	entriesWritten.Add(int64(before - a.buffer.Len()))
}
