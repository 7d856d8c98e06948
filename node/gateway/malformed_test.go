package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
)

// Guards against an answer whose status HTTP does not know reaching the caller, or being tried no further on
// a route that allows it.
func TestUnknownStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		for name, c := range map[string]struct {
			route serving.Route
			sound string
			want  int
		}{
			"safe":   {safeRoute(), fullResponse(http.StatusOK, "ok", "Signature", "s"), http.StatusOK},
			"stream": {streamRoute(true), fmt.Sprintf(streamHead, "s") + chunk(event(1)) + endOfStream, http.StatusOK},
			"once":   {serving.Route{Kind: serving.Unsafe, MaxAttempts: 3}, fullResponse(http.StatusOK, "ok", "Signature", "s"), http.StatusBadGateway},
		} {
			f := newFleet(t, 2, c.route, func(conn net.Conn, _ *http.Request, n int) {
				if n > 0 {
					fmt.Fprint(conn, c.sound)
					return
				}
				fmt.Fprintf(conn, "HTTP/1.1 %s X\r\nId: id-1\r\nSignature: s\r\nContent-Length: 4\r\n\r\nbody", status)
			})
			if response, body, err := f.send(t); err != nil || response.StatusCode != c.want {
				t.Errorf("status %s, %s: %v, body %q, error %v; want status %d", status, name, response, body, err, c.want)
			}
		}
	}
}
