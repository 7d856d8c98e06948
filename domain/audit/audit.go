// Package audit holds the audit entries of one instance until they stand on the
// audit stream, and selects entries for a reader.
//
// Entries are written in batches within a budget of appends, because the log
// takes only a few hundred appends a second from all its users. While the log is
// down they wait in a bounded buffer; when it is full, new entries are dropped
// and counted, so that the entries about the beginning of an outage stay. The
// next entry that is kept carries the count. A batch keeps its number until its
// append is confirmed, and a Trail takes each number once, so a lost answer does
// not double entries.
package audit

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// Stream is the name of the audit stream on the log.
const Stream = "audit"

// Config holds the bounds of a Buffer.
type Config struct {
	// MaxEntries and MaxBytes bound the entries that wait, encoded.
	MaxEntries int
	MaxBytes   int
	// BatchBytes bounds one batch before compression.
	BatchBytes int
	// MaxBatchDelay is how long an entry may wait for others to share its append.
	MaxBatchDelay time.Duration
	// AppendsPerSecond is this instance's share of the fleet's budget.
	AppendsPerSecond float64
	// RetryInterval is the least time between two attempts at one batch.
	RetryInterval time.Duration
}

// DefaultConfig returns the values used in production; AppendsPerSecond is the
// fleet's budget of 5 divided by 12 instances.
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

// Counters counts what a Buffer has met since it was made.
type Counters struct {
	Added, Dropped, Batches, Written, Retries uint64
}

// Buffer holds the entries that are not known to stand on the stream. It is used
// by one goroutine.
type Buffer struct {
	cfg      Config
	instance string
	epoch    uint64
	seq      uint64
	waiting  []*recordpb.Entry
	bytes    int
	// batch is in flight or to be repeated; attempted is its last attempt.
	batch     *recordpb.Batch
	busy      bool
	attempted time.Time
	oldest    time.Time
	tokens    float64
	refilled  time.Time
	dropped   uint64
	counters  Counters
}

// New returns an empty buffer of the process that started as the given
// incarnation of an instance.
func New(cfg Config, instance string, incarnation uint64, now time.Time) *Buffer {
	return &Buffer{cfg: cfg, instance: instance, epoch: incarnation, tokens: 1, refilled: now}
}

// SetAppendsPerSecond changes the budget, for instance when the number of
// members changes.
func (b *Buffer) SetAppendsPerSecond(rate float64) { b.cfg.AppendsPerSecond = rate }

// Counters returns what the buffer has met.
func (b *Buffer) Counters() Counters { return b.counters }

// Len returns the number of entries that are not known to stand on the stream.
func (b *Buffer) Len() int { return len(b.waiting) + len(b.batch.GetEntries()) }

// Add takes an entry; the buffer sets its instance. It returns false when the
// entry was dropped.
func (b *Buffer) Add(now time.Time, a *recordpb.Audit) bool {
	b.counters.Added++
	a.Instance = b.instance
	a.Dropped = b.dropped
	e := &recordpb.Entry{AtMs: now.UnixMilli(), Kind: &recordpb.Entry_Audit{Audit: a}}
	size := proto.Size(e)
	if b.Len() >= b.cfg.MaxEntries || b.bytes+size > b.cfg.MaxBytes || size > b.cfg.BatchBytes {
		b.dropped++
		b.counters.Dropped++
		return false
	}
	b.dropped = 0
	if len(b.waiting) == 0 {
		b.oldest = now
	}
	b.waiting = append(b.waiting, e)
	b.bytes += size
	return true
}

// NextBatch returns a batch to be appended now, or nil. Its outcome is reported by
// Appended or Failed before NextBatch returns another one.
func (b *Buffer) NextBatch(now time.Time) *recordpb.Batch {
	if b.busy {
		return nil
	}
	b.refill(now)
	if b.tokens < 1 {
		return nil
	}
	switch {
	case b.batch != nil:
		if now.Sub(b.attempted) < b.cfg.RetryInterval {
			return nil
		}
		b.counters.Retries++
	case len(b.waiting) == 0 || b.bytes < b.cfg.BatchBytes && now.Sub(b.oldest) < b.cfg.MaxBatchDelay:
		return nil
	default:
		b.cut(now)
	}
	b.tokens--
	b.busy, b.attempted = true, now
	return b.batch
}

func (b *Buffer) refill(now time.Time) {
	b.tokens = min(1, b.tokens+b.cfg.AppendsPerSecond*now.Sub(b.refilled).Seconds())
	b.refilled = now
}

// cut takes the oldest entries into a new batch.
func (b *Buffer) cut(now time.Time) {
	n, size := 0, 0
	for n < len(b.waiting) {
		s := proto.Size(b.waiting[n])
		if size+s > b.cfg.BatchBytes {
			break
		}
		size += s
		n++
	}
	b.seq++
	b.batch = &recordpb.Batch{Epoch: b.epoch, Seq: b.seq, Instance: b.instance, Entries: append([]*recordpb.Entry(nil), b.waiting[:n]...)}
	b.waiting = append([]*recordpb.Entry(nil), b.waiting[n:]...)
	b.oldest = now
	if len(b.waiting) > 0 {
		b.oldest = time.UnixMilli(b.waiting[0].AtMs)
	}
	b.counters.Batches++
}

// BatchAppended reports that the batch stands on the stream.
func (b *Buffer) BatchAppended() {
	for _, e := range b.batch.GetEntries() {
		b.bytes -= proto.Size(e)
	}
	b.counters.Written += uint64(len(b.batch.GetEntries()))
	b.batch, b.busy = nil, false
}

// BatchFailed reports that the batch was not appended or that its outcome is
// unknown. It is repeated with the same number.
func (b *Buffer) BatchFailed() { b.busy = false }

// Entry is one audit entry as a reader sees it.
type Entry struct {
	At time.Time
	*recordpb.Audit
}

// Deduplicator takes the records of the audit stream in offset order and leaves out
// repeated batches.
type Deduplicator struct {
	last map[string]position
}

type position struct{ epoch, seq uint64 }

// NewDeduplicator returns a trail that has read nothing.
func NewDeduplicator() *Deduplicator { return &Deduplicator{last: map[string]position{}} }

// Apply returns the entries of a batch that was not seen before. Numbers of an
// instance's batches only rise, within a process and from one to the next.
func (t *Deduplicator) Apply(b *recordpb.Batch) []Entry {
	p := t.last[b.Instance]
	if b.Epoch < p.epoch || b.Epoch == p.epoch && b.Seq <= p.seq {
		return nil
	}
	t.last[b.Instance] = position{b.Epoch, b.Seq}
	var out []Entry
	for _, e := range b.Entries {
		if a := e.GetAudit(); a != nil {
			out = append(out, Entry{At: time.UnixMilli(e.AtMs), Audit: a})
		}
	}
	return out
}

// Filter selects audit entries; a zero field selects all.
type Filter struct {
	Since, Until time.Time
	Service      string
	Job          string
	Server       string
	Workspace    string
	Kind         string
}

// Match tells whether the filter selects an entry.
func (f *Filter) Match(i Entry) bool {
	if !f.Since.IsZero() && i.At.Before(f.Since) || !f.Until.IsZero() && !i.At.Before(f.Until) {
		return false
	}
	for _, x := range [...][2]string{
		{f.Service, i.Service}, {f.Job, i.Job}, {f.Server, i.Server}, {f.Workspace, i.Workspace}, {f.Kind, i.Kind},
	} {
		if x[0] != "" && x[0] != x[1] {
			return false
		}
	}
	return true
}
