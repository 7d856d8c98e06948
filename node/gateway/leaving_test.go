package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// leavingAnswers are answers of a server that is leaving.
var leavingAnswers = map[string]string{
	"whole answer":        fullResponse(http.StatusOK, "body", "Signature", "s", "Leaving", "1"),
	"error":               fullResponse(http.StatusInternalServerError, "failed", "Signature", "s", "Leaving", "1"),
	"error of the caller": fullResponse(http.StatusNotFound, "no", "Signature", "s", "Leaving", "1"),
	"refusal":             fullResponse(http.StatusServiceUnavailable, "full", "Refused", "1", "Leaving", "1"),
	"stream":              fmt.Sprintf(streamHead, "s\r\nLeaving: 1\r\nConnection: close") + chunk(event(1)) + endOfStream,
	"broken stream":       fmt.Sprintf(streamHead, "s\r\nLeaving: 1\r\nConnection: close") + chunk(event(1)),
}

// Guards against requests, retries and resumed streams reaching a server that has said in an
// answer that it is leaving, whatever its entry and its later answers say.
func TestServerThatSaysItLeavesGetsNothingMore(t *testing.T) {
	for name, answer := range leavingAnswers {
		t.Run(name, func(t *testing.T) {
			route := serving.Route{Kind: serving.Stream, Resumable: true, MaxAttempts: 3}
			f := newFleet(t, 2, route, func(c net.Conn, r *http.Request, _ int) {
				if r.Header.Get("Expect-Server") == "s0" {
					fmt.Fprint(c, answer)
					return
				}
				after := 0
				_, _ = fmt.Sscan(r.Header.Get("After"), &after)
				fmt.Fprintf(c, streamHead, "s\r\nConnection: close")
				fmt.Fprint(c, chunk(event(after+1)), endOfStream)
			})
			requests := func() (leaving, all int) {
				f.mu.Lock()
				defer f.mu.Unlock()
				for _, r := range f.requests {
					if r.Header.Get("Expect-Server") == "s0" {
						leaving++
					}
				}
				return leaving, len(f.requests)
			}
			for n := 0; n == 0; n, _ = requests() {
				_, _, _ = f.send(t)
			}
			for _, change := range []func(){
				func() {},
				func() { f.view.ApplyServers(f.entries, true) },
				func() { f.view.ApplyServers([]port.Entry[serving.Server]{{Key: "s0"}}, false) },
				func() { f.view.ApplyServers(f.entries, true) },
			} {
				change()
				for range 10 {
					_, _, _ = f.send(t)
				}
			}
			if leaving, all := requests(); leaving != 1 || all < 40 {
				t.Errorf("%d of %d requests reached the server, want 1", leaving, all)
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
	_, _, _ = f.send(t)
	if response, _, err := f.send(t); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("%v %v, want an answer", response, err)
	}
}
