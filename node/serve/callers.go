package serve

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jacinthnotch/jacinthnotch/node/edge"
	"github.com/jacinthnotch/jacinthnotch/node/internal/clock"
)

const (
	// headerTimeout and idleTimeout apply to connections on which the edge sets no others.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxWriteTime limits the writing of any response. The gateway sets a shorter limit for
	// each request, which this one replaces at the next request of the connection.
	maxWriteTime = 10 * time.Minute
	// maxHeaderBytes limits the headers of a caller's request whatever the configuration states;
	// the edge applies the limit of the configuration.
	maxHeaderBytes = 16 << 20
	// backlogPause is the time without a new connection after which the listener closes, and
	// maxBacklogTime the time after which it closes at the latest. The kernel resets the
	// connections that still wait in the listen queue then.
	backlogPause   = 5 * time.Millisecond
	maxBacklogTime = 400 * time.Millisecond
	// newConnTime is the time that a new connection has for the first bytes of a request
	// while the server drains.
	newConnTime = time.Second
	// drainPollInterval is the interval at which a draining server looks for connections
	// that have become quiet.
	drainPollInterval = 10 * time.Millisecond
)

// callerServer serves callers and drains without cutting off their requests.
//
// It does not use the Shutdown of http.Server, which drops a request whose head it has read
// after the shutdown began.
type callerServer struct {
	server   *http.Server
	listener *callerListener
	leaving  atomic.Bool
}

// newCallerServer returns a server that passes callers' requests to handler. The function
// connContext is that of http.Server.
func newCallerServer(handler http.Handler, connContext func(context.Context, net.Conn) context.Context) *callerServer {
	s := &callerServer{listener: &callerListener{
		conns: map[*callerConn]struct{}{}, closed: make(chan struct{}),
		account: edge.NewAccount("callers", math.MaxInt/4, math.MaxInt), limits: func() edge.Limits { return edge.Limits{} },
	}}
	s.server = &http.Server{
		Handler: s.closeWhileLeaving(handler), ConnContext: withCallerConn(connContext), ConnState: recordState, ReadHeaderTimeout: headerTimeout,
		IdleTimeout: idleTimeout, WriteTimeout: maxWriteTime, MaxHeaderBytes: maxHeaderBytes,
	}
	return s
}

// limit sets the account of the connections and the limits of their requests. It has to be called
// before Serve.
func (s *callerServer) limit(account *edge.Account, limits func() edge.Limits) {
	s.listener.account, s.listener.limits = account, limits
}

// callerConnKey is the key of the connection in the context of a request.
type callerConnKey struct{}

// withCallerConn returns a ConnContext function that also keeps the connection itself.
func withCallerConn(next func(context.Context, net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, conn net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, conn)
		}
		return context.WithValue(ctx, callerConnKey{}, conn)
	}
}

// closeWhileLeaving makes each connection end with its next response once the instance is
// leaving, so that callers open their next one at another instance, and if the end of the request
// is not known.
func (s *callerServer) closeWhileLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(callerConnKey{}).(*callerConn); s.leaving.Load() || ok && c.Lost() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Serve accepts connections until the listener is closed.
func (s *callerServer) Serve(l *net.TCPListener) error {
	s.listener.set(l)
	err := s.server.Serve(s.listener)
	if errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

// Leave makes the server end connections with their next response. New connections are
// still accepted.
func (s *callerServer) Leave() { s.leaving.Store(true) }

// CloseListener accepts the connections that wait and closes the listener.
func (s *callerServer) CloseListener() {
	s.Leave()
	s.listener.acceptRest()
}

// Drain closes the listener, ends the connections without a request, and waits until all requests that
// were read, also in part, have their responses, at most until ctx is done.
func (s *callerServer) Drain(ctx context.Context) error {
	s.CloseListener()
	for s.listener.closeQuiet(time.Now()) > 0 {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		clock.Sleep(ctx, drainPollInterval)
	}
	return nil
}

// Close closes all connections.
func (s *callerServer) Close() { _ = s.server.Close() }

// callerListener is a listener that keeps track of its connections and, before it closes,
// accepts what waits in its queue.
type callerListener struct {
	*net.TCPListener
	account *edge.Account
	limits  func() edge.Limits
	closing atomic.Bool
	// closed is closed once the listener is.
	closed chan struct{}
	// afterRead holds up the readers that have received bytes; nil outside tests.
	afterRead atomic.Pointer[func()]

	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

// set sets the listener before its first use by Accept.
func (l *callerListener) set(tcp *net.TCPListener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.TCPListener = tcp
}

// listening reports whether there is a listener.
func (l *callerListener) listening() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.TCPListener != nil
}

// Accept implements net.Listener. It returns net.ErrClosed once no connection waits after
// acceptRest was called.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.AcceptTCP()
		switch {
		case err == nil:
			if l.closing.Load() {
				// A passed deadline makes Accept fail although connections wait.
				_ = l.SetDeadline(time.Now().Add(backlogPause))
			}
			limited := l.account.Open(conn, true, l.limits)
			if limited == nil {
				continue
			}
			c := &callerConn{Conn: limited, listener: l, openedAt: time.Now()}
			l.mu.Lock()
			l.conns[c] = struct{}{}
			l.mu.Unlock()
			return c, nil
		case l.closing.Load() && errors.Is(err, os.ErrDeadlineExceeded) && l.hasQueued():
			// This process had no processor while the deadline passed.
			_ = l.SetDeadline(time.Now().Add(backlogPause))
		case l.closing.Load() && errors.Is(err, os.ErrDeadlineExceeded):
			_ = l.TCPListener.Close() // a second close has no effect
			close(l.closed)
			return nil, net.ErrClosed
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		}
	}
}

