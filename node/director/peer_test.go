package director

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcmux"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
	"github.com/jacinthnotch/jacinthnotch/node/metrics"
	"github.com/jacinthnotch/jacinthnotch/node/peer"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/servers"
)

// elsewhere is the preference of an instance that directs nothing, and the
// locator that finds the other instance.
type elsewhere struct{ address string }

func (e elsewhere) Directs(string) bool { return false }
func (e elsewhere) DirectorOf(string) (instance, address string, ok bool) {
	return "i-1", e.address, true
}

// pair is an engine with batch work, its director, and a second instance that
// sends online requests; in real time, over sockets between the instances.
type pair struct {
	engine      *engine
	near        *world
	far         *servers.Pool
	farDirector *Director
}

func startPair(t testing.TB, items int) *pair {
	t.Helper()
	e := newEngine()
	src := newSource(prompts(items)...)
	entries := list{{ID: "s0", Service: "model", Address: "0"}}
	doc := &config.Document{
		Services: map[string]*config.Service{"model": {Kind: config.ServiceModel}},
		Models:   map[string]*config.Model{"m": {Service: "model"}},
		Capacity: map[string]*config.Capacity{"model": {Service: "model", BatchSlotsPerServer: 64}},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	pool := func(name string, directs servers.BatchAssignment) *servers.Pool {
		return servers.New(servers.Options{Instance: name, Directory: entries, Document: func() *config.Document { return doc }, Seed: 1,
			NewEngine: func(string) port.Engine { return e }, BatchAssignment: directs, Metrics: metrics.NewServing()})
	}
	p := &pair{engine: e, near: &world{engines: []*engine{e}, source: src}}
	p.near.pool = pool("i-1", entries)
	p.near.director = New(Options{Instance: "i-1", Pool: p.near.pool, Source: src})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := (&Server{Director: p.near.director}).Register(mux); err != nil {
		t.Fatal(err)
	}
	wg.Go(func() { _ = peer.NewServer(listener, mux, nil).Serve(ctx) })
	peers := peer.NewPool(nil)
	t.Cleanup(func() { peers.Close() })
	there := elsewhere{listener.Addr().String()}
	p.far = pool("i-2", there)
	p.farDirector = New(Options{Instance: "i-2", Pool: p.far, Source: src, Locator: there, Peers: peers})
	for _, run := range []func(context.Context){p.near.pool.Run, p.near.director.Run, p.far.Run, p.farDirector.Run} {
		wg.Go(func() { run(ctx) })
	}
	return p
}

// waitFor waits until the condition holds; the test's own time limit ends it.
func waitFor(cond func() bool) {
	for !cond() {
		time.Sleep(100 * time.Microsecond)
	}
}

func (p *pair) busy() bool {
	g := p.far.Group("model")
	return p.engine.runningNow() >= slots-1 && g != nil && g.Available("s0")
}

// Guards against batch work that does not make way for a request that arrives at
// another instance.
func TestPreemptThroughPeer(t *testing.T) {
	p := startPair(t, 2000)
	waitFor(p.busy)
	w := &world{pool: p.far}
	before := p.near.pool.Metrics().Preemptions.Value()
	for range 3 {
		w.online(t)
	}
	waitFor(func() bool { return p.near.pool.Metrics().Preemptions.Value() > before })
	waitFor(func() bool { return slots-p.engine.runningNow() >= 1 })
}

// measure starts a new pair for each round, because an arrival reserves room for
// a minute, and records the time that round returns.
func measure(b *testing.B, round func(p *pair) time.Duration) {
	h := metrics.NewHistogram()
	for range b.N {
		p := startPair(b, 1<<16)
		waitFor(p.busy)
		h.Record(round(p))
	}
	report(b, h)
}

// preempted is the time from three arrivals to the end of the first batch stream
// at the engine, which includes the message to the director.
func (p *pair) preempted(arrive func()) time.Duration {
	waitFor(p.busy)
	before := p.engine.runningNow()
	began := time.Now()
	for range 3 {
		arrive()
	}
	for p.near.pool.Metrics().Preemptions.Value() == 0 || p.engine.runningNow() >= before {
		time.Sleep(10 * time.Microsecond)
	}
	return time.Since(began)
}

func report(b *testing.B, h *metrics.Histogram) {
	s := h.Snapshot()
	b.ReportMetric(float64(s.P50), "p50-us")
	b.ReportMetric(float64(s.P99), "p99-us")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkPreempt measures preemption at the director and through a peer.
func BenchmarkPreempt(b *testing.B) {
	b.Run("local", func(b *testing.B) {
		measure(b, func(p *pair) time.Duration {
			return p.preempted(func() { p.near.director.RequestSent("s0", 10) })
		})
	})
	b.Run("peer", func(b *testing.B) {
		measure(b, func(p *pair) time.Duration {
			return p.preempted(func() { p.farDirector.RequestSent("s0", 10) })
		})
	})
}

// BenchmarkRefill measures how long a place stays idle after the end of a batch
// stream.
func BenchmarkRefill(b *testing.B) {
	measure(b, func(p *pair) time.Duration {
		for p.engine.runningNow() >= slots-1 {
			time.Sleep(10 * time.Microsecond)
		}
		began := time.Now()
		for p.engine.runningNow() < slots-1 {
			time.Sleep(10 * time.Microsecond)
		}
		return time.Since(began)
	})
}
