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
	loadTime     = 20 * time.Second
	maxOrderTime = 60 * time.Second
	partitions   = 64
	maxInMotion  = 2 // the in_motion_share of 0.25 of serverCount
	serverCount  = 8
)

// server is a stand-in engine that is called directly, without HTTP, in virtual time.
type server struct {
	port.Engine
	*testFleet
	e *engine.Engine
	// The next dropOrders orders are lost. After them, the answers to the next
	// loseAnswers orders are lost, although the orders take effect.
	loseAnswers, dropOrders int
	loads                   int // orders that started a load of a model
	orders                  []port.Order
}

func (s *server) State(context.Context) (port.EngineState, error) { return s.e.State(), nil }

func (s *server) Order(_ context.Context, o port.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, o)
	s.lastOrderAt = time.Now()
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

// testFleet simulates one service: its engines, the platform's list, the weight store and
// the ownership of the partition.
type testFleet struct {
	t           *testing.T
	mu          sync.Mutex
	doc         *config.Document
	fencing     string
	servers     []*server
	epoch       uint64
	owner       string
	lastOrderAt time.Time // when an order last reached an engine
	bucket      kit.TokenBucket
	grants      int
	audited     []*recordpb.Audit
}

// forEachFencing runs f once with engines that check the fencing number and once with
// engines that ignore it. The engines hold version 1 of the model.
func forEachFencing(t *testing.T, f func(t *testing.T, fleet *testFleet)) {
	for _, fencing := range []string{config.FencingChecked, config.FencingIgnored} {
		t.Run(fencing, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := &testFleet{t: t, fencing: fencing}
				fleet.configure("1")
				for range serverCount {
					e := engine.New(engine.Options{Model: "m", Version: "1", LoadTime: kit.Duration(loadTime),
						CheckFence: fencing == config.FencingChecked}, engine.Faults{})
					t.Cleanup(e.Close)
					fleet.servers = append(fleet.servers, &server{testFleet: fleet, e: e})
				}
				f(t, fleet)
			})
		})
	}
}

