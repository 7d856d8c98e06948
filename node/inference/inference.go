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
	// builder holds what has been or will be delivered to the caller. Only the attempt that
	// owns the sink may use it, and the call itself between races.
	builder answer.Builder
	events  atomic.Int64

	owner sinkOwner
}

// run makes attempts until the request is answered or refused.
func (c *call) run(ctx context.Context) (*api.Answer, *api.Refusal) {
	for {
		d, refusal := c.PickServer(ctx)
		if refusal != nil {
			return nil, refusal
		}
		end := c.race(ctx, d)
		switch {
		case end.ctxErr != nil:
			return nil, c.ContextRefusal(end.ctxErr)
		case end.err == nil:
			return c.answer(end)
		case end.failure == retry.Permanent && c.events.Load() == 0:
			return c.refusedByServer(end)
		}
		if refusal := c.AwaitRetry(ctx, end.dispatch, func() retry.Attempt { return c.attempt(end) }, func() *api.Refusal { return c.failed(end) }); refusal != nil {
			return nil, refusal
		}
	}
}

func (c *call) attempt(e raceResult) retry.Attempt {
	a := retry.Attempt{Number: c.Attempts, Failure: e.failure, MayHaveReachedServer: c.MayHaveReachedServer, Idempotent: c.req.Idempotent,
		DeliveredTokens: c.builder.Tokens(), Resumable: c.parsed.SingleText, Deadline: c.Deadline, ExpectedDuration: e.dispatch.Choice.Wait}
	if c.events.Load() > 0 && !c.parsed.SingleText {
		// The events that the caller has received cannot be continued.
		a.DeliveredTokens = max(a.DeliveredTokens, 1)
	}
	if s, ok := errors.AsType[*port.StatusError](e.err); ok {
		a.RetryAfter = s.RetryAfter
	}
	return a
}

// answer returns the complete answer; that of a stream has no body.
func (c *call) answer(e raceResult) (*api.Answer, *api.Refusal) {
	const contentType = "Content-Type"
	if c.req.Stream {
		return &api.Answer{Status: http.StatusOK, Headers: []api.Header{{Name: contentType, Value: "text/event-stream"}}}, nil
	}
	a := &api.Answer{Status: e.result.Status, Body: e.result.Body, Headers: []api.Header{{Name: contentType, Value: "application/json"}}}
	if len(a.Body) > 0 {
		return a, nil
	}
	c.builder.SetResult(e.result)
	var err error
	if a.Body, err = c.builder.Body(c.req.Path); err != nil {
		return nil, api.AsRefusal(err)
	}
	return a, nil
}

// refusedByServer returns the server's own refusal of the request.
func (c *call) refusedByServer(e raceResult) (*api.Answer, *api.Refusal) {
	s, ok := errors.AsType[*port.StatusError](e.err)
	if !ok {
		return nil, c.Refuse(api.CodeTooLarge, http.StatusRequestEntityTooLarge, 0, "the request is too large for the server", e.err)
	}
	return &api.Answer{Status: s.Status, Body: s.Body, Headers: []api.Header{{Name: "Content-Type", Value: "application/json"}}}, nil
}

// failed returns the refusal after the last attempt.
func (c *call) failed(e raceResult) *api.Refusal {
	switch {
	case c.Outcome() == api.NotRun:
		return c.Refuse(api.CodeNoServer, http.StatusServiceUnavailable, time.Second, "no server could be reached", e.err)
	case c.AnswerLost && !c.req.Idempotent:
		return c.Refuse(api.CodeOutcomeUnknown, http.StatusBadGateway, 0, "the answer was lost; the request may have run", e.err)
	case e.failure == retry.Rejected:
		return c.Refuse(api.CodeServerRefused, http.StatusServiceUnavailable, time.Second, "the server refused the request", e.err)
	default:
		return c.Refuse(api.CodeServerFailed, http.StatusBadGateway, time.Second, "the server failed", e.err)
	}
}
