package servermemory

import (
	"testing"
	"time"
)

var epoch = time.Unix(1e9, 0)

// Guards against requests that count although they have ended, and against large ones that are
// forgotten while small ones come and go beside them.
func TestLargestRecentPlacementsCount(t *testing.T) {
	var s Server
	s.Add(epoch, Size{Tokens: 50_000, Bytes: 900}, 1)
	for i := range 20 {
		s.Add(epoch.Add(time.Duration(i)*100*time.Millisecond), Size{Tokens: 100, Bytes: 1}, 3)
	}
	for name, c := range map[string]struct {
		after    time.Duration
		inFlight int
		want     int64
	}{
		"none in flight":        {2 * time.Second, 0, 0},
		"the large one":         {2 * time.Second, 1, 50_000},
		"with small ones":       {2 * time.Second, 3, 50_200},
		"the large one is done": {maxAge + 200*time.Millisecond, 3, 300},
		"all are done":          {2 * maxAge, 3, 0},
	} {
		if tokens := s.Tokens(epoch.Add(c.after), c.inFlight); tokens != c.want {
			t.Errorf("%s: %d tokens, want %d", name, tokens, c.want)
		}
	}
	if !s.MayExceed(Size{Tokens: 50_000}) || s.MayExceed(Size{Tokens: 60_000}) || s.MayExceed(Size{}) {
		t.Error("the sum of all placements is not an upper limit")
	}
	for range maxPlacements {
		s.Add(epoch.Add(maxAge), Size{Tokens: 10}, 1)
	}
	if tokens := s.Tokens(epoch.Add(maxAge), 2*maxPlacements); tokens != 2*maxPlacements*10 {
		t.Errorf("%d tokens of more requests than are remembered", tokens)
	}
}

// Guards against a bound that is learned from servers that crash for other reasons, and against
// one that lasts although servers survive more.
func TestBoundIsLearnedFromCrashes(t *testing.T) {
	var b Bound
	server := func(bytes int64) *Server {
		s := &Server{peakSince: epoch}
		s.Add(epoch, Size{Bytes: bytes}, 1)
		return s
	}
	survives := func(bytes int64) {
		s := server(bytes)
		for range 2 {
			b.Observe(s.peakSince.Add(peakPeriod), s)
		}
	}
	survives(100)
	if b.RecordCrash(server(90)) || b.Bytes() != 0 {
		t.Error("a crash with less than others survived gives a bound")
	}
	if !b.RecordCrash(server(500)) || b.Bytes() != 500 || b.RecordCrash(server(600)) || !b.RecordCrash(server(400)) {
		t.Errorf("bound %d after crashes with 400 to 600 bytes", b.Bytes())
	}
	if survives(300); b.Bytes() != 400 {
		t.Errorf("bound %d, 300 bytes were survived", b.Bytes())
	}
	if survives(450); b.Bytes() != 0 {
		t.Errorf("bound %d, 450 bytes were survived", b.Bytes())
	}
}
