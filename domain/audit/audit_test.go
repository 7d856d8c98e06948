package audit

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// Guards against entries that are lost, duplicated, reordered, or dropped without being
// counted when appends fail or their responses are lost, and against a higher rate of
// appends than configured.
func TestEveryEntryIsWrittenOnceOrCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.MaxEntries = rapid.IntRange(1, 40).Draw(t, "max")
		cfg.BatchBytes = rapid.IntRange(60, 2000).Draw(t, "batch")
		cfg.AppendsPerSecond = 2
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := time.Unix(1000, 0)
		start := now
		b, dedup := New(cfg, "i", 7, now), NewDeduplicator()
		var kept, read []string
		dropped, counted, appends := 0, uint64(0), 0
		step := func(down bool) {
			batch := b.NextBatch(now)
			if batch == nil {
				return
			}
			appends++
			// 0: not appended, 1: appended but the response is lost, 2: appended.
			outcome := rng.IntN(3)
			if down {
				outcome = 0
			}
			if outcome > 0 {
				for _, e := range dedup.Apply(batch) {
					read = append(read, e.Cause)
					counted += e.Dropped
				}
			}
			if outcome > 1 {
				b.BatchAppended()
			} else {
				b.BatchFailed()
			}
		}
		for i := range rapid.IntRange(1, 200).Draw(t, "entries") {
			now = now.Add(time.Duration(rng.IntN(400)) * time.Millisecond)
			id := fmt.Sprint(i)
			if b.Add(now, &recordpb.Audit{Cause: id}) {
				kept = append(kept, id)
			} else {
				dropped++
			}
			step(rng.IntN(4) == 0)
		}
		for b.Len() > 0 {
			now = now.Add(time.Second)
			step(false)
		}
		b.Add(now, &recordpb.Audit{Cause: "last"})
		kept = append(kept, "last")
		for b.Len() > 0 {
			now = now.Add(time.Second)
			step(false)
		}
		if strings.Join(read, " ") != strings.Join(kept, " ") {
			t.Fatalf("read %v, kept %v", read, kept)
		}
		if uint64(dropped) != counted {
			t.Fatalf("%d entries were dropped, but the entries on the stream count %d", dropped, counted)
		}
		if budget := 1 + 2*now.Sub(start).Seconds(); float64(appends) > budget {
			t.Fatalf("%d appends, want at most %v", appends, budget)
		}
	})
}

// Guards against a filter that selects entries that do not match, or omits ones that do.
func TestFilter(t *testing.T) {
	at := time.Unix(1000, 0)
	e := Entry{At: at, Audit: &recordpb.Audit{Service: "writing", Job: "batch_1", Server: "s1", Kind: "preempt"}}
	for _, c := range []struct {
		f    Filter
		want bool
	}{
		{Filter{}, true},
		{Filter{Since: at, Service: "writing", Job: "batch_1", Server: "s1"}, true},
		{Filter{Since: at.Add(1)}, false},
		{Filter{Until: at}, false},
		{Filter{Service: "letters"}, false},
		{Filter{Job: "batch_2"}, false},
		{Filter{Server: "s2", Kind: "preempt"}, false},
		{Filter{Workspace: "audit"}, false},
	} {
		if got := c.f.Match(e); got != c.want {
			t.Errorf("%+v: %v, want %v", c.f, got, c.want)
		}
	}
}
