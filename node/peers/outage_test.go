package peers

import (
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// Guards against requests to servers that left while an instance was cut off: it takes them for live ones
// whose entries expired with the store away; and against live ones that are dropped after an outage of the store.
func TestOutageOfOneInstanceIsNotTheStores(t *testing.T) {
	const outage = 6 * time.Second
	for name, c := range map[string]struct {
		storeUp time.Duration
		kept    bool
	}{"cut off": {time.Minute, false}, "store away": {500 * time.Millisecond, true}} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, 20, func(t *testing.T, net *network) {
				nodes := startAll(t, net, 5, 3, 8)
				net.setQuality(20*time.Millisecond, 0.05)
				// The last two instances reach the store for as long as the case says.
				for _, n := range nodes[3:] {
					n.mu.Lock()
					n.storeUp = c.storeUp
					n.mu.Unlock()
				}
				view := nodes[0].view
				view.RecordServersRead(true)
				view.RecordServersRead(false)
				time.Sleep(outage)
				view.RecordServersRead(true)
				view.ApplyServers([]port.Entry[serving.Server]{{Key: "s1"}}, false)
				time.Sleep(1500 * time.Millisecond)
				view.ApplyServers([]port.Entry[serving.Server]{{Key: "s2"}}, false)
				view.Expire()
				if kept := view.Server("s1") != nil; kept != c.kept {
					t.Errorf("the server whose entry was gone is in use: %v, want %v", kept, c.kept)
				}
				if kept := view.Server("s2") != nil; kept != c.kept {
					t.Errorf("the server whose entry was removed later is in use: %v, want %v", kept, c.kept)
				}
			})
		})
	}
}
