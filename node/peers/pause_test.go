package peers

import (
	"testing"
	"time"
)

// Guards against a hub that stood still and takes itself for one that was told of all streams.
func TestPauseEndsTheMemoryOfAHub(t *testing.T) {
	since := time.Now().Add(-time.Hour)
	for paused, want := range map[time.Duration]bool{livenessInterval: false, 2 * maxPause: true} {
		g := &Group{livenessCheckedAt: time.Now().Add(-paused)}
		g.hub.active, g.hub.since = true, since
		if got := g.HubSince(); got.After(since) != want {
			t.Errorf("%v after the last check: hub since %v", paused, got)
		}
	}
}
