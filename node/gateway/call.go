package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/exchange"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
	"github.com/jacinthnotch/jacinthnotch/policy/contain"
)

const (
	// maxSends bounds the servers that may refuse one request as not run.
	maxSends = 6
	// silentShare of the objective without a first event, or without an answer to a
	// safe request, makes a repeatable request go on at another server; silentLeast
	// keeps short objectives from repeating requests that only queue.
	silentShare = 0.7
	silentLeast = 100 * time.Millisecond
	// silentGaps times the gap objective, and at least silentGapLeast, without an
	// event makes a resumable stream go on at another server. Callers give up after
	// two seconds or more.
	silentGaps     = 3
	silentGapLeast = 700 * time.Millisecond
	// silentFault is the silence of a server from which an attempt that ends for
	// another reason, such as its caller's leaving, counts against the server.
	silentFault = time.Second
	// onceIdle is the longest idle time of a connection that carries a request that
	// cannot be repeated: the longer it idles, the likelier it has gone silent or
	// been dropped.
	onceIdle = 500 * time.Millisecond
	// bufferedAnswer bounds the plain answers that are read whole before any of
	// them is passed on, in bytes.
	bufferedAnswer = 1 << 20
	// fullRetry is the least time after which a caller may return when all servers
	// were full.
	fullRetry = 200 * time.Millisecond
	// waitShare of the time that is left may be expected as wait in the queue of a
	// server; beyond it the request is refused at once.
	waitShare = 0.5
	// lateMargin is kept from the time limit to write the final answer.
	lateMargin = 20 * time.Millisecond
)

// Causes for which an attempt is ended.
var (
	errSilent     = errors.New("gateway: the server is silent")
	errCallerGone = errors.New("gateway: the caller has left")
)

// call is one request of a caller.
type call struct {
	gateway  *Gateway
	revision *serving.Revision
	route    *serving.Route
	request  serving.Request
	writer   http.ResponseWriter
	incoming *http.Request
	body     []byte
	arrived  time.Time
	until    time.Time

	fingerprint contain.Fingerprint
	service     string
	tried       map[string]bool
	// sends counts servers that had the request, runs those among them that may
	// have run it.
	sends, runs int
	// lastEvent is the last event that was passed on; begun is set once the head of
	// the answer was.
	lastEvent int64
	begun     bool
	firstAt   time.Duration
	servers   []string
	// failure is the last server's answer that may be passed on when no other
	// attempt remains.
	failure *plainAnswer
	lastErr error
}

// verdict says how a call goes on after an attempt.
type verdict uint8

const (
	delivered verdict = iota
	notRun            // the request has not run at that server
	mayHaveRun
	ended // the caller has left or the time is up
)

// repeatable reports whether the request may run again after it may have run.
func (c *call) repeatable() bool {
	return c.route.Kind == serving.Safe || c.route.Kind == serving.Stream && c.route.Resumable
}

// run makes attempts until the request has its final answer.
func (c *call) run() {
	c.service = ChooseService(c.route)
	c.until = limit(c.arrived, c.request.CallerTimeout, c.route.Timeout)
	ctx, cancel := withLimit(c.incoming.Context(), c.until)
	defer cancel()
	for {
		lease, refusal := c.pick()
		if refusal != "" {
			c.giveUp(refusal)
			return
		}
		v := c.attempt(ctx, lease)
		switch {
		case v == delivered:
			c.finish("delivered")
			return
		case c.incoming.Context().Err() != nil:
			c.gateway.Metrics.count("caller_left")
			c.log("abandoned", 0, errCallerGone)
			panic(http.ErrAbortHandler)
		case ctx.Err() != nil:
			c.giveUp("the time limit is reached")
			return
		case v == mayHaveRun:
			if !c.repeatable() || c.runs >= c.route.MaxAttempts {
				c.giveUp("no attempt is left")
				return
			}
		case c.sends >= maxSends:
			c.giveUp("the servers refuse")
			return
		}
	}
}

// pick chooses the next server. A refusal says why there is none.
func (c *call) pick() (*fleet.Lease, string) {
	query := balance.Query{Service: c.service, Class: balance.Online, AtMostOnce: !c.repeatable(), Tried: c.tried}
	lease, ok := c.gateway.Placer.Place(query)
	if !ok {
		return nil, "no server is left"
	}
	if !c.until.IsZero() && lease.QueuePosition > 0 {
		wait := time.Duration(float64(lease.QueuePosition) / float64(lease.Slots) * float64(c.gateway.View.MeanRun(c.service)))
		if left := time.Until(c.until); wait > time.Duration(waitShare*float64(left)) {
			lease.End(balance.Abandoned)
			return nil, fmt.Sprintf("the expected wait of %d ms is too long", wait.Milliseconds())
		}
	}
	return lease, ""
}

// attempt sends the request to one server and passes its answer on.
func (c *call) attempt(ctx context.Context, lease *fleet.Lease) verdict {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.sends++
	c.tried[lease.Server.ID] = true
	c.servers = append(c.servers, lease.Server.ID)
	watch := c.watch(cancel)
	defer watch.Stop()
	began := time.Now()
	answer, err := c.gateway.Pool.Do(ctx, lease.Server.Address, c.outgoing(lease.Server.ID), c.echo)
	if err != nil {
		return c.failed(ctx, lease, began, err)
	}
	defer answer.Close()
	said := c.gateway.Protocol.ParseResponse(answer.Status, answer.Header)
	if said.NotRun {
		drain(answer)
		lease.End(balance.Refused)
		c.note(lease, "refused by the server", fmt.Errorf("status %d", answer.Status))
		return notRun
	}
	if answer.Status < http.StatusMultipleChoices && !said.Signed {
		lease.End(balance.Failed)
		return c.mayHaveRun(lease, errors.New("a success without a signature"))
	}
	if c.route.Kind == serving.Stream && answer.Status == http.StatusOK {
		return c.relay(ctx, lease, answer, watch, began)
	}
	return c.passOn(ctx, lease, answer, began)
}

