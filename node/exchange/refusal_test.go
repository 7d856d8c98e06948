package exchange

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
)

// Guards against the copy of a refusal being taken for the answer to the same request, sent to the
// same server a second time, and against an answer to a request without an ID that belongs to
// another one: on a kept connection nothing tells them apart.
func TestRequestThatCannotBeToldApartGetsANewConnection(t *testing.T) {
	for name, ids := range map[string][]string{"sent again": {"a", "b", "a"}, "without an ID": {"a", ""}} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, func(c *net.TCPConn, r *http.Request, n int) bool {
				id := r.Header.Get("Id")
				if n > 0 && id != "b" {
					fmt.Fprint(c, responseTo("a", "refused"))
				}
				fmt.Fprint(c, responseTo(id, "answer"))
				return true
			})
			p := NewPool(Options{})
			defer p.Close()
			for _, id := range ids {
				r, err := p.Do(context.Background(), s.address(), request(id), parseHeaders)
				if err != nil {
					t.Fatal(err)
				}
				if body, err := read(t, r); err != nil || body != "answer" {
					t.Errorf("%q got %q, %v", id, body, err)
				}
			}
			if n := s.accepted.Load(); n != 2 {
				t.Errorf("%d connections, want 2", n)
			}
		})
	}
}
