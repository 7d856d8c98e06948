package gateway

import (
	"testing"
	"time"
)

// Guards against requests that are accepted during a drain and cannot end before it, and
// against refusals while callers still have to come here.
func TestAdmissionDuringADrain(t *testing.T) {
	const run = 500 * time.Millisecond
	now := time.Now()
	end := now.Add(5 * time.Second)
	in := func(d time.Duration) time.Time { return now.Add(d) }
	for name, c := range map[string]struct {
		begun, closed bool
		at, deadline  time.Time
		want          bool
	}{
		"no drain":                               {false, false, now, in(time.Hour), true},
		"in time":                                {true, false, now, in(time.Hour), true},
		"in time, without a deadline":            {true, false, now, time.Time{}, true},
		"too late":                               {true, false, end.Add(-2 * run), in(time.Hour), false},
		"too late, short deadline":               {true, false, end.Add(-2 * run), end.Add(-drainMargin), true},
		"no more connections":                    {true, true, now, in(time.Hour), false},
		"no more connections, no deadline":       {true, true, now, time.Time{}, false},
		"no more connections, short deadline":    {true, true, now, in(time.Second), true},
		"deadline just after the last responses": {true, true, now, end, false},
	} {
		d := NewDrain()
		if c.begun {
			d.Begin(end)
		}
		if c.closed {
			d.Close()
		}
		if got := d.admits(c.at, c.deadline, run); got != c.want {
			t.Errorf("%s: admitted %v, want %v", name, got, c.want)
		}
		d.stop()
	}
	var none *Drain
	if !none.admits(now, time.Time{}, run) || none.over() || none.Closed() {
		t.Error("a gateway without a drain refuses requests")
	}
}
