// Package audit buffers the audit entries of an instance until they have been
// appended to the audit stream, and filters the entries of the stream for a reader.
//
// Entries are written in batches at a limited rate of appends, because the log
// handles only a few hundred appends per second from all its users. While the log
// is unavailable, entries remain in a bounded buffer. When the buffer is full, new
// entries are dropped and counted, so that the entries about the beginning of an
// outage are kept. The next entry that is added carries the count.
//
// A batch keeps its number until its append is confirmed. A Deduplicator accepts
// each number once, so a batch that is appended again after a lost response does not
// duplicate entries.
package audit

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// Stream is the name of the audit stream on the log.
const Stream = "audit"

// Config holds the limits of a Buffer.
type Config struct {
	// MaxEntries and MaxBytes limit the number and the encoded size of the entries
	// that are not known to be appended.
	MaxEntries int
	MaxBytes   int
	// BatchBytes limits the size of a batch before compression.
	BatchBytes int
	// MaxBatchDelay is the longest time that an entry waits for a batch to fill.
	MaxBatchDelay time.Duration
	// AppendsPerSecond is the instance's share of the fleet's append rate.
	AppendsPerSecond float64
	// RetryInterval is the minimum time between two attempts to append a batch.
	RetryInterval time.Duration
}

// DefaultConfig returns the production values. AppendsPerSecond is the fleet's default
// rate of 5 divided by 12 instances.
func DefaultConfig() Config {
	return Config{
		MaxEntries:       8192,
		MaxBytes:         4 << 20,
		BatchBytes:       256 << 10,
		MaxBatchDelay:    2 * time.Second,
		AppendsPerSecond: 5.0 / 12,
		RetryInterval:    time.Second,
	}
}

// Counters counts the events of a Buffer since it was created. Added includes the dropped
// entries.
type Counters struct {
	Added, Dropped, Batches, Written, Retries uint64
}

// Buffer holds the entries that are not known to be appended to the stream. It is not safe
// for concurrent use.
type Buffer struct {
	cfg      Config
	instance string
	epoch    uint64
	seq      uint64
	// pending holds the entries that are not in a batch yet.
	pending []*recordpb.Entry
	// bytes is the encoded size of the pending entries and of those in batch.
	bytes int
	// batch is the batch to append, if any. inFlight is set while an attempt is in
	// progress; lastAttempt is when the latest attempt began.
	batch       *recordpb.Batch
	inFlight    bool
	lastAttempt time.Time
	// oldestPending is when the first of the pending entries was added.
	oldestPending time.Time
	// tokens is the number of appends that the rate allows, at most one.
	tokens     float64
	lastRefill time.Time
	// droppedSinceAdd is the number of entries dropped since the last one was added.
	droppedSinceAdd uint64
	counters        Counters
}

// New returns an empty buffer for an incarnation of an instance. The incarnation is the
// epoch of the batches; it has to increase with every start of the instance.
func New(cfg Config, instance string, incarnation uint64, now time.Time) *Buffer {
	return &Buffer{cfg: cfg, instance: instance, epoch: incarnation, tokens: 1, lastRefill: now}
}

// SetAppendsPerSecond changes the append rate, for example when the number of members
// changes.
func (b *Buffer) SetAppendsPerSecond(rate float64) { b.cfg.AppendsPerSecond = rate }

// Counters returns a copy of the counters.
func (b *Buffer) Counters() Counters { return b.counters }

// Len returns the number of entries that are not known to be appended to the stream.
func (b *Buffer) Len() int { return len(b.pending) + len(b.batch.GetEntries()) }

// Add adds an entry and sets its fields Instance and Dropped. It returns false if the
// entry was dropped.
func (b *Buffer) Add(now time.Time, a *recordpb.Audit) bool {
	b.counters.Added++
	a.Instance = b.instance
	a.Dropped = b.droppedSinceAdd
	e := &recordpb.Entry{AtMs: now.UnixMilli(), Kind: &recordpb.Entry_Audit{Audit: a}}
	size := proto.Size(e)
	if b.Len() >= b.cfg.MaxEntries || b.bytes+size > b.cfg.MaxBytes || size > b.cfg.BatchBytes {
		b.droppedSinceAdd++
		b.counters.Dropped++
		return false
	}
	b.droppedSinceAdd = 0
	if len(b.pending) == 0 {
		b.oldestPending = now
	}
	b.pending = append(b.pending, e)
	b.bytes += size
	return true
}

