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
	suspectID       uint64 // the ID of this attempt in suspects
	fingerprint     string
	suspect         bool // the request must run alone
	batch           bool
	inFlightAtStart int // online requests of this instance on the server, this one included
	tokens          int // output tokens so far
	reportedTokens  int // output tokens at the last update of the decode rate
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
	// SuspectWaits: the request may have crashed a server and must run alone, which
	// is not possible on the chosen server now.
	SuspectWaits
	// Held: the request may have crashed several servers and is not run now.
	// Quarantined: the request has crashed servers and is refused.
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
	d, r := g.dispatch(req, fingerprint)
	g.mu.Unlock()
	if d != nil && !req.Batch && !g.plain && g.pool.requestObserver != nil {
		g.pool.requestObserver.RequestSent(d.Choice.Server, req.PromptTokens+req.OutputTokens)
	}
	return d, r
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
	d := &Dispatch{Server: g.servers[c.Server], Choice: c, group: g, suspectID: id, fingerprint: fingerprint,
		suspect: req.Suspect, batch: req.Batch}
	d.active = g.table.Dispatched(now, c, req)
	if !req.Batch {
		g.inFlight[c.Server]++
		d.inFlightAtStart = g.inFlight[c.Server]
	}
	g.pool.opts.Metrics.Dispatches.Add(1)
	return d, Picked
}

// FirstToken records the arrival of the first token.
func (d *Dispatch) FirstToken() {
	now := time.Now()
	g := d.group
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.FirstToken(now, &d.active)
	if d.batch {
		return
	}
	took := now.Sub(d.active.DispatchedAt)
	g.firstToken.add(took, d.Choice.Wait)
	g.observeLimit(d, admission.Sample{Latency: took, ExpectedLatency: d.Choice.Wait, InFlight: d.inFlightAtStart})
}

// observeLimit updates the server's concurrency limit. mu must be held.
func (g *Group) observeLimit(d *Dispatch, sample admission.Sample) {
	l := g.limiters[d.Choice.Server]
	if l == nil {
		return
	}
	before := l.Limit()
	l.Observe(sample)
	if l.Limit() != before {
		g.updateQueueLimit()
		g.dequeue(time.Now())
	}
}

// progressInterval is the number of tokens between updates of a stream's decode
// rate.
const progressInterval = 16

// Progress records the total of output tokens of this attempt so far.
func (d *Dispatch) Progress(tokens int) {
	d.tokens = tokens
	if d.suspect && d.group.pool.suspects.progress(d, tokens) {
		d.suspect = false
	}
	if tokens < d.reportedTokens+progressInterval {
		return
	}
	now := time.Now()
	g := d.group
	g.mu.Lock()
	defer g.mu.Unlock()
	perToken := g.table.Progress(now, &d.active, tokens)
	d.reportedTokens = tokens
	if nominal := g.loads[d.Choice.Server].DecodeRate; perToken > 0 && nominal > 0 {
		g.observe(now, d.Choice.Server, health.Sample{OK: true, LatencyRatio: perToken.Seconds() * nominal})
	}
}

// Finish records the end of the attempt. Further calls have no effect.
func (d *Dispatch) Finish(result AttemptResult) {
	if d.finished {
		return
	}
	d.finished = true
	now := time.Now()
	g := d.group
	g.pool.suspects.finish(d, result.OK)
	g.mu.Lock()
	g.table.Finished(now, &d.active, d.tokens)
	if !d.batch {
		g.inFlight[d.Choice.Server]--
	}
	switch {
	case result.OK:
		if !d.batch {
			g.budget.RecordSuccess(now)
		}
		g.observe(now, d.Choice.Server, health.Sample{OK: true})
		if g.plain {
			g.observeLimit(d, admission.Sample{Latency: now.Sub(d.active.DispatchedAt), InFlight: d.inFlightAtStart})
		}
	case !result.Inconclusive:
		if !result.Overloaded {
			g.budget.RecordFailure(now, d.Choice.Server)
			g.observe(now, d.Choice.Server, health.Sample{Dead: result.ConnectionRefused})
		}
		if !d.batch {
			g.observeLimit(d, admission.Sample{Failed: true, InFlight: d.inFlightAtStart})
		}
	}
	g.mu.Unlock()
	if !d.batch && !g.plain && g.pool.requestObserver != nil {
		g.pool.requestObserver.RequestEnded(d.Choice.Server)
	}
}

// Exclude returns tried with the dispatch's server added.
func (d *Dispatch) Exclude(tried []string) []string {
	if slices.Contains(tried, d.Choice.Server) {
		return tried
	}
	return append(tried, d.Choice.Server)
}
