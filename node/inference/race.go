package inference

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthnotch/jacinthnotch/node/answer"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/servers"
	"github.com/jacinthnotch/jacinthnotch/policy/health"
	"github.com/jacinthnotch/jacinthnotch/policy/retry"
)

// errSuperseded ends an attempt after another one has answered first.
var errSuperseded = errors.New("inference: another attempt answered first")

// sinkError marks an error of the caller's sink.
type sinkError struct{ error }

func (e sinkError) Unwrap() error { return e.error }

// sinkOwner holds the attempt whose events go to the caller.
type sinkOwner struct {
	mu sync.Mutex
	a  *attempt
}

// claim makes a the owner if there is none and reports whether a is the owner.
func (o *sinkOwner) claim(a *attempt) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.a == nil {
		o.a = a
	}
	return o.a == a
}

func (o *sinkOwner) reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.a = nil
}

func (o *sinkOwner) is(a *attempt) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.a == a
}

// attempt is one dispatch to a server.
type attempt struct {
	call     *call
	dispatch *servers.Dispatch
	cancel   context.CancelFunc
	began    time.Time

	// lastByte is when the last byte was received, in nanoseconds since began.
	// delivering is set while the caller's sink runs, whose time does not count as
	// a stall of the server.
	lastByte       atomic.Int64
	delivering     atomic.Bool
	firstTokenSeen atomic.Bool
	tokens         int

	// continues is set when the caller has received events of an earlier attempt.
	continues bool

	stall       health.StallDetector
	lastChecked int64 // time of the last stall check, in nanoseconds since began
	probing     bool
	stopped     atomic.Bool
	// stalled is set before an attempt is cancelled because of a stall,
	// connectionRefused when the server refused the connection of a probe, and
	// probeAnswered when it answered the probe after a failed connection.
	stalled, connectionRefused, probeAnswered atomic.Bool

	result *port.GenerateResult
	err    error
}

// raceResult describes how a race ended. ctxErr is set when the caller has disconnected or
// the deadline has passed.
type raceResult struct {
	dispatch *servers.Dispatch
	result   *port.GenerateResult
	err      error
	failure  retry.Failure
	ctxErr   error
}

type probeResult struct {
	a      *attempt
	result health.ProbeResult
	load   port.LoadReport
}

// race runs one attempt, and a hedge when the first is slow, until one has answered
// or all have failed. All attempts have ended when it returns.
func (c *call) race(ctx context.Context, d *servers.Dispatch) raceResult {
	var wg conc.WaitGroup
	defer c.sinkOwner.reset()
	// A probe that is still running when the race ends is cancelled.
	probeCtx, stopProbes := context.WithCancel(ctx)
	defer stopProbes()
	results := make(chan *attempt, 2)
	probes := make(chan probeResult, 4)
	from := c.resumePoint()
	live := []*attempt{c.start(ctx, &wg, d, from, results)}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var last raceResult
	for len(live) > 0 {
		timer.Reset(c.untilNextCheck(live))
		select {
		case a := <-results:
			live = remove(live, a)
			r, decided := c.finishAttempt(ctx, a)
			// If the attempt that owned the sink failed, only its answer can be
			// continued, so that the other attempt is of no use.
			if last = r; decided || c.sinkOwner.is(a) {
				stopProbes()
				c.stopAll(live, &wg, results)
				return r
			}
		case p := <-probes:
			p.a.probing = false
			c.handleProbe(p)
		case <-timer.C:
			for _, a := range live {
				c.probeIfStalled(probeCtx, &wg, a, probes)
			}
			if second := c.hedge(live); second != nil {
				live = append(live, c.start(ctx, &wg, second, from, results))
			}
		}
	}
	stopProbes()
	wg.Wait()
	return last
}

func remove(list []*attempt, a *attempt) []*attempt {
	out := list[:0]
	for _, o := range list {
		if o != a {
			out = append(out, o)
		}
	}
	return out
}

// stopAll cancels the attempts and waits for their end.
func (c *call) stopAll(live []*attempt, wg *conc.WaitGroup, results chan *attempt) {
	for _, a := range live {
		a.stopped.Store(true)
		a.cancel()
	}
	wg.Wait()
	for range live {
		a := <-results
		c.recordOutcome(a)
		a.dispatch.Finish(servers.AttemptResult{Inconclusive: true})
	}
}

// recordOutcome records whether an attempt may have reached the server and whether
// its answer was lost, and classifies its error. The class of an attempt that succeeded
// or was superseded has no meaning.
func (c *call) recordOutcome(a *attempt) retry.Failure {
	if a.err == nil || errors.Is(a.err, errSuperseded) {
		c.MayHaveReachedServer = true
		return retry.ServerError
	}
	if _, ok := errors.AsType[sinkError](a.err); ok {
		c.MayHaveReachedServer, c.AnswerLost = true, true
		return retry.ConnectionLost
	}
	failure := servers.ClassifyError(a.err)
	c.MayHaveReachedServer = c.MayHaveReachedServer || failure != retry.NotSent && !servers.IsTooLarge(a.err)
	c.AnswerLost = c.AnswerLost || failure == retry.ConnectionLost
	return failure
}

// resumePoint is the point in the answer from which the attempts of one race start.
type resumePoint struct {
	resume    *port.Resume
	continues bool
}

