package preempt

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// Guards against an arrival that finds no slot although batch streams could be preempted,
// against more victims than necessary, and against a victim with more progress than a
// stream that continues.
func TestSelectVictimsFreesJustEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Server{Slots: rapid.IntRange(1, 32).Draw(t, "slots"), FreeKVShare: rapid.Float64Range(0, 0.3).Draw(t, "kv"), MaxPrefillAhead: maxPrefillAhead * rapid.IntRange(0, 1).Draw(t, "spare")}
		s.OnlineStreams = rapid.IntRange(0, s.Slots).Draw(t, "online")
		var streams []Stream
		for i := range rapid.IntRange(0, 32).Draw(t, "batch") {
			streams = append(streams, Stream{
				ID: uint64(i), Started: epoch.Add(time.Duration(i%5) * time.Second), ExpectedTokens: 200,
				OutputTokens: max(0, rapid.IntRange(-50, 200).Draw(t, "produced")), KVShare: 0.03, PrefillTokens: rapid.IntRange(1, 900).Draw(t, "prompt"),
				NonIdempotent: rapid.IntRange(0, 9).Draw(t, "kind") == 0,
			})
		}
		a := Arrival{Requests: rapid.IntRange(1, 3).Draw(t, "requests"), KVShare: 0.05}
		all := slices.Clone(streams)
		victims := SelectVictims(s, streams, a, nil)
		cancelled := map[uint64]bool{}
		unstarted := 0
		for _, v := range victims {
			cancelled[v.ID] = true
			if all[v.ID].NonIdempotent {
				t.Fatal("cancelled an item that cannot run again")
			}
			if all[v.ID].OutputTokens == 0 {
				unstarted++
			}
		}
		remaining := len(all) - len(victims)
		nonIdempotent, prefillAhead := 0, 0
		for _, b := range all {
			if !cancelled[b.ID] && !b.NonIdempotent && b.OutputTokens == 0 {
				prefillAhead += b.PrefillTokens
			}
			if b.NonIdempotent {
				nonIdempotent++
			}
			for _, v := range victims {
				if !cancelled[b.ID] && !b.NonIdempotent && compareVictims(b, all[v.ID]) < 0 {
					t.Fatalf("kept %+v, cancelled %+v", b, all[v.ID])
				}
			}
		}
		if s.OnlineStreams+a.Requests+remaining > s.Slots && remaining > nonIdempotent {
			t.Fatalf("no slot: %d online, %d of %d batch streams left", s.OnlineStreams, remaining, len(all))
		}
		if prefillAhead > s.MaxPrefillAhead {
			t.Fatalf("%d prompt tokens stay ahead of the arrival", prefillAhead)
		}
		need := max(0, s.OnlineStreams+a.Requests+len(all)-s.Slots)
		memory := 2 // streams that free 0.05 of memory
		if len(victims) > max(need, unstarted, memory) {
			t.Fatalf("cancelled %d, %d needed, %d unstarted", len(victims), need, unstarted)
		}
	})
}

// Guards against batch streams that are preempted again right after each refill, and against
// a long refill delay that persists after the burst.
func TestRefillDelayGrows(t *testing.T) {
	var c Controller
	now := epoch
	c.RecordOutput(now, 100000)
	var delays []time.Duration
	for range 4 {
		c.RecordPreemption(now, []Victim{{WastedTokens: 100}})
		delays = append(delays, c.RefillAfter(now).Sub(now))
		now = c.RefillAfter(now).Add(time.Millisecond)
	}
	if !slices.IsSorted(delays) || delays[0] > 100*time.Millisecond || delays[3] <= delays[0] {
		t.Fatalf("refill delays %v", delays)
	}
	now = now.Add(time.Minute)
	c.RecordPreemption(now, []Victim{{WastedTokens: 100}})
	if h := c.RefillAfter(now).Sub(now); h != delays[0] {
		t.Fatalf("refill delay %v after a minute without preemptions, want %v", h, delays[0])
	}
}

// Guards against unlimited waste, and against extra free slots while the waste is below its
// target.
func TestExtraHeadroomLimitsWaste(t *testing.T) {
	var c Controller
	c.RecordOutput(epoch, 10000)
	c.RecordPreemption(epoch, []Victim{{WastedTokens: 400}})
	if n := c.ExtraHeadroom(epoch); n != 0 {
		t.Fatalf("extra headroom %d at waste ratio %v", n, c.WasteRatio())
	}
	c.RecordPreemption(epoch, []Victim{{WastedTokens: 600}})
	if n := c.ExtraHeadroom(epoch); c.WasteRatio() < TargetWasteRatio || n < 1 {
		t.Fatalf("extra headroom %d at waste ratio %v", n, c.WasteRatio())
	}
	if later := epoch.Add(3 * wasteHalfLife); c.ExtraHeadroom(later) > maxExtraHeadroom {
		t.Fatalf("extra headroom %d after three half-lives", c.ExtraHeadroom(later))
	}
}
