package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func newTestTable(servers, slots int) *Table {
	t := NewTable(rand.New(rand.NewPCG(1, 2)))
	list := map[string]*serving.Server{}
	for i := range servers {
		id := fmt.Sprintf("s%02d", i)
		list[id] = &serving.Server{ID: id, Service: "svc", Address: id, DataCentre: fmt.Sprint("dc", i%2), Slots: slots}
	}
	t.SetServers(epoch, list)
	return t
}

func mustPick(t *testing.T, tb *Table, q Query) Choice {
	t.Helper()
	q.Service = "svc"
	c, ok := tb.Pick(epoch, q)
	if !ok {
		t.Fatalf("no server for %+v", q)
	}
	return c
}

// Guards against new requests on a server that drains, and against a retry on a server
// that the request was already sent to.
func TestDrainingAndTriedServersGetNoRequests(t *testing.T) {
	tb := newTestTable(3, 4)
	tb.servers["s00"].server.Leaving = true
	for range 50 {
		if c := mustPick(t, tb, Query{Tried: map[string]bool{"s01": true}}); c.Server.ID != "s02" {
			t.Fatalf("picked %s, want s02", c.Server.ID)
		}
	}
}

// Guards against an unreachable server that is tried by every request, and against one
// that is never tried again.
func TestUnreachableServerGetsOneTrialAtATime(t *testing.T) {
	tb := newTestTable(2, 4)
	tb.RequestStarted("s00", Online)
	tb.RequestEnded(epoch, "s00", Online, Unreachable)
	for range 20 {
		if c := mustPick(t, tb, Query{}); c.Server.ID == "s00" {
			t.Fatal("an unreachable server is picked during its backoff")
		}
	}
	later := epoch.Add(maxBackoff)
	trials := 0
	for range 20 {
		c, _ := tb.Pick(later, Query{Service: "svc", CompleteView: true})
		if c.Server.ID == "s00" {
			trials++
		}
		tb.RequestStarted(c.Server.ID, Online)
	}
	if trials != 1 {
		t.Fatalf("%d trial requests at once, want 1", trials)
	}
	tb.ResponseStarted("s00")
	if c, _ := tb.Pick(later, Query{Service: "svc", CompleteView: true}); c.Server.ID != "s00" {
		t.Fatal("a server that answers again is not picked")
	}
}

// Guards against requests that must not be repeated being sent to a server that fails
// some of its requests but passes its health check.
func TestAtMostOnceRequestsAvoidFailingServers(t *testing.T) {
	tb := newTestTable(4, 8)
	for range 10 {
		tb.RequestStarted("s00", Online)
		tb.RequestEnded(epoch, "s00", Online, Failed)
	}
	for range 200 {
		if c := mustPick(t, tb, Query{AtMostOnce: true}); c.Server.ID == "s00" {
			t.Fatal("a failing server is picked")
		}
	}
}

// Guards against a server that is never used again after it seemed unreachable, on a service whose requests all must not be
// repeated, and against losing many of them to a server that stays so, or any while others can try it.
func TestRequestsThatRunOnceReturnToAnUnreachableServer(t *testing.T) {
	const minutes, maxTrials = 10, 8
	for name, c := range map[string]struct{ recovers, mixed, throughHub bool }{
		"recovers": {recovers: true}, "recovers, by a hub": {recovers: true, throughHub: true}, "stays": {}, "stays, by a hub": {throughHub: true}, "others try it": {mixed: true},
	} {
		t.Run(name, func(t *testing.T) {
			tb := newTestTable(2, 8)
			tb.RequestStarted("s00", Online)
			tb.RequestEnded(epoch, "s00", Online, Unreachable)
			trials, answered := 0, 0
			for now := epoch; now.Sub(epoch) < minutes*time.Minute; now = now.Add(200 * time.Millisecond) {
				for _, once := range []bool{false, true} {
					if !once && !c.mixed {
						continue
					}
					q := Query{Service: "svc", AtMostOnce: once, CompleteView: true}
					id := "s00"
					if !c.throughHub {
						choice, _ := tb.Pick(now, q)
						id = choice.Server.ID
					} else if slices.Contains(tb.ServersToAvoid(now, q), id) {
						continue
					} else if _, ok := tb.AcceptPick(now, id, q); !ok {
						t.Fatal("a server that is not to be avoided is not accepted")
					}
					if id != "s00" {
						continue
					}
					tb.RequestStarted(id, Online)
					if c.recovers {
						answered++
						tb.RequestEnded(now, id, Online, Answered)
						continue
					}
					tb.RequestEnded(now, id, Online, Unreachable)
					if once {
						trials++
					}
				}
			}
			if c.recovers && answered < minutes*60 {
				t.Errorf("the server answers %d requests after it recovered", answered)
			}
			if most := maxTrials; !c.mixed && trials > most || c.mixed && trials > 0 {
				t.Errorf("%d requests are lost", trials)
			}
		})
	}
}

