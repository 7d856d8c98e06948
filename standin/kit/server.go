package kit

import (
	"net"
	"sync"
	"sync/atomic"
)

// ServeFunc runs an HTTP server on a listener until the listener is closed.
type ServeFunc func(net.Listener)

// Server is the listening part of a stand-in. It can be killed and started
// again on the same address, and its open connections can be made silent.
type Server struct {
	serve ServeFunc

	mu       sync.Mutex
	addr     string
	listener net.Listener
	stopped  chan struct{} // closed when serve has returned
	conns    map[*conn]struct{}
}

// NewServer returns a server that is not started.
func NewServer(serve ServeFunc) *Server {
	return &Server{serve: serve, conns: make(map[*conn]struct{})}
}

// Start listens on addr, an IP address and port; port 0 picks a free one.
func (s *Server) Start(addr string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.listener, s.addr, s.stopped = l, l.Addr().String(), make(chan struct{})
	go func(done chan struct{}) {
		defer close(done)
		s.serve(&listener{Listener: l, server: s})
	}(s.stopped)
	return nil
}

// Restart listens again on the address of the last start.
func (s *Server) Restart() error { return s.Start(s.Addr()) }

// Addr returns the IP address and port of the last start.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Kill closes the listener and cuts all connections, as the death of the
// process would.
func (s *Server) Kill() {
	s.mu.Lock()
	l, done := s.listener, s.stopped
	s.listener = nil
	conns := s.take()
	s.mu.Unlock()
	if l == nil {
		return
	}
	l.Close()
	for _, c := range conns {
		c.cut()
	}
	<-done
	s.mu.Lock()
	conns = s.take() // accepted between the two steps above
	s.mu.Unlock()
	for _, c := range conns {
		c.cut()
	}
}

func (s *Server) take() []*conn {
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	clear(s.conns)
	return conns
}

// SilenceConnections makes all open connections silent for good: nothing that the
// server writes to them arrives and they stay open. New connections work.
func (s *Server) SilenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
}

type listener struct {
	net.Listener
	server *Server
}

func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, server: l.server}
	l.server.mu.Lock()
	l.server.conns[c] = struct{}{}
	l.server.mu.Unlock()
	return c, nil
}

type conn struct {
	net.Conn
	server *Server
	silent atomic.Bool
}

func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close keeps a silent connection open, since its peer must see neither data
// nor an end. Kill closes it.
func (c *conn) Close() error {
	if c.silent.Load() {
		return nil
	}
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

func (c *conn) cut() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0) // a dead process's host answers with a reset
	}
	c.Conn.Close()
}
