package exchange

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

var (
	errRequestUnread = errors.New("exchange: the server closed the connection before it had received the request")
	errNotClosed     = errors.New("exchange: the connection failed and was not closed by the server")
)

// tcpCloseWait is the state of a connection that the other end has closed (TCP_CLOSE_WAIT of Linux).
const tcpCloseWait = 8

// endsByClose reports whether the body of a response ends with the connection.
func endsByClose(r *http.Response) bool { return r.ContentLength < 0 && len(r.TransferEncoding) == 0 }

// checkEnd returns an error if the end of the connection is not the end of a body that ends with it.
//
// The kernel reports the failure of a connection once, to a read or a write. A read after a write that
// failed, or after a FIN that a reset followed, returns io.EOF.
func (r *Response) checkEnd() error {
	state, known := r.conn.socketState()
	if known && state.tcp != tcpCloseWait {
		return errNotClosed
	}
	writeErr := r.endWrite()
	unread := writeErr != nil || state.unacknowledged > 0
	switch {
	case writeErr != nil && !errors.Is(writeErr, os.ErrDeadlineExceeded):
		return fmt.Errorf("%w: %w", errNotClosed, writeErr)
	case unread && r.Status < http.StatusMultipleChoices:
		// A server may refuse a request that it has not received, but not have run it.
		return errRequestUnread
	}
	return nil
}

// endWrite ends the writing of the request. It returns nil if all of it has been written, and an error
// that wraps os.ErrDeadlineExceeded if the write has not failed by itself.
func (r *Response) endWrite() error {
	if r.bodyWritten == nil {
		return nil
	}
	_ = r.conn.SetWriteDeadline(time.Unix(1, 0))
	return <-r.bodyWritten
}

// socketState is the state of a TCP connection, and the number of bytes that were sent and not acknowledged.
type socketState struct {
	tcp            uint8
	unacknowledged int
}

// socketState returns the state of the connection. It is not known for one that is no socket, or is closed.
func (c *conn) socketState() (s socketState, known bool) {
	source, ok := c.Conn.(syscall.Conn)
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
		s.tcp, known = info.State, true
		s.unacknowledged, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return s, known && err == nil
}