// Guards against several requests at once that try a server which a hub has picked and which seemed unreachable.
func TestAcceptedPickIsATrial(t *testing.T) {
	tb := newTestTable(2, 8)
	tb.RequestStarted("s00", Online)
	tb.RequestEnded(epoch, "s00", Online, Unreachable)
	now, q := epoch.Add(maxBackoff), Query{Service: "svc"}
	if _, ok := tb.AcceptPick(now, "s00", q); !ok || !slices.Contains(tb.ServersToAvoid(now, q), "s00") {
		t.Error("a second request may try the server")
	}
}

// Guards against batch requests that take the last slots of a server, and against an
// online request that queues although it could preempt a batch request.
func TestBatchLeavesHeadroomAndIsPreempted(t *testing.T) {
	tb := newTestTable(2, 4)
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
		t.Fatalf("%d batch requests on 2 servers of 4 slots with a headroom of 1, want 6", started)
	}
	preempted := 0
	for range 8 {
		c := mustPick(t, tb, Query{CompleteView: true})
		if c.QueuePosition > 0 {
			t.Fatalf("an online request queues at position %d", c.QueuePosition)
		}
		if c.Preempt {
			preempted++
			tb.RequestEnded(epoch, c.Server.ID, Batch, Abandoned)
		}
		tb.RequestStarted(c.Server.ID, Online)
	}
	if preempted != 6 {
		t.Fatalf("%d of 6 batch requests were preempted", preempted)
	}
}

// Guards against a grant that is counted twice, or not at all, around the report that
// includes it.
func TestGrantsCountOnce(t *testing.T) {
	tb := newTestTable(1, 8)
	inFlight := func() int { return tb.servers["s00"].inFlight() }
	tb.Grant(epoch, "peer", Grant{Sequence: 1, Server: "s00"})
	tb.Grant(epoch, "peer", Grant{Sequence: 2, Server: "s00"})
	if inFlight() != 2 {
		t.Fatalf("%d in flight after two grants, want 2", inFlight())
	}
	tb.UpdatePeer(epoch, "peer", 1, map[string]Load{"s00": {Counts: Counts{Online: 1}}}, 1)
	if inFlight() != 2 {
		t.Fatalf("%d in flight after a report that includes one of them, want 2", inFlight())
	}
	if !tb.IsIncluded("peer", 1) || tb.IsIncluded("peer", 2) {
		t.Fatal("a request that the peer has given up is not told from one that it waits for")
	}
	tb.UpdatePeer(epoch, "peer", 1, map[string]Load{"s00": {Counts: Counts{Online: 1}}}, 2)
	if inFlight() != 1 {
		t.Fatalf("%d in flight after a report that includes both, one of which has ended, want 1", inFlight())
	}
	tb.SetServers(epoch, map[string]*serving.Server{"s00": tb.servers["s00"].server})
	if inFlight() != 1 {
		t.Fatalf("%d in flight after the servers were listed again, want 1", inFlight())
	}
	tb.ExpirePeers(epoch.Add(peerReportTTL + time.Second))
	if inFlight() != 0 {
		t.Fatalf("%d in flight after the peer expired, want 0", inFlight())
	}
}

// Guards against a load report that arrives after a later one of the same process: slots that are in use would count as
// free, and failures that were counted before would count again.
func TestOvertakenLoadReportsAreIgnored(t *testing.T) {
	tb := newTestTable(1, 8)
	report := func(at time.Time, included uint64, failed uint32, online int) {
		tb.UpdatePeer(at, "peer", 1, map[string]Load{"s00": {Counts: Counts{Online: online}, OutcomeCounts: OutcomeCounts{Answered: 9, Failed: failed}}}, included)
	}
	s := tb.servers["s00"]
	report(epoch, 100, 60, 1)
	report(epoch, 110, 61, 7)
	rate := s.failureRate(epoch)
	report(epoch.Add(time.Millisecond), 100, 60, 1)
	if n := s.inFlight(); n != 7 || s.failureRate(epoch) != rate {
		t.Errorf("%d requests in flight and a failure rate of %.2f after a late report, want 7 and %.2f", n, s.failureRate(epoch), rate)
	}
	if report(epoch.Add(grantTTL), 5, 62, 2); s.inFlight() != 2 {
		t.Errorf("%d requests in flight, want 2: numbers that begin anew count again", s.inFlight())
	}
}

