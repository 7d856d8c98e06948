package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
)

const maxOrder = 60 * time.Second

func document(t interface{ Fatal(...any) }, fencing, version string, share, inMotion float64) *config.Document {
	doc, _, err := config.Parse(fmt.Sprintf(`
[services.s]
owner = "o"
kind = "model"
fencing = %q
max_order_ms = %d
[models.a]
owner = "o"
service = "s"
version = %q
adapters = ["x"]
prefill_replicas = 1
weights_mib = 1000
[models.b]
owner = "o"
service = "s"
version = "1"
weights_mib = 100
[adapters.x]
owner = "o"
model = "a"
version = "1"
replicas = 2
[capacity.s]
owner = "o"
service = "s"
server_shares = { a = %v, b = %v }
in_motion_share = %v
weight_store_mib_per_s = 500
`, fencing, maxOrder.Milliseconds(), version, share, 1-share, inMotion))
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

// engine simulates the engine of a backend server.
type engine struct {
	EngineState
	checksFence  bool
	changeEndsAt time.Time
	nextState    EngineState
	// changes counts the orders that started a change.
	changes int
}

func (e *engine) advance(now time.Time) {
	if e.Loading && !now.Before(e.changeEndsAt) {
		fence := e.Fence
		e.EngineState = e.nextState
		e.Fence = fence
	}
}

// order executes a received order, which takes the given time. The version "broken" fails
// to load.
func (e *engine) order(now time.Time, o Order, takes time.Duration) Outcome {
	e.advance(now)
	if e.checksFence {
		if o.Fence < e.Fence {
			return OutcomeFenced
		}
		e.Fence = o.Fence
	}
	if e.Loading {
		return OutcomeNoEffect
	}
	next := e.EngineState
	next.Adapters = slices.Clone(e.Adapters)
	switch o.Kind {
	case LoadModel:
		if e.Model == o.Model && e.Version == o.Version {
			return OutcomeAccepted
		}
		if o.Version != "broken" {
			next.Model, next.Version, next.Adapters = o.Model, o.Version, nil
		}
	case LoadAdapter:
		if !slices.Contains(next.Adapters, o.Adapter) {
			next.Adapters = append(next.Adapters, o.Adapter)
		}
	case UnloadAdapter:
		next.Adapters = slices.DeleteFunc(next.Adapters, func(a string) bool { return a == o.Adapter })
	case SetRole:
		if e.Role == o.Role {
			return OutcomeAccepted
		}
		next.Role = o.Role
	}
	e.nextState, e.changeEndsAt, e.Loading = next, now.Add(takes), true
	e.changes++
	return OutcomeAccepted
}

// fleet simulates planners and engines in steps of one second.
type fleet struct {
	now     time.Time
	rng     *rand.Rand
	engines []*engine
	doc     *config.Document
	// planners holds the planners of all owners. Those that are not paused run, but
	// only the ownership of the last one is confirmed.
	planners    []*Planner
	pausedUntil []time.Time
	// faulty enables lost and late orders, lost answers and failed reads.
	faulty bool
	// scheduled holds callbacks, which return whether their time has come and they ran.
	scheduled   []func() bool
	maxInMotion int
	halted      []RolloutHalted
}

func newFleet(n int, checksFence bool, seed uint64, doc *config.Document) *fleet {
	f := &fleet{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), doc: doc}
	for range n {
		f.engines = append(f.engines, &engine{checksFence: checksFence, EngineState: EngineState{Role: RoleBoth}})
	}
	f.startOwner()
	return f
}

func (f *fleet) startOwner() {
	p := New(DefaultSettings(), "s", uint64(len(f.planners)+1), f.now)
	var servers []Server
	for i := range f.engines {
		servers = append(servers, Server{ID: fmt.Sprint(i)})
	}
	p.SetServers(servers)
	f.planners, f.pausedUntil = append(f.planners, p), append(f.pausedUntil, f.now)
}

func (f *fleet) schedule(d time.Duration, run func()) {
	when := f.now.Add(d)
	f.scheduled = append(f.scheduled, func() bool {
		if f.now.Before(when) {
			return false
		}
		run()
		return true
	})
}

func (f *fleet) chance(percent int) bool { return f.faulty && f.rng.IntN(100) < percent }

func (f *fleet) apply(p *Planner, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case ReadState:
			var i int
			fmt.Sscan(a.Server, &i)
			requestedAt := f.now
			f.engines[i].advance(f.now)
			st := f.engines[i].EngineState
			st.Adapters = slices.Clone(st.Adapters)
			if f.chance(10) {
				p.HandleReadFailure(a.Server)
				continue
			}
			f.schedule(time.Duration(f.rng.IntN(3))*time.Second, func() { p.HandleState(a.Server, requestedAt, st) })
		case SendOrder:
			f.send(p, a)
		case RolloutHalted:
			f.halted = append(f.halted, a)
		}
	}
}

// send delivers an order and its answer. With faults, the order can be late or lost and
// the answer lost. The time from sending to completion is less than maxOrder.
func (f *fleet) send(p *Planner, a SendOrder) {
	var i int
	fmt.Sscan(a.Server, &i)
	if f.chance(10) {
		return
	}
	wait := time.Duration(0)
	if f.chance(30) {
		wait = time.Duration(f.rng.IntN(35)) * time.Second
	}
	takes := time.Duration(5+f.rng.IntN(15)) * time.Second
	f.schedule(wait, func() {
		outcome := f.engines[i].order(f.now, a.Order, takes)
		if !f.chance(30) {
			f.apply(p, p.HandleOutcome(f.now, a.Server, a.Order.ID, outcome))
		}
	})
}

