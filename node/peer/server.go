package peer

import (
	"context"
	"crypto/tls"
	"expvar"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcserver"
)

// inactivityTimeout closes a connection on which the peer starts no call. It is
// longer than idleTimeout, so that the dialling side closes first.
const inactivityTimeout = 2 * time.Minute

var connectionErrors = expvar.NewInt("peer_connection_errors_total")

// Server serves the calls of other instances.
type Server struct {
	server   *drpcserver.Server
	listener net.Listener
}

// NewServer returns a server for the services registered on handler. The TLS
// configuration also says whether peers need a certificate; nil means plain text.
func NewServer(listener net.Listener, handler drpc.Handler, config *tls.Config) *Server {
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	manager := managerOptions()
	manager.InactivityTimeout = inactivityTimeout
	return &Server{
		listener: listener,
		server: drpcserver.NewWithOptions(handler, drpcserver.Options{
			Manager: manager,
			Log:     func(error) { connectionErrors.Add(1) },
		}),
	}
}

// Serve accepts connections until ctx is cancelled. It returns when the calls in
// progress have ended.
func (s *Server) Serve(ctx context.Context) error {
	return s.server.Serve(ctx, s.listener)
}
