package jobs

import (
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
)

// Guards against an item that stays unplaced, or on a silent server, for longer the more servers
// crashed while they ran it: many crashes at once say nothing about the item.
func TestItemUnderCrashesIsPlacedAgainSoon(t *testing.T) {
	const soon = 2 * time.Second
	run, route := &itemRun{}, &serving.Route{}
	usual := run.eventTimeout(route)
	for n := range 20 {
		if delay := run.interrupted(nil); delay <= 0 || delay > soon {
			t.Fatalf("placed again only %s after crash %d", delay, n+1)
		}
	}
	if timeout := run.eventTimeout(route); timeout > usual {
		t.Fatalf("stays on a silent server for %s instead of %s", timeout, usual)
	}
	run.interrupted(errEventTimeout)
	if timeout := run.eventTimeout(route); timeout <= usual {
		t.Fatal("servers that are all slow get no more time")
	}
}
