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
	"github.com/jacinthnotch/jacinthnotch/policy/admit"
	"github.com/jacinthnotch/jacinthnotch/policy/health"
	"github.com/jacinthnotch/jacinthnotch/policy/retry"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
)

// Group holds the servers of one service. It is safe for concurrent use.
type Group struct {
	pool  *Pool
	name  string
	plain bool

	mu       sync.Mutex
	rng      *rand.Rand
	table    *route.Table
	health   *health.Tracker
	queue    *admit.Queue
	budget   retry.Budget
	limiters map[string]*admit.Limiter
	inFlight map[string]int
	servers  map[string]*Server
	loads    map[string]port.LoadReport
	models   map[string]string
	adapters map[string][]string
	leaving  map[string]bool
	waiting  map[uint64]chan admit.DequeueResult
	nextID   uint64
	actions  []admit.DequeueResult
	changes  []health.Action
	slow     slowness
}

func newGroup(p *Pool, name string, c *config.Service) *Group {
	return &Group{
		pool: p, name: name, plain: c.Kind == config.ServicePlain, rng: newRand(p.opts.Seed, name),
		table:    route.NewTable(route.Options{DataCentre: p.opts.DataCentre}),
		health:   health.NewTracker(c.MaxEjectedShare),
		queue:    admit.NewQueue(0, p.opts.MaxQueue),
		limiters: map[string]*admit.Limiter{}, inFlight: map[string]int{}, servers: map[string]*Server{},
		loads: map[string]port.LoadReport{}, models: map[string]string{}, adapters: map[string][]string{}, leaving: map[string]bool{},
		waiting: map[uint64]chan admit.DequeueResult{},
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
	g.limiters[s.ID] = limiterOf(slots)
	g.setLimit()
	g.next(time.Now())
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
	g.setLimit()
}

func (g *Group) setLeaving(id string, leaving bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.servers[id] == nil || g.leaving[id] == leaving {
		return
	}
	g.leaving[id] = leaving
	g.table.SetLeaving(id, leaving)
	g.setLimit()
	g.next(time.Now())
	klog.InfoS("Server leaving mark changed", "server", id, "leaving", leaving)
}

// Available reports whether the server takes new work.
func (g *Group) Available(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.servers[id] != nil && !g.leaving[id] && g.models[id] != "" && g.health.Weight(id) > 0
}

// Model returns the model that a server holds; empty while that is not known.
func (g *Group) Model(id string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.models[id]
}

// Names returns the model and the adapters that a server holds.
func (g *Group) Names(id string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.models[id] == "" {
		return nil
	}
	return append([]string{g.models[id]}, g.adapters[id]...)
}

// Fleet returns the summary of the group's servers.
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

// setLimit adds up the limits of the servers that take new work. It is called
// with mu held, as are the other methods in lower case below.
func (g *Group) setLimit() {
	n := 0
	for id, l := range g.limiters {
		if !g.leaving[id] {
			n += l.Limit()
		}
	}
	g.queue.SetLimit(n)
}

// next starts or refuses waiting requests.
func (g *Group) next(now time.Time) {
	g.actions = g.queue.Dequeue(now, g.actions[:0])
	for _, a := range g.actions {
		if ch := g.waiting[a.ID]; ch != nil {
			delete(g.waiting, a.ID)
			ch <- a // has room for its one action
		}
	}
}

func (g *Group) lockedNext() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next(time.Now())
}

// Admit waits until a request of the workspace may run and returns what ends
// it, or the refusal. The request has not run then.
func (g *Group) Admit(ctx context.Context, workspace string, cost float64, deadline time.Time, expected time.Duration) (done func(), refusal *api.Refusal) {
	now := time.Now()
	g.mu.Lock()
	g.nextID++
	id := g.nextID
	g.queue.SetWeight(workspace, g.pool.weight(workspace))
	d := g.queue.Offer(now, admit.Request{ID: id, Workspace: workspace, Cost: max(1, cost), Deadline: deadline, ExpectedDuration: expected})
	var ch chan admit.DequeueResult
	if d.Verdict == admit.Wait {
		ch = make(chan admit.DequeueResult, 1)
		g.waiting[id] = ch
	}
	g.mu.Unlock()
	switch d.Verdict {
	case admit.Run:
		return g.release(now), nil
	case admit.Refuse:
		if d.Reason == admit.DeadlineTooShort {
			return nil, deadlineShort(d.RetryAfter)
		}
		return nil, overloaded(d.RetryAfter)
	}
	select {
	case a := <-ch:
		return g.admitted(a)
	case <-ctx.Done():
	}
	g.mu.Lock()
	gone := g.queue.Cancel(id)
	delete(g.waiting, id)
	g.mu.Unlock()
	if !gone {
		// The decision was made meanwhile.
		if done, _ := g.admitted(<-ch); done != nil {
			done()
		}
	}
	r := *api.AsRefusal(ctx.Err())
	r.Outcome = api.NotRun
	return nil, &r
}

func (g *Group) admitted(a admit.DequeueResult) (func(), *api.Refusal) {
	if !a.Started {
		return nil, deadlineShort(a.RetryAfter)
	}
	return g.release(time.Now()), nil
}

func (g *Group) release(began time.Time) func() {
	return func() {
		now := time.Now()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.queue.Finished(now.Sub(began))
		g.next(now)
	}
}

func overloaded(after time.Duration) *api.Refusal {
	return api.Unavailable(api.CodeOverloaded, after, "too many requests are waiting")
}

func deadlineShort(after time.Duration) *api.Refusal {
	return api.Unavailable(api.CodeDeadline, after, "the request would not be answered by its deadline")
}

// DelayFirstAttempt reports whether a first attempt should wait because of an outage.
func (g *Group) DelayFirstAttempt() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.DelayFirstAttempt(time.Now())
}

// DecideRetry decides about a failed attempt, within the retry budget.
func (g *Group) DecideRetry(a retry.Attempt) retry.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return retry.Decide(time.Now(), a, &g.budget, g.rng)
}

// Backoff returns a wait with full jitter after the given attempt.
func (g *Group) Backoff(attempt int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return retry.Backoff(attempt, g.rng)
}

// Hedge decides whether a second copy of a slow request is sent, within the
// retry budget. elapsed is the time since the dispatch, wait the expected time
// to the first token.
func (g *Group) Hedge(p retry.PendingRequest, wait time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p.HedgeDelay = g.slow.quantile(wait)
	return retry.Hedge(time.Now(), p, &g.budget)
}

// HedgeDelay returns when a request with the expected time to the first token
// counts as slow; zero while too little is known.
func (g *Group) HedgeDelay(wait time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slow.quantile(wait)
}

// observe takes in a health sample and applies what the tracker asks for.
func (g *Group) observe(now time.Time, server string, v health.Sample) {
	g.changes = g.health.Observe(now, server, v, g.changes[:0])
	g.apply(g.changes)
}

func (g *Group) apply(actions []health.Action) (probes []*Server) {
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
			klog.InfoS("Server ejected", "server", a.Server, "service", g.name)
			g.pool.audit("server-ejected", g.name, a.Server, "failures", "in use", "ejected")
		case a.Weight == 1:
			m.Returns.Add(1)
			klog.InfoS("Server has its whole weight again", "server", a.Server, "service", g.name)
			g.pool.audit("server-returned", g.name, a.Server, "probes answered", "", "in use")
		}
	}
	return probes
}

func (g *Group) evaluate() []*Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Steer()
	g.changes = g.health.Evaluate(time.Now(), g.changes[:0])
	return g.apply(g.changes)
}
