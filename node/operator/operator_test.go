package operator

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/api"
)

type fakeStatus struct{ ready, draining atomic.Bool }

func (f *fakeStatus) Ready() (bool, string) { return f.ready.Load(), "no configuration" }
func (f *fakeStatus) Draining() bool        { return f.draining.Load() }

// Guards against an instance that reports itself ready without a configuration or
// while it drains, and against admin errors with a wrong HTTP status.
func TestOperatorListener(t *testing.T) {
	status := &fakeStatus{}
	s := New(Options{Status: status, MaxBodyBytes: 64, RequestTimeout: time.Minute})
	s.HandleAdmin(http.MethodPut, "sections/:name", func(_ context.Context, r Request) (any, error) {
		if len(r.Body) == 0 {
			return nil, api.Invalid("body", "a body is required")
		}
		return map[string]string{"path": r.Path, "base": r.Query["base"], "body": string(r.Body)}, nil
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	do := func(method, path, body string) (int, string) {
		t.Helper()
		req, err := http.NewRequestWithContext(t.Context(), method, "http://"+ln.Addr().String()+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		data, err := io.ReadAll(res.Body)
		if err != nil {
			t.Fatal(err)
		}
		return res.StatusCode, string(data)
	}
	expect := func(method, path, body string, status int, part string) {
		t.Helper()
		if code, got := do(method, path, body); code != status || !strings.Contains(got, part) {
			t.Errorf("%s %s: %d %s", method, path, code, got)
		}
	}
	expect("GET", "/healthz", "", 200, "ok")
	expect("GET", "/readyz", "", 503, "no configuration")
	status.ready.Store(true)
	expect("GET", "/readyz", "", 200, "ready")
	status.draining.Store(true)
	expect("GET", "/readyz", "", 503, "draining")
	expect("GET", "/debug/vars", "", 200, `"edge_refusals"`)
	expect("PUT", "/admin/sections/fleet?base=7", "x", 200, `{"base":"7","body":"x","path":"sections/fleet"}`)
	expect("PUT", "/admin/sections/fleet", "", 400, `"param":"body"`)
	expect("PUT", "/admin/sections/fleet", strings.Repeat("x", 65), 413, "too_large")
	expect("GET", "/admin/other", "", 404, "not_found")
	if err := s.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
}
