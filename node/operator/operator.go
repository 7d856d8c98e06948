// Package operator implements the HTTP listener for operators: health, readiness,
// metrics and the /admin handlers that other packages register.
//
// The listener does not authenticate requests. It must be bound to an address that
// only operators can reach.
package operator

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/expvar"
	"github.com/gofiber/fiber/v3/middleware/recover"

	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/web"
)

const (
	adminPrefix = "/admin/"
	// readTimeout limits the reading of one request. Most requests are small, but an edit
	// contains configuration sections.
	readTimeout           = 30 * time.Second
	idleTimeout           = time.Minute
	maxHeaderBytes        = 16 << 10
	minReadBytesPerSecond = 16 << 10
)

// Request is one request to an admin handler.
type Request struct {
	Method string
	// Path is the path after /admin/.
	Path  string
	Query map[string]string
	// Body is the JSON body, or empty if there is none.
	Body []byte
}

// Handler handles an admin request. The returned value is written as JSON, an error
// in the same form as the instance's other errors.
type Handler func(ctx context.Context, r Request) (any, error)

// Options configure a Server.
type Options struct {
	Status api.Status
	// MaxBodyBytes limits the body of one request.
	MaxBodyBytes int64
	// RequestTimeout limits the time that a handler may take.
	RequestTimeout time.Duration
}

// Server is the HTTP server for operators.
type Server struct {
	opts Options
	app  *fiber.App
	// requestContext is the parent of the contexts of all admin requests.
	requestContext context.Context
	cancel         context.CancelFunc
}

// New returns a server without admin handlers.
func New(opts Options) *Server {
	s := &Server{opts: opts}
	s.requestContext, s.cancel = context.WithCancel(context.Background())
	s.app = fiber.New(fiber.Config{
		ReadBufferSize:            maxHeaderBytes,
		BodyLimit:                 int(opts.MaxBodyBytes),
		ReadTimeout:               readTimeout,
		IdleTimeout:               idleTimeout,
		CaseSensitive:             true,
		StrictRouting:             true,
		Immutable:                 true,
		DisableDefaultContentType: true,
		StreamRequestBody:         true,
		ErrorHandler: func(c fiber.Ctx, err error) error {
			web.WriteError(c, err)
			return nil
		},
	})
	s.app.Use(recover.New())
	s.app.Get("/healthz", s.healthz)
	s.app.Get("/readyz", s.readyz)
	s.app.Use(expvar.New())
	return s
}

// HandleAdmin registers a handler for a method and the path /admin/{path}, which may
// have parameters in fiber's syntax. It must be called before Serve.
func (s *Server) HandleAdmin(method, path string, h Handler) {
	s.app.Add([]string{method}, adminPrefix+path, func(c fiber.Ctx) error {
		body, err := web.ReadBody(c, web.BodyLimits{Bytes: s.opts.MaxBodyBytes, Timeout: readTimeout, MinRate: minReadBytesPerSecond})
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(s.requestContext, s.opts.RequestTimeout)
		defer cancel()
		value, err := h(ctx, Request{Method: c.Method(), Path: c.Path()[len(adminPrefix):], Query: c.Queries(), Body: body})
		if err != nil {
			return err
		}
		return c.JSON(value)
	})
}

// Serve accepts connections until Shutdown is called.
func (s *Server) Serve(ln net.Listener) error {
	err := s.app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Shutdown stops accepting connections and waits until the requests in progress are
// done or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.cancel()
	return s.app.ShutdownWithContext(ctx)
}

type health struct {
	Status string `json:"status"`
	Reason string `json:"reason,omitempty"`
}

// healthz reports that the process responds.
func (s *Server) healthz(c fiber.Ctx) error { return c.JSON(health{Status: "ok"}) }

// readyz reports whether the load balancer may send requests to this instance. A
// draining instance is not ready, although it still serves requests that arrive.
func (s *Server) readyz(c fiber.Ctx) error {
	if s.opts.Status.Draining() {
		return c.Status(http.StatusServiceUnavailable).JSON(health{Status: "draining"})
	}
	if ready, reason := s.opts.Status.Ready(); !ready {
		return c.Status(http.StatusServiceUnavailable).JSON(health{Status: "not ready", Reason: reason})
	}
	return c.JSON(health{Status: "ready"})
}
