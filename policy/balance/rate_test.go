package balance

import (
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/ratelimit"
)

// Guards against a rate report that arrives late, of the same process of a peer or of the one before: the counts of
// requests in it would be charged again, and the server would get nothing for seconds.
func TestOvertakenRateReportsAreIgnored(t *testing.T) {
	// picked returns how many requests the limit of a server allows at once, with and without a late report.
	picked := func(late *RateReport) int {
		tb := newTestTable(1, 100)
		now := epoch
		report := func(included uint64, r RateReport) {
			r.Statement = ratelimit.Statement{Limit: 10, At: now}
			tb.UpdatePeerRates(now, "n", map[string]RateReport{"s00": r}, included)
		}
		for i := range 10 {
			report(1000+10*uint64(i), RateReport{Starts: 10})
			if late != nil && i == 8 {
				report(20, *late)
			}
			now = now.Add(100 * time.Millisecond)
		}
		n := 0
		for q := (Query{Service: "svc", CompleteView: true}); n < 100; n++ {
			if _, ok := tb.Pick(now, q); !ok {
				break
			}
		}
		return n
	}
	want := picked(nil)
	if want < 5 {
		t.Fatalf("the server gets %d requests within its limit", want)
	}
	for name, late := range map[string]RateReport{"same process": {Starts: 5}, "process before": {Starts: 5000}} {
		if n := picked(&late); n != want {
			t.Errorf("late report of the %s: the server gets %d requests within its limit, want %d", name, n, want)
		}
	}
	// Sequence numbers that have begun anew count as soon as reports of the process before can't arrive any more.
	tb := newTestTable(1, 100)
	tb.UpdatePeerRates(epoch, "n", map[string]RateReport{"s00": {ratelimit.Statement{Limit: 10, At: epoch}, 7}}, 1000)
	tb.UpdatePeerRates(epoch.Add(grantTTL), "n", map[string]RateReport{"s00": {ratelimit.Statement{Limit: 20, At: epoch.Add(grantTTL)}, 1}}, 3)
	if limit := tb.servers["s00"].rate.Statement().Limit; limit != 20 {
		t.Errorf("limit %g after a report of a process that counts anew", limit)
	}
}
