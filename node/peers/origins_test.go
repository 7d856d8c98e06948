package peers

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/origin"
	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/origins"
	"github.com/jacinthnotch/jacinthnotch/standin/memlog"
)

// Guards against streams whose origin nobody knows, while the instance that began them and the
// hub are lost, datagrams are late or lost, and the store is away. One datagram in 20 is lost,
// and each record is sent twice, so that one stream in 400 is not known on average.
func TestOriginsReachTheHubs(t *testing.T) {
	const streams, wanted = 200, 190
	inVirtualTime(t, 10, func(t *testing.T, net *network) {
		nodes := startAll(t, net, 5, 3, 8)
		indexes := map[*node]*origins.Index{}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		store := &memlog.Log{}
		store.SetDown(true)
		for _, n := range nodes {
			x := origins.NewIndex()
			x.Store, x.View, x.Hubs = store, n.view, n.group
			x.RefreshServers = func(context.Context) error { return nil }
			n.group.opt.Origins, indexes[n] = x, x
			running.Go(func() { x.Run(ctx) })
		}
		net.setQuality(5*time.Millisecond, 0.05)
		hub := hubOf(nodes, nodes[0])
		others := slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool { return n == hub })
		version := func(i int) string { return fmt.Sprint("v", i%3) }
		for i := range streams {
			indexes[others[0]].Record(fmt.Sprint(i), 1, &serving.Server{ID: "gone", Service: "svc", Version: version(i)})
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(300 * time.Millisecond)
		for _, lost := range []*node{others[0], hub} {
			lost.stop()
			time.Sleep(2 * heardTTL)
			known := 0
			for i := range streams {
				for range 3 { // as often as a caller comes back
					o, status := indexes[others[1]].Resolve(context.Background(), "svc", fmt.Sprint(i))
					if status == origin.Known && o.Version != version(i) {
						t.Fatalf("stream %d of %s began at %s", i, version(i), o.Version)
					}
					if status == origin.Known {
						known++
						break
					}
				}
			}
			if known < wanted {
				t.Errorf("%d of %d streams known after the loss of %s", known, streams, lost.name)
			}
		}
	})
}
