// Package entry implements the HTTP listener for callers: model endpoints, plain
// services and keyed calls.
//
// A request without an idempotency key is tied to its connection: it is cancelled
// when the caller disconnects, and nothing is written to the log. A keyed call is
// not: it runs to completion and its answer is recorded even if the caller has
// disconnected.
package entry

import (
	"context"
	"errors"
	"net"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/recover"
	"github.com/sourcegraph/conc"

	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/web"
)

// Options are the dependencies and settings of the listener.
type Options struct {
	Calls     api.Calls
	Inference api.Inference
	Plain     api.PlainForwarder
	Config    api.Config
	Status    api.Status
	Limits    Limits
	// Loopback is true when the listener is on a loopback address.
	Loopback bool
	// Routes adds the routes of other packages; nil for none.
	Routes func(router fiber.Router, middleware *web.Middleware)
}

// Server is the HTTP listener for callers.
type Server struct {
	opts       Options
	app        *fiber.App
	middleware *web.Middleware
	recorder   *recorder
	// baseCtx is the parent context of all requests. Shutdown cancels it
	// before it returns.
	baseCtx context.Context
	cancel  context.CancelFunc
	// streams tracks the goroutines of streamed requests, which may outlive their
	// connections.
	streams      conc.WaitGroup
	recorderTask conc.WaitGroup
}

// methods are the HTTP methods that fiber routes; plain services may use all of
// them.
var methods = append(append([]string{}, fiber.DefaultMethods...), "PROPFIND", "PROPPATCH", "MKCOL", "COPY", "MOVE", "LOCK",
	"UNLOCK", "REPORT", "SEARCH", "QUERY", "LINK", "UNLINK", "PURGE", "BIND", "UNBIND", "ACL", "MKCALENDAR")

// New returns a server and starts its recorder.
func New(opts Options) *Server {
	s := &Server{opts: opts, recorder: newRecorder(opts.Calls, opts.Limits.RecorderCalls)}
	s.baseCtx, s.cancel = context.WithCancel(context.Background())
	s.middleware = &web.Middleware{Config: opts.Config, Loopback: opts.Loopback, Draining: opts.Status.Draining}
	s.app = fiber.New(fiber.Config{
		ReadBufferSize:            opts.Limits.HeaderBytes,
		BodyLimit:                 int(opts.Limits.BodyBytes),
		Concurrency:               opts.Limits.Connections,
		ReadTimeout:               opts.Limits.ReadTimeout,
		IdleTimeout:               opts.Limits.IdleTimeout,
		RequestMethods:            methods,
		CaseSensitive:             true,
		StrictRouting:             true,
		Immutable:                 true,
		DisableHeadAutoRegister:   true,
		DisableDefaultContentType: true,
		// Each handler reads the body itself, with its own limits.
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		ErrorHandler: func(c fiber.Ctx, err error) error {
			web.WriteError(c, err)
			return nil
		},
	})
	s.app.Use(recover.New())
	s.app.Post(pathChat, s.middleware.Wrap(s.generate))
	s.app.Post(pathCompletion, s.middleware.Wrap(s.generate))
	s.app.Get("/v1/models", s.middleware.Wrap(s.listModels))
	s.app.Get("/v1/models/*", s.middleware.Wrap(s.getModel))
	s.app.Get(callsPrefix+"*", s.middleware.Wrap(s.getCall))
	s.app.All(servicesPrefix+"*", s.middleware.Wrap(s.plain))
	if opts.Routes != nil {
		opts.Routes(s.app, s.middleware)
	}
	s.recorderTask.Go(func() { s.recorder.run(s.baseCtx) })
	return s
}

// Serve accepts connections until Shutdown is called. For TLS, ln is a TLS
// listener.
func (s *Server) Serve(ln net.Listener) error {
	wrapped := &web.Listener{Listener: ln, WriteTimeout: s.opts.Limits.WriteTimeout}
	err := s.app.Listener(wrapped, fiber.ListenConfig{DisableStartupMessage: true})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Shutdown stops accepting connections and waits for the requests in progress and
// for the answers that are not yet recorded. If ctx ends first, it cancels the
// remaining work and returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.app.ShutdownWithContext(ctx)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		s.streams.Wait()
		s.recorder.queue.Close()
		s.recorderTask.Wait()
	}()
	select {
	case <-finished:
	case <-ctx.Done():
		err = ctx.Err()
	}
	s.cancel()
	return err
}

func (s *Server) bodyLimits(view *api.View) web.BodyLimits {
	l := s.opts.Limits
	return web.BodyLimits{Bytes: web.LowerLimit(l.BodyBytes, view.Limits.MaxBodyBytes), Timeout: l.ReadTimeout, MinRate: l.MinReadRate}
}