func (fleet *testFleet) configure(version string) {
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
`, fleet.fencing, maxOrderTime.Milliseconds(), version))
	if err != nil {
		fleet.t.Fatal(err)
	}
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.doc = doc
}

func (fleet *testFleet) document() *config.Document {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.doc
}

func (fleet *testFleet) List(context.Context) (out port.Listing, _ error) {
	for i := range fleet.servers {
		out.Servers = append(out.Servers, port.ServerEntry{ID: fmt.Sprint(i), Service: "s", Address: fmt.Sprint(i)})
	}
	return out, nil
}

func (fleet *testFleet) Reserve(context.Context, port.WeightRef) (port.Grant, error) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if ok, wait := fleet.bucket.Take(time.Now(), 0.2, 1); !ok {
		return port.Grant{}, &port.StatusError{Status: 429, RetryAfter: wait}
	}
	fleet.grants++
	return port.Grant{}, nil
}

func (fleet *testFleet) Record(a *recordpb.Audit) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.audited = append(fleet.audited, a)
}

func (fleet *testFleet) countAudited(kind string) (n int) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for _, a := range fleet.audited {
		if a.Kind == kind {
			n++
		}
	}
	return n
}

// view is one instance's view of the ownership. A stale view does not include the claim
// of another instance yet.
type view struct {
	*testFleet
	name  string
	stale bool
}

func (v *view) Owned() []int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.owner == v.name || v.stale {
		return []int{Partition("s", partitions)}
	}
	return nil
}

func (v *view) Confirm(context.Context, int) (uint64, bool) {
	time.Sleep(50 * time.Millisecond)
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.epoch, v.owner == v.name
}

// startOwner starts the Controller of a new instance and makes this instance the owner of
// the partition, with a higher epoch.
func (fleet *testFleet) startOwner(name string) *view {
	v := &view{testFleet: fleet, name: name}
	fleet.mu.Lock()
	fleet.epoch, fleet.owner = fleet.epoch+10, name
	fleet.mu.Unlock()
	c := New(Options{Instance: name, Partitions: partitions, Owner: v, Document: fleet.document, Directory: fleet, Weights: fleet, Audit: fleet,
		NewEngine: func(address string) port.Engine { var i int; fmt.Sscan(address, &i); return fleet.servers[i] },
		Settings:  placement.DefaultSettings()})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	fleet.t.Cleanup(func() { cancel(); <-done })
	return v
}

// advance advances the time by one second. It returns the number of servers that hold the
// given version, and fails the test if too many servers are loading.
func (fleet *testFleet) advance(version string) (count int) {
	fleet.t.Helper()
	time.Sleep(time.Second)
	moving := 0
	for _, s := range fleet.servers {
		st := s.e.State()
		if st.Loading {
			moving++
		} else if st.Model == "m" && st.Version == version {
			count++
		}
	}
	if moving > maxInMotion {
		fleet.t.Fatalf("%d servers are in motion, allowed are %d", moving, maxInMotion)
	}
	return count
}

// awaitVersion advances the time until all servers hold a version.
func (fleet *testFleet) awaitVersion(version string) {
	fleet.t.Helper()
	for start := time.Now(); fleet.advance(version) < serverCount; {
		if time.Since(start) > time.Hour {
			fleet.t.Fatalf("not all servers have version %s", version)
		}
	}
}

func (fleet *testFleet) loads() (n int) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for _, s := range fleet.servers {
		n += s.loads
	}
	return n
}

// Guards against a rollout to all servers at once, weights that are fetched without a
// reservation, and orders although the servers hold what is configured.
func TestRolloutInStages(t *testing.T) {
	forEachFencing(t, func(t *testing.T, fleet *testFleet) {
		fleet.startOwner("a")
		for range 300 {
			fleet.advance("1")
		}
		if n := fleet.loads(); n != 0 {
			t.Fatalf("%d loads although the servers hold what is configured", n)
		}
		fleet.configure("2")
		reached := map[int]time.Time{} // when each number of updated servers was first seen
		for updated := 0; updated < serverCount; {
			updated = fleet.advance("2")
			if reached[updated].IsZero() {
				reached[updated] = time.Now()
			}
			if len(reached) > 2*serverCount || time.Since(reached[0]) > time.Hour {
				t.Fatalf("%d servers have the new version", updated)
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
				t.Errorf("more than %d servers had the new version %v after the stage began", stage, next.Sub(reached[stage]))
			}
		}
		if fleet.loads() != serverCount || fleet.grants < serverCount {
			t.Errorf("%d loads with %d grants, want %d", fleet.loads(), fleet.grants, serverCount)
		}
		if n := fleet.countAudited("placement-order"); n < serverCount {
			t.Errorf("%d orders in the audit trail", n)
		}
	})
}

// Guards against two owners that together exceed the limit of servers in motion, a
// paused owner that sends orders after the claim of its successor, and a successor that
// repeats a load that the first owner has started.
func TestOwnerChangeDuringLoad(t *testing.T) {
	forEachFencing(t, func(t *testing.T, fleet *testFleet) {
		a := fleet.startOwner("a")
		fleet.advance("1")
		fleet.configure("2")
		for fleet.loads() == 0 {
			fleet.advance("2")
		}
		fleet.mu.Lock()
		a.stale = true
		fleet.mu.Unlock()
		claimed := time.Now()
		fleet.startOwner("b")
		quiet := placement.DefaultSettings().ConfirmationTTL + maxOrderTime
		for time.Since(claimed) < quiet {
			fleet.advance("2")
			fleet.mu.Lock()
			if fleet.fencing == config.FencingIgnored && fleet.lastOrderAt.After(claimed.Add(placement.DefaultSettings().ConfirmationTTL)) {
				t.Fatalf("an order was sent %v after the claim", fleet.lastOrderAt.Sub(claimed))
			}
			fleet.mu.Unlock()
		}
		fleet.awaitVersion("2")
		if n := fleet.loads(); n != serverCount {
			t.Errorf("%d loads, want %d", n, serverCount)
		}
		last := uint64(0)
		for i, s := range fleet.servers {
			last = 0
			for _, o := range s.orders {
				if o.Fence < last {
					t.Errorf("server %d got an order of the previous owner after one of the new owner", i)
				}
				last = o.Fence
			}
		}
		if last != fleet.epoch {
			t.Errorf("the last order has fencing number %d, want %d", last, fleet.epoch)
		}
	})
}

// Guards against a planner that relies on the answers to orders: if an answer is lost,
// the load must not be repeated, and if the order is lost, it must be sent again.
func TestLostAnswers(t *testing.T) {
	forEachFencing(t, func(t *testing.T, fleet *testFleet) {
		fleet.startOwner("a")
		for range 200 {
			fleet.advance("1")
		}
		for _, s := range fleet.servers[:4] {
			s.loseAnswers = 1
		}
		for _, s := range fleet.servers[4:] {
			s.dropOrders = 1
		}
		fleet.configure("2")
		fleet.awaitVersion("2")
		for range 300 {
			fleet.advance("2")
		}
		if n := fleet.loads(); n != serverCount {
			t.Errorf("%d loads, want %d", n, serverCount)
		}
	})
}

// Guards against a change without an order, for example after a restart of an engine,
// that is not corrected or not recorded in the audit trail.
func TestDriftIsCorrected(t *testing.T) {
	forEachFencing(t, func(t *testing.T, fleet *testFleet) {
		fleet.startOwner("a")
		for range 200 {
			fleet.advance("1")
		}
		if fleet.countAudited("placement-correction") != 0 {
			t.Fatal("a correction without a drift")
		}
		e := fleet.servers[3].e
		if err := e.Order(port.Order{ID: "x", Kind: port.OrderLoadModel, Fence: fleet.epoch, Model: "other", Version: "9"}); err != nil {
			t.Fatal(err)
		}
		for e.State().Version != "9" {
			fleet.advance("1")
		}
		fleet.awaitVersion("1")
		if n := fleet.countAudited("placement-correction"); n != 1 {
			t.Errorf("%d corrections in the audit trail, want 1", n)
		}
	})
}

// Guards against a stand-in engine on which an order that sets the current role again,
// to raise the fencing number, changes anything else.
func TestSameRoleChangesNothing(t *testing.T) {
	forEachFencing(t, func(t *testing.T, fleet *testFleet) {
		e := fleet.servers[0].e
		before := e.State()
		if err := e.Order(port.Order{ID: "x", Kind: port.OrderSetRole, Fence: 7, Role: before.Role}); err != nil {
			t.Fatal(err)
		}
		after := e.State()
		if after.Loading || fleet.fencing == config.FencingChecked != (after.Fence == 7) {
			t.Errorf("state %+v after the order", after)
		}
		after.Fence = before.Fence
		if fmt.Sprint(after) != fmt.Sprint(before) {
			t.Errorf("state %+v, was %+v", after, before)
		}
	})
}