// resumePoint returns the point from which the attempts of the next race start. It must
// be called before the first of them: after that, the attempt that owns the sink changes
// the builder, also while a hedge starts.
func (c *call) resumePoint() resumePoint {
	p := resumePoint{continues: c.events.Load() > 0}
	if c.parsed.SingleText {
		p.resume = c.builder.Resume()
	}
	return p
}

// start dispatches an attempt.
func (c *call) start(ctx context.Context, wg *conc.WaitGroup, d *servers.Dispatch, from resumePoint, results chan *attempt) *attempt {
	c.Attempts++
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{call: c, dispatch: d, cancel: cancel, began: time.Now(), continues: from.continues}
	req := &port.GenerateRequest{ID: c.req.ID + "-" + strconv.Itoa(c.Attempts), Path: c.req.Path, Body: c.req.Body,
		Stream: c.req.Stream || c.parsed.SingleText, Resume: from.resume}
	wg.Go(func() {
		defer cancel()
		a.result, a.err = d.Server.Engine.Generate(ctx, req, a.handleChunk)
		a.checkServerDied(ctx)
		results <- a
	})
	return a
}

// checkServerDied checks after a failed attempt whether the server has died. The
// crash report is recorded before the request can be retried.
func (a *attempt) checkServerDied(ctx context.Context) {
	if a.err == nil || a.stopped.Load() {
		return
	}
	if _, ok := errors.AsType[sinkError](a.err); ok || errors.Is(a.err, errSuperseded) {
		return
	}
	failure := servers.ClassifyError(a.err)
	if a.stalled.Load() {
		if a.connectionRefused.Load() {
			a.dispatch.ServerDied(ctx)
		}
		return
	}
	if ctx.Err() != nil || failure != retry.ConnectionLost && failure != retry.NotSent {
		return
	}
	result, _ := a.dispatch.Server.Probe(ctx)
	a.connectionRefused.Store(result == health.ProbeRefused)
	a.probeAnswered.Store(result == health.ProbeOK)
	if result == health.ProbeRefused && failure == retry.ConnectionLost {
		a.dispatch.ServerDied(ctx)
	}
}

// handleChunk handles an event of the server's stream and passes it on to the caller.
func (a *attempt) handleChunk(ch port.Chunk) error {
	c := a.call
	a.recordByte()
	kind := answer.ClassifyChunk(ch)
	if !c.sinkOwner.claim(a) {
		return errSuperseded
	}
	if ch.Tokens > 0 && !a.firstTokenSeen.Swap(true) {
		a.dispatch.FirstToken()
		if c.builder.Tokens() == 0 {
			c.service.metrics.FirstToken(c.serviceName).Record(time.Since(c.began))
		}
	}
	a.tokens += ch.Tokens
	finished := c.builder.Finished()
	if finished && kind == answer.Content && ch.FinishReason != "" || a.continues && kind == answer.RoleOnly {
		return nil // the caller has already received such an event
	}
	c.builder.Add(ch)
	if a.tokens > 0 {
		a.dispatch.Progress(a.tokens)
	}
	if !c.req.Stream || kind == answer.UsageOnly && !c.parsed.IncludeUsage {
		return nil
	}
	data := ch.Data
	if a.continues {
		data = c.builder.RewriteEvent(data)
	}
	a.delivering.Store(true)
	err := c.sink(data)
	a.delivering.Store(false)
	a.recordByte()
	if err != nil {
		return sinkError{err}
	}
	c.events.Add(1)
	return nil
}

func (a *attempt) recordByte() { a.lastByte.Store(int64(time.Since(a.began))) }

// finishAttempt records the result of an attempt that has ended and reports it to the
// server's health and load tracking. decided is set when no other attempt may change the
// result of the race.
func (c *call) finishAttempt(ctx context.Context, a *attempt) (r raceResult, decided bool) {
	r = raceResult{dispatch: a.dispatch, result: a.result, err: a.err}
	r.failure = c.recordOutcome(a)
	if a.err == nil && c.sinkOwner.claim(a) {
		if a.result.OutputTokens > a.tokens {
			a.dispatch.Progress(a.result.OutputTokens)
		}
		a.dispatch.Finish(servers.AttemptResult{OK: true})
		return r, true
	}
	if a.err == nil || errors.Is(a.err, errSuperseded) {
		a.dispatch.Finish(servers.AttemptResult{Inconclusive: true})
		return r, false
	}
	if s, ok := errors.AsType[sinkError](a.err); ok {
		a.dispatch.Finish(servers.AttemptResult{Inconclusive: true})
		r.ctxErr = fmt.Errorf("%w: %w", context.Canceled, s.error)
		return r, true
	}
	if err := ctx.Err(); err != nil {
		a.dispatch.Finish(servers.AttemptResult{Inconclusive: true})
		r.ctxErr = err
		return r, true
	}
	attemptResult := servers.AttemptResult{Failure: r.failure, ConnectionRefused: a.connectionRefused.Load()}
	switch {
	case r.failure == retry.Permanent:
		attemptResult = servers.AttemptResult{OK: true}
	case r.failure == retry.NotSent:
		attemptResult.Inconclusive = a.probeAnswered.Load() // the server is alive; a pooled connection was closed
	case r.failure == retry.Rejected:
		s, ok := errors.AsType[*port.StatusError](a.err)
		attemptResult.Overloaded = ok && s.Status == http.StatusTooManyRequests
	}
	a.dispatch.Finish(attemptResult)
	return r, r.failure == retry.Permanent
}
