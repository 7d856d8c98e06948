package peers

import (
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/balance"
)

// Guards against a hub granting a server that has said to another instance that it is leaving,
// and against an instance using such a grant, while datagrams are late or lost.
func TestDepartureReachesTheHub(t *testing.T) {
	inVirtualTime(t, 20, func(t *testing.T, net *network) {
		nodes := startAll(t, net, 5, 3, 8)
		net.setQuality(20*time.Millisecond, 0.05)
		place := func(n *node) string {
			lease, ok := n.group.Place(balance.Query{Service: "svc", Class: balance.Online})
			if !ok {
				t.Fatal("no server")
			}
			defer lease.End(balance.Answered)
			return lease.Server.ID
		}
		lease, ok := nodes[1].group.Place(balance.Query{Service: "svc", Class: balance.Online})
		if !ok {
			t.Fatal("no server")
		}
		leaving := lease.Server.ID
		lease.RecordLeaving("")
		lease.End(balance.Answered)
		for range 50 {
			if id := place(nodes[1]); id == leaving {
				t.Errorf("the instance uses %s again", id)
			}
		}
		time.Sleep(2 * time.Second)
		hub := hubOf(nodes, nodes[0])
		for range 50 {
			if id := place(hub); id == leaving {
				t.Errorf("the hub picks %s", id)
			}
		}
	})
}
