package kit

import (
	"net"
	"sync"
	"sync/atomic"
)

// ServeFunc runs an HTTP server on a listener until the listener is closed.
type ServeFunc func(net.Listener)

// Server accepts the connections of a stand-in. It can be killed and restarted on the same
// address, and its open connections can be made silent.
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

// Start listens on addr, an IP address and port. Port 0 selects a free port.
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
	go func(stopped chan struct{}) {
		defer close(stopped)
		s.serve(&listener{Listener: l, server: s})
	}(s.stopped)
	return nil
}

// Restart listens on the address of the last Start.
func (s *Server) Restart() error { return s.Start(s.Addr()) }

// Addr returns the IP address and port of the last Start.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Kill closes the listener and resets all connections, as if the process had died.
func (s *Server) Kill() {
	s.mu.Lock()
	l, stopped := s.listener, s.stopped
	s.listener = nil
	conns := s.removeConns()
	s.mu.Unlock()
	if l == nil {
		return
	}
	l.Close()
	for _, c := range conns {
		c.reset()
	}
	<-stopped
	s.mu.Lock()
	conns = s.removeConns() // accepted since the first removeConns
	s.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
}

// removeConns removes all connections from the server and returns them. The caller holds
// mu.
func (s *Server) removeConns() []*conn {
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	clear(s.conns)
	return conns
}

// SilenceConnections makes all open connections silent permanently: they stay open, and
// what the server writes to them is discarded. New connections are not affected.
func (s *Server) SilenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
}

// listener registers the accepted connections with the server.
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

// Close does nothing on a silent connection, whose client must not see it close. Kill
// closes it.
func (c *conn) Close() error {
	if c.silent.Load() {
		return nil
	}
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// SetLinger sets the linger time as net.TCPConn does.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// reset closes the connection with a TCP reset, as the host of a dead process does.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Conn.Close()
}
