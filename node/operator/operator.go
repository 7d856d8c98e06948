// Package operator is the operators' HTTP listener of an instance: health,
// readiness, metrics and the /admin handlers of other packages.
//
// The listener has no authentication of its own; it belongs on an address that
// only operators reach.
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
	// Operators' requests are small, but an edit carries a configuration section.
	readTimeout = 30 * time.Second
	idleTimeout = time.Minute
	headerBytes = 16 << 10
	minReadRate = 16 << 10
)

// Request is one request to an admin handler.
type Request struct {
	Method string
	// Path is the path below /admin/.
	Path  string
	Query map[string]string
	// Body is the request's JSON body, empty when there is none.
	Body []byte
}

// Handler answers an admin request with a value that is written as JSON. An
// error is written as every other error of the instance.
type Handler func(ctx context.Context, r Request) (any, error)

// Options are the parts of an instance that the listener uses.
type Options struct {
	Status api.Status
	// MaxBodyBytes bounds the body of one request.
	MaxBodyBytes int64
	// RequestTimeout bounds the work for one request.
	RequestTimeout time.Duration
}

// Server is the operators' listener.
type Server struct {
	opts   Options
	app    *fiber.App
	base   context.Context
	cancel context.CancelFunc
}

// New returns a server without admin handlers.
func New(opts Options) *Server {
	s := &Server{opts: opts}
	s.base, s.cancel = context.WithCancel(context.Background())
	s.app = fiber.New(fiber.Config{
		ReadBufferSize:            headerBytes,
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

// Admin registers a handler for a method and the path /admin/{path}, which may
// have parameters in the notation of fiber. It is called before Serve.
func (s *Server) Admin(method, path string, h Handler) {
	s.app.Add([]string{method}, adminPrefix+path, func(c fiber.Ctx) error {
		body, err := web.ReadBody(c, web.BodyLimits{Bytes: s.opts.MaxBodyBytes, Timeout: readTimeout, MinRate: minReadRate})
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(s.base, s.opts.RequestTimeout)
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

// Shutdown stops accepting and waits for the requests in progress until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.cancel()
	return s.app.ShutdownWithContext(ctx)
}

type health struct {
	Status string `json:"status"`
	Reason string `json:"reason,omitempty"`
}

// healthz reports that the process answers.
func (s *Server) healthz(c fiber.Ctx) error { return c.JSON(health{Status: "ok"}) }

// readyz reports whether the load balancer may send work here. A draining
// instance is not ready while it still serves what arrives.
func (s *Server) readyz(c fiber.Ctx) error {
	if s.opts.Status.Draining() {
		return c.Status(http.StatusServiceUnavailable).JSON(health{Status: "draining"})
	}
	if ready, reason := s.opts.Status.Ready(); !ready {
		return c.Status(http.StatusServiceUnavailable).JSON(health{Status: "not ready", Reason: reason})
	}
	return c.JSON(health{Status: "ready"})
}
