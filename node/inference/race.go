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

// errOutrun ends an attempt after another one has answered first.
var errOutrun = errors.New("inference: another attempt answered first")

// errSink marks an error of the caller's sink.
type errSink struct{ error }

func (e errSink) Unwrap() error { return e.error }

// owner is the attempt whose events go to the caller.
type owner struct {
	mu sync.Mutex
	a  *attempt
}

// claim gives the caller's stream to the first attempt that asks for it.
func (o *owner) claim(a *attempt) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.a == nil {
		o.a = a
	}
	return o.a == a
}

func (o *owner) reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.a = nil
}

func (o *owner) is(a *attempt) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.a == a
}

// attempt is one dispatch to a server.
type attempt struct {
	call   *call
	flight *servers.Dispatch
	cancel context.CancelFunc
	began  time.Time

	// last is when a byte was heard last, in nanoseconds since began; passing is
	// set while the caller's sink is at work, which is not the server's silence.
	last    atomic.Int64
	passing atomic.Bool
	first   atomic.Bool
	tokens  int

	// continues is set when the caller has events of an earlier attempt.
	continues bool

	silence health.StallDetector
	heard   int64 // last at the last look
	probing bool
	stopped atomic.Bool
	// gaveUp is set before an attempt is cancelled for its silence, refusing
	// when the server refuses connections, well when a probe was answered.
	gaveUp, refusing, well atomic.Bool

	result *port.GenerateResult
	err    error
}

// ending is how a race ended. ctx is set when the caller's wait has ended.
type ending struct {
	flight  *servers.Dispatch
	result  *port.GenerateResult
	err     error
	failure retry.Failure
	ctx     error
}

type probed struct {
	a      *attempt
	result health.ProbeResult
	load   port.LoadReport
}

