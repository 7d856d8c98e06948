package placement

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
)

// server is one engine with what is known about it.
type server struct {
	id      string
	leaving bool
	known   bool
	state   EngineState
	// asked is when the newest read that was answered began; reading when the
	// last one was asked for.
	asked, reading time.Time
	pending        *pending
	failures       int
	retryAt        time.Time
}

// pending is an order that is not over.
type pending struct {
	order    Order
	reason   string
	rollout  bool
	sends    int
	lastSent time.Time
	answered time.Time
}

// readGrace is the number of read intervals for which a new owner waits for the
// first state of servers that do not answer.
const readGrace = 4

// Counters counts what a Planner has met since it was made.
type Counters struct {
	Orders, Reissued, Failed, Succeeded, Fenced, Halts uint64
}

// Planner plans one service under one epoch of its owner. It is used by one goroutine.
type Planner struct {
	set       Settings
	service   string
	epoch     uint64
	started   time.Time
	confirmed time.Time
	doc       *config.Document
	servers   map[string]*server
	rollouts  map[string]*rollout
	seq       int
	// weightsFree is when the weight store's rate allows the next load.
	weightsFree time.Time
	fenced      bool
	firstRead   time.Time
	counters    Counters
}

// New returns the planner of a service for the owner that read back its claim,
// with its epoch, at now. It issues no order before Confirm.
func New(set Settings, service string, epoch uint64, now time.Time) *Planner {
	return &Planner{
		set: set, service: service, epoch: epoch, started: now,
		servers: map[string]*server{}, rollouts: map[string]*rollout{}, weightsFree: now,
	}
}

// Counters returns what the planner has met.
func (p *Planner) Counters() Counters { return p.counters }

// ConfirmOwnership tells that a record under the owner's epoch, appended at at, was read
// back. at is the time before the append, so that a pause does not hide a
// successor.
func (p *Planner) ConfirmOwnership(at time.Time) {
	if at.After(p.confirmed) {
		p.confirmed = at
	}
}

// SetDocument gives the document in force.
func (p *Planner) SetDocument(doc *config.Document) { p.doc = doc }

// SetServers gives the service's servers.
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

func (p *Planner) svc() *config.Service {
	if p.doc == nil {
		return nil
	}
	if s := p.doc.Services[p.service]; s != nil && s.Kind == config.ServiceModel {
		return s
	}
	return nil
}

// maxOrder is the longest time from the plan of an order to its end.
func (p *Planner) maxOrder() time.Duration {
	return time.Duration(p.svc().MaxOrderMs)*time.Millisecond + p.set.SendTimeout
}

// inheritedUntil is when no order of an owner before can be under way any more.
func (p *Planner) inheritedUntil() time.Time {
	return p.started.Add(p.set.ConfirmationTTL + p.maxOrder())
}

