package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
)

// earlyEnds are the ways in which a server ends a connection whose request it has not read; done is closed
// at the end of the test.
var earlyEnds = map[string]func(c *net.TCPConn, done <-chan struct{}){
	"closed":      func(*net.TCPConn, <-chan struct{}) {},
	"reset":       func(c *net.TCPConn, _ <-chan struct{}) { _ = c.SetLinger(0) },
	"half closed": func(c *net.TCPConn, done <-chan struct{}) { _ = c.CloseWrite(); <-done },
	"half closed, then reset": func(c *net.TCPConn, _ <-chan struct{}) {
		_ = c.CloseWrite()
		_ = c.SetLinger(0)
	},
}

// Guards against a part of an answer without a length, which a server sends while a long request is still
// being written, reaching the caller as a whole one.
func TestEarlyAnswerIsNoSuccess(t *testing.T) {
	// Neither body fits into the buffers of a connection to a server that does not read.
	uploads := []string{strings.Repeat("x", 1<<20), strings.Repeat("x", defaultMaxBodyBytes)}
	const rounds = 4
	const head = "HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\n"
	for kind, c := range map[string]struct {
		route         serving.Route
		answer, sound string
	}{
		"safe":   {safeRoute(), head + "\r\npart", "whole"},
		"once":   {serving.Route{Kind: serving.Unsafe, MaxAttempts: 1}, head + "\r\npart", "whole"},
		"stream": {streamRoute(true), head + "Content-Type: text/event-stream\r\n\r\n" + event(1), event(1) + event(2)},
	} {
		for name, end := range earlyEnds {
			t.Run(kind+"/"+name, func(t *testing.T) {
				for round := range rounds {
					done := make(chan struct{})
					f := newFleet(t, 2, c.route, func(conn net.Conn, r *http.Request, n int) {
						if n > 0 {
							_, _ = io.Copy(io.Discard, r.Body)
							rest := c.sound
							if r.Header.Get("After") == "1" {
								rest = event(2)
							}
							fmt.Fprint(conn, whole(http.StatusOK, "text/event-stream", rest))
							return
						}
						fmt.Fprint(conn, c.answer)
						end(conn.(*net.TCPConn), done)
					})
					response, body, err := f.sendBody(t, uploads[round%len(uploads)])
					if err == nil && response.StatusCode == http.StatusOK && body != c.sound {
						t.Errorf("success with %q", body)
					}
					close(done)
				}
			})
		}
	}
}

// Guards against a request that a server gets before its body has arrived, and could answer early.
func TestRequestIsSentOnceItsBodyHasArrived(t *testing.T) {
	f := newFleet(t, 1, safeRoute(), func(c net.Conn, r *http.Request, _ int) {
		raw, _ := io.ReadAll(r.Body)
		fmt.Fprint(c, whole(http.StatusOK, "text/plain", string(raw)))
	})
	body, writer := io.Pipe()
	go func() {
		for n := range 5 {
			fmt.Fprint(writer, n)
			if sent := f.count(); sent > 0 {
				_ = writer.CloseWithError(fmt.Errorf("the server has the request after piece %d", n))
			}
		}
		_ = writer.Close()
	}()
	r, err := http.NewRequest(http.MethodPost, f.url+"/p/x", body)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = testHost
	r.Header.Set("Id", "id-1")
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if raw, err := io.ReadAll(response.Body); err != nil || string(raw) != "01234" {
		t.Errorf("body %q, error %v", raw, err)
	}
}
