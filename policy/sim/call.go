package sim

import (
	"slices"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/admit"
	"github.com/jacinthnotch/jacinthnotch/policy/health"
	"github.com/jacinthnotch/jacinthnotch/policy/retry"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
	"github.com/jacinthnotch/jacinthnotch/policy/trace"
)

const (
	// A caller whose request fails sends it again up to resends times.
	resends     = 3
	resendAfter = time.Second
	// holdTime bounds the wait until a held request is tried again. It spreads
	// the requests held in an outage over several load reports after it.
	holdTime = time.Second
)

// call is one online request at its instance.
type call struct {
	inst     *instance
	svc      *service
	ev       *trace.Event
	event    int
	id       uint64
	arrived  time.Duration
	admitted time.Duration
	first    time.Duration // first token ever
	resent   int

	attempts int
	reached  bool
	passed   int
	exclude  []string
	over     bool
	outcome  int // 1 answered, -1 failed or refused, 0 open
	ended    time.Duration

	flight  route.ActiveRequest
	choice  route.Choice
	run     *run
	engine  *engine
	began   int // streams of this instance on the server
	silence health.Silence
	spare   *leg
}

func (c *call) sim() *simulation { return c.inst.sim }

// dispatch sends the request to a server.
func (c *call) dispatch() {
	s, x := c.sim(), c.inst
	now := s.time()
	fp := fingerprint(c.event, c.ev)
	if s.quar.closed[fp] {
		c.finish(false)
		return
	}
	if c.attempts == 0 && c.svc.budget.DelayFirstAttempt(now) {
		c.wait(false)
		return
	}
	suspected := x.suspects.IsSuspect(now, fp)
	req := route.Request{
		Model: c.ev.Service, PromptTokens: c.ev.PromptTokens + c.passed, OutputTokens: 0,
		Prefix: c.ev.Prefix, PrefixTokens: c.ev.PrefixTokens, Suspect: suspected, Exclude: c.exclude,
	}
	ch, ok := c.svc.table.Pick(now, &req, x.rng)
	if !ok && len(c.exclude) > 0 {
		c.exclude, req.Exclude = nil, nil
		ch, ok = c.svc.table.Pick(now, &req, x.rng)
	}
	if suspected && ok {
		ok = x.suspects.CanRun(now, ch.Server, fp) && s.quar.gate(ch.Server).Acquire(now, fp, suspectLimit)
	}
	if !ok {
		c.wait(suspected)
		return
	}
	c.send(now, ch, &req, fp)
}

// wait tries again a little later when no server is eligible.
func (c *call) wait(suspected bool) {
	s := c.sim()
	if s.now-c.arrived > c.ev.Deadline {
		c.finish(false)
		return
	}
	after := suspectWait
	if !suspected {
		after = time.Duration(c.inst.rng.Int64N(int64(holdTime)))
	}
	s.after(after, c.dispatch)
}

func (c *call) send(now time.Time, ch route.Choice, req *route.Request, fp string) {
	s, x := c.sim(), c.inst
	c.attempts++
	if c.ev.NonIdempotent && c.attempts > 1 {
		s.stats.repeated++
	}
	s.stats.attempt(s.now, c.ev)
	c.choice, c.engine = ch, s.engines[s.index[ch.Server]]
	c.flight = c.svc.table.Dispatched(now, ch, req)
	c.svc.inFlight[ch.Server]++
	c.began = c.svc.inFlight[ch.Server]
	x.suspects.Started(c.id, ch.Server, fp, c.passed)
	if req.Suspect {
		x.markSuspects()
	}
	x.order = append(x.order, c)
	r := &run{ev: c.ev, produced: c.passed}
	c.run, c.silence = r, health.Silence{}
	net := s.latency(x.dc, c.engine.spec.DataCentre)
	back := func(do func()) func() {
		return func() {
			s.after(net, func() {
				if c.run == r && !c.over {
					do()
				}
			})
		}
	}
	r.onFirst, r.onDone = back(c.onFirst), back(c.onDone)
	r.onFail = func(f retry.Failure) { back(func() { c.onFail(f) })() }
	if req.Suspect {
		r.onToken = back(c.onSuspectToken)
	}
	e := c.engine
	s.after(net, func() { e.submit(r) })
	s.notifyArrival(x, s.index[ch.Server], c.ev)
	c.watch(r, health.PhaseFirst, ch.Wait)
	if !req.Suspect {
		c.hedgeLater(r, retry.HedgeDelay(ch.Wait))
	}
}

// watch looks for silence: no first token, or no token since the last look.
func (c *call) watch(r *run, p health.Phase, expected time.Duration) {
	if c.ev.Service != modelName {
		return
	}
	s := c.sim()
	s.after(health.GapTimeout(p, expected), func() {
		if c.run != r || c.over {
			return
		}
		if !r.silent && (r.first || p == health.PhaseStream) {
			if r.first {
				c.silence.Heard()
			}
			c.watch(r, health.PhaseStream, c.stepTime())
			return
		}
		c.silence.Gap()
		result := health.ProbeOK
		if c.engine.down {
			result = health.ProbeRefused
		}
		switch c.silence.Probed(result, !r.first) {
		case health.KeepWaiting:
			c.watch(r, p, expected)
		default:
			s.stats.silences++
			c.engine.cancel(r)
			c.onFail(retry.ConnectionLost)
		}
	})
}

