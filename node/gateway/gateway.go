package gateway

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/origin"
	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/domain/workspace"
	"github.com/jacinthnotch/jacinthnotch/node/edge"
	"github.com/jacinthnotch/jacinthnotch/node/exchange"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/node/internal/budget"
	"github.com/jacinthnotch/jacinthnotch/node/internal/guard"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
	"github.com/jacinthnotch/jacinthnotch/policy/poison"
)

// Protocol encodes and decodes the platform's headers.
type Protocol interface {
	// ParseRequest decodes the headers of a caller's request.
	ParseRequest(h http.Header) serving.Request
	// SetAttemptHeaders sets the headers of one attempt: the server that it is meant for,
	// the time left until the deadline (zero for none) and, if resumes is set, the event
	// after which the stream continues.
	SetAttemptHeaders(h http.Header, server string, left time.Duration, resumeAfter int64, resumes bool)
	// ParseResponse decodes the headers of a server's response.
	ParseResponse(status int, h http.Header) serving.Response
	// CallerKey returns the key of a caller's request; empty if it has none.
	CallerKey(h http.Header) string
	// SetWorkspace sets the header of a request to a server that names the workspace, or
	// removes it if the name is empty, and removes the caller's key.
	SetWorkspace(h http.Header, workspace string)
	// SetRetryAfter sets the delay after which the caller may retry.
	SetRetryAfter(h http.Header, retryAfter time.Duration)
}

// Jobs handles the calls of the batch job API.
type Jobs interface {
	// Serve answers a call about batch jobs. It returns false, without a response, for
	// any other call. It decides itself what a caller without a known key may do.
	Serve(w http.ResponseWriter, r *http.Request, route *serving.Route, caller workspace.Caller) bool
}

// Placer picks the server for a request and counts the request in flight there.
type Placer interface {
	// Place returns no lease, but the reason, if the request gets no server.
	Place(q balance.Query) (*fleet.Lease, *balance.Rejection)
}

// Quotas counts the requests of workspaces.
type Quotas interface {
	// ReturnQuota takes a request back that was placed and has not run.
	ReturnQuota(q balance.Query)
}

// Containment blocks the requests that crash the servers that run them.
type Containment interface {
	// Blocked reports whether the request is blocked.
	Blocked(r poison.Request) bool
	// RecordBreak records that a server failed while it ran a request, before the response
	// had shown that the request crashes no server.
	RecordBreak(r poison.Request, server *serving.Server)
	// RecordAnswer records a complete answer to a request.
	RecordAnswer(r poison.Request)
}

// Origins knows at which version of the server software streams began.
type Origins interface {
	// Record records that a caller's attempt is sent to a server; attempt counts the servers
	// that got it.
	Record(requestID string, attempt int, server *serving.Server)
	// Resolve returns where the stream began whose first event came with a caller's attempt.
	// service is the service of the stream's route, or "" if it has several.
	Resolve(ctx context.Context, service, requestID string) (origin.Origin, origin.Status)
	// Confirm reports whether a stream that was sent to a server ran at the version that the
	// server's entry stated then.
	Confirm(ctx context.Context, o origin.Origin, sentAt time.Time) bool
}

// Gateway is the HTTP handler for callers' requests.
type Gateway struct {
	View     *fleet.View
	Pool     *exchange.Pool
	Protocol Protocol
	Jobs     Jobs
	Placer   Placer
	// Quotas is told of the requests that were placed and have not run; nil if nobody is.
	Quotas      Quotas
	Containment Containment
	Origins     Origins
	Metrics     *Metrics
	// Buffers limits the memory of the responses that are received in full before they are
	// forwarded. A response that does not fit is forwarded as it arrives, so that it cannot be
	// retried.
	Buffers *budget.Budget
	// Drain is the end of the instance's work; nil if it has none.
	Drain *Drain
	// Timeouts replaces the default timeouts in tests.
	Timeouts Timeouts
	queues   queues
}

// Timeouts are the times after which a gateway ends requests that make no progress. Zero
// fields take their default values.
type Timeouts struct {
	// Stall ends an attempt without a response, or without a complete event for so long, if
	// neither the caller nor the route limits the time of the request and no other attempt
	// is possible. Bytes that complete no event do not count.
	Stall time.Duration
	// Body is the time for which a caller may take to send its body, and Write the time for
	// which it may take to read a response or an event, if the request has no deadline.
	Body, Write time.Duration
	// WriteMargin is the time after the deadline for which a caller may take to read its
	// response.
	WriteMargin time.Duration
}

