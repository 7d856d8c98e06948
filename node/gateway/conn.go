package gateway

import (
	"context"
	"net"
)

// connKey is the key of the caller's connection in the context of a request.
type connKey struct{}

// WithConn is the ConnContext function of the server that serves the gateway: it keeps the
// caller's connection in the context of its requests.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// resetOnClose makes the caller's connection end with a TCP reset when it is closed.
func resetOnClose(ctx context.Context) {
	if tcp, ok := ctx.Value(connKey{}).(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // an error means that the connection is closed
	}
}

// Hold counts bytes that a handler holds for a response, in the account of the caller's
// connection, until the response is complete. It returns false if they do not fit.
func Hold(ctx context.Context, n int) bool {
	conn, ok := ctx.Value(connKey{}).(interface{ Hold(n int) bool })
	return !ok || conn.Hold(n)
}
