package serve

import (
	"context"
	"net"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/node/exchange"
	"github.com/jacinthnotch/jacinthnotch/node/internal/guard"
	"github.com/jacinthnotch/jacinthnotch/node/tunnel"
)

// links are the connections to servers, directly and through other instances.
type links struct {
	instance *Instance
	direct   func(ctx context.Context, network, address string) (net.Conn, error)
	dialer   *tunnel.Dialer
	server   *tunnel.Server
}

// newLinks returns the links of an instance. The function direct opens a direct connection to a
// server; nil means exchange.Dial.
func newLinks(i *Instance, direct func(ctx context.Context, network, address string) (net.Conn, error)) *links {
	dialer := tunnel.NewDialer(tunnel.Options{
		Peers: peersOf{i}, Servers: i.view.ServerAddresses, Direct: direct, OnChange: func() { i.pool.CloseAllIdle() },
	})
	return &links{instance: i, direct: direct, dialer: dialer, server: dialer.NewServer(maxTunnels(i.settings.Limits), i.view.IsServerAddress)}
}

// poolOptions returns the options of the pool of connections to servers.
func (l *links) poolOptions() exchange.Options {
	if !l.instance.settings.Servers.Relays() {
		return exchange.Options{Dial: l.direct}
	}
	return exchange.Options{Dial: l.dialer.Dial, DialTimeout: tunnel.DialTimeout, OnSuspect: l.dialer.Suspect, PathUp: l.dialer.LinksUp}
}

// serve accepts tunnels of other instances until ctx is done. An instance that cannot does all else.
func (l *links) serve(ctx context.Context, running *conc.WaitGroup) {
	if !l.instance.settings.Servers.Relays() {
		return
	}
	config := net.ListenConfig{KeepAliveConfig: exchange.KeepAlive, Control: exchange.SetUserTimeout}
	listener, err := config.Listen(ctx, "tcp4", l.instance.settings.Listen.TunnelAddress())
	if err != nil {
		klog.ErrorS(err, "listening for tunnels failed", "address", l.instance.settings.Listen.TunnelAddress())
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	running.Go(func() {
		defer stop()
		guard.Run("tunnels", func() {
			if err := l.server.Serve(listener.(*net.TCPListener)); err != nil && ctx.Err() == nil {
				klog.ErrorS(err, "accepting tunnels failed")
			}
		})
	})
}
