package sim

import (
	"slices"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/admission"
	"github.com/jacinthnotch/jacinthnotch/policy/health"
	"github.com/jacinthnotch/jacinthnotch/policy/retry"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
	"github.com/jacinthnotch/jacinthnotch/policy/trace"
)

const (
	// After the failure of a request that crashes servers, the caller sends it again
	// through the next instance, at most maxCallerResends times.
	maxCallerResends  = 3
	callerResendDelay = time.Second
	// maxHoldTime is the longest wait until a held request looks for a server again. The
	// wait is random, which spreads the requests held in an outage over several load
	// reports after it.
	maxHoldTime = time.Second
)

// call is an online request on its instance, with all its attempts.
type call struct {
	inst          *instance
	svc           *service
	event         *trace.Event
	eventIndex    int    // position of event in the trace
	id            uint64 // of the call, or of its hedge once that is promoted
	arrivedAt     time.Duration
	admittedAt    time.Duration // when the admission queue let it start
	firstTokenAt  time.Duration // first token of all attempts; zero for none
	callerResends int           // how often the caller has sent the request again

	attemptCount         int
	mayHaveReachedServer bool     // an attempt may have run on a server
	deliveredTokens      int      // output tokens so far, which a resumed attempt continues
	exclude              []string // servers on which an attempt failed
	finished             bool
	outcome              int // 1 answered, -1 failed or refused, 0 not yet known
	endedAt              time.Duration

	activeRequest   route.ActiveRequest
	choice          route.Choice
	attempt         *attempt // nil between attempts
	engine          *engine
	inFlightAtStart int // requests of this instance on the server, this one included
	stallDetector   health.StallDetector
	hedge           *hedgeAttempt // nil for none
}

func (c *call) sim() *simulation { return c.inst.sim }

// dispatch picks a server and sends the request there. A request is held back while the
// retry budget delays first attempts and while no server is eligible.
func (c *call) dispatch() {
	s, x := c.sim(), c.inst
	now := s.wallTime()
	fp := fingerprint(c.eventIndex, c.event)
	if s.quarantine.quarantined[fp] {
		c.finish(false)
		return
	}
	if c.attemptCount == 0 && c.svc.budget.DelayFirstAttempt(now) {
		c.holdBack(false)
		return
	}
	suspected := x.suspects.IsSuspect(now, fp)
	req := route.Request{
		Model: c.event.Service, PromptTokens: c.event.PromptTokens + c.deliveredTokens, OutputTokens: 0,
		Prefix: c.event.Prefix, PrefixTokens: c.event.PrefixTokens, Suspect: suspected, Exclude: c.exclude,
	}
	ch, ok := c.svc.table.Pick(now, &req, x.rng)
	if !ok && len(c.exclude) > 0 {
		c.exclude, req.Exclude = nil, nil
		ch, ok = c.svc.table.Pick(now, &req, x.rng)
	}
	if suspected && ok {
		ok = x.suspects.CanRun(now, ch.Server, fp) && s.quarantine.suspectLease(ch.Server).Acquire(now, fp, suspectLeaseDuration)
	}
	if !ok {
		c.holdBack(suspected)
		return
	}
	c.send(now, ch, &req, fp)
}

// holdBack dispatches the call again after a short wait, or fails it if its deadline has
// passed.
func (c *call) holdBack(suspected bool) {
	s := c.sim()
	if s.now-c.arrivedAt > c.event.Deadline {
		c.finish(false)
		return
	}
	after := suspectRetryDelay
	if !suspected {
		after = time.Duration(c.inst.rng.Int64N(int64(maxHoldTime)))
	}
	s.after(after, c.dispatch)
}

