package tunnel

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jacinthnotch/jacinthnotch/node/exchange"
)

// cuttableDial is a direct dial that a test can cut: it then hangs, or fails at once.
type cuttableDial struct{ cut, hangs atomic.Bool }

func (c *cuttableDial) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !c.cut.Load() {
		return exchange.Dial(ctx, network, address)
	}
	if c.hangs.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return nil, errors.New("connection refused")
}

// twoServers starts two servers that keep connections open.
func twoServers(t *testing.T) []string {
	t.Helper()
	handle := func(c *net.TCPConn) {
		defer c.Close()
		_, _ = io.Copy(io.Discard, c)
	}
	return []string{startServer(t, handle), startServer(t, handle)}
}

// startDialer returns a dialer whose probes run.
func startDialer(t *testing.T, opt Options) *Dialer {
	t.Helper()
	d := NewDialer(opt)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); d.RunProbes(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return d
}

func mustDial(t *testing.T, d *Dialer, address string) net.Conn {
	t.Helper()
	c, err := d.Dial(testContext(t), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func isRelayed(c net.Conn) bool { _, ok := c.(exchange.Relayed); return ok }

// Guards against an instance without links to servers that does not reach them through another one, or does
// not return to its own links.
func TestDialerBridgesLostLinks(t *testing.T) {
	for name, hangs := range map[string]bool{"refused": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			servers := twoServers(t)
			h := startHelper(t, "b", 64, servers...)
			direct := &cuttableDial{}
			direct.hangs.Store(hangs)
			var changes atomic.Int32
			d := startDialer(t, Options{
				Peers: peerList{h.peer}, Servers: func() []string { return append([]string(nil), servers...) },
				Direct: direct.dial, OnChange: func() { changes.Add(1) },
			})
			if isRelayed(mustDial(t, d, servers[0])) {
				t.Error("a tunnel though the links are up")
			}
			direct.cut.Store(true)
			if !isRelayed(mustDial(t, d, servers[0])) {
				t.Error("no tunnel though the links are down")
			}
			waitUntil(t, "the loss of the links is not noticed", func() bool { return !d.LinksUp() })
			direct.cut.Store(false)
			waitUntil(t, "the return of the links is not noticed", func() bool { return d.LinksUp() && changes.Load() >= 2 })
			if isRelayed(mustDial(t, d, servers[1])) || changes.Load() != 2 {
				t.Errorf("%d changes of the path", changes.Load())
			}
		})
	}
}

// Guards against a calm fleet that opens tunnels, and against probes without a cause.
func TestSoundLinksOpenNoTunnel(t *testing.T) {
	servers := twoServers(t)
	h := startHelper(t, "b", 8, servers...)
	d := startDialer(t, Options{Peers: peerList{h.peer}, Servers: func() []string { return append([]string(nil), servers...) }})
	for n := range 50 {
		mustDial(t, d, servers[n%len(servers)])
	}
	for _, event := range []string{"opened", "probes", "lost"} {
		if n := d.metrics.counts.Get(event); n != nil {
			t.Errorf("%v %s", n, event)
		}
	}
	if n := h.metrics.counts.Get("served"); n != nil {
		t.Errorf("%v tunnels served", n)
	}
}

// Guards against an outage of the servers that counts as lost links, and that delays each dial by
// questions to other instances.
func TestOutageOfServersIsNotLostLinks(t *testing.T) {
	servers := []string{unusedAddress(t), unusedAddress(t)}
	h := startHelper(t, "b", 8, servers...)
	var asked atomic.Int32
	d := startDialer(t, Options{
		Peers: peerList{h.peer}, Servers: func() []string { return append([]string(nil), servers...) },
		ToPeer: func(ctx context.Context, network, address string) (net.Conn, error) {
			asked.Add(1)
			return exchange.Dial(ctx, network, address)
		},
	})
	began := time.Now()
	for n := range 100 {
		_, err := d.Dial(testContext(t), "tcp", servers[n%len(servers)])
		if err == nil || errors.Is(err, exchange.ErrPath) {
			t.Fatalf("dial to a server that is down: %v", err)
		}
	}
	if most := int32(len(servers)) * int32(1+time.Since(began)/time.Second); asked.Load() > most {
		t.Errorf("%d questions to the other instance, at most %d are due", asked.Load(), most)
	}
	if !d.LinksUp() {
		t.Error("the links count as down")
	}
}

// unusedAddress returns an address at which nothing listens. Its port is bound until the end of the test, so
// that nobody else gets it.
func unusedAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
}

// Guards against an instance without links that opens all its tunnels through one other instance, though many
// would help.
func TestTunnelsAreSpreadOverInstances(t *testing.T) {
	const helpers, dials = 8, 200
	servers := twoServers(t)
	var list peerList
	var started []*helper
	for n := range helpers {
		h := startHelper(t, string(rune('a'+n)), dials, servers...)
		list, started = append(list, h.peer), append(started, h)
	}
	cut := &cuttableDial{}
	cut.cut.Store(true)
	d := NewDialer(Options{Peers: list, Servers: func() []string { return append([]string(nil), servers...) }, Direct: cut.dial})
	for n := range dials {
		_ = mustDial(t, d, servers[n%len(servers)]).Close()
	}
	for _, h := range started {
		if n, _ := h.metrics.counts.Get("served").(*expvar.Int); n != nil && n.Value() > dials/2 {
			t.Errorf("%d of %d tunnels through instance %s", n.Value(), dials, h.peer.Name)
		}
	}
}
