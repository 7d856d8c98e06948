package exchange

import (
	"bufio"
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"
)

// Options configures a Pool. Zero fields take their default values.
type Options struct {
	// DialTimeout limits the time for opening a connection.
	DialTimeout time.Duration
	// MaxIdleTime limits how long an idle connection is kept, and MaxIdlePerAddress how
	// many are kept for one address.
	MaxIdleTime       time.Duration
	MaxIdlePerAddress int
	// Dial replaces the Dial function of this package. DialTimeout covers all that it does.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnSuspect, if not nil, is called by CloseIdle.
	OnSuspect func(address string)
	// PathUp reports whether this instance's own links to servers are up; nil means that they always
	// are.
	PathUp func() bool
}

// ErrPath reports that the path to a server failed, which is no fault of the server.
var ErrPath = errors.New("exchange: the path to the server failed")

// Relayed is a connection of Options.Dial that another instance opened.
type Relayed interface {
	net.Conn
	// Quiet reports whether the idle connection is open and has nothing to read.
	Quiet() bool
	// ReusableUntil returns the time after which the connection carries no further request.
	ReusableUntil() time.Time
}

// IsPathFault reports whether an attempt that failed with err says nothing of the server, since the path
// to it failed.
func IsPathFault(err error) bool { return errors.Is(err, ErrPath) }

// blame returns the error of an exchange on a connection. It wraps ErrPath if the connection is a direct
// one and the own links are down; one of Options.Dial states itself what failed.
func (p *Pool) blame(c *conn, err error) error {
	if c == nil {
		return err // the response was closed before
	}
	if _, relayed := c.Conn.(Relayed); relayed || p.options.PathUp == nil || p.options.PathUp() {
		return err
	}
	return fmt.Errorf("%w: %w", err, ErrPath)
}

const (
	// defaultDialTimeout is well above the usual connect time of 1 ms and below the TCP
	// retransmission timeout of a lost SYN.
	defaultDialTimeout       = 300 * time.Millisecond
	defaultMaxIdleTime       = 5 * time.Second
	defaultMaxIdlePerAddress = 12
	// serverCloseMargin is how long before the server's idle timeout a connection is no
	// longer reused.
	serverCloseMargin = 500 * time.Millisecond
	readBufferBytes   = 4 << 10
)

// Pool holds idle connections to servers. It is safe for concurrent use.
type Pool struct {
	options Options
	faults  expvar.Map
	mu      sync.Mutex
	idle    map[string][]*conn
	opened  int64
	closed  bool
}

// Faults of servers, as they are counted and logged.
const (
	faultStaleResponse      = "stale_response"
	faultUnidentified       = "unidentified_response"
	faultBytesAfterResponse = "bytes_after_response"
	faultHeadTooLarge       = "head_too_large"
	faultInvalidStatus      = "invalid_status"
)

// Faults returns the numbers of the faults of servers by their kind.
func (p *Pool) Faults() *expvar.Map { return &p.faults }

// recordFault counts and logs a fault of a server.
func (p *Pool) recordFault(kind string, c *conn) {
	p.faults.Add(kind, 1)
	klog.InfoS("fault of a server", "fault", kind, "address", c.address)
}

// conn is a connection, used by one request at a time.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	head    *headLimiter
	address string
	// carried holds the requests that the connection has carried.
	carried carriedIDs
	// used is set once the connection has carried a request.
	used bool
	// expiresAt is the time after which the connection is not reused.
	expiresAt time.Time
	idleSince time.Time
}

// maxCarriedIDs is the number of the latest requests of a connection that are told apart.
const maxCarriedIDs = 32

// carriedIDs holds the hashes of the IDs of the latest requests of a connection.
type carriedIDs struct {
	hashes [maxCarriedIDs]uint64
	count  int
}

func (c *carriedIDs) add(id string) {
	c.hashes[c.count%maxCarriedIDs] = xxhash.Sum64String(id)
	c.count++
}

