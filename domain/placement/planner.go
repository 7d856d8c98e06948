package placement

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
)

// server is a backend server and the known state of its engine.
type server struct {
	id         string
	leaving    bool
	stateKnown bool
	state      EngineState
	// stateAt is when the latest successful read began, lastReadAt when the latest
	// read was requested.
	stateAt, lastReadAt time.Time
	pending             *pendingOrder
	// failures counts consecutive orders that failed or had no effect. No order is
	// issued before retryAt.
	failures int
	retryAt  time.Time
}

// pendingOrder is an order whose result is not yet known.
type pendingOrder struct {
	order  Order
	reason string
	// inRollout is set if the order replaces another version of the model by the target
	// of a rollout, so that its failure counts against the target.
	inRollout bool
	// sends is the number of times that the order was sent, without those that had no
	// effect.
	sends      int
	lastSentAt time.Time
	// acceptedAt is zero until the engine has accepted the order.
	acceptedAt time.Time
}

// firstReadIntervals is the number of read intervals for which a new owner waits for
// the first state of each server before it plans without those that do not answer.
const firstReadIntervals = 4

// Counters counts the events of a Planner since it was created. Reissued counts orders that
// were sent again, Fenced those that were refused because of their fencing number.
type Counters struct {
	Orders, Reissued, Failed, Succeeded, Fenced, Halts uint64
}

// Planner plans the placement of one service in one epoch of its partition. It is not
// safe for concurrent use.
type Planner struct {
	settings  Settings
	service   string
	epoch     uint64
	startedAt time.Time
	// confirmedAt is the latest time passed to ConfirmOwnership.
	confirmedAt time.Time
	doc         *config.Document
	servers     map[string]*server
	rollouts    map[string]*rollout
	seq         int
	// nextFetchAt is when the rate limit of the weight store allows the next load.
	nextFetchAt time.Time
	// fenced is set once an engine has refused an order of this epoch as outdated.
	fenced bool
	// firstPlanAt is when statesRead was first called; see firstReadIntervals.
	firstPlanAt time.Time
	counters    Counters
}

// New returns a planner of a service. epoch is the epoch of the owner, which read back
// its claim at now. The planner issues no orders before ConfirmOwnership.
func New(settings Settings, service string, epoch uint64, now time.Time) *Planner {
	return &Planner{
		settings: settings, service: service, epoch: epoch, startedAt: now,
		servers: map[string]*server{}, rollouts: map[string]*rollout{}, nextFetchAt: now,
	}
}

// Counters returns the current values of the counters.
func (p *Planner) Counters() Counters { return p.counters }

// ConfirmOwnership reports that a record was read back under the owner's epoch. at is
// the time before the record was appended, so that a pause during the confirmation
// does not hide that a new owner has claimed the partition.
func (p *Planner) ConfirmOwnership(at time.Time) {
	if at.After(p.confirmedAt) {
		p.confirmedAt = at
	}
}

// SetDocument sets the active configuration.
func (p *Planner) SetDocument(doc *config.Document) { p.doc = doc }

// SetServers sets the backend servers of the service.
func (p *Planner) SetServers(servers []Server) {
	seen := map[string]bool{}
	for _, s := range servers {
		seen[s.ID] = true
		if p.servers[s.ID] == nil {
			p.servers[s.ID] = &server{id: s.ID}
		}
		p.servers[s.ID].leaving = s.Leaving
	}
	for id := range p.servers {
		if !seen[id] {
			delete(p.servers, id)
		}
	}
}

func (p *Planner) modelService() *config.Service {
	if p.doc == nil {
		return nil
	}
	if s := p.doc.Services[p.service]; s != nil && s.Kind == config.ServiceKindModel {
		return s
	}
	return nil
}

// maxOrderTime returns the maximum time from planning an order to its completion.
func (p *Planner) maxOrderTime() time.Duration {
	return time.Duration(p.modelService().MaxOrderMs)*time.Millisecond + p.settings.SendTimeout
}

// previousOrdersEnd returns the time after which orders of previous owners can no longer
// take effect.
func (p *Planner) previousOrdersEnd() time.Time {
	return p.startedAt.Add(p.settings.ConfirmationTTL + p.maxOrderTime())
}

