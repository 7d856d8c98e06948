package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/policy/poison"
)

// Guards against one part of a prompt that crashes server after server because no two of the
// requests that hold it are alike, and against sound requests that share their other parts
// with them being blocked; with few attempts for each request and with many.
func TestPartThatCrashesServers(t *testing.T) {
	for _, attempts := range []int{1, 2, 4} {
		t.Run(fmt.Sprint("attempts", attempts), func(t *testing.T) {
			var crashes atomic.Int64
			route := serving.Route{Kind: serving.Stream, Resumable: true, MaxAttempts: attempts}
			f := newFleet(t, 24, route, func(c net.Conn, r *http.Request, _ int) {
				if strings.Contains(r.Header.Get("Parts"), "deadly") {
					crashes.Add(1)
					return // the connection breaks without a byte
				}
				fmt.Fprintf(c, streamHead, "s")
				fmt.Fprint(c, chunk(event(1)), chunk(event(2)), endOfStream)
			})
			afterFifth := int64(-1)
			for i := range 40 {
				own := fmt.Sprint("own", i)
				f.recover() // the servers are back some seconds after a crash
				before := crashes.Load()
				_, _, _ = f.sendBody(t, own, "Parts", "system,shared,deadly,"+own)
				if afterFifth >= 0 {
					afterFifth += crashes.Load() - before
				} else if crashes.Load() >= 5 {
					afterFifth = 0
				}
				f.recover()
				response, body, err := f.sendBody(t, own+"s", "Parts", "system,shared,"+own+"s")
				if err != nil || response.StatusCode != http.StatusOK || body != event(1)+event(2) {
					t.Fatalf("sound request %d: %v, %v, %q", i, response, err, body)
				}
			}
			// The requirements allow three requests after the fifth crash.
			if afterFifth > 3 {
				t.Errorf("%d requests reach servers after the fifth crash", afterFifth)
			}
		})
	}
}

// Guards against a request that goes on crashing servers because each of them has sent events
// for a while before, and against a request that is blocked though it is answered in between.
func TestRequestThatCrashesServersLate(t *testing.T) {
	for name, answered := range map[string]bool{"crashes": false, "is answered now and then": true} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			f := newFleet(t, 12, serving.Route{Kind: serving.Stream, Resumable: true, MaxAttempts: 1}, func(c net.Conn, _ *http.Request, n int) {
				runs.Add(1)
				fmt.Fprintf(c, streamHead, "s")
				fmt.Fprint(c, chunk(event(1)))
				time.Sleep(beginTime + 20*time.Millisecond)
				if answered && n%2 == 1 {
					fmt.Fprint(c, chunk(event(2)), endOfStream)
				}
			})
			for range 8 {
				f.recover()
				_, _, _ = f.sendBody(t, "body", "Parts", "shared,own")
			}
			if n := runs.Load(); answered != (n == 8) || !answered && n > poison.MaxServers {
				t.Errorf("the request ran %d times", n)
			}
		})
	}
}