func (c *call) stepTime() time.Duration {
	return time.Duration(float64(stepBase) / c.engine.spec.Speed)
}

func (c *call) onFirst() {
	s := c.sim()
	now := s.time()
	c.dropSpare()
	if c.first == 0 {
		c.first = s.now
	}
	c.svc.table.FirstToken(now, &c.flight)
	expected := c.choice.Wait + c.stepTime()
	c.svc.limiters[c.choice.Server].Observe(admit.Sample{
		Latency: now.Sub(c.flight.DispatchedAt), ExpectedLatency: expected, InFlight: c.began,
	})
	c.svc.setLimit()
}

func (c *call) onSuspectToken() {
	c.passed = c.run.produced
	if c.inst.suspects.Progress(c.sim().time(), c.id, c.run.produced) {
		c.cleared()
	}
}

// cleared frees the suspect's place on the server.
func (c *call) cleared() {
	s := c.sim()
	fp := fingerprint(c.event, c.ev)
	s.quar.gate(c.choice.Server).Release(fp)
	s.quar.clear(fp)
}

// progress measures the decode speed of a running stream.
func (c *call) progress(now time.Time) {
	if c.over || c.run == nil || !c.run.first || c.run.silent {
		return
	}
	if d := c.svc.table.Progress(now, &c.flight, c.run.produced-c.run.mark); d > 0 {
		nominal := c.engine.stepTime(c.engine.spec.Slots).Seconds() / c.engine.spec.Speed
		c.inst.observe(c.svc, c.choice.Server, health.Sample{OK: true, Slowness: d.Seconds() / nominal})
	}
}

// land ends the attempt.
func (c *call) land(tokens int) {
	s, x := c.sim(), c.inst
	x.order = slices.DeleteFunc(x.order, func(o *call) bool { return o == c })
	c.svc.inFlight[c.choice.Server]--
	c.svc.table.Finished(s.time(), &c.flight, tokens)
	s.notifyEnd(x, s.index[c.choice.Server])
}

func (c *call) onDone() {
	s, x := c.sim(), c.inst
	c.land(c.run.produced - c.run.mark)
	if x.suspects.Finished(c.id, true) {
		c.cleared()
	}
	c.svc.budget.RecordSuccess(s.time())
	x.observe(c.svc, c.choice.Server, health.Sample{OK: true})
	c.finish(true)
}

func (c *call) onFail(f retry.Failure) {
	s, x := c.sim(), c.inst
	now := s.time()
	r := c.run
	c.passed = r.produced
	if r.silent {
		c.passed = r.delivered
	}
	c.run = nil
	c.land(r.produced - r.mark)
	x.suspects.Finished(c.id, false)
	s.quar.gate(c.choice.Server).Release(fingerprint(c.event, c.ev))
	if f != retry.NotSent {
		c.reached = true
	}
	x.observe(c.svc, c.choice.Server, health.Sample{Dead: f == retry.NotSent || c.engine.down})
	if c.spare != nil {
		c.useSpare()
		return
	}
	c.svc.budget.RecordFailure(x.sim.time(), c.choice.Server)
	c.exclude = append(c.exclude, c.choice.Server)
	c.again(now, f)
}

// again asks whether the failed request runs again.
func (c *call) again(now time.Time, f retry.Failure) {
	s := c.sim()
	d := retry.Decide(now, retry.Attempt{
		Number: c.attempts, Failure: f, MayHaveReachedServer: c.reached, Idempotent: !c.ev.NonIdempotent, DeliveredTokens: c.passed, Resumable: true,
		Deadline: epoch.Add(c.arrived + c.ev.Deadline), ExpectedDuration: time.Second,
	}, &c.svc.budget, c.inst.rng)
	switch d.Action {
	case retry.Retry, retry.Resume:
		after := d.Delay
		if c.inst.suspects.IsSuspect(now, fingerprint(c.event, c.ev)) {
			// The crash report is recorded before a suspect runs again.
			after = max(after, recordTime+quarantineLag)
		}
		s.after(after, c.dispatch)
	case retry.AwaitBudget:
		s.after(d.Delay, func() { c.again(s.time(), f) })
	default:
		c.finish(false)
	}
}

// finish answers the caller, who sends a failed request again.
func (c *call) finish(ok bool) {
	s, x := c.sim(), c.inst
	if c.over {
		s.stats.doubled++
		return
	}
	c.over = true
	c.svc.queue.Finished(s.now - c.admitted)
	x.next(c.svc)
	s.stats.finished(c, ok)
	if ok || c.resent >= resends || c.ev.NonIdempotent || c.ev.CrashAtToken == 0 {
		return
	}
	s.after(resendAfter, func() {
		s.calls++
		n := &call{
			inst: s.instances[(x.index+1)%len(s.instances)], ev: c.ev, event: c.event, id: s.calls,
			arrived: s.now, resent: c.resent + 1,
		}
		n.svc = n.inst.services[c.ev.Service]
		s.stats.resent++
		n.inst.offer(n)
	})
}
