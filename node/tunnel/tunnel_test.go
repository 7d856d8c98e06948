package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/exchange"
	"github.com/jacinthnotch/jacinthnotch/policy/pathselect"
)

const testTimeout = 10 * time.Second

// peerList lists fixed peers.
type peerList []pathselect.Peer

func (l peerList) LivePeers() []pathselect.Peer { return append([]pathselect.Peer(nil), l...) }

// helper is an instance that opens tunnels.
type helper struct {
	*Server
	dialer   *Dialer
	listener *net.TCPListener
	peer     pathselect.Peer
}

// startHelper starts an instance that opens tunnels to the servers.
func startHelper(t *testing.T, name string, maxTunnels int, servers ...string) *helper {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := l.Addr().(*net.TCPAddr).AddrPort()
	d := NewDialer(Options{Peers: peerList(nil), Servers: func() []string { return servers }})
	h := &helper{
		dialer: d, listener: l.(*net.TCPListener),
		peer: pathselect.Peer{Name: name, Address: netip.AddrPortFrom(at.Addr(), at.Port()-1).String()},
	}
	h.Server = d.NewServer(maxTunnels, func(address string) bool {
		for _, s := range servers {
			if s == address {
				return true
			}
		}
		return false
	})
	ended := make(chan error, 1)
	go func() { ended <- h.Serve(h.listener) }()
	t.Cleanup(func() {
		_ = l.Close()
		h.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return h
}

// startServer accepts connections and passes each to handle.
func startServer(t *testing.T, handle func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.SetDeadline(time.Now().Add(testTimeout))
			go handle(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// openThrough opens a tunnel through the helpers.
func openThrough(t *testing.T, server string, helpers ...*helper) net.Conn {
	t.Helper()
	var list peerList
	for _, h := range helpers {
		list = append(list, h.peer)
	}
	c, err := newClient(list, exchange.Dial).Open(testContext(t), server)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

func waitUntil(t *testing.T, failure string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

// Guards against bytes that are lost or changed on their way, in either direction.
func TestBytesPassBothWays(t *testing.T) {
	server := startServer(t, func(c *net.TCPConn) {
		defer c.Close()
		_, _ = io.Copy(c, io.LimitReader(c, 1<<20))
	})
	c := openThrough(t, server, startHelper(t, "b", 8, server))
	sent := strings.Repeat("0123456789abcdef", 1<<16)
	go func() { _, _ = io.WriteString(c, sent) }()
	received, err := io.ReadAll(c)
	if err != nil || string(received) != sent {
		t.Errorf("%d of %d bytes, error %v", len(received), len(sent), err)
	}
}

// Guards against an answer without a length that was cut and looks whole, since the end of the tunnel is
// taken for the end of the server's connection.
func TestOnlyAnOrderlyEndOfTheServerLooksLikeOne(t *testing.T) {
	const body = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"
	for name, c := range map[string]struct {
		end func(server *net.TCPConn, h *helper)
		// whole is whether the response counts as complete, and path whether the path is at fault.
		whole, path bool
	}{
		"orderly": {func(server *net.TCPConn, _ *helper) { _ = server.Close() }, true, false},
		"reset": {func(server *net.TCPConn, _ *helper) {
			_ = server.SetLinger(0)
			_ = server.Close()
		}, false, false},
		"death of the helper": {func(_ *net.TCPConn, h *helper) { h.Close() }, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan struct{})
			var h *helper
			server := startServer(t, func(conn *net.TCPConn) {
				_, _ = conn.Read(make([]byte, 1<<10))
				_, _ = io.WriteString(conn, body)
				<-received
				c.end(conn, h)
			})
			h = startHelper(t, "b", 8, server)
			pool := exchange.NewPool(exchange.Options{Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
				return newClient(peerList{h.peer}, exchange.Dial).Open(ctx, address)
			}})
			defer pool.Close()
			request := &exchange.Request{Method: http.MethodGet, Target: "/", Host: "h"}
			response, err := pool.Do(testContext(t), server, request, func(int, http.Header) (string, time.Duration) { return "", 0 })
			if err != nil {
				t.Fatal(err)
			}
			defer response.Close()
			part := make([]byte, len("part"))
			if _, err := io.ReadFull(response, part); err != nil {
				t.Fatal(err)
			}
			close(received)
			_, err = io.ReadAll(response)
			if whole := err == nil; whole != c.whole {
				t.Errorf("error %v, whole %v", err, c.whole)
			}
			if path := exchange.IsPathFault(err); path != c.path {
				t.Errorf("error %v, fault of the path %v", err, path)
			}
		})
	}
}

// Guards against requests that go on at the server after their caller has left.
func TestCancellationReachesTheServer(t *testing.T) {
	cancelled := make(chan struct{})
	server := startServer(t, func(c *net.TCPConn) {
		defer c.Close()
		_, _ = io.Copy(io.Discard, c)
		close(cancelled)
	})
	c := openThrough(t, server, startHelper(t, "b", 8, server))
	_, _ = io.WriteString(c, "request")
	_ = c.Close()
	select {
	case <-cancelled:
	case <-time.After(testTimeout):
		t.Error("the connection to the server stays open")
	}
}

// Guards against an open proxy, tunnels without bound, and tunnels of an instance that drains or has no
// links itself.
func TestTunnelsThatAreRefused(t *testing.T) {
	quiet := startServer(t, func(c *net.TCPConn) {
		defer c.Close()
		_, _ = io.Copy(io.Discard, c)
	})
	other := startServer(t, func(c *net.TCPConn) { _ = c.Close() })
	open := func(h *helper, server string) error {
		c, err := newClient(peerList{h.peer}, exchange.Dial).Open(testContext(t), server)
		if err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
		return err
	}
	unknown := startHelper(t, "unknown", 8, quiet)
	if err := open(unknown, other); !errors.Is(err, ErrNoPeer) {
		t.Errorf("tunnel to an address that is no server: %v", err)
	}
	full := startHelper(t, "full", 1, quiet)
	if err := open(full, quiet); err != nil {
		t.Error(err)
	}
	if err := open(full, quiet); !errors.Is(err, ErrNoPeer) {
		t.Errorf("tunnel above the bound: %v", err)
	}
	draining := startHelper(t, "draining", 8, quiet)
	draining.Drain()
	if err := open(draining, quiet); !errors.Is(err, ErrNoPeer) {
		t.Errorf("tunnel through an instance that drains: %v", err)
	}
	stranded := startHelper(t, "stranded", 8, quiet, other)
	stranded.Helps = func() bool { return false }
	if err := open(stranded, quiet); !errors.Is(err, ErrNoPeer) {
		t.Errorf("tunnel through an instance without links: %v", err)
	}
	unreached := startHelper(t, "unreached", 8, quiet)
	unreached.Dial = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	if err := open(unreached, quiet); !errors.Is(err, ErrServer) {
		t.Errorf("tunnel to a server that the other instance does not reach: %v", err)
	}
	if c := openThrough(t, quiet, unknown, full, draining, stranded); c == nil {
		t.Error("no tunnel though one instance helps")
	}
}

// Guards against requests of other instances that are cut by the drain of the one that helps.
func TestDrainWaitsForTunnels(t *testing.T) {
	server := startServer(t, func(c *net.TCPConn) {
		defer c.Close()
		_, _ = io.Copy(io.Discard, c)
	})
	h := startHelper(t, "b", 8, server)
	c := openThrough(t, server, h)
	h.Drain()
	var drained atomic.Bool
	done := make(chan error, 1)
	go func() {
		err := h.Wait(testContext(t))
		drained.Store(true)
		done <- err
	}()
	for range 20 {
		time.Sleep(time.Millisecond)
		if drained.Load() {
			t.Fatal("the drain ended while a tunnel was open")
		}
	}
	_ = c.Close()
	if err := <-done; err != nil {
		t.Errorf("the drain does not end: %v", err)
	}
}

// Guards against an idle tunnel that broke off, or received stray bytes, and carries another request.
func TestIdleTunnelIsCheckedBeforeReuse(t *testing.T) {
	stray := make(chan struct{})
	server := startServer(t, func(c *net.TCPConn) {
		<-stray
		_, _ = io.WriteString(c, "stray")
	})
	h := startHelper(t, "b", 8, server)
	talkative, broken := openThrough(t, server, h).(exchange.Relayed), openThrough(t, server, h).(exchange.Relayed)
	if !talkative.Quiet() || !broken.Quiet() {
		t.Fatal("a quiet tunnel is not reused")
	}
	close(stray)
	waitUntil(t, "a tunnel with stray bytes is reused", func() bool { return !talkative.Quiet() })
	h.Close()
	waitUntil(t, "a broken tunnel is reused", func() bool { return !broken.Quiet() })
	if left := time.Until(broken.ReusableUntil()); left > maxReuseTime {
		t.Errorf("a tunnel carries requests for %v more", left)
	}
}

// Guards against a part of an answer that looks whole, since the helper's write to the server gets the report of
// a reset and its read finds an end: the server answers while a long request is still being written.
func TestResetDuringAnUploadIsNoEnd(t *testing.T) {
	const rounds = 40
	server := startServer(t, func(c *net.TCPConn) {
		_, _ = io.ReadFull(c, make([]byte, 1<<10))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
		_ = c.Close() // with unread bytes, so that it resets the connection
	})
	h := startHelper(t, "b", 8, server)
	upload := make([]byte, 4<<20)
	whole := 0
	for range rounds {
		c := openThrough(t, server, h)
		go func() { _, _ = c.Write(upload) }()
		if _, err := io.ReadAll(c); err == nil {
			whole++
		}
		_ = c.Close()
	}
	if whole > 0 {
		t.Errorf("%d of %d answers that the server reset look whole", whole, rounds)
	}
}

// Guards against a sound server that counts as down since the instance that was asked has lost its own links and
// has just found out.
func TestHelperThatFindsItsLinksLostDoesNotBlameTheServer(t *testing.T) {
	servers := twoServers(t)
	h := startHelper(t, "b", 8, servers...)
	cut := &cuttableDial{}
	cut.cut.Store(true)
	h.dialer.opt.Direct = cut.dial
	for n, want := range []error{ErrServer, ErrNoPeer} { // one server alone may be down
		_, err := newClient(peerList{h.peer}, exchange.Dial).Open(testContext(t), servers[n])
		if !errors.Is(err, want) {
			t.Errorf("dial %d: %v, want %v", n, err, want)
		}
	}
}