// Guards against requests that go to another data centre while servers in their own have
// about as many free slots, and against requests that stay when those are much busier.
func TestOwnDataCentreIsPreferred(t *testing.T) {
	tb := newTestTable(2, 8)
	if c := mustPick(t, tb, Query{DataCentre: "dc1", CompleteView: true}); c.Server.ID != "s01" {
		t.Fatalf("picked %s, want s01 in the own data centre", c.Server.ID)
	}
	for range 4 {
		tb.RequestStarted("s01", Online)
	}
	if c := mustPick(t, tb, Query{DataCentre: "dc1", CompleteView: true}); c.Server.ID != "s00" {
		t.Fatalf("picked %s, want s00, which has four more free slots", c.Server.ID)
	}
}

// Guards against a server that is never used again because the trial request of a peer,
// whose end this instance does not see, counts as in progress. With servers that failed
// some of their requests, 2 of 3 requests were still late after the failures had ended.
func TestTrialWithUnknownOutcomeExpires(t *testing.T) {
	tb := newTestTable(1, 4)
	tb.RequestStarted("s00", Online)
	tb.RequestEnded(epoch, "s00", Online, Unreachable)
	due := epoch.Add(initialBackoff)
	q := Query{Service: "svc", CompleteView: true}
	if c, ok := tb.Pick(due, q); !ok || c.Server.ID != "s00" {
		t.Fatal("no trial request after the backoff")
	}
	if eligible, _ := tb.evaluate(due, q); len(eligible) != 0 {
		t.Fatal("two trial requests at once")
	}
	if eligible, _ := tb.evaluate(due.Add(trialTimeout), q); len(eligible) != 1 {
		t.Fatal("no further trial request after one with an unknown outcome")
	}
	tb.UpdatePeer(due, "peer", 1, map[string]Load{"s00": {}}, 0)
	tb.UpdatePeer(due, "peer", 1, map[string]Load{"s00": {OutcomeCounts: OutcomeCounts{Answered: 1}}}, 0)
	if eligible, _ := tb.evaluate(due, Query{Service: "svc", AtMostOnce: true}); len(eligible) != 1 {
		t.Fatal("a server that answered a peer is not eligible")
	}
}

// Guards against a server that fails some of the fleet's requests being picked because
// each instance judges it by its own few requests only.
func TestPeerOutcomesCountTowardsFailureRate(t *testing.T) {
	tb := newTestTable(4, 8)
	for i := range uint32(12) {
		tb.UpdatePeer(epoch, "peer", 1, map[string]Load{"s00": {OutcomeCounts: OutcomeCounts{Answered: 6 * i / 10, Failed: 4 * i / 10}}}, 0)
	}
	for range 100 {
		if c := mustPick(t, tb, Query{AtMostOnce: true}); c.Server.ID == "s00" {
			t.Fatal("a failing server is picked")
		}
	}
	// The counts of a peer that was restarted begin at zero.
	tb.UpdatePeer(epoch, "peer", 1, map[string]Load{"s01": {OutcomeCounts: OutcomeCounts{Answered: 5, Failed: 1}}}, 0)
	tb.UpdatePeer(epoch, "peer", 1, map[string]Load{"s01": {OutcomeCounts: OutcomeCounts{Answered: 1}}}, 0)
	if rate := tb.servers["s01"].failureRate(epoch); rate > failureSmoothing {
		t.Fatalf("failure rate %.2f after the peer's restart", rate)
	}
}

// Guards against a server that refuses requests while it has free slots attracting the
// requests of all instances, because it has the fewest in flight.
func TestSheddingServerIsAvoided(t *testing.T) {
	tb := newTestTable(4, 8)
	for range 5 {
		tb.RequestStarted("s00", Online)
		tb.RequestEnded(epoch, "s00", Online, Refused)
	}
	for range 100 {
		if c := mustPick(t, tb, Query{CompleteView: true}); c.Server.ID == "s00" {
			t.Fatal("a shedding server is picked")
		}
	}
	// A refusal by a full server is not a failure.
	for range 9 {
		tb.RequestStarted("s01", Online)
	}
	tb.RequestEnded(epoch, "s01", Online, Refused)
	if rate := tb.servers["s01"].failureRate(epoch); rate != 0 {
		t.Fatalf("failure rate %.2f of a full server", rate)
	}
}