// send starts an attempt on the chosen server.
func (c *call) send(now time.Time, ch route.Choice, req *route.Request, fp string) {
	s, x := c.sim(), c.inst
	c.attemptCount++
	if c.event.NonIdempotent && c.attemptCount > 1 {
		s.stats.nonIdempotentReruns++
	}
	s.stats.recordAttempt(s.now, c.event)
	c.choice, c.engine = ch, s.engines[s.engineIndex[ch.Server]]
	c.activeRequest = c.svc.table.Dispatched(now, ch, req)
	c.svc.inFlight[ch.Server]++
	c.inFlightAtStart = c.svc.inFlight[ch.Server]
	x.suspects.Started(c.id, ch.Server, fp, c.deliveredTokens)
	if req.Suspect {
		x.updateSuspectServers()
	}
	x.callsInFlight = append(x.callsInFlight, c)
	a := &attempt{event: c.event, outputTokens: c.deliveredTokens}
	c.attempt, c.stallDetector = a, health.StallDetector{}
	latency := s.latency(x.dataCentre, c.engine.spec.DataCentre)
	deliver := func(do func()) func() {
		return func() {
			s.after(latency, func() {
				if c.attempt == a && !c.finished {
					do()
				}
			})
		}
	}
	a.onFirstToken, a.onDone = deliver(c.onFirstToken), deliver(c.onDone)
	a.onFail = func(f retry.Failure) { deliver(func() { c.onFail(f) })() }
	if req.Suspect {
		a.onToken = deliver(c.onSuspectToken)
	}
	e := c.engine
	s.after(latency, func() { e.submit(a) })
	s.notifyArrival(x, s.engineIndex[ch.Server], c.event)
	c.watchForStall(a, health.PhaseFirstByte, ch.Wait)
	if !req.Suspect {
		c.scheduleHedge(a, retry.HedgeDelay(ch.Wait))
	}
}

// watchForStall handles an attempt whose connection goes silent: no first token, or no
// further token, within the gap timeout of the phase.
func (c *call) watchForStall(a *attempt, p health.Phase, expected time.Duration) {
	if c.event.Service != modelService {
		return
	}
	s := c.sim()
	s.after(health.GapTimeout(p, expected), func() {
		if c.attempt != a || c.finished {
			return
		}
		if !a.silent && (a.hasFirstToken || p == health.PhaseStream) {
			if a.hasFirstToken {
				c.stallDetector.Received()
			}
			c.watchForStall(a, health.PhaseStream, c.expectedStepTime())
			return
		}
		c.stallDetector.GapTimedOut()
		result := health.ProbeOK
		if c.engine.down {
			result = health.ProbeRefused
		}
		switch c.stallDetector.Probed(result, !a.hasFirstToken) {
		case health.KeepWaiting:
			c.watchForStall(a, p, expected)
		default:
			s.stats.silentConnections++
			c.engine.cancel(a)
			c.onFail(retry.ConnectionLost)
		}
	})
}

// expectedStepTime is the time between two tokens on an engine without other streams.
func (c *call) expectedStepTime() time.Duration {
	return time.Duration(float64(baseStepTime) / c.engine.spec.Speed)
}

// onFirstToken handles the first token of the current attempt and feeds its latency to
// the limiter of the server.
func (c *call) onFirstToken() {
	s := c.sim()
	now := s.wallTime()
	c.cancelHedge()
	if c.firstTokenAt == 0 {
		c.firstTokenAt = s.now
	}
	c.svc.table.FirstToken(now, &c.activeRequest)
	expected := c.choice.Wait + c.expectedStepTime()
	c.svc.limiters[c.choice.Server].Observe(admission.Sample{
		Latency: now.Sub(c.activeRequest.DispatchedAt), ExpectedLatency: expected, InFlight: c.inFlightAtStart,
	})
	c.svc.updateQueueLimit()
}

// onSuspectToken handles each token of a suspect, which clears it after enough of them.
func (c *call) onSuspectToken() {
	c.deliveredTokens = c.attempt.outputTokens
	if c.inst.suspects.Progress(c.sim().wallTime(), c.id, c.attempt.outputTokens) {
		c.onSuspectCleared()
	}
}

// onSuspectCleared releases the lease of the server and clears the fingerprint on all
// instances.
func (c *call) onSuspectCleared() {
	s := c.sim()
	fp := fingerprint(c.eventIndex, c.event)
	s.quarantine.suspectLease(c.choice.Server).Release(fp)
	s.quarantine.clearSuspect(fp)
}

// observeProgress measures the decode time per token of a running stream, as a multiple of
// the nominal one.
func (c *call) observeProgress(now time.Time) {
	if c.finished || c.attempt == nil || !c.attempt.hasFirstToken || c.attempt.silent {
		return
	}
	if d := c.svc.table.Progress(now, &c.activeRequest, c.attempt.outputTokens-c.attempt.initialTokens); d > 0 {
		nominal := c.engine.stepTime(c.engine.spec.Slots).Seconds() / c.engine.spec.Speed
		c.inst.observeHealth(c.svc, c.choice.Server, health.Sample{OK: true, LatencyRatio: d.Seconds() / nominal})
	}
}

