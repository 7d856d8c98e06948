package fairshare

import (
	"testing"
	"time"
)

// Guards against a rate that is far below that of the servers, so that a workspace below its share
// is rejected: requests that began together end together and empty the queue, and only the times
// between these ends were measured.
func TestEndsThatEmptyTheQueueCount(t *testing.T) {
	const slots, runTime, want = 16, 200 * time.Millisecond, 80.0
	now := time.Unix(1000, 0)
	e := endRate{perSecond: want, measuredAt: now}
	for range 20 {
		e.observe(now, 1, 0)
		// Two requests end by the end of the window, and 14 after it.
		e.admitted += 6
		e.observe(now.Add(endRateWindow), 5, 0)
		e.admitted += 9
		e.observe(now.Add(runTime-20*time.Millisecond), 0, 0)
		now = now.Add(runTime)
	}
	if e.perSecond < 0.75*want || e.perSecond > 1.25*want {
		t.Errorf("%.1f requests end in a second, want about %.0f, as %d slots and a run time of %v allow", e.perSecond, want, slots, runTime)
	}
}
