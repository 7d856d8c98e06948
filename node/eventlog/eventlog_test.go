package eventlog

import (
	"fmt"
	"strings"
	"sync"
	"testing"
)

// gate is an output that does not take lines until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (g *gate) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(b)
}

// Guards against a duty that waits for a slow output, and against lines that are lost
// without a word.
func TestSlowOutputBlocksNobody(t *testing.T) {
	out := &gate{open: make(chan struct{})}
	w := New(out)
	const lines = 3 * capacity
	for i := range lines {
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	close(out.open)
	w.Close()
	text := out.text.String()
	if n := strings.Count(text, "line "); n < capacity || n > capacity+1 {
		t.Errorf("%d lines written, %d may wait", n, capacity)
	}
	if !strings.Contains(text, "log lines dropped: ") {
		t.Error("the dropped lines are not reported")
	}
}

// Guards against the last lines of a process being lost at its end.
func TestCloseWritesWhatWaits(t *testing.T) {
	out := &gate{open: make(chan struct{})}
	close(out.open)
	w := New(out)
	fmt.Fprintln(w, "stop")
	w.Close()
	if out.text.String() != "stop\n" {
		t.Errorf("%q", out.text.String())
	}
}
