package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/exchange"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
	"github.com/jacinthnotch/jacinthnotch/policy/contain"
)

// Protocol translates the headers of requests and answers.
type Protocol interface {
	// ParseRequest decodes the headers of a caller's request.
	ParseRequest(h http.Header) serving.Request
	// SetAttemptHeaders writes the headers that direct one attempt to a server, with the time
	// that is left (none when zero) and the event after which it goes on.
	SetAttemptHeaders(h http.Header, server string, left time.Duration, resumeAfter int64, resumes bool)
	// ParseResponse decodes the headers of a server's answer.
	ParseResponse(status int, h http.Header) serving.Response
	// SetRetryAfter writes the time after which a caller may return.
	SetRetryAfter(h http.Header, retryAfter time.Duration)
}

// Jobs takes the calls about batch jobs.
type Jobs interface {
	// Serve answers a call about jobs; false means that it is none.
	Serve(w http.ResponseWriter, r *http.Request, route *serving.Route) bool
}

// Placer chooses the server of a request and counts the request there.
type Placer interface {
	// Place returns false when there is no server for the request.
	Place(q balance.Query) (*fleet.Lease, bool)
}

// Containment knows the requests that crash the servers that run them.
type Containment interface {
	// Blocked reports whether the request is held back.
	Blocked(f contain.Fingerprint) bool
	// RecordFailure records that a run of the request broke off on a server.
	RecordFailure(f contain.Fingerprint, server string)
	// RecordSuccess records a whole answer to the request.
	RecordSuccess(f contain.Fingerprint)
}

// Gateway is the HTTP handler of callers.
type Gateway struct {
	View        *fleet.View
	Pool        *exchange.Pool
	Protocol    Protocol
	Jobs        Jobs
	Placer      Placer
	Containment Containment
	Metrics     *Metrics
}

const (
	// defaultBody bounds a request's body, in bytes, when the configuration does not.
	defaultBody = 4 << 20
	// notKnownRetry is the time after which a caller may return to an instance that
	// does not know the configuration yet.
	notKnownRetry = 300 * time.Millisecond
	// startWait, and a startWaitPart of the caller's patience, bound the wait of a
	// request for an instance that has just started.
	startWait     = time.Second
	startWaitPart = 4
	// heldRetry is the time after which the caller of a request that is held back may
	// return: it is held back for minutes.
	heldRetry = time.Minute
)

// ServeHTTP answers one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	request := g.Protocol.ParseRequest(r.Header)
	if !g.awaitKnowledge(r, request.CallerTimeout) {
		g.refuse(w, request.ID, http.StatusServiceUnavailable, notKnownRetry, "configuration or servers not known yet")
		return
	}
	revision := g.View.Revision()
	route := revision.Match(Host(r), r.URL.EscapedPath())
	if (route == nil || route.Kind == serving.Batch) && g.Jobs.Serve(w, r, route) {
		return
	}
	if route == nil {
		g.refuse(w, request.ID, http.StatusNotFound, 0, "no route")
		return
	}
	body, ok := g.readBody(w, r, request.ID, revision.Limits.BodyBytes)
	if !ok {
		return
	}
	c := &call{
		gateway: g, route: route, revision: revision, request: request, writer: w, incoming: r, body: body,
		arrived: arrived, tried: map[string]bool{},
	}
	c.lastEvent = request.ResumeAfter
	c.fingerprint = fingerprint(r, body)
	if g.Containment.Blocked(c.fingerprint) {
		g.refuse(w, request.ID, http.StatusServiceUnavailable, heldRetry, "held back: it broke several servers")
		return
	}
	c.run()
}

// awaitKnowledge waits until the instance knows a configuration and the servers. An
// instance that has just started does within a few store calls; a caller that is
// refused meanwhile may have no further attempt.
func (g *Gateway) awaitKnowledge(r *http.Request, patience time.Duration) bool {
	if g.View.Ready() {
		return true
	}
	wait := startWait
	if patience > 0 {
		wait = min(wait, patience/startWaitPart)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-g.View.Known():
		return true
	case <-r.Context().Done():
	case <-timer.C:
	}
	return false
}

// readBody reads the request's whole body; false means that the answer is given or
// that the caller has left.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, id string, limit int64) ([]byte, bool) {
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, true
	case errors.As(err, &tooLarge):
		g.refuse(w, id, http.StatusRequestEntityTooLarge, 0, "body above the limit")
	default:
		klog.InfoS("request abandoned", "id", id, "cause", "the caller broke off its body", "err", err)
		g.Metrics.count("caller_broke_off")
		panic(http.ErrAbortHandler)
	}
	return nil, false
}

// refuse gives a final answer of the system's own to a request that has not run.
func (g *Gateway) refuse(w http.ResponseWriter, id string, status int, retryAfter time.Duration, cause string) {
	klog.InfoS("request refused", "id", id, "status", status, "retryAfter", retryAfter, "cause", cause)
	g.Metrics.count("refused")
	g.fail(w, status, retryAfter, cause)
}

// fail writes an answer of the system's own.
func (g *Gateway) fail(w http.ResponseWriter, status int, retryAfter time.Duration, cause string) {
	if retryAfter > 0 {
		g.Protocol.SetRetryAfter(w.Header(), retryAfter)
	}
	http.Error(w, cause, status)
}

// fingerprint names requests that are the same but for their ids.
func fingerprint(r *http.Request, body []byte) contain.Fingerprint {
	h := xxhash.New()
	// Writes to a hash never fail.
	_, _ = h.WriteString(r.Method + " " + r.Host + r.RequestURI + "\n")
	_, _ = h.Write(body)
	return contain.Fingerprint(h.Sum64())
}

// Host returns the request's host without a port.
func Host(r *http.Request) string {
	if name, _, err := net.SplitHostPort(r.Host); err == nil {
		return name
	}
	return r.Host
}

// ChooseService divides the requests of a route among its services by weight.
func ChooseService(route *serving.Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	sum := 0.0
	for _, t := range route.Targets {
		sum += max(0, t.Weight)
	}
	point := rand.Float64() * sum
	for _, t := range route.Targets {
		if point -= max(0, t.Weight); point < 0 {
			return t.Service
		}
	}
	if len(route.Targets) == 0 {
		return ""
	}
	return route.Targets[len(route.Targets)-1].Service
}

// limit returns the time at which a request needs its final answer: the end of the
// caller's patience or of the route's timeout, whichever is first; zero when there
// is neither.
func limit(arrived time.Time, patience, timeout time.Duration) time.Time {
	shorter := patience
	if timeout > 0 && (shorter <= 0 || timeout < shorter) {
		shorter = timeout
	}
	if shorter <= 0 {
		return time.Time{}
	}
	return arrived.Add(shorter)
}

// withLimit returns a context that ends at the time limit.
func withLimit(ctx context.Context, limit time.Time) (context.Context, context.CancelFunc) {
	if limit.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, limit)
}
