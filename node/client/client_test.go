package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/standin/plain"
)

// serveScript serves raw connections: f gets the number of the request, counted over
// all connections, and returns the bytes of the response; nil closes the connection.
func serveScript(t *testing.T, f func(n int64, r *http.Request) []byte) (addr string, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requests = new(atomic.Int64)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					response := f(requests.Add(1), r)
					if response == nil {
						return
					}
					_, _ = c.Write(response)
					if bytes.Contains(response, []byte("Connection: close")) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), requests
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nLog-First: 0\r\nLog-End: 0\r\n\r\n{\"offset\":3}"

// Guards against libraries that retry a request on their own when a pooled
// connection is closed after the server has read the request.
func TestNoAdapterRepeatsARequest(t *testing.T) {
	ctx := context.Background()
	for name, call := range map[string]func(addr string) func() error{
		"fasthttp POST": func(addr string) func() error {
			c := NewLog(addr, "", Options{})
			return func() error { _, err := c.Append(ctx, "s", []byte("x")); return err }
		},
		"fasthttp GET": func(addr string) func() error {
			c := NewDirectory(addr, Options{})
			return func() error { _, err := c.List(ctx); return err }
		},
		"net/http GET": func(addr string) func() error {
			c := NewEngine(addr, NewPool(Options{}))
			return func() error { _, err := c.Load(ctx); return err }
		},
		"net/http POST with Idempotency-Key": func(addr string) func() error {
			c := NewPlain(addr, NewPool(Options{}))
			req := &port.PlainRequest{Method: "POST", Path: "/", Header: http.Header{"Idempotency-Key": {"k"}}}
			return func() error { _, err := c.Do(ctx, req); return err }
		},
	} {
		addr, requests := serveScript(t, func(n int64, _ *http.Request) []byte {
			if n == 1 {
				return []byte(okResponse)
			}
			return nil
		})
		do := call(addr)
		if err := do(); err != nil {
			t.Fatalf("%s: first request: %v", name, err)
		}
		if err := do(); err == nil {
			t.Fatalf("%s: no error for a lost response", name)
		}
		if n := requests.Load(); n != 2 {
			t.Fatalf("%s: the server read %d requests, want 2", name, n)
		}
	}
}

// Guards against a request on a pooled connection that the server has closed being
// reported as possibly sent: if the close is visible before the first byte is
// written, the request has certainly not been sent.
func TestStaleConnectionIsNotSent(t *testing.T) {
	client, server := tcpPair(t)
	c := newTrackedConn(client)
	writes := c.writeCount()
	server.Close()
	for !c.stale() { // the close takes a moment to arrive
		continue
	}
	if _, err := c.Write([]byte("x")); !errors.Is(err, errNotSent) {
		t.Fatalf("write to a closed connection: %v", err)
	}
	if c.disableWrites(writes) {
		t.Fatal("a write was recorded although no byte was written")
	}
	client, _ = tcpPair(t)
	c = newTrackedConn(client)
	writes = c.writeCount()
	if _, err := c.Write([]byte("x")); err != nil || !c.disableWrites(writes) {
		t.Fatalf("a write was not recorded: %v", err)
	}
	if _, err := c.Write([]byte("x")); !errors.Is(err, errNotSent) {
		t.Fatalf("write after disableWrites: %v", err)
	}
}

func tcpPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, server
}

// manualTimers creates timers that the test fires.
type manualTimers struct{ armed chan func() }

type manualTimer struct{ arm func() }

func (m manualTimer) Reset(time.Duration) bool { m.arm(); return true }
func (manualTimer) Stop() bool                 { return true }

func (m *manualTimers) after(_ time.Duration, f func()) Timer {
	arm := func() { m.armed <- f }
	arm()
	return manualTimer{arm}
}

// Guards against a server that stops sending, before the header or between chunks,
// and blocks its caller forever, and against a timeout that is reported as if the
// request had had no effect.
func TestReadTimeout(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	const chunk = "2b\r\ndata: {\"choices\":[{\"text\":\"a\"}],\"x\":\"12\"}\n\n\r\n"
	for name, response := range map[string]string{"header": "", "gap": head + chunk} {
		read := make(chan struct{})
		addr, requests := serveScript(t, func(int64, *http.Request) []byte { close(read); return []byte(response) })
		timers := &manualTimers{armed: make(chan func(), 16)}
		c := NewEngine(addr, NewPool(Options{AfterFunc: timers.after}))
		chunks := make(chan string, 4)
		done := make(chan error, 1)
		go func() {
			_, err := c.Generate(context.Background(), &port.GenerateRequest{
				Path: "/v1/completions", Stream: true, Body: []byte("{}"), HeaderTimeout: time.Second, GapTimeout: time.Second,
			}, func(ch port.Chunk) error { chunks <- ch.Text; return nil })
			done <- err
		}()
		<-read
		if name == "gap" && <-chunks != "a" {
			t.Fatal("the chunk before the timeout is missing")
		}
		(<-timers.armed)()
		if err := <-done; !errors.Is(err, port.ErrReadTimeout) || !errors.Is(err, port.ErrOutcomeUnknown) {
			t.Fatalf("%s: %v", name, err)
		}
		if n := requests.Load(); n != 1 {
			t.Fatalf("%s: %d requests", name, n)
		}
	}
}

