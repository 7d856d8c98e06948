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

// target is a server of the runner's service.
type target struct {
	engine  port.Engine
	leaving bool
}

// runner controls the placement of one service in one epoch of its partition.
type runner struct {
	opts      Options
	service   string
	partition int
	ctx       context.Context
	cancel    context.CancelFunc
	done      atomic.Bool
	// events are functions that the goroutine of run calls one after another. post
	// waits until a function is received or ctx ends.
	events  chan func()
	workers conc.WaitGroup
	targets atomic.Pointer[map[string]target]
	// confirmedAt is the time, in Unix nanoseconds, just before the append of the newest
	// record that was read back. Orders are sent for ConfirmationTTL after it.
	confirmedAt atomic.Int64

	// The fields below belong to the goroutine of run.
	confirming    bool // a confirmation of the ownership is in progress
	nextConfirmAt time.Time
	epoch         uint64
	planner       *placement.Planner // nil until the first confirmation
	lastCounters  placement.Counters // as of the last publishCounters
	observed      map[string]*observation
}

func newRunner(ctx context.Context, o Options, service string, partition int) *runner {
	r := &runner{opts: o, service: service, partition: partition, events: make(chan func()), observed: map[string]*observation{}}
	r.ctx, r.cancel = context.WithCancel(ctx)
	return r
}

func (r *runner) ended() bool { return r.done.Load() }

func (r *runner) setTargets(t map[string]target) { r.targets.Store(&t) }

// run controls the placement until the runner is cancelled or the epoch has changed.
func (r *runner) run() {
	defer r.done.Store(true)
	defer r.workers.Wait()
	defer r.cancel()
	tick := time.NewTicker(planInterval)
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

// post makes the runner's goroutine call f.
func (r *runner) post(f func()) {
	select {
	case r.events <- f:
	case <-r.ctx.Done():
	}
}

// step starts a confirmation of the ownership if one is due, and plans.
func (r *runner) step(now time.Time) {
	if r.ctx.Err() != nil {
		return
	}
	if !r.confirming && !now.Before(r.nextConfirmAt) {
		// With half of the TTL, a lost append can be repeated once before the
		// confirmation expires.
		r.confirming, r.nextConfirmAt = true, now.Add(r.opts.Settings.ConfirmationTTL/2)
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
	r.execute(now, r.planner.Plan(now))
}

// confirm checks that this instance still owned the partition at the given time. The
// first success starts the planner; a changed epoch ends the runner.
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
			klog.InfoS("placement started", "service", r.service, "partition", r.partition, "epoch", epoch)
		case epoch != r.epoch:
			klog.InfoS("placement stopped, the partition has a new epoch", "service", r.service, "epoch", r.epoch, "new", epoch)
			r.cancel()
			return
		}
		r.confirmedAt.Store(at.UnixNano())
		r.planner.ConfirmOwnership(at)
	})
}

// execute performs the actions that the planner has returned.
func (r *runner) execute(now time.Time, actions []placement.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case placement.ReadState:
			if t, ok := (*r.targets.Load())[a.Server]; ok {
				r.workers.Go(func() { r.readState(a.Server, t.engine) })
			}
		case placement.SendOrder:
			r.auditOrder(a)
			if t, ok := (*r.targets.Load())[a.Server]; ok {
				r.workers.Go(func() { r.runOrder(now, a, t.engine) })
			}
		case placement.RolloutHalted:
			klog.InfoS("rollout halted", "service", r.service, "model", a.Model, "version", a.Version, "back", a.PreviousVersion, "reason", a.Reason)
			r.audit("placement-halted", "", a.Reason, a.Model+" "+a.Version, a.Model+" "+a.PreviousVersion)
		case placement.StepDown:
			klog.InfoS("placement stopped, an engine has accepted an order of a newer owner", "service", r.service, "server", a.Server, "epoch", r.epoch)
		}
	}
	r.publishCounters()
}

// publishCounters adds the increase of the planner's counters since the last call to
// counters.
func (r *runner) publishCounters() {
	c, last := r.planner.Counters(), r.lastCounters
	r.lastCounters = c
	for name, n := range map[string]uint64{"orders": c.Orders - last.Orders, "reissued": c.Reissued - last.Reissued,
		"failed": c.Failed - last.Failed, "succeeded": c.Succeeded - last.Succeeded, "fenced": c.Fenced - last.Fenced,
		"halts": c.Halts - last.Halts} {
		counters.Add(name, int64(n))
	}
}

// readState reads an engine's state and passes it to the planner.
func (r *runner) readState(id string, engine port.Engine) {
	ctx, cancel := context.WithTimeout(r.ctx, stateTimeout)
	defer cancel()
	requestedAt := time.Now()
	st, err := engine.State(ctx)
	r.post(func() {
		if err != nil {
			counters.Add("reads_failed", 1)
			r.planner.HandleReadFailure(id)
			return
		}
		s := stateOf(st)
		r.observe(id, s)
		r.planner.HandleState(id, requestedAt, s)
	})
}

func stateOf(st port.EngineState) placement.EngineState {
	return placement.EngineState{Model: st.Model, Version: st.Version, Adapters: st.Adapters, Role: string(st.Role), Loading: st.Loading, Fence: st.Fence}
}

// runOrder sends one order, which was planned at plannedAt, and passes the outcome to
// the planner.
func (r *runner) runOrder(plannedAt time.Time, a placement.SendOrder, engine port.Engine) {
	outcome := r.sendOrder(plannedAt, a, engine)
	r.post(func() {
		now := time.Now()
		r.execute(now, r.planner.HandleOutcome(now, a.Server, a.Order.ID, outcome))
	})
}

func (r *runner) sendOrder(plannedAt time.Time, a placement.SendOrder, engine port.Engine) placement.Outcome {
	sendDeadline := plannedAt.Add(r.opts.Settings.SendTimeout)
	if a.WeightsMiB > 0 {
		ctx, cancel := context.WithDeadline(r.ctx, sendDeadline)
		_, err := r.opts.Weights.Reserve(ctx, port.WeightRef{Model: a.Order.Model, Version: a.Order.Version, Adapter: a.Order.Adapter})
		cancel()
		if err != nil {
			counters.Add("reservations_refused", 1)
			return placement.OutcomeNoEffect
		}
	}
	// If the process was paused before this point, the order may be too late to send:
	// the planner counts the time of an order from the plan, and a new owner counts
	// that of earlier orders from the last confirmation.
	confirmedUntil := time.Unix(0, r.confirmedAt.Load()).Add(r.opts.Settings.ConfirmationTTL)
	if now := time.Now(); r.ctx.Err() != nil || !now.Before(sendDeadline) || !now.Before(confirmedUntil) {
		counters.Add("not_sent", 1)
		return placement.OutcomeNoEffect
	}
	ctx, cancel := context.WithDeadline(r.ctx, confirmedUntil)
	defer cancel()
	o := a.Order
	return outcomeOf(engine.Order(ctx, port.Order{ID: o.ID, Kind: port.OrderKind(o.Kind), Fence: o.Fence, Model: o.Model,
		Version: o.Version, Adapter: o.Adapter, Role: port.Role(o.Role)}))
}

// outcomeOf converts the result of sending an order to an outcome. After a 5xx status the
// engine may have started to execute the order, so its outcome is unknown.
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
