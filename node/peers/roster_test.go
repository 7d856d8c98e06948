package peers

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// Guards against a replica of the list of live instances that differs from the hub's at the
// same revision, after reports that were lost, overtaken or repeated and after a restart of
// the hub.
func TestReplicaFollowsTheRoster(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hub, replica := &roster{}, &rosterReplica{}
		incarnation := uint32(1)
		var sent []*rosterReport
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now := epoch.Add(time.Duration(step) * 200 * time.Millisecond)
			if rapid.IntRange(0, 20).Draw(t, "restart") == 0 {
				hub, incarnation = &roster{}, incarnation+1
			}
			live := map[uint32]liveInstance{}
			for _, n := range rapid.SliceOfN(rapid.Uint32Range(1, 6), 0, 6).Draw(t, "live") {
				live[n] = liveInstance{Name: n, Incarnation: rapid.Uint32Range(1, 2).Draw(t, "incarnation")}
			}
			hub.update(now, live)
			report := hub.changesSince(now.Add(-rosterHistory))
			report.Incarnation = incarnation
			sent = append(sent, report)
			received := sent[max(0, len(sent)-rapid.IntRange(1, 3).Draw(t, "late"))]
			if rapid.Bool().Draw(t, "lost") || received.Incarnation != incarnation {
				continue
			}
			if !replica.apply(received) {
				full := hub.full()
				full.Incarnation = incarnation
				if !replica.apply(full) {
					t.Fatal("the whole list does not complete the replica")
				}
			}
			if replica.revision == hub.revision && !maps.Equal(replica.members, hub.members) {
				t.Fatalf("replica %v, hub %v at revision %d", replica.members, hub.members, hub.revision)
			}
			if replica.revision < received.Revision {
				t.Fatalf("revision %d after a report of revision %d", replica.revision, received.Revision)
			}
		}
	})
}

// Guards against packed loads that are assigned to other servers, because hub and peer know
// different ones.
func TestTotalsOfAnotherListOfServersAreIgnored(t *testing.T) {
	ids := []string{"a", "b", "c"}
	loads := map[string]balance.Load{"a": {Counts: balance.Counts{balance.Online: 3, balance.Batch: 2}}, "c": {Counts: balance.Counts{balance.Online: 99}}}
	report := newServerList(1, ids).encodeTotals("hub", loads)
	decoded, ok := newServerList(5, []string{"c", "a", "b"}).decodeTotals(report)
	if !ok || decoded["a"] != loads["a"] || decoded["c"].Counts[balance.Online] != maxPackedCount || len(decoded) != 2 {
		t.Fatalf("decoded %v, %v", decoded, ok)
	}
	if _, ok := newServerList(1, []string{"a", "b", "d"}).decodeTotals(report); ok {
		t.Fatal("loads of another list of servers are accepted")
	}
}

// Guards against reports that exceed, at the size that the users expect in two years (390
// instances and 740 servers), the 2 KB a second that an instance may receive for control.
func TestBytesOfAHubsReports(t *testing.T) {
	var ids []string
	for i := range 740 {
		ids = append(ids, fmt.Sprint("s", i))
	}
	size := func(k kind, body any) int {
		raw, err := encode(k, body)
		if err != nil {
			t.Fatal(err)
		}
		return len(raw)
	}
	roster := size(kindRoster, &rosterReport{Name: "front-bp-a-100", Incarnation: 1 << 31, Revision: 1 << 20, Changes: make([]rosterChange, 2)})
	packed := size(kindTotals, newServerList(1, ids).encodeTotals("front-bp-a-100", nil))
	perSecond := hubCount*float64(roster)/rosterInterval.Seconds() + float64(packed)/totalsInterval.Seconds()
	t.Logf("roster %d bytes, totals %d bytes, %.0f bytes a second", roster, packed, perSecond)
	if perSecond > 2000 {
		t.Errorf("%.0f bytes a second from the hubs", perSecond)
	}
}

// BenchmarkTick measures one check of a calm instance among 390 for reports that are due.
func BenchmarkTick(b *testing.B) {
	g := newLargeGroup(b, 390)
	b.ReportAllocs()
	for b.Loop() {
		g.tick()
	}
}

// BenchmarkRoster measures a hub's report on 390 instances at one of its peers.
func BenchmarkRoster(b *testing.B) {
	g := newLargeGroup(b, 390)
	hub := &roster{}
	live := map[uint32]liveInstance{}
	for h := range g.peersByHash {
		live[h] = liveInstance{Name: h, Incarnation: 1, ReachesStore: true}
	}
	hub.update(epoch, live)
	full := hub.full()
	full.Name, full.Incarnation = "n1", 1
	from := g.peers["n1"].addrPort
	g.onRoster(full, from)
	report := hub.changesSince(epoch.Add(time.Second))
	report.Name, report.Incarnation = "n1", 1
	raw, err := encode(kindRoster, report)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := g.receive(raw, from); err != nil {
			b.Fatal(err)
		}
	}
}

// newLargeGroup returns the group of an instance that knows count others and whose datagrams
// are lost.
func newLargeGroup(b *testing.B, count int) *Group {
	b.Helper()
	g, err := NewGroup(Options{Name: "self", Conn: newNetwork(1).open(), View: newView(740), OnPreempt: func(string) bool { return false }})
	if err != nil {
		b.Fatal(err)
	}
	var entries []port.Entry[Instance]
	for i := range count {
		entries = append(entries, port.Entry[Instance]{Key: fmt.Sprint("n", i), Value: &Instance{Address: fmt.Sprintf("10.1.%d.%d:7000", i/200, i%200+1), Cores: 1, Incarnation: 1}})
	}
	g.Apply(entries)
	return g
}

// newView returns a view with a service of servers of 8 slots.
func newView(servers int) *fleet.View {
	return newServersView(servers, 8)
}
