package member

import (
	"testing"
	"time"
)

// Guards against a failure detector that stalls when a data centre is lost: most of
// the members that would otherwise detect a death are dead themselves.
func TestDataCentreLoss(t *testing.T) {
	n := 48
	if !testing.Short() {
		n = 390
	}
	s := newSim(n, 5)
	s.runFor(20 * time.Second)
	lost := 0
	for i, x := range s.nodes {
		x.bytes = 0
		if i%4 == 1 {
			x.dead = true
			lost++
		}
	}
	at := s.now
	detected := func() bool {
		for _, x := range s.nodes {
			if !x.dead && len(x.t.sortedLive()) != n-lost {
				return false
			}
		}
		return true
	}
	for !detected() && s.now.Sub(at) < time.Minute {
		s.runFor(100 * time.Millisecond)
	}
	elapsed, maxBytes := s.now.Sub(at), 0
	for _, x := range s.nodes {
		maxBytes = max(maxBytes, x.bytes)
	}
	t.Logf("%d of %d members lost at the same time: known to all after %v, at most %.0f B/s per member until then, %d false deaths",
		lost, n, elapsed, float64(maxBytes)/elapsed.Seconds(), s.falseDeaths)
	if elapsed >= 30*time.Second || s.falseDeaths > 0 {
		t.Errorf("the loss is known to all after %v with %d false deaths, want less than 30 s and none", elapsed, s.falseDeaths)
	}
}
