package client

import (
	"fmt"
	"net"
	"sync"
	"syscall"
)

// trackedConn records whether a request's first byte can have been written, so
// that a failure can be classified with certainty.
type trackedConn struct {
	net.Conn

	mu sync.Mutex
	// attempts counts the writes that were passed on to the socket.
	attempts uint64
	sealed   bool
	// fresh is true until the first write after a read, that is, before a request.
	fresh bool
}

func newTrackedConn(c net.Conn) *trackedConn { return &trackedConn{Conn: c, fresh: true} }

// Write passes b on. Before the first write of a request it checks whether the
// peer has closed the connection. An errNotSent means that no byte went out.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errNotSent
	}
	first := c.fresh
	if first && c.stale() {
		c.mu.Unlock()
		return 0, fmt.Errorf("%w: the peer had closed the connection", errNotSent)
	}
	c.fresh = false
	c.attempts++
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && n == 0 && first {
		c.mu.Lock()
		c.attempts--
		c.mu.Unlock()
		return 0, fmt.Errorf("%w: %w", errNotSent, err)
	}
	return n, err
}

func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		c.fresh = true
		c.mu.Unlock()
	}
	return n, err
}

// mark returns the number of writes so far.
func (c *trackedConn) mark() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempts
}

// seal refuses all later writes and reports whether there was one since mark.
func (c *trackedConn) seal(mark uint64) (written bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.attempts != mark
}

// stale reports whether the peer has closed the connection or has sent bytes
// that belong to no request. It does not block and consumes nothing.
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
