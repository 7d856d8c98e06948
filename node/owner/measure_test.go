package owner

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/ident"
	"github.com/jacinthnotch/jacinthnotch/domain/partition"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

var measure = flag.Bool("measure", false, "print the measurements of docs/measurements/ownership.md")

// TestMeasure prints the cost of ownership; it is not a regression test. The times are
// virtual except for those of the replay.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("runs with -measure only")
	}
	for _, latency := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
		for _, rate := range []int{1, 20, 200, 2000} {
			runCluster(t, func(t *testing.T, c *cluster) { c.log.latency = latency; c.measureCalls(rate) })
		}
	}
	for _, perSecond := range []int{10, 40, 200, 1000} {
		runCluster(t, func(t *testing.T, c *cluster) { c.measureItems(perSecond) })
	}
	runCluster(t, func(t *testing.T, c *cluster) { c.measureTakeover() })
	measureReplay(t)
}

// measureCalls runs rate non-idempotent calls per second on one partition.
func (c *cluster) measureCalls(rate int) {
	a := c.startOwner("a")
	c.log.with(func() { c.log.appends = 0 })
	var mu sync.Mutex
	var begins, finishes []time.Duration
	var calls sync.WaitGroup
	n := max(50, 5*rate)
	for k := range n {
		calls.Go(func() {
			key, start := fmt.Sprint(k), time.Now()
			if out := c.begin(a, key, "1", true); !out.Run {
				c.t.Errorf("call %d: %v", k, out)
			}
			began := time.Since(start)
			time.Sleep(300 * time.Millisecond)
			start = time.Now()
			c.finish(a, key, "answer", true)
			mu.Lock()
			begins, finishes = append(begins, began), append(finishes, time.Since(start))
			mu.Unlock()
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	calls.Wait()
	fmt.Printf("calls: append %v, %d calls/s: %.2f appends per call; begin p50 %v p99 %v; finish p50 %v p99 %v\n",
		c.log.latency, rate, float64(c.log.appends)/float64(n), quantile(begins, 0.5), quantile(begins, 0.99),
		quantile(finishes, 0.5), quantile(finishes, 0.99))
}

func quantile(list []time.Duration, q float64) time.Duration {
	slices.Sort(list)
	return list[int(q*float64(len(list)-1))].Round(10 * time.Microsecond)
}

// measureItems measures ten directors that run items of 1 s with results of 1 KiB.
func (c *cluster) measureItems(perSecond int) {
	a := c.startOwner("a")
	n := max(1000, 20*perSecond)
	job := c.createJob(a, n, false)
	c.log.with(func() { c.log.appends = 0 })
	var mu sync.Mutex
	var acks []time.Duration
	var directors sync.WaitGroup
	start := time.Now()
	for range 10 {
		directors.Go(func() {
			for {
				pulled, err := a.PullItems(shortContext(c.t), &peerpb.PullItemsRequest{Director: "a", Model: model, MaxItems: uint32(perSecond / 10)})
				if err != nil || len(pulled.Items) == 0 {
					return
				}
				time.Sleep(time.Second)
				in := &peerpb.PushResultsRequest{Director: "a", JobId: job}
				for _, it := range pulled.Items {
					in.Results = append(in.Results, &recordpb.ItemResult{Item: it.Index, Outcome: recordpb.Outcome_OUTCOME_DONE, Body: filler(it.Index)})
				}
				directors.Go(func() {
					start := time.Now()
					if out, err := a.PushResults(shortContext(c.t), in); err != nil || out.Refusal != nil {
						c.t.Errorf("push: %v, %v", out, err)
					}
					mu.Lock()
					acks = append(acks, time.Since(start))
					mu.Unlock()
				})
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	directors.Wait()
	fmt.Printf("items: %d items/s, %d items in %v: %.1f appends per 1,000 items; acknowledged after p50 %v p99 %v\n", perSecond, n,
		time.Since(start).Round(time.Millisecond), float64(c.log.appends)*1000/float64(n), quantile(acks, 0.5), quantile(acks, 0.99))
}

// filler is a body of 1 KiB that does not compress well.
func filler(seed uint32) []byte {
	out := make([]byte, 1024)
	x := seed*2654435761 + 1
	for i := range out {
		x ^= x << 13
		x ^= x >> 17
		x ^= x << 5
		out[i] = byte(x)
	}
	return out
}

func (c *cluster) measureTakeover() {
	a := c.startOwner("a")
	c.finish(a, "k", "x", false)
	b := c.start("b")
	c.members.prefer("b")
	start := time.Now()
	if err := a.Drain(shortContext(c.t)); err != nil {
		c.t.Error(err)
	}
	c.waitOwned(b, time.Minute)
	drained := time.Since(start).Round(time.Millisecond)
	third := c.start("c")
	b.kill()
	c.members.prefer("c", "b")
	fmt.Printf("takeover: %v after a drain began, %v after the loss was noticed\n", drained, c.waitOwned(third, time.Minute).Round(time.Millisecond))
}

// measureReplay measures the replay of the stream of a large job in real time.
func measureReplay(t *testing.T) {
	const items, perEntry = 620_000, 100
	s, writer := partition.New(), partition.NewWriter("a", 1)
	var payloads [][]byte
	bytes, now := 0, time.Now().UnixMilli()
	appendNext := func() bool {
		p, err := writer.Next(s, now)
		if err != nil {
			t.Fatal(err)
		}
		if p == nil {
			return false
		}
		a := s.Apply(int64(len(payloads)), p)
		writer.Observe(&a)
		payloads, bytes = append(payloads, p), bytes+len(p)
		return true
	}
	add := func(e ...*recordpb.Entry) {
		if _, err := writer.Add(e...); err != nil {
			t.Fatal(err)
		}
		appendNext()
	}
	if err := writer.Claim(s); err != nil {
		t.Fatal(err)
	}
	appendNext()
	file, job := ident.FileID(workspace, "batch", nil, 1), ident.JobID(workspace, "k", "", 0)
	lines := make([][]byte, items)
	for i := range lines {
		lines[i] = fmt.Appendf(nil, `{"custom_id":"%d","body":{}}`, i)
	}
	chunks, err := partition.SplitChunks(file, lines)
	if err != nil {
		t.Fatal(err)
	}
	seal := &recordpb.FileSealed{FileId: file, Workspace: workspace, Chunks: uint32(len(chunks)), Lines: items}
	for _, e := range partition.StoreFile(s, seal, chunks, now) {
		add(e)
	}
	e, err := partition.CreateJob(s, &recordpb.JobCreated{JobId: job, Workspace: workspace, FileId: file, Model: model}, now)
	if err != nil {
		t.Fatal(err)
	}
	add(e)
	for i := uint32(0); i < items*2/3; i += perEntry {
		r := &recordpb.ItemResults{JobId: job}
		for k := range uint32(perEntry) {
			r.Results = append(r.Results, &recordpb.ItemResult{Item: i + k, Outcome: recordpb.Outcome_OUTCOME_DONE, Body: filler(i + k)})
		}
		add(&recordpb.Entry{AtMs: now, Kind: &recordpb.Entry_ItemResults{ItemResults: r}})
	}
	replay := func(s *partition.State, from int64) time.Duration {
		start := time.Now()
		for o := from; o < int64(len(payloads)); o++ {
			s.Apply(o, payloads[o])
		}
		return time.Since(start).Round(time.Millisecond)
	}
	fmt.Printf("replay: %d records, %.1f MB: %v\n", len(payloads), float64(bytes)/1e6, replay(partition.New(), 0))
	before, size := len(payloads), bytes
	writer.BeginSnapshot()
	for appendNext() {
	}
	restored := partition.NewFromSnapshot(s.Base())
	took := replay(restored, s.Base())
	if j, ok := restored.Job(job); !ok || !restored.Ready() || j.FinishedCount() < items*2/3-perEntry {
		t.Errorf("the snapshot holds %v, %v", ok, restored.Ready())
	}
	fmt.Printf("replay from a snapshot: %d records, %d bytes: %v\n", len(payloads)-before, bytes-size, took)
}
