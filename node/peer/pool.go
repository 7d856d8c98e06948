// Package peer provides drpc connections between the instances of a fleet.
//
// A drpc connection carries one stream at a time, so each address has a pool
// of connections. Every call needs a context with a deadline: when it passes,
// drpc closes the connection, which also removes connections that no longer
// deliver data. After a timeout the idle connections to the same address are
// closed as well, because a device on the path that dropped the state of one
// connection has usually dropped that of the others; the next call dials.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"
)

const (
	// DialTimeout bounds the connection set-up with a peer.
	DialTimeout = time.Second

	// idleTimeout closes a pooled connection before stateful devices on the path
	// forget it; they commonly drop idle flows after minutes.
	idleTimeout = 30 * time.Second

	// maxIdlePerAddress and maxIdle bound the number of idle connections.
	maxIdlePerAddress = 4
	maxIdle           = 512

	// MaxMessageBytes bounds one message. A log payload is at most 512 KiB
	// compressed; a page of items or results stays below 2 MiB.
	MaxMessageBytes = 4 << 20
)

// ErrNoDeadline reports a call without a deadline. Such a call would block
// forever on a connection that no longer delivers data.
var ErrNoDeadline = errors.New("peer: call without a deadline")

// Connector opens connections to other instances. *Pool implements it; tests
// substitute connections without sockets.
type Connector interface {
	// Conn returns a connection to address (IP:port). The caller closes it.
	Conn(ctx context.Context, address string) drpc.Conn
}

var _ Connector = (*Pool)(nil)

// Pool holds connections to other instances by address (IP:port). It is safe
// for concurrent use.
type Pool struct {
	tls  *tls.Config
	pool *drpcpool.Pool[string, drpcpool.Conn]
}

// NewPool returns a pool that dials with the TLS configuration, or in plain
// text if it is nil.
func NewPool(config *tls.Config) *Pool {
	return &Pool{
		tls: config,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleTimeout,
			Capacity:    maxIdle,
			KeyCapacity: maxIdlePerAddress,
		}),
	}
}

// Conn returns a connection to address for use by generated clients. It dials
// on the first call. The caller closes it.
func (p *Pool) Conn(ctx context.Context, address string) drpc.Conn {
	return &conn{Conn: p.pool.Get(ctx, address, p.dial), pool: p, address: address}
}

// Close closes the idle connections.
func (p *Pool) Close() error { return p.pool.Close() }

// closeIdle closes the idle connections to address.
func (p *Pool) closeIdle(address string) {
	for {
		c, ok := p.pool.Take(address)
		if !ok {
			return
		}
		c.Close()
	}
}

func (p *Pool) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	var dialer net.Dialer
	netConn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.tls != nil {
		tlsConn := tls.Client(netConn, p.tls)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			netConn.Close()
			return nil, err
		}
		netConn = tlsConn
	}
	return drpcconn.NewWithOptions(netConn, drpcconn.Options{Manager: managerOptions()}), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}

// conn rejects calls without a deadline and, after a call has timed out, closes
// the idle connections to its address.
type conn struct {
	drpc.Conn
	pool    *Pool
	address string
}

func (c *conn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	if _, ok := ctx.Deadline(); !ok {
		return ErrNoDeadline
	}
	err := c.Conn.Invoke(ctx, rpc, enc, in, out)
	if errors.Is(err, context.DeadlineExceeded) {
		c.pool.closeIdle(c.address)
	}
	return err
}

func (c *conn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	if _, ok := ctx.Deadline(); !ok {
		return nil, ErrNoDeadline
	}
	return c.Conn.NewStream(ctx, rpc, enc)
}
