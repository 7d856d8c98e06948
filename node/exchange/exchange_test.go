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

// server accepts connections and hands each request head to serve, which returns
// false to end the connection.
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

func echo(_ int, h http.Header) (string, time.Duration) { return h.Get("Id"), 0 }

func request(id string) *Request {
	return &Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("b"), ID: id}
}

func answerTo(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// read reads the body and ends the exchange.
func read(t *testing.T, r *Response) (string, error) {
	t.Helper()
	defer r.Close()
	body, err := io.ReadAll(r)
	return string(body), err
}

// Guards against an answer to an earlier request, which a server sends late on a kept
// connection, being passed to the next request.
func TestLateAnswerOfAnotherRequestIsPassedOver(t *testing.T) {
	s := newServer(t, func(c *net.TCPConn, r *http.Request, n int) bool {
		id := r.Header.Get("Id")
		if n == 1 {
			fmt.Fprint(c, answerTo("first", "stale"))
		}
		fmt.Fprint(c, answerTo(id, "body of "+id))
		return true
	})
	p := NewPool(Options{})
	defer p.Close()
	for _, id := range []string{"first", "second"} {
		r, err := p.Do(context.Background(), s.address(), request(id), echo)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := read(t, r); err != nil || body != "body of "+id {
			t.Fatalf("%s got %q, %v", id, body, err)
		}
	}
	if n := s.accepted.Load(); n != 1 {
		t.Fatalf("%d connections, want the first one kept", n)
	}
}

// Guards against a connection being kept that has bytes behind its answer.
func TestBytesBehindAnAnswerEndTheConnection(t *testing.T) {
	s := newServer(t, func(c *net.TCPConn, r *http.Request, _ int) bool {
		id := r.Header.Get("Id")
		fmt.Fprint(c, answerTo(id, "body of "+id)+answerTo(id, "again"))
		return true
	})
	p := NewPool(Options{})
	defer p.Close()
	for _, id := range []string{"first", "second"} {
		r, err := p.Do(context.Background(), s.address(), request(id), echo)
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

// Guards against an answer that broke off being taken for a whole one: short of its
// length, within a chunk, and without a length on a connection that was reset. An
// answer without a length that ends with its connection is whole.
func TestBrokenAnswers(t *testing.T) {
	cases := map[string]struct {
		answer string
		reset  bool
		whole  bool
	}{
		"short of its length":   {answer: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort"},
		"within a chunk":        {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nshort"},
		"without the last one":  {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"},
		"no length, reset":      {answer: "HTTP/1.1 200 OK\r\n\r\nshort", reset: true},
		"no length, closed":     {answer: "HTTP/1.1 200 OK\r\n\r\nshort", whole: true},
		"bytes of no answer":    {answer: "\x00\x01garbage\r\n\r\n"},
		"closed without a byte": {answer: ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, func(conn *net.TCPConn, r *http.Request, _ int) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				fmt.Fprint(conn, c.answer)
				if c.reset {
					// Closing after the bytes were read resets without losing them.
					time.Sleep(20 * time.Millisecond)
					_ = conn.SetLinger(0)
				}
				return false
			})
			p := NewPool(Options{})
			defer p.Close()
			r, err := p.Do(context.Background(), s.address(), request("a"), echo)
			if err == nil {
				_, err = read(t, r)
			}
			if c.whole && err != nil || !c.whole && !errors.Is(err, ErrIncomplete) {
				t.Fatalf("got %v, whole %v", err, c.whole)
			}
		})
	}
}

// Guards against a refusal that says "not run" after bytes were sent, and against the
// reverse: only a connection that was never opened is ErrNotSent.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	p := NewPool(Options{})
	defer p.Close()
	if _, err := p.Do(context.Background(), address, request("a"), echo); !errors.Is(err, ErrNotSent) {
		t.Fatalf("a refused connection gives %v", err)
	}
	s := newServer(t, func(c *net.TCPConn, _ *http.Request, _ int) bool { _ = c.SetLinger(0); return false })
	if _, err := p.Do(context.Background(), s.address(), request("a"), echo); !errors.Is(err, ErrIncomplete) || errors.Is(err, ErrNotSent) {
		t.Fatalf("a reset after the request gives %v", err)
	}
}

// Guards against a request being written to a kept connection that its server has
// closed meanwhile.
func TestClosedConnectionIsNotReused(t *testing.T) {
	closed := make(chan struct{}, 2)
	s := newServer(t, func(c *net.TCPConn, r *http.Request, _ int) bool {
		fmt.Fprint(c, answerTo(r.Header.Get("Id"), "x"))
		_ = c.Close()
		closed <- struct{}{}
		return false
	})
	p := NewPool(Options{})
	defer p.Close()
	for _, id := range []string{"a", "b"} {
		r, err := p.Do(context.Background(), s.address(), request(id), echo)
		if err != nil {
			t.Fatalf("%s: %v", id, err)
		}
		if _, err := read(t, r); err != nil {
			t.Fatal(err)
		}
		<-closed
		// The close is delivered by the loopback before the next exchange looks.
		waitClosed(t, p, s.address())
	}
}

// waitClosed waits until the idle connection shows its server's close.
func waitClosed(t *testing.T, p *Pool, address string) {
	t.Helper()
	for range 1000 {
		p.mu.Lock()
		list := p.idle[address]
		open := len(list) > 0 && list[0].quiet()
		p.mu.Unlock()
		if !open {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the close of the server is not seen")
}

// Guards against the rest of a long body being written as the next request, after a
// server has answered before it had read the body.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	hold := make(chan struct{})
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
				fmt.Fprint(conn, answerTo("a", "too long"))
				<-hold
			}()
		}
	}()
	defer close(hold)
	p := NewPool(Options{})
	defer p.Close()
	for range 2 {
		long := request("a")
		long.Body = []byte(strings.Repeat("x", 16<<20))
		r, err := p.Do(context.Background(), l.Addr().String(), long, echo)
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

// Guards against a server that works on after its caller has left: the end of the
// context closes the connection.
func TestCancelClosesTheConnection(t *testing.T) {
	gone := make(chan struct{})
	started := make(chan struct{})
	s := newServer(t, func(c *net.TCPConn, r *http.Request, _ int) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		var b [1]byte
		_, _ = c.Read(b[:])
		close(gone)
		return false
	})
	p := NewPool(Options{})
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-started; cancel() }()
	if _, err := p.Do(ctx, s.address(), request("a"), echo); !errors.Is(err, ErrIncomplete) || !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v", err)
	}
	<-gone
}
