package placement

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/placement"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// target is a server that a runner places on.
type target struct {
	engine  port.Engine
	leaving bool
}

// runner places one service under one epoch.
type runner struct {
	opts      Options
	service   string
	partition int
	ctx       context.Context
	cancel    context.CancelFunc
	done      atomic.Bool
	// events are run by the goroutine of run, one after the other; the senders
	// wait for it or for the end of ctx.
	events  chan func()
	workers conc.WaitGroup
	targets atomic.Pointer[map[string]target]
	// confirmed is the time, in Unix nanoseconds, before the append of the newest
	// record that was read back.
	confirmed  atomic.Int64
	confirming bool
	nextTry    time.Time

	epoch   uint64
	planner *placement.Planner
	counted placement.Counters
	drift   map[string]*history
}

func newRunner(ctx context.Context, o Options, service string, partition int) *runner {
	r := &runner{opts: o, service: service, partition: partition, events: make(chan func()), drift: map[string]*history{}}
	r.ctx, r.cancel = context.WithCancel(ctx)
	return r
}

func (r *runner) ended() bool { return r.done.Load() }

func (r *runner) setServers(t map[string]target) { r.targets.Store(&t) }

// run places until the runner is cancelled or the epoch has changed.
func (r *runner) run() {
	defer r.done.Store(true)
	defer r.workers.Wait()
	defer r.cancel()
	tick := time.NewTicker(planEvery)
	defer tick.Stop()
	r.step(time.Now())
	for {
		select {
		case f := <-r.events:
			f()
		case <-tick.C:
			r.step(time.Now())
		case <-r.ctx.Done():
			return
		}
	}
}

// post has f run by the runner's goroutine.
func (r *runner) post(f func()) {
	select {
	case r.events <- f:
	case <-r.ctx.Done():
	}
}

// step confirms the ownership when it is due and plans.
func (r *runner) step(now time.Time) {
	if r.ctx.Err() != nil {
		return
	}
	if !r.confirming && !now.Before(r.nextTry) {
		// Half of the time leaves a lost append one repetition.
		r.confirming, r.nextTry = true, now.Add(r.opts.Settings.ConfirmationTTL/2)
		r.workers.Go(func() { r.confirm(now) })
	}
	targets := r.targets.Load()
	if r.planner == nil || targets == nil {
		return
	}
	r.planner.SetDocument(r.opts.Document())
	list := make([]placement.Server, 0, len(*targets))
	for id, t := range *targets {
		list = append(list, placement.Server{ID: id, Leaving: t.leaving})
	}
	r.planner.SetServers(list)
	r.do(now, r.planner.Plan(now))
}

// confirm proves the ownership as of at.
func (r *runner) confirm(at time.Time) {
	ctx, cancel := context.WithTimeout(r.ctx, r.opts.Settings.ConfirmationTTL)
	defer cancel()
	epoch, held := r.opts.Owner.Confirm(ctx, r.partition)
	r.post(func() {
		r.confirming = false
		switch {
		case !held:
			return
		case r.planner == nil:
			r.epoch, r.planner = epoch, placement.New(r.opts.Settings, r.service, epoch, time.Now())
			klog.InfoS("Placement begins", "service", r.service, "partition", r.partition, "epoch", epoch)
		case epoch != r.epoch:
			klog.InfoS("Placement ends, the partition was claimed anew", "service", r.service, "epoch", r.epoch, "new", epoch)
			r.cancel()
			return
		}
		r.confirmed.Store(at.UnixNano())
		r.planner.ConfirmOwnership(at)
	})
}

// do carries out what the planner asks for.
func (r *runner) do(now time.Time, actions []placement.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case placement.ReadState:
			if t, ok := (*r.targets.Load())[a.Server]; ok {
				r.workers.Go(func() { r.read(a.Server, t.engine) })
			}
		case placement.SendOrder:
			r.auditOrder(a)
			if t, ok := (*r.targets.Load())[a.Server]; ok {
				r.workers.Go(func() { r.send(now, a, t.engine) })
			}
		case placement.RolloutHalted:
			klog.InfoS("Version change halted", "service", r.service, "model", a.Model, "version", a.Version, "back", a.PreviousVersion, "reason", a.Reason)
			r.audit("placement-halted", "", a.Reason, a.Model+" "+a.Version, a.Model+" "+a.PreviousVersion)
		case placement.StepDown:
			klog.InfoS("Placement stops, an engine knows a newer owner", "service", r.service, "server", a.Server, "epoch", r.epoch)
		}
	}
	r.count()
}

