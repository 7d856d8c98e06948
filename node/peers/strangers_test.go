package peers

import (
	"fmt"
	"net/netip"
	"testing"
)

// Guards against datagrams under made-up names that fill the memory of an instance.
func TestMadeUpNames(t *testing.T) {
	inVirtualTime(t, 1, func(t *testing.T, net *network) {
		n := startNode(t, net, &fakeFeed{entries: map[string]Instance{}}, "n0", 1, 8)
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 200}), 1)
		n.group.mu.Lock()
		for i := range maxPeers {
			n.group.recordHeard(fmt.Sprint("stranger", i), from)
		}
		n.group.mu.Unlock()
		for i := range 10 {
			n.group.onLoadReport(&loadReport{Name: fmt.Sprint("further", i)}, from)
		}
		n.group.mu.Lock()
		defer n.group.mu.Unlock()
		if len(n.group.peers) > maxPeers || len(n.group.peersByHash) > maxPeers {
			t.Errorf("%d names, %d hashes, want at most %d", len(n.group.peers), len(n.group.peersByHash), maxPeers)
		}
	})
}
