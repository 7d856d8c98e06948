package exchange

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// relayedConn is a connection that states of itself what failed.
type relayedConn struct{ net.Conn }

func (relayedConn) Quiet() bool              { return true }
func (relayedConn) ReusableUntil() time.Time { return time.Now().Add(time.Minute) }

// Guards against sound servers that are avoided by the whole fleet since an instance that lost its own links
// reports their failures, and against crashes of servers that go unreported since a tunnel was in between.
func TestBrokenAttemptIsBlamedOnThePathOrTheServer(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1<<10))
			_ = c.Close()
		}
	}()
	for name, c := range map[string]struct{ up, relayed, path bool }{
		"direct, links up":     {true, false, false},
		"direct, links down":   {false, false, true},
		"relayed, links down":  {false, true, false},
		"relayed, links again": {true, true, false},
	} {
		pool := NewPool(Options{PathUp: func() bool { return c.up }, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := Dial(ctx, network, address)
			if err == nil && c.relayed {
				return relayedConn{raw}, nil
			}
			return raw, err
		}})
		request := &Request{Method: http.MethodGet, Target: "/", Host: "h"}
		_, err := pool.Do(t.Context(), listener.Addr().String(), request, func(int, http.Header) (string, time.Duration) { return "", 0 })
		if err == nil || IsPathFault(err) != c.path {
			t.Errorf("%s: error %v, fault of the path %v", name, err, !c.path)
		}
		pool.Close()
	}
}
