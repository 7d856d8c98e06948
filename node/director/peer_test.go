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

// remotePreference is the preference of an instance that directs no server, and a
// locator that returns the other instance.
type remotePreference struct{ address string }

func (p remotePreference) Directs(string) bool { return false }
func (p remotePreference) DirectorOf(string) (instance, address string, ok bool) {
	return "i-1", p.address, true
}

// instancePair is an engine with batch work, the instance that directs it and
// another instance that sends online requests. It runs in real time, with TCP
// connections between the instances.
type instancePair struct {
	engine        *fakeEngine
	directing     *testEnv
	other         *servers.Pool
	otherDirector *Director
}

func startInstancePair(t testing.TB, items int) *instancePair {
	t.Helper()
	e := newEngine()
	src := newSource(prompts(items)...)
	entries := staticDirectory{{ID: "s0", Service: "model", Address: "0"}}
	doc := &config.Document{
		Services: map[string]*config.Service{"model": {Kind: config.ServiceKindModel}},
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
	p := &instancePair{engine: e, directing: &testEnv{engines: []*fakeEngine{e}, source: src}}
	p.directing.pool = pool("i-1", entries)
	p.directing.director = New(Options{Instance: "i-1", Pool: p.directing.pool, Source: src})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := (&Server{Director: p.directing.director}).Register(mux); err != nil {
		t.Fatal(err)
	}
	wg.Go(func() { _ = peer.NewServer(listener, mux, nil).Serve(ctx) })
	peers := peer.NewPool(nil)
	t.Cleanup(func() { peers.Close() })
	remote := remotePreference{listener.Addr().String()}
	p.other = pool("i-2", remote)
	p.otherDirector = New(Options{Instance: "i-2", Pool: p.other, Source: src, Locator: remote, Peers: peers})
	for _, run := range []func(context.Context){p.directing.pool.Run, p.directing.director.Run, p.other.Run, p.otherDirector.Run} {
		wg.Go(func() { run(ctx) })
	}
	return p
}

// waitFor waits until the condition holds. Only the time limit of the test ends it
// earlier.
func waitFor(cond func() bool) {
	for !cond() {
		time.Sleep(100 * time.Microsecond)
	}
}

func (p *instancePair) engineFull() bool {
	g := p.other.Group("model")
	return p.engine.runningNow() >= slots-1 && g != nil && g.Available("s0")
}

// Guards against batch streams that are not preempted for a request that arrives
// at another instance.
func TestPreemptThroughPeer(t *testing.T) {
	p := startInstancePair(t, 2000)
	waitFor(p.engineFull)
	env := &testEnv{pool: p.other}
	before := p.directing.pool.Metrics().Preemptions.Value()
	for range 3 {
		env.sendOnline(t)
	}
	waitFor(func() bool { return p.directing.pool.Metrics().Preemptions.Value() > before })
	waitFor(func() bool { return slots-p.engine.runningNow() >= 1 })
}

// measureRounds records the time that each round returns. It starts a new pair for
// each round, because headroom for an arrival is kept for a minute.
func measureRounds(b *testing.B, round func(p *instancePair) time.Duration) {
	h := metrics.NewHistogram()
	for range b.N {
		p := startInstancePair(b, 1<<16)
		waitFor(p.engineFull)
		h.Record(round(p))
	}
	report(b, h)
}

// timeToPreempt returns the time from three arrivals to the end of the first batch
// stream at the engine, including the call to the director.
func (p *instancePair) timeToPreempt(arrive func()) time.Duration {
	waitFor(p.engineFull)
	before := p.engine.runningNow()
	began := time.Now()
	for range 3 {
		arrive()
	}
	for p.directing.pool.Metrics().Preemptions.Value() == 0 || p.engine.runningNow() >= before {
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

// BenchmarkPreempt measures the preemption latency for arrivals at the director
// and at a peer.
func BenchmarkPreempt(b *testing.B) {
	b.Run("local", func(b *testing.B) {
		measureRounds(b, func(p *instancePair) time.Duration {
			return p.timeToPreempt(func() { p.directing.director.RequestSent("s0", 10) })
		})
	})
	b.Run("peer", func(b *testing.B) {
		measureRounds(b, func(p *instancePair) time.Duration {
			return p.timeToPreempt(func() { p.otherDirector.RequestSent("s0", 10) })
		})
	})
}

// BenchmarkRefill measures how long a slot stays idle after the end of a batch
// stream.
func BenchmarkRefill(b *testing.B) {
	measureRounds(b, func(p *instancePair) time.Duration {
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
