package servers

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/policy/health"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
)

// pollServer polls one engine's load, state and cache events until ctx is done.
func (p *Pool) pollServer(ctx context.Context, s *Server) {
	var stateAt, eventsAt time.Time
	var after uint64
	for ctx.Err() == nil {
		now := time.Now()
		if stateAt.IsZero() || now.Sub(stateAt) >= stateInterval {
			if st, err := withLoadTimeout(ctx, s.Engine.State); err == nil {
				s.group.setState(s, st)
				stateAt = now
			}
		}
		if r, err := withLoadTimeout(ctx, s.Engine.Load); err == nil {
			p.handleLoadReport(s, r)
		}
		if now.Sub(eventsAt) >= eventsInterval {
			eventsAt = now
			page, err := withLoadTimeout(ctx, func(ctx context.Context) (port.CacheEventPage, error) {
				return s.Engine.CacheEvents(ctx, after)
			})
			if err == nil {
				s.group.cacheEvents(s.ID, page.Events)
				after = page.Last
			}
		}
		wait := loadInterval
		if p.Directs(s.ID) {
			wait = directedLoadInterval
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

func withLoadTimeout[T any](ctx context.Context, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return call(ctx)
}

func (p *Pool) handleLoadReport(s *Server, r port.LoadReport) {
	s.group.setLoad(s.ID, r)
	for _, f := range p.onLoadReport {
		f(s.ID, r)
	}
}

func (g *Group) setState(s *Server, st port.EngineState) {
	role := route.RoleBoth
	switch st.Role {
	case port.RolePrefill:
		role = route.RolePrefill
	case port.RoleDecode:
		role = route.RoleDecode
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.servers[s.ID] != s {
		return
	}
	slots := defaultSlots
	if l := g.loads[s.ID].MaxSlots; l > 0 {
		slots = l
	}
	g.table.Upsert(route.Server{ID: s.ID, DataCentre: s.DataCentre, Model: st.Model, Version: st.Version,
		Adapters: st.Adapters, Role: role, Slots: slots})
	if g.models[s.ID] == "" {
		// Apply marks that were set before the server was added to the table.
		g.table.SetLeaving(s.ID, g.leaving[s.ID])
		g.table.SetWeight(s.ID, g.health.Weight(s.ID))
	}
	g.models[s.ID] = st.Model
	g.adapters[s.ID] = st.Adapters
}

func (g *Group) setLoad(id string, r port.LoadReport) {
	// batchStreams locks the director, which calls this group while it holds its
	// lock. To avoid a deadlock, batchStreams is called without mu.
	batch := 0
	if g.pool.batchStreams != nil {
		batch = g.pool.batchStreams(id)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.servers[id] == nil {
		return
	}
	if before := g.loads[id].MaxSlots; r.MaxSlots > 0 && before != r.MaxSlots {
		g.limiters[id] = newLimiter(r.MaxSlots)
		g.updateQueueLimit()
		g.dequeue(time.Now())
	}
	g.loads[id] = r
	g.budget.RecordLiveness(time.Now())
	g.table.LoadReported(id, route.LoadReport{At: r.At, Running: r.Running, Waiting: r.Waiting, MaxSlots: r.MaxSlots, Batch: batch,
		KVUsed: r.KVUsed, PrefillRate: r.PrefillRate, DecodeRate: r.DecodeRate})
}

func (g *Group) cacheEvents(id string, events []port.CacheEvent) {
	if len(events) == 0 {
		return
	}
	out := make([]route.CacheEvent, len(events))
	for i, e := range events {
		out[i] = route.CacheEvent{Seq: e.Seq, Prefix: e.Prefix, Tokens: e.Tokens, Evicted: e.Evicted}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.CacheEvents(id, out)
}

// runHealthChecks evaluates server health, sends the probes that result, and
// dequeues waiting requests, until ctx is done.
func (p *Pool) runHealthChecks(ctx context.Context, wg *conc.WaitGroup) {
	tick := time.NewTicker(health.EvaluateInterval)
	defer tick.Stop()
	dequeueTick := time.NewTicker(100 * time.Millisecond)
	defer dequeueTick.Stop()
	for {
		select {
		case <-dequeueTick.C:
			p.forEachGroup(func(g *Group) { g.dequeueNow() })
		case <-tick.C:
			p.forEachGroup(func(g *Group) {
				for _, s := range g.evaluateHealth() {
					wg.Go(func() { s.probeEjected(ctx) })
				}
			})
		case <-ctx.Done():
			return
		}
	}
}

func (p *Pool) forEachGroup(f func(*Group)) {
	p.mu.Lock()
	groups := make([]*Group, 0, len(p.groups))
	for _, g := range p.groups {
		groups = append(groups, g)
	}
	p.mu.Unlock()
	for _, g := range groups {
		f(g)
	}
}

// probeEjected probes an ejected server on a new connection and records the result.
func (s *Server) probeEjected(ctx context.Context) {
	result, _ := s.Probe(ctx)
	if ctx.Err() != nil {
		return
	}
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if result == health.ProbeOK {
		g.budget.RecordProbe()
	} else {
		g.budget.RecordFailure(now, s.ID)
	}
	g.observe(now, s.ID, health.Sample{OK: result == health.ProbeOK, Probe: true})
}

// Probe reads the server's load on a new connection; for a plain server it only
// connects.
func (s *Server) Probe(ctx context.Context) (health.ProbeResult, port.LoadReport) {
	s.group.pool.opts.Metrics.Probes.Add(1)
	ctx, cancel := context.WithTimeout(ctx, health.GapTimeout(health.PhaseProbe, 0))
	defer cancel()
	var r port.LoadReport
	var err error
	if s.probe != nil {
		r, err = s.probe.Load(ctx)
	} else {
		err = s.dial(ctx)
	}
	_, answered := errors.AsType[*port.StatusError](err)
	switch {
	case err == nil || answered && !errors.Is(err, port.ErrOutcomeUnknown):
		return health.ProbeOK, r
	case ctx.Err() == nil && !errors.Is(err, port.ErrReadTimeout):
		return health.ProbeRefused, r
	default:
		return health.ProbeTimedOut, r
	}
}

func (s *Server) dial(ctx context.Context) error {
	if probe := s.group.pool.opts.ProbePlain; probe != nil {
		return probe(ctx, s.Address)
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", s.Address)
	if err != nil {
		return err
	}
	return c.Close()
}
