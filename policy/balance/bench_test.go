package balance

import (
	"fmt"
	"testing"
	"time"
)

// sizes are the numbers of servers of a small site, of a grown one, of the size that the
// users name for two years from now, and of the largest sweep that was played.
var sizes = []int{18, 93, 740, 3000}

// BenchmarkPick measures one decision of a hub.
func BenchmarkPick(b *testing.B) {
	for _, servers := range sizes {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			tb := loaded(servers)
			b.ReportAllocs()
			for b.Loop() {
				tb.Pick(epoch, Query{Service: "svc", DataCentre: "dc1", CompleteView: true})
			}
		})
	}
}

// BenchmarkOwn measures what an instance does at each tick of 10 ms to state its load.
func BenchmarkOwn(b *testing.B) {
	for _, servers := range sizes {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			tb := loaded(servers)
			b.ReportAllocs()
			for b.Loop() {
				tb.OwnLoad(epoch)
			}
		})
	}
}

// loaded returns a table with measured paces and half of the slots in use by a peer.
func loaded(servers int) *Table {
	tb := table(servers, 8)
	loads := map[string]Load{}
	for i := range servers {
		id := fmt.Sprintf("s%02d", i)
		loads[id] = Load{Counts: Counts{Online: i % 5, Batch: i % 3}, StepTime: time.Duration(14+i%24) * time.Millisecond}
	}
	tb.UpdatePeer(epoch, "peer", loads, 0)
	return tb
}
