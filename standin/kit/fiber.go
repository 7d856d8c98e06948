package kit

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v3"
)

// Limits of the stand-ins' HTTP servers.
const (
	// maxBody bounds request bodies, in bytes.
	maxBody = 16 << 20
	// idleTimeout is longer than the clients' idle limit, so that a client
	// drops an idle connection before the server does.
	idleTimeout = 5 * time.Minute
)

// NewFiber returns a fiber application with the limits of the stand-ins.
func NewFiber() *fiber.App {
	return fiber.New(fiber.Config{
		BodyLimit:   maxBody,
		IdleTimeout: idleTimeout,
		ErrorHandler: func(c fiber.Ctx, err error) error {
			status := fiber.StatusInternalServerError
			if fe, ok := err.(*fiber.Error); ok {
				status = fe.Code
			}
			return c.Status(status).JSON(map[string]string{"error": err.Error()})
		},
	})
}

// ServeFiber returns the Serve function of a fiber application.
func ServeFiber(app *fiber.App) ServeFunc {
	handler := app.Handler()
	return func(l net.Listener) {
		app.Server().Handler = handler
		_ = app.Server().Serve(l) // ends with the listener
	}
}

// ServeHTTP returns the Serve function of a net/http handler.
func ServeHTTP(h http.Handler) ServeFunc {
	return func(l net.Listener) {
		srv := &http.Server{Handler: h, IdleTimeout: idleTimeout, MaxHeaderBytes: 64 << 10}
		_ = srv.Serve(l) // ends with the listener
	}
}

// CloseWithoutResponse closes the connection of a fiber request without an answer.
func CloseWithoutResponse(c fiber.Ctx) error {
	c.RequestCtx().HijackSetNoResponse(true)
	c.RequestCtx().Hijack(func(conn net.Conn) { conn.Close() })
	return nil
}

// RegisterFiberFaults serves GET and PUT of a stand-in's faults. A PUT changes only
// the fields that it names.
func RegisterFiberFaults[T any](app *fiber.App, get func() T, set func(T)) {
	app.Get("/admin/faults", func(c fiber.Ctx) error { return c.JSON(get()) })
	app.Put("/admin/faults", func(c fiber.Ctx) error {
		f := get()
		if err := json.Unmarshal(c.Body(), &f); err != nil {
			return fiber.NewError(fiber.StatusBadRequest, err.Error())
		}
		set(f)
		return c.JSON(f)
	})
}

// RegisterHTTPFaults is FiberFaults for a net/http mux.
func RegisterHTTPFaults[T any](mux *http.ServeMux, get func() T, set func(T)) {
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, get()) })
	mux.HandleFunc("PUT /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		f := get()
		if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&f); err != nil {
			WriteJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
			return
		}
		set(f)
		WriteJSON(w, http.StatusOK, f)
	})
}

// WriteJSON answers with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the peer may be gone
}
