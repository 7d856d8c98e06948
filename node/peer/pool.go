// Package peer carries drpc between the instances of a fleet.
//
// A drpc connection carries one stream at a time, so each address has a pool
// of connections. Every call needs a context with a deadline: when it passes,
// drpc closes the connection, which also removes connections that have gone
// silent. An address on which a call timed out loses its idle connections as
// well, because whatever lost track of one has usually lost the others; the
// next call dials.
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

	// idleLimit closes a pooled connection before stateful devices on the path,
	// which commonly drop idle flows after minutes, lose track of it.
	idleLimit = 30 * time.Second

	// idlePerAddress and idleTotal bound the connections kept without a call.
	idlePerAddress = 4
	idleTotal      = 512

	// MaxMessageBytes bounds one message. A log payload is at most 512 KiB
	// compressed; a page of items or results stays below 2 MiB.
	MaxMessageBytes = 4 << 20
)

// ErrNoDeadline reports a call without a deadline. Such a call would wait for
// ever on a connection that has gone silent.
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
// text where it is nil.
func NewPool(config *tls.Config) *Pool {
	return &Pool{
		tls: config,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleLimit,
			Capacity:    idleTotal,
			KeyCapacity: idlePerAddress,
		}),
	}
}

// Conn returns a connection to address for use by generated clients. It dials
// on the first call. The caller closes it when done with it.
func (p *Pool) Conn(ctx context.Context, address string) drpc.Conn {
	return &conn{Conn: p.pool.Get(ctx, address, p.dial), pool: p, address: address}
}

// Close closes the idle connections.
func (p *Pool) Close() error { return p.pool.Close() }

// discard closes the idle connections to address.
func (p *Pool) discard(address string) {
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
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.tls != nil {
		secured := tls.Client(raw, p.tls)
		if err := secured.HandshakeContext(ctx); err != nil {
			raw.Close()
			return nil, err
		}
		raw = secured
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}

// conn refuses calls without a deadline and reports timeouts to the pool.
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
		c.pool.discard(c.address)
	}
	return err
}

func (c *conn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	if _, ok := ctx.Deadline(); !ok {
		return nil, ErrNoDeadline
	}
	return c.Conn.NewStream(ctx, rpc, enc)
}