const (
	defaultStallTimeout = time.Minute
	defaultBodyTimeout  = 30 * time.Second
	defaultWriteTimeout = time.Minute
	defaultWriteMargin  = 5 * time.Second
)

const (
	// defaultMaxBodyBytes limits a request's body if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// notReadyRetryAfter is the retry delay in the response to a request while the instance
	// has no configuration or no list of servers.
	notReadyRetryAfter = 300 * time.Millisecond
	// maxReadyWait, and the caller's timeout divided by readyWaitDivisor, limit how long a
	// request waits until an instance that has just started is ready.
	maxReadyWait     = time.Second
	readyWaitDivisor = 4
	// blockedRetryAfter is the retry delay of a blocked request, which stays blocked for
	// minutes.
	blockedRetryAfter = time.Minute
)

// pressureRetryAfter is the retry delay of a request whose body was not read for want of memory,
// and causePressure the cause of its refusal.
const (
	pressureRetryAfter = 300 * time.Millisecond
	causePressure      = "no memory for the body now"
)

// causeUnknownKey is the cause of the refusal of a request without a known key.
const causeUnknownKey = "a known key is required"

// ServeHTTP implements http.Handler. A panic ends the request alone.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() {
		if cause := recover(); cause != nil {
			if cause != http.ErrAbortHandler {
				guard.Report("request", cause)
			}
			panic(http.ErrAbortHandler)
		}
	}()
	g.serve(w, r)
}

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	request := g.Protocol.ParseRequest(r.Header)
	if !g.awaitReady(r, request.CallerTimeout) {
		g.reject(w, request.ID, http.StatusServiceUnavailable, notReadyRetryAfter, "configuration or servers not known yet")
		return
	}
	revision := g.View.Revision()
	route := revision.Match(Host(r), r.URL.EscapedPath())
	caller := revision.Workspaces.Identify(g.Protocol.CallerKey(r.Header))
	if (route == nil || route.Kind == serving.Batch) && g.Jobs.Serve(w, r, route, caller) {
		return
	}
	switch {
	case route == nil:
		g.reject(w, request.ID, http.StatusNotFound, 0, "no route")
		return
	case caller.Unknown() && !route.Public:
		g.Metrics.count("unknown_key")
		g.reject(w, request.ID, http.StatusUnauthorized, 0, causeUnknownKey)
		return
	}
	deadline := requestDeadline(arrived, request.CallerTimeout, route.Timeout)
	body, ok := g.readBody(w, r, request.ID, revision.Limits.BodyBytes, deadline)
	if !ok {
		return
	}
	c := &call{
		gateway: g, route: route, caller: caller, revision: revision, request: request, writer: w, incoming: r, body: body,
		arrived: arrived, deadline: deadline, tried: map[string]bool{},
	}
	c.lastEvent = request.ResumeAfter
	c.subjects = poison.Request{Whole: fingerprint(r, body), Parts: SharedParts(&request)}
	if g.Containment.Blocked(c.subjects) {
		g.Metrics.count("blocked")
		klog.InfoS("request blocked", "id", request.ID, "promptParts", request.SegmentIDs())
		g.reject(w, request.ID, http.StatusServiceUnavailable, blockedRetryAfter, causeBlocked)
		return
	}
	c.run()
}

// awaitReady waits until the instance has a configuration and the list of servers. An
// instance that has just started gets them within a few store calls, and a caller that
// is rejected in the meantime may have no attempts left.
func (g *Gateway) awaitReady(r *http.Request, callerTimeout time.Duration) bool {
	if g.View.Ready() {
		return true
	}
	timeout := maxReadyWait
	if callerTimeout > 0 {
		timeout = min(timeout, callerTimeout/readyWaitDivisor)
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-g.View.ReadyNotify():
		return true
	case <-r.Context().Done():
	case <-timer.C:
	}
	return false
}

