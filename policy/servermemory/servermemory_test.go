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
	s.Add(epoch, Size{Tokens: 50_000, Bytes: 900}, false, InFlight{Online: 1})
	for i := range 20 {
		s.Add(epoch.Add(time.Duration(i)*100*time.Millisecond), Size{Tokens: 100, Bytes: 1}, false, InFlight{Online: 3})
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
		if tokens := s.Tokens(epoch.Add(c.after), InFlight{Online: c.inFlight}); tokens != c.want {
			t.Errorf("%s: %d tokens, want %d", name, tokens, c.want)
		}
	}
	if !s.MayExceed(Size{Tokens: 50_000}) || s.MayExceed(Size{Tokens: 60_000}) || s.MayExceed(Size{}) {
		t.Error("the sum of all placements is not an upper limit")
	}
	for range maxPlacements {
		s.Add(epoch.Add(maxAge), Size{Tokens: 10}, false, InFlight{Online: 1})
	}
	if tokens := s.Tokens(epoch.Add(maxAge), InFlight{Online: 2 * maxPlacements}); tokens != 2*maxPlacements*10 {
		t.Errorf("%d tokens of more requests than are remembered", tokens)
	}
}

// Guards against items that have ended and still count because online requests are in flight.
func TestPlacementsCountByClass(t *testing.T) {
	var s Server
	for i := range 3 {
		s.Add(epoch, Size{Bytes: int64(1000 * (i + 1))}, true, InFlight{Batch: i + 1})
		s.Add(epoch, Size{Bytes: 10}, false, InFlight{Online: i + 1, Batch: i + 1})
	}
	for _, c := range []struct {
		inFlight    InFlight
		most, least int64
	}{{InFlight{}, 0, 0}, {InFlight{Online: 2}, 20, 20}, {InFlight{Online: 1, Batch: 1}, 3010, 1010}, {InFlight{Batch: 2}, 5000, 3000}, {InFlight{Online: 9, Batch: 9}, 6030, 6030}} {
		if most, least := s.Bytes(epoch, c.inFlight), s.leastBytes(epoch, c.inFlight); most != c.most || least != c.least {
			t.Errorf("%+v: %d to %d bytes, want %d to %d", c.inFlight, least, most, c.least, c.most)
		}
	}
}
