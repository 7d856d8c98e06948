package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var startTime = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func newTestTable(n int, p Picker) *Table {
	t := NewTable(Options{DataCentre: "a", Picker: p})
	for i := range n {
		id := fmt.Sprintf("s%03d", i)
		t.Upsert(Server{ID: id, DataCentre: string(rune('a' + i%3)), Model: "m", Version: "1", Slots: 24})
		t.LoadReported(id, LoadReport{At: startTime, Running: i % 7, MaxSlots: 24, PrefillRate: 8000, DecodeRate: 30})
	}
	return t
}

var request = Request{Model: "m", PromptTokens: 900, OutputTokens: 200, Prefix: 7, PrefixTokens: 800}

// Guards against requests sent to servers that are leaving, ejected, excluded,
// serve another model or already run a suspect.
func TestPickOnlyEligible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "servers")
		table := newTestTable(n, Picker(rapid.IntRange(0, int(LeastLoaded)).Draw(t, "picker")))
		req := request
		req.Suspect = true
		want := map[string]bool{}
		for i := range n {
			id := fmt.Sprintf("s%03d", i)
			table.CacheEvents(id, []CacheEvent{{Seq: 1, Prefix: 7, Tokens: 800}})
			switch rapid.IntRange(0, 6).Draw(t, "state") {
			case 0:
				table.SetLeaving(id, true)
			case 1:
				table.SetWeight(id, 0)
			case 2:
				table.Upsert(Server{ID: id, Model: "other"})
			case 3:
				req.Exclude = append(req.Exclude, id)
			case 4:
				table.SetRunsSuspect(id, true)
			case 5:
				table.Remove(id)
			default:
				want[id] = true
			}
		}
		rng := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		for range 20 {
			c, ok := table.Pick(startTime, &req, rng)
			if ok != (len(want) > 0) || ok && !want[c.Server] {
				t.Fatalf("Pick returned %q, %v; eligible servers %v", c.Server, ok, want)
			}
		}
	})
}

// Guards against drift of a server's load counts when requests end in any order
// around delayed load reports. With a drift the server looks busy or free for
// ever.
func TestLoadReturnsToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTestTable(3, PowerOfTwo)
		rng := rand.New(rand.NewPCG(1, 2))
		now := startTime
		var open []ActiveRequest
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Millisecond)
			switch k := rapid.IntRange(0, 3).Draw(t, "event"); {
			case k < 2:
				c, _ := table.Pick(now, &request, rng)
				open = append(open, table.Dispatched(now, c, &request))
			case len(open) > 0:
				i := rapid.IntRange(0, len(open)-1).Draw(t, "request")
				if k == 2 {
					table.FirstToken(now, &open[i])
				} else {
					table.Finished(now, &open[i], 100)
					open = slices.Delete(open, i, i+1)
				}
			}
		}
		for i := range open {
			table.Finished(now, &open[i], 0)
		}
		for i := range table.servers {
			s := &table.servers[i]
			table.LoadReported(s.ID, LoadReport{At: now.Add(time.Second)})
			if s.inFlight != 0 || s.pendingPromptTokens != 0 || s.load(true) != 0 {
				t.Fatalf("server %s has %d streams, %d pending prompt tokens, load %d after all requests ended", s.ID, s.inFlight, s.pendingPromptTokens, s.load(true))
			}
		}
	})
}

// Guards against cache entries that stay recorded after their eviction event was
// lost.
func TestCacheGapDropsEntries(t *testing.T) {
	table := newTestTable(2, PowerOfTwo)
	table.CacheEvents("s000", []CacheEvent{{Seq: 1, Prefix: 7, Tokens: 800}, {Seq: 2, Prefix: 8, Tokens: 90}})
	table.CacheEvents("s000", []CacheEvent{{Seq: 5, Prefix: 9, Tokens: 10}})
	if len(table.holders[7]) != 0 || len(table.holders[8]) != 0 || len(table.holders[9]) != 1 {
		t.Fatalf("holders after a gap: %v", table.holders)
	}
}

// Guards against routing all requests with a popular prefix to the server that
// has it in its cache.
func TestAffinityIsBounded(t *testing.T) {
	table := newTestTable(8, PowerOfTwo)
	table.CacheEvents("s000", []CacheEvent{{Seq: 1, Prefix: 7, Tokens: 800}})
	rng := rand.New(rand.NewPCG(3, 4))
	counts := map[string]int{}
	for range 160 {
		c, _ := table.Pick(startTime, &request, rng)
		table.Dispatched(startTime.Add(time.Millisecond), c, &request)
		counts[c.Server]++
	}
	if got := counts["s000"]; got < 10 || got > 40 {
		t.Fatalf("the server with the prefix got %d of 160 requests", got)
	}
}

