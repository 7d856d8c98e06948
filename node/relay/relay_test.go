package relay_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/jacinthnotch/jacinthnotch/node/peer"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/relay"
	"github.com/jacinthnotch/jacinthnotch/policy/pathselect"
)

const (
	probeTopic = "probe"
	// testTimeout is how long a test waits for an expected event before it fails.
	testTimeout = 20 * time.Second
)

var partition = port.Partition{Topic: "t", Number: 3}

// fakeStore is a store with a single partition.
type fakeStore struct {
	mu      sync.Mutex
	records [][]byte
}

func (s *fakeStore) append(records [][]byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := int64(len(s.records))
	s.records = append(s.records, records...)
	return first
}

// mode is the behaviour of one instance's path to the store.
type mode int

const (
	works mode = iota
	refusesCalls
	losesResponse // executes the call and loses the response
	unresponsive  // neither executes the call nor responds
	// refusesAppends represents an outage of some partitions.
	refusesAppends
	// limitsRate rejects all calls with status 429.
	limitsRate
)

// fakePath is one instance's path to the store.
type fakePath struct {
	*fakeStore
	mu    sync.Mutex
	mode  mode
	calls int
}

func (p *fakePath) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *fakePath) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// begin counts a call and returns its mode, and an error if it does not reach the store.
func (p *fakePath) begin(ctx context.Context) (mode, error) {
	p.mu.Lock()
	p.calls++
	m := p.mode
	p.mu.Unlock()
	switch m {
	case refusesCalls:
		return m, port.ErrUnavailable
	case limitsRate:
		return m, fmt.Errorf("%w: %w", port.ErrUnavailable, &port.StatusError{Status: http.StatusTooManyRequests})
	case unresponsive:
		<-ctx.Done()
		return m, port.ErrOutcomeUnknown
	}
	return m, nil
}

func (p *fakePath) Append(ctx context.Context, at port.Partition, records [][]byte) (int64, error) {
	m, err := p.begin(ctx)
	if err != nil {
		return 0, err
	}
	if at != partition {
		return 0, errors.New("unexpected partition")
	}
	if m == refusesAppends {
		return 0, port.ErrUnavailable
	}
	first := p.append(records)
	if m == losesResponse {
		return 0, port.ErrOutcomeUnknown
	}
	return first, nil
}

func (p *fakePath) AppendAt(ctx context.Context, at port.Partition, offset int64, records [][]byte) error {
	m, err := p.begin(ctx)
	if err != nil {
		return err
	}
	if at != partition {
		return errors.New("unexpected arguments of AppendAt")
	}
	p.fakeStore.mu.Lock()
	matches := offset == int64(len(p.fakeStore.records))
	p.fakeStore.mu.Unlock()
	if !matches {
		return port.ErrOffsetMismatch
	}
	p.append(records)
	if m == losesResponse {
		return port.ErrOutcomeUnknown
	}
	return nil
}

func (p *fakePath) Read(ctx context.Context, at port.Partition, from int64, maxBytes int, wait time.Duration) (port.Page, error) {
	if _, err := p.begin(ctx); err != nil {
		return port.Page{}, err
	}
	if at != partition || maxBytes != 1000 || wait != time.Millisecond {
		return port.Page{}, errors.New("unexpected arguments of Read")
	}
	if from < 1 {
		return port.Page{}, &port.ExpiredError{Stream: partition.Topic, First: 1}
	}
	p.fakeStore.mu.Lock()
	defer p.fakeStore.mu.Unlock()
	page := port.Page{First: 1, End: int64(len(p.records))}
	for i := from; i < page.End; i++ {
		page.Records = append(page.Records, port.Record{Offset: i, Payload: p.records[i]})
	}
	return page, nil
}

func (p *fakePath) Newest(ctx context.Context, topic, after string) (port.NewestPage, error) {
	if _, err := p.begin(ctx); err != nil {
		return port.NewestPage{}, err
	}
	if topic == probeTopic {
		return port.NewestPage{}, nil
	}
	return port.NewestPage{Records: []port.KeyedRecord{{Key: topic + after, Value: []byte("v")}, {Key: "x", Unreadable: true}}, More: true, End: 7}, nil
}

// peers is the list of the other instances that one instance knows.
type peers struct {
	mu   sync.Mutex
	list []pathselect.Peer
}

func (p *peers) LivePeers() []pathselect.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.list)
}

// instance is one instance with its path to the store.
type instance struct {
	*relay.Store
	path  *fakePath
	peers *peers
	name  string
	addr  string
}

