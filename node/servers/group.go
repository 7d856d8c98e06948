package servers

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/policy/admission"
	"github.com/jacinthnotch/jacinthnotch/policy/health"
	"github.com/jacinthnotch/jacinthnotch/policy/retry"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
)

// Group holds the servers of one service. It is safe for concurrent use.
type Group struct {
	pool  *Pool
	name  string
	plain bool

	mu     sync.Mutex
	rng    *rand.Rand
	table  *route.Table
	health *health.Tracker
	queue  *admission.Queue
	budget retry.Budget

	// The keys of these maps are server IDs.
	limiters map[string]*admission.Limiter
	inFlight map[string]int // online requests of this instance
	servers  map[string]*Server
	loads    map[string]port.LoadReport // the last reports
	models   map[string]string          // loaded models
	adapters map[string][]string        // loaded adapters
	leaving  map[string]bool

	waiting map[uint64]chan admission.DequeueResult // queued requests by ID
	nextID  uint64                                  // the last ID of a request

	// dequeued and healthActions are buffers that are reused to avoid allocations.
	dequeued      []admission.DequeueResult
	healthActions []health.Action

	firstToken firstTokenRatios
}

func newGroup(p *Pool, name string, service *config.Service) *Group {
	return &Group{
		pool: p, name: name, plain: service.Kind == config.ServiceKindPlain, rng: newRand(p.opts.Seed, name),
		table:    route.NewTable(route.Options{DataCentre: p.opts.DataCentre}),
		health:   health.NewTracker(service.MaxEjectedShare),
		queue:    admission.NewQueue(0, p.opts.MaxQueue),
		limiters: map[string]*admission.Limiter{}, inFlight: map[string]int{}, servers: map[string]*Server{},
		loads: map[string]port.LoadReport{}, models: map[string]string{}, adapters: map[string][]string{}, leaving: map[string]bool{},
		waiting: map[uint64]chan admission.DequeueResult{},
	}
}

func (g *Group) add(s *Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers[s.ID] = s
	g.health.Add(s.ID)
	slots := defaultSlots
	if g.plain {
		slots = plainSlots
		g.models[s.ID] = g.name
		g.table.Upsert(route.Server{ID: s.ID, DataCentre: s.DataCentre, Model: g.name, Slots: slots})
	}
	g.limiters[s.ID] = newLimiter(slots)
	g.updateQueueLimit()
	g.dequeue(time.Now())
}

func (g *Group) remove(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Remove(id)
	g.health.Remove(id)
	delete(g.servers, id)
	delete(g.limiters, id)
	delete(g.loads, id)
	delete(g.models, id)
	delete(g.adapters, id)
	delete(g.leaving, id)
	g.updateQueueLimit()
}

func (g *Group) setLeaving(id string, leaving bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.servers[id] == nil || g.leaving[id] == leaving {
		return
	}
	g.leaving[id] = leaving
	g.table.SetLeaving(id, leaving)
	g.updateQueueLimit()
	g.dequeue(time.Now())
	klog.InfoS("server leaving mark changed", "server", id, "leaving", leaving)
}

// Available reports whether the server accepts new work.
func (g *Group) Available(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.servers[id] != nil && !g.leaving[id] && g.models[id] != "" && g.health.Weight(id) > 0
}

// Model returns the model that a server has loaded, or an empty string while that
// is unknown.
func (g *Group) Model(id string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.models[id]
}

// LoadedNames returns the model and the adapters that a server has loaded.
func (g *Group) LoadedNames(id string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.models[id] == "" {
		return nil
	}
	return append([]string{g.models[id]}, g.adapters[id]...)
}

// Fleet returns aggregate figures of the group's servers.
func (g *Group) Fleet() route.Fleet {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Fleet()
}

// IsOnlineFirst reports whether the server takes online requests first while batch
// work runs.
func (g *Group) IsOnlineFirst(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.IsOnlineFirst(id)
}

// Load returns the last load report of a server and the number of online
// requests of this instance on it.
func (g *Group) Load(id string) (r port.LoadReport, own int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.loads[id], g.inFlight[id]
}

// updateQueueLimit sets the queue's limit to the sum of the limits of the servers
// that are not leaving. mu must be held.
func (g *Group) updateQueueLimit() {
	n := 0
	for id, l := range g.limiters {
		if !g.leaving[id] {
			n += l.Limit()
		}
	}
	g.queue.SetLimit(n)
}

// dequeue starts or refuses queued requests. mu must be held.
func (g *Group) dequeue(now time.Time) {
	g.dequeued = g.queue.Dequeue(now, g.dequeued[:0])
	for _, result := range g.dequeued {
		if ch := g.waiting[result.ID]; ch != nil {
			delete(g.waiting, result.ID)
			ch <- result // never blocks: the channel is buffered for its only result
		}
	}
}

func (g *Group) dequeueNow() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dequeue(time.Now())
}

