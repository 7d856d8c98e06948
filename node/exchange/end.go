package exchange

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/internal/tcpstate"
)

var (
	errRequestUnread = errors.New("exchange: the server closed the connection before it had received the request")
	errNotClosed     = errors.New("exchange: the connection failed and was not closed by the server")
)

// endsByClose reports whether the body of a response ends with the connection.
func endsByClose(r *http.Response) bool { return r.ContentLength < 0 && len(r.TransferEncoding) == 0 }

// checkEnd returns an error if the end of the connection is not the end of a body that ends with it.
//
// The kernel reports the failure of a connection once, to a read or a write. A read after a write that
// failed, or after a FIN that a reset followed, returns io.EOF.
func (r *Response) checkEnd() error {
	state, known := tcpstate.Of(r.conn.Conn)
	if known && !state.ClosedByPeer {
		return errNotClosed
	}
	writeErr := r.endWrite()
	unread := writeErr != nil || state.Unacknowledged > 0
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
