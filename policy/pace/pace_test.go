package pace

import (
	"math"
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against servers that stay avoided, or stay preferred, by a statement that is no longer
// true.
func TestSlowdownDecaysToUsual(t *testing.T) {
	for name, c := range map[string]struct {
		pace int
		age  time.Duration
		want float64
	}{
		"new":                  {250, 0, 2.5},
		"after a half-life":    {250, halfLife, 1.75},
		"before the end":       {250, TTL - 1, 1.375},
		"at the end":           {250, TTL, 1},
		"from the future":      {250, -time.Second, 2.5},
		"about usual":          {108, 0, 1},
		"faster than usual":    {50, 0, 0.5},
		"above the bound":      {1 << 30, 0, float64(Max) / Usual},
		"below the bound":      {1, 0, float64(Min) / Usual},
		"not stated":           {0, 0, 1},
		"not stated and later": {0, time.Hour, 1},
	} {
		var s State
		s.Record(Statement{Pace: c.pace, At: epoch}, 0)
		if got := s.Slowdown(epoch.Add(c.age)); math.Abs(got-c.want) > 1e-6 {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Guards against an old statement that arrives late and takes the place of a newer one.
func TestLaterStatementsCount(t *testing.T) {
	var s State
	s.Record(Statement{Pace: 100, At: epoch.Add(10 * time.Millisecond)}, 0)
	if s.Record(Statement{Pace: 250, At: epoch}, 0) || s.Slowdown(epoch.Add(10*time.Millisecond)) != 1 {
		t.Error("the older statement counts")
	}
}

// Guards against free slots that are none, since the server holds requests of an instance that the
// hub does not hear, and against requests that count twice.
func TestUnknownRequests(t *testing.T) {
	for name, c := range map[string]struct {
		requests, known, ended int
		age                    time.Duration
		want                   int
	}{
		"all known":              {3, 3, 0, 0, 0},
		"known only here":        {1, 3, 0, 0, 0},
		"an end not reported":    {4, 3, 0, 0, 0},
		"three unknown":          {7, 3, 0, 0, 3},
		"three unknown, but old": {7, 3, 0, countTTL, 0},
		"ended since":            {7, 3, 3, 0, 0},
		"negative":               {-7, 0, 0, 0, 0},
		"above the bound":        {math.MaxInt, 0, 0, 0, MaxCount - crossingRequests},
	} {
		var from, to State
		from.Record(Statement{Pace: Usual, Requests: c.requests, At: epoch}, 0)
		for range c.ended {
			from.RequestEnded()
		}
		to.Record(from.Last(), c.known)
		if got := to.Unknown(epoch.Add(c.age)); got != c.want {
			t.Errorf("%s: %d unknown, want %d", name, got, c.want)
		}
	}
}
