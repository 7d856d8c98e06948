// Package tcpstate reads the state of TCP connections from the kernel.
package tcpstate

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// closeWait is the state of a connection that the other end has closed (TCP_CLOSE_WAIT of Linux).
const closeWait = 8

// State is the state of a connection.
type State struct {
	// ClosedByPeer is set if the other end has closed the connection, this end has not, and it has not
	// failed since.
	ClosedByPeer bool
	// Unacknowledged is the number of bytes that were sent and not acknowledged.
	Unacknowledged int
}

// Of returns the state of a connection. It is not known for one that is no TCP socket, or is closed.
func Of(c net.Conn) (s State, known bool) {
	source, ok := c.(syscall.Conn)
	if !ok {
		return s, false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return s, false
	}
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		known, s.ClosedByPeer = true, info.State == closeWait
		s.Unacknowledged, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return s, known && err == nil
}