// Guards against herding: instances that share a stale load report all choose the
// same server. The peak load of a server must be lower with power of two choices
// than when each instance takes the least loaded server.
func TestPowerOfTwoAvoidsHerding(t *testing.T) {
	peak := func(p Picker) int {
		const instances, servers, lag = 12, 18, 100
		rng := rand.New(rand.NewPCG(11, 12))
		var tables []*Table
		for range instances {
			tables = append(tables, newTestTable(servers, p))
		}
		load, worst := make([]int, servers), 0
		type end struct{ at, server int }
		var ends []end
		for step := range 4000 {
			now := startTime.Add(time.Duration(step+1) * time.Millisecond)
			ends = slices.DeleteFunc(ends, func(e end) bool {
				if e.at == step {
					load[e.server]--
				}
				return e.at == step
			})
			if step%lag == 0 {
				for _, t := range tables {
					for i, n := range load {
						t.LoadReported(fmt.Sprintf("s%03d", i), LoadReport{At: now, Running: n, MaxSlots: 24})
					}
				}
			}
			c, _ := tables[rng.IntN(instances)].Pick(now, &request, rng)
			load[c.index]++
			ends = append(ends, end{step + 1 + 100 + rng.IntN(200), c.index})
			worst = max(worst, load[c.index])
		}
		return worst
	}
	two, least, random := peak(PowerOfTwo), peak(LeastLoaded), peak(Random)
	t.Logf("peak streams on one server, seed 11/12: power of two %d, least loaded %d, random %d", two, least, random)
	if two >= least {
		t.Fatalf("power of two %d, least loaded %d", two, least)
	}
}

// Guards against servers that are used by too few instances, and against
// reassigning servers that a lost instance did not use.
func TestSubsetCoverage(t *testing.T) {
	var members []Member
	var servers []string
	for i := range 60 {
		members = append(members, Member{fmt.Sprintf("i%d", i), 50 + 50*(i%3)})
	}
	for i := range 200 {
		servers = append(servers, fmt.Sprintf("s%d", i))
	}
	users := func(members []Member) map[string][]string {
		out := map[string][]string{}
		for _, m := range members {
			for _, s := range Subset(m.ID, members, servers, 10, 0) {
				out[s] = append(out[s], m.ID)
			}
		}
		return out
	}
	before, after := users(members), users(members[1:])
	for _, s := range servers {
		if len(before[s]) != 10 || len(after[s]) != 10 {
			t.Fatalf("%s is used by %d and then %d instances", s, len(before[s]), len(after[s]))
		}
		for _, m := range before[s] {
			if m != members[0].ID && !slices.Contains(after[s], m) {
				t.Fatalf("%s lost %s, which stayed", s, m)
			}
		}
	}
	if got := len(Subset("i0", members, servers, 1, 8)); got < 8 {
		t.Fatalf("subset of %d servers, want at least 8", got)
	}
}

// newSteeredTable returns a table whose servers run batch work, so that online-first
// servers are selected.
func newSteeredTable(n int) *Table {
	table := newTestTable(n, PowerOfTwo)
	for i := range n {
		table.LoadReported(fmt.Sprintf("s%03d", i), LoadReport{At: startTime.Add(time.Second), Running: 20 + i%5, Batch: 12, MaxSlots: 24})
	}
	table.CacheEvents("s003", []CacheEvent{{Seq: 1, Prefix: 7, Tokens: 800}})
	table.Steer()
	return table
}

// Guards against routing online requests to servers full of batch work while
// online-first servers have room, and against finding no server when all
// online-first servers are leaving.
func TestPickPrefersOnlineFirst(t *testing.T) {
	table := newSteeredTable(18)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 100 {
		if c, _ := table.Pick(startTime, &request, rng); !table.IsOnlineFirst(c.Server) {
			t.Fatalf("Pick returned %s, which is not online-first", c.Server)
		}
	}
	for i := range table.servers {
		if table.servers[i].onlineFirst {
			table.SetLeaving(table.servers[i].ID, true)
		}
	}
	if _, ok := table.Pick(startTime, &request, rng); !ok {
		t.Fatal("Pick found no server although other servers are eligible")
	}
}

// Guards against memory allocation in Pick.
func TestPickDoesNotAllocate(t *testing.T) {
	for _, table := range []*Table{newTestTable(18, PowerOfTwo), newSteeredTable(18)} {
		rng := rand.New(rand.NewPCG(1, 2))
		if n := testing.AllocsPerRun(100, func() { table.Pick(startTime, &request, rng) }); n != 0 {
			t.Fatalf("%v allocations", n)
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 18, 100, 740} {
		for name, table := range map[string]*Table{"plain": newTestTable(n, PowerOfTwo), "steered": newSteeredTable(n)} {
			b.Run(fmt.Sprintf("%d/%s", n, name), func(b *testing.B) {
				rng := rand.New(rand.NewPCG(1, 2))
				b.ReportAllocs()
				for b.Loop() {
					table.Pick(startTime, &request, rng)
				}
			})
		}
	}
}
