package placement

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
	"github.com/jacinthnotch/jacinthnotch/domain/placement"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/standin/engine"
	"github.com/jacinthnotch/jacinthnotch/standin/kit"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	loadTime = 20 * time.Second
	maxOrder = 60 * time.Second
	partOf   = 64
	inMotion = 2 // a quarter of the servers
	size     = 8
)

// server is a stand-in engine that is called directly, in virtual time.
type server struct {
	port.Engine
	*world
	e *engine.Engine
	// loseAnswers orders take effect without an answer, dropOrders have neither.
	loseAnswers, dropOrders int
	loads                   int
	orders                  []port.Order
}

func (s *server) State(context.Context) (port.EngineState, error) { return s.e.State(), nil }

func (s *server) Order(_ context.Context, o port.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, o)
	s.ordered = time.Now()
	if s.dropOrders > 0 {
		s.dropOrders--
		return port.ErrOutcomeUnknown
	}
	loading := s.e.State().Loading
	if err := s.e.Order(o); err != nil {
		if o.Fence < s.e.State().Fence {
			return port.ErrFenced
		}
		return &port.StatusError{Status: 409}
	}
	if !loading && o.Kind == port.OrderLoadModel {
		s.loads++
	}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return port.ErrOutcomeUnknown
	}
	return nil
}

// world is one service with its engines, the platform's list, the weight store
// and the log's view of who owns the partition.
type world struct {
	t       *testing.T
	mu      sync.Mutex
	doc     *config.Document
	fencing string
	servers []*server
	epoch   uint64
	owner   string
	ordered time.Time // the last order that reached an engine
	bucket  kit.TokenBucket
	grants  int
	audited []*recordpb.Audit
}

// inWorld runs f with engines that check the fencing number, then with ones that
// ignore it. The engines hold version 1 of the model.
func inWorld(t *testing.T, f func(t *testing.T, w *world)) {
	for _, fencing := range []string{config.FencingChecked, config.FencingIgnored} {
		t.Run(fencing, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &world{t: t, fencing: fencing}
				w.configure("1")
				for range size {
					e := engine.New(engine.Options{Model: "m", Version: "1", LoadTime: kit.Duration(loadTime),
						CheckFence: fencing == config.FencingChecked}, engine.Faults{})
					t.Cleanup(e.Close)
					w.servers = append(w.servers, &server{world: w, e: e})
				}
				f(t, w)
			})
		})
	}
}

func (w *world) configure(version string) {
	doc, _, err := config.Parse(fmt.Sprintf(`
[services.s]
owner = "o"
kind = "model"
fencing = %q
max_order_ms = %d
[models.m]
owner = "o"
service = "s"
version = %q
weights_mib = 1000
[capacity.s]
owner = "o"
service = "s"
in_motion_share = 0.25
weight_store_mib_per_s = 500
`, w.fencing, maxOrder.Milliseconds(), version))
	if err != nil {
		w.t.Fatal(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.doc = doc
}

func (w *world) document() *config.Document { w.mu.Lock(); defer w.mu.Unlock(); return w.doc }

func (w *world) List(context.Context) (out port.Listing, _ error) {
	for i := range w.servers {
		out.Servers = append(out.Servers, port.ServerEntry{ID: fmt.Sprint(i), Service: "s", Address: fmt.Sprint(i)})
	}
	return out, nil
}

func (w *world) Reserve(context.Context, port.WeightRef) (port.Grant, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ok, wait := w.bucket.Take(time.Now(), 0.2, 1); !ok {
		return port.Grant{}, &port.StatusError{Status: 429, RetryAfter: wait}
	}
	w.grants++
	return port.Grant{}, nil
}

func (w *world) Record(a *recordpb.Audit) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.audited = append(w.audited, a)
}

func (w *world) count(kind string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.audited {
		if a.Kind == kind {
			n++
		}
	}
	return n
}

// view is one instance's view of the ownership. A stale one has not yet read the
// claim of another instance.
type view struct {
	*world
	name  string
	stale bool
}

func (v *view) Owned() []int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.owner == v.name || v.stale {
		return []int{Partition("s", partOf)}
	}
	return nil
}

func (v *view) Confirm(context.Context, int) (uint64, bool) {
	time.Sleep(50 * time.Millisecond)
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.epoch, v.owner == v.name
}

// claim has an instance that runs a duty become the owner.
func (w *world) claim(name string) *view {
	v := &view{world: w, name: name}
	w.mu.Lock()
	w.epoch, w.owner = w.epoch+10, name
	w.mu.Unlock()
	d := New(Options{Instance: name, Partitions: partOf, Owner: v, Document: w.document, Directory: w, Weights: w, Audit: w,
		NewEngine: func(address string) port.Engine { var i int; fmt.Sscan(address, &i); return w.servers[i] },
		Settings:  placement.DefaultSettings()})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { d.Run(ctx); close(done) }()
	w.t.Cleanup(func() { cancel(); <-done })
	return v
}

// step lets a second pass. It returns the number of servers with a version, and
// fails when too many are in motion.
func (w *world) step(version string) (with int) {
	w.t.Helper()
	time.Sleep(time.Second)
	moving := 0
	for _, s := range w.servers {
		st := s.e.State()
		if st.Loading {
			moving++
		} else if st.Model == "m" && st.Version == version {
			with++
		}
	}
	if moving > inMotion {
		w.t.Fatalf("%d servers are in motion, allowed are %d", moving, inMotion)
	}
	return with
}

