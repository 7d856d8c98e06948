// Package web holds what the HTTP handlers of an instance share: bearer keys,
// bounded reading of bodies, JSON errors, connections that report a caller who
// went away, and certificates that are loaded again on change.
package web

import (
	"errors"
	"expvar"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"github.com/jacinthnotch/jacinthnotch/node/api"
)

// The headers of the product.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderNonIdempotent  = "Jacinthnotch-Non-Idempotent"
	HeaderDeadline       = "Jacinthnotch-Deadline-Ms"
	HeaderOutcome        = "Jacinthnotch-Outcome"
	HeaderRecorded       = "Jacinthnotch-Recorded"
	// HeaderRequestID carries the identifier of a request in its answer.
	HeaderRequestID = "X-Request-Id"
)

// MaxIdempotencyKeyBytes bounds an Idempotency-Key.
const MaxIdempotencyKeyBytes = 255

var (
	refusals          = expvar.NewMap("edge_refusals")
	requests          = expvar.NewInt("edge_requests")
	callersGone       = expvar.NewInt("edge_callers_gone")
	certificateErrors = expvar.NewInt("edge_certificate_errors")
)

// Request is what is known about a request before its body is read.
type Request struct {
	ID        string
	Workspace string
	// Authenticated is true when the Authorization header held a key of the
	// workspace.
	Authenticated bool
	View          *api.View
}

// Handler answers one request of an authenticated caller. A returned error is
// written as a JSON error.
type Handler func(c fiber.Ctx, r Request) error

// Middleware authenticates callers.
type Middleware struct {
	Config api.Config
	// Loopback is true when the listener is on a loopback address.
	Loopback bool
	// Draining reports that callers are to connect elsewhere; nil for never.
	Draining func() bool
}

// Wrap turns a Handler into one of fiber.
func (g *Middleware) Wrap(h Handler) fiber.Handler {
	return func(c fiber.Ctx) error {
		requests.Add(1)
		r := Request{ID: uuid.NewString(), View: g.Config.View()}
		c.Set(HeaderRequestID, r.ID)
		if g.Draining != nil && g.Draining() {
			c.Response().SetConnectionClose()
		}
		var err error
		r.Workspace, r.Authenticated, err = Authenticate(r.View, c.Get(fiber.HeaderAuthorization), g.Loopback)
		if err == nil {
			err = h(c, r)
		}
		if err != nil {
			WriteError(c, err)
		}
		return nil
	}
}

// ErrorBody is the JSON body of every error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error in the form of the OpenAI API.
type ErrorDetail struct {
	Type    string   `json:"type"`
	Code    api.Code `json:"code"`
	Message string   `json:"message"`
	Param   *string  `json:"param"`
}

// NewErrorBody returns the JSON body for a refusal.
func NewErrorBody(r *api.Refusal) ErrorBody {
	d := ErrorDetail{Type: errorType(r.Status), Code: r.Code, Message: r.Message}
	if r.Param != "" {
		d.Param = &r.Param
	}
	return ErrorBody{Error: d}
}

// WriteError answers with err. The rest of the request's body is read first,
// within bounds; beyond them the connection is closed.
func WriteError(c fiber.Ctx, err error) {
	r := refusalOf(err)
	refusals.Add(string(r.Code), 1)
	c.Set(HeaderOutcome, string(r.Outcome))
	if r.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.FormatInt(retrySeconds(r.RetryAfter), 10))
	}
	if r.Status == http.StatusUnauthorized {
		c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
	}
	if !discardBody(c) {
		c.Response().SetConnectionClose()
	}
	// The body consists of strings, which always have a JSON form.
	_ = c.Status(r.Status).JSON(NewErrorBody(r))
}

// refusalOf translates the errors of fiber, which refuse a request before a
// handler has seen it.
func refusalOf(err error) *api.Refusal {
	fe, ok := errors.AsType[*fiber.Error](err)
	if !ok {
		return api.AsRefusal(err)
	}
	r := &api.Refusal{Code: api.CodeInvalidRequest, Status: fe.Code, Message: fe.Message, Outcome: api.NotRun}
	switch fe.Code {
	case http.StatusNotFound:
		r.Code, r.Message = api.CodeNotFound, "no such path"
	case http.StatusMethodNotAllowed, http.StatusNotImplemented:
		r.Code, r.Message = api.CodeMethodNotAllowed, "the path does not accept this method"
	case http.StatusRequestHeaderFieldsTooLarge:
		r.Code, r.Message = api.CodeHeadersTooLarge, "the request line and headers are too large"
	case http.StatusRequestEntityTooLarge:
		r.Code, r.Message = api.CodeTooLarge, "the body is too large"
	case http.StatusRequestTimeout:
		r.Code, r.Message = api.CodeDeadline, "the request did not arrive in time"
	}
	if fe.Code >= http.StatusInternalServerError && fe.Code != http.StatusNotImplemented {
		r.Code, r.Message, r.Outcome = api.CodeInternal, "internal error", api.Unknown
	}
	return r
}

// retrySeconds rounds up, because Retry-After has whole seconds and an early
// resend would be refused again.
func retrySeconds(d time.Duration) int64 { return int64(math.Ceil(d.Seconds())) }

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status == http.StatusConflict:
		return "conflict_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

// IdempotencyKey returns the Idempotency-Key of a request, empty when there is none.
func IdempotencyKey(c fiber.Ctx) (string, error) {
	raw := c.Request().Header.Peek(HeaderIdempotencyKey)
	if raw == nil {
		return "", nil
	}
	key := string(raw)
	if !ValidIdempotencyKey(key) {
		return "", api.Invalid(HeaderIdempotencyKey, "the key has 1 to %d printable ASCII characters", MaxIdempotencyKeyBytes)
	}
	return key, nil
}

// ValidIdempotencyKey reports whether key can be an Idempotency-Key.
func ValidIdempotencyKey(key string) bool {
	if key == "" || len(key) > MaxIdempotencyKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

// NonIdempotent returns the value of Jacinthnotch-Non-Idempotent.
func NonIdempotent(c fiber.Ctx) (bool, error) {
	switch v := c.Get(HeaderNonIdempotent); v {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	default:
		return false, api.Invalid(HeaderNonIdempotent, "%q is neither true nor false", v)
	}
}

// bodyRead marks a request whose body was read to its end.
type bodyRead struct{}

// WatchDisconnect watches the connection of a request whose body has been read. gone is
// called when the caller closes it. stop has to be called before the handler,
// or the writer of a streamed answer, returns.
func WatchDisconnect(c fiber.Ctx, gone func()) (stop func()) {
	conn, ok := c.RequestCtx().Conn().(*Conn)
	if !ok {
		return func() {}
	}
	return conn.WatchDisconnect(func() {
		callersGone.Add(1)
		gone()
	})
}