// Guards against the most urgent item of the fleet waiting for seconds, because each
// slot that becomes free is taken at once by the instance whose item ended there. An item
// that was due next waited 13 s for that reason.
func TestInstanceWithTheLeastSlackGetsTheNextSlot(t *testing.T) {
	tb := newTestTable(1, 2)
	ask := func(now time.Time, requester string, slack time.Duration) bool {
		c, ok := tb.Pick(now, Query{Service: "svc", Class: Batch, CompleteView: true, Requester: requester, Slack: slack})
		if ok {
			tb.RequestStarted(c.Server.ID, Batch)
		}
		return ok
	}
	ask(epoch, "a", 9*time.Second)
	ask(epoch, "a", 9*time.Second)
	if ask(epoch, "b", time.Second) {
		t.Fatal("a batch request gets a slot on a full server")
	}
	tb.RequestEnded(epoch, "s00", Batch, Answered)
	if ask(epoch, "a", 9*time.Second) {
		t.Fatal("the instance whose item ended gets the slot although another one has less slack")
	}
	if !ask(epoch, "b", time.Second) {
		t.Fatal("the instance with the least slack does not get the slot")
	}
	tb.RequestEnded(epoch, "s00", Batch, Answered)
	if !ask(epoch, "a", 9*time.Second) {
		t.Fatal("a slot is reserved for an instance that already got one")
	}
	// No slot is reserved for an instance that does not ask again.
	if ask(epoch, "b", time.Second) {
		t.Fatal("a batch request gets a slot on a full server")
	}
	tb.RequestEnded(epoch, "s00", Batch, Answered)
	if !ask(epoch.Add(2*batchWaitTTL), "a", 9*time.Second) {
		t.Fatal("a slot is reserved for an instance that does not ask")
	}
}

// Guards against online requests that preempt an item on a fast server while a slower one
// has free slots.
func TestNoPreemptionWhileASlotIsFree(t *testing.T) {
	tb := newTestTable(2, 4)
	for i, step := range []time.Duration{14 * time.Millisecond, 37 * time.Millisecond} {
		for range 50 {
			tb.RecordStepTime(fmt.Sprint("s0", i), step)
		}
	}
	for range 4 {
		tb.RequestStarted("s00", Batch)
	}
	for range 4 {
		c := mustPick(t, tb, Query{CompleteView: true})
		if c.Preempt || c.Server.ID != "s01" {
			t.Fatalf("got %+v, want s01 without preemption", c)
		}
		tb.RequestStarted("s01", Online)
	}
	if c := mustPick(t, tb, Query{CompleteView: true}); !c.Preempt {
		t.Fatalf("got %+v, want preemption once no slot is free", c)
	}
}

// Guards against long items that run on slow servers while much faster ones are nearly
// idle.
func TestBatchRequestsPreferFastServers(t *testing.T) {
	tb := newTestTable(2, 8)
	for i, step := range []time.Duration{14 * time.Millisecond, 37 * time.Millisecond} {
		for range 50 {
			tb.RecordStepTime(fmt.Sprint("s0", i), step)
		}
	}
	for n := range 2 {
		c := mustPick(t, tb, Query{Class: Batch, CompleteView: true})
		if c.Server.ID != "s00" {
			t.Fatalf("item %d is placed on %s", n, c.Server.ID)
		}
		tb.RequestStarted("s00", Batch)
	}
}

