// Package inference runs online requests on model servers.
//
// A request is admitted, dispatched to one server and monitored. An idempotent
// request whose server dies or whose connection stalls is retried, or resumed from
// the last token, on another server; the caller receives each event once. A
// non-idempotent request is dispatched once.
package inference

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/answer"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/dispatch"
	"github.com/jacinthnotch/jacinthnotch/node/metrics"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/servers"
	"github.com/jacinthnotch/jacinthnotch/policy/retry"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
)

// defaultDeadline applies when neither the request nor its service sets a
// deadline.
const defaultDeadline = time.Minute

// Service implements api.Inference.
type Service struct {
	pool    *servers.Pool
	metrics *metrics.Serving
}

var _ api.Inference = (*Service)(nil)

// New returns a service on the servers of the pool.
func New(pool *servers.Pool) *Service { return &Service{pool: pool, metrics: pool.Metrics()} }

// Run implements api.Inference.
func (s *Service) Run(ctx context.Context, req *api.InferenceRequest, sink api.Sink) (*api.Answer, error) {
	began := time.Now()
	a, refusal := s.run(ctx, req, sink, began)
	if refusal != nil {
		s.metrics.Refusals.Add(string(refusal.Code), 1)
		return nil, refusal
	}
	return a, nil
}

func (s *Service) run(ctx context.Context, req *api.InferenceRequest, sink api.Sink, began time.Time) (*api.Answer, *api.Refusal) {
	target, ok := s.pool.Target(req.Model)
	if !ok {
		return nil, &api.Refusal{Code: api.CodeModelNotFound, Status: http.StatusNotFound, Param: "model",
			Message: "the model is not known", Outcome: api.NotRun}
	}
	g := s.pool.Group(target.Service)
	if g == nil {
		return nil, api.Unavailable(api.CodeNoServer, time.Second, "the model has no server")
	}
	c := &call{Call: dispatch.Call{Group: g, Metrics: s.metrics, Fingerprint: string(req.Fingerprint), Deadline: req.Deadline},
		service: s, serviceName: target.Service, req: req, sink: sink, began: began, parsed: answer.Parse(req.Body)}
	if c.Deadline.IsZero() {
		c.Deadline = began.Add(s.defaultDeadline(target.Service))
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	c.Route = route.Request{Model: target.Model, Adapter: target.Adapter, PromptTokens: c.parsed.PromptTokens,
		OutputTokens: c.parsed.OutputTokens, Prefix: c.parsed.PrefixHash, PrefixTokens: c.parsed.PrefixTokens}
	expect, _ := g.Preview(&c.Route)
	done, refusal := g.Admit(ctx, req.Workspace, float64(c.parsed.PromptTokens/8+c.parsed.OutputTokens), c.Deadline, expect.Wait)
	if refusal != nil {
		return nil, refusal
	}
	defer done()
	a, refusal := c.run(ctx)
	if refusal == nil {
		s.metrics.Total(c.serviceName).Record(time.Since(began))
	}
	return a, refusal
}

func (s *Service) defaultDeadline(service string) time.Duration {
	if c := s.pool.Service(service); c != nil && c.DefaultDeadlineMs > 0 {
		return time.Duration(c.DefaultDeadlineMs) * time.Millisecond
	}
	return defaultDeadline
}

// call is one online request.
type call struct {
	dispatch.Call
	service     *Service
	serviceName string
	req         *api.InferenceRequest
	sink        api.Sink
	parsed      answer.Request
	began       time.Time
	hedged      bool
	// builder holds what has been or will be delivered to the caller. During a race only
	// the attempt that owns the sink may use it, between races only the call itself.
	builder answer.Builder
	events  atomic.Int64 // events delivered to the caller

	sinkOwner sinkOwner
}

// run makes attempts until the request is answered or refused.
func (c *call) run(ctx context.Context) (*api.Answer, *api.Refusal) {
	for {
		d, refusal := c.PickServer(ctx)
		if refusal != nil {
			return nil, refusal
		}
		r := c.race(ctx, d)
		switch {
		case r.ctxErr != nil:
			return nil, c.ContextRefusal(r.ctxErr)
		case r.err == nil:
			return c.answer(r)
		case r.failure == retry.Permanent && c.events.Load() == 0:
			return c.refusedByServer(r)
		}
		if refusal := c.AwaitRetry(ctx, r.dispatch, func() retry.Attempt { return c.retryAttempt(r) }, func() *api.Refusal { return c.finalRefusal(r) }); refusal != nil {
			return nil, refusal
		}
	}
}

// retryAttempt describes a failed race to the retry policy.
func (c *call) retryAttempt(r raceResult) retry.Attempt {
	a := retry.Attempt{Number: c.Attempts, Failure: r.failure, MayHaveReachedServer: c.MayHaveReachedServer, Idempotent: c.req.Idempotent,
		DeliveredTokens: c.builder.Tokens(), Resumable: c.parsed.SingleText, Deadline: c.Deadline, ExpectedDuration: r.dispatch.Choice.Wait}
	if c.events.Load() > 0 && !c.parsed.SingleText {
		// No other attempt can continue the events that the caller has received. With at
		// least one delivered token, the request is not retried.
		a.DeliveredTokens = max(a.DeliveredTokens, 1)
	}
	if s, ok := errors.AsType[*port.StatusError](r.err); ok {
		a.RetryAfter = s.RetryAfter
	}
	return a
}

// answer returns the complete answer. That of a stream has no body, because its events
// have been delivered already.
func (c *call) answer(r raceResult) (*api.Answer, *api.Refusal) {
	const contentType = "Content-Type"
	if c.req.Stream {
		return &api.Answer{Status: http.StatusOK, Headers: []api.Header{{Name: contentType, Value: "text/event-stream"}}}, nil
	}
	a := &api.Answer{Status: r.result.Status, Body: r.result.Body, Headers: []api.Header{{Name: contentType, Value: "application/json"}}}
	if len(a.Body) > 0 {
		return a, nil
	}
	c.builder.SetResult(r.result)
	var err error
	if a.Body, err = c.builder.Body(c.req.Path); err != nil {
		return nil, api.AsRefusal(err)
	}
	return a, nil
}

// refusedByServer returns the server's own refusal of the request.
func (c *call) refusedByServer(r raceResult) (*api.Answer, *api.Refusal) {
	s, ok := errors.AsType[*port.StatusError](r.err)
	if !ok {
		return nil, c.Refuse(api.CodeTooLarge, http.StatusRequestEntityTooLarge, 0, "the request is too large for the server", r.err)
	}
	return &api.Answer{Status: s.Status, Body: s.Body, Headers: []api.Header{{Name: "Content-Type", Value: "application/json"}}}, nil
}

// finalRefusal returns the refusal of a request whose last attempt failed with r.
func (c *call) finalRefusal(r raceResult) *api.Refusal {
	switch {
	case c.Outcome() == api.NotRun:
		return c.Refuse(api.CodeNoServer, http.StatusServiceUnavailable, time.Second, "no server could be reached", r.err)
	case c.AnswerLost && !c.req.Idempotent:
		return c.Refuse(api.CodeOutcomeUnknown, http.StatusBadGateway, 0, "the answer was lost; the request may have run", r.err)
	case r.failure == retry.Rejected:
		return c.Refuse(api.CodeServerRefused, http.StatusServiceUnavailable, time.Second, "the server refused the request", r.err)
	default:
		return c.Refuse(api.CodeServerFailed, http.StatusBadGateway, time.Second, "the server failed", r.err)
	}
}
