package servers

import (
	"slices"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/quarantine"
	"github.com/jacinthnotch/jacinthnotch/policy/admit"
	"github.com/jacinthnotch/jacinthnotch/policy/health"
	"github.com/jacinthnotch/jacinthnotch/policy/retry"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
)

// suspectLimit bounds how long a suspect holds its place on a server.
const suspectLimit = 30 * time.Second

// Dispatch is one attempt at a request on a server. Its methods may be called
// from one goroutine at a time.
type Dispatch struct {
	Server *Server
	Choice route.Choice

	group       *Group
	flight      route.ActiveRequest
	id          uint64
	fingerprint string
	suspect     bool
	batch       bool
	began       int
	tokens      int
	marked      int
	over        bool
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	// OK is set when the answer is whole, or refuses the request for good.
	OK bool
	// Inconclusive is set when the attempt was cancelled from here or was never sent
	// to a server that is well, which says nothing about the server.
	Inconclusive bool
	// Failure is the failure of an attempt that is neither.
	Failure retry.Failure
	// ConnectionRefused is set when the server refuses connections.
	ConnectionRefused bool
	// Overloaded is set when the server refused the request for lack of room, which
	// counts against its concurrency limit and not against its health.
	Overloaded bool
}

// PickResult is the outcome of Pick.
type PickResult uint8

// The outcomes of Pick.
const (
	// Picked: a server was chosen.
	Picked PickResult = iota
	// NoServer: no server is eligible now.
	NoServer
	// SuspectWaits: the request may have crashed a server and has to run alone.
	SuspectWaits
	// Held and Quarantined requests are not run.
	Held
	Quarantined
)

// Pick chooses a server for the request and records the dispatch. The caller
// must end the flight with Land.
func (g *Group) Pick(req *route.Request, fingerprint string) (*Dispatch, PickResult) {
	if r := g.verdict(req, fingerprint); r != Picked {
		return nil, r
	}
	g.mu.Lock()
	f, r := g.dispatch(req, fingerprint)
	g.mu.Unlock()
	if f != nil && !req.Batch && !g.plain && g.pool.arrivals != nil {
		g.pool.arrivals.RequestSent(f.Choice.Server, req.PromptTokens+req.OutputTokens)
	}
	return f, r
}

// DispatchTo records the dispatch of batch work on a given server.
func (g *Group) DispatchTo(server string, req *route.Request, fingerprint string) (*Dispatch, PickResult) {
	if r := g.verdict(req, fingerprint); r != Picked {
		return nil, r
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	req.Exclude = req.Exclude[:0]
	for id := range g.servers {
		if id != server {
			req.Exclude = append(req.Exclude, id)
		}
	}
	return g.dispatch(req, fingerprint)
}

// Preview returns the choice that Pick would make now, without a dispatch.
func (g *Group) Preview(req *route.Request) (route.Choice, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Pick(time.Now(), req, g.rng)
}

func (g *Group) verdict(req *route.Request, fingerprint string) PickResult {
	v := g.pool.suspects.verdict(fingerprint)
	req.Suspect = v == quarantine.Suspect
	switch v {
	case quarantine.Quarantined:
		return Quarantined
	case quarantine.Held:
		return Held
	}
	return Picked
}

// dispatch chooses a server and records the attempt. mu is held throughout,
// because a Choice is valid only until a server is removed.
func (g *Group) dispatch(req *route.Request, fingerprint string) (*Dispatch, PickResult) {
	now := time.Now()
	c, ok := g.table.Pick(now, req, g.rng)
	if !ok {
		return nil, NoServer
	}
	id, ok := g.pool.suspects.start(now, c.Server, fingerprint, req.Suspect)
	if !ok {
		return nil, SuspectWaits
	}
	f := &Dispatch{Server: g.servers[c.Server], Choice: c, group: g, id: id, fingerprint: fingerprint,
		suspect: req.Suspect, batch: req.Batch}
	f.flight = g.table.Dispatched(now, c, req)
	if !req.Batch {
		g.inFlight[c.Server]++
		f.began = g.inFlight[c.Server]
	}
	g.pool.opts.Metrics.Dispatches.Add(1)
	return f, Picked
}

// FirstToken records the first token.
func (f *Dispatch) FirstToken() {
	now := time.Now()
	g := f.group
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.FirstToken(now, &f.flight)
	if f.batch {
		return
	}
	took := now.Sub(f.flight.DispatchedAt)
	g.slow.add(took, f.Choice.Wait)
	g.learn(f, admit.Sample{Latency: took, ExpectedLatency: f.Choice.Wait, InFlight: f.began})
}

func (g *Group) learn(f *Dispatch, s admit.Sample) {
	l := g.limiters[f.Choice.Server]
	if l == nil {
		return
	}
	before := l.Limit()
	l.Observe(s)
	if l.Limit() != before {
		g.setLimit()
		g.next(time.Now())
	}
}

// progressTokens is after how many tokens a stream's speed is looked at.
const progressTokens = 16

// Progress records the output tokens of this attempt so far.
func (f *Dispatch) Progress(tokens int) {
	f.tokens = tokens
	if f.suspect && f.group.pool.suspects.progress(f, tokens) {
		f.suspect = false
	}
	if tokens < f.marked+progressTokens {
		return
	}
	now := time.Now()
	g := f.group
	g.mu.Lock()
	defer g.mu.Unlock()
	perToken := g.table.Progress(now, &f.flight, tokens)
	f.marked = tokens
	if nominal := g.loads[f.Choice.Server].DecodeRate; perToken > 0 && nominal > 0 {
		g.observe(now, f.Choice.Server, health.Sample{OK: true, LatencyRatio: perToken.Seconds() * nominal})
	}
}

// Finish ends the attempt.
func (f *Dispatch) Finish(e AttemptResult) {
	if f.over {
		return
	}
	f.over = true
	now := time.Now()
	g := f.group
	g.pool.suspects.finish(f, e.OK)
	g.mu.Lock()
	g.table.Finished(now, &f.flight, f.tokens)
	if !f.batch {
		g.inFlight[f.Choice.Server]--
	}
	switch {
	case e.OK:
		if !f.batch {
			g.budget.RecordSuccess(now)
		}
		g.observe(now, f.Choice.Server, health.Sample{OK: true})
		if g.plain {
			g.learn(f, admit.Sample{Latency: now.Sub(f.flight.DispatchedAt), InFlight: f.began})
		}
	case !e.Inconclusive:
		if !e.Overloaded {
			g.budget.RecordFailure(now, f.Choice.Server)
			g.observe(now, f.Choice.Server, health.Sample{Dead: e.ConnectionRefused})
		}
		if !f.batch {
			g.learn(f, admit.Sample{Failed: true, InFlight: f.began})
		}
	}
	g.mu.Unlock()
	if !f.batch && !g.plain && g.pool.arrivals != nil {
		g.pool.arrivals.RequestEnded(f.Choice.Server)
	}
}

// Exclude appends the flight's server to the servers that were tried.
func (f *Dispatch) Exclude(tried []string) []string {
	if slices.Contains(tried, f.Choice.Server) {
		return tried
	}
	return append(tried, f.Choice.Server)
}