// Guards against a stream that ends early and is taken for complete, and against
// lines and events of unbounded size.
func TestStreamEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	for name, c := range map[string]struct {
		body string
		want error
	}{
		"whole":      {": note\ndata: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\r\n\r\ndata: [DONE]\n\n", nil},
		"no marker":  {"data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\n", port.ErrOutcomeUnknown},
		"half event": {"data: {\"choices\":", port.ErrOutcomeUnknown},
		"error":      {"data: {\"error\":{\"message\":\"x\"}}\n\n", port.ErrOutcomeUnknown},
		"long line":  {"data: " + strings.Repeat("x", 9000) + "\n\n", port.ErrTooLarge},
		"long event": {strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", 9) + "\n", port.ErrTooLarge},
	} {
		sinkCalled := false
		addr, _ := serveScript(t, func(int64, *http.Request) []byte { return []byte(head + c.body) })
		pool := NewPool(Options{MaxLineBytes: 8192})
		res, err := NewEngine(addr, pool).Generate(context.Background(), &port.GenerateRequest{Path: "/v1/completions", Stream: true, Body: []byte("{}")},
			func(port.Chunk) error { sinkCalled = true; return nil })
		if !errors.Is(err, c.want) || (c.want == nil && (!sinkCalled || res.FinishReason != "stop" || res.OutputTokens != 1)) {
			t.Fatalf("%s: %+v, %v", name, res, err)
		}
	}
}

// Guards against hop-by-hop headers that are forwarded, in either direction, and
// against other headers that the adapter adds or drops.
func TestPlainHeaders(t *testing.T) {
	s := plain.New(plain.Options{}, plain.Faults{})
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer s.Kill()
	resp, err := NewPlain(s.Addr(), NewPool(Options{})).Do(context.Background(), &port.PlainRequest{
		Method: "POST", Path: "/a%2Fb/c", RawQuery: "x=%20", Body: []byte("b"), Header: http.Header{
			"Connection": {"X-Hop, close"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Upgrade": {"h2c"}, "Keep-Alive": {"1"},
			"X-Two": {"1", "2"}, "Host": {"example.org"}, "Content-Length": {"99"},
		}})
	if err != nil || resp.Status != 200 {
		t.Fatal(resp, err)
	}
	var e plain.Echo
	if err := json.Unmarshal(resp.Body, &e); err != nil {
		t.Fatal(err)
	}
	if e.Path != "/a%2Fb/c" || e.Query != "x=%20" || string(e.Body) != "b" || len(e.Header) != 2 || len(e.Header["X-Two"]) != 2 {
		t.Fatalf("the server saw %+v", e)
	}
	h := http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Trailer": {"X"}, "X-End": {"1"}}
	if got := endToEnd(h); len(got) != 1 || got.Get("X-End") != "1" {
		t.Fatalf("end-to-end headers %v", got)
	}
}

// Guards against pooled connections that are used beyond their maximum age, which
// bounds how long a connection that no longer delivers data is reused.
func TestMaxConnAge(t *testing.T) {
	addr, _ := serveScript(t, func(int64, *http.Request) []byte { return []byte(okResponse) })
	now := time.Unix(1e9, 0)
	pool := NewPool(Options{MaxConnAge: time.Minute, Now: func() time.Time { return now }})
	defer pool.Close()
	c := NewPlain(addr, pool)
	do := func() *http.Transport {
		if _, err := c.Do(context.Background(), &port.PlainRequest{Method: "GET", Path: "/"}); err != nil {
			t.Fatal(err)
		}
		return pool.transport
	}
	first := do()
	now = now.Add(59 * time.Second)
	if do() != first {
		t.Fatal("connections were dropped before their maximum age")
	}
	now = now.Add(time.Second)
	if do() == first {
		t.Fatal("connections were kept beyond their maximum age")
	}
}

// Guards against bodies and headers that exceed the limits, in requests and responses.
func TestLimits(t *testing.T) {
	addr, requests := serveScript(t, func(int64, *http.Request) []byte { return []byte(okResponse) })
	c := NewPlain(addr, NewPool(Options{MaxBodyBytes: 8, MaxHeaderBytes: 256}))
	ctx := context.Background()
	for _, req := range []*port.PlainRequest{
		{Method: "POST", Path: "/", Body: make([]byte, 9)},
		{Method: "POST", Path: "/", Header: http.Header{"X": {strings.Repeat("x", 256)}}},
	} {
		if _, err := c.Do(ctx, req); !errors.Is(err, port.ErrTooLarge) || !errors.Is(err, port.ErrUnavailable) {
			t.Fatalf("request above a limit: %v", err)
		}
	}
	if _, err := c.Do(ctx, &port.PlainRequest{Method: "GET", Path: "/"}); !errors.Is(err, port.ErrTooLarge) || !errors.Is(err, port.ErrOutcomeUnknown) {
		t.Fatalf("response above the limit: %v", err)
	}
	if n := requests.Load(); n != 1 {
		t.Fatalf("%d requests were sent", n)
	}
}
