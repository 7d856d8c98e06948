package exchange

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout closes a connection whose sent data is not acknowledged, and the
	// keep-alive probes close a dead idle one. Both are needed because a host that lost
	// power, or a middlebox that dropped the connection state, sends no reset.
	userTimeout   = 1500 * time.Millisecond
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
)

// KeepAlive is the TCP keep-alive configuration of all connections of an instance.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}

// SetUserTimeout sets TCP_USER_TIMEOUT, which limits how long sent data may remain
// unacknowledged. It is the Control function of dialers and listeners.
func SetUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// Dial opens a connection that detects an unresponsive peer.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: KeepAlive, Control: SetUserTimeout}
	return d.DialContext(ctx, network, address)
}