// staying returns the servers that are not leaving, in order of their names.
func (p *Planner) staying() []*server {
	var out []*server
	for _, s := range p.servers {
		if !s.leaving {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

// MaxInMotion returns how many of n servers may be in motion at one time.
func MaxInMotion(share float64, n int) int { return max(1, int(share*float64(n)+1e-9)) }

// Plan returns what is to be done now. It is called at least every second.
func (p *Planner) Plan(now time.Time) []Action {
	svc := p.svc()
	if svc == nil || p.fenced {
		return nil
	}
	ignored := svc.Fencing == config.FencingIgnored
	if ignored && now.Before(p.inheritedUntil()) {
		return nil
	}
	servers := p.staying()
	var out []Action
	for _, s := range servers {
		if now.Sub(s.reading) >= p.set.ReadInterval {
			s.reading = now
			out = append(out, ReadState{Server: s.id})
		}
	}
	if p.confirmed.IsZero() || now.Sub(p.confirmed) >= p.set.ConfirmationTTL {
		return out
	}
	for _, s := range servers {
		out = append(out, p.settle(now, s)...)
	}
	capacity := p.doc.CapacityOf(p.service)
	room := MaxInMotion(capacity.InMotionShare, len(servers)) - p.inMotion(now, servers)
	if !ignored {
		out = append(out, p.raiseFences(now, servers)...)
	}
	if !p.seen(now, servers) {
		return out
	}
	return append(out, p.orders(now, servers, room)...)
}

// seen tells whether every server was read once, or could not be for a while.
// Orders on a part of the picture would move what another server holds already.
func (p *Planner) seen(now time.Time, servers []*server) bool {
	if p.firstRead.IsZero() {
		p.firstRead = now
	}
	if now.Sub(p.firstRead) >= readGrace*p.set.ReadInterval {
		return true
	}
	return !slices.ContainsFunc(servers, func(s *server) bool { return s.asked.IsZero() })
}

// moving tells whether a server counts as in motion.
func (p *Planner) moving(now time.Time, s *server) bool {
	switch {
	case s.known && s.state.Loading, !p.trusted(s) && now.Before(p.inheritedUntil()):
		return true
	case s.pending != nil:
		// A late copy of an order that was sent again does something when the
		// engine's state has drifted meanwhile.
		return !s.known || s.pending.sends > 1 || !p.done(s)
	}
	return false
}

// trusted tells whether no order of an owner before can reach the server.
func (p *Planner) trusted(s *server) bool {
	return s.known && (p.svc().Fencing == config.FencingIgnored || s.state.Fence >= p.epoch)
}

func (p *Planner) inMotion(now time.Time, servers []*server) int {
	n := 0
	for _, s := range servers {
		if p.moving(now, s) {
			n++
		}
	}
	return n
}

// raiseFences makes engines refuse orders of owners before. The order changes
// nothing, but only as many servers get one at a time as may be in motion.
func (p *Planner) raiseFences(now time.Time, servers []*server) []Action {
	busy := 0
	for _, s := range servers {
		if s.pending != nil || s.known && s.state.Loading {
			busy++
		}
	}
	var out []Action
	for _, s := range servers {
		if busy >= MaxInMotion(p.doc.CapacityOf(p.service).InMotionShare, len(servers)) {
			break
		}
		if !s.known || s.state.Fence >= p.epoch || s.pending != nil || s.state.Loading || now.Before(s.retryAt) {
			continue
		}
		role := s.state.Role
		if role == "" {
			role = RoleBoth
		}
		busy++
		out = append(out, p.issue(now, s, Order{Kind: SetRole, Role: role}, 0, "raise the fencing number"))
	}
	return out
}

// orders issues the orders that the limits allow, the most needed first.
func (p *Planner) orders(now time.Time, servers []*server, room int) []Action {
	wants := targets(p.doc, p.service, servers)
	byModel := map[string][]*server{}
	for _, s := range servers {
		if m := wants[s.id].model; m != "" {
			byModel[m] = append(byModel[m], s)
		}
	}
	version := map[string]string{}
	for _, m := range p.doc.ModelsOf(p.service) {
		for id, v := range p.versions(now, m, p.doc.Models[m].Version, byModel[m]) {
			version[id] = v
		}
	}
	type step struct {
		s     *server
		order Order
		size  int
		why   string
		rank  int
	}
	var steps []step
	for _, s := range servers {
		w := wants[s.id]
		if w.model == "" || !s.known || s.pending != nil || s.state.Loading || now.Before(s.retryAt) {
			continue
		}
		if !p.trusted(s) {
			continue
		}
		if o, size, why, rank := p.next(s, w, version[s.id]); why != "" {
			steps = append(steps, step{s, o, size, why, rank})
		}
	}
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].rank < steps[j].rank })
	var out []Action
	for _, x := range steps {
		if room <= 0 {
			break
		}
		if x.size > 0 {
			if now.Before(p.weightsFree) {
				continue
			}
			rate := p.doc.CapacityOf(p.service).WeightStoreMiBPerS
			p.weightsFree = now.Add(time.Duration(float64(x.size) / float64(rate) * float64(time.Second)))
		}
		room--
		a := p.issue(now, x.s, x.order, x.size, x.why)
		r := p.rollouts[x.order.Model]
		x.s.pending.rollout = x.order.Kind == LoadModel && r != nil && r.back != "" && x.order.Version == r.target && x.s.state.Model == x.order.Model
		out = append(out, a)
	}
	return out
}

// next returns the order that brings a server nearer to what it should hold; an
// empty reason means that there is nothing to do.
func (p *Planner) next(s *server, w *want, version string) (o Order, size int, why string, rank int) {
	st := s.state
	if st.Model != w.model || st.Version != version {
		o = Order{Kind: LoadModel, Model: w.model, Version: version}
		why, rank = fmt.Sprintf("holds %s %s, should hold %s %s", st.Model, st.Version, w.model, version), 1
		if r := p.rollouts[w.model]; r != nil && r.halted {
			why, rank = "return from a halted version: "+why, 0
		}
		return o, p.doc.Models[w.model].WeightsMiB, why, rank
	}
	if st.Role != w.role && (st.Role != "" || w.role != RoleBoth) {
		return Order{Kind: SetRole, Role: w.role}, 0, fmt.Sprintf("has role %q, should have %q", st.Role, w.role), 2
	}
	for _, a := range w.adapters {
		if !slices.Contains(st.Adapters, a) {
			ad := p.doc.Adapters[a]
			return Order{Kind: LoadAdapter, Model: w.model, Version: ad.Version, Adapter: a}, ad.WeightsMiB, "lacks adapter " + a, 2
		}
	}
	for _, a := range st.Adapters {
		if !slices.Contains(w.adapters, a) {
			return Order{Kind: UnloadAdapter, Model: w.model, Adapter: a}, 0, "holds adapter " + a + " that it should not", 3
		}
	}
	return Order{}, 0, "", 0
}

func (p *Planner) issue(now time.Time, s *server, o Order, size int, why string) SendOrder {
	p.seq++
	o.ID = fmt.Sprintf("%s-%d-%d", p.service, p.epoch, p.seq)
	o.Fence = p.epoch
	s.pending = &pending{order: o, reason: why, sends: 1, lastSent: now}
	p.counters.Orders++
	return SendOrder{Server: s.id, Order: o, Reason: why, WeightsMiB: size}
}

// done tells whether a server's state shows the result of its pending order. An
// engine that checks the fencing number shows the order's number as well.
func (p *Planner) done(s *server) bool {
	o, st := &s.pending.order, s.state
	if st.Loading || !p.trusted(s) && p.svc().Fencing == config.FencingChecked {
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
