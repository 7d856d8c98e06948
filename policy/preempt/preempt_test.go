package preempt

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// Guards against an arrival that finds no slot although batch work could yield,
// against cancelling more than that, and against cancelling a stream with more
// progress than one that stays.
func TestDecideFreesJustEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Server{Slots: rapid.IntRange(1, 32).Draw(t, "slots"), FreeKVShare: rapid.Float64Range(0, 0.3).Draw(t, "kv"), MaxPrefillAhead: maxAhead * rapid.IntRange(0, 1).Draw(t, "spare")}
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
		out := SelectVictims(s, streams, a, nil)
		gone := map[uint64]bool{}
		unstarted := 0
		for _, r := range out {
			gone[r.ID] = true
			if all[r.ID].NonIdempotent {
				t.Fatal("cancelled an item that cannot run again")
			}
			if all[r.ID].OutputTokens == 0 {
				unstarted++
			}
		}
		left := len(all) - len(out)
		fixed, ahead := 0, 0
		for _, b := range all {
			if !gone[b.ID] && !b.NonIdempotent && b.OutputTokens == 0 {
				ahead += b.PrefillTokens
			}
			if b.NonIdempotent {
				fixed++
			}
			for _, r := range out {
				if !gone[b.ID] && !b.NonIdempotent && compare(b, all[r.ID]) < 0 {
					t.Fatalf("kept %+v, cancelled %+v", b, all[r.ID])
				}
			}
		}
		if s.OnlineStreams+a.Requests+left > s.Slots && left > fixed {
			t.Fatalf("no slot: %d online, %d of %d batch streams left", s.OnlineStreams, left, len(all))
		}
		if ahead > s.MaxPrefillAhead {
			t.Fatalf("%d prompt tokens stay ahead of the arrival", ahead)
		}
		need := max(0, s.OnlineStreams+a.Requests+len(all)-s.Slots)
		memory := 2 // streams that free 0.05 of memory
		if len(out) > max(need, unstarted, memory) {
			t.Fatalf("cancelled %d, %d needed, %d unstarted", len(out), need, unstarted)
		}
	})
}

// Guards against refilling that is undone again and again, and against a hold
// that lasts after the burst.
func TestGuardHoldsLonger(t *testing.T) {
	var g Controller
	now := epoch
	g.RecordOutput(now, 100000)
	var holds []time.Duration
	for range 4 {
		g.RecordPreemption(now, []Victim{{WastedTokens: 100}})
		holds = append(holds, g.RefillAfter(now).Sub(now))
		now = g.RefillAfter(now).Add(time.Millisecond)
	}
	if !slices.IsSorted(holds) || holds[0] > 100*time.Millisecond || holds[3] <= holds[0] {
		t.Fatalf("holds %v", holds)
	}
	now = now.Add(time.Minute)
	g.RecordPreemption(now, []Victim{{WastedTokens: 100}})
	if h := g.RefillAfter(now).Sub(now); h != holds[0] {
		t.Fatalf("hold %v after a calm minute, want %v", h, holds[0])
	}
}

// Guards against waste without a bound: above the target more slots stay free,
// and below it none more.
func TestGuardBoundsWaste(t *testing.T) {
	var g Controller
	g.RecordOutput(epoch, 10000)
	g.RecordPreemption(epoch, []Victim{{WastedTokens: 400}})
	if n := g.ExtraHeadroom(epoch); n != 0 {
		t.Fatalf("headroom %d at waste %v", n, g.WasteRatio())
	}
	g.RecordPreemption(epoch, []Victim{{WastedTokens: 600}})
	if n := g.ExtraHeadroom(epoch); g.WasteRatio() < TargetWasteRatio || n < 1 {
		t.Fatalf("headroom %d at waste %v", n, g.WasteRatio())
	}
	if later := epoch.Add(3 * wasteHalfLife); g.ExtraHeadroom(later) > maxExtra {
		t.Fatalf("headroom %d later", g.ExtraHeadroom(later))
	}
}
