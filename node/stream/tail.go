// Package stream follows and writes the streams of the platform's log.
package stream

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/node/port"
)

const (
	// pageBytes bounds one read; it holds at least two full payloads of 512 KiB.
	pageBytes = 1 << 20

	// pollWait is the longest wait of the log for the next record. It is below
	// the idle limits that load balancers and firewalls commonly have.
	pollWait = 20 * time.Second

	// readSlack is added to pollWait for the answer to arrive. A read that takes
	// longer is on a silent connection.
	readSlack = 3 * time.Second

	// Backoff between failed reads: full jitter below a cap, so that the
	// instances do not all return at once when the log comes back.
	backoffBase = 50 * time.Millisecond
	backoffCap  = 2 * time.Second
)

var (
	readErrors  = expvar.NewInt("stream_read_errors_total")
	recordsRead = expvar.NewInt("stream_records_read_total")
	bytesRead   = expvar.NewInt("stream_bytes_read_total")
)

// Clock is the time source of a duty; tests substitute a virtual one.
type Clock interface {
	Now() time.Time
	// Sleep returns early with the context's error when ctx ends.
	Sleep(ctx context.Context, d time.Duration) error
}

// WallClock is the clock of a running instance.
type WallClock struct{}

// Now returns the current time.
func (WallClock) Now() time.Time { return time.Now() }

// Sleep waits for d.
func (WallClock) Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Tail follows one stream.
type Tail struct {
	Log    port.Log
	Clock  Clock
	Stream string
	// From is the offset of the first record to deliver; below the retained
	// range it is moved up to the first retained record.
	From int64
}

// Handler receives the records of a stream in order. CaughtUp is called
// whenever a read has reached the end, with the offset of the next record.
type Handler interface {
	Record(port.Record)
	CaughtUp(end int64)
	// Skipped reports that the records below first have expired unread.
	Skipped(from, first int64)
}

// Run delivers records to h until ctx ends. It reads again after a failure and
// never delivers a record twice.
func (t *Tail) Run(ctx context.Context, h Handler) error {
	failures := 0
	next := t.From
	// The first read does not wait, so that a reader of an empty stream learns at
	// once that it is at the end.
	wait := time.Duration(0)
	for ctx.Err() == nil {
		page, err := t.read(ctx, next, wait)
		if err != nil {
			if first, expired := expiredAt(err); expired {
				h.Skipped(next, first)
				next = first
				continue
			}
			if ctx.Err() != nil {
				break
			}
			readErrors.Add(1)
			failures++
			if failures == 1 {
				klog.InfoS("Log read failed, retrying", "stream", t.Stream, "offset", next, "err", err)
			}
			if t.Clock.Sleep(ctx, Backoff(failures)) != nil {
				break
			}
			continue
		}
		if failures > 0 {
			klog.InfoS("Log readable again", "stream", t.Stream, "failedReads", failures)
			failures = 0
		}
		next, wait = deliver(h, page, next), pollWait
	}
	return ctx.Err()
}

func (t *Tail) read(ctx context.Context, from int64, wait time.Duration) (port.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	return t.Log.Read(ctx, t.Stream, from, pageBytes, wait)
}

// deliver passes the records of page on and returns the next offset to read.
func deliver(h Handler, page port.Page, next int64) int64 {
	for _, r := range page.Records {
		if r.Offset < next {
			continue
		}
		next = r.Offset + 1
		recordsRead.Add(1)
		bytesRead.Add(int64(len(r.Payload)))
		h.Record(r)
	}
	if next >= page.End {
		h.CaughtUp(next)
	}
	return next
}

func expiredAt(err error) (int64, bool) {
	var expired *port.ExpiredError
	if errors.As(err, &expired) {
		return expired.First, true
	}
	return 0, false
}

// Backoff returns the wait after the given number of failures in a row: a
// random time below an exponentially growing, capped limit (full jitter).
func Backoff(failures int) time.Duration {
	limit := backoffCap
	if shift := failures - 1; shift < 6 {
		limit = min(backoffCap, backoffBase<<shift)
	}
	return time.Duration(rand.Int64N(int64(limit)))
}
