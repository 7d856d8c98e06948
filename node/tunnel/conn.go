package tunnel

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"os"
	"syscall"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/exchange"
)

const (
	// bufferBytes is the size of each buffer of a tunnel, at both ends.
	bufferBytes = 4 << 10
	// maxReuseTime is the time after which a tunnel carries no further request, so that instances
	// that drain are soon rid of their tunnels.
	maxReuseTime = 2 * time.Second
	// resetMark takes the place of a chunk if the connection to the server failed. It is no length of a
	// chunk.
	resetMark = "reset\r\n"
)

// conn is the end of a tunnel at the instance that asked for it.
type conn struct {
	net.Conn
	buffered *bufio.Reader
	chunks   io.Reader
	// ended is the error that all further reads return.
	ended    error
	openedAt time.Time
}

func newConn(raw net.Conn, reader *bufio.Reader) *conn {
	return &conn{Conn: raw, buffered: reader, chunks: httputil.NewChunkedReader(reader), openedAt: time.Now()}
}

// Read implements net.Conn. It returns io.EOF if the server ended the connection, errServerReset if it reset
// it, and an error that wraps exchange.ErrPath if the tunnel broke off.
func (c *conn) Read(b []byte) (int, error) {
	if c.ended != nil {
		return 0, c.ended
	}
	n, err := c.chunks.Read(b)
	switch {
	case err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed):
		return n, err
	case err == io.EOF: //nolint:errorlint // a wrapped end is not the last chunk
		c.ended = io.EOF
	case !isBreak(err):
		c.ended = errServerReset
	default:
		c.ended = fmt.Errorf("%w: tunnel: %w", exchange.ErrPath, err)
	}
	return n, c.ended
}

// errServerReset is the error of a connection that the server reset.
var errServerReset = errors.New("tunnel: connection reset by the server")

// isBreak reports whether a tunnel failed, rather than that it delivered resetMark.
func isBreak(err error) bool {
	var network *net.OpError
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
}

// ReusableUntil implements exchange.Relayed.
func (c *conn) ReusableUntil() time.Time { return c.openedAt.Add(maxReuseTime) }

// Quiet implements exchange.Relayed.
func (c *conn) Quiet() bool {
	if c.ended != nil || c.buffered.Buffered() > 0 {
		return false
	}
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, rerr := syscall.Read(int(fd), b[:])
		quiet = errors.Is(rerr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
