package relay_test

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/jacinthnotch/jacinthnotch/node/peer"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/relay"
	"github.com/jacinthnotch/jacinthnotch/policy/reach"
)

const (
	probeTopic = "probe"
	// testLimit bounds the wait for something that has to come; it is no measure.
	testLimit = 20 * time.Second
)

var topic = port.Partition{Topic: "t", Number: 3}

// log is the store's one partition.
type log struct {
	mu      sync.Mutex
	records [][]byte
}

func (l *log) append(records [][]byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := int64(len(l.records))
	l.records = append(l.records, records...)
	return first
}

// mode is what one instance's path to the store does.
type mode int

const (
	works mode = iota
	refuses
	loses  // does what is asked and loses the answer
	silent // does nothing and never answers
	// refusesAppends stands for an outage of some partitions.
	refusesAppends
)

// path is one instance's path to the store.
type path struct {
	*log
	mu    sync.Mutex
	mode  mode
	calls int
}

func (p *path) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *path) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// begin returns the error of a call that does not reach the store.
func (p *path) begin(ctx context.Context) (mode, error) {
	p.mu.Lock()
	p.calls++
	m := p.mode
	p.mu.Unlock()
	switch m {
	case refuses:
		return m, port.ErrUnavailable
	case silent:
		<-ctx.Done()
		return m, port.ErrOutcomeUnknown
	}
	return m, nil
}

func (p *path) Append(ctx context.Context, at port.Partition, records [][]byte) (int64, error) {
	m, err := p.begin(ctx)
	if err != nil {
		return 0, err
	}
	if at != topic {
		return 0, errors.New("another partition")
	}
	if m == refusesAppends {
		return 0, port.ErrUnavailable
	}
	first := p.append(records)
	if m == loses {
		return 0, port.ErrOutcomeUnknown
	}
	return first, nil
}

func (p *path) Read(ctx context.Context, at port.Partition, from int64, maxBytes int, wait time.Duration) (port.Page, error) {
	if _, err := p.begin(ctx); err != nil {
		return port.Page{}, err
	}
	if at != topic || maxBytes != 1000 || wait != time.Millisecond {
		return port.Page{}, errors.New("another read")
	}
	if from < 1 {
		return port.Page{}, &port.ExpiredError{Stream: topic.Topic, First: 1}
	}
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	page := port.Page{First: 1, End: int64(len(p.records))}
	for i := from; i < page.End; i++ {
		page.Records = append(page.Records, port.Record{Offset: i, Payload: p.records[i]})
	}
	return page, nil
}

func (p *path) Newest(ctx context.Context, name, after string) (port.NewestPage, error) {
	if _, err := p.begin(ctx); err != nil {
		return port.NewestPage{}, err
	}
	if name == probeTopic {
		return port.NewestPage{}, nil
	}
	return port.NewestPage{Records: []port.KeyedRecord{{Key: name + after, Value: []byte("v")}, {Key: "x", Unreadable: true}}, More: true, End: 7}, nil
}

// peers is what an instance hears of the others.
type peers struct {
	mu   sync.Mutex
	list []reach.Peer
}

func (p *peers) LivePeers() []reach.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.list)
}

// instance is one instance with its path.
type instance struct {
	*relay.Store
	path  *path
	peers *peers
	name  string
	addr  string
}

func start(t *testing.T, name string, store *log) *instance {
	t.Helper()
	conns := peer.NewPool(nil)
	i := &instance{name: name, path: &path{log: store}, peers: &peers{}}
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
	var duties sync.WaitGroup
	duties.Go(func() { i.RunProbes(ctx) })
	duties.Go(func() { _ = peer.NewServer(listener, mux, nil).Serve(ctx) }) // it ends with ctx
	t.Cleanup(func() { cancel(); duties.Wait(); _ = conns.Close() })
	return i
}

// hears makes an instance hear another one that states to reach the store.
func (i *instance) hears(others ...*instance) {
	i.peers.mu.Lock()
	defer i.peers.mu.Unlock()
	i.peers.list = nil
	for _, o := range others {
		i.peers.list = append(i.peers.list, reach.Peer{Name: o.name, Address: o.addr, ReachesStore: true})
	}
}

func limited(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	t.Cleanup(cancel)
	return ctx
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatal(what)
}

