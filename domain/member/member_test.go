package member

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

func testTable(now time.Time) *Table {
	return New(DefaultConfig(), Info{ID: "self", Address: "a", Weight: 100}, 1000, now, rand.New(rand.NewPCG(1, 1)))
}

func memberUpdate(id string, status peerpb.MemberState_Status, incarnation uint64) []*peerpb.Update {
	return []*peerpb.Update{{Kind: &peerpb.Update_Member{Member: &peerpb.MemberState{Instance: id, Address: id, Status: status, Incarnation: incarnation, Weight: 100}}}}
}

// Guards against relying on the platform's list, which lags behind starts, ends and
// restarts of instances.
func TestListLag(t *testing.T) {
	now := time.Unix(1000, 0)
	tab := testTable(now)
	list := []ListedInstance{{Info: Info{ID: "silent", Address: "b"}}, {Info: Info{ID: "peer", Address: "c"}, Leaving: true}}
	tab.ApplyList(now, list, []ListedServer{{ID: "s", Leaving: true}})
	for range 100 {
		now = now.Add(tickInterval)
		tab.Tick(now)
	}
	if m, _ := tab.Member("silent"); m.Live() {
		t.Error("a listed but silent instance is live")
	}
	tab.HandlePing(now, &peerpb.Ping{From: "unlisted", Updates: memberUpdate("unlisted", peerpb.MemberState_ALIVE, 5)})
	tab.ApplyList(now, nil, nil)
	if m, _ := tab.Member("unlisted"); !m.Live() {
		t.Error("a live but unlisted instance was dropped")
	}
	tab.HandlePing(now, &peerpb.Ping{From: "peer", Updates: memberUpdate("peer", peerpb.MemberState_ALIVE, 5)})
	if m, _ := tab.Member("peer"); !m.Live() || !m.Leaving {
		t.Error("an instance that is listed as leaving lost its leaving mark when it answered")
	}
	tab.HandlePing(now, &peerpb.Ping{From: "peer", Updates: memberUpdate("peer", peerpb.MemberState_ALIVE, 6)})
	if m, _ := tab.Member("peer"); !m.Leaving {
		t.Error("a refutation cleared the leaving mark")
	}
	tab.HandlePing(now, &peerpb.Ping{From: "peer", Updates: memberUpdate("peer", peerpb.MemberState_ALIVE, 9000)})
	tab.ApplyList(now, list, nil)
	if m, _ := tab.Member("peer"); m.Leaving {
		t.Error("a restarted process inherited the leaving mark from a lagging list")
	}
	if !tab.ServerLeaving("s") {
		t.Error("a server that is no longer listed lost its leaving mark")
	}
	tab.ApplyList(now, nil, []ListedServer{{ID: "s"}})
	now = now.Add(DefaultConfig().ListStableTime - 1)
	tab.ApplyList(now, nil, []ListedServer{{ID: "s"}})
	if !tab.ServerLeaving("s") {
		t.Error("a leaving mark was cleared before the list was stable for ListStableTime")
	}
	tab.ApplyList(now.Add(1), nil, []ListedServer{{ID: "s"}})
	if tab.ServerLeaving("s") {
		t.Error("the leaving mark was not cleared after the list was stable for ListStableTime")
	}
}

// Guards against a merged state that depends on the order in which the same
// statements arrive.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var all [][]*peerpb.Update
		for range rapid.IntRange(2, 6).Draw(t, "n") {
			status := rapid.SampledFrom([]peerpb.MemberState_Status{peerpb.MemberState_ALIVE, peerpb.MemberState_SUSPECT, peerpb.MemberState_DEAD}).Draw(t, "status")
			all = append(all, memberUpdate("x", status, uint64(rapid.IntRange(1, 3).Draw(t, "incarnation"))))
		}
		final := func(order []int) (Status, uint64) {
			tab := testTable(now)
			tab.HandlePing(now, &peerpb.Ping{From: "x", Updates: memberUpdate("x", peerpb.MemberState_ALIVE, 1)})
			for _, i := range order {
				tab.HandlePing(now, &peerpb.Ping{From: "y", Updates: all[i]})
			}
			m, _ := tab.Member("x")
			return m.Status, m.Incarnation
		}
		idx := make([]int, len(all))
		for i := range idx {
			idx[i] = i
		}
		s1, i1 := final(idx)
		s2, i2 := final(rapid.Permutation(idx).Draw(t, "order"))
		if s1 != s2 || i1 != i2 {
			t.Fatalf("%v@%d in one order, %v@%d in another", s1, i1, s2, i2)
		}
	})
}