// readBody reads the request's whole body, which has to arrive by the deadline or, if that
// is zero, within the body timeout. It returns false after it has written an error response,
// and aborts the handler if the caller has disconnected.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, id string, maxBytes int64, deadline time.Time) ([]byte, bool) {
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	if deadline.IsZero() {
		deadline = time.Now().Add(cmp.Or(g.Timeouts.Body, defaultBodyTimeout))
	}
	controller := http.NewResponseController(w)
	// Only the writers of tests do not support deadlines.
	_ = controller.SetReadDeadline(deadline)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		_ = controller.SetReadDeadline(time.Time{})
		return body, true
	case errors.Is(err, edge.ErrPressure):
		w.Header().Set("Connection", "close")
		g.reject(w, id, http.StatusServiceUnavailable, pressureRetryAfter, causePressure)
	case errors.As(err, &tooLarge):
		g.reject(w, id, http.StatusRequestEntityTooLarge, 0, "body above the limit")
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		g.reject(w, id, http.StatusRequestTimeout, 0, "the body did not arrive in time")
	default:
		klog.InfoS("request abandoned", "id", id, "cause", "caller disconnected while it sent the body", "err", err)
		g.Metrics.count("caller_broke_off")
		panic(http.ErrAbortHandler)
	}
	return nil, false
}

// reject writes the gateway's own final response to a request that has not run.
func (g *Gateway) reject(w http.ResponseWriter, id string, status int, retryAfter time.Duration, cause string) {
	klog.InfoS("request refused", "id", id, "status", status, "retryAfter", retryAfter, "cause", cause)
	g.Metrics.count("refused")
	g.writeError(w, status, retryAfter, cause)
}

// writeError writes an error response of the gateway itself.
func (g *Gateway) writeError(w http.ResponseWriter, status int, retryAfter time.Duration, cause string) {
	if retryAfter > 0 {
		g.Protocol.SetRetryAfter(w.Header(), retryAfter)
	}
	http.Error(w, cause, status)
}

// fingerprint identifies requests that differ only in their ids.
func fingerprint(r *http.Request, body []byte) poison.Subject {
	h := xxhash.New()
	// Writes to a hash never fail.
	_, _ = h.WriteString(r.Method + " " + r.Host + r.RequestURI + "\n")
	_, _ = h.Write(body)
	return poison.Subject(h.Sum64())
}

// SharedParts returns the parts of a request's prompt that other requests may share: all but
// the last one, maxSharedParts at most.
func SharedParts(request *serving.Request) []poison.Subject {
	var parts []poison.Subject
	for i := range min(len(request.Prompt)-1, maxSharedParts) {
		parts = append(parts, poison.Subject(xxhash.Sum64String("part\x00"+request.Prompt[i].ID)))
	}
	return parts
}

// maxPromptSegments limits the segments of a prompt that are known to the placement, and
// maxSharedParts those that may be blamed for crashes. Callers may state thousands, which would
// not fit into a datagram to a hub.
const (
	maxPromptSegments = 16
	maxSharedParts    = 64
)

// PromptSegments returns the segments of a request's prompt as the placement knows them. Of a long
// list it returns the first ones and the last one, which is the request's own.
func PromptSegments(request *serving.Request) []balance.PromptSegment {
	prompt := request.Prompt
	if n := len(prompt); n > maxPromptSegments {
		prompt = append(slices.Clone(prompt[:maxPromptSegments-1]), prompt[n-1])
	}
	segments := make([]balance.PromptSegment, len(prompt))
	for i, s := range prompt {
		segments[i] = balance.PromptSegment{Segment: uint32(xxhash.Sum64String(request.Model + "\x00" + s.ID)), Tokens: s.Tokens}
	}
	return segments
}

// Host returns the request's host without a port.
func Host(r *http.Request) string {
	if name, _, err := net.SplitHostPort(r.Host); err == nil {
		return name
	}
	return r.Host
}

// ChooseService picks one of the route's services at random, in proportion to their
// weights.
func ChooseService(route *serving.Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	totalWeight := 0.0
	for _, t := range route.Targets {
		totalWeight += max(0, t.Weight)
	}
	point := rand.Float64() * totalWeight
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

// requestDeadline returns the time by which a request needs its final response: the end of
// the caller's or of the route's timeout, whichever is first; zero if there is neither.
func requestDeadline(arrived time.Time, callerTimeout, routeTimeout time.Duration) time.Time {
	timeLimit := callerTimeout
	if routeTimeout > 0 && (timeLimit <= 0 || routeTimeout < timeLimit) {
		timeLimit = routeTimeout
	}
	if timeLimit <= 0 {
		return time.Time{}
	}
	return arrived.Add(timeLimit)
}

// withOptionalDeadline returns a context that is done at the deadline, if there is one.
func withOptionalDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}