// Guards against a second batch request being preempted for one online request, because a
// hub looks again before the reports show the effect of the first preemption, and against
// a surplus that lasts and is never resolved.
func TestSurplusIsPreemptedOnceAndOnlyIfItLasts(t *testing.T) {
	tb := newTestTable(1, 2)
	for range 2 {
		tb.RequestStarted("s00", Batch)
	}
	tb.RequestStarted("s00", Online)
	at := func(ms int) []string { return tb.PreemptionCandidates(epoch.Add(time.Duration(ms) * time.Millisecond)) }
	for ms := 0; ms < 200; ms += 50 {
		if ids := at(ms); len(ids) != 0 {
			t.Fatalf("candidates %v %d ms after the surplus began", ids, ms)
		}
	}
	if ids := at(200); len(ids) != 1 {
		t.Fatalf("candidates %v for a surplus of 200 ms", ids)
	}
	tb.RecordPreemption(epoch.Add(200*time.Millisecond), "s00")
	for ms := 250; ms < 400; ms += 50 {
		if ids := at(ms); len(ids) != 0 {
			t.Fatalf("candidates %v %d ms after the preemption", ids, ms-200)
		}
	}
	if ids := at(400); len(ids) != 1 {
		t.Fatal("a surplus that a lost preemption left is not resolved")
	}
	tb.RequestEnded(epoch, "s00", Batch, Abandoned)
	if ids := at(450); len(ids) != 0 {
		t.Fatalf("candidates %v without a surplus", ids)
	}
	tb.RequestStarted("s00", Batch)
	if ids := at(500); len(ids) != 0 {
		t.Fatalf("candidates %v at the beginning of another surplus", ids)
	}
}

// Guards against an instance that reports all servers that answered it lately, of which a
// hub needs to know only those that fail requests.
func TestOwnLoadHoldsRequestsInFlightAndFailures(t *testing.T) {
	tb := newTestTable(4, 8)
	for _, id := range []string{"s00", "s01", "s02"} {
		tb.RequestStarted(id, Online)
	}
	tb.RequestEnded(epoch, "s00", Online, Answered)
	tb.RequestEnded(epoch, "s01", Online, Failed)
	loads := tb.OwnLoad(epoch)
	if len(loads) != 2 || loads["s01"].Failed != 1 || loads["s02"].Counts[Online] != 1 {
		t.Fatalf("own load %v, want the failure at s01 and the request at s02", loads)
	}
	if loads := tb.OwnLoad(epoch.Add(outcomeReportPeriod)); len(loads) != 1 {
		t.Fatalf("own load %v after the report period, want the request at s02", loads)
	}
}

// Guards against a batch request that waits for servers of one version keeping the free slots of
// others from less urgent requests, and against it losing the slots that it can take to them.
func TestWaitForOneVersionReservesNoOtherServers(t *testing.T) {
	tb := newTestTable(4, 1)
	for _, id := range []string{"s00", "s01"} {
		tb.servers[id].server.Version = "v1"
		tb.RequestStarted(id, Online)
	}
	pick := func(requester string, slack time.Duration, tried map[string]bool, requireVersion bool) (Choice, bool) {
		return tb.Pick(epoch, Query{
			Service: "svc", Class: Batch, CompleteView: true, Requester: requester, Slack: slack, Tried: tried, RequireVersion: requireVersion, Version: "v1",
		})
	}
	// As a hub knows it, the first instance excludes the servers of the other version.
	for _, excluded := range []map[string]bool{nil, {"s02": true, "s03": true}} {
		if c, ok := pick("bound", time.Second, excluded, excluded == nil); ok {
			t.Fatalf("picked %s, which has no free slot", c.Server.ID)
		}
		if c, ok := pick("unbound", time.Minute, nil, false); !ok || c.Server.Version == "v1" {
			t.Fatalf("%v %v, want a server that the other request cannot use", c, ok)
		}
		tb.RequestEnded(epoch, "s00", Online, Answered)
		tb.servers["s02"].server.Leaving, tb.servers["s03"].server.Leaving = true, true
		if c, ok := pick("unbound", time.Minute, nil, false); ok {
			t.Fatalf("%s goes to the less urgent request", c.Server.ID)
		}
		if c, ok := pick("bound", time.Second, excluded, excluded == nil); !ok || c.Server.ID != "s00" {
			t.Fatalf("%v %v, want s00", c, ok)
		}
		tb.RequestStarted("s00", Online)
		tb.servers["s02"].server.Leaving, tb.servers["s03"].server.Leaving = false, false
		clear(tb.batchWaits)
	}
}

// Guards against a request that a hub sends to a server of another service, which the hub and this instance
// know by different entries.
func TestPickOfAnotherServiceIsNotAccepted(t *testing.T) {
	tb := newTestTable(2, 4)
	if _, ok := tb.AcceptPick(epoch, "s00", Query{Service: "other"}); ok {
		t.Error("a request of another service is accepted on s00")
	}
	if _, ok := tb.AcceptPick(epoch, "s00", Query{Service: "svc"}); !ok {
		t.Error("a request of the service of s00 is not accepted there")
	}
}
