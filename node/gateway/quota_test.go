package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
)

// quotaPlacer allows a number of requests.
type quotaPlacer struct {
	localPlacer
	left, charged, returned atomic.Int32
}

func (p *quotaPlacer) Place(q balance.Query) (*fleet.Lease, *balance.Rejection) {
	if !q.Charged {
		if p.left.Add(-1) < 0 {
			return nil, &balance.Rejection{Reason: balance.OverQuota, RetryAfter: 700 * time.Millisecond}
		}
		p.charged.Add(1)
	}
	return p.localPlacer.Place(q)
}

func (p *quotaPlacer) ReturnQuota(balance.Query) { p.returned.Add(1) }

// Guards against a request over its quota that is sent to a server, or refused without the time
// at which it may return; against one request that counts twice because its first server
// fails; and against one that counts though no server ran it.
func TestRequestOverItsQuota(t *testing.T) {
	mode := atomic.Int32{}
	f := newFleet(t, 3, serving.Route{Kind: serving.Safe, MaxAttempts: 3}, func(c net.Conn, _ *http.Request, n int) {
		switch {
		case mode.Load() == 0 && n == 0:
			return // closes the connection
		case mode.Load() == 1:
			fmt.Fprint(c, fullResponse(http.StatusServiceUnavailable, "", "Refused", "1"))
		default:
			fmt.Fprint(c, fullResponse(http.StatusOK, "ok", "Signature", "s"))
		}
	})
	p := &quotaPlacer{localPlacer: localPlacer{f.view}}
	p.left.Store(2)
	f.gateway.Placer, f.gateway.Quotas = p, p
	response, body, err := f.send(t)
	if err != nil || body != "ok" || f.count() != 2 || p.charged.Load() != 1 || p.returned.Load() != 0 {
		t.Fatalf("%v %q %v: %d sent, %d charged, %d returned", response, body, err, f.count(), p.charged.Load(), p.returned.Load())
	}
	mode.Store(1)
	if response, _, err = f.send(t); err != nil || response.StatusCode != http.StatusServiceUnavailable || p.charged.Load() != 2 || p.returned.Load() != 1 {
		t.Fatalf("%v %v: %d charged, %d returned, want 2 and 1", response, err, p.charged.Load(), p.returned.Load())
	}
	sent := f.count()
	response, _, err = f.send(t)
	if err != nil || response.StatusCode != http.StatusTooManyRequests || response.Header.Get("Come-Back") != "700" || f.count() != sent {
		t.Fatalf("%v %v: %d sent, want 429 without a server", response, err, f.count()-sent)
	}
	if got := f.gateway.Metrics.requests.Get("over_quota"); got == nil || got.String() != "1" {
		t.Errorf("over_quota is %v", got)
	}
}
