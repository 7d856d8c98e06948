package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// Guards against requests, retries and resumed streams reaching a server that has said in an
// answer that it is leaving, whatever its entry and its later answers say.
func TestServerThatSaysItLeavesGetsNothingMore(t *testing.T) {
	const leavingStream = "s\r\nLeaving: 1\r\nConnection: close"
	for name, answer := range map[string]string{
		"whole answer":  fullResponse(http.StatusOK, "body", "Signature", "s", "Leaving", "1"),
		"error":         fullResponse(http.StatusInternalServerError, "failed", "Signature", "s", "Leaving", "1"),
		"refusal":       fullResponse(http.StatusServiceUnavailable, "full", "Refused", "1", "Leaving", "1"),
		"stream":        fmt.Sprintf(streamHead, leavingStream) + chunk(event(1)) + endOfStream,
		"broken stream": fmt.Sprintf(streamHead, leavingStream) + chunk(event(1)),
	} {
		t.Run(name, func(t *testing.T) {
			var toLeaving, toOther atomic.Int64
			f := newFleet(t, 2, serving.Route{Kind: serving.Stream, Resumable: true, MaxAttempts: 3}, func(c net.Conn, r *http.Request, _ int) {
				if r.Header.Get("Expect-Server") == "s0" {
					toLeaving.Add(1)
					fmt.Fprint(c, answer)
					return
				}
				toOther.Add(1)
				after := 0
				_, _ = fmt.Sscan(r.Header.Get("After"), &after)
				fmt.Fprintf(c, streamHead, "s\r\nConnection: close")
				fmt.Fprint(c, chunk(event(after+1)), endOfStream)
			})
			for range 200 {
				if f.send(t); toLeaving.Load() > 0 {
					break
				}
			}
			toOther.Store(0)
			f.view.ApplyServers([]port.Entry[serving.Server]{{Key: "s0"}}, false)
			for range 20 {
				f.view.ApplyServers(f.entries, true)
				f.send(t)
			}
			if toLeaving.Load() != 1 || toOther.Load() != 20 {
				t.Errorf("%d requests reached the server, want 1, and %d the other, want 20", toLeaving.Load(), toOther.Load())
			}
		})
	}
}

// Guards against a server being given up because another one at its address is leaving.
func TestOtherServerAtTheAddressLeaves(t *testing.T) {
	f := newFleet(t, 1, serving.Route{Kind: serving.Safe, MaxAttempts: 2}, func(c net.Conn, _ *http.Request, n int) {
		if n == 0 {
			fmt.Fprint(c, fullResponse(http.StatusMisdirectedRequest, "", "Refused", "1", "Leaving", "1", "Server-Id", "other"))
			return
		}
		fmt.Fprint(c, fullResponse(http.StatusOK, "body", "Signature", "s"))
	})
	f.send(t)
	if response, _, err := f.send(t); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("%v %v, want an answer", response, err)
	}
}
