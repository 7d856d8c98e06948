package stream

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// scriptedLog returns prepared read results and cancels the context after the last.
type scriptedLog struct {
	results []readResult
	froms   []int64
	cancel  context.CancelFunc
}

type readResult struct {
	page port.Page
	err  error
}

func (l *scriptedLog) Append(context.Context, string, []byte) (int64, error) {
	return 0, port.ErrUnavailable
}

func (l *scriptedLog) Read(_ context.Context, _ string, from int64, _ int, _ time.Duration) (port.Page, error) {
	l.froms = append(l.froms, from)
	if len(l.results) == 0 {
		l.cancel()
		return port.Page{}, context.Canceled
	}
	result := l.results[0]
	l.results = l.results[1:]
	return result.page, result.err
}

type collector struct {
	offsets  []int64
	caughtUp []int64
	skipped  []int64
}

func (c *collector) Record(r port.Record)      { c.offsets = append(c.offsets, r.Offset) }
func (c *collector) CaughtUp(end int64)        { c.caughtUp = append(c.caughtUp, end) }
func (c *collector) Skipped(from, first int64) { c.skipped = append(c.skipped, from, first) }

type noSleepClock struct{ WallClock }

func (noSleepClock) Sleep(ctx context.Context, _ time.Duration) error { return ctx.Err() }

func page(first, end int64, offsets ...int64) port.Page {
	p := port.Page{First: first, End: end}
	for _, o := range offsets {
		p.Records = append(p.Records, port.Record{Offset: o})
	}
	return p
}

// Guards against a record that is delivered twice or lost when reads fail or
// overlap, or when the first records have expired.
func TestTailDeliversEachRecordOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	log := &scriptedLog{cancel: cancel, results: []readResult{
		{err: &port.ExpiredError{Stream: "s", First: 5}},
		{page: page(5, 8, 5, 6)},
		{err: port.ErrUnavailable},
		{page: page(5, 8, 6, 7)},
		{page: page(5, 8)},
	}}
	var collected collector
	tail := &Tail{Log: log, Clock: noSleepClock{}, Stream: "s"}
	if err := tail.Run(ctx, &collected); !errors.Is(err, context.Canceled) {
		t.Fatalf("Run: %v", err)
	}
	equal(t, "delivered", collected.offsets, 5, 6, 7)
	equal(t, "skipped", collected.skipped, 0, 5)
	equal(t, "caught up at", collected.caughtUp, 8, 8)
	equal(t, "reads from", log.froms, 0, 5, 7, 7, 8, 8)
}

func equal(t *testing.T, what string, got []int64, want ...int64) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("%s: %v, want %v", what, got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("%s: %v, want %v", what, got, want)
		}
	}
}
