package servers

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/policy/retry"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
)

// directory is a port.Directory that can be set to fail.
type directory struct {
	mu      sync.Mutex
	servers []port.ServerEntry
	err     error
}

func (d *directory) List(context.Context) (port.Listing, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return port.Listing{Servers: append([]port.ServerEntry(nil), d.servers...)}, d.err
}

func (d *directory) change(f func(*directory)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d)
}

// idleEngine is an engine that reports no load.
type idleEngine struct{ port.Engine }

func (idleEngine) Load(context.Context) (port.LoadReport, error) {
	return port.LoadReport{At: time.Now(), MaxSlots: 16}, nil
}

func (idleEngine) State(context.Context) (port.EngineState, error) {
	return port.EngineState{Model: "m", Version: "1", Role: port.RoleBoth}, nil
}

func (idleEngine) CacheEvents(context.Context, uint64) (port.CacheEventPage, error) {
	return port.CacheEventPage{}, nil
}

func newPool(n int) (*Pool, *directory) {
	d := &directory{}
	for i := range n {
		d.servers = append(d.servers, port.ServerEntry{ID: fmt.Sprint("s", i), Service: "model", Address: fmt.Sprint(i), DataCentre: "dc-1"})
	}
	doc := &config.Document{
		Services: map[string]*config.Service{"model": {Kind: config.ServiceKindModel}},
		Models:   map[string]*config.Model{"m": {Service: "model"}},
	}
	return New(Options{Instance: "i", DataCentre: "dc-1", Directory: d, Document: func() *config.Document { return doc },
		NewEngine: func(string) port.Engine { return idleEngine{} }, Seed: 1}), d
}

func withRunningPool(t *testing.T, n int, f func(*testing.T, *Pool, *directory)) {
	synctest.Test(t, func(t *testing.T) {
		p, d := newPool(n)
		ctx, cancel := context.WithCancel(t.Context())
		var wg conc.WaitGroup
		wg.Go(func() { p.Run(ctx) })
		synctest.Wait()
		f(t, p, d)
		cancel()
		wg.Wait()
	})
}

// countPicks dispatches 200 requests and returns how many went to each server.
func countPicks(t *testing.T, p *Pool) map[string]int {
	t.Helper()
	n := map[string]int{}
	for range 200 {
		d, r := p.Group("model").Pick(&route.Request{Model: "m", PromptTokens: 10}, "fp")
		if r != Picked {
			t.Fatalf("Pick = %d", r)
		}
		n[d.Choice.Server]++
		d.Finish(AttemptResult{OK: true})
	}
	return n
}

// Guards against new requests to a leaving server more than 3 s after the mark, and
// against a failing directory that clears the mark or removes servers.
func TestLeavingServerGetsNothingNew(t *testing.T) {
	withRunningPool(t, 3, func(t *testing.T, p *Pool, d *directory) {
		if n := countPicks(t, p); n["s0"] == 0 || n["s1"] == 0 {
			t.Fatalf("servers used: %v, want all", n)
		}
		d.change(func(d *directory) { d.servers[0].Leaving = true })
		p.MarkLeaving("s1") // a report from a member takes effect at once
		if n := countPicks(t, p)["s1"]; n != 0 {
			t.Errorf("%d requests to a server that a member reported as leaving", n)
		}
		time.Sleep(3 * time.Second)
		d.change(func(d *directory) { d.err = errors.New("down") })
		for range 4 {
			if n := countPicks(t, p); n["s0"]+n["s1"] != 0 || n["s2"] == 0 {
				t.Errorf("servers used after the marks: %v", n)
			}
			time.Sleep(3 * time.Second)
		}
	})
}

// Guards against requests to an ejected server, and against a server that gets no
// requests after it answers probes again.
func TestEjectedServerReturns(t *testing.T) {
	withRunningPool(t, 3, func(t *testing.T, p *Pool, _ *directory) {
		d, _ := p.Group("model").Pick(&route.Request{Model: "m", PromptTokens: 10}, "fp")
		id := d.Choice.Server
		d.Finish(AttemptResult{Failure: retry.NotSent, ConnectionRefused: true})
		if n := countPicks(t, p)[id]; n != 0 {
			t.Errorf("%d requests to a dead server", n)
		}
		time.Sleep(10 * time.Second)
		if n := countPicks(t, p)[id]; n == 0 {
			t.Error("no request to a server that answers probes again")
		}
	})
}

// Guards against a queued request that is lost, started twice, or refused with an
// outcome other than NotRun.
func TestAdmission(t *testing.T) {
	withRunningPool(t, 1, func(t *testing.T, p *Pool, _ *directory) {
		g := p.Group("model")
		var running []func()
		for {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			done, r := g.Admit(ctx, "w", 1, time.Now().Add(time.Hour), 0)
			cancel()
			if r != nil {
				if r.Outcome != api.NotRun {
					t.Errorf("refusal %v, want outcome %s", r, api.NotRun)
				}
				break
			}
			running = append(running, done)
		}
		admitted := make(chan func(), 1)
		go func() {
			done, r := g.Admit(t.Context(), "w", 1, time.Now().Add(time.Hour), 0)
			if r != nil {
				t.Error(r)
			}
			admitted <- done
		}()
		synctest.Wait()
		running[0]()
		(<-admitted)()
		for _, done := range running[1:] {
			done()
		}
		if g.queue.Running() != 0 || g.queue.Queued() != 0 || len(g.waiting) != 0 {
			t.Errorf("running %d, queued %d, waiting %d after the end", g.queue.Running(), g.queue.Queued(), len(g.waiting))
		}
	})
}

// benchPool returns a pool of n servers without running it.
func benchPool(b *testing.B, n int) *Pool {
	p, d := newPool(n)
	list, _ := d.List(b.Context())
	p.Apply(b.Context(), list, nil)
	for _, s := range p.Engines() {
		st, _ := idleEngine{}.State(b.Context())
		s.group.setState(s, st)
		r, _ := idleEngine{}.Load(b.Context())
		s.group.setLoad(s.ID, r)
	}
	return p
}

// BenchmarkPreview measures the routing decision under the group's lock; it must
// not allocate.
func BenchmarkPreview(b *testing.B) {
	for _, n := range []int{18, 740} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := benchPool(b, n).Group("model")
			req := route.Request{Model: "m", PromptTokens: 500}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := g.Preview(&req); !ok {
					b.Fatal("no server")
				}
			}
		})
	}
}

// BenchmarkPick measures Pick and Finish, on one goroutine and in parallel on all
// cores.
func BenchmarkPick(b *testing.B) {
	g := benchPool(b, 18).Group("model")
	pickAndFinish := func(req *route.Request) {
		d, r := g.Pick(req, "fp")
		if r != Picked {
			b.Fatal(r)
		}
		d.Finish(AttemptResult{OK: true})
	}
	b.Run("alone", func(b *testing.B) {
		b.ReportAllocs()
		req := route.Request{Model: "m", PromptTokens: 500}
		for b.Loop() {
			pickAndFinish(&req)
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			req := route.Request{Model: "m", PromptTokens: 500}
			for pb.Next() {
				pickAndFinish(&req)
			}
		})
	})
}

// Guards against allocations on the routing path.
func TestRoutingDoesNotAllocate(t *testing.T) {
	withRunningPool(t, 18, func(t *testing.T, p *Pool, _ *directory) {
		g := p.Group("model")
		req := route.Request{Model: "m", PromptTokens: 500}
		if n := testing.AllocsPerRun(100, func() { g.Preview(&req) }); n != 0 {
			t.Errorf("%v allocations for a decision", n)
		}
	})
}
