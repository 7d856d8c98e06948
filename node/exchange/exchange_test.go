package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// server accepts connections and calls serve for each request; serve returns false to
// close the connection.
type server struct {
	listener net.Listener
	accepted atomic.Int64
}

func newServer(t *testing.T, serve func(conn *net.TCPConn, r *http.Request, n int) bool) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &server{listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(reader)
					if err != nil || !serve(conn.(*net.TCPConn), r, n) {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
				}
			}()
		}
	}()
	return s
}

func (s *server) address() string { return s.listener.Addr().String() }

func parseHeaders(_ int, h http.Header) (string, time.Duration) { return h.Get("Id"), 0 }

func request(id string) *Request {
	return &Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("b"), ID: id}
}

func responseTo(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// read reads the body and closes the response.
func read(t *testing.T, r *Response) (string, error) {
	t.Helper()
	defer r.Close()
	body, err := io.ReadAll(r)
	return string(body), err
}

// Guards against a late response to an earlier request being returned as the response to
// the next request on the same connection.
func TestStaleResponseIsDiscarded(t *testing.T) {
	s := newServer(t, func(c *net.TCPConn, r *http.Request, n int) bool {
		id := r.Header.Get("Id")
		if n == 1 {
			fmt.Fprint(c, responseTo("first", "stale"))
		}
		fmt.Fprint(c, responseTo(id, "body of "+id))
		return true
	})
	p := NewPool(Options{})
	defer p.Close()
	for _, id := range []string{"first", "second"} {
		r, err := p.Do(context.Background(), s.address(), request(id), parseHeaders)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := read(t, r); err != nil || body != "body of "+id {
			t.Fatalf("%s got %q, %v", id, body, err)
		}
	}
	if n := s.accepted.Load(); n != 1 {
		t.Fatalf("%d connections, want the first one to be reused", n)
	}
}

// Guards against reuse of a connection on which data follows the response.
func TestDataAfterResponseClosesConnection(t *testing.T) {
	s := newServer(t, func(c *net.TCPConn, r *http.Request, _ int) bool {
		id := r.Header.Get("Id")
		fmt.Fprint(c, responseTo(id, "body of "+id)+responseTo(id, "again"))
		return true
	})
	p := NewPool(Options{})
	defer p.Close()
	for _, id := range []string{"first", "second"} {
		r, err := p.Do(context.Background(), s.address(), request(id), parseHeaders)
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := read(t, r); body != "body of "+id {
			t.Fatalf("%s got %q", id, body)
		}
	}
	if n := s.accepted.Load(); n != 2 {
		t.Fatalf("%d connections, want 2", n)
	}
}

// Guards against a truncated response being accepted as complete: shorter than its
// Content-Length, within a chunk, or without a length on a connection that was reset. A
// response without a length is complete when the server closes the connection.
func TestIncompleteResponses(t *testing.T) {
	cases := map[string]struct {
		response string
		reset    bool
		complete bool
	}{
		"shorter than length":  {response: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort"},
		"within a chunk":       {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nshort"},
		"without final chunk":  {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"},
		"no length, reset":     {response: "HTTP/1.1 200 OK\r\n\r\nshort", reset: true},
		"no length, closed":    {response: "HTTP/1.1 200 OK\r\n\r\nshort", complete: true},
		"not an HTTP response": {response: "\x00\x01garbage\r\n\r\n"},
		"closed without data":  {response: ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, func(conn *net.TCPConn, r *http.Request, _ int) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				fmt.Fprint(conn, c.response)
				if c.reset {
					// Reset only after the client has read the bytes, or it may lose them.
					time.Sleep(20 * time.Millisecond)
					_ = conn.SetLinger(0)
				}
				return false
			})
			p := NewPool(Options{})
			defer p.Close()
			r, err := p.Do(context.Background(), s.address(), request("a"), parseHeaders)
			if err == nil {
				_, err = read(t, r)
			}
			if c.complete && err != nil || !c.complete && !errors.Is(err, ErrIncomplete) {
				t.Fatalf("got error %v, complete response %v", err, c.complete)
			}
		})
	}
}

// Guards against a request that may have run being reported as not sent, and the reverse:
// a refused connection gives ErrNotSent, a reset after the request does not.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	p := NewPool(Options{})
	defer p.Close()
	if _, err := p.Do(context.Background(), address, request("a"), parseHeaders); !errors.Is(err, ErrNotSent) {
		t.Fatalf("refused connection: got %v, want ErrNotSent", err)
	}
	s := newServer(t, func(c *net.TCPConn, _ *http.Request, _ int) bool { _ = c.SetLinger(0); return false })
	if _, err := p.Do(context.Background(), s.address(), request("a"), parseHeaders); !errors.Is(err, ErrIncomplete) || errors.Is(err, ErrNotSent) {
		t.Fatalf("reset after the request: got %v, want ErrIncomplete", err)
	}
}

// Guards against a request being written to a pooled connection that the server has
// closed.
func TestClosedConnectionIsNotReused(t *testing.T) {
	closed := make(chan struct{}, 2)
	s := newServer(t, func(c *net.TCPConn, r *http.Request, _ int) bool {
		fmt.Fprint(c, responseTo(r.Header.Get("Id"), "x"))
		_ = c.Close()
		closed <- struct{}{}
		return false
	})
	p := NewPool(Options{})
	defer p.Close()
	for _, id := range []string{"a", "b"} {
		r, err := p.Do(context.Background(), s.address(), request(id), parseHeaders)
		if err != nil {
			t.Fatalf("%s: %v", id, err)
		}
		if _, err := read(t, r); err != nil {
			t.Fatal(err)
		}
		<-closed
		// Wait until the close has arrived, so that the next request can see it.
		waitUntilClosed(t, p, s.address())
	}
}

// waitUntilClosed waits until the server's close of the idle connection is visible.
func waitUntilClosed(t *testing.T, p *Pool, address string) {
	t.Helper()
	for range 1000 {
		p.mu.Lock()
		list := p.idle[address]
		open := len(list) > 0 && list[0].reusable()
		p.mu.Unlock()
		if !open {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the server's close was not noticed")
}

// Guards against the rest of a long body being read as the next request after a server
// responded before it had read the whole body.
func TestEarlyResponseClosesConnection(t *testing.T) {
	release := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var accepted atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer conn.Close()
				_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
				if _, err := bufio.NewReaderSize(conn, 64).ReadString('\n'); err != nil {
					return
				}
				fmt.Fprint(conn, responseTo("a", "too long"))
				<-release
			}()
		}
	}()
	defer close(release)
	p := NewPool(Options{})
	defer p.Close()
	for range 2 {
		req := request("a")
		req.Body = []byte(strings.Repeat("x", 16<<20))
		r, err := p.Do(context.Background(), l.Addr().String(), req, parseHeaders)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := read(t, r); err != nil || body != "too long" {
			t.Fatalf("got %q, %v", body, err)
		}
	}
	if accepted.Load() != 2 {
		t.Fatalf("%d connections, want 2", accepted.Load())
	}
}

// Guards against a server continuing to run a request that was cancelled: cancelling the
// context must close the connection.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	started := make(chan struct{})
	s := newServer(t, func(c *net.TCPConn, r *http.Request, _ int) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		var b [1]byte
		_, _ = c.Read(b[:])
		close(closed)
		return false
	})
	p := NewPool(Options{})
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-started; cancel() }()
	if _, err := p.Do(ctx, s.address(), request("a"), parseHeaders); !errors.Is(err, ErrIncomplete) || !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v", err)
	}
	<-closed
}
