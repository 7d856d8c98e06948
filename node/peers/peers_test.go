package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
	"github.com/jacinthnotch/jacinthnotch/policy/poison"
)

// testTimeout is how long a test waits for an expected event before it fails.
const testTimeout = 20 * time.Second

// Guards against instances that disagree on the hub, and against a hub on a small host
// while larger ones are available.
func TestRankHubs(t *testing.T) {
	cores := map[string]float64{"a": 0.144, "b": 0.8, "c": 0.8, "d": 0.5, "e": 0.2}
	order := rankHubs(cores)
	if len(order) != 5 || !slices.Contains(order[:3], "b") || !slices.Contains(order[:3], "c") || !slices.Contains(order[:3], "d") {
		t.Fatalf("order %v", order)
	}
	again := rankHubs(cores)
	if !slices.Equal(order, again) {
		t.Fatalf("%v and %v", order, again)
	}
	delete(cores, order[0])
	if rest := rankHubs(cores); !slices.Equal(rest, order[1:]) {
		t.Fatalf("the order changes without %s: %v", order[0], rest)
	}
}

// fakeFeed is the feed of the instances' entries.
type fakeFeed struct {
	mu      sync.Mutex
	entries map[string]Instance
}

func (f *fakeFeed) Newest(context.Context) ([]port.Entry[Instance], int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []port.Entry[Instance]
	for key, i := range f.entries {
		list = append(list, port.Entry[Instance]{Key: key, Value: &i})
	}
	return list, 0, nil
}

func (f *fakeFeed) Changes(context.Context, int64, time.Duration) ([]port.Entry[Instance], int64, error) {
	return nil, 0, nil
}

func (f *fakeFeed) Put(_ context.Context, key string, i *Instance) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i == nil {
		delete(f.entries, key)
		return nil
	}
	f.entries[key] = *i
	return nil
}

// node is one instance in a test.
type node struct {
	name  string
	view  *fleet.View
	group *Group
	stop  func()

	mu        sync.Mutex
	preempted []string
	batch     []*fleet.Lease
}

// preempt ends a batch request of the instance on a server, if there is one.
func (n *node) preempt(server string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, l := range n.batch {
		if l.Server.ID == server {
			l.End(balance.Abandoned)
			n.batch = slices.Delete(n.batch, i, i+1)
			n.preempted = append(n.preempted, server)
			return true
		}
	}
	return false
}

func (n *node) preemptions() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.preempted)
}

func startNode(t *testing.T, f *fakeFeed, name string, servers, slots int) *node {
	t.Helper()
	return startNodeWithPath(t, f, name, servers, slots, nil)
}

// startNodeWithPath starts an instance whose own path to the store is up while
// reachesStore returns true.
func startNodeWithPath(t *testing.T, f *fakeFeed, name string, servers, slots int, reachesStore func() bool) *node {
	t.Helper()
	n := &node{name: name, view: fleet.NewView(rand.New(rand.NewPCG(1, 2)))}
	var entries []port.Entry[serving.Server]
	for i := range servers {
		id := fmt.Sprintf("s%d", i)
		entries = append(entries, port.Entry[serving.Server]{Key: id, Value: &serving.Server{ID: id, Service: "svc", Address: id, Slots: slots}})
	}
	n.view.ApplyServers(entries, true)
	group, err := NewGroup(Options{Name: name, Cores: 1, Incarnation: 1, Listen: "127.0.0.1:0", View: n.view, Feed: f, ReachesStore: reachesStore, OnPreempt: n.preempt})
	if err != nil {
		t.Fatal(err)
	}
	group.opt.Listen = group.conn.LocalAddr().String()
	n.group = group
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, task := range []func(context.Context){group.Receive, group.SendReports, func(ctx context.Context) { group.Announce(ctx, 20*time.Millisecond) }} {
		running.Go(func() { task(ctx) })
	}
	var once sync.Once
	n.stop = func() { once.Do(func() { cancel(); running.Wait() }) }
	t.Cleanup(n.stop)
	return n
}

func waitFor(t *testing.T, failure string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatal(failure)
}

// startAll starts instances and waits until each has found all others.
func startAll(t *testing.T, count, servers, slots int) []*node {
	t.Helper()
	f := &fakeFeed{entries: map[string]Instance{}}
	var nodes []*node
	for i := range count {
		nodes = append(nodes, startNode(t, f, fmt.Sprint("n", i), servers, slots))
	}
	for _, n := range nodes {
		waitFor(t, n.name+" does not find all instances", func() bool { return len(n.group.Alive()) == count-1 })
	}
	return nodes
}

// Guards against instances sending their requests to the same free slot, because each of
// them finds it free.
func TestNoSlotIsGrantedTwice(t *testing.T) {
	const servers, slots = 4, 4
	nodes := startAll(t, 4, servers, slots)
	var mu sync.Mutex
	placed := map[string]int{}
	var wait sync.WaitGroup
	for i := range servers * slots {
		wait.Go(func() {
			lease, ok := nodes[i%len(nodes)].group.Place(balance.Query{Service: "svc", Class: balance.Batch})
			mu.Lock()
			defer mu.Unlock()
			if ok {
				placed[lease.Server.ID]++
			}
		})
	}
	wait.Wait()
	for id, n := range placed {
		if n > slots {
			t.Errorf("server %s of %d slots got %d requests", id, slots, n)
		}
	}
}