// NextBatch returns the batch to append now, or nil. The caller reports its outcome by
// BatchAppended or BatchFailed; until then NextBatch returns nil.
func (b *Buffer) NextBatch(now time.Time) *recordpb.Batch {
	if b.inFlight {
		return nil
	}
	b.refill(now)
	if b.tokens < 1 {
		return nil
	}
	switch {
	case b.batch != nil:
		if now.Sub(b.lastAttempt) < b.cfg.RetryInterval {
			return nil
		}
		b.counters.Retries++
	case len(b.pending) == 0 || b.bytes < b.cfg.BatchBytes && now.Sub(b.oldestPending) < b.cfg.MaxBatchDelay:
		return nil
	default:
		b.startBatch(now)
	}
	b.tokens--
	b.inFlight, b.lastAttempt = true, now
	return b.batch
}

// refill adds the tokens earned since the last refill. At most one token is kept, which
// allows no bursts of appends.
func (b *Buffer) refill(now time.Time) {
	b.tokens = min(1, b.tokens+b.cfg.AppendsPerSecond*now.Sub(b.lastRefill).Seconds())
	b.lastRefill = now
}

// startBatch moves the oldest pending entries into a new batch of at most BatchBytes.
func (b *Buffer) startBatch(now time.Time) {
	n, size := 0, 0
	for n < len(b.pending) {
		s := proto.Size(b.pending[n])
		if size+s > b.cfg.BatchBytes {
			break
		}
		size += s
		n++
	}
	b.seq++
	b.batch = &recordpb.Batch{Epoch: b.epoch, Seq: b.seq, Instance: b.instance, Entries: append([]*recordpb.Entry(nil), b.pending[:n]...)}
	b.pending = append([]*recordpb.Entry(nil), b.pending[n:]...)
	b.oldestPending = now
	if len(b.pending) > 0 {
		b.oldestPending = time.UnixMilli(b.pending[0].AtMs)
	}
	b.counters.Batches++
}

// BatchAppended reports that the batch was appended to the stream.
func (b *Buffer) BatchAppended() {
	for _, e := range b.batch.GetEntries() {
		b.bytes -= proto.Size(e)
	}
	b.counters.Written += uint64(len(b.batch.GetEntries()))
	b.batch, b.inFlight = nil, false
}

// BatchFailed reports that the batch was not appended or that the outcome is unknown. The
// batch is retried with the same number.
func (b *Buffer) BatchFailed() { b.inFlight = false }

// Entry is an audit entry read from the stream.
type Entry struct {
	At time.Time
	*recordpb.Audit
}

// Deduplicator removes repeated batches from the records of the audit stream. The records
// have to be applied in offset order.
type Deduplicator struct {
	lastBatch map[string]batchNumber
}

// batchNumber identifies a batch of an instance.
type batchNumber struct{ epoch, seq uint64 }

// NewDeduplicator returns a Deduplicator that has seen no batch.
func NewDeduplicator() *Deduplicator { return &Deduplicator{lastBatch: map[string]batchNumber{}} }

// Apply returns the entries of a batch, or nil if the batch is a repetition. An instance's
// batch numbers increase within an incarnation (Seq) and from one incarnation to the next
// (Epoch).
func (d *Deduplicator) Apply(b *recordpb.Batch) []Entry {
	last := d.lastBatch[b.Instance]
	if b.Epoch < last.epoch || b.Epoch == last.epoch && b.Seq <= last.seq {
		return nil
	}
	d.lastBatch[b.Instance] = batchNumber{b.Epoch, b.Seq}
	var out []Entry
	for _, e := range b.Entries {
		if a := e.GetAudit(); a != nil {
			out = append(out, Entry{At: time.UnixMilli(e.AtMs), Audit: a})
		}
	}
	return out
}

// Filter selects audit entries. A zero field matches every entry. Since is inclusive and
// Until is exclusive.
type Filter struct {
	Since, Until time.Time
	Service      string
	Job          string
	Server       string
	Workspace    string
	Kind         string
}

// Match reports whether the filter selects an entry.
func (f *Filter) Match(e Entry) bool {
	if !f.Since.IsZero() && e.At.Before(f.Since) || !f.Until.IsZero() && !e.At.Before(f.Until) {
		return false
	}
	for _, x := range [...][2]string{
		{f.Service, e.Service}, {f.Job, e.Job}, {f.Server, e.Server}, {f.Workspace, e.Workspace}, {f.Kind, e.Kind},
	} {
		if x[0] != "" && x[0] != x[1] {
			return false
		}
	}
	return true
}
