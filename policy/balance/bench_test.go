package balance

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/pace"
	"github.com/jacinthnotch/jacinthnotch/policy/reserve"
)

// serverCounts are the numbers of servers of a small site, a medium one, the largest one
// expected within two years, and the largest simulated one.
var serverCounts = []int{18, 93, 740, 3000}

// BenchmarkPick measures one decision of a hub.
func BenchmarkPick(b *testing.B) {
	for _, servers := range serverCounts {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			tb := newLoadedTable(servers)
			b.ReportAllocs()
			for b.Loop() {
				tb.Pick(epoch, Query{Service: "svc", DataCentre: "dc1", CompleteView: true})
			}
		})
	}
}

// BenchmarkPickByPrompt measures one about a prompt whose segments many servers keep.
func BenchmarkPickByPrompt(b *testing.B) {
	for _, servers := range serverCounts {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			tb := newLoadedTable(servers)
			tb.SetKVCaches(map[string]int64{"svc": 147_261})
			q := Query{Service: "svc", DataCentre: "dc1", CompleteView: true, Prompt: make([]PromptSegment, 3)}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				for j, n := range []int{80, 796, 1 << 30} {
					q.Prompt[j] = PromptSegment{Segment: uint32(j<<30 + i%n), Tokens: 100}
				}
				tb.Pick(epoch, q)
			}
		})
	}
}

// BenchmarkOwnLoad measures what an instance does every 10 ms to report its load.
func BenchmarkOwnLoad(b *testing.B) {
	for _, servers := range serverCounts {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			tb := newLoadedTable(servers)
			b.ReportAllocs()
			for b.Loop() {
				tb.OwnLoad(epoch)
			}
		})
	}
}

// newLoadedTable returns a table with measured step times, and with load of a peer on
// each server: up to four online and up to two batch requests on its 8 slots.
func newLoadedTable(servers int) *Table {
	tb := newTestTable(servers, 8)
	loads := map[string]Load{}
	for i := range servers {
		id := fmt.Sprintf("s%02d", i)
		loads[id] = Load{Counts: Counts{Online: i % 5, Batch: i % 3}, StepTime: time.Duration(14+i%24) * time.Millisecond}
	}
	tb.UpdatePeer(epoch, "peer", 1, loads, 0)
	return tb
}

// BenchmarkPickBatch measures a hub's decision about a batch request that is held back, and
// BenchmarkPick is its measure for others.
func BenchmarkPickBatch(b *testing.B) {
	for _, servers := range serverCounts {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			tb := newLoadedTable(servers)
			tb.RecordPace("s00", pace.Statement{Pace: pace.Usual, At: epoch})
			now := epoch
			for i := range 300 {
				tb.demands["svc"] = cmp.Or(tb.demands["svc"], &serviceDemand{stated: true, checkedAt: epoch})
				tb.demands["svc"].Observe(now, reserve.Fleet{Online: servers * (1 + i/60%2*5)})
				now = now.Add(50 * time.Millisecond)
			}
			q := Query{Service: "svc", Class: Batch, CompleteView: true, Headroom: 1, Slack: 10 * time.Second, RunTime: 5 * time.Second}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := tb.Pick(now, q); ok {
					b.Fatal("not held back")
				}
			}
		})
	}
}