// watch ends the attempt of a repeatable request when its server stays silent and
// another server could take it.
func (c *call) watch(cancel context.CancelCauseFunc) *time.Timer {
	bound := max(silentLeast, time.Duration(silentShare*float64(c.route.LatencyObjective)))
	if !c.repeatable() || c.runs+1 >= c.route.MaxAttempts || c.route.LatencyObjective <= 0 {
		bound = 1 << 62
	}
	return time.AfterFunc(bound, func() { cancel(errSilent) })
}

// failed records an attempt without a whole answer; heard is when the server was last
// heard, or the request was sent.
func (c *call) failed(ctx context.Context, lease *fleet.Lease, heard time.Time, err error) verdict {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errSilent), cause == nil:
		lease.End(balance.Unreachable)
		if !errors.Is(err, exchange.ErrNotSent) {
			c.gateway.Pool.CloseIdle(lease.Server.Address)
			if cause == nil {
				c.gateway.Containment.RecordFailure(c.fingerprint, lease.Server.ID)
			}
		}
	case time.Since(heard) > silentFault:
		lease.End(balance.Failed)
	default:
		lease.End(balance.Abandoned)
	}
	if errors.Is(err, exchange.ErrNotSent) {
		c.note(lease, "not sent", err)
		return notRun
	}
	return c.mayHaveRun(lease, err)
}

// mayHaveRun records an attempt that may have run without a whole answer.
func (c *call) mayHaveRun(lease *fleet.Lease, err error) verdict {
	c.runs++
	c.note(lease, "may have run", err)
	return mayHaveRun
}

// note logs an attempt that did not deliver the answer.
func (c *call) note(lease *fleet.Lease, outcome string, err error) {
	c.lastErr = err
	c.gateway.Metrics.count("attempt_failed")
	klog.InfoS("attempt failed", "id", c.request.ID, "server", lease.Server.ID, "outcome", outcome, "busy", lease.InFlight,
		"slots", lease.Slots, "serversAge", c.gateway.View.Age(), "lastEvent", c.lastEvent, "err", err)
}

// outgoing builds the request for one server.
func (c *call) outgoing(server string) *exchange.Request {
	h := forwardable(c.incoming.Header)
	var left time.Duration
	if !c.until.IsZero() {
		left = time.Until(c.until)
	}
	resumes := c.request.IsResume || c.begun
	c.gateway.Protocol.SetAttemptHeaders(h, server, left, c.lastEvent, resumes)
	r := &exchange.Request{
		Method: c.incoming.Method, Target: c.incoming.RequestURI, Host: c.incoming.Host, Header: h, Body: c.body, ID: c.request.ID,
	}
	if !c.repeatable() {
		r.MaxIdleTime = onceIdle
	}
	return r
}

func (c *call) echo(status int, h http.Header) (string, time.Duration) {
	a := c.gateway.Protocol.ParseResponse(status, h)
	return a.RequestID, a.KeepAliveTimeout
}

// finish logs and counts an answer that was passed on.
func (c *call) finish(outcome string) {
	c.gateway.Containment.RecordSuccess(c.fingerprint)
	c.gateway.Metrics.count("delivered")
	c.gateway.Metrics.first(c.route.Name).Record(c.firstAt)
	c.gateway.Metrics.total(c.route.Name).Record(time.Since(c.arrived))
	c.log(outcome, http.StatusOK, nil)
}

// giveUp gives the final answer to a request that is not served.
func (c *call) giveUp(cause string) {
	c.gateway.Metrics.count("given_up")
	if c.begun {
		c.log("cut: "+cause, 0, c.lastErr)
		panic(http.ErrAbortHandler) // the answer must not look complete
	}
	if c.failure != nil && c.runs > 0 {
		c.log("server's failure passed on", c.failure.status, c.lastErr)
		c.failure.write(c.writer)
		return
	}
	status, retryAfter := http.StatusBadGateway, time.Duration(0)
	switch {
	case c.runs == 0:
		status, retryAfter = http.StatusServiceUnavailable, c.retryAfter()
	case c.timeUp():
		status = http.StatusGatewayTimeout
	}
	c.log("refused: "+cause, status, c.lastErr)
	c.gateway.fail(c.writer, status, retryAfter, cause)
}

// timeUp reports whether the time limit is reached.
func (c *call) timeUp() bool { return !c.until.IsZero() && time.Until(c.until) <= lateMargin }

// retryAfter returns the time in which the load that stands before the request is
// expected to be worked off.
func (c *call) retryAfter() time.Duration {
	free, slots, _ := c.gateway.View.Room(c.service)
	if free > 0 || slots == 0 {
		return fullRetry
	}
	return max(fullRetry, time.Duration(float64(-free)/float64(slots)*float64(c.gateway.View.MeanRun(c.service))))
}

// log writes the line that closes a request's story.
func (c *call) log(outcome string, status int, err error) {
	klog.InfoS("request", "id", c.request.ID, "route", c.route.Name, "version", c.revision.Version, "outcome", outcome,
		"status", status, "servers", c.servers, "runs", c.runs, "first", c.firstAt, "total", time.Since(c.arrived), "err", err)
}

// drain reads a short answer to its end, so that the connection can be kept.
func drain(answer *exchange.Response) {
	// A failure shows in Close, which then drops the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, bufferedAnswer))
}
