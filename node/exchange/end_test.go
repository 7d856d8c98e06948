package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A body of this size does not fit into the buffers of a loopback connection.
const longBodyBytes = 32 << 20

// end is how a server ends a connection.
type end int

const (
	// halfClosed is a FIN of a server that reads no further, halfClosedThenReset one with a reset after it.
	halfClosed end = iota
	halfClosedThenReset
	closed
	reset
)

func (e end) apply(c *net.TCPConn, done <-chan struct{}) {
	if e == halfClosed || e == halfClosedThenReset {
		_ = c.CloseWrite()
	}
	switch e {
	case halfClosed:
		<-done
	case halfClosedThenReset, reset:
		_ = c.SetLinger(0)
	}
	_ = c.Close()
}

// Guards against a part of an answer without a length being taken for the whole one if the server ends the
// connection before it has received the request, and against errors being lost that are sent so.
func TestAnswerBeforeTheRequestWasSent(t *testing.T) {
	const success, failure = "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart", "HTTP/1.1 413 X\r\nId: a\r\n\r\npart"
	for name, c := range map[string]struct {
		answer string
		size   int
		end    end
		whole  bool
	}{
		"long, half closed":            {success, longBodyBytes, halfClosed, false},
		"long, half closed then reset": {success, longBodyBytes, halfClosedThenReset, false},
		"long, closed":                 {success, longBodyBytes, closed, false},
		"long, reset":                  {success, longBodyBytes, reset, false},
		"error, half closed":           {failure, longBodyBytes, halfClosed, true},
		"error, reset":                 {failure, longBodyBytes, reset, false},
		"short, half closed":           {success, 1, halfClosed, true},
		"middle, half closed":          {success, concurrentBodyBytes, halfClosed, true},
	} {
		t.Run(name, func(t *testing.T) {
			done := make(chan struct{})
			s := newServer(t, func(conn *net.TCPConn, r *http.Request, _ int) bool {
				if c.size < longBodyBytes {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				fmt.Fprint(conn, c.answer)
				c.end.apply(conn, done)
				return false
			})
			defer close(done)
			p := NewPool(Options{})
			defer p.Close()
			r := request("a")
			r.Body = make([]byte, c.size)
			response, err := p.Do(context.Background(), s.address(), r, parseHeaders)
			body := ""
			if err == nil {
				body, err = read(t, response)
			}
			if c.whole && (err != nil || body != "part") {
				t.Errorf("body %q, error %v", body, err)
			}
			if !c.whole && !errors.Is(err, ErrIncomplete) {
				t.Errorf("body %q, error %v, want ErrIncomplete", body, err)
			}
		})
	}
}

// Guards against a reset after a FIN, of a server that does not read its request, being taken for the end of
// a body without a length.
func TestResetAfterTheEnd(t *testing.T) {
	ended := make(chan struct{})
	s := newServer(t, func(c *net.TCPConn, _ *http.Request, _ int) bool {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart")
		halfClosedThenReset.apply(c, nil)
		close(ended)
		return false
	})
	p := NewPool(Options{})
	defer p.Close()
	response, err := p.Do(context.Background(), s.address(), request("a"), parseHeaders)
	if err != nil {
		t.Fatal(err)
	}
	<-ended
	if body, err := read(t, response); !errors.Is(err, ErrIncomplete) {
		t.Errorf("body %q, error %v, want ErrIncomplete", body, err)
	}
}

// failingConn is a connection that yields some bytes and then an error.
type failingConn struct {
	net.Conn
	text io.Reader
	err  error
}

func (c *failingConn) Read(b []byte) (int, error) {
	if n, err := c.text.Read(b); err == nil {
		return n, nil
	}
	return 0, c.err
}

func (c *failingConn) Write(b []byte) (int, error)      { return len(b), nil }
func (c *failingConn) Close() error                     { return nil }
func (c *failingConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against the failure of a connection, as by a keep-alive or user timeout, being taken for the end of
// a body.
func TestFailedConnectionIsNoEnd(t *testing.T) {
	for _, framing := range []string{"", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"} {
		for _, failure := range []error{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EPIPE, syscall.EHOSTUNREACH, net.ErrClosed, io.ErrUnexpectedEOF, context.DeadlineExceeded} {
			c := &failingConn{text: strings.NewReader("HTTP/1.1 200 OK\r\nId: a\r\n" + framing + "\r\n2\r\nok\r\n"), err: failure}
			if framing != "" && !strings.HasPrefix(framing, "T") {
				c.text = strings.NewReader("HTTP/1.1 200 OK\r\nId: a\r\n" + framing + "\r\nbody")
			}
			p := NewPool(Options{Dial: func(context.Context, string, string) (net.Conn, error) { return c, nil }})
			response, err := p.Do(t.Context(), "s", request("a"), parseHeaders)
			body := ""
			if err == nil {
				body, err = read(t, response)
			}
			if !errors.Is(err, ErrIncomplete) {
				t.Errorf("%q, %v: body %q, error %v, want ErrIncomplete", framing, failure, body, err)
			}
			p.Close()
		}
	}
}
