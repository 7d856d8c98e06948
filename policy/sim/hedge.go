package sim

import (
	"slices"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/health"
	"github.com/jacinthnotch/jacinthnotch/policy/retry"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
)

// hedgeAttempt is a second attempt of a call that waits long for its first token.
type hedgeAttempt struct {
	id            uint64
	activeRequest route.ActiveRequest
	choice        route.Choice
	engine        *engine
	attempt       *attempt
}

// scheduleHedge sends a hedge if there is no first token after the delay and the retry
// budget permits it.
func (c *call) scheduleHedge(a *attempt, delay time.Duration) {
	s := c.sim()
	begin := s.now
	s.after(delay, func() {
		if c.attempt != a || c.finished || c.hedge != nil {
			return
		}
		ok := retry.Hedge(s.wallTime(), retry.PendingRequest{
			Elapsed: s.now - begin, HedgeDelay: delay, Idempotent: !c.event.NonIdempotent,
			FirstTokenReceived: a.hasFirstToken || c.deliveredTokens > 0,
			Deadline:           startTime.Add(c.arrivedAt + c.event.Deadline), ExpectedWait: time.Second,
		}, &c.svc.budget)
		if ok {
			c.sendHedge()
		}
	})
}

// sendHedge sends a hedge to another server, if one is eligible.
func (c *call) sendHedge() {
	s, x := c.sim(), c.inst
	now := s.wallTime()
	req := route.Request{
		Model: c.event.Service, PromptTokens: c.event.PromptTokens, Prefix: c.event.Prefix, PrefixTokens: c.event.PrefixTokens,
		Exclude: append(slices.Clone(c.exclude), c.choice.Server),
	}
	ch, ok := c.svc.table.Pick(now, &req, x.rng)
	if !ok {
		return
	}
	s.lastRequestID++
	h := &hedgeAttempt{id: s.lastRequestID, choice: ch, engine: s.engines[s.engineIndex[ch.Server]], attempt: &attempt{event: c.event}}
	c.hedge = h
	s.stats.recordAttempt(s.now, c.event)
	s.stats.hedges++
	h.activeRequest = c.svc.table.Dispatched(now, ch, &req)
	c.svc.inFlight[ch.Server]++
	x.suspects.Started(h.id, ch.Server, fingerprint(c.eventIndex, c.event), 0)
	latency := s.latency(x.dataCentre, h.engine.spec.DataCentre)
	// Once the hedge is promoted, its events are those of the current attempt.
	deliver := func(do func()) func() {
		return func() {
			s.after(latency, func() {
				switch {
				case c.finished:
				case c.hedge == h:
					c.onHedgeEvent(h, do)
				case c.attempt == h.attempt:
					do()
				}
			})
		}
	}
	h.attempt.onFirstToken, h.attempt.onDone = deliver(c.onFirstToken), deliver(c.onDone)
	h.attempt.onFail = func(f retry.Failure) {
		deliver(func() {
			if c.hedge == h {
				c.svc.budget.RecordFailure(s.wallTime(), ch.Server)
				x.observeHealth(c.svc, ch.Server, health.Sample{Dead: f == retry.NotSent || h.engine.down})
				c.cancelHedge()
				return
			}
			c.onFail(f)
		})()
	}
	s.after(latency, func() { h.engine.submit(h.attempt) })
	s.notifyArrival(x, s.engineIndex[ch.Server], c.event)
}

// onHedgeEvent handles an event of the hedge while the first attempt also runs. The first
// token of the hedge cancels the first attempt and promotes the hedge.
func (c *call) onHedgeEvent(h *hedgeAttempt, do func()) {
	if h.attempt.hasFirstToken && c.attempt != nil && !c.attempt.hasFirstToken {
		c.engine.cancel(c.attempt)
		c.endAttempt(0)
		c.inst.suspects.Finished(c.id, false)
		c.promoteHedge()
	}
	do()
}

// promoteHedge makes the hedge the current attempt.
func (c *call) promoteHedge() {
	h := c.hedge
	c.hedge = nil
	c.id, c.activeRequest, c.choice, c.engine, c.attempt = h.id, h.activeRequest, h.choice, h.engine, h.attempt
	c.inFlightAtStart = c.svc.inFlight[h.choice.Server]
	c.inst.callsInFlight = append(c.inst.callsInFlight, c)
	c.stallDetector = health.StallDetector{}
	c.watchForStall(c.attempt, health.PhaseFirstByte, c.choice.Wait)
}

// cancelHedge cancels the hedge, if there is one.
func (c *call) cancelHedge() {
	h := c.hedge
	if h == nil {
		return
	}
	c.hedge = nil
	s := c.sim()
	h.engine.cancel(h.attempt)
	c.svc.inFlight[h.choice.Server]--
	c.svc.table.Finished(s.wallTime(), &h.activeRequest, 0)
	c.inst.suspects.Finished(h.id, false)
	s.notifyEnd(c.inst, s.engineIndex[h.choice.Server])
}
