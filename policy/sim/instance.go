package sim

import (
	"math/rand/v2"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/admission"
	"github.com/jacinthnotch/jacinthnotch/policy/health"
	"github.com/jacinthnotch/jacinthnotch/policy/retry"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
	"github.com/jacinthnotch/jacinthnotch/policy/suspect"
	"github.com/jacinthnotch/jacinthnotch/policy/trace"
)

const (
	evaluateInterval = health.EvaluateInterval
	dequeueInterval  = 100 * time.Millisecond
	maxQueueLength   = 200
	// crashReportDelay is the time until a crash report is recorded.
	crashReportDelay = 50 * time.Millisecond
	// suspectRetryDelay is the time after which a suspect looks for a server again.
	suspectRetryDelay = 50 * time.Millisecond
	// suspectLeaseDuration is the longest time for which a suspect holds the lease of a server.
	suspectLeaseDuration = 30 * time.Second
)

// service is the state of one service on an instance.
type service struct {
	budget   retry.Budget
	table    *route.Table
	queue    *admission.Queue
	health   *health.Tracker
	limiters map[string]*admission.Limiter // by server ID
	inFlight map[string]int                // requests in flight by server ID
	servers  []string                      // without those for batch work only
}

// instance is one instance of the product. It sees only its own requests and what the
// servers report.
type instance struct {
	sim           *simulation
	index         int
	dataCentre    string
	rng           *rand.Rand
	services      map[string]*service
	suspects      *suspect.Tracker
	queuedCalls   map[uint64]*call // waiting in the admission queue, by ID
	callsInFlight []*call          // in order of dispatch
}

func newInstance(s *simulation, i int) *instance {
	x := &instance{
		sim: s, index: i, dataCentre: s.engines[i%len(s.engines)].spec.DataCentre,
		rng: rand.New(rand.NewPCG(s.cfg.Seed, uint64(1000+i))), services: map[string]*service{},
		suspects: suspect.NewTracker(), queuedCalls: map[uint64]*call{},
	}
	for k, e := range s.engines {
		x.addServer(k, e.spec)
	}
	s.every(evaluateInterval, x.evaluate)
	s.every(dequeueInterval, func() {
		for _, name := range serviceNames {
			x.startQueued(x.services[name])
		}
	})
	return x
}

var serviceNames = []string{modelService, "plain"}

// addServer adds the server with index k to its service. A server for batch work only
// is marked as leaving, so that it gets no online requests.
func (x *instance) addServer(k int, spec trace.Server) {
	v := x.services[spec.Service]
	if v == nil {
		v = &service{
			table:    route.NewTable(route.Options{DataCentre: x.dataCentre, Picker: x.sim.cfg.Picker}),
			queue:    admission.NewQueue(0, maxQueueLength),
			health:   health.NewTracker(0),
			limiters: map[string]*admission.Limiter{},
			inFlight: map[string]int{},
		}
		x.services[spec.Service] = v
	}
	v.table.Upsert(route.Server{ID: spec.ID, DataCentre: spec.DataCentre, Model: spec.Service, Slots: spec.Slots})
	if x.sim.isBatchOnly(k) {
		v.table.SetLeaving(spec.ID, true)
		return
	}
	v.health.Add(spec.ID)
	v.servers = append(v.servers, spec.ID)
	v.limiters[spec.ID] = admission.NewLimiter(admission.LimiterOptions{Initial: spec.Slots / 3, Max: spec.Slots})
	v.updateQueueLimit()
}

// updateQueueLimit sets the limit of the queue to the sum of the limits of the servers.
func (v *service) updateQueueLimit() {
	n := 0
	for _, id := range v.servers {
		n += v.limiters[id].Limit()
	}
	v.queue.SetLimit(n)
}

func (x *instance) table(name string) *route.Table { return x.services[name].table }

// startCall handles the arrival of online event i.
func (x *instance) startCall(i int, e *trace.Event) {
	x.sim.lastRequestID++
	c := &call{inst: x, svc: x.services[e.Service], event: e, eventIndex: i, id: x.sim.lastRequestID, arrivedAt: x.sim.now}
	x.sim.stats.recordArrival(c)
	x.offer(c)
}

// offer offers the call to the admission queue.
func (x *instance) offer(c *call) {
	now := x.sim.wallTime()
	d := c.svc.queue.Offer(now, admission.Request{
		ID: c.id, Workspace: c.event.Workspace, Cost: float64(c.event.OutputTokens), Deadline: now.Add(c.event.Deadline), ExpectedDuration: time.Second,
	})
	switch d.Verdict {
	case admission.Run:
		c.admittedAt = x.sim.now
		c.dispatch()
	case admission.Wait:
		x.queuedCalls[c.id] = c
	default:
		x.sim.stats.recordRefusal(c)
	}
}

// startQueued dispatches the queued calls that may start now and refuses those that the
// queue gave up.
func (x *instance) startQueued(v *service) {
	for _, a := range v.queue.Dequeue(x.sim.wallTime(), nil) {
		c := x.queuedCalls[a.ID]
		delete(x.queuedCalls, a.ID)
		if a.Started {
			c.admittedAt = x.sim.now
			c.dispatch()
		} else {
			x.sim.stats.recordRefusal(c)
		}
	}
}

// evaluate measures the streams in flight, updates the steering and evaluates the health
// of the servers.
func (x *instance) evaluate() {
	now := x.sim.wallTime()
	for _, c := range x.callsInFlight {
		c.observeProgress(now)
	}
	for _, name := range serviceNames {
		v := x.services[name]
		v.table.Steer()
		for _, a := range v.health.Evaluate(now, nil) {
			x.applyHealthAction(v, a)
		}
	}
}

// applyHealthAction sets the weight of a server or probes it, as the health tracker
// requests. A probe takes one round trip between data centres.
func (x *instance) applyHealthAction(v *service, a health.Action) {
	if a.Kind == health.ActionSetWeight {
		v.table.SetWeight(a.Server, a.Weight)
		return
	}
	x.sim.after(2*crossDCLatency, func() {
		m := x.sim.probe(a.Server)
		if m.OK {
			v.budget.RecordProbe()
		} else {
			v.budget.RecordFailure(x.sim.wallTime(), a.Server)
		}
		v.health.Observe(x.sim.wallTime(), a.Server, m, nil)
	})
}

// observeHealth records a health sample and applies the resulting actions.
func (x *instance) observeHealth(v *service, server string, m health.Sample) {
	for _, a := range v.health.Observe(x.sim.wallTime(), server, m, nil) {
		x.applyHealthAction(v, a)
	}
}

// serverDied records the crash of a server and reports the requests that were in flight
// on it.
func (x *instance) serverDied(server string) {
	now := x.sim.wallTime()
	if r, ok := x.suspects.ServerDied(now, server); ok {
		x.sim.quarantine.recordReport(r)
	}
	x.updateSuspectServers()
	v := x.services[x.sim.engines[x.sim.engineIndex[server]].spec.Service]
	v.budget.RecordFailure(x.sim.wallTime(), server)
	x.observeHealth(v, server, health.Sample{Dead: true})
}

// updateSuspectServers marks the servers that run a suspect in the routing tables.
func (x *instance) updateSuspectServers() {
	now := x.sim.wallTime()
	for _, name := range serviceNames {
		for _, id := range x.services[name].servers {
			x.services[name].table.SetRunsSuspect(id, x.suspects.RunsSuspect(now, id))
		}
	}
}
