package relay_test

import (
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/policy/pathselect"
)

// Guards against instances that multiply the calls of which the store rejects some already, by
// calls through peers and probes, and against an instance that is turned away and asks no peer.
func TestRateLimitIsBackpressure(t *testing.T) {
	store := &fakeStore{}
	store.append([][]byte{[]byte("a"), []byte("b")})
	a, b := startInstance(t, "a", store), startInstance(t, "b", store)
	a.peers.list = []pathselect.Peer{{Name: b.name, Address: b.addr, ReachesStore: true}}
	read := func() error {
		_, err := a.Read(t.Context(), partition, 1, 1000, time.Millisecond)
		return err
	}
	if err := read(); err != nil {
		t.Fatal(err)
	}
	before := a.path.count()
	a.path.set(limitsRate)
	if err := read(); !port.IsRateLimited(err) || !a.OwnPathUp() {
		t.Fatalf("%v, own path up: %v", err, a.OwnPathUp())
	}
	if own, throughPeer := a.path.count()-before, b.path.count(); own != 1 || throughPeer != 0 {
		t.Errorf("%d calls on the own path and %d through a peer, want one call", own, throughPeer)
	}
	for end := time.Now().Add(testTimeout); read() != nil; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("an instance that the store turns away makes no calls through its peer")
		}
	}
}
