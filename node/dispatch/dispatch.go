// Package dispatch places a request on a server, decides whether it may run again
// and words the refusals. It is what requests to model servers and to plain
// services have in common.
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
	// noServerWait bounds the wait for a server when none is eligible. It covers
	// the return of an ejected server.
	noServerWait = 5 * time.Second
	// waitAttempt sets the mean wait between two looks for a server, by the
	// backoff after that many attempts (100 ms).
	waitAttempt = 3
	// suspectWait is the wait for a server that a suspect may use.
	suspectWait = 50 * time.Millisecond
	// heldAfter is when a held request may be sent again.
	heldAfter = 10 * time.Second
)

// Call is one request on its way to a server. It is used by one goroutine.
type Call struct {
	Group       *servers.Group
	Metrics     *metrics.Serving
	Fingerprint string
	Route       route.Request
	Deadline    time.Time
	// Attempts counts the dispatches.
	Attempts int
	// MayHaveReachedServer and AnswerLost say how far any attempt has come: a byte may have been
	// sent, and the answer was lost.
	MayHaveReachedServer, AnswerLost bool
}

// PickServer waits for a server.
func (c *Call) PickServer(ctx context.Context) (*servers.Dispatch, *api.Refusal) {
	began := time.Now()
	for {
		wait := c.Group.Backoff(waitAttempt)
		if c.Attempts > 0 || !c.Group.DelayFirstAttempt() {
			f, result := c.pick()
			switch result {
			case servers.Picked:
				return f, nil
			case servers.Quarantined:
				return nil, c.Refuse(api.CodeQuarantined, http.StatusUnprocessableEntity, 0, "the request has crashed servers and is not run again", nil)
			case servers.Held:
				return nil, c.Refuse(api.CodeQuarantined, http.StatusServiceUnavailable, heldAfter, "the request may have crashed servers and is held back", nil)
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

// pick chooses a server that was not tried, or else any.
func (c *Call) pick() (*servers.Dispatch, servers.PickResult) {
	f, result := c.Group.Pick(&c.Route, c.Fingerprint)
	if result == servers.NoServer && len(c.Route.Exclude) > 0 {
		c.Route.Exclude = nil
		f, result = c.Group.Pick(&c.Route, c.Fingerprint)
	}
	return f, result
}

// AwaitRetry waits until the request may run again after an attempt on f. Otherwise it
// returns the refusal: that of failed when the request is given up.
func (c *Call) AwaitRetry(ctx context.Context, f *servers.Dispatch, attempt func() retry.Attempt, failed func() *api.Refusal) *api.Refusal {
	c.Route.Exclude = f.Exclude(c.Route.Exclude)
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

// Outcome says how far the request has come.
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

// ContextRefusal is the refusal after the end of the caller's wait.
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