func (f *fleet) step() {
	f.now = f.now.Add(time.Second)
	for i := 0; i < len(f.scheduled); i++ {
		if f.scheduled[i]() {
			f.scheduled = slices.Delete(f.scheduled, i, i+1)
			i--
		}
	}
	for i, p := range f.planners {
		if f.now.Before(f.pausedUntil[i]) {
			continue
		}
		p.SetDocument(f.doc)
		if i == len(f.planners)-1 {
			p.ConfirmOwnership(f.now)
		}
		f.apply(p, p.Plan(f.now))
	}
	moving := 0
	for _, e := range f.engines {
		e.advance(f.now)
		if e.Loading {
			moving++
		}
	}
	f.maxInMotion = max(f.maxInMotion, moving)
}

// converged reports whether the engines hold what the configuration requires.
func (f *fleet) converged(version string, a int) bool {
	count := map[string]int{}
	adapters, prefill := 0, 0
	for _, e := range f.engines {
		count[e.Model+" "+e.Version]++
		adapters += len(e.Adapters)
		if e.Role == RolePrefill {
			prefill++
		}
		if e.Loading || e.Model == "b" && (e.Role != RoleBoth || len(e.Adapters) > 0) {
			return false
		}
	}
	return count["a "+version] == a && count["b 1"] == len(f.engines)-a && adapters == min(2, a) && prefill == min(1, a)
}

// Guards against more servers in motion than the configuration allows, and against a
// placement that does not converge. Orders and answers are lost, orders arrive late,
// owners pause, resume and change during loads, and engines check or ignore the
// fencing number.
func TestMotionIsBoundedAndPlacementConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "servers")
		checksFence := rapid.Bool().Draw(t, "checks")
		fencing := config.FencingIgnored
		if checksFence {
			fencing = config.FencingChecked
		}
		inMotion := float64(rapid.IntRange(1, 5).Draw(t, "share")) / 10
		f := newFleet(n, checksFence, rapid.Uint64().Draw(t, "seed"), document(t, fencing, "1", 0.5, inMotion))
		limit := MaxInMotion(inMotion, n)
		version, share := "1", 0.5
		f.faulty = true
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				version = fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "version"))
				share = float64(rapid.IntRange(1, 9).Draw(t, "a")) / 10
				f.doc = document(t, fencing, version, share, inMotion)
			case 1:
				f.startOwner()
			case 2:
				last := len(f.planners) - 1
				f.pausedUntil[last] = f.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "pause")) * time.Second)
				f.startOwner()
			case 3:
				e := f.engines[rapid.IntRange(0, n-1).Draw(t, "drift")]
				if !e.Loading {
					e.Model, e.Version, e.Adapters = "other", "9", nil
				}
			}
			for range rapid.IntRange(1, 120).Draw(t, "seconds") {
				f.step()
				if f.maxInMotion > limit {
					t.Fatalf("%d of %d servers are in motion, allowed are %d", f.maxInMotion, n, limit)
				}
			}
		}
		f.faulty = false
		a := serverQuotas(f.doc, "s", n)["a"]
		start := f.now
		// An order for an earlier configuration can still take effect for maxOrder.
		for convergedSince := f.now; f.now.Sub(convergedSince) <= maxOrder; {
			f.step()
			if !f.converged(version, a) {
				convergedSince = f.now
			}
			if f.maxInMotion > limit {
				t.Fatalf("%d of %d servers are in motion, allowed are %d", f.maxInMotion, n, limit)
			}
			if f.now.Sub(start) > 4*time.Hour {
				t.Fatalf("not converged after %v: %+v", f.now.Sub(start), f.engines)
			}
		}
		// A placement that has converged does not change.
		changes := 0
		for _, e := range f.engines {
			changes -= e.changes
		}
		for range 300 {
			f.step()
		}
		for _, e := range f.engines {
			changes += e.changes
		}
		if changes != 0 {
			t.Fatalf("%d changes after the placement converged, want none", changes)
		}
	})
}

// Guards against a faulty version that is rolled out to more servers, or that is not
// replaced by the previous version.
func TestVersionsGoInStepsAndReturn(t *testing.T) {
	for _, cause := range []string{"broken", "fault"} {
		f := newFleet(12, true, 1, document(t, config.FencingChecked, "1", 1, 0.5))
		for !f.converged("1", 12) {
			f.step()
		}
		version := map[string]string{"broken": "broken", "fault": "2"}[cause]
		f.doc = document(t, config.FencingChecked, version, 1, 0.5)
		maxWithNew := 0
		for i := range 1200 {
			f.step()
			withNew := 0
			for _, e := range f.engines {
				if e.Version == "2" {
					withNew++
				}
			}
			maxWithNew = max(maxWithNew, withNew)
			if limit := map[bool]int{true: 1, false: 12}[i < 60]; withNew > limit {
				t.Fatalf("%s: %d servers have the new version after %d s", cause, withNew, i)
			}
			if cause == "fault" && withNew == 3 && len(f.halted) == 0 {
				f.apply(f.planners[0], f.planners[0].ReportFault("a", "2", "more failures"))
			}
		}
		if len(f.halted) != 1 || f.halted[0].PreviousVersion != "1" || !f.converged("1", 12) {
			t.Errorf("%s: halts %v, converged to version 1: %v, want one halt and true", cause, f.halted, f.converged("1", 12))
		}
		if maxWithNew > 3 {
			t.Errorf("%s: %d servers had the faulty version, want at most 3", cause, maxWithNew)
		}
		f.doc = document(t, config.FencingChecked, "3", 1, 0.5)
		start := f.now
		for !f.converged("3", 12) && f.now.Sub(start) < time.Hour {
			f.step()
		}
		if !f.converged("3", 12) {
			t.Errorf("%s: the next version was not rolled out within 1 h", cause)
		}
	}
}
