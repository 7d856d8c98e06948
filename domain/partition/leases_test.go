package partition

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

func addJob(s *State, id string, items uint32, dueMs int64, weight uint32, nonIdempotent bool) *Job {
	j := &Job{Created: &recordpb.JobCreated{JobId: id, Items: items, DueMs: dueMs, Weight: weight, NonIdempotent: nonIdempotent}}
	s.jobs[id], s.activeJobs[id] = j, j
	return j
}

// leaseCounts leases n items one by one and returns the number of items per job.
func leaseCounts(l *Leases, s *State, n int, nowMs int64) map[string]int {
	got := map[string]int{}
	for range n {
		out, _ := l.Lease(s, LeaseRequest{Director: "d", Max: 1, DurationMs: 1000}, nowMs)
		for _, x := range out {
			got[x.JobID]++
		}
	}
	return got
}

// Guards against a large job that starves a small due job, and against leases of a
// job that is due later while an earlier one has free items.
func TestLeaseOrder(t *testing.T) {
	s := New()
	addJob(s, "late", 100_000, 10*DueWindowMs, 1, false)
	addJob(s, "later", 100, 20*DueWindowMs, 50, false)
	l := NewLeases(s, 0, 0)
	if got := leaseCounts(l, s, 500, 0); got["late"] != 500 {
		t.Fatalf("the job with the earliest due time is not served first: %v", got)
	}
	addJob(s, "large", 100_000, 100, 1, false)
	addJob(s, "small", 100, 200, 1, false)
	if got := leaseCounts(l, s, 200, 0); got["small"] != 100 || got["large"] != 100 {
		t.Fatalf("due jobs of equal weight do not share equally: %v", got)
	}
	addJob(s, "heavy", 100_000, 50, 3, false)
	if got := leaseCounts(l, s, 400, 0); got["heavy"] < 298 || got["heavy"] > 302 {
		t.Fatalf("a job of weight 3 does not get three times the share of one of weight 1: %v", got)
	}
}

// Guards against unlimited attempts, and against preemptions and returns without a
// dispatch that count as attempts.
func TestAttempts(t *testing.T) {
	s := New()
	addJob(s, "j", 1, 0, 1, false)
	l := NewLeases(s, 0, 0)
	counted := 0
	for n := int64(0); ; n++ {
		out, _ := l.Lease(s, LeaseRequest{Director: "d", Max: 5, DurationMs: 10}, n*100)
		if len(out) != 1 || out[0].Attempt != counted+1 {
			t.Fatalf("round %d: leased %v after %d attempts", n, out, counted)
		}
		var e *recordpb.Entry
		switch n % 4 {
		case 0:
			e = l.Return("d", "j", 0, ReturnPreempted, n*100)
		case 1:
			e, counted = l.Return("d", "j", 0, ReturnFailed, n*100), counted+1
		case 2:
			e = l.Return("d", "j", 0, ReturnNotDispatched, n*100)
		case 3:
			counted++
			if out := l.EndExpired(n*100 + 10); len(out) > 0 {
				e = out[0]
			}
		}
		if (e != nil) != (counted == MaxAttempts) {
			t.Fatalf("round %d: after %d attempts the entry is %v", n, counted, e)
		}
		if e == nil {
			continue
		}
		if r := e.GetItemResults().Results[0]; r.Code != CodeAttemptsExhausted || r.Outcome != recordpb.Outcome_OUTCOME_FAILED {
			t.Fatalf("result %v", r)
		}
		if out, _ := l.Lease(s, LeaseRequest{Director: "d", Max: 5, DurationMs: 10}, n*100); len(out) > 0 {
			t.Fatalf("leased %v while its result is queued", out)
		}
		return
	}
}

