package peers

import (
	"slices"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
)

// killedInstance returns an instance of a fleet that is not a hub.
func killedInstance(nodes []*node) *node {
	now := time.Now()
	for _, n := range nodes {
		n.group.mu.Lock()
		hubs := n.group.liveHubs(now)
		n.group.mu.Unlock()
		if hubs[0] != n.name && hubs[1] != n.name {
			return n
		}
	}
	return nil
}

// placements returns how many requests of a node get a slot, and ends them.
func (n *node) placements(count int, class balance.Class) int {
	var leases []*fleet.Lease
	for range count {
		if lease, ok := n.place(balance.Query{Service: "svc", Class: class}); ok {
			leases = append(leases, lease)
		}
	}
	for _, l := range leases {
		l.End(balance.Answered)
	}
	return len(leases)
}

// Guards against slots that stay granted to an instance that was killed right after the grants and is back
// before it counts as lost: batch requests then wait in front of idle servers.
func TestSlotsOfAKilledInstanceAreFree(t *testing.T) {
	const servers, slots, kills, held = 3, 8, 4, 6
	for _, pause := range []time.Duration{0, 50 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			inVirtualTime(t, 10, func(t *testing.T, net *network) {
				nodes := startAll(t, net, 4, servers, slots)
				feed := nodes[0].group.opt.Feed.(*fakeFeed)
				victim, other := killedInstance(nodes), nodes[0]
				if victim == other {
					other = nodes[1]
				}
				for i := range kills {
					victim.placements(40, balance.Online)
					for range held {
						_, _ = victim.place(balance.Query{Service: "svc", Class: balance.Batch})
					}
					victim.stop()
					time.Sleep(pause)
					victim = startProcess(t, net.open(), feed, victim.name, uint32(100-i), servers, slots, nil)
					time.Sleep(hubWarmUp + maxReportInterval)
				}
				if got, want := other.placements(2*servers*slots, balance.Batch), servers*slots; got != want {
					t.Errorf("batch requests get %d of %d slots of idle servers after %d kills", got, want, kills)
				}
			})
		})
	}
}

// Guards against a late datagram of the process that a peer was before: it would bring back the load of that
// process, or be granted slots that nobody uses.
func TestLateDatagramsOfAnEndedProcessAreIgnored(t *testing.T) {
	inVirtualTime(t, 5, func(t *testing.T, net *network) {
		nodes := startAll(t, net, 3, 1, 8)
		victim := killedInstance(nodes)
		hub := hubOf(nodes, victim)
		feed := nodes[0].group.opt.Feed.(*fakeFeed)
		from := victim.group.opt.Conn.(*fakeConn).address
		victim.stop()
		time.Sleep(300 * time.Millisecond)
		victim = startProcess(t, net.open(), feed, victim.name, 2, 1, 8, nil)
		time.Sleep(500 * time.Millisecond)
		for k, body := range map[kind]any{
			kindLoadReport:       &loadReport{Name: victim.name, Incarnation: 1, IncludedGrants: 1 << 60, Loads: []load{{Server: hash("s0"), Online: 5, Batch: 3}}},
			kindPlacementRequest: &placementRequest{Request: serverRequest{Name: victim.name, Sequence: 1 << 59, Service: "svc"}, Incarnation: 1},
			kindQuotaReport:      &quotaReport{Instance: hash(victim.name), Incarnation: 1, IncludedGrants: 1 << 60},
			kindRoster:           &rosterReport{Name: victim.name, Incarnation: 1, Full: true},
		} {
			raw, err := encode(k, body)
			if err != nil {
				t.Fatal(err)
			}
			if err := hub.group.receive(raw, from); err != nil {
				t.Fatal(err)
			}
			if loads := hub.view.TotalLoad(); len(loads) != 0 {
				t.Fatalf("load %v after a late datagram of kind %d", loads, k)
			}
		}
		if got := hub.group.peers[victim.name].addrPort; got != victim.group.opt.Conn.(*fakeConn).address {
			t.Errorf("the hub sends to %s, where the process before was", got)
		}
	})
}

