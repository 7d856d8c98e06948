package inference

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthnotch/jacinthnotch/node/servers"
	"github.com/jacinthnotch/jacinthnotch/policy/health"
	"github.com/jacinthnotch/jacinthnotch/policy/retry"
)

// usualStep is the time between tokens that is assumed for gap timeouts; the
// timeout is at least eight times that and at least a second.
const usualStep = 100 * time.Millisecond

// gap returns how long the attempt may be silent now; zero for no limit. A whole
// answer that is not built from a stream shows nothing until its end.
func (a *attempt) gap() time.Duration {
	c := a.call
	if !c.req.Stream && !c.parsed.Simple {
		return 0
	}
	limits := c.service.pool.Service(c.name)
	if a.last.Load() == 0 {
		d := health.GapTimeout(health.PhaseFirstByte, a.flight.Choice.Wait)
		if limits != nil && limits.HeaderTimeoutMs > 0 {
			d = min(d, time.Duration(limits.HeaderTimeoutMs)*time.Millisecond)
		}
		return d
	}
	d := health.GapTimeout(health.PhaseStream, usualStep)
	if limits != nil && limits.GapTimeoutMs > 0 {
		d = min(d, time.Duration(limits.GapTimeoutMs)*time.Millisecond)
	}
	return d
}

// silentAt returns when the attempt counts as silent.
func (a *attempt) silentAt() (time.Time, bool) {
	gap := a.gap()
	if gap <= 0 || a.probing {
		return time.Time{}, false
	}
	return a.began.Add(time.Duration(max(a.last.Load(), a.heard)) + gap), true
}

// nextCheck returns the time until an attempt may be silent or slow.
func (c *call) nextCheck(live []*attempt) time.Duration {
	const most = time.Minute
	now := time.Now()
	wait := most
	for _, a := range live {
		if at, ok := a.silentAt(); ok {
			wait = min(wait, at.Sub(now))
		}
	}
	if at, ok := c.hedgeAt(live); ok {
		wait = min(wait, at.Sub(now))
	}
	return max(wait, time.Millisecond)
}

// look probes the server of an attempt that has been silent for too long.
func (c *call) look(ctx context.Context, wg *conc.WaitGroup, a *attempt, probes chan probed) {
	at, ok := a.silentAt()
	if !ok || time.Now().Before(at) {
		return
	}
	if a.passing.Load() {
		a.touch()
		return
	}
	if a.last.Load() > a.heard {
		a.silence.Received()
	}
	// The timeout starts again from here.
	a.heard = int64(time.Since(a.began))
	if a.silence.GapTimedOut() != health.ProbeServer {
		return
	}
	a.probing = true
	wg.Go(func() {
		result, load := a.flight.Server.Probe(ctx)
		select {
		case probes <- probed{a, result, load}:
		case <-ctx.Done():
		}
	})
}

// probed acts on the answer of a probe.
func (c *call) probed(p probed) {
	a := p.a
	if a.last.Load() > a.heard {
		a.silence.Received()
		return
	}
	_, own := c.Group.Load(a.flight.Choice.Server)
	progress := a.last.Load() == 0 && p.load.Running+p.load.Waiting >= own
	switch a.silence.Probed(p.result, progress) {
	case health.Reconnect:
	case health.FailOver:
		a.refusing.Store(p.result == health.ProbeRefused)
	default:
		return
	}
	c.service.metrics.Silences.Add(1)
	a.gaveUp.Store(true)
	a.cancel()
}

// hedgeAt returns when a second copy of the request may be sent.
func (c *call) hedgeAt(live []*attempt) (time.Time, bool) {
	if c.hedged || len(live) != 1 || !c.req.Idempotent || c.Route.Suspect || c.events.Load() > 0 || !c.parsed.Simple {
		return time.Time{}, false
	}
	a := live[0]
	after := c.Group.HedgeDelay(a.flight.Choice.Wait)
	if after == 0 || a.first.Load() || a.probing {
		return time.Time{}, false
	}
	return a.began.Add(after), true
}

// hedge sends a second copy of a slow request to another server.
func (c *call) hedge(live []*attempt) *servers.Dispatch {
	at, ok := c.hedgeAt(live)
	if !ok || time.Now().Before(at) {
		return nil
	}
	a := live[0]
	c.hedged = true
	exclude := c.Route.Exclude
	c.Route.Exclude = a.flight.Exclude(append([]string(nil), exclude...))
	defer func() { c.Route.Exclude = exclude }()
	expect, ok := c.Group.Preview(&c.Route)
	if !ok || !c.Group.Hedge(retry.PendingRequest{Elapsed: time.Since(a.began), Idempotent: true, FirstTokenReceived: a.first.Load(),
		Deadline: c.Deadline, ExpectedWait: expect.Wait}, a.flight.Choice.Wait) {
		return nil
	}
	f, result := c.Group.Pick(&c.Route, string(c.req.Fingerprint))
	if result != servers.Picked {
		return nil
	}
	c.service.metrics.Hedges.Add(1)
	return f
}
