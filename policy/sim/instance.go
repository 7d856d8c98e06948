package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/admit"
	"github.com/jacinthnotch/jacinthnotch/policy/health"
	"github.com/jacinthnotch/jacinthnotch/policy/retry"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
	"github.com/jacinthnotch/jacinthnotch/policy/suspect"
	"github.com/jacinthnotch/jacinthnotch/policy/trace"
)

const (
	evaluateEvery = health.EvaluateInterval
	nextEvery     = 100 * time.Millisecond
	queueLength   = 200
	// recordTime is what it takes to record a crash report.
	recordTime = 50 * time.Millisecond
	// suspectWait is the wait for a server that a suspect may use.
	suspectWait = 50 * time.Millisecond
	// suspectLimit bounds how long a suspect holds its place on a server.
	suspectLimit = 30 * time.Second
)

// service is what an instance holds for one service.
type service struct {
	budget   retry.Budget
	table    *route.Table
	queue    *admit.Queue
	health   *health.Tracker
	limiters map[string]*admit.Limiter
	inFlight map[string]int
	servers  []string
}

type instance struct {
	sim      *simulation
	index    int
	dc       string
	rng      *rand.Rand
	services map[string]*service
	suspects *suspect.Tracker
	queued   map[uint64]*call
	order    []*call // in flight
}

func newInstance(s *simulation, i int) *instance {
	x := &instance{
		sim: s, index: i, dc: s.engines[i%len(s.engines)].spec.DataCentre,
		rng: rand.New(rand.NewPCG(s.cfg.Seed, uint64(1000+i))), services: map[string]*service{},
		suspects: suspect.NewTracker(), queued: map[uint64]*call{},
	}
	for k, e := range s.engines {
		x.addServer(k, e.spec)
	}
	s.every(evaluateEvery, x.evaluate)
	s.every(nextEvery, func() {
		for _, name := range serviceNames {
			x.next(x.services[name])
		}
	})
	return x
}

var serviceNames = []string{modelName, "plain"}

func (x *instance) addServer(k int, spec trace.Server) {
	v := x.services[spec.Service]
	if v == nil {
		v = &service{
			table:    route.NewTable(route.Options{DataCentre: x.dc, Picker: x.sim.cfg.Picker}),
			queue:    admit.NewQueue(0, queueLength),
			health:   health.NewTracker(0),
			limiters: map[string]*admit.Limiter{},
			inFlight: map[string]int{},
		}
		x.services[spec.Service] = v
	}
	v.table.Upsert(route.Server{ID: spec.ID, DataCentre: spec.DataCentre, Model: spec.Service, Slots: spec.Slots})
	if x.sim.batchOnly(k) {
		v.table.SetLeaving(spec.ID, true)
		return
	}
	v.health.Add(spec.ID)
	v.servers = append(v.servers, spec.ID)
	v.limiters[spec.ID] = admit.NewLimiter(admit.LimiterOptions{Initial: spec.Slots / 3, Max: spec.Slots})
	v.setLimit()
}

// setLimit adds the limits of the servers up.
func (v *service) setLimit() {
	n := 0
	for _, id := range v.servers {
		n += v.limiters[id].Limit()
	}
	v.queue.SetLimit(n)
}

func (x *instance) table(name string) *route.Table { return x.services[name].table }

func (x *instance) arrive(i int, e *trace.Event) {
	x.sim.calls++
	c := &call{inst: x, svc: x.services[e.Service], ev: e, event: i, id: x.sim.calls, arrived: x.sim.now}
	x.sim.stats.arrived(c)
	x.offer(c)
}

func (x *instance) offer(c *call) {
	now := x.sim.time()
	d := c.svc.queue.Offer(now, admit.Request{
		ID: c.id, Workspace: c.ev.Workspace, Cost: float64(c.ev.OutputTokens), Deadline: now.Add(c.ev.Deadline), ExpectedDuration: time.Second,
	})
	switch d.Verdict {
	case admit.Run:
		c.admitted = x.sim.now
		c.dispatch()
	case admit.Wait:
		x.queued[c.id] = c
	default:
		x.sim.stats.refused(c)
	}
}

