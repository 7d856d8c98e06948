package sim

import (
	"slices"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/health"
	"github.com/jacinthnotch/jacinthnotch/policy/retry"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
)

// leg is the second copy of a request that is slow to start.
type leg struct {
	id     uint64
	flight route.ActiveRequest
	choice route.Choice
	engine *engine
	run    *run
}

// hedgeLater sends a second copy when there is no first token by then.
func (c *call) hedgeLater(r *run, slow time.Duration) {
	s := c.sim()
	begin := s.now
	s.after(slow, func() {
		if c.run != r || c.over || c.spare != nil {
			return
		}
		ok := retry.Hedge(s.time(), retry.PendingRequest{
			Elapsed: s.now - begin, HedgeDelay: slow, Idempotent: !c.ev.NonIdempotent, FirstTokenReceived: r.first || c.passed > 0,
			Deadline: epoch.Add(c.arrived + c.ev.Deadline), ExpectedWait: time.Second,
		}, &c.svc.budget)
		if ok {
			c.hedge()
		}
	})
}

func (c *call) hedge() {
	s, x := c.sim(), c.inst
	now := s.time()
	req := route.Request{
		Model: c.ev.Service, PromptTokens: c.ev.PromptTokens, Prefix: c.ev.Prefix, PrefixTokens: c.ev.PrefixTokens,
		Exclude: append(slices.Clone(c.exclude), c.choice.Server),
	}
	ch, ok := c.svc.table.Pick(now, &req, x.rng)
	if !ok {
		return
	}
	s.calls++
	l := &leg{id: s.calls, choice: ch, engine: s.engines[s.index[ch.Server]], run: &run{ev: c.ev}}
	c.spare = l
	s.stats.attempt(s.now, c.ev)
	s.stats.hedges++
	l.flight = c.svc.table.Dispatched(now, ch, &req)
	c.svc.inFlight[ch.Server]++
	x.suspects.Started(l.id, ch.Server, fingerprint(c.event, c.ev), 0)
	net := s.latency(x.dc, l.engine.spec.DataCentre)
	// After the first token the leg takes the place of the first attempt.
	back := func(do func()) func() {
		return func() {
			s.after(net, func() {
				switch {
				case c.over:
				case c.spare == l:
					c.spareEvent(l, do)
				case c.run == l.run:
					do()
				}
			})
		}
	}
	l.run.onFirst, l.run.onDone = back(c.onFirst), back(c.onDone)
	l.run.onFail = func(f retry.Failure) {
		back(func() {
			if c.spare == l {
				c.svc.budget.RecordFailure(s.time(), ch.Server)
				x.observe(c.svc, ch.Server, health.Sample{Dead: f == retry.NotSent || l.engine.down})
				c.dropSpare()
				return
			}
			c.onFail(f)
		})()
	}
	s.after(net, func() { l.engine.submit(l.run) })
	s.notifyArrival(x, s.index[ch.Server], c.ev)
}

// spareEvent handles an event of the second copy while there are two: its first
// token makes it the only one.
func (c *call) spareEvent(l *leg, do func()) {
	if l.run.first && c.run != nil && !c.run.first {
		c.engine.cancel(c.run)
		c.land(0)
		c.inst.suspects.Finished(c.id, false)
		c.useSpare()
	}
	do()
}

// useSpare puts the second copy in the place of the first attempt.
func (c *call) useSpare() {
	l := c.spare
	c.spare = nil
	c.id, c.flight, c.choice, c.engine, c.run = l.id, l.flight, l.choice, l.engine, l.run
	c.began = c.svc.inFlight[l.choice.Server]
	c.inst.order = append(c.inst.order, c)
	c.silence = health.StallDetector{}
	c.watch(c.run, health.PhaseFirstByte, c.choice.Wait)
}

// dropSpare cancels the second copy.
func (c *call) dropSpare() {
	l := c.spare
	if l == nil {
		return
	}
	c.spare = nil
	s := c.sim()
	l.engine.cancel(l.run)
	c.svc.inFlight[l.choice.Server]--
	c.svc.table.Finished(s.time(), &l.flight, 0)
	c.inst.suspects.Finished(l.id, false)
	s.notifyEnd(c.inst, s.index[l.choice.Server])
}