// Guards against an online request that waits for a slot because a batch request of
// another instance is not preempted.
func TestOnlineRequestPreemptsBatchRequestOfAnotherInstance(t *testing.T) {
	nodes := startAll(t, 3, 1, 2)
	for range 2 {
		lease, ok := nodes[0].group.Place(balance.Query{Service: "svc", Class: balance.Batch})
		if !ok {
			t.Fatal("no slot for a batch request")
		}
		nodes[0].mu.Lock()
		nodes[0].batch = append(nodes[0].batch, lease)
		nodes[0].mu.Unlock()
	}
	// The hub knows from the load reports which instance has the batch requests.
	waitFor(t, "no hub knows which instance has the batch requests", func() bool {
		for _, n := range nodes {
			if n.view.PeerWithMostBatch("s0") == nodes[0].name {
				return true
			}
		}
		hub, self := nodes[0].group.currentHub()
		return hub == nil && self
	})
	if _, ok := nodes[1].group.Place(balance.Query{Service: "svc"}); !ok {
		t.Fatal("no server for an online request")
	}
	waitFor(t, "no batch request is preempted", func() bool { return nodes[0].preemptions() == 1 })
}

// Guards against requests that get no server while their hub is lost.
func TestRequestsGetServersWhileTheHubIsLost(t *testing.T) {
	nodes := startAll(t, 3, 2, 8)
	hub, self := nodes[0].group.currentHub()
	lost := nodes[0]
	if !self {
		lost = nodes[slices.IndexFunc(nodes, func(n *node) bool { return n.name == hub.name })]
	}
	lost.stop()
	for _, n := range nodes {
		if n == lost {
			continue
		}
		if _, ok := n.group.Place(balance.Query{Service: "svc"}); !ok {
			t.Fatalf("%s finds no server", n.name)
		}
		waitFor(t, n.name+" does not detect the loss of the hub", func() bool { return len(n.group.Alive()) == 1 })
		if _, ok := n.group.Place(balance.Query{Service: "svc"}); !ok {
			t.Fatalf("%s finds no server with another hub", n.name)
		}
	}
}

// Guards against a leaving instance that others still count as alive.
func TestLeavingInstanceIsNotAlive(t *testing.T) {
	nodes := startAll(t, 3, 1, 8)
	nodes[2].group.Leave()
	for _, n := range nodes[:2] {
		waitFor(t, n.name+" counts the leaving instance as alive", func() bool { _, alive := n.group.Alive()[nodes[2].name]; return !alive })
	}
}

// Guards against calls to the store being relayed through an instance that cannot reach
// it, and against an instance that reaches it not being known to do so.
func TestReachabilityOfTheStoreIsReported(t *testing.T) {
	f := &fakeFeed{entries: map[string]Instance{}}
	var lost atomic.Bool
	var nodes []*node
	for i := range 3 {
		reachesStore := func() bool { return true }
		if i == 2 {
			reachesStore = func() bool { return !lost.Load() }
		}
		nodes = append(nodes, startNodeWithPath(t, f, fmt.Sprint("n", i), 1, 8, reachesStore))
	}
	peersReachingStore := func(n *node) int {
		count := 0
		for _, p := range n.group.LivePeers() {
			if p.ReachesStore && p.Address != "" {
				count++
			}
		}
		return count
	}
	for _, n := range nodes {
		waitFor(t, n.name+" does not know that the others reach the store", func() bool { return peersReachingStore(n) == 2 })
	}
	lost.Store(true)
	for _, n := range nodes[:2] {
		waitFor(t, n.name+" does not learn that n2 lost the store", func() bool { return peersReachingStore(n) == 1 })
	}
	lost.Store(false)
	for _, n := range nodes[:2] {
		waitFor(t, n.name+" does not learn that n2 is back", func() bool { return peersReachingStore(n) == 2 })
	}
}

// Guards against hub reports that the receiver truncates at the fleet size that the users
// expect in two years: 390 instances and 740 servers.
func TestHubReportOfALargeFleetFitsADatagram(t *testing.T) {
	report := &hubReport{Name: "front-bp-a-100"}
	for i := range 740 {
		report.Loads = append(report.Loads, load{Server: hash(fmt.Sprint("s", i)), Online: 8, Batch: 8, StepTime: 1000, Answered: 1 << 20, Failed: 1 << 16})
	}
	for i := range 390 {
		report.LiveInstances = append(report.LiveInstances, liveInstance{Name: hash(fmt.Sprint("i", i)), Incarnation: 1 << 31, ReachesStore: true})
	}
	for i := range maxReportedBlocked {
		report.Blocked = append(report.Blocked, poison.Fingerprint(i)<<32)
	}
	raw, err := encode(kindHubReport, report)
	if err != nil {
		t.Fatal(err)
	}
	if len(raw) > maxDatagramBytes || len(raw) > 65507 { // the maximum of UDP over IPv4
		t.Fatalf("%d bytes", len(raw))
	}
	t.Logf("%d bytes", len(raw))
}

func FuzzReceive(f *testing.F) {
	for k, body := range map[kind]any{
		kindLoadReport: &loadReport{Name: "n", Loads: []load{{Server: 1, Online: 2}}}, kindHubReport: &hubReport{Name: "n", LiveInstances: []liveInstance{{Name: 1}}},
		kindServerRequest: &serverRequest{Name: "n", Service: "svc", Avoid: []uint32{1}}, kindGrant: &grant{Sequence: 1}, kindPreemption: &preemption{Server: 1},
	} {
		raw, err := encode(k, body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	view := fleet.NewView(rand.New(rand.NewPCG(1, 2)))
	group, err := NewGroup(Options{Name: "self", Listen: "127.0.0.1:0", View: view, OnPreempt: func(string) bool { return true }})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = group.conn.Close() })
	// Replies go to an address at which nothing listens.
	from := netip.MustParseAddrPort("127.0.0.1:9")
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_ = group.receive(raw, from) // it must not panic
	})
}
