// Package dispatch holds what requests to model servers and to plain services have
// in common: selection of a server, retries and refusals.
package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/metrics"
	"github.com/jacinthnotch/jacinthnotch/node/servers"
	"github.com/jacinthnotch/jacinthnotch/policy/retry"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
)

const (
	// noServerWait limits the wait for a server when none is eligible. It is long
	// enough for an ejected server to return.
	noServerWait = 5 * time.Second
	// pollBackoffAttempt is the attempt number whose backoff is used as the wait
	// between two tries to pick a server (100 ms on average).
	pollBackoffAttempt = 3
	// suspectWait is the wait between two tries to pick a server for a suspect
	// request, which must run alone.
	suspectWait = 50 * time.Millisecond
	// heldRetryAfter is the Retry-After of a request that is held back.
	heldRetryAfter = 10 * time.Second
)

// Call is one request to a service. It must not be used concurrently.
type Call struct {
	Group       *servers.Group
	Metrics     *metrics.Serving
	Fingerprint string
	Route       route.Request
	Deadline    time.Time
	// Attempts counts the dispatches.
	Attempts int
	// MayHaveReachedServer is set when any attempt may have sent a byte, AnswerLost
	// when the answer of any attempt was lost.
	MayHaveReachedServer, AnswerLost bool
}

// PickServer waits until a server is available and records the dispatch to it.
func (c *Call) PickServer(ctx context.Context) (*servers.Dispatch, *api.Refusal) {
	began := time.Now()
	for {
		wait := c.Group.Backoff(pollBackoffAttempt)
		if c.Attempts > 0 || !c.Group.DelayFirstAttempt() {
			f, result := c.pick()
			switch result {
			case servers.Picked:
				return f, nil
			case servers.Quarantined:
				return nil, c.Refuse(api.CodeQuarantined, http.StatusUnprocessableEntity, 0, "the request has crashed servers and is not run again", nil)
			case servers.Held:
				return nil, c.Refuse(api.CodeQuarantined, http.StatusServiceUnavailable, heldRetryAfter, "the request may have crashed servers and is held back", nil)
			case servers.SuspectWaits:
				wait = suspectWait
			default:
				if time.Since(began) > noServerWait {
					return nil, c.Refuse(api.CodeNoServer, http.StatusServiceUnavailable, time.Second, "no server can take the request", nil)
				}
			}
		}
		if err := sleep(ctx, wait); err != nil {
			return nil, c.ContextRefusal(err)
		}
	}
}

// pick prefers a server that was not tried and falls back to any server.
func (c *Call) pick() (*servers.Dispatch, servers.PickResult) {
	f, result := c.Group.Pick(&c.Route, c.Fingerprint)
	if result == servers.NoServer && len(c.Route.Exclude) > 0 {
		c.Route.Exclude = nil
		f, result = c.Group.Pick(&c.Route, c.Fingerprint)
	}
	return f, result
}

// AwaitRetry waits until the request may be retried after the attempt on dispatch. If
// there is no retry, it returns the refusal from failed; if ctx ends, ContextRefusal.
func (c *Call) AwaitRetry(ctx context.Context, dispatch *servers.Dispatch, attempt func() retry.Attempt, failed func() *api.Refusal) *api.Refusal {
	c.Route.Exclude = dispatch.Exclude(c.Route.Exclude)
	for {
		d := c.Group.DecideRetry(attempt())
		switch d.Action {
		case retry.Retry, retry.Resume:
			if d.Action == retry.Resume {
				c.Metrics.Resumes.Add(1)
			}
			c.Metrics.Retries.Add(1)
		case retry.AwaitBudget:
		default:
			return failed()
		}
		if err := sleep(ctx, d.Delay); err != nil {
			return c.ContextRefusal(err)
		}
		if d.Action != retry.AwaitBudget {
			return nil
		}
	}
}

// Outcome returns whether the request has run, as far as the attempts show.
func (c *Call) Outcome() api.Outcome {
	switch {
	case c.AnswerLost:
		return api.Unknown
	case c.MayHaveReachedServer:
		return api.Ran
	}
	return api.NotRun
}

// Refuse returns a refusal with the outcome so far.
func (c *Call) Refuse(code api.Code, status int, after time.Duration, message string, err error) *api.Refusal {
	return &api.Refusal{Code: code, Status: status, RetryAfter: after, Message: message, Outcome: c.Outcome(), Err: err}
}

// ContextRefusal returns the refusal for a context that has ended with err. It
// reports the deadline as the cause if that has passed.
func (c *Call) ContextRefusal(err error) *api.Refusal {
	r := *api.AsRefusal(err)
	if !time.Now().Before(c.Deadline) {
		r = *api.AsRefusal(context.DeadlineExceeded)
	}
	r.Outcome = c.Outcome()
	return &r
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