// Guards against a second dispatch of a non-idempotent item. It is leased only after
// its start was read back, and again only if its director did not dispatch it. When
// its lease expires it ends with an unknown outcome, also under the next owner.
func TestNonIdempotentItems(t *testing.T) {
	o := newSingleOwner(t)
	o.createJob("j", 3, true)
	l := NewLeases(o.state, 0, 0)
	out, entries := l.Lease(o.state, LeaseRequest{Director: "d", Max: 2, DurationMs: 10}, 0)
	if len(out) != 0 || len(entries) != 1 {
		t.Fatalf("leases %v and entries %v before the start is recorded", out, entries)
	}
	o.add(entries...)
	a, _ := o.step()
	if out = l.Confirm(&a, 5); len(out) != 2 || out[0].UntilMs != 15 {
		t.Fatalf("confirmed %v", out)
	}
	if e := l.Return("d", "j", 1, ReturnNotDispatched, 6); e != nil {
		t.Fatalf("an item returned without a dispatch ends with %v", e)
	}
	out, entries = l.Lease(o.state, LeaseRequest{Director: "e", Max: 1, DurationMs: 10}, 6)
	if len(out) != 1 || out[0].Item != 1 || len(entries) != 0 {
		t.Fatalf("an item returned without a dispatch is leased as %v with entries %v", out, entries)
	}
	next := NewLeases(o.state, 100, 50)
	if e := next.EndExpired(149); len(e) != 0 {
		t.Fatalf("the next owner ends items within the grace time: %v", e)
	}
	for _, e := range [][]*recordpb.Entry{next.EndExpired(150), l.EndExpired(20)} {
		if len(e) != 2 || e[0].GetItemResults().Results[0].Outcome != recordpb.Outcome_OUTCOME_UNKNOWN {
			t.Fatalf("items with an expired lease end with %v", e)
		}
	}
	if out, entries := next.Lease(o.state, LeaseRequest{Director: "e", Max: 9, DurationMs: 10}, 151); len(out) != 0 ||
		fmt.Sprint(entries[0].GetItemsStarted().Items) != "[2]" {
		t.Fatalf("the next owner leases %v with entries %v", out, entries)
	}
}

// Guards against an item that is leased twice at once, and one that is never leased,
// in any order of leases, returns, expiries and results.
func TestLeaseBookkeeping(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		n := rapid.Uint32Range(1, 200).Draw(t, "items")
		j := addJob(s, "j", n, 0, 1, false)
		l, held, now := NewLeases(s, 0, 0), map[uint32]Lease{}, int64(0)
		lease := func(count int) {
			out, _ := l.Lease(s, LeaseRequest{Director: "d", Max: count, DurationMs: 100}, now)
			for _, x := range out {
				if _, ok := held[x.Item]; ok || j.Outcome(x.Item) != 0 {
					t.Fatalf("item %d leased twice", x.Item)
				}
				held[x.Item] = x
			}
		}
		settle := func(entries []*recordpb.Entry) {
			for _, e := range entries {
				a := &Applied{}
				s.itemResults(a, Location{Offset: now}, now, e.GetItemResults())
				l.Observe(a)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"lease": func(t *rapid.T) { lease(rapid.IntRange(1, 50).Draw(t, "count")) },
			"return": func(t *rapid.T) {
				i := rapid.Uint32Range(0, n-1).Draw(t, "item")
				if e := l.Return("d", "j", i, ReturnReason(rapid.IntRange(0, 2).Draw(t, "why")), now); e != nil {
					settle([]*recordpb.Entry{e})
				}
				delete(held, i)
			},
			"result": func(t *rapid.T) {
				i := rapid.Uint32Range(0, n-1).Draw(t, "item")
				settle(l.RecordResults(s, "j", []*recordpb.ItemResult{{Item: i, Outcome: recordpb.Outcome_OUTCOME_DONE}}, now))
				delete(held, i)
			},
			"expire": func(t *rapid.T) {
				now += 60
				settle(l.EndExpired(now))
				for i, x := range held {
					if x.UntilMs <= now {
						delete(held, i)
					}
				}
			},
		})
		lease(int(n))
		if len(held)+int(j.FinishedCount()) != int(n) {
			t.Fatalf("%d held and %d finished of %d", len(held), j.FinishedCount(), n)
		}
	})
}