// next starts the calls that may run now.
func (x *instance) next(v *service) {
	for _, a := range v.queue.Dequeue(x.sim.time(), nil) {
		c := x.queued[a.ID]
		delete(x.queued, a.ID)
		if a.Started {
			c.admitted = x.sim.now
			c.dispatch()
		} else {
			x.sim.stats.refused(c)
		}
	}
}

// evaluate looks at the streams in flight and at the servers' health.
func (x *instance) evaluate() {
	now := x.sim.time()
	for _, c := range x.order {
		c.progress(now)
	}
	for _, name := range serviceNames {
		v := x.services[name]
		v.table.Steer()
		for _, a := range v.health.Evaluate(now, nil) {
			x.apply(v, a)
		}
	}
}

func (x *instance) apply(v *service, a health.Action) {
	if a.Kind == health.ActionSetWeight {
		v.table.SetWeight(a.Server, a.Weight)
		return
	}
	x.sim.after(2*latencyOther, func() {
		m := x.sim.probe(a.Server)
		if m.OK {
			v.budget.RecordProbe()
		} else {
			v.budget.RecordFailure(x.sim.time(), a.Server)
		}
		v.health.Observe(x.sim.time(), a.Server, m, nil)
	})
}

func (x *instance) observe(v *service, server string, m health.Sample) {
	for _, a := range v.health.Observe(x.sim.time(), server, m, nil) {
		x.apply(v, a)
	}
}

// serverDied reports the requests that were in flight on the server.
func (x *instance) serverDied(server string) {
	now := x.sim.time()
	if r, ok := x.suspects.ServerDied(now, server); ok {
		x.sim.quar.report(r)
	}
	x.markSuspects()
	v := x.services[x.sim.engines[x.sim.index[server]].spec.Service]
	v.budget.RecordFailure(x.sim.time(), server)
	x.observe(v, server, health.Sample{Dead: true})
}

// markSuspects tells the tables which servers run a suspect.
func (x *instance) markSuspects() {
	now := x.sim.time()
	for _, name := range serviceNames {
		for _, id := range x.services[name].servers {
			x.services[name].table.SetRunsSuspect(id, x.suspects.RunsSuspect(now, id))
		}
	}
}

// quarantine stands for the fleet-wide aggregate: a fingerprint that caused two
// deaths runs no more. Its entries reach the instances after a while.
type quarantine struct {
	sim    *simulation
	deaths map[string]map[string]bool // fingerprint, then server and time
	same   map[string][]string        // candidates of a death
	closed map[string]bool
	gates  map[string]*suspect.Lease
}

const quarantineLag = 200 * time.Millisecond

func newQuarantine(s *simulation) *quarantine {
	return &quarantine{
		sim: s, deaths: map[string]map[string]bool{}, same: map[string][]string{}, closed: map[string]bool{},
		gates: map[string]*suspect.Lease{},
	}
}

func (q *quarantine) gate(server string) *suspect.Lease {
	if q.gates[server] == nil {
		q.gates[server] = &suspect.Lease{}
	}
	return q.gates[server]
}

func (q *quarantine) report(r suspect.CrashReport) {
	q.sim.after(recordTime, func() {
		death := fmt.Sprint(r.Server, r.At)
		for _, f := range r.Candidates {
			for _, x := range q.sim.instances {
				x.suspects.MarkSuspect(q.sim.time(), f)
			}
			if q.deaths[f] == nil {
				q.deaths[f] = map[string]bool{}
			}
			q.deaths[f][death] = true
			q.same[death] = append(q.same[death], f)
			if len(q.deaths[f]) == 2 {
				q.close(f)
			}
		}
		for _, f := range r.Withdrawn {
			q.clear(f)
		}
	})
}

// close quarantines a fingerprint, and clears the other candidates of the
// deaths that it explains.
func (q *quarantine) close(f string) {
	q.sim.stats.quarantined = append(q.sim.stats.quarantined, f)
	q.sim.after(quarantineLag, func() {
		q.closed[f] = true
		for death := range q.deaths[f] {
			for _, o := range q.same[death] {
				if o != f {
					q.clear(o)
				}
			}
		}
	})
}

func (q *quarantine) clear(f string) {
	delete(q.deaths, f)
	for _, x := range q.sim.instances {
		x.suspects.Clear(f)
		x.markSuspects()
	}
}
