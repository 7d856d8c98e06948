package partition

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/jacinthnotch/jacinthnotch/domain/ident"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// itemLog returns the stream of a job of n items with 50 results of 400 bytes per
// record.
func itemLog(b *testing.B, n uint32) [][]byte {
	o := newSingleOwner(b)
	o.createJob("j", n, false)
	body := []byte(fmt.Sprintf("%0400d", 7))
	var results []*recordpb.ItemResult
	for i := range n {
		results = append(results, &recordpb.ItemResult{Item: i, Outcome: recordpb.Outcome_OUTCOME_DONE,
			CustomId: fmt.Sprint("request-", i), Status: 200, Body: body, OutputTokens: 90})
		if len(results) == 50 || i == n-1 {
			o.add(resultsEntry("j", 1, results...))
			o.step()
			results = nil
		}
	}
	return o.log
}

func BenchmarkReplay(b *testing.B) {
	for _, n := range []uint32{1_000, 100_000, 620_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			log := itemLog(b, n)
			b.ReportAllocs()
			for b.Loop() {
				s := New()
				for off, p := range log {
					s.Apply(int64(off), p)
				}
			}
			sec := b.Elapsed().Seconds() / float64(b.N)
			b.ReportMetric(float64(len(log))/sec, "records/s")
			b.ReportMetric(float64(n)/sec, "items/s")
		})
	}
}

// callLog returns the stream of n finished calls.
func callLog(b *testing.B, n uint32) [][]byte {
	o := newSingleOwner(b)
	for i := range n {
		f := ident.Fingerprint("POST", "/v1/completions", fmt.Append(nil, i))
		o.add(&recordpb.Entry{Kind: &recordpb.Entry_CallFinished{CallFinished: &recordpb.CallFinished{Workspace: "workspace-7",
			Key: fmt.Sprintf("0194f3c2-7d1a-7000-8000-%012d", i), Fingerprint: f, Outcome: recordpb.Outcome_OUTCOME_DONE, Body: f}}})
		if i%50 == 0 || i == n-1 {
			o.step()
		}
	}
	return o.log
}

// BenchmarkStateBytes reports the heap size of the state of one job or of calls.
func BenchmarkStateBytes(b *testing.B) {
	for _, c := range []struct {
		name string
		n    uint32
		log  func(*testing.B, uint32) [][]byte
	}{{"items", 1_000, itemLog}, {"items", 100_000, itemLog}, {"items", 620_000, itemLog}, {"calls", 100_000, callLog}} {
		b.Run(fmt.Sprint(c.name, c.n), func(b *testing.B) {
			log := c.log(b, c.n)
			var bytes float64
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := New()
				for off, p := range log {
					s.Apply(int64(off), p)
				}
				runtime.GC()
				runtime.GC()
				runtime.ReadMemStats(&after)
				bytes = float64(after.HeapAlloc) - float64(before.HeapAlloc)
				runtime.KeepAlive(s)
			}
			runtime.KeepAlive(log)
			b.ReportMetric(bytes, "state-bytes")
			b.ReportMetric(bytes/float64(c.n), "state-bytes/aggregate-or-item")
		})
	}
}

// BenchmarkLease leases items, 16 at a time, with 300 active jobs.
func BenchmarkLease(b *testing.B) {
	s := New()
	for i := range 300 {
		addJob(s, fmt.Sprint("j", i), 620_000, int64(i), 1, false)
	}
	l := NewLeases(s, 0, 0)
	b.ReportAllocs()
	for b.Loop() {
		out, _ := l.Lease(s, LeaseRequest{Director: "d", Max: 16, DurationMs: 1}, 0)
		for _, x := range out {
			l.Return("d", x.JobID, x.Item, ReturnPreempted, 0)
		}
	}
}