// Guards against jobs, configurations and leaving servers that an instance misses while
// the store turns it away, or does not answer it, and serves the others.
func TestCutInstanceCallsThroughAPeer(t *testing.T) {
	for name, m := range map[string]mode{"refused": refuses, "silent": silent, "answers lost": loses} {
		t.Run(name, func(t *testing.T) {
			store := &log{}
			store.append([][]byte{[]byte("zero")})
			a, b := start(t, "a", store), start(t, "b", store)
			a.hears(b)
			a.path.set(m)
			ctx := limited(t)
			first, err := a.Append(ctx, topic, [][]byte{[]byte("one"), []byte("two")})
			if err != nil || string(store.records[first]) != "one" {
				t.Fatalf("append: %d, %v", first, err)
			}
			page, err := a.Read(ctx, topic, first, 1000, time.Millisecond)
			if err != nil || len(page.Records) < 2 || page.Records[1].Offset != first+1 || string(page.Records[1].Payload) != "two" || page.First != 1 {
				t.Fatalf("read: %+v, %v", page, err)
			}
			var expired *port.ExpiredError
			if _, err := a.Read(ctx, topic, 0, 1000, time.Millisecond); !errors.As(err, &expired) || expired.First != 1 {
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

// Guards against an instance that goes on asking its peers once its own path works
// again: each call would be made over two hops.
func TestOwnPathIsTakenAgain(t *testing.T) {
	store := &log{}
	a, b := start(t, "a", store), start(t, "b", store)
	a.hears(b)
	a.path.set(refuses)
	if _, err := a.Append(limited(t), topic, [][]byte{[]byte("x")}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the loss is not noticed", func() bool { return !a.OwnPathUp() && a.Reachability() == reach.ThroughPeers })
	a.path.set(works)
	waitFor(t, "the own path is not tried", a.OwnPathUp)
	before := b.path.count()
	if _, err := a.Append(limited(t), topic, [][]byte{[]byte("y")}); err != nil || b.path.count() != before {
		t.Fatalf("%v, %d calls through the peer", err, b.path.count()-before)
	}
}

// Guards against a call that goes round through instances none of which reaches the
// store, and against a promise of no effect for an append that may have taken effect.
func TestNobodyReachesTheStore(t *testing.T) {
	store := &log{}
	a, b := start(t, "a", store), start(t, "b", store)
	a.hears(b)
	b.hears(a)
	a.path.set(refuses)
	b.path.set(refuses)
	if _, err := a.Append(limited(t), topic, [][]byte{[]byte("x")}); !errors.Is(err, port.ErrUnavailable) || errors.Is(err, port.ErrOutcomeUnknown) {
		t.Fatalf("refused on both paths: %v", err)
	}
	waitFor(t, "the losses are not noticed", func() bool { return !a.OwnPathUp() && !b.OwnPathUp() })
	if _, err := a.Append(limited(t), topic, [][]byte{[]byte("x")}); !errors.Is(err, port.ErrUnavailable) || a.Reachability() != reach.Unreachable {
		t.Fatalf("outlook %v, %v", a.Reachability(), err)
	}
	c, d := start(t, "c", store), start(t, "d", store)
	c.hears(d)
	c.path.set(loses)
	d.path.set(refuses)
	if _, err := c.Append(limited(t), topic, [][]byte{[]byte("x")}); !errors.Is(err, port.ErrOutcomeUnknown) || errors.Is(err, port.ErrUnavailable) {
		t.Fatalf("lost on one path: %v", err)
	}
}

// Guards against a promise of no effect, on which a job is refused as not run, for an
// append that a peer may have made before the own path refused it.
func TestPeersOutcomeIsNotForgotten(t *testing.T) {
	store := &log{}
	a, b := start(t, "a", store), start(t, "b", store)
	a.hears(b)
	a.path.set(refuses)
	if _, err := a.Append(limited(t), topic, [][]byte{[]byte("x")}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the loss is not noticed", func() bool { return !a.OwnPathUp() })
	b.path.set(loses)
	before := len(store.records)
	if _, err := a.Append(limited(t), topic, [][]byte{[]byte("y")}); !errors.Is(err, port.ErrOutcomeUnknown) || errors.Is(err, port.ErrUnavailable) {
		t.Fatalf("%d records were appended, and the error is %v", len(store.records)-before, err)
	}
}

// Guards against an instance that takes the store for lost, and its peers for useless,
// because the store refuses one partition.
func TestOnePartitionIsAway(t *testing.T) {
	store := &log{}
	a, b := start(t, "a", store), start(t, "b", store)
	a.hears(b)
	a.path.set(refusesAppends)
	b.path.set(refusesAppends)
	if _, err := a.Append(limited(t), topic, [][]byte{[]byte("x")}); !errors.Is(err, port.ErrUnavailable) {
		t.Fatal(err)
	}
	waitFor(t, "the own path is not tried", func() bool { return a.path.count() > 1 })
	if !a.OwnPathUp() || a.Reachability() != reach.Direct {
		t.Fatalf("outlook %v", a.Reachability())
	}
	// The own path is lost later; the peer still helps.
	a.path.set(refuses)
	if _, err := a.Newest(limited(t), "n", ""); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the loss is not noticed", func() bool { return !a.OwnPathUp() })
	if a.Reachability() != reach.ThroughPeers {
		t.Fatalf("outlook %v", a.Reachability())
	}
}

// Guards against a call that waits for a peer whose own path has gone silent, while
// another peer reaches the store, and against that peer not noticing its loss.
func TestSilentPeerIsPassedOver(t *testing.T) {
	store := &log{}
	a, b, c := start(t, "a", store), start(t, "b", store), start(t, "c", store)
	a.hears(b, c)
	a.peers.list[0].SameDataCentre = true // it is asked first
	a.path.set(silent)
	b.path.set(silent)
	if _, err := a.Append(limited(t), topic, [][]byte{[]byte("x")}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the peer does not notice its loss", func() bool { return !b.OwnPathUp() })
}

// Guards against a peer that cannot be connected to ending a call that another peer
// could make.
func TestNextPeerIsAsked(t *testing.T) {
	store := &log{}
	a, b := start(t, "a", store), start(t, "b", store)
	a.hears(b)
	a.peers.list = append(a.peers.list, reach.Peer{Name: "gone", Address: "127.0.0.1:1", SameDataCentre: true, ReachesStore: true})
	a.path.set(refuses)
	if _, err := a.Append(limited(t), topic, [][]byte{[]byte("x")}); err != nil {
		t.Fatal(err)
	}
}
