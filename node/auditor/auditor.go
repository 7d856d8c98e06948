// Package auditor writes an instance's audit entries to the stream audit and
// answers queries about the whole fleet's entries.
//
// Other duties hand in entries through a bounded ring that never blocks them.
// One duty (goroutine) gathers them into batches within the fleet's budget of
// appends and repeats a batch until its append is confirmed.
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
	// ringEntries bounds the entries that wait for the duty.
	ringEntries = 1024
	// tick is how often the duty looks for a batch that is due.
	tick          = 100 * time.Millisecond
	appendTimeout = 5 * time.Second
	// defaultBudget is the fleet's budget before a configuration is in force, in
	// appends per second.
	defaultBudget = 5.0
	// flushRate is the rate of appends at the end of a drain.
	flushRate = 20.0
)

var (
	entriesAdded   = expvar.NewInt("audit_entries_total")
	entriesDropped = expvar.NewInt("audit_entries_dropped_total")
	entriesWritten = expvar.NewInt("audit_entries_written_total")
	appendFailures = expvar.NewInt("audit_append_failures_total")
)

// Options configure the duty. Instance and Log are required.
type Options struct {
	Instance string
	// Incarnation is the start time of the process in milliseconds since the
	// Unix epoch.
	Incarnation uint64
	Log         port.Log
	// Budget returns the fleet's budget in appends per second and the number of
	// members that share it; nil for the defaults.
	Budget func() (appendsPerSecond float64, members int)
}

// Auditor is the audit duty of one instance.
type Auditor struct {
	opts   Options
	ring   *ring.Ring[*recordpb.Audit]
	buffer *audit.Buffer
	// done delivers the end of the append in flight.
	done    chan error
	appends conc.WaitGroup
	failing bool
	dropped uint64
}

// New returns the duty; it does nothing until Run.
func New(o Options) *Auditor {
	return &Auditor{opts: o, ring: ring.New[*recordpb.Audit](ringEntries, entriesDropped), done: make(chan error, 1),
		buffer: audit.New(audit.DefaultConfig(), o.Instance, o.Incarnation, time.Now())}
}

// Record hands in an entry. It does not block; an entry that finds the ring full
// is dropped and counted.
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

// Flush writes what waits after Run has returned, until ctx ends, and counts the
// rest as dropped. It is part of a drain, so that the last entries do not wait
// for others and use a higher rate.
func (a *Auditor) Flush(ctx context.Context) {
	a.ring.Close()
	a.opts.Budget = func() (float64, int) { return flushRate, 1 }
	for ctx.Err() == nil && (a.ring.Len() > 0 || a.buffer.Len() > 0) {
		a.step(ctx, time.Now(), audit.DefaultConfig().MaxBatchDelay)
	}
	a.appends.Wait()
	select {
	case err := <-a.done:
		a.ended(err)
	default:
	}
	if n := a.buffer.Len() + a.ring.Len(); n > 0 {
		klog.InfoS("Audit entries lost at the end of the process", "instance", a.opts.Instance, "entries", n)
		entriesDropped.Add(int64(n))
	}
}

// step takes what is there, starts an append that is due within ahead and waits
// at most a tick.
func (a *Auditor) step(ctx context.Context, now time.Time, ahead time.Duration) {
	wait, cancel := context.WithTimeout(ctx, tick)
	defer cancel()
	if entry, err := a.ring.Get(wait); err == nil {
		a.add(now, entry)
		for range ringEntries {
			next, ok := a.ring.TryGet()
			if !ok {
				break
			}
			a.add(now, next)
		}
	} else if a.ring.Len() == 0 {
		<-wait.Done() // a closed ring does not wait
	}
	select {
	case err := <-a.done:
		a.ended(err)
	default:
	}
	if a.opts.Budget != nil {
		if rate, members := a.opts.Budget(); rate > 0 {
			a.buffer.SetAppendsPerSecond(rate / float64(max(1, members)))
		}
	} else {
		a.buffer.SetAppendsPerSecond(defaultBudget)
	}
	if batch := a.buffer.NextBatch(now.Add(ahead)); batch != nil {
		a.appends.Go(func() { a.done <- a.append(batch) })
	}
}

func (a *Auditor) add(now time.Time, entry *recordpb.Audit) {
	a.buffer.Add(now, entry)
	if d := a.buffer.Counters().Dropped; d > a.dropped {
		entriesDropped.Add(int64(d - a.dropped))
		a.dropped = d
	}
}

func (a *Auditor) append(batch *recordpb.Batch) error {
	payload, err := record.Encode(batch)
	if err != nil {
		return err
	}
	// An append goes on while the process drains.
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	_, err = a.opts.Log.Append(ctx, audit.Stream, payload)
	return err
}

// ended takes in the end of an append. A batch whose append failed or whose
// answer was lost is repeated under its number, which readers take once.
func (a *Auditor) ended(err error) {
	if (err != nil) != a.failing {
		a.failing = err != nil
		klog.InfoS("Audit stream changed state", "instance", a.opts.Instance, "available", !a.failing, "err", err)
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