// Guards against a member that does not refute its own death, and against a leaving
// mark from another member that is ignored.
func TestSelf(t *testing.T) {
	now := time.Unix(1000, 0)
	tab := testTable(now)
	ack, _ := tab.HandlePing(now, &peerpb.Ping{From: "x", Updates: memberUpdate("self", peerpb.MemberState_DEAD, 1000)})
	own := ack.Updates[0].GetMember()
	if own.Incarnation != 1001 || own.Status != peerpb.MemberState_ALIVE {
		t.Errorf("the acknowledgement of a ping with this member's death has own state %v, want ALIVE with incarnation 1001", own)
	}
	_, actions := tab.HandlePing(now, &peerpb.Ping{From: "x", Updates: memberUpdate("self", peerpb.MemberState_LEAVING, 1001)})
	if len(actions) != 2 || actions[1] != (MarkedLeaving{}) || !tab.Self().Leaving {
		t.Errorf("a leaving mark from another member was not applied or returned actions %v, want MarkedLeaving second", actions)
	}
}

func tableOf(n int, now time.Time) *Table {
	tab := testTable(now)
	for i := range n - 1 {
		id := fmt.Sprintf("i%03d", i)
		tab.HandlePing(now, &peerpb.Ping{From: id, Updates: memberUpdate(id, peerpb.MemberState_ALIVE, 1)})
	}
	return tab
}

// Guards against partitions that move unnecessarily, or to a member that has just
// started or is leaving.
func TestOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		tab := tableOf(rapid.IntRange(2, 30).Draw(t, "n"), now)
		now = now.Add(5 * time.Second)
		key := PartitionKey(rapid.String().Draw(t, "key"))
		owner := tab.View().PreferredOwner(key, "", now)
		tab.HandlePing(now, &peerpb.Ping{From: "new", Updates: memberUpdate("new", peerpb.MemberState_ALIVE, 1)})
		if got := tab.View().PreferredOwner(key, owner, now.Add(4999*time.Millisecond)); got != owner {
			t.Fatalf("the partition moved from %s to %s before MinLiveTime", owner, got)
		}
		if got := tab.View().PreferredOwner(key, "lost", now); got != owner {
			t.Fatalf("the partition of a lost owner moved to %s, want %s", got, owner)
		}
		later := tab.View().PreferredOwner(key, owner, now.Add(5*time.Second))
		if later != owner && later != "new" {
			t.Fatalf("one new member moved a partition from %s to %s", owner, later)
		}
		tab.HandlePing(now, &peerpb.Ping{From: "x", Updates: memberUpdate(later, peerpb.MemberState_LEAVING, 1000)})
		if got := tab.View().PreferredOwner(key, later, now.Add(5*time.Second)); got == later || got == "" {
			t.Fatalf("the partition of a leaving member moved to %q", got)
		}
	})
}

// Guards against shares of partitions that are not proportional to the weights.
func TestWeights(t *testing.T) {
	now := time.Unix(1000, 0)
	tab := tableOf(10, now)
	tab.members["i000"].Weight = 300
	v := tab.View()
	count := map[string]int{}
	const keys = 12000
	for i := range keys {
		count[v.PreferredOwner(fmt.Sprint("key", i), "", now)]++
	}
	for id, n := range count {
		want := float64(keys) / 12
		if id == "i000" {
			want *= 3
		}
		// Five standard deviations of a binomial.
		if math.Abs(float64(n)-want) > 5*math.Sqrt(want) {
			t.Errorf("%s is preferred for %d of %d keys, want about %.0f", id, n, keys, want)
		}
	}
}

func BenchmarkMemberSecond(b *testing.B) {
	for _, n := range []int{12, 48, 390} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newSim(n, 3)
			s.runFor(20 * time.Second)
			b.ResetTimer()
			for range b.N {
				s.runFor(time.Second)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(n), "us/member-second")
		})
	}
}

func BenchmarkOwner(b *testing.B) {
	now := time.Unix(1000, 0)
	for _, n := range []int{12, 390} {
		v := tableOf(n, now).View()
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				v.PreferredOwner("owner/partition-0001", "self", now)
			}
		})
	}
}