// Admit waits until a request of the workspace may run. It returns a function that
// must be called when the request has ended, or a refusal, in which case the
// request has not run.
func (g *Group) Admit(ctx context.Context, workspace string, cost float64, deadline time.Time, expected time.Duration) (done func(), refusal *api.Refusal) {
	now := time.Now()
	g.mu.Lock()
	g.nextID++
	id := g.nextID
	g.queue.SetWeight(workspace, g.pool.weight(workspace))
	decision := g.queue.Offer(now, admission.Request{ID: id, Workspace: workspace, Cost: max(1, cost), Deadline: deadline, ExpectedDuration: expected})
	var ch chan admission.DequeueResult
	if decision.Verdict == admission.Wait {
		ch = make(chan admission.DequeueResult, 1)
		g.waiting[id] = ch
	}
	g.mu.Unlock()
	switch decision.Verdict {
	case admission.Run:
		return g.finishFunc(now), nil
	case admission.Refuse:
		if decision.Reason == admission.DeadlineTooShort {
			return nil, deadlineTooShort(decision.RetryAfter)
		}
		return nil, overloaded(decision.RetryAfter)
	}
	select {
	case result := <-ch:
		return g.dequeueOutcome(result)
	case <-ctx.Done():
	}
	g.mu.Lock()
	cancelled := g.queue.Cancel(id)
	delete(g.waiting, id)
	g.mu.Unlock()
	if !cancelled {
		// The request was dequeued before it could be cancelled.
		if done, _ := g.dequeueOutcome(<-ch); done != nil {
			done()
		}
	}
	r := *api.AsRefusal(ctx.Err())
	r.Outcome = api.NotRun
	return nil, &r
}

func (g *Group) dequeueOutcome(result admission.DequeueResult) (func(), *api.Refusal) {
	if !result.Started {
		return nil, deadlineTooShort(result.RetryAfter)
	}
	return g.finishFunc(time.Now()), nil
}

func (g *Group) finishFunc(began time.Time) func() {
	return func() {
		now := time.Now()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.queue.Finished(now.Sub(began))
		g.dequeue(now)
	}
}

func overloaded(after time.Duration) *api.Refusal {
	return api.Unavailable(api.CodeOverloaded, after, "too many requests are waiting")
}

func deadlineTooShort(after time.Duration) *api.Refusal {
	return api.Unavailable(api.CodeDeadline, after, "the request would not be answered by its deadline")
}

// DelayFirstAttempt reports whether a first attempt should be delayed because of
// an outage.
func (g *Group) DelayFirstAttempt() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.DelayFirstAttempt(time.Now())
}

// DecideRetry decides whether a failed attempt is retried, within the retry budget.
func (g *Group) DecideRetry(attempt retry.Attempt) retry.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return retry.Decide(time.Now(), attempt, &g.budget, g.rng)
}

// Backoff returns the backoff delay with full jitter after the given attempt.
func (g *Group) Backoff(attempt int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return retry.Backoff(attempt, g.rng)
}

// Hedge decides whether a slow request is hedged with a second copy, within the
// retry budget. wait is the expected time to the first token of the first copy.
func (g *Group) Hedge(pending retry.PendingRequest, wait time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	pending.HedgeDelay = g.firstToken.hedgeDelay(wait)
	return retry.Hedge(time.Now(), pending, &g.budget)
}

// HedgeDelay returns the time after which a request with the expected time to the
// first token counts as slow, or zero while there are too few samples.
func (g *Group) HedgeDelay(wait time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.firstToken.hedgeDelay(wait)
}

// observe records a health sample and applies the resulting health actions. mu
// must be held.
func (g *Group) observe(now time.Time, server string, sample health.Sample) {
	g.healthActions = g.health.Observe(now, server, sample, g.healthActions[:0])
	g.applyHealth(g.healthActions)
}

// applyHealth sets the routing weights and returns the servers to probe. mu must be
// held.
func (g *Group) applyHealth(actions []health.Action) (probes []*Server) {
	for _, a := range actions {
		if a.Kind == health.ActionProbe {
			if s := g.servers[a.Server]; s != nil {
				probes = append(probes, s)
			}
			continue
		}
		g.table.SetWeight(a.Server, a.Weight)
		m := g.pool.opts.Metrics
		switch {
		case a.Weight == 0:
			m.Ejections.Add(1)
			klog.InfoS("server ejected", "server", a.Server, "service", g.name)
			g.pool.audit("server-ejected", g.name, a.Server, "failures", "in use", "ejected")
		case a.Weight == 1:
			m.Returns.Add(1)
			klog.InfoS("server returned to full weight", "server", a.Server, "service", g.name)
			g.pool.audit("server-returned", g.name, a.Server, "probes answered", "", "in use")
		}
	}
	return probes
}

func (g *Group) evaluateHealth() []*Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Steer()
	g.healthActions = g.health.Evaluate(time.Now(), g.healthActions[:0])
	return g.applyHealth(g.healthActions)
}
