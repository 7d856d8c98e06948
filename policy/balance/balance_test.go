package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func table(servers, slots int) *Table {
	t := NewTable(rand.New(rand.NewPCG(1, 2)))
	list := map[string]*serving.Server{}
	for i := range servers {
		id := fmt.Sprintf("s%02d", i)
		list[id] = &serving.Server{ID: id, Service: "svc", Address: id, DataCentre: fmt.Sprint("dc", i%2), Slots: slots}
	}
	t.SetServers(list)
	return t
}

func pick(t *testing.T, tb *Table, q Query) Choice {
	t.Helper()
	q.Service = "svc"
	c, ok := tb.Pick(epoch, q)
	if !ok {
		t.Fatalf("no server for %+v", q)
	}
	return c
}

// Guards against new work on a server that leaves or that had the request.
func TestLeavingAndTriedServersGetNothing(t *testing.T) {
	tb := table(3, 4)
	tb.backends["s00"].server.Leaving = true
	for range 50 {
		if c := pick(t, tb, Query{Tried: map[string]bool{"s01": true}}); c.Server.ID != "s02" {
			t.Fatalf("picked %s", c.Server.ID)
		}
	}
}

// Guards against a lost server that is tried by every request, and against one that
// is never tried again.
func TestUnreachableServerIsTriedAgainByOne(t *testing.T) {
	tb := table(2, 4)
	tb.Started("s00", Online)
	tb.Ended(epoch, "s00", Online, Unreachable)
	for range 20 {
		if c := pick(t, tb, Query{}); c.Server.ID == "s00" {
			t.Fatal("a lost server is picked at once")
		}
	}
	later := epoch.Add(backoffMost)
	trials := 0
	for range 20 {
		c, _ := tb.Pick(later, Query{Service: "svc", Exact: true})
		if c.Server.ID == "s00" {
			trials++
		}
		tb.Started(c.Server.ID, Online)
	}
	if trials != 1 {
		t.Fatalf("%d trials at once", trials)
	}
	tb.Answering("s00")
	if c, _ := tb.Pick(later, Query{Service: "svc", Exact: true}); c.Server.ID != "s00" {
		t.Fatal("a server that answers again stays out")
	}
}

// Guards against requests that cannot be repeated being sent to a server that fails
// part of its requests while its health check is good.
func TestOnceRequestsAvoidFailingServers(t *testing.T) {
	tb := table(4, 8)
	for range 10 {
		tb.Started("s00", Online)
		tb.Ended(epoch, "s00", Online, Failed)
	}
	for range 200 {
		if c := pick(t, tb, Query{Once: true}); c.Server.ID == "s00" {
			t.Fatal("a failing server is picked")
		}
	}
}

// Guards against batch requests that take the last slots of a server, and against an
// online request that queues although it could have the slot of a batch request.
func TestBatchLeavesRoomAndYields(t *testing.T) {
	tb := table(2, 4)
	started := 0
	for {
		c, ok := tb.Pick(epoch, Query{Service: "svc", Class: Batch, Headroom: 1, Exact: true})
		if !ok {
			break
		}
		tb.Started(c.Server.ID, Batch)
		started++
	}
	if started != 6 {
		t.Fatalf("%d batch requests on 2 servers of 4 slots with one left free each", started)
	}
	preempted := 0
	for range 8 {
		c := pick(t, tb, Query{Exact: true})
		if c.Ahead > 0 {
			t.Fatalf("an online request waits behind %d others", c.Ahead)
		}
		if c.Preempt {
			preempted++
			tb.Ended(epoch, c.Server.ID, Batch, Abandoned)
		}
		tb.Started(c.Server.ID, Online)
	}
	if preempted != 6 {
		t.Fatalf("%d of 6 slots were yielded", preempted)
	}
}

// Guards against a grant that is counted twice, or not at all, around the statement
// that shows it.
func TestGrantsCountOnce(t *testing.T) {
	tb := table(1, 8)
	busy := func() int { return tb.backends["s00"].busy() }
	tb.Grant(epoch, "peer", Grant{Sequence: 1, Server: "s00"})
	tb.Grant(epoch, "peer", Grant{Sequence: 2, Server: "s00"})
	if busy() != 2 {
		t.Fatalf("busy %d after two grants", busy())
	}
	tb.Peer(epoch, "peer", map[string]Counts{"s00": {Online: 1}}, 1)
	if busy() != 2 {
		t.Fatalf("busy %d after a statement that shows one of them", busy())
	}
	tb.Peer(epoch, "peer", map[string]Counts{"s00": {Online: 1}}, 2)
	if busy() != 1 {
		t.Fatalf("busy %d after a statement that shows both, one of which has ended", busy())
	}
	tb.SetServers(map[string]*serving.Server{"s00": tb.backends["s00"].server})
	if busy() != 1 {
		t.Fatalf("busy %d after the servers were listed again", busy())
	}
	tb.Expire(epoch.Add(peerLifetime + time.Second))
	if busy() != 0 {
		t.Fatalf("busy %d after the peer went silent", busy())
	}
}

// Guards against requests crossing between data centres while servers at home are
// about as busy, and against staying at home when it is full.
func TestHomeIsPreferred(t *testing.T) {
	tb := table(2, 8)
	if c := pick(t, tb, Query{Home: "dc1", Exact: true}); c.Server.ID != "s01" {
		t.Fatalf("picked %s", c.Server.ID)
	}
	for range 4 {
		tb.Started("s01", Online)
	}
	if c := pick(t, tb, Query{Home: "dc1", Exact: true}); c.Server.ID != "s00" {
		t.Fatalf("picked %s", c.Server.ID)
	}
}
