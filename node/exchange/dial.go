package exchange

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout ends a connection whose sent bytes are not acknowledged, and the
	// probes end an idle one, since a host without power and a connection that
	// something on the way has forgotten send no reset.
	userTimeout   = 1500 * time.Millisecond
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
)

// KeepAlive are the probes of every connection of an instance.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}

// SetUserTimeout bounds the time for which sent bytes stay unacknowledged. It is
// the Control function of dialers and listeners.
func SetUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Dial opens a connection that notices a silent peer.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: KeepAlive, Control: SetUserTimeout}
	return d.DialContext(ctx, network, address)
}
