// Package stream reads the streams of the platform's log.
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
	// maxReadBytes limits one read. It fits two payloads of the maximum size, 512 KiB.
	maxReadBytes = 1 << 20

	// maxPollWait is how long a read waits at the log for the next record. It is
	// below the usual idle timeouts of load balancers and firewalls.
	maxPollWait = 20 * time.Second

	// readSlack is the additional time for the answer to a read. A read that takes
	// longer than the wait and readSlack is treated as being on a dead connection.
	readSlack = 3 * time.Second

	// Backoff has full jitter and a cap, so that the instances do not all retry at
	// the same time when the log is available again.
	backoffBase = 50 * time.Millisecond
	backoffCap  = 2 * time.Second
)

var (
	readErrors  = expvar.NewInt("stream_read_errors_total")
	recordsRead = expvar.NewInt("stream_records_read_total")
	bytesRead   = expvar.NewInt("stream_bytes_read_total")
)

// Clock is a source of time. Tests replace it with a virtual one.
type Clock interface {
	Now() time.Time
	// Sleep waits for d. If ctx ends before, it returns the context's error.
	Sleep(ctx context.Context, d time.Duration) error
}

// WallClock is the Clock of the system.
type WallClock struct{}

// Now returns the current time.
func (WallClock) Now() time.Time { return time.Now() }

// Sleep waits for d or until ctx ends.
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

// Tail reads a stream from an offset and continues with the records that are
// appended later.
type Tail struct {
	Log    port.Log
	Clock  Clock
	Stream string
	// From is the offset of the first record to deliver. If that record has expired,
	// Run starts at the first retained one.
	From int64
}

// Handler receives the records of a stream in order. CaughtUp is called
// whenever a read has reached the end, with the offset of the next record.
type Handler interface {
	Record(port.Record)
	CaughtUp(end int64)
	// Skipped reports that the records from the offset from up to first, without
	// first, expired before they were read.
	Skipped(from, first int64)
}

// Run delivers records to h until ctx ends. It retries failed reads with backoff and
// never delivers a record twice.
func (t *Tail) Run(ctx context.Context, h Handler) error {
	failures := 0
	nextOffset := t.From
	// The first read does not wait, so that CaughtUp is called at once for an empty
	// stream.
	wait := time.Duration(0)
	for ctx.Err() == nil {
		page, err := t.read(ctx, nextOffset, wait)
		if err != nil {
			if first, expired := firstRetained(err); expired {
				h.Skipped(nextOffset, first)
				nextOffset = first
				continue
			}
			if ctx.Err() != nil {
				break
			}
			readErrors.Add(1)
			failures++
			if failures == 1 {
				klog.InfoS("log read failed, retrying", "stream", t.Stream, "offset", nextOffset, "err", err)
			}
			if t.Clock.Sleep(ctx, Backoff(failures)) != nil {
				break
			}
			continue
		}
		if failures > 0 {
			klog.InfoS("log reads succeed again", "stream", t.Stream, "failedReads", failures)
			failures = 0
		}
		nextOffset, wait = deliver(h, page, nextOffset), maxPollWait
	}
	return ctx.Err()
}

func (t *Tail) read(ctx context.Context, from int64, wait time.Duration) (port.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	return t.Log.Read(ctx, t.Stream, from, maxReadBytes, wait)
}

// deliver passes the records of page to h and returns the next offset to read.
func deliver(h Handler, page port.Page, nextOffset int64) int64 {
	for _, r := range page.Records {
		if r.Offset < nextOffset {
			continue
		}
		nextOffset = r.Offset + 1
		recordsRead.Add(1)
		bytesRead.Add(int64(len(r.Payload)))
		h.Record(r)
	}
	if nextOffset >= page.End {
		h.CaughtUp(nextOffset)
	}
	return nextOffset
}

// firstRetained returns the first retained offset if err says that records have
// expired.
func firstRetained(err error) (int64, bool) {
	var expired *port.ExpiredError
	if errors.As(err, &expired) {
		return expired.First, true
	}
	return 0, false
}

// Backoff returns the delay after the given number of consecutive failures: a
// random duration below an exponentially growing, capped limit (full jitter).
func Backoff(failures int) time.Duration {
	limit := backoffCap
	if shift := failures - 1; shift < 6 {
		limit = min(backoffCap, backoffBase<<shift)
	}
	return time.Duration(rand.Int64N(int64(limit)))
}
