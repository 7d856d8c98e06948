package balance

import (
	"fmt"
	"testing"
	"time"
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
	tb.UpdatePeer(epoch, "peer", loads, 0)
	return tb
}
