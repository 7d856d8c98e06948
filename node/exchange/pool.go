package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Options are the limits of a Pool. A zero field means its default.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// MaxIdleTime is how long a connection is kept unused, and MaxIdlePerServer how many
	// are kept for one address.
	MaxIdleTime       time.Duration
	MaxIdlePerAddress int
	// Dial replaces the package's Dial in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

const (
	// defaultDialTimeout is far above a new connection's 1 ms and below the wait
	// for a lost opening packet.
	defaultDialTimeout      = 300 * time.Millisecond
	defaultMaxIdle          = 5 * time.Second
	defaultMaxIdlePerServer = 12
	// closeMargin is kept from the idle time after which a server closes.
	closeMargin = 500 * time.Millisecond
	readBuffer  = 4 << 10
)

// Pool keeps idle connections to servers. It is safe for concurrent use.
type Pool struct {
	opt    Options
	mu     sync.Mutex
	idle   map[string][]*conn
	opened int64
	closed bool
}

// conn is one connection; it is used by one exchange at a time.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	// until is the time after which the connection is not used again.
	until time.Time
	since time.Time
}

// NewPool returns an empty pool.
func NewPool(opt Options) *Pool {
	if opt.DialTimeout <= 0 {
		opt.DialTimeout = defaultDialTimeout
	}
	if opt.MaxIdleTime <= 0 {
		opt.MaxIdleTime = defaultMaxIdle
	}
	if opt.MaxIdlePerAddress <= 0 {
		opt.MaxIdlePerAddress = defaultMaxIdlePerServer
	}
	if opt.Dial == nil {
		opt.Dial = Dial
	}
	return &Pool{opt: opt, idle: map[string][]*conn{}}
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// get returns a kept connection that has been idle for less than maxIdle, or a new
// one.
func (p *Pool) get(ctx context.Context, address string, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.takeIdle(address, maxIdle)
		if c == nil {
			break
		}
		if c.quiet() {
			return c, nil
		}
		_ = c.Close() // the server closed it, or sent bytes that belong to no request
	}
	ctx, cancel := context.WithTimeout(ctx, p.opt.DialTimeout)
	defer cancel()
	raw, err := p.opt.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), address: address}, nil
}

// takeIdle removes the connection that was used last.
func (p *Pool) takeIdle(address string, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	now := time.Now()
	c := list[len(list)-1]
	if now.Sub(c.since) > maxIdle || now.After(c.until) {
		return nil // the others have been idle for longer; Sweep closes them
	}
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection after a whole answer.
func (p *Pool) put(c *conn, serverIdle time.Duration) {
	keep := p.opt.MaxIdleTime
	if serverIdle > 0 {
		keep = min(keep, serverIdle-closeMargin)
	}
	now := time.Now()
	c.since, c.until = now, now.Add(keep)
	p.mu.Lock()
	if !p.closed && keep > 0 && len(p.idle[c.address]) < p.opt.MaxIdlePerAddress {
		p.idle[c.address] = append(p.idle[c.address], c)
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// CloseExpired closes the connections that have been idle for too long or that their
// server has closed. It is called about once a second.
func (p *Pool) CloseExpired() {
	now := time.Now()
	var drop []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.until) || !c.quiet() {
				drop = append(drop, c)
			} else {
				kept = append(kept, c)
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	closeAll(drop)
}

// CloseIdle closes the idle connections to an address, after a failure there: others
// that are kept may have gone silent in the same way.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	drop := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	closeAll(drop)
}

// Close closes the idle connections and keeps no more.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, list := range idle {
		closeAll(list)
	}
}

func closeAll(list []*conn) {
	for _, c := range list {
		_ = c.Close() // nothing waits on an idle connection
	}
}

// quiet reports whether an idle connection is open and has nothing to read.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
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
