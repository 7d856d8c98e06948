package placement

import (
	"fmt"
	"slices"
	"strings"

	"github.com/jacinthnotch/jacinthnotch/domain/placement"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// observation is the last state of a server that was read. From it the runner detects
// drift, which is a change that no order has caused, so that the order that corrects a
// drift can be recorded as a correction.
type observation struct {
	state placement.EngineState
	// pendingOrder is the order whose result has not been read yet, or nil.
	pendingOrder *placement.Order
	drifted      bool
}

// observe records a state that was read and detects drift. It ignores the state of an
// engine that is loading.
func (r *runner) observe(id string, st placement.EngineState) {
	if st.Loading {
		return
	}
	seen := r.observed[id]
	if seen == nil {
		seen = &observation{state: st}
		r.observed[id] = seen
		return
	}
	same := sameContents(seen.state, st)
	switch {
	case seen.pendingOrder != nil && sameContents(stateAfter(seen.state, *seen.pendingOrder), st):
		seen.pendingOrder = nil
	case seen.pendingOrder == nil && !same:
		seen.drifted = true
		counters.Add("drifts", 1)
	}
	seen.state = st
}

func sameContents(a, b placement.EngineState) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role &&
		slices.Equal(slices.Sorted(slices.Values(a.Adapters)), slices.Sorted(slices.Values(b.Adapters)))
}

// stateAfter returns the state that results from an order.
func stateAfter(st placement.EngineState, o placement.Order) placement.EngineState {
	switch o.Kind {
	case placement.LoadModel:
		st.Model, st.Version, st.Adapters = o.Model, o.Version, nil
	case placement.LoadAdapter:
		st.Adapters = append(slices.Clone(st.Adapters), o.Adapter)
	case placement.UnloadAdapter:
		st.Adapters = slices.DeleteFunc(slices.Clone(st.Adapters), func(a string) bool { return a == o.Adapter })
	case placement.SetRole:
		st.Role = o.Role
	}
	return st
}

// auditOrder records an order in the audit trail. The first order after a drift is
// recorded as a correction.
func (r *runner) auditOrder(a placement.SendOrder) {
	seen := r.observed[a.Server]
	if seen == nil {
		seen = &observation{}
		r.observed[a.Server] = seen
	}
	kind := "placement-order"
	if seen.drifted {
		kind, seen.drifted = "placement-correction", false
		counters.Add("corrections", 1)
	}
	order := a.Order
	seen.pendingOrder = &order
	r.audit(kind, a.Server, a.Reason, describe(seen.state), describeOrder(order))
}

func describe(st placement.EngineState) string {
	return strings.TrimSpace(fmt.Sprintf("%s %s %s %s", st.Model, st.Version, st.Role, strings.Join(st.Adapters, ",")))
}

func describeOrder(o placement.Order) string {
	parts := []string{o.Kind}
	for _, p := range []string{o.Model, o.Version, o.Adapter, o.Role} {
		if p != "" {
			parts = append(parts, p)
		}
	}
	return fmt.Sprintf("%s (fencing number %d, order %s)", strings.Join(parts, " "), o.Fence, o.ID)
}

func (r *runner) audit(kind, server, cause, before, after string) {
	if r.opts.Audit != nil {
		r.opts.Audit.Record(&recordpb.Audit{Kind: kind, Cause: cause, Actor: "system", Instance: r.opts.Instance,
			Service: r.service, Server: server, Before: before, After: after})
	}
}
