package exchange

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The kernel closes a connection whose other end has not acknowledged anything for the user timeout: data
// that was sent or, on an idle connection, keep-alive probes. A host that lost power, or a middlebox that
// dropped the state of the connection, sends no reset.
//
// TCP_USER_TIMEOUT takes precedence over the number of probes.
const (
	// exchangeUserTimeout applies where a lost connection costs a caller its response. It bears
	// the pauses of hosts and networks, in which nothing is lost.
	exchangeUserTimeout = 4 * time.Second
	// controlUserTimeout applies to calls that are repeated on another connection.
	controlUserTimeout = 1500 * time.Millisecond
	probeIdle          = time.Second
	probeInterval      = 500 * time.Millisecond
	// probeCount alone would end the connection no sooner than exchangeUserTimeout.
	probeCount = 8
)

// KeepAlive is the TCP keep-alive configuration of all connections of an instance.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}

// SetUserTimeout sets the user timeout of connections with callers and servers. It is the Control function
// of dialers and listeners.
func SetUserTimeout(_, _ string, c syscall.RawConn) error {
	return setUserTimeout(c, exchangeUserTimeout)
}

// SetControlUserTimeout is SetUserTimeout for connections with the store and other instances.
func SetControlUserTimeout(_, _ string, c syscall.RawConn) error {
	return setUserTimeout(c, controlUserTimeout)
}

func setUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// Dial opens a connection to a server. It ends once the server has been silent for some seconds.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: KeepAlive, Control: SetUserTimeout}
	return d.DialContext(ctx, network, address)
}

// DialControl opens a connection for calls that are repeated if it fails, to the store or another instance.
// It ends sooner than one of Dial.
func DialControl(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: KeepAlive, Control: SetControlUserTimeout}
	return d.DialContext(ctx, network, address)
}
