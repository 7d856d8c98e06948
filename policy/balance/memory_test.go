package balance

import (
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
)

// Guards against requests that overflow the memory of a server while another one has room, where
// the newest request is then read again or the server crashes.
func TestRequestsStayWithinTheMemory(t *testing.T) {
	large := Query{Service: "svc", CompleteView: true, PromptTokens: 40_000, Bytes: 500_000}
	small := Query{Service: "svc", CompleteView: true, PromptTokens: 400, Bytes: 1000}
	batch := large
	batch.Class, batch.Headroom = Batch, 1
	for name, c := range map[string]struct {
		placed []Query // they are placed on s00, s01, s00 and so on
		crash  bool
		q      Query
		want   string
	}{
		"room on both":                {nil, false, large, "s00"},
		"no room on the emptier one":  {[]Query{large, small, small, small, small, small, small, small}, false, large, "s01"},
		"a small one still fits":      {[]Query{large, small, small, small, small, small}, false, small, "s00"},
		"no room at all":              {[]Query{large, large}, false, large, "s00"},
		"an item waits for room":      {[]Query{large, large}, false, batch, ""},
		"an item gets an idle server": {[]Query{large}, false, batch, "s01"},
	} {
		tb := newTestTable(2, 8)
		tb.SetKVCaches(map[string]int64{"svc": 72_000})
		for i, q := range c.placed {
			s := tb.servers[[]string{"s00", "s01"}[i%2]]
			tb.recordPlacement(epoch, s, &q)
			tb.RequestStarted(s.server.ID, Online)
		}
		if name == "no room on the emptier one" {
			tb.RequestEnded(epoch, "s00", Online, Answered)
		}
		got := ""
		if choice, ok := tb.Pick(epoch, c.q); ok {
			got = choice.Server.ID
		}
		if got != c.want {
			t.Errorf("%s: placed on %q, want %q", name, got, c.want)
		}
	}
}

// Guards against servers that crash again and again by what they hold, and against a bound from a
// server that left as announced.
func TestBytesStayBelowWhatCrashedAServer(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		tb := newTestTable(3, 8)
		tb.SetKVCaches(map[string]int64{"svc": 72_000})
		q := Query{Service: "svc", CompleteView: true, Bytes: 900_000}
		tb.recordPlacement(epoch, tb.servers["s02"], &q)
		tb.RequestStarted("s02", Online)
		tb.RequestEnded(epoch, "s02", Online, Failed)
		servers := map[string]*serving.Server{}
		for id, s := range tb.servers {
			servers[id] = s.server
		}
		servers["s02"].Leaving = leaving
		delete(servers, "s02")
		tb.SetServers(epoch, servers)
		if bound := tb.PromptStats()["svc"].MaxBytes; (bound > 0) == leaving {
			t.Errorf("leaving %v: bound %d", leaving, bound)
		}
		half := Query{Service: "svc", CompleteView: true, Bytes: 500_000}
		tb.recordPlacement(epoch, tb.servers["s00"], &half)
		tb.RequestStarted("s00", Online)
		tb.RequestStarted("s01", Online)
		tb.RequestStarted("s01", Online)
		want := "s01"
		if leaving {
			want = "s00"
		}
		if choice, _ := tb.Pick(epoch.Add(time.Second), half); choice.Server.ID != want {
			t.Errorf("leaving %v: placed on %s", leaving, choice.Server.ID)
		}
	}
}
