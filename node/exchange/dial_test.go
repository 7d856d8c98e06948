package exchange

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// borneSilence returns for how long the other end of a connection may be silent by the rules of
// Linux: the user timeout if there is one, whatever the number of probes, and the probes otherwise.
func borneSilence(t *testing.T, conn net.Conn) time.Duration {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	option := func(name int) (value time.Duration) {
		err := raw.Control(func(fd uintptr) {
			v, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name)
			if err != nil {
				t.Error(err)
			}
			value = time.Duration(v)
		})
		if err != nil {
			t.Error(err)
		}
		return value
	}
	if timeout := option(unix.TCP_USER_TIMEOUT) * time.Millisecond; timeout > 0 {
		return timeout
	}
	return (option(unix.TCP_KEEPIDLE) + option(unix.TCP_KEEPCNT)*option(unix.TCP_KEEPINTVL)) * time.Second
}

// Guards against responses that are lost because a sound server, or a caller, is silent for a second
// or two, and against calls to the store that wait for seconds on a dead connection.
func TestSilenceThatConnectionsBear(t *testing.T) {
	const pause, repeatedSoon = 2 * time.Second, 2 * time.Second
	ctx := context.Background()
	listen := net.ListenConfig{KeepAliveConfig: KeepAlive, Control: SetUserTimeout}
	listener, err := listen.Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dial := func(dial func(context.Context, string, string) (net.Conn, error)) (dialled, accepted time.Duration) {
		conn, err := dial(ctx, "tcp4", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		other, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer other.Close()
		return borneSilence(t, conn), borneSilence(t, other)
	}
	server, caller := dial(Dial)
	if server <= pause || caller <= pause {
		t.Errorf("a silence of a server ends its exchanges after %v, one of a caller after %v", server, caller)
	}
	if store, _ := dial(DialControl); store > repeatedSoon {
		t.Errorf("a call to the store fails %v after its connection died", store)
	}
}