// race runs one attempt, and a second one when the first is slow, until one has
// answered or all have failed. All attempts have ended when it returns.
func (c *call) race(ctx context.Context, f *servers.Dispatch) ending {
	var wg conc.WaitGroup
	defer c.owner.reset()
	// The probes end with the race.
	probing, stopProbes := context.WithCancel(ctx)
	defer stopProbes()
	results := make(chan *attempt, 2)
	probes := make(chan probed, 4)
	from := c.origin()
	live := []*attempt{c.start(ctx, &wg, f, from, results)}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var last ending
	for len(live) > 0 {
		timer.Reset(c.nextCheck(live))
		select {
		case a := <-results:
			live = remove(live, a)
			e, over := c.settle(ctx, a)
			// After the loss of the attempt whose answer the caller has begun to
			// get, only that answer can be continued.
			if last = e; over || c.owner.is(a) {
				stopProbes()
				c.stopAll(live, &wg, results)
				return e
			}
		case p := <-probes:
			p.a.probing = false
			c.probed(p)
		case <-timer.C:
			for _, a := range live {
				c.look(probing, &wg, a, probes)
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
		c.note(a)
		a.flight.Finish(servers.AttemptResult{Inconclusive: true})
	}
}

// note records how far an attempt has come.
func (c *call) note(a *attempt) retry.Failure {
	if a.err == nil || errors.Is(a.err, errOutrun) {
		c.MayHaveReachedServer = true
		return retry.ServerError
	}
	if _, ok := errors.AsType[errSink](a.err); ok {
		c.MayHaveReachedServer, c.AnswerLost = true, true
		return retry.ConnectionLost
	}
	f := servers.ClassifyError(a.err)
	c.MayHaveReachedServer = c.MayHaveReachedServer || f != retry.NotSent && !servers.IsTooLarge(a.err)
	c.AnswerLost = c.AnswerLost || f == retry.ConnectionLost
	return f
}

// origin is where the attempts of one race begin.
type origin struct {
	resume    *port.Resume
	continues bool
}

// origin is called before the first attempt of a race: the attempt that claims
// the caller changes the builder from then on, also while a second one starts.
func (c *call) origin() origin {
	o := origin{continues: c.events.Load() > 0}
	if c.parsed.Simple {
		o.resume = c.builder.Resume()
	}
	return o
}

// start dispatches an attempt.
func (c *call) start(ctx context.Context, wg *conc.WaitGroup, f *servers.Dispatch, from origin, results chan *attempt) *attempt {
	c.Attempts++
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{call: c, flight: f, cancel: cancel, began: time.Now(), continues: from.continues}
	req := &port.GenerateRequest{ID: c.req.ID + "-" + strconv.Itoa(c.Attempts), Path: c.req.Path, Body: c.req.Body,
		Stream: c.req.Stream || c.parsed.Simple, Resume: from.resume}
	wg.Go(func() {
		defer cancel()
		a.result, a.err = f.Server.Engine.Generate(ctx, req, a.chunk)
		a.examine(ctx)
		results <- a
	})
	return a
}

// examine finds out whether the server has died when the connection failed. The
// crash report is recorded before the request can run again.
func (a *attempt) examine(ctx context.Context) {
	if a.err == nil || a.stopped.Load() {
		return
	}
	if _, ok := errors.AsType[errSink](a.err); ok || errors.Is(a.err, errOutrun) {
		return
	}
	f := servers.ClassifyError(a.err)
	if a.gaveUp.Load() {
		if a.refusing.Load() {
			a.flight.ServerDied(ctx)
		}
		return
	}
	if ctx.Err() != nil || f != retry.ConnectionLost && f != retry.NotSent {
		return
	}
	result, _ := a.flight.Server.Probe(ctx)
	a.refusing.Store(result == health.ProbeRefused)
	a.well.Store(result == health.ProbeOK)
	if result == health.ProbeRefused && f == retry.ConnectionLost {
		a.flight.ServerDied(ctx)
	}
}

// chunk passes an event of the stream on.
func (a *attempt) chunk(ch port.Chunk) error {
	c := a.call
	a.touch()
	kind := answer.KindOf(ch)
	if !c.owner.claim(a) {
		return errOutrun
	}
	if ch.Tokens > 0 && !a.first.Swap(true) {
		a.flight.FirstToken()
		if c.builder.Tokens() == 0 {
			c.service.metrics.FirstToken(c.name).Record(time.Since(c.began))
		}
	}
	a.tokens += ch.Tokens
	finished := c.builder.Finished()
	if finished && kind == answer.Content && ch.FinishReason != "" || a.continues && kind == answer.Prelude {
		return nil // the caller has it already
	}
	c.builder.Add(ch)
	if a.tokens > 0 {
		a.flight.Progress(a.tokens)
	}
	if !c.req.Stream || kind == answer.UsageOnly && !c.parsed.Usage {
		return nil
	}
	data := ch.Data
	if a.continues {
		data = c.builder.Continue(data)
	}
	a.passing.Store(true)
	err := c.sink(data)
	a.passing.Store(false)
	a.touch()
	if err != nil {
		return errSink{err}
	}
	c.events.Add(1)
	return nil
}

func (a *attempt) touch() { a.last.Store(int64(time.Since(a.began))) }

// settle takes the end of an attempt; over is set when the race is decided.
func (c *call) settle(ctx context.Context, a *attempt) (e ending, over bool) {
	e = ending{flight: a.flight, result: a.result, err: a.err}
	e.failure = c.note(a)
	if a.err == nil && c.owner.claim(a) {
		if a.result.OutputTokens > a.tokens {
			a.flight.Progress(a.result.OutputTokens)
		}
		a.flight.Finish(servers.AttemptResult{OK: true})
		return e, true
	}
	if a.err == nil || errors.Is(a.err, errOutrun) {
		a.flight.Finish(servers.AttemptResult{Inconclusive: true})
		return e, false
	}
	if s, ok := errors.AsType[errSink](a.err); ok {
		a.flight.Finish(servers.AttemptResult{Inconclusive: true})
		e.ctx = fmt.Errorf("%w: %w", context.Canceled, s.error)
		return e, true
	}
	if err := ctx.Err(); err != nil {
		a.flight.Finish(servers.AttemptResult{Inconclusive: true})
		e.ctx = err
		return e, true
	}
	end := servers.AttemptResult{Failure: e.failure, ConnectionRefused: a.refusing.Load()}
	switch {
	case e.failure == retry.Permanent:
		end = servers.AttemptResult{OK: true}
	case e.failure == retry.NotSent:
		end.Inconclusive = a.well.Load() // a pooled connection was closed
	case e.failure == retry.Rejected:
		s, ok := errors.AsType[*port.StatusError](a.err)
		end.Overloaded = ok && s.Status == http.StatusTooManyRequests
	}
	a.flight.Finish(end)
	return e, e.failure == retry.Permanent
}
