// Package plain forwards requests to plain HTTP services.
//
// An idempotent request whose server cannot be reached or whose answer is lost is
// retried, on another server if there is one, within the retry budget of the service.
// Any other request is dispatched once.
package plain

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/dispatch"
	"github.com/jacinthnotch/jacinthnotch/node/metrics"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/servers"
	"github.com/jacinthnotch/jacinthnotch/policy/health"
	"github.com/jacinthnotch/jacinthnotch/policy/retry"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
)

const (
	// defaultHeaderTimeout and defaultDeadline apply to a service whose
	// configuration section does not set them.
	defaultHeaderTimeout = 10 * time.Second
	defaultDeadline      = time.Minute
)

// Service implements api.PlainForwarder on a pool of servers.
type Service struct {
	pool    *servers.Pool
	metrics *metrics.Serving
}

var _ api.PlainForwarder = (*Service)(nil)

// New returns a Service that forwards requests to the servers of pool.
func New(pool *servers.Pool) *Service { return &Service{pool: pool, metrics: pool.Metrics()} }

func (s *Service) Do(ctx context.Context, req *api.PlainRequest) (*api.Answer, error) {
	a, refusal := s.do(ctx, req)
	if refusal != nil {
		s.metrics.Refusals.Add(string(refusal.Code), 1)
		return nil, refusal
	}
	return a, nil
}

func (s *Service) do(ctx context.Context, req *api.PlainRequest) (*api.Answer, *api.Refusal) {
	g, conf := s.pool.Group(req.Service), s.pool.Service(req.Service)
	if g == nil || conf == nil {
		return nil, api.Unavailable(api.CodeNoServer, time.Second, "the service has no server")
	}
	start := time.Now()
	c := &call{Call: dispatch.Call{Group: g, Metrics: s.metrics, Fingerprint: string(req.Fingerprint), Deadline: req.Deadline},
		req: req, headerTimeout: millisOrDefault(conf.HeaderTimeoutMs, defaultHeaderTimeout)}
	if c.Deadline.IsZero() {
		c.Deadline = start.Add(millisOrDefault(conf.DefaultDeadlineMs, defaultDeadline))
	}
	c.Route = route.Request{Model: req.Service}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	release, refusal := g.Admit(ctx, req.Workspace, 1, c.Deadline, 0)
	if refusal != nil {
		return nil, refusal
	}
	defer release()
	a, refusal := c.run(ctx)
	if refusal == nil {
		s.metrics.Total(req.Service).Record(time.Since(start))
	}
	return a, refusal
}

func millisOrDefault(ms int, defaultValue time.Duration) time.Duration {
	if ms <= 0 {
		return defaultValue
	}
	return time.Duration(ms) * time.Millisecond
}

// call is the state of one request to a plain service across all its attempts.
type call struct {
	dispatch.Call
	req           *api.PlainRequest
	headerTimeout time.Duration
}

func (c *call) run(ctx context.Context) (*api.Answer, *api.Refusal) {
	for {
		d, refusal := c.PickServer(ctx)
		if refusal != nil {
			return nil, refusal
		}
		c.Attempts++
		resp, err := d.Server.Plain.Do(ctx, c.request())
		if err == nil {
			d.Finish(servers.AttemptResult{OK: !isGatewayError(resp.Status), Failure: retry.ServerError})
			return newAnswer(resp), nil
		}
		failure := c.handleFailure(ctx, d, err)
		if ctx.Err() != nil {
			return nil, c.ContextRefusal(ctx.Err())
		}
		if failure == retry.Permanent {
			return nil, c.Refuse(api.CodeTooLarge, http.StatusRequestEntityTooLarge, 0, "the request or its answer is too large", err)
		}
		if refusal := c.waitForRetry(ctx, d, failure, err); refusal != nil {
			return nil, refusal
		}
	}
}

// isGatewayError reports whether a status counts as a failure of the server when its
// health is judged. The answer is returned to the caller in any case.
func isGatewayError(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

func (c *call) request() *port.PlainRequest {
	h := make(http.Header, len(c.req.Headers))
	for _, f := range c.req.Headers {
		h.Add(f.Name, f.Value)
	}
	return &port.PlainRequest{Method: c.req.Method, Path: c.req.Path, RawQuery: c.req.RawQuery, Header: h,
		Body: c.req.Body, HeaderTimeout: c.headerTimeout}
}

func newAnswer(r *port.PlainResponse) *api.Answer {
	a := &api.Answer{Status: r.Status, Body: r.Body}
	for name, values := range r.Header {
		for _, v := range values {
			a.Headers = append(a.Headers, api.Header{Name: name, Value: v})
		}
	}
	return a
}

// handleFailure classifies the failure of an attempt that got no answer, and finishes
// the dispatch. It probes the server to distinguish a dead server from a lost
// connection.
func (c *call) handleFailure(ctx context.Context, d *servers.Dispatch, err error) retry.Failure {
	failure := retry.ConnectionLost
	switch {
	case errors.Is(err, port.ErrOutcomeUnknown):
		if errors.Is(err, port.ErrTooLarge) {
			failure = retry.Permanent
		}
	case errors.Is(err, port.ErrUnavailable):
		if failure = retry.NotSent; errors.Is(err, port.ErrTooLarge) {
			failure = retry.Permanent
			d.Finish(servers.AttemptResult{Inconclusive: true})
			return failure
		}
	}
	c.MayHaveReachedServer = c.MayHaveReachedServer || failure != retry.NotSent
	c.AnswerLost = c.AnswerLost || failure == retry.ConnectionLost
	if ctx.Err() != nil || failure == retry.Permanent {
		d.Finish(servers.AttemptResult{Inconclusive: true})
		return failure
	}
	result, _ := d.Server.Probe(ctx)
	refused := result == health.ProbeRefused
	if refused && failure == retry.ConnectionLost {
		d.ServerDied(ctx)
	}
	// If the request was not sent and the server answers the probe, the server may only
	// have closed an idle pooled connection, which does not count as a failure.
	d.Finish(servers.AttemptResult{Failure: failure, ConnectionRefused: refused, Inconclusive: failure == retry.NotSent && result == health.ProbeOK})
	return failure
}

// waitForRetry waits until the request may be retried. It returns a refusal if the
// request must not be retried.
func (c *call) waitForRetry(ctx context.Context, d *servers.Dispatch, failure retry.Failure, cause error) *api.Refusal {
	if !c.req.Idempotent {
		return c.refusal(cause)
	}
	attempt := func() retry.Attempt {
		return retry.Attempt{Number: c.Attempts, Failure: failure, MayHaveReachedServer: c.MayHaveReachedServer, Idempotent: true, Deadline: c.Deadline}
	}
	return c.AwaitRetry(ctx, d, attempt, func() *api.Refusal { return c.refusal(cause) })
}

func (c *call) refusal(cause error) *api.Refusal {
	switch {
	case c.Outcome() == api.NotRun:
		return c.Refuse(api.CodeNoServer, http.StatusServiceUnavailable, time.Second, "no server could be reached", cause)
	case !c.req.Idempotent:
		return c.Refuse(api.CodeOutcomeUnknown, http.StatusBadGateway, 0, "the answer was lost; the request may have run", cause)
	default:
		return c.Refuse(api.CodeServerFailed, http.StatusBadGateway, time.Second, "the server failed", cause)
	}
}
