// Package eventlog writes log lines to an output that may be slow, without
// blocking the goroutines that log.
package eventlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines limits the lines that wait for the output. While the queue is
	// full, new lines are dropped and counted.
	maxQueuedLines = 2048
	// maxQueuedBytes limits them in bytes: a line may quote what a client sent.
	maxQueuedBytes = 4 << 20
	// reportInterval is the minimum time between two reports of dropped lines.
	reportInterval = time.Second
)

// Writer is an io.Writer that never blocks. Each call of Write passes one line.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	// queued is the number of bytes that wait for the output.
	queued atomic.Int64
	done   chan struct{}
	once   sync.Once
}

// New returns a Writer that writes to out in a goroutine of its own, which ends
// with Close.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues a copy of one line, or drops it if the queue is full. It always
// reports success.
func (w *Writer) Write(b []byte) (int, error) {
	if w.queued.Add(int64(len(b))) > maxQueuedBytes {
		w.drop(b)
		return len(b), nil
	}
	line := append([]byte(nil), b...)
	select {
	case w.lines <- line:
	default:
		w.drop(b)
	}
	return len(b), nil
}

// drop counts a line that is not queued.
func (w *Writer) drop(b []byte) {
	w.queued.Add(-int64(len(b)))
	w.dropped.Add(1)
}

// Dropped returns the number of lines dropped since the last report of dropped
// lines.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close waits until all queued lines are written. Write must not be called
// afterwards.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	var reported time.Time
	for line := range w.lines {
		// Errors are ignored: this output is where they would be logged.
		_, _ = out.Write(line)
		w.queued.Add(-int64(len(line)))
		if now := time.Now(); w.dropped.Load() > 0 && now.Sub(reported) > reportInterval {
			reported = now
			_, _ = fmt.Fprintf(out, "log lines dropped: %d\n", w.dropped.Swap(0))
		}
	}
}