// count publishes what the planner has counted since the last time.
func (r *runner) count() {
	c, last := r.planner.Counters(), r.counted
	r.counted = c
	for name, n := range map[string]uint64{"orders": c.Orders - last.Orders, "reissued": c.Reissued - last.Reissued,
		"failed": c.Failed - last.Failed, "succeeded": c.Succeeded - last.Succeeded, "fenced": c.Fenced - last.Fenced,
		"halts": c.Halts - last.Halts} {
		counters.Add(name, int64(n))
	}
}

// read reads an engine's state.
func (r *runner) read(id string, engine port.Engine) {
	ctx, cancel := context.WithTimeout(r.ctx, readTimeout)
	defer cancel()
	asked := time.Now()
	st, err := engine.State(ctx)
	r.post(func() {
		if err != nil {
			counters.Add("reads_failed", 1)
			r.planner.HandleReadFailure(id)
			return
		}
		s := stateOf(st)
		r.observe(id, s)
		r.planner.HandleState(id, asked, s)
	})
}

func stateOf(st port.EngineState) placement.EngineState {
	return placement.EngineState{Model: st.Model, Version: st.Version, Adapters: st.Adapters, Role: string(st.Role), Loading: st.Loading, Fence: st.Fence}
}

// send sends one order that was planned at a time, and hands over its outcome.
func (r *runner) send(planned time.Time, a placement.SendOrder, engine port.Engine) {
	outcome := r.order(planned, a, engine)
	r.post(func() {
		now := time.Now()
		r.do(now, r.planner.HandleOutcome(now, a.Server, a.Order.ID, outcome))
	})
}

func (r *runner) order(planned time.Time, a placement.SendOrder, engine port.Engine) placement.Outcome {
	within := planned.Add(r.opts.Settings.SendTimeout)
	if a.WeightsMiB > 0 {
		ctx, cancel := context.WithDeadline(r.ctx, within)
		_, err := r.opts.Weights.Reserve(ctx, port.WeightRef{Model: a.Order.Model, Version: a.Order.Version, Adapter: a.Order.Adapter})
		cancel()
		if err != nil {
			counters.Add("reservations_refused", 1)
			return placement.OutcomeNoEffect
		}
	}
	// A process that was paused up to here sends nothing: the planner and a
	// successor count from the plan and from the confirmation.
	until := time.Unix(0, r.confirmed.Load()).Add(r.opts.Settings.ConfirmationTTL)
	if now := time.Now(); r.ctx.Err() != nil || !now.Before(within) || !now.Before(until) {
		counters.Add("not_sent", 1)
		return placement.OutcomeNoEffect
	}
	ctx, cancel := context.WithDeadline(r.ctx, until)
	defer cancel()
	o := a.Order
	return outcomeOf(engine.Order(ctx, port.Order{ID: o.ID, Kind: port.OrderKind(o.Kind), Fence: o.Fence, Model: o.Model,
		Version: o.Version, Adapter: o.Adapter, Role: port.Role(o.Role)}))
}

// outcomeOf translates the answer of an engine. An engine that refuses with a
// status of the class 5xx may have begun.
func outcomeOf(err error) placement.Outcome {
	status, refused := errors.AsType[*port.StatusError](err)
	switch {
	case err == nil:
		return placement.OutcomeAccepted
	case errors.Is(err, port.ErrFenced):
		return placement.OutcomeFenced
	case errors.Is(err, port.ErrOutcomeUnknown):
		return placement.OutcomeUnknown
	case errors.Is(err, port.ErrUnavailable), refused && status.Status/100 == 4:
		return placement.OutcomeNoEffect
	}
	return placement.OutcomeUnknown
}
