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
	// maxBody is the size limit of request bodies, in bytes.
	maxBody = 16 << 20
	// idleTimeout is longer than the idle timeout of the clients, so that a client closes an
	// idle connection before the server does.
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

// ServeFiber returns a function that serves a fiber application.
func ServeFiber(app *fiber.App) ServeFunc {
	handler := app.Handler()
	return func(l net.Listener) {
		app.Server().Handler = handler
		_ = app.Server().Serve(l) // returns an error when the listener is closed
	}
}

// ServeHTTP returns a function that serves a net/http handler.
func ServeHTTP(h http.Handler) ServeFunc {
	return func(l net.Listener) {
		srv := &http.Server{Handler: h, IdleTimeout: idleTimeout, MaxHeaderBytes: 64 << 10}
		_ = srv.Serve(l) // returns an error when the listener is closed
	}
}

// CloseWithoutResponse closes the connection of a fiber request without a response.
func CloseWithoutResponse(c fiber.Ctx) error {
	c.RequestCtx().HijackSetNoResponse(true)
	c.RequestCtx().Hijack(func(conn net.Conn) { conn.Close() })
	return nil
}

// RegisterFiberFaults adds the handlers that get and set the faults of a stand-in. A PUT
// changes only the fields that its body contains.
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

// RegisterHTTPFaults is the equivalent of RegisterFiberFaults for a net/http mux.
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

// WriteJSON sends a response with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}
