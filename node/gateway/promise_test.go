package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
)

// Guards against a server's 503, 429, 408 or 421 after which a request that must run once may have
// run: to the caller these statuses promise that it has not, and it sends the request again.
func TestPromiseOfAServerThatMayHaveRunTheRequest(t *testing.T) {
	routes := map[string]serving.Route{
		"unsafe": {Kind: serving.Unsafe, MaxAttempts: 3, Timeout: 5 * time.Second},
		"stream": streamRoute(false),
	}
	bodies := map[string]string{"short": "failed midway", "long": strings.Repeat("x", maxBufferedResponseBytes+readChunkBytes+1)}
	for routeName, route := range routes {
		for bodyName, sent := range bodies {
			for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest} {
				t.Run(fmt.Sprintf("%s/%s/%d", routeName, bodyName, status), func(t *testing.T) {
					f := newFleet(t, 3, route, func(c net.Conn, _ *http.Request, _ int) {
						fmt.Fprint(c, fullResponse(status, sent, "Signature", "s", "Come-Back", "5"))
					})
					response, body, err := f.send(t)
					if err != nil {
						t.Fatal(err)
					}
					if response.StatusCode != http.StatusBadGateway || f.count() != 1 || body == sent {
						t.Errorf("status %d after %d sends, body of %d bytes", response.StatusCode, f.count(), len(body))
					}
					if response.Header.Get("Signature") != "" || response.Header.Get("Come-Back") != "" {
						t.Errorf("the gateway's own failure has headers of the server: %v", response.Header)
					}
				})
			}
		}
	}
}

// Guards against a 503 that takes the retry on another server from a request that may run twice, and
// against a failure of the gateway in place of the server's when no attempt is left.
func TestPromiseOfAServerForARepeatableRequest(t *testing.T) {
	for _, recovers := range []bool{true, false} {
		f := newFleet(t, 3, safeRoute(), func(c net.Conn, _ *http.Request, n int) {
			if n > 0 && recovers {
				fmt.Fprint(c, fullResponse(http.StatusOK, "done", "Signature", "s2"))
				return
			}
			fmt.Fprint(c, fullResponse(http.StatusServiceUnavailable, "failed midway", "Signature", "s"))
		})
		want := http.StatusServiceUnavailable
		if recovers {
			want = http.StatusOK
		}
		if response, _, err := f.send(t); err != nil || response.StatusCode != want || f.count() != 2 || response.Header.Get("Signature") == "" {
			t.Fatalf("%v %v after %d sends", response, err, f.count())
		}
	}
}
