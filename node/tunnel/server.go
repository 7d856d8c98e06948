package tunnel

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/internal/clock"
	"github.com/jacinthnotch/jacinthnotch/node/internal/guard"
	"github.com/jacinthnotch/jacinthnotch/node/internal/tcpstate"
)

const (
	// serverTimeout limits the dial to a server.
	serverTimeout = 300 * time.Millisecond
	// requestTimeout limits the time in which an instance sends its request for a tunnel.
	requestTimeout = time.Second
	// maxRequestBytes limits the request for a tunnel.
	maxRequestBytes = 1 << 10
	// drainPollInterval is the interval at which a drain looks for open tunnels.
	drainPollInterval = 10 * time.Millisecond
	// acceptRetryDelay is the delay after a connection was not accepted for want of resources.
	acceptRetryDelay = 10 * time.Millisecond
	// lingerTime is the time that the other end has to close a tunnel after its last chunk.
	lingerTime = time.Second
)

// Server opens tunnels for other instances.
type Server struct {
	// MaxTunnels limits the open tunnels.
	MaxTunnels int
	// IsServer reports whether an address is that of a server.
	IsServer func(address string) bool
	// Helps reports whether this instance's own links to servers are sound.
	Helps func() bool
	// Dial opens a connection to a server directly.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	metrics *metrics

	mu       sync.Mutex
	open     map[net.Conn]struct{}
	draining bool
	closed   bool
}

// Serve accepts tunnels until the listener is closed.
func (s *Server) Serve(l *net.TCPListener) error {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if !isTemporary(err) {
				return err
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.add(c) {
			_ = writeStatus(c, http.StatusServiceUnavailable)
			_ = c.Close()
			continue
		}
		go guard.Run("tunnel", func() {
			defer s.remove(c)
			s.serve(c)
		})
	}
}

// isTemporary reports whether a listener that failed to accept may succeed later.
func isTemporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ECONNABORTED)
}

// add counts a tunnel, unless there are too many.
func (s *Server) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.draining || len(s.open) >= s.MaxTunnels {
		s.metrics.count("refused")
		return false
	}
	if s.open == nil {
		s.open = map[net.Conn]struct{}{}
	}
	s.open[c] = struct{}{}
	return true
}

func (s *Server) remove(c net.Conn) {
	_ = c.Close()
	s.mu.Lock()
	delete(s.open, c)
	s.mu.Unlock()
}

// Open returns the number of open tunnels.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Drain refuses new tunnels from now on.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
}

// Wait waits until no tunnel is open, at most until ctx is done. Drain must have been called.
func (s *Server) Wait(ctx context.Context) error {
	for s.Open() > 0 {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		clock.Sleep(ctx, drainPollInterval)
	}
	return nil
}

// Close ends all tunnels.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.open {
		_ = c.Close()
	}
}

// serve opens one tunnel and copies until it ends.
func (s *Server) serve(c *net.TCPConn) {
	_ = c.SetDeadline(time.Now().Add(requestTimeout))
	reader := bufio.NewReaderSize(io.LimitReader(c, maxRequestBytes), maxRequestBytes)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	server, status := s.connect(request)
	if status != http.StatusOK {
		s.metrics.count("refused")
		_ = writeStatus(c, status)
		return
	}
	defer server.Close()
	if writeStatus(c, http.StatusOK) != nil || c.SetDeadline(time.Time{}) != nil {
		return
	}
	s.metrics.count("served")
	early, err := reader.Peek(reader.Buffered())
	if err == nil && len(early) > 0 {
		_, err = server.Write(early)
	}
	if err != nil {
		return
	}
	var running sync.WaitGroup
	up := &upstream{}
	running.Go(func() {
		guard.Run("tunnel", func() { up.copy(server, c) })
		_ = server.Close() // the instance has ended the connection
		_ = c.Close()
	})
	ended := false
	guard.Run("tunnel", func() { ended = copyDown(c, server, up) })
	if ended {
		// A connection that is closed with unread bytes is reset, and the other end would lose the last
		// chunk.
		_ = c.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	} else {
		_ = c.Close()
	}
	running.Wait()
}

// connect connects with the server of a request. It returns the status of the response.
func (s *Server) connect(request *http.Request) (net.Conn, int) {
	address := request.RequestURI
	switch {
	case request.Method != http.MethodConnect:
		return nil, http.StatusMethodNotAllowed
	case !s.IsServer(address):
		return nil, http.StatusForbidden
	case !s.Helps():
		return nil, http.StatusServiceUnavailable
	}
	ctx, cancel := context.WithTimeout(context.Background(), serverTimeout)
	defer cancel()
	server, err := s.Dial(ctx, "tcp", address)
	switch {
	case err == nil:
		return server, http.StatusOK
	case !s.Helps(): // this dial has shown it
		return nil, http.StatusServiceUnavailable
	}
	return nil, http.StatusBadGateway
}

// writeStatus writes the head of a response.
func writeStatus(w io.Writer, status int) error {
	_, err := fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n\r\n", status, http.StatusText(status))
	return err
}

// upstream is the direction from the instance that asked for the tunnel to the server.
type upstream struct {
	// pending is set while bytes that were received have not been handed to the kernel, for good if
	// that fails.
	pending atomic.Bool
}

// copy copies to the server until either end of the tunnel ends.
func (u *upstream) copy(server, c net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := c.Read(buffer)
		if n > 0 {
			u.pending.Store(true)
			if _, werr := server.Write(buffer[:n]); werr != nil {
				// The rest of the response may still be on its way.
				_, _ = io.Copy(io.Discard, c)
				return
			}
			u.pending.Store(false)
		}
		if err != nil {
			return
		}
	}
}

// isOrderlyEnd reports whether the server has closed the connection after it received all that was sent.
// The kernel reports a reset once, to a read or a write, so that a read may find an end instead.
func (u *upstream) isOrderlyEnd(server net.Conn) bool {
	state, known := tcpstate.Of(server)
	return !u.pending.Load() && (!known || state.ClosedByPeer && state.Unacknowledged == 0)
}

// copyDown copies from the server in chunks; up is the other direction. It writes the last chunk only if the server has ended the
// connection in an orderly way, and resetMark otherwise. It reports whether one of them was written.
func copyDown(c, server net.Conn, up *upstream) (ended bool) {
	buffer := make([]byte, bufferBytes)
	out := bufio.NewWriterSize(c, bufferBytes+64)
	chunks := httputil.NewChunkedWriter(out)
	for {
		n, err := server.Read(buffer)
		if n > 0 {
			if _, werr := chunks.Write(buffer[:n]); werr != nil || out.Flush() != nil {
				return false
			}
		}
		if err == io.EOF && up.isOrderlyEnd(server) { //nolint:errorlint // only the plain value is the orderly end
			return chunks.Close() == nil && out.Flush() == nil
		}
		if err != nil {
			_, werr := out.WriteString(resetMark)
			return werr == nil && out.Flush() == nil
		}
	}
}
