package client

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// Guards against a part of an answer without a length being taken for the whole one if the server ends the
// connection before it has received the request.
func TestEarlyAnswerIsNoSuccess(t *testing.T) {
	const rounds = 8
	for name, end := range map[string]func(c *net.TCPConn){
		"closed":      func(*net.TCPConn) {},
		"reset":       func(c *net.TCPConn) { _ = c.SetLinger(0) },
		"half closed": func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(50 * time.Millisecond) },
		"half closed, then reset": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_ = c.SetLinger(0)
		},
	} {
		for adapter, answer := range map[string]string{"plain": "part", "engine": "{}", "log append": `{"offset":3}`} {
			for range rounds {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				go func() {
					c, err := l.Accept()
					if err != nil {
						return
					}
					defer c.Close()
					if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
						return
					}
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n"+answer)
					end(c.(*net.TCPConn))
				}()
				body := make([]byte, 8<<20)
				copy(body, "{}")
				if err := adapterCalls[adapter](t, l.Addr().String(), body); !errors.Is(err, port.ErrOutcomeUnknown) {
					t.Errorf("%s, %s: error %v, want ErrOutcomeUnknown", adapter, name, err)
				}
				_ = l.Close()
			}
		}
	}
}

// Guards against whole answers without a length being refused: after a request that was received, to one
// that has no body in its answer, and an error to a request that the server does not read.
func TestWholeAnswerWithoutLength(t *testing.T) {
	for method, c := range map[string]struct {
		answer, want string
		size         int
	}{
		http.MethodPost: {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole", "whole", 1 << 20},
		http.MethodGet:  {"HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nwhole", "whole", 0},
		http.MethodHead: {"HTTP/1.1 200 OK\r\n\r\n", "", 0},
	} {
		addr, _ := serveScript(t, func(int64, *http.Request) []byte { return []byte(c.answer) })
		r, err := NewPlain(addr, NewPool(Options{})).Do(t.Context(), &port.PlainRequest{Method: method, Path: "/x", Body: make([]byte, c.size)})
		if err != nil || string(r.Body) != c.want {
			t.Errorf("%s: %+v, %v", method, r, err)
		}
	}
}
