package eventlog

import (
	"fmt"
	"strings"
	"sync"
	"testing"
)

// blockedOutput is an output on which Write blocks until open is closed.
type blockedOutput struct {
	open chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (g *blockedOutput) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(b)
}

// Guards against a logging goroutine that blocks on a slow output, and against
// dropped lines that are not reported.
func TestWriteDoesNotBlock(t *testing.T) {
	out := &blockedOutput{open: make(chan struct{})}
	w := New(out)
	const lines = 3 * maxQueuedLines
	for i := range lines {
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	close(out.open)
	w.Close()
	text := out.text.String()
	if n := strings.Count(text, "line "); n < maxQueuedLines || n > maxQueuedLines+1 {
		t.Errorf("%d lines written, the queue holds %d", n, maxQueuedLines)
	}
	if !strings.Contains(text, "log lines dropped: ") {
		t.Error("the dropped lines are not reported")
	}
}

// Guards against the loss of queued lines when the process ends.
func TestCloseWritesQueuedLines(t *testing.T) {
	out := &blockedOutput{open: make(chan struct{})}
	close(out.open)
	w := New(out)
	fmt.Fprintln(w, "stop")
	w.Close()
	if out.text.String() != "stop\n" {
		t.Errorf("%q", out.text.String())
	}
}