// stayingServers returns the servers that are not leaving, sorted by name.
func (p *Planner) stayingServers() []*server {
	var out []*server
	for _, s := range p.servers {
		if !s.leaving {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

// MaxInMotion returns how many of n servers may be in motion at the same time; at
// least one.
func MaxInMotion(share float64, n int) int { return max(1, int(share*float64(n)+1e-9)) }

// Plan returns the actions that are due. It has to be called at least once per second.
func (p *Planner) Plan(now time.Time) []Action {
	svc := p.modelService()
	if svc == nil || p.fenced {
		return nil
	}
	fencingIgnored := svc.Fencing == config.FencingIgnored
	if fencingIgnored && now.Before(p.previousOrdersEnd()) {
		return nil
	}
	servers := p.stayingServers()
	var out []Action
	for _, s := range servers {
		if now.Sub(s.lastReadAt) >= p.settings.ReadInterval {
			s.lastReadAt = now
			out = append(out, ReadState{Server: s.id})
		}
	}
	if p.confirmedAt.IsZero() || now.Sub(p.confirmedAt) >= p.settings.ConfirmationTTL {
		return out
	}
	for _, s := range servers {
		out = append(out, p.checkPending(now, s)...)
	}
	capacity := p.doc.CapacityOf(p.service)
	room := MaxInMotion(capacity.InMotionShare, len(servers)) - p.countInMotion(now, servers)
	if !fencingIgnored {
		out = append(out, p.raiseFencingNumbers(now, servers)...)
	}
	if !p.statesRead(now, servers) {
		return out
	}
	return append(out, p.issueOrders(now, servers, room)...)
}

// statesRead reports whether the state of every server was read at least once, or
// firstReadIntervals have passed. Plans from incomplete states would load models that
// other servers already hold.
func (p *Planner) statesRead(now time.Time, servers []*server) bool {
	if p.firstPlanAt.IsZero() {
		p.firstPlanAt = now
	}
	if now.Sub(p.firstPlanAt) >= firstReadIntervals*p.settings.ReadInterval {
		return true
	}
	return !slices.ContainsFunc(servers, func(s *server) bool { return s.stateAt.IsZero() })
}

// isInMotion reports whether a server counts as in motion.
func (p *Planner) isInMotion(now time.Time, s *server) bool {
	switch {
	case s.stateKnown && s.state.Loading, !p.previousOwnersExcluded(s) && now.Before(p.previousOrdersEnd()):
		return true
	case s.pending != nil:
		// A delayed copy of an order that was sent again takes effect if the state of
		// the engine has changed in the meantime.
		return !s.stateKnown || s.pending.sends > 1 || !p.resultVisible(s)
	}
	return false
}

// previousOwnersExcluded reports whether orders of previous owners can no longer take
// effect on the server.
func (p *Planner) previousOwnersExcluded(s *server) bool {
	return s.stateKnown && (p.modelService().Fencing == config.FencingIgnored || s.state.Fence >= p.epoch)
}

func (p *Planner) countInMotion(now time.Time, servers []*server) int {
	n := 0
	for _, s := range servers {
		if p.isInMotion(now, s) {
			n++
		}
	}
	return n
}

// raiseFencingNumbers issues orders that raise the fencing number on engines, so that they
// refuse orders of previous owners. Although these orders change nothing else, the
// limit of servers in motion applies to them.
func (p *Planner) raiseFencingNumbers(now time.Time, servers []*server) []Action {
	active := 0
	for _, s := range servers {
		if s.pending != nil || s.stateKnown && s.state.Loading {
			active++
		}
	}
	var out []Action
	for _, s := range servers {
		if active >= MaxInMotion(p.doc.CapacityOf(p.service).InMotionShare, len(servers)) {
			break
		}
		if !s.stateKnown || s.state.Fence >= p.epoch || s.pending != nil || s.state.Loading || now.Before(s.retryAt) {
			continue
		}
		role := s.state.Role
		if role == "" {
			role = RoleBoth
		}
		active++
		out = append(out, p.issueOrder(now, s, Order{Kind: SetRole, Role: role}, 0, "raise the fencing number"))
	}
	return out
}

// issueOrders issues the orders that the limits allow, by ascending priority value. room
// is the number of further servers that may be in motion.
func (p *Planner) issueOrders(now time.Time, servers []*server, room int) []Action {
	assignments := assignServers(p.doc, p.service, servers)
	byModel := map[string][]*server{}
	for _, s := range servers {
		if m := assignments[s.id].model; m != "" {
			byModel[m] = append(byModel[m], s)
		}
	}
	versions := map[string]string{}
	for _, m := range p.doc.ModelsOf(p.service) {
		for id, v := range p.assignVersions(now, m, p.doc.Models[m].Version, byModel[m]) {
			versions[id] = v
		}
	}
	type candidate struct {
		s          *server
		order      Order
		weightsMiB int
		reason     string
		priority   int
	}
	var candidates []candidate
	for _, s := range servers {
		want := assignments[s.id]
		if want.model == "" || !s.stateKnown || s.pending != nil || s.state.Loading || now.Before(s.retryAt) {
			continue
		}
		if !p.previousOwnersExcluded(s) {
			continue
		}
		if o, weightsMiB, reason, priority := p.nextOrder(s, want, versions[s.id]); reason != "" {
			candidates = append(candidates, candidate{s, o, weightsMiB, reason, priority})
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].priority < candidates[j].priority })
	var out []Action
	for _, c := range candidates {
		if room <= 0 {
			break
		}
		if c.weightsMiB > 0 {
			if now.Before(p.nextFetchAt) {
				continue
			}
			rate := p.doc.CapacityOf(p.service).WeightStoreMiBPerS
			p.nextFetchAt = now.Add(time.Duration(float64(c.weightsMiB) / float64(rate) * float64(time.Second)))
		}
		room--
		a := p.issueOrder(now, c.s, c.order, c.weightsMiB, c.reason)
		r := p.rollouts[c.order.Model]
		c.s.pending.inRollout = c.order.Kind == LoadModel && r != nil && r.previous != "" && c.order.Version == r.target && c.s.state.Model == c.order.Model
		out = append(out, a)
	}
	return out
}

// nextOrder returns the next order that a server needs to reach its assignment. An empty
// reason means that it needs none. Lower priority values come first.
func (p *Planner) nextOrder(s *server, want *assignment, version string) (o Order, weightsMiB int, reason string, priority int) {
	st := s.state
	if st.Model != want.model || st.Version != version {
		o = Order{Kind: LoadModel, Model: want.model, Version: version}
		reason, priority = fmt.Sprintf("holds %s %s, should hold %s %s", st.Model, st.Version, want.model, version), 1
		if r := p.rollouts[want.model]; r != nil && r.halted {
			reason, priority = "return from a halted version: "+reason, 0
		}
		return o, p.doc.Models[want.model].WeightsMiB, reason, priority
	}
	if st.Role != want.role && (st.Role != "" || want.role != RoleBoth) {
		return Order{Kind: SetRole, Role: want.role}, 0, fmt.Sprintf("has role %q, should have %q", st.Role, want.role), 2
	}
	for _, a := range want.adapters {
		if !slices.Contains(st.Adapters, a) {
			ad := p.doc.Adapters[a]
			return Order{Kind: LoadAdapter, Model: want.model, Version: ad.Version, Adapter: a}, ad.WeightsMiB, "lacks adapter " + a, 2
		}
	}
	for _, a := range st.Adapters {
		if !slices.Contains(want.adapters, a) {
			return Order{Kind: UnloadAdapter, Model: want.model, Adapter: a}, 0, "holds adapter " + a + " that it should not", 3
		}
	}
	return Order{}, 0, "", 0
}

func (p *Planner) issueOrder(now time.Time, s *server, o Order, weightsMiB int, reason string) SendOrder {
	p.seq++
	o.ID = fmt.Sprintf("%s-%d-%d", p.service, p.epoch, p.seq)
	o.Fence = p.epoch
	s.pending = &pendingOrder{order: o, reason: reason, sends: 1, lastSentAt: now}
	p.counters.Orders++
	return SendOrder{Server: s.id, Order: o, Reason: reason, WeightsMiB: weightsMiB}
}

// resultVisible reports whether the state of a server shows the result of its pending
// order. An engine that checks the fencing number must also show the number of the
// order.
func (p *Planner) resultVisible(s *server) bool {
	o, st := &s.pending.order, s.state
	if st.Loading || !p.previousOwnersExcluded(s) && p.modelService().Fencing == config.FencingChecked {
		return false
	}
	switch o.Kind {
	case LoadModel:
		return st.Model == o.Model && st.Version == o.Version
	case LoadAdapter:
		return slices.Contains(st.Adapters, o.Adapter)
	case UnloadAdapter:
		return !slices.Contains(st.Adapters, o.Adapter)
	}
	return st.Role == o.Role || st.Role == "" && o.Role == RoleBoth
}
