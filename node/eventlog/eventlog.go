// Package eventlog passes log lines on to a slow output without blocking the
// duties that write them.
package eventlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// capacity is the number of lines that may wait; the oldest wait longest and
	// new ones are dropped and counted when it is reached.
	capacity = 2048
	// reportInterval is the least time between two lines about dropped lines.
	reportInterval = time.Second
)

// Writer is an io.Writer that never blocks. Each Write is one line.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// New returns a writer to out. Close writes what waits.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, capacity), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write takes one line, or drops it when too many wait.
func (w *Writer) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of lines dropped since the last report of them.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close waits until the lines that were taken are written. Write must not be
// called after it.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	var reported time.Time
	for line := range w.lines {
		// The output is the place for errors; a failure of its own has none.
		_, _ = out.Write(line)
		if now := time.Now(); w.dropped.Load() > 0 && now.Sub(reported) > reportInterval {
			reported = now
			_, _ = fmt.Fprintf(out, "log lines dropped: %d\n", w.dropped.Swap(0))
		}
	}
}
