package client

import (
	"fmt"
	"net"
	"sync"
	"syscall"
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
}

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
	return n, err
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
