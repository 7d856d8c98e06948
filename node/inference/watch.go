package inference

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthnotch/jacinthnotch/node/servers"
	"github.com/jacinthnotch/jacinthnotch/policy/health"
	"github.com/jacinthnotch/jacinthnotch/policy/retry"
)

// expectedTokenInterval is the time between tokens that gap timeouts assume. The
// timeout is at least eight times as long and at least a second.
const expectedTokenInterval = 100 * time.Millisecond

// gapTimeout returns how long the attempt may receive nothing, or zero for no limit.
// An answer that is not built from a stream arrives only at its end.
func (a *attempt) gapTimeout() time.Duration {
	c := a.call
	if !c.req.Stream && !c.parsed.SingleText {
		return 0
	}
	limits := c.service.pool.Service(c.serviceName)
	if a.lastByte.Load() == 0 {
		d := health.GapTimeout(health.PhaseFirstByte, a.dispatch.Choice.Wait)
		if limits != nil && limits.HeaderTimeoutMs > 0 {
			d = min(d, time.Duration(limits.HeaderTimeoutMs)*time.Millisecond)
		}
		return d
	}
	d := health.GapTimeout(health.PhaseStream, expectedTokenInterval)
	if limits != nil && limits.GapTimeoutMs > 0 {
		d = min(d, time.Duration(limits.GapTimeoutMs)*time.Millisecond)
	}
	return d
}

// stallDeadline returns when the attempt counts as stalled.
func (a *attempt) stallDeadline() (time.Time, bool) {
	gap := a.gapTimeout()
	if gap <= 0 || a.probing {
		return time.Time{}, false
	}
	return a.began.Add(time.Duration(max(a.lastByte.Load(), a.lastChecked)) + gap), true
}

// untilNextCheck returns the time until an attempt may count as stalled or slow.
func (c *call) untilNextCheck(live []*attempt) time.Duration {
	const maxWait = time.Minute
	now := time.Now()
	wait := maxWait
	for _, a := range live {
		if at, ok := a.stallDeadline(); ok {
			wait = min(wait, at.Sub(now))
		}
	}
	if at, ok := c.hedgeAt(live); ok {
		wait = min(wait, at.Sub(now))
	}
	return max(wait, time.Millisecond)
}

// probeIfStalled probes the server of an attempt that has reached its stallDeadline.
func (c *call) probeIfStalled(ctx context.Context, wg *conc.WaitGroup, a *attempt, probes chan probeResult) {
	at, ok := a.stallDeadline()
	if !ok || time.Now().Before(at) {
		return
	}
	if a.delivering.Load() {
		a.recordByte()
		return
	}
	if a.lastByte.Load() > a.lastChecked {
		a.stall.Received()
	}
	// The gap timeout starts again from here.
	a.lastChecked = int64(time.Since(a.began))
	if a.stall.GapTimedOut() != health.ProbeServer {
		return
	}
	a.probing = true
	wg.Go(func() {
		result, load := a.dispatch.Server.Probe(ctx)
		select {
		case probes <- probeResult{a, result, load}:
		case <-ctx.Done():
		}
	})
}

// handleProbe cancels the attempt if the result of the probe calls for it.
func (c *call) handleProbe(p probeResult) {
	a := p.a
	if a.lastByte.Load() > a.lastChecked {
		a.stall.Received()
		return
	}
	_, own := c.Group.Load(a.dispatch.Choice.Server)
	// Before the first byte, the request counts as waiting or running on the server if the
	// server reports at least as many requests as this instance has there.
	inProgress := a.lastByte.Load() == 0 && p.load.Running+p.load.Waiting >= own
	switch a.stall.Probed(p.result, inProgress) {
	case health.Reconnect:
	case health.FailOver:
		a.connectionRefused.Store(p.result == health.ProbeRefused)
	default:
		return
	}
	c.service.metrics.Silences.Add(1)
	a.stalled.Store(true)
	a.cancel()
}

// hedgeAt returns when the request may be hedged with a second copy.
func (c *call) hedgeAt(live []*attempt) (time.Time, bool) {
	if c.hedged || len(live) != 1 || !c.req.Idempotent || c.Route.Suspect || c.events.Load() > 0 || !c.parsed.SingleText {
		return time.Time{}, false
	}
	a := live[0]
	after := c.Group.HedgeDelay(a.dispatch.Choice.Wait)
	if after == 0 || a.firstTokenSeen.Load() || a.probing {
		return time.Time{}, false
	}
	return a.began.Add(after), true
}

// hedge picks another server for a second copy of a slow request, or returns nil.
func (c *call) hedge(live []*attempt) *servers.Dispatch {
	at, ok := c.hedgeAt(live)
	if !ok || time.Now().Before(at) {
		return nil
	}
	a := live[0]
	c.hedged = true
	exclude := c.Route.Exclude
	c.Route.Exclude = a.dispatch.Exclude(append([]string(nil), exclude...))
	defer func() { c.Route.Exclude = exclude }()
	expect, ok := c.Group.Preview(&c.Route)
	if !ok || !c.Group.Hedge(retry.PendingRequest{Elapsed: time.Since(a.began), Idempotent: true, FirstTokenReceived: a.firstTokenSeen.Load(),
		Deadline: c.Deadline, ExpectedWait: expect.Wait}, a.dispatch.Choice.Wait) {
		return nil
	}
	d, result := c.Group.Pick(&c.Route, string(c.req.Fingerprint))
	if result != servers.Picked {
		return nil
	}
	c.service.metrics.Hedges.Add(1)
	return d
}
