package servers

import (
	"slices"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/quarantine"
	"github.com/jacinthnotch/jacinthnotch/policy/admission"
	"github.com/jacinthnotch/jacinthnotch/policy/health"
	"github.com/jacinthnotch/jacinthnotch/policy/retry"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
)

// suspectLeaseDuration limits how long a suspect request holds a server's lease to
// run alone.
const suspectLeaseDuration = 30 * time.Second

// Dispatch is one attempt at a request on a server. Its methods must not be called
// concurrently.
type Dispatch struct {
	Server *Server
	Choice route.Choice

	group           *Group
	active          route.ActiveRequest
	suspectID       uint64
	fingerprint     string
	suspect         bool
	batch           bool
	inFlightAtStart int
	tokens          int
	reportedTokens  int
	finished        bool
}

// AttemptResult describes how an attempt ended.
type AttemptResult struct {
	// OK is set when the answer is complete or is a permanent refusal of the
	// request.
	OK bool
	// Inconclusive is set when this instance cancelled the attempt or when the
	// request was never sent to a healthy server. Neither says anything about the
	// server's health.
	Inconclusive bool
	// Failure is the failure of an attempt that is neither OK nor Inconclusive.
	Failure retry.Failure
	// ConnectionRefused is set when the server refuses connections.
	ConnectionRefused bool
	// Overloaded is set when the server refused the request for lack of capacity,
	// which counts against its concurrency limit and not against its health.
	Overloaded bool
}

// PickResult is the outcome of Pick or DispatchTo.
type PickResult uint8

// The outcomes of Pick and DispatchTo.
const (
	// Picked: a server was chosen.
	Picked PickResult = iota
	// NoServer: no server is eligible now.
	NoServer
	// SuspectWaits: the request may have crashed a server, must run alone, and the
	// chosen server cannot run it alone now.
	SuspectWaits
	// Held and Quarantined requests are not run.
	Held
	Quarantined
)

// Pick chooses a server for the request and records the dispatch. The caller
// must end the attempt with Finish.
func (g *Group) Pick(req *route.Request, fingerprint string) (*Dispatch, PickResult) {
	if r := g.verdict(req, fingerprint); r != Picked {
		return nil, r
	}
	g.mu.Lock()
	f, r := g.dispatch(req, fingerprint)
	g.mu.Unlock()
	if f != nil && !req.Batch && !g.plain && g.pool.requestObserver != nil {
		g.pool.requestObserver.RequestSent(f.Choice.Server, req.PromptTokens+req.OutputTokens)
	}
	return f, r
}

// DispatchTo records the dispatch of batch work to the given server. It overwrites
// req.Exclude.
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

// Preview returns the choice that Pick would make now, without dispatching.
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

// dispatch chooses a server and records the attempt. mu must be held throughout,
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
	f := &Dispatch{Server: g.servers[c.Server], Choice: c, group: g, suspectID: id, fingerprint: fingerprint,
		suspect: req.Suspect, batch: req.Batch}
	f.active = g.table.Dispatched(now, c, req)
	if !req.Batch {
		g.inFlight[c.Server]++
		f.inFlightAtStart = g.inFlight[c.Server]
	}
	g.pool.opts.Metrics.Dispatches.Add(1)
	return f, Picked
}

// FirstToken records the arrival of the first token.
func (f *Dispatch) FirstToken() {
	now := time.Now()
	g := f.group
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.FirstToken(now, &f.active)
	if f.batch {
		return
	}
	took := now.Sub(f.active.DispatchedAt)
	g.firstToken.add(took, f.Choice.Wait)
	g.observeLimit(f, admission.Sample{Latency: took, ExpectedLatency: f.Choice.Wait, InFlight: f.inFlightAtStart})
}

// observeLimit updates the server's concurrency limit. mu must be held.
func (g *Group) observeLimit(f *Dispatch, s admission.Sample) {
	l := g.limiters[f.Choice.Server]
	if l == nil {
		return
	}
	before := l.Limit()
	l.Observe(s)
	if l.Limit() != before {
		g.updateQueueLimit()
		g.dequeue(time.Now())
	}
}

// progressInterval is the number of tokens between updates of a stream's decode
// rate.
const progressInterval = 16

// Progress records the total of output tokens of this attempt so far.
func (f *Dispatch) Progress(tokens int) {
	f.tokens = tokens
	if f.suspect && f.group.pool.suspects.progress(f, tokens) {
		f.suspect = false
	}
	if tokens < f.reportedTokens+progressInterval {
		return
	}
	now := time.Now()
	g := f.group
	g.mu.Lock()
	defer g.mu.Unlock()
	perToken := g.table.Progress(now, &f.active, tokens)
	f.reportedTokens = tokens
	if nominal := g.loads[f.Choice.Server].DecodeRate; perToken > 0 && nominal > 0 {
		g.observe(now, f.Choice.Server, health.Sample{OK: true, LatencyRatio: perToken.Seconds() * nominal})
	}
}

// Finish records the end of the attempt. Further calls have no effect.
func (f *Dispatch) Finish(e AttemptResult) {
	if f.finished {
		return
	}
	f.finished = true
	now := time.Now()
	g := f.group
	g.pool.suspects.finish(f, e.OK)
	g.mu.Lock()
	g.table.Finished(now, &f.active, f.tokens)
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
			g.observeLimit(f, admission.Sample{Latency: now.Sub(f.active.DispatchedAt), InFlight: f.inFlightAtStart})
		}
	case !e.Inconclusive:
		if !e.Overloaded {
			g.budget.RecordFailure(now, f.Choice.Server)
			g.observe(now, f.Choice.Server, health.Sample{Dead: e.ConnectionRefused})
		}
		if !f.batch {
			g.observeLimit(f, admission.Sample{Failed: true, InFlight: f.inFlightAtStart})
		}
	}
	g.mu.Unlock()
	if !f.batch && !g.plain && g.pool.requestObserver != nil {
		g.pool.requestObserver.RequestEnded(f.Choice.Server)
	}
}

// Exclude returns tried with the dispatch's server added.
func (f *Dispatch) Exclude(tried []string) []string {
	if slices.Contains(tried, f.Choice.Server) {
		return tried
	}
	return append(tried, f.Choice.Server)
}