func (c *carriedIDs) contains(id string) bool {
	return slices.Contains(c.hashes[:min(c.count, maxCarriedIDs)], xxhash.Sum64String(id))
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	if options.DialTimeout <= 0 {
		options.DialTimeout = defaultDialTimeout
	}
	if options.MaxIdleTime <= 0 {
		options.MaxIdleTime = defaultMaxIdleTime
	}
	if options.MaxIdlePerAddress <= 0 {
		options.MaxIdlePerAddress = defaultMaxIdlePerAddress
	}
	if options.Dial == nil {
		options.Dial = Dial
	}
	return &Pool{options: options, idle: map[string][]*conn{}}
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// get returns a pooled connection that has been idle for at most maxIdleTime, or opens a
// new one. A request without an ID, or one that a connection has carried before, needs another
// one: a late copy of an earlier response could not be told from the response to it.
func (p *Pool) get(ctx context.Context, address, id string, maxIdleTime time.Duration) (*conn, error) {
	for id != "" {
		c := p.takeIdle(address, maxIdleTime)
		if c == nil {
			break
		}
		open, unread := c.state()
		if open && !unread {
			if c.carried.contains(id) {
				_ = c.Close()
				break
			}
			return c, nil
		}
		if unread {
			p.recordFault(faultBytesAfterResponse, c)
		}
		_ = c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	raw, err := p.options.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	limiter := &headLimiter{source: raw}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(limiter, readBufferBytes), head: limiter, address: address}, nil
}

// takeIdle removes and returns the most recently used idle connection, or returns nil if
// that one has been idle for too long.
func (p *Pool) takeIdle(address string, maxIdleTime time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	now := time.Now()
	c := list[len(list)-1]
	if now.Sub(c.idleSince) > maxIdleTime || now.After(c.expiresAt) {
		return nil // the others have been idle for longer; CloseExpired closes them
	}
	p.idle[address] = list[:len(list)-1]
	return c
}

// put returns a connection to the pool after a complete response.
func (p *Pool) put(c *conn, serverIdleTimeout time.Duration) {
	keep := p.options.MaxIdleTime
	if serverIdleTimeout > 0 {
		keep = min(keep, serverIdleTimeout-serverCloseMargin)
	}
	now := time.Now()
	c.idleSince, c.expiresAt = now, now.Add(keep)
	if relayed, ok := c.Conn.(Relayed); ok {
		keep = min(keep, relayed.ReusableUntil().Sub(now))
		c.expiresAt = now.Add(keep)
	}
	p.mu.Lock()
	if !p.closed && keep > 0 && len(p.idle[c.address]) < p.options.MaxIdlePerAddress {
		p.idle[c.address] = append(p.idle[c.address], c)
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// CloseExpired closes the idle connections that have been idle for too long or that the
// server has closed. It must be called periodically, about once a second.
func (p *Pool) CloseExpired() {
	now := time.Now()
	var expired []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.expiresAt) || !c.reusable() {
				expired = append(expired, c)
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
	closeAll(expired)
}

// CloseIdle closes the idle connections to an address. It is called after a failure of
// one connection, because the others may be dead as well.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	closeAll(idle)
	if p.options.OnSuspect != nil {
		p.options.OnSuspect(address)
	}
}

// CloseAllIdle closes all idle connections. It is called when the path to servers has changed.
func (p *Pool) CloseAllIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, list := range idle {
		closeAll(list)
	}
}

// Close closes all idle connections; connections that are released later are closed too.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseAllIdle()
}

func closeAll(list []*conn) {
	for _, c := range list {
		_ = c.Close() // no request is using an idle connection
	}
}

// reusable reports whether an idle connection is open and has no data to read.
func (c *conn) reusable() bool {
	open, unread := c.state()
	return open && !unread
}

// state reports whether an idle connection is open and whether there is data to read.
func (c *conn) state() (open, unread bool) {
	if c.reader.Buffered() > 0 {
		return true, true
	}
	if relayed, ok := c.Conn.(Relayed); ok {
		return relayed.Quiet(), false
	}
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true, false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, rerr := syscall.Read(int(fd), b[:])
		open, unread = errors.Is(rerr, syscall.EAGAIN) || n > 0, n > 0
		return true
	})
	return open && err == nil, unread
}
