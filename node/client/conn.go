package client

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/internal/tcpstate"
)

// trackedConn records whether a byte of a request can have been written, so that a
// failure can be reported as certainly not sent or as outcome unknown.
type trackedConn struct {
	net.Conn

	mu sync.Mutex
	// writes counts the writes that were passed to the socket.
	writes         uint64
	writesDisabled bool
	// beforeRequest is true after a read until the next write, which starts a request.
	beforeRequest bool
	end           connectionEnd
	// writeFailed is set once a write has failed.
	writeFailed bool
}

// connectionEnd is how a connection ended.
type connectionEnd uint8

const (
	notEnded  connectionEnd = iota
	endClosed               // by the server, after it had received the request
	endUnread               // by the server, before that
	endFailed
)

func newTrackedConn(c net.Conn) *trackedConn { return &trackedConn{Conn: c, beforeRequest: true} }

// Write writes b to the connection. Before the first write of a request it checks
// whether the server has closed the connection. errNotSent means that no byte of
// the request was written.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.writesDisabled {
		c.mu.Unlock()
		return 0, errNotSent
	}
	first := c.beforeRequest
	if first && c.stale() {
		c.mu.Unlock()
		return 0, fmt.Errorf("%w: the peer had closed the connection", errNotSent)
	}
	c.beforeRequest = false
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil {
		c.mu.Lock()
		c.writeFailed = true
		c.mu.Unlock()
	}
	if err != nil && n == 0 && first {
		c.mu.Lock()
		c.writes--
		c.mu.Unlock()
		return 0, fmt.Errorf("%w: %w", errNotSent, err)
	}
	return n, err
}

func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		c.beforeRequest = true
		c.mu.Unlock()
	}
	if errors.Is(err, io.EOF) {
		c.recordEnd()
	}
	return n, err
}

// recordEnd records how the connection ended, and ends the writing. The kernel reports a failure once, to a
// read or a write: a read after it returns io.EOF, as after a FIN.
func (c *trackedConn) recordEnd() {
	state, known := tcpstate.Of(c.Conn)
	c.mu.Lock()
	switch {
	case known && !state.ClosedByPeer:
		c.end = endFailed
	case state.Unacknowledged > 0:
		c.end = endUnread
	default:
		c.end = endClosed
	}
	c.mu.Unlock()
	_ = c.SetWriteDeadline(time.Unix(1, 0))
}

// endAfterRequest returns how the connection ended. The writing of the request must have ended.
func (c *trackedConn) endAfterRequest() connectionEnd {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end == endClosed && c.writeFailed {
		return endUnread
	}
	return c.end
}

// writeCount returns the number of writes so far.
func (c *trackedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// disableWrites makes all later writes fail. It reports whether the number of writes
// differs from since, an earlier result of writeCount.
func (c *trackedConn) disableWrites(since uint64) (written bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesDisabled = true
	return c.writes != since
}

// stale reports whether the server has closed the connection or has sent bytes that
// belong to no request. It neither blocks nor consumes data.
func (c *trackedConn) stale() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	stale := false
	// Control does not take the read lock that a concurrent Read holds.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		stale = err != syscall.EAGAIN && err != syscall.EWOULDBLOCK && err != syscall.EINTR
	})
	return err != nil || stale
}
