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
		leaving := ""
		for i, n := range []*node{nodes[1], hubOf(nodes, nodes[0])} {
			time.Sleep(time.Duration(i) * 2 * time.Second)
			for range 50 {
				lease, ok := n.place(balance.Query{Service: "svc", Class: balance.Online})
				switch {
				case !ok || lease.Server.ID == leaving:
					t.Fatalf("%s has no server or picks the one that leaves, %s", n.name, leaving)
				case leaving == "":
					leaving = lease.Server.ID
					lease.RecordLeaving("")
				}
				lease.End(balance.Answered)
			}
		}
	})
}
