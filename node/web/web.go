// Package web provides what the HTTP handlers of an instance share: bearer key
// authentication, bounded reading of bodies, JSON errors, connections that detect
// a disconnected caller, and certificates that are reloaded when they change.
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

// The request and response headers of jacinthnotch.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderNonIdempotent  = "Jacinthnotch-Non-Idempotent"
	HeaderDeadline       = "Jacinthnotch-Deadline-Ms"
	HeaderOutcome        = "Jacinthnotch-Outcome"
	HeaderRecorded       = "Jacinthnotch-Recorded"
	// HeaderRequestID holds the identifier of the request in its response.
	HeaderRequestID = "X-Request-Id"
)

// MaxIdempotencyKeyBytes bounds an Idempotency-Key.
const MaxIdempotencyKeyBytes = 255

var (
	refusals          = expvar.NewMap("edge_refusals")
	requests          = expvar.NewInt("edge_requests")
	callerDisconnects = expvar.NewInt("edge_callers_gone")
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

// Handler handles one request that Authenticate has accepted. A returned error is
// written as a JSON error response.
type Handler func(c fiber.Ctx, r Request) error

// Middleware authenticates callers and writes the errors of handlers.
type Middleware struct {
	Config api.Config
	// Loopback is true when the listener is on a loopback address.
	Loopback bool
	// Draining reports whether responses should close their connection, so that
	// callers connect to another instance. Nil means never.
	Draining func() bool
}

// Wrap converts a Handler to a fiber.Handler.
func (m *Middleware) Wrap(h Handler) fiber.Handler {
	return func(c fiber.Ctx) error {
		requests.Add(1)
		r := Request{ID: uuid.NewString(), View: m.Config.View()}
		c.Set(HeaderRequestID, r.ID)
		if m.Draining != nil && m.Draining() {
			c.Response().SetConnectionClose()
		}
		var err error
		r.Workspace, r.Authenticated, err = Authenticate(r.View, c.Get(fiber.HeaderAuthorization), m.Loopback)
		if err == nil {
			err = h(c, r)
		}
		if err != nil {
			WriteError(c, err)
		}
		return nil
	}
}

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error in the format of the OpenAI API.
type ErrorDetail struct {
	Type    string   `json:"type"`
	Code    api.Code `json:"code"`
	Message string   `json:"message"`
	Param   *string  `json:"param"`
}

// NewErrorBody returns the JSON body of the response for a refusal.
func NewErrorBody(r *api.Refusal) ErrorBody {
	d := ErrorDetail{Type: errorType(r.Status), Code: r.Code, Message: r.Message}
	if r.Param != "" {
		d.Param = &r.Param
	}
	return ErrorBody{Error: d}
}

// WriteError writes err as the response. The rest of the request body is discarded
// first; if it exceeds the limits for that, the connection is closed.
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
	// Encoding cannot fail, because the body consists of strings.
	_ = c.Status(r.Status).JSON(NewErrorBody(r))
}

// refusalOf converts err to a refusal. The errors of fiber are raised before a
// handler has seen the request.
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

// retrySeconds rounds up, because Retry-After holds whole seconds and a retry that
// comes too early would be refused again.
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

// bodyReadKey is the key in fiber.Ctx.Locals that marks a request whose body was
// read to its end.
type bodyReadKey struct{}

// WatchDisconnect calls onDisconnect if the caller closes the connection of a
// request whose body has been read. stop must be called before the handler, or the
// writer of a streamed response, returns.
func WatchDisconnect(c fiber.Ctx, onDisconnect func()) (stop func()) {
	conn, ok := c.RequestCtx().Conn().(*Conn)
	if !ok {
		return func() {}
	}
	return conn.WatchDisconnect(func() {
		callerDisconnects.Add(1)
		onDisconnect()
	})
}