// hasQueued reports whether a connection waits in the listen queue.
func (l *callerListener) hasQueued() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && ready > 0
}

// acceptRest makes Accept return what waits in the queue and then close the listener. It
// returns when that is done, or after maxBacklogTime.
func (l *callerListener) acceptRest() {
	if !l.listening() || l.closing.Swap(true) || l.SetDeadline(time.Now().Add(backlogPause)) != nil {
		return // not listening, or closed before
	}
	select {
	case <-l.closed:
	case <-time.After(maxBacklogTime):
		_ = l.TCPListener.Close()
	}
}

// closeQuiet ends the connections without a request, and returns the number of those that are open.
func (l *callerListener) closeQuiet(now time.Time) int {
	l.mu.Lock()
	conns := make([]*callerConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.endIfQuiet(now)
	}
	return len(conns)
}

// callerConn is the connection of a caller.
type callerConn struct {
	*edge.Conn
	listener *callerListener
	openedAt time.Time

	mu sync.Mutex
	// state is the state of the connection, and receivedSince is set if bytes were received
	// since the connection entered it.
	state         http.ConnState
	receivedSince bool
	// ending is set once the connection ends unless bytes of a request have been received.
	ending bool
}

// Read implements net.Conn. On a connection that is ending it returns io.EOF, unless there are bytes of a
// request.
func (c *callerConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			if hold := c.listener.afterRead.Load(); hold != nil {
				(*hold)()
			}
		}
		goesOn, ends := c.recordRead(n, err)
		switch {
		case ends:
			return 0, io.EOF
		case n > 0 || !goesOn:
			return n, err
		}
	}
}

// recordRead records the outcome of a read. It reports whether the connection goes on although it was
// ending, and whether it ends.
func (c *callerConn) recordRead(n int, err error) (goesOn, ends bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receivedSince = c.receivedSince || n > 0
	if !c.ending {
		return false, false
	}
	if n == 0 && !c.hasUnread() {
		return false, errors.Is(err, os.ErrDeadlineExceeded)
	}
	c.ending = false
	_ = c.Conn.SetReadDeadline(time.Time{}) // the edge sets the limits in force
	return true, false
}

// hasUnread reports whether the kernel holds bytes of the connection. A read does not return them once its
// deadline has passed.
func (c *callerConn) hasUnread() bool {
	raw, err := c.Conn.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// recordState is the ConnState function of the server.
func recordState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok {
		c.mu.Lock()
		c.state, c.receivedSince = state, false
		c.mu.Unlock()
		c.Record(state)
	}
}

// endIfQuiet ends the connection if it carries no request, not even a part of one. It wakes the reader up
// and leaves the closing to it, as it may have received bytes that are not recorded yet.
func (c *callerConn) endIfQuiet(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isQuiet(now) {
		c.ending = true
		_ = c.Conn.SetReadDeadline(now)
	}
}

// isQuiet reports whether no byte of a request was received. A new connection gets newConnTime for its
// first bytes. The caller holds the lock.
func (c *callerConn) isQuiet(now time.Time) bool {
	switch c.state {
	case http.StateNew:
		return !c.receivedSince && now.Sub(c.openedAt) > newConnTime
	case http.StateIdle:
		// net/http may have read a byte before the connection was idle.
		return !c.receivedSince && !c.Conn.HasReceived()
	}
	return false
}
