package reserve

import (
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// observe lets the demand see waves: the online requests by period for a time, and high ones in the
// last two fifths of each period.
func observe(d *Demand, length time.Duration, period func(n int) time.Duration, low, high, batch int) (now time.Time) {
	start, n := epoch, 0
	for now = epoch; now.Sub(epoch) < length; now = now.Add(SampleInterval) {
		if now.Sub(start) >= period(n) {
			start, n = now, n+1
		}
		online := low
		if now.Sub(start) >= period(n)*3/5 {
			online = high
		}
		d.Observe(now, Fleet{Online: online, Batch: batch})
	}
	return now
}

func every(period time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return period }
}

// Guards against batch requests that take the slots of a wave although they can wait, and against
// ones that wait without need.
func TestAllows(t *testing.T) {
	regular := every(6 * time.Second)
	irregular := func(n int) time.Duration {
		return []time.Duration{3 * time.Second, 3 * time.Second, 9 * time.Second}[n%3]
	}
	// After 30.5 s the next regular wave begins in 3.1 s.
	const seen = 30500 * time.Millisecond
	for name, c := range map[string]struct {
		seen      time.Duration
		period    func(int) time.Duration
		low, high int
		request   Request
		batch     int
		waiting   int
		busy      int
		want      bool
	}{
		"no history":                    {0, regular, 20, 60, Request{Slack: 10 * time.Second}, 50, 0, 0, true},
		"short history":                 {5 * time.Second, regular, 20, 60, Request{Slack: 10 * time.Second}, 50, 0, 0, true},
		"no waves":                      {seen, regular, 55, 60, Request{Slack: 10 * time.Second}, 50, 0, 0, true},
		"room beside the wave":          {seen, regular, 20, 60, Request{Slack: 10 * time.Second}, 39, 0, 0, true},
		"no room beside the wave":       {seen, regular, 20, 60, Request{Slack: 10 * time.Second}, 40, 0, 0, false},
		"cannot wait":                   {seen, regular, 20, 60, Request{Slack: 5 * time.Second}, 40, 0, 0, true},
		"late already":                  {seen, regular, 20, 60, Request{Slack: -time.Second}, 40, 0, 0, true},
		"done before the wave":          {seen, regular, 20, 60, Request{Slack: 10 * time.Second, RunTime: 2 * time.Second}, 40, 0, 0, true},
		"not done before the wave":      {seen, regular, 20, 60, Request{Slack: 10 * time.Second, RunTime: 4 * time.Second}, 40, 0, 0, false},
		"waves at irregular times":      {seen, irregular, 20, 60, Request{Slack: 10 * time.Second, RunTime: time.Second}, 40, 0, 0, false},
		"nearly all slots are taken":    {seen, regular, 20, 60, Request{Slack: 10 * time.Second}, 40, 0, 50, true},
		"as many wait as fit":           {seen, regular, 20, 60, Request{Slack: 10 * time.Second, RunTime: 5 * time.Second}, 40, 40 * 4 / 5, 0, false},
		"more wait than fit":            {seen, regular, 20, 60, Request{Slack: 10 * time.Second, RunTime: 5 * time.Second}, 40, 40*4/5 + 1, 0, true},
		"fewer slots than a wave takes": {seen, regular, 20, 110, Request{Slack: 10 * time.Second}, 0, 0, 0, false},
	} {
		d := &Demand{}
		now := observe(d, c.seen, c.period, c.low, c.high, c.busy)
		fleet := Fleet{Slots: 100, Online: c.low, Batch: c.batch, Waiting: c.waiting}
		if got := d.Allows(now, c.request, fleet); got != c.want {
			t.Errorf("%s: %v, want %v (peak %d, next wave in %v)", name, got, c.want, d.Peak(), d.UntilRise(now))
		}
	}
}

// Guards against slots that stay free because runs that are about to end count as running on.
func TestRunsThatEndBeforeTheWaveMakeRoom(t *testing.T) {
	d := &Demand{}
	now := observe(d, 30500*time.Millisecond, every(6*time.Second), 20, 60, 40)
	for i := range 40 {
		d.RecordStart(now, Request{RunTime: time.Duration(1+i%2*9) * time.Second})
	}
	request := Request{Slack: 10 * time.Second, RunTime: 10 * time.Second}
	// Half of the 40 runs end before the wave, for which 40 slots beside it are free.
	if !d.Allows(now, request, Fleet{Slots: 100, Online: 20, Batch: 78}) || d.Allows(now, request, Fleet{Slots: 100, Online: 20, Batch: 80}) {
		t.Error("half of the runs in flight do not count as ended when the wave begins")
	}
}

// Guards against a reserve that stays after the waves have ended.
func TestReserveEndsWithTheWaves(t *testing.T) {
	d := &Demand{}
	now := observe(d, 24*time.Second, every(6*time.Second), 20, 60, 40)
	for range sampleCount + 10 {
		now = now.Add(SampleInterval)
		d.Observe(now, Fleet{Online: 20})
	}
	if !d.Allows(now, Request{Slack: time.Minute}, Fleet{Slots: 100, Online: 20, Batch: 70}) {
		t.Errorf("a batch request is held back for waves of %d", d.Peak())
	}
}
