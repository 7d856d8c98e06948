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
	tb.servers["s00"].server.Leaving = true
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
	tb.RequestStarted("s00", Online)
	tb.RequestEnded(epoch, "s00", Online, Unreachable)
	for range 20 {
		if c := pick(t, tb, Query{}); c.Server.ID == "s00" {
			t.Fatal("a lost server is picked at once")
		}
	}
	later := epoch.Add(backoffMost)
	trials := 0
	for range 20 {
		c, _ := tb.Pick(later, Query{Service: "svc", CompleteView: true})
		if c.Server.ID == "s00" {
			trials++
		}
		tb.RequestStarted(c.Server.ID, Online)
	}
	if trials != 1 {
		t.Fatalf("%d trials at once", trials)
	}
	tb.ResponseStarted("s00")
	if c, _ := tb.Pick(later, Query{Service: "svc", CompleteView: true}); c.Server.ID != "s00" {
		t.Fatal("a server that answers again stays out")
	}
}

// Guards against requests that cannot be repeated being sent to a server that fails
// part of its requests while its health check is good.
func TestOnceRequestsAvoidFailingServers(t *testing.T) {
	tb := table(4, 8)
	for range 10 {
		tb.RequestStarted("s00", Online)
		tb.RequestEnded(epoch, "s00", Online, Failed)
	}
	for range 200 {
		if c := pick(t, tb, Query{AtMostOnce: true}); c.Server.ID == "s00" {
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
		c, ok := tb.Pick(epoch, Query{Service: "svc", Class: Batch, Headroom: 1, CompleteView: true})
		if !ok {
			break
		}
		tb.RequestStarted(c.Server.ID, Batch)
		started++
	}
	if started != 6 {
		t.Fatalf("%d batch requests on 2 servers of 4 slots with one left free each", started)
	}
	preempted := 0
	for range 8 {
		c := pick(t, tb, Query{CompleteView: true})
		if c.QueuePosition > 0 {
			t.Fatalf("an online request waits behind %d others", c.QueuePosition)
		}
		if c.Preempt {
			preempted++
			tb.RequestEnded(epoch, c.Server.ID, Batch, Abandoned)
		}
		tb.RequestStarted(c.Server.ID, Online)
	}
	if preempted != 6 {
		t.Fatalf("%d of 6 slots were yielded", preempted)
	}
}

// Guards against a grant that is counted twice, or not at all, around the statement
// that shows it.
func TestGrantsCountOnce(t *testing.T) {
	tb := table(1, 8)
	busy := func() int { return tb.servers["s00"].busy() }
	tb.Grant(epoch, "peer", Grant{Sequence: 1, Server: "s00"})
	tb.Grant(epoch, "peer", Grant{Sequence: 2, Server: "s00"})
	if busy() != 2 {
		t.Fatalf("busy %d after two grants", busy())
	}
	tb.UpdatePeer(epoch, "peer", map[string]Load{"s00": {Counts: Counts{Online: 1}}}, 1)
	if busy() != 2 {
		t.Fatalf("busy %d after a statement that shows one of them", busy())
	}
	tb.UpdatePeer(epoch, "peer", map[string]Load{"s00": {Counts: Counts{Online: 1}}}, 2)
	if busy() != 1 {
		t.Fatalf("busy %d after a statement that shows both, one of which has ended", busy())
	}
	tb.SetServers(map[string]*serving.Server{"s00": tb.servers["s00"].server})
	if busy() != 1 {
		t.Fatalf("busy %d after the servers were listed again", busy())
	}
	tb.ExpirePeers(epoch.Add(peerLifetime + time.Second))
	if busy() != 0 {
		t.Fatalf("busy %d after the peer went silent", busy())
	}
}

// Guards against requests crossing between data centres while servers at home are
// about as busy, and against staying at home when it is full.
func TestHomeIsPreferred(t *testing.T) {
	tb := table(2, 8)
	if c := pick(t, tb, Query{DataCentre: "dc1", CompleteView: true}); c.Server.ID != "s01" {
		t.Fatalf("picked %s", c.Server.ID)
	}
	for range 4 {
		tb.RequestStarted("s01", Online)
	}
	if c := pick(t, tb, Query{DataCentre: "dc1", CompleteView: true}); c.Server.ID != "s00" {
		t.Fatalf("picked %s", c.Server.ID)
	}
}

// Guards against a server that stays out for ever because the trial of a peer, whose
// end this instance does not see, counts as under way (found by an own day with grey
// servers: after their end 2 of 3 requests were late).
func TestTrialOfAPeerDoesNotKeepAServerOut(t *testing.T) {
	tb := table(1, 4)
	tb.RequestStarted("s00", Online)
	tb.RequestEnded(epoch, "s00", Online, Unreachable)
	due := epoch.Add(backoffFirst)
	q := Query{Service: "svc", CompleteView: true}
	if c, ok := tb.Pick(due, q); !ok || c.Server.ID != "s00" {
		t.Fatal("no trial when it is due")
	}
	if usable, _ := tb.filter(due, q); len(usable) != 0 {
		t.Fatal("two trials at once")
	}
	if usable, _ := tb.filter(due.Add(trialLimit), q); len(usable) != 1 {
		t.Fatal("no further trial after one without an end")
	}
	tb.UpdatePeer(due, "peer", map[string]Load{"s00": {}}, 0)
	tb.UpdatePeer(due, "peer", map[string]Load{"s00": {OutcomeCounts: OutcomeCounts{Answered: 1}}}, 0)
	if usable, _ := tb.filter(due, Query{Service: "svc", AtMostOnce: true}); len(usable) != 1 {
		t.Fatal("a server that answered a peer stays out")
	}
}

// Guards against a server that fails a part of the fleet's requests being seen by each
// instance in its own few requests only.
func TestOutcomesOfPeersShowAFailingServer(t *testing.T) {
	tb := table(4, 8)
	for i := range uint32(12) {
		tb.UpdatePeer(epoch, "peer", map[string]Load{"s00": {OutcomeCounts: OutcomeCounts{Answered: 6 * i / 10, Failed: 4 * i / 10}}}, 0)
	}
	for range 100 {
		if c := pick(t, tb, Query{AtMostOnce: true}); c.Server.ID == "s00" {
			t.Fatal("a failing server is picked")
		}
	}
	// A peer that starts again counts from zero.
	tb.UpdatePeer(epoch, "peer", map[string]Load{"s01": {OutcomeCounts: OutcomeCounts{Answered: 5, Failed: 1}}}, 0)
	tb.UpdatePeer(epoch, "peer", map[string]Load{"s01": {OutcomeCounts: OutcomeCounts{Answered: 1}}}, 0)
	if rate := tb.servers["s01"].failureRate(epoch); rate > failShare {
		t.Fatalf("failure rate %.2f after the peer's restart", rate)
	}
}

// Guards against a server that refuses part of its requests while it is idle drawing
// the requests of all instances, since it looks the least busy.
func TestSheddingServerIsAvoided(t *testing.T) {
	tb := table(4, 8)
	for range 5 {
		tb.RequestStarted("s00", Online)
		tb.RequestEnded(epoch, "s00", Online, Refused)
	}
	for range 100 {
		if c := pick(t, tb, Query{CompleteView: true}); c.Server.ID == "s00" {
			t.Fatal("a shedding server is picked")
		}
	}
	// A full server that refuses is not at fault.
	for range 9 {
		tb.RequestStarted("s01", Online)
	}
	tb.RequestEnded(epoch, "s01", Online, Refused)
	if rate := tb.servers["s01"].failureRate(epoch); rate != 0 {
		t.Fatalf("failure rate %.2f of a full server", rate)
	}
}

// Guards against the most urgent item of the fleet waiting for seconds, because each
// slot that falls free is taken at once by the instance whose item ended there (found on
// trouble-1 of kme-confirm: an item that was due next waited 13 s).
func TestInstanceWithTheLeastSlackGetsTheNextSlot(t *testing.T) {
	tb := table(1, 2)
	ask := func(now time.Time, asker string, slack time.Duration) bool {
		c, ok := tb.Pick(now, Query{Service: "svc", Class: Batch, CompleteView: true, Requester: asker, Slack: slack})
		if ok {
			tb.RequestStarted(c.Server.ID, Batch)
		}
		return ok
	}
	ask(epoch, "a", 9*time.Second)
	ask(epoch, "a", 9*time.Second)
	if ask(epoch, "b", time.Second) {
		t.Fatal("a slot on a full server")
	}
	tb.RequestEnded(epoch, "s00", Batch, Answered)
	if ask(epoch, "a", 9*time.Second) {
		t.Fatal("the instance whose item ended takes the slot")
	}
	if !ask(epoch, "b", time.Second) {
		t.Fatal("the instance with the least slack does not get the slot")
	}
	tb.RequestEnded(epoch, "s00", Batch, Answered)
	if !ask(epoch, "a", 9*time.Second) {
		t.Fatal("a slot is kept for an instance that has got one")
	}
	// An instance that does not ask again keeps nothing.
	if ask(epoch, "b", time.Second) {
		t.Fatal("a slot on a full server")
	}
	tb.RequestEnded(epoch, "s00", Batch, Answered)
	if !ask(epoch.Add(2*wantFor), "a", 9*time.Second) {
		t.Fatal("a slot is kept for an instance that does not ask")
	}
}

// Guards against online requests that stop an item on a fast server while a slower one
// has free slots.
func TestNoItemYieldsWhileASlotIsFree(t *testing.T) {
	tb := table(2, 4)
	for i, step := range []time.Duration{14 * time.Millisecond, 37 * time.Millisecond} {
		for range 50 {
			tb.RecordStepTime(fmt.Sprint("s0", i), step)
		}
	}
	for range 4 {
		tb.RequestStarted("s00", Batch)
	}
	for range 4 {
		c := pick(t, tb, Query{CompleteView: true})
		if c.Preempt || c.Server.ID != "s01" {
			t.Fatalf("%+v", c)
		}
		tb.RequestStarted("s01", Online)
	}
	if c := pick(t, tb, Query{CompleteView: true}); !c.Preempt {
		t.Fatalf("%+v", c)
	}
}

// Guards against long items on slow servers while much faster ones are nearly idle.
func TestItemsPreferFastServers(t *testing.T) {
	tb := table(2, 8)
	for i, step := range []time.Duration{14 * time.Millisecond, 37 * time.Millisecond} {
		for range 50 {
			tb.RecordStepTime(fmt.Sprint("s0", i), step)
		}
	}
	for n := range 2 {
		c := pick(t, tb, Query{Class: Batch, CompleteView: true})
		if c.Server.ID != "s00" {
			t.Fatalf("item %d goes to %s", n, c.Server.ID)
		}
		tb.RequestStarted("s00", Batch)
	}
}