// until steps until all servers have a version.
func (w *world) until(version string) {
	w.t.Helper()
	for start := time.Now(); w.step(version) < size; {
		if time.Since(start) > time.Hour {
			w.t.Fatalf("not all servers have version %s", version)
		}
	}
}

func (w *world) loads() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		n += s.loads
	}
	return n
}

// Guards against a new version that reaches all servers at once, weights that
// are fetched without a grant, and orders for a placement that is right.
func TestNewVersionArrivesInSteps(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.claim("a")
		for range 300 {
			w.step("1")
		}
		if n := w.loads(); n != 0 {
			t.Fatalf("%d loads although the servers hold what they should", n)
		}
		w.configure("2")
		reached := map[int]time.Time{}
		for with := 0; with < size; {
			with = w.step("2")
			if reached[with].IsZero() {
				reached[with] = time.Now()
			}
			if len(reached) > 2*size || time.Since(reached[0]) > time.Hour {
				t.Fatalf("%d servers have the new version", with)
			}
		}
		soak := placement.DefaultSettings().SoakTime
		for _, stage := range []int{1, 2, 4} {
			next := time.Time{}
			for n, at := range reached {
				if n > stage && (next.IsZero() || at.Before(next)) {
					next = at
				}
			}
			if reached[stage].IsZero() || next.Sub(reached[stage]) < soak {
				t.Errorf("more than %d servers had the new version %v after the step began", stage, next.Sub(reached[stage]))
			}
		}
		if w.loads() != size || w.grants < size {
			t.Errorf("%d loads with %d grants, want %d", w.loads(), w.grants, size)
		}
		if n := w.count("placement-order"); n < size {
			t.Errorf("%d orders in the audit trail", n)
		}
	})
}

// Guards against two owners that move more than the limit together, against a
// paused owner that orders after the claim of the next, and against a second load
// of what the first owner has begun.
func TestOwnerChangesInMidLoad(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		a := w.claim("a")
		w.step("1")
		w.configure("2")
		for w.loads() == 0 {
			w.step("2")
		}
		w.mu.Lock()
		a.stale = true
		w.mu.Unlock()
		claimed := time.Now()
		w.claim("b")
		quiet := placement.DefaultSettings().ConfirmationTTL + maxOrder
		for time.Since(claimed) < quiet {
			w.step("2")
			w.mu.Lock()
			if w.fencing == config.FencingIgnored && w.ordered.After(claimed.Add(placement.DefaultSettings().ConfirmationTTL)) {
				t.Fatalf("an order was sent %v after the claim", w.ordered.Sub(claimed))
			}
			w.mu.Unlock()
		}
		w.until("2")
		if n := w.loads(); n != size {
			t.Errorf("%d loads, want %d", n, size)
		}
		last := uint64(0)
		for i, s := range w.servers {
			last = 0
			for _, o := range s.orders {
				if o.Fence < last {
					t.Errorf("server %d got an order of the owner before after one of the new owner", i)
				}
				last = o.Fence
			}
		}
		if last != w.epoch {
			t.Errorf("the last order carries %d, want %d", last, w.epoch)
		}
	})
}

// Guards against an answer that is taken for the result: a lost answer is no
// reason to load again, and an order that never arrived is sent again.
func TestLostAnswers(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.claim("a")
		for range 200 {
			w.step("1")
		}
		for _, s := range w.servers[:4] {
			s.loseAnswers = 1
		}
		for _, s := range w.servers[4:] {
			s.dropOrders = 1
		}
		w.configure("2")
		w.until("2")
		for range 300 {
			w.step("2")
		}
		if n := w.loads(); n != size {
			t.Errorf("%d loads, want %d", n, size)
		}
	})
}

// Guards against a change without an order, for instance by a restart, that
// stays or is not in the audit trail.
func TestDriftIsCorrected(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.claim("a")
		for range 200 {
			w.step("1")
		}
		if w.count("placement-correction") != 0 {
			t.Fatal("a correction without a drift")
		}
		e := w.servers[3].e
		if err := e.Order(port.Order{ID: "x", Kind: port.OrderLoadModel, Fence: w.epoch, Model: "other", Version: "9"}); err != nil {
			t.Fatal(err)
		}
		for e.State().Version != "9" {
			w.step("1")
		}
		w.until("1")
		if n := w.count("placement-correction"); n != 1 {
			t.Errorf("%d corrections in the audit trail, want 1", n)
		}
	})
}

// Guards against a stand-in engine on which raising the fencing number, by an
// order that sets the role to what it is, changes anything else.
func TestSameRoleChangesNothing(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		e := w.servers[0].e
		before := e.State()
		if err := e.Order(port.Order{ID: "x", Kind: port.OrderSetRole, Fence: 7, Role: before.Role}); err != nil {
			t.Fatal(err)
		}
		after := e.State()
		if after.Loading || w.fencing == config.FencingChecked != (after.Fence == 7) {
			t.Errorf("state %+v after the order", after)
		}
		after.Fence = before.Fence
		if fmt.Sprint(after) != fmt.Sprint(before) {
			t.Errorf("state %+v, was %+v", after, before)
		}
	})
}