func startInstance(t *testing.T, name string, store *fakeStore) *instance {
	t.Helper()
	conns := peer.NewPool(nil)
	i := &instance{name: name, path: &fakePath{fakeStore: store}, peers: &peers{}}
	i.Store = relay.NewStore(i.path, i.peers, conns, probeTopic)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	i.addr = listener.Addr().String()
	mux := drpcmux.New()
	if err := i.Register(mux); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { i.RunProbes(ctx) })
	running.Go(func() { _ = peer.NewServer(listener, mux, nil).Serve(ctx) }) // it ends with ctx
	t.Cleanup(func() { cancel(); running.Wait(); _ = conns.Close() })
	return i
}

// setPeers sets the other instances that an instance knows. They report that they reach
// the store.
func (i *instance) setPeers(others ...*instance) {
	i.peers.mu.Lock()
	defer i.peers.mu.Unlock()
	i.peers.list = nil
	for _, o := range others {
		i.peers.list = append(i.peers.list, pathselect.Peer{Name: o.name, Address: o.addr, ReachesStore: true})
	}
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
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

// Guards against conditional appends that fail while only the own path is down, against a
// condition that is lost on the way through a peer, and against an append that takes effect
// twice because its first response was lost.
func TestConditionalAppendThroughPeer(t *testing.T) {
	for name, m := range map[string]mode{"refused": refusesCalls, "unresponsive": unresponsive, "responses lost": losesResponse} {
		t.Run(name, func(t *testing.T) {
			store := &fakeStore{}
			a, b := startInstance(t, "a", store), startInstance(t, "b", store)
			a.setPeers(b)
			a.path.set(m)
			err := a.AppendAt(testContext(t), partition, 0, [][]byte{[]byte("one")})
			if lost := m == losesResponse; lost != errors.Is(err, port.ErrOffsetMismatch) || !lost && err != nil {
				t.Fatalf("append at the end: %v", err)
			}
			if err := a.AppendAt(testContext(t), partition, 0, [][]byte{[]byte("two")}); !errors.Is(err, port.ErrOffsetMismatch) {
				t.Fatalf("append at a passed offset: %v", err)
			}
			store.mu.Lock()
			defer store.mu.Unlock()
			if len(store.records) != 1 || string(store.records[0]) != "one" {
				t.Fatalf("records %q", store.records)
			}
		})
	}
}

// Guards against an instance missing jobs, configurations and leaving servers while the
// store refuses its calls or does not respond to them, but serves the other instances.
func TestCallsThroughPeerWhileOwnPathIsDown(t *testing.T) {
	for name, m := range map[string]mode{"refused": refusesCalls, "unresponsive": unresponsive, "responses lost": losesResponse} {
		t.Run(name, func(t *testing.T) {
			store := &fakeStore{}
			store.append([][]byte{[]byte("zero")})
			a, b := startInstance(t, "a", store), startInstance(t, "b", store)
			a.setPeers(b)
			a.path.set(m)
			ctx := testContext(t)
			first, err := a.Append(ctx, partition, [][]byte{[]byte("one"), []byte("two")})
			if err != nil || string(store.records[first]) != "one" {
				t.Fatalf("append: %d, %v", first, err)
			}
			page, err := a.Read(ctx, partition, first, 1000, time.Millisecond)
			if err != nil || len(page.Records) < 2 || page.Records[1].Offset != first+1 || string(page.Records[1].Payload) != "two" || page.First != 1 {
				t.Fatalf("read: %+v, %v", page, err)
			}
			var expired *port.ExpiredError
			if _, err := a.Read(ctx, partition, 0, 1000, time.Millisecond); !errors.As(err, &expired) || expired.First != 1 {
				t.Fatalf("expired read: %v", err)
			}
			newest, err := a.Newest(ctx, "n", "k")
			if err != nil || len(newest.Records) != 2 || newest.Records[0].Key != "nk" || string(newest.Records[0].Value) != "v" ||
				!newest.Records[1].Unreadable || !newest.More || newest.End != 7 {
				t.Fatalf("newest: %+v, %v", newest, err)
			}
		})
	}
}

// Guards against an instance that continues to call through its peers after its own path
// has recovered, since each such call takes two hops.
func TestOwnPathIsUsedAfterRecovery(t *testing.T) {
	store := &fakeStore{}
	a, b := startInstance(t, "a", store), startInstance(t, "b", store)
	a.setPeers(b)
	a.path.set(refusesCalls)
	if _, err := a.Append(testContext(t), partition, [][]byte{[]byte("x")}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the failure of the own path is not detected", func() bool { return !a.OwnPathUp() && a.Reachability() == pathselect.ThroughPeers })
	a.path.set(works)
	waitFor(t, "the recovery of the own path is not detected", a.OwnPathUp)
	before := b.path.count()
	if _, err := a.Append(testContext(t), partition, [][]byte{[]byte("y")}); err != nil || b.path.count() != before {
		t.Fatalf("%v, %d calls through the peer", err, b.path.count()-before)
	}
}

// Guards against a call being relayed endlessly among instances none of which reaches the
// store, and against ErrUnavailable for an append that may have taken effect.
func TestNoInstanceReachesTheStore(t *testing.T) {
	store := &fakeStore{}
	a, b := startInstance(t, "a", store), startInstance(t, "b", store)
	a.setPeers(b)
	b.setPeers(a)
	a.path.set(refusesCalls)
	b.path.set(refusesCalls)
	if _, err := a.Append(testContext(t), partition, [][]byte{[]byte("x")}); !errors.Is(err, port.ErrUnavailable) || errors.Is(err, port.ErrOutcomeUnknown) {
		t.Fatalf("refused on both paths: %v", err)
	}
	waitFor(t, "the failures of the own paths are not detected", func() bool { return !a.OwnPathUp() && !b.OwnPathUp() })
	if _, err := a.Append(testContext(t), partition, [][]byte{[]byte("x")}); !errors.Is(err, port.ErrUnavailable) || a.Reachability() != pathselect.Unreachable {
		t.Fatalf("reachability %v, %v", a.Reachability(), err)
	}
	c, d := startInstance(t, "c", store), startInstance(t, "d", store)
	c.setPeers(d)
	c.path.set(losesResponse)
	d.path.set(refusesCalls)
	if _, err := c.Append(testContext(t), partition, [][]byte{[]byte("x")}); !errors.Is(err, port.ErrOutcomeUnknown) || errors.Is(err, port.ErrUnavailable) {
		t.Fatalf("lost on one path: %v", err)
	}
}

// Guards against ErrUnavailable, after which a job is rejected as not run, for an append
// that a peer may have made before the own path refused it.
func TestUnknownOutcomeAtPeerIsReported(t *testing.T) {
	store := &fakeStore{}
	a, b := startInstance(t, "a", store), startInstance(t, "b", store)
	a.setPeers(b)
	a.path.set(refusesCalls)
	if _, err := a.Append(testContext(t), partition, [][]byte{[]byte("x")}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the failure of the own path is not detected", func() bool { return !a.OwnPathUp() })
	b.path.set(losesResponse)
	before := len(store.records)
	if _, err := a.Append(testContext(t), partition, [][]byte{[]byte("y")}); !errors.Is(err, port.ErrOutcomeUnknown) || errors.Is(err, port.ErrUnavailable) {
		t.Fatalf("%d records were appended, and the error is %v", len(store.records)-before, err)
	}
}

// Guards against an instance that considers its own path down, and its peers unable to
// relay, because the store refuses calls for one partition.
func TestOnePartitionIsUnavailable(t *testing.T) {
	store := &fakeStore{}
	a, b := startInstance(t, "a", store), startInstance(t, "b", store)
	a.setPeers(b)
	a.path.set(refusesAppends)
	b.path.set(refusesAppends)
	if _, err := a.Append(testContext(t), partition, [][]byte{[]byte("x")}); !errors.Is(err, port.ErrUnavailable) {
		t.Fatal(err)
	}
	waitFor(t, "the own path is not probed", func() bool { return a.path.count() > 1 })
	if !a.OwnPathUp() || a.Reachability() != pathselect.Direct {
		t.Fatalf("reachability %v", a.Reachability())
	}
	// The own path fails later; the peer can still relay calls.
	a.path.set(refusesCalls)
	if _, err := a.Newest(testContext(t), "n", ""); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the failure of the own path is not detected", func() bool { return !a.OwnPathUp() })
	if a.Reachability() != pathselect.ThroughPeers {
		t.Fatalf("reachability %v", a.Reachability())
	}
}

// Guards against a call that waits for a peer whose own path does not respond, while
// another peer reaches the store, and against the first peer not detecting that its own
// path is down.
func TestUnresponsivePeerIsSkipped(t *testing.T) {
	store := &fakeStore{}
	a, b, c := startInstance(t, "a", store), startInstance(t, "b", store), startInstance(t, "c", store)
	a.setPeers(b, c)
	a.peers.list[0].SameDataCentre = true // it is tried first
	a.path.set(unresponsive)
	b.path.set(unresponsive)
	if _, err := a.Append(testContext(t), partition, [][]byte{[]byte("x")}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the peer does not detect that its own path is down", func() bool { return !b.OwnPathUp() })
}

// Guards against a peer that cannot be connected to ending a call that another peer
// could make.
func TestNextPeerIsTried(t *testing.T) {
	store := &fakeStore{}
	a, b := startInstance(t, "a", store), startInstance(t, "b", store)
	a.setPeers(b)
	a.peers.list = append(a.peers.list, pathselect.Peer{Name: "gone", Address: "127.0.0.1:1", SameDataCentre: true, ReachesStore: true})
	a.path.set(refusesCalls)
	if _, err := a.Append(testContext(t), partition, [][]byte{[]byte("x")}); err != nil {
		t.Fatal(err)
	}
}
