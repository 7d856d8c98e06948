package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/internal/budget"
)

// Guards against large responses that each fit into memory and together do not, against memory
// that stays taken after its call, and against callers that miss a part of such a response.
func TestBuffersOfManyResponses(t *testing.T) {
	const (
		requests = 24
		size     = 900 << 10
		limit    = 2 << 20
		share    = 64 << 10
	)
	body := strings.Repeat("x", size)
	var arrived sync.WaitGroup
	arrived.Add(requests)
	f := newFleet(t, 8, serving.Route{Kind: serving.Safe, MaxAttempts: 1}, func(c net.Conn, _ *http.Request, _ int) {
		answer := fullResponse(http.StatusOK, body, "Signature", "s")
		_, _ = io.WriteString(c, answer[:len(answer)-1])
		// All but the end of each response has arrived at the same time.
		arrived.Done()
		arrived.Wait()
		_, _ = io.WriteString(c, answer[len(answer)-1:])
	})
	f.gateway.Buffers = budget.New(limit, share)
	var most atomic.Int64
	var over atomic.Bool
	var sampler, callers sync.WaitGroup
	sampler.Go(func() {
		for !over.Load() {
			most.Store(max(most.Load(), int64(f.gateway.Buffers.Used())))
			time.Sleep(time.Millisecond)
		}
	})
	for n := range requests {
		callers.Go(func() {
			if response, got, err := f.send(t, "Number", fmt.Sprint(n)); err != nil || response.StatusCode != http.StatusOK || got != body {
				t.Errorf("request %d: %v, %d bytes, %v", n, response, len(got), err)
			}
		})
	}
	callers.Wait()
	over.Store(true)
	sampler.Wait()
	if bound := int64(limit + requests*share); most.Load() > bound {
		t.Errorf("%d bytes of responses buffered, want at most %d", most.Load(), bound)
	}
	if used := f.gateway.Buffers.Used(); used != 0 {
		t.Errorf("%d bytes still count after all calls", used)
	}
}

// Guards against a large error response that is appended to the events of a stream which broke
// at another server.
func TestLargeErrorResponseToAResumedStream(t *testing.T) {
	route := serving.Route{Kind: serving.Stream, Resumable: true, MaxAttempts: 2, Timeout: 5 * time.Second, GapObjective: 100 * time.Millisecond}
	f := newFleet(t, 2, route, func(c net.Conn, _ *http.Request, n int) {
		if n == 0 {
			fmt.Fprintf(c, streamHead, "s")
			_, _ = io.WriteString(c, chunk(event(1)))
			return
		}
		_, _ = io.WriteString(c, fullResponse(http.StatusNotFound, strings.Repeat("x", 2*maxBufferedResponseBytes), "Signature", "s"))
	})
	if _, body, err := f.send(t, "Patience", "3000"); err == nil || body != event(1) {
		t.Fatalf("%d bytes, error %v; want the event and a broken connection", len(body), err)
	}
}
