package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
)

// Guards against a queued request that loses its place and fails, because its server is slow to
// respond and the rate limit of the only other server allows no request.
func TestQueuedRequestKeepsItsPlace(t *testing.T) {
	route := serving.Route{Kind: serving.Safe, MaxAttempts: 3, LatencyObjective: 100 * time.Millisecond}
	f := newFleet(t, 2, route, func(c net.Conn, _ *http.Request, _ int) {
		time.Sleep(5 * minResponseTimeout)
		fmt.Fprint(c, fullResponse(http.StatusOK, "late", "Signature", "s"))
	})
	lease, ok := f.view.AcceptPick("s1", balance.Query{Service: "svc"})
	if !ok {
		t.Fatal("no such server")
	}
	lease.RecordRateLimit(0.001)
	lease.End(balance.Answered)
	response, body, err := f.send(t)
	if err != nil || response.StatusCode != http.StatusOK || body != "late" || f.count() != 1 {
		t.Fatalf("%v, %v, %q after %d attempts", response, err, body, f.count())
	}
}