// endAttempt removes the attempt, which has generated this number of output tokens, from
// the state of the instance and notifies the director of the server.
func (c *call) endAttempt(tokens int) {
	s, x := c.sim(), c.inst
	x.callsInFlight = slices.DeleteFunc(x.callsInFlight, func(o *call) bool { return o == c })
	c.svc.inFlight[c.choice.Server]--
	c.svc.table.Finished(s.wallTime(), &c.activeRequest, tokens)
	s.notifyEnd(x, s.engineIndex[c.choice.Server])
}

// onDone handles the complete answer.
func (c *call) onDone() {
	s, x := c.sim(), c.inst
	c.endAttempt(c.attempt.outputTokens - c.attempt.initialTokens)
	if x.suspects.Finished(c.id, true) {
		c.onSuspectCleared()
	}
	c.svc.budget.RecordSuccess(s.wallTime())
	x.observeHealth(c.svc, c.choice.Server, health.Sample{OK: true})
	c.finish(true)
}

// onFail handles the failure of the current attempt. If there is a hedge, it takes over;
// otherwise the retry policy decides.
func (c *call) onFail(f retry.Failure) {
	s, x := c.sim(), c.inst
	now := s.wallTime()
	a := c.attempt
	c.deliveredTokens = a.outputTokens
	if a.silent {
		c.deliveredTokens = a.deliveredTokens
	}
	c.attempt = nil
	c.endAttempt(a.outputTokens - a.initialTokens)
	x.suspects.Finished(c.id, false)
	s.quarantine.suspectLease(c.choice.Server).Release(fingerprint(c.eventIndex, c.event))
	if f != retry.NotSent {
		c.mayHaveReachedServer = true
	}
	x.observeHealth(c.svc, c.choice.Server, health.Sample{Dead: f == retry.NotSent || c.engine.down})
	if c.hedge != nil {
		c.promoteHedge()
		return
	}
	c.svc.budget.RecordFailure(x.sim.wallTime(), c.choice.Server)
	c.exclude = append(c.exclude, c.choice.Server)
	c.retryOrFail(now, f)
}

// retryOrFail retries or resumes the failed call as the retry policy decides, waits for
// the retry budget, or fails the call.
func (c *call) retryOrFail(now time.Time, f retry.Failure) {
	s := c.sim()
	d := retry.Decide(now, retry.Attempt{
		Number: c.attemptCount, Failure: f, MayHaveReachedServer: c.mayHaveReachedServer,
		Idempotent: !c.event.NonIdempotent, DeliveredTokens: c.deliveredTokens, Resumable: true,
		Deadline: startTime.Add(c.arrivedAt + c.event.Deadline), ExpectedDuration: time.Second,
	}, &c.svc.budget, c.inst.rng)
	switch d.Action {
	case retry.Retry, retry.Resume:
		after := d.Delay
		if c.inst.suspects.IsSuspect(now, fingerprint(c.eventIndex, c.event)) {
			// The crash report must be recorded before a suspect runs again.
			after = max(after, crashReportDelay+quarantineDelay)
		}
		s.after(after, c.dispatch)
	case retry.AwaitBudget:
		s.after(d.Delay, func() { c.retryOrFail(s.wallTime(), f) })
	default:
		c.finish(false)
	}
}

// finish answers the caller, who sends a failed request that crashes servers again.
func (c *call) finish(ok bool) {
	s, x := c.sim(), c.inst
	if c.finished {
		s.stats.answeredTwice++
		return
	}
	c.finished = true
	c.svc.queue.Finished(s.now - c.admittedAt)
	x.startQueued(c.svc)
	s.stats.recordEnd(c, ok)
	if ok || c.callerResends >= maxCallerResends || c.event.NonIdempotent || c.event.CrashAtToken == 0 {
		return
	}
	s.after(callerResendDelay, func() {
		s.lastRequestID++
		n := &call{
			inst: s.instances[(x.index+1)%len(s.instances)], event: c.event, eventIndex: c.eventIndex, id: s.lastRequestID,
			arrivedAt: s.now, callerResends: c.callerResends + 1,
		}
		n.svc = n.inst.services[c.event.Service]
		s.stats.callerResends++
		n.inst.offer(n)
	})
}
