package placement

import (
	"fmt"
	"slices"
	"strings"

	"github.com/jacinthnotch/jacinthnotch/domain/placement"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// history is what a server was last seen to hold. It tells a correction of
// something that changed without an order from other orders.
type history struct {
	state placement.EngineState
	// order is under way, nil for none.
	order   *placement.Order
	drifted bool
}

// observe takes in a state that was read.
func (r *runner) observe(id string, st placement.EngineState) {
	if st.Loading {
		return
	}
	h := r.drift[id]
	if h == nil {
		h = &history{state: st}
		r.drift[id] = h
		return
	}
	same := holdsSame(h.state, st)
	switch {
	case h.order != nil && holdsSame(after(h.state, *h.order), st):
		h.order = nil
	case h.order == nil && !same:
		h.drifted = true
		counters.Add("drifts", 1)
	}
	h.state = st
}

func holdsSame(a, b placement.EngineState) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role &&
		slices.Equal(slices.Sorted(slices.Values(a.Adapters)), slices.Sorted(slices.Values(b.Adapters)))
}

// after returns the state that an order leads to.
func after(st placement.EngineState, o placement.Order) placement.EngineState {
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

// auditOrder records an order. The first one after a drift is a correction.
func (r *runner) auditOrder(a placement.SendOrder) {
	h := r.drift[a.Server]
	if h == nil {
		h = &history{}
		r.drift[a.Server] = h
	}
	kind := "placement-order"
	if h.drifted {
		kind, h.drifted = "placement-correction", false
		counters.Add("corrections", 1)
	}
	order := a.Order
	h.order = &order
	r.audit(kind, a.Server, a.Reason, describe(h.state), describeOrder(order))
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
