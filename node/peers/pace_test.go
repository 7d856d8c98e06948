package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
	"github.com/jacinthnotch/jacinthnotch/policy/pace"
)

// Guards against figures that change on their way to the hub, and against a report cut short or one
// about unknown servers that is taken for something else.
func TestPacesInAReport(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	want := map[string]pace.Statement{}
	ids := map[uint32]string{}
	for i := range maxPacedServers {
		id := fmt.Sprint("s", i)
		ids[hash(id)] = id
		want[id] = pace.Statement{Pace: 100 + 4*i, Requests: i, Waiting: i / 2, At: now.Add(-time.Duration(i) * paceAgeUnit)}
	}
	packed := packPaces(now, want)
	got := unpackPaces(now, append(packed, 1, 2, 3), ids)
	for id, s := range want {
		if got[id] != s {
			t.Errorf("%s: %+v, want %+v", id, got[id], s)
		}
	}
	if got := unpackPaces(now, packed, map[uint32]string{1: "other"}); len(got) != 0 {
		t.Errorf("%d statements about unknown servers", len(got))
	}
	want["one more"] = pace.Statement{Pace: 250, At: now}
	if n := len(packPaces(now, want)); n != maxPacedServers*packedPaceBytes {
		t.Errorf("a report of %d bytes", n)
	}
}

// Guards against a hub that picks a server which has said to another instance that it is slow, and
// against a new hub that waits for statements or keeps those of its predecessor.
func TestPaceReachesTheHub(t *testing.T) {
	inVirtualTime(t, 20, func(t *testing.T, net *network) {
		nodes := startAll(t, net, 5, 3, 8)
		hub := hubOf(nodes, nodes[0])
		var other *node
		for _, n := range nodes {
			if n != hub {
				other = n
			}
		}
		lease, ok := other.place(balance.Query{Service: "svc", Class: balance.Online})
		if !ok {
			t.Fatal("no server")
		}
		slow := lease.Server.ID
		lease.RecordLoad(&serving.Load{Running: 1, Slots: 8, Pace: 250})
		lease.End(balance.Answered)
		time.Sleep(3 * minReportInterval)
		for range 4 {
			lease, ok := other.place(balance.Query{Service: "svc", Class: balance.Online})
			if !ok || lease.Server.ID == slow {
				t.Fatalf("no server, or the slow one, %s", slow)
			}
			lease.End(balance.Answered)
		}
		hub.stop()
		time.Sleep(3 * time.Second)
		picked := map[string]bool{}
		for range 12 {
			lease, ok := other.place(balance.Query{Service: "svc", Class: balance.Online})
			if !ok {
				t.Fatal("no server after the loss of the hub")
			}
			picked[lease.Server.ID] = true
		}
		if !picked[slow] {
			t.Errorf("%s gets no requests after its spell", slow)
		}
	})
}

// BenchmarkPacesAtAHub measures what a hub does with one report: 390 instances report 15 in 100 of
// 3,200 answers a second, at most 50 times a second each.
func BenchmarkPacesAtAHub(b *testing.B) {
	now := time.Now()
	list, ids := map[string]pace.Statement{}, map[uint32]string{}
	for i := range 740 {
		id := fmt.Sprint("s", i)
		ids[hash(id)] = id
		if i < 2 {
			list[id] = pace.Statement{Pace: 250, Requests: 5, At: now}
		}
	}
	raw, err := encode(kindPaces, &paceReport{Name: "instance-100", Packed: packPaces(now, list)})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		report, err := decode[paceReport](raw)
		if err != nil {
			b.Fatal(err)
		}
		unpackPaces(now, report.Packed, ids)
	}
	b.ReportMetric(float64(len(raw)), "bytes")
}