// Guards against a hub of the build before, which compares sequence numbers without looking at incarnations, that
// keeps the grants of an instance of this build that was killed.
func TestSequenceNumbersGrowOverRestarts(t *testing.T) {
	inVirtualTime(t, 1, func(t *testing.T, net *network) {
		nodes := startAll(t, net, 4, 2, 8)
		feed := nodes[0].group.opt.Feed.(*fakeFeed)
		n := killedInstance(nodes)
		for i := range 5 {
			for end := time.Now().Add(100 * time.Millisecond); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
				n.placements(1, balance.Online)
			}
			n.stop()
			last := n.group.lastSequence
			n = startProcess(t, net.open(), feed, n.name, uint32(100-i), 2, 8, nil)
			if first := n.group.includedGrants(); first < last {
				t.Fatalf("a process starts with the sequence number %d, the one before ended with %d", first, last)
			}
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// Guards against an update of a fleet in which hubs of this build keep the grants of killed instances of the build
// before, which do not state their incarnation in requests and count from one.
func TestGrantsOfInstancesOfTheBuildBefore(t *testing.T) {
	inVirtualTime(t, 1, func(t *testing.T, _ *network) {
		view := newServersView(1, 8)
		q := balance.Query{Service: "svc", Class: balance.Batch, CompleteView: true}
		for sequence := uint64(1); sequence <= 3; sequence++ {
			if _, ok := view.PickForPeer("n", 0, sequence, q); !ok {
				t.Fatal("no slot")
			}
		}
		view.UpdatePeer("n", 7, nil, 0)
		if n := view.TotalLoad()["s0"].Counts[balance.Batch]; n != 3 {
			t.Fatalf("%d slots count as granted, want 3", n)
		}
		view.UpdatePeer("n", 8, nil, 0)
		if n := view.TotalLoad()["s0"].Counts[balance.Batch]; n != 0 {
			t.Fatalf("%d slots count as granted to a process that has ended", n)
		}
		// A process that follows one of this build begins below the numbers of that one.
		if _, ok := view.PickForPeer("n", 0, 1<<40, q); !ok {
			t.Fatal("no slot")
		}
		view.UpdatePeer("n", 8, nil, 5)
		time.Sleep(2 * time.Second)
		view.UpdatePeer("n", 8, nil, 5)
		if n := view.TotalLoad()["s0"].Counts[balance.Batch]; n != 0 {
			t.Fatalf("%d slots count as granted that no report will include", n)
		}
	})
}

// Guards against instances of the build before that cannot decode a placement request of this build.
func TestPlacementRequestsOfBothBuilds(t *testing.T) {
	type requestBefore struct {
		Request serverRequest `cbor:"0,keyasint"`
		Bytes   int64         `cbor:"9,keyasint,omitempty"`
		Waiting int           `cbor:"10,keyasint,omitempty"`
	}
	raw, err := encode(kindPlacementRequest, &placementRequest{Request: serverRequest{Name: "n", Sequence: 3}, Waiting: 2, Incarnation: 7})
	if err != nil {
		t.Fatal(err)
	}
	if before, err := decode[requestBefore](raw); err != nil || before.Request.Sequence != 3 || before.Waiting != 2 {
		t.Errorf("the build before reads %+v: %v", before, err)
	}
	if raw, err = encode(kindPlacementRequest, &requestBefore{Request: serverRequest{Name: "n", Sequence: 3}, Waiting: 2}); err != nil {
		t.Fatal(err)
	}
	if now, err := decode[placementRequest](raw); err != nil || now.Incarnation != 0 || now.Waiting != 2 {
		t.Errorf("this build reads %+v: %v", now, err)
	}
}

// Guards against an instance that was a hub for a moment and takes a peer that it heard leaving for one that is
// leaving for good, after another process of the peer has begun: it would claim the jobs of that one.
func TestInstanceThatLeftIsAliveAfterItsRestart(t *testing.T) {
	inVirtualTime(t, 3, func(t *testing.T, net *network) {
		nodes := startAll(t, net, 5, 1, 8)
		feed := nodes[0].group.opt.Feed.(*fakeFeed)
		victim := killedInstance(nodes)
		former := killedInstance(slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool { return n == victim }))
		victim.group.Leave()
		raw, err := encode(kindLoadReport, &loadReport{Name: victim.name, Incarnation: 1, Leaving: true, Protocol: currentProtocol})
		if err != nil {
			t.Fatal(err)
		}
		if err := former.group.receive(raw, victim.group.opt.Conn.(*fakeConn).address); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "the leaving instance counts as alive", func() bool { _, alive := former.group.Alive()[victim.name]; return !alive })
		victim.stop()
		time.Sleep(300 * time.Millisecond)
		victim = startProcess(t, net.open(), feed, victim.name, 2, 1, 8, nil)
		time.Sleep(heardTTL)
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			if incarnation := former.group.Alive()[victim.name]; incarnation != 2 {
				t.Fatalf("the instance counts as alive with incarnation %d", incarnation)
			}
		}
	})
}
