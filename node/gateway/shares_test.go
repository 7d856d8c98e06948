package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
)

// sharePlacer rejects the requests that may be over their share from a number of them on.
type sharePlacer struct {
	localPlacer
	from       int
	objectives []time.Duration
}

func (p *sharePlacer) Place(q balance.Query) (*fleet.Lease, *balance.Rejection) {
	p.objectives = append(p.objectives, q.Objective)
	if len(p.objectives) > p.from && q.Objective > 0 {
		return nil, &balance.Rejection{Reason: balance.OverShare, RetryAfter: 700 * time.Millisecond}
	}
	return p.localPlacer.Place(q)
}

// Guards against a request over its share that is not refused at once with its turn, that runs
// all the same, and against one that is refused so after a server may have run it.
func TestRequestOverItsShare(t *testing.T) {
	for _, tc := range []struct {
		name            string
		from            int
		status, servers int
		retryAfter      string
	}{
		{"before any server", 0, http.StatusServiceUnavailable, 0, "700"},
		{"after a server broke off", 1, http.StatusOK, 2, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			route := serving.Route{Kind: serving.Safe, MaxAttempts: 3, LatencyObjective: 300 * time.Millisecond}
			f := newFleet(t, 2, route, func(c net.Conn, _ *http.Request, n int) {
				if n > 0 {
					_, _ = c.Write([]byte(fullResponse(http.StatusOK, "ok", "Signature", "s")))
				}
			})
			placer := &sharePlacer{localPlacer: localPlacer{f.view}, from: tc.from}
			f.gateway.Placer = placer
			response, _, err := f.send(t, "Patience", "5000")
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != tc.status || response.Header.Get("Come-Back") != tc.retryAfter || f.count() != tc.servers {
				t.Errorf("status %d, return after %q, %d servers; objectives %v", response.StatusCode, response.Header.Get("Come-Back"), f.count(), placer.objectives)
			}
			if counted := f.gateway.Metrics.requests.Get("over_share"); (counted != nil) != (tc.servers == 0) {
				t.Errorf("over_share is %v", counted)
			}
		})
	}
}
