package edge

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// The defaults apply if the configuration states no limit.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = time.Minute
	// refusalTimeout limits the writing of a refusal and the time for which the client may read
	// it before the connection is closed.
	refusalTimeout = 500 * time.Millisecond
	// maxLingering limits the connections that wait for clients to read refusals.
	maxLingering = 32
	// maxDiscardBytes limits what is read of a refused request.
	maxDiscardBytes = 1 << 20
	// messageByteCost and retainedByteCost are the estimated memory for each byte of a message of
	// another instance that arrives, and of the longest message of a connection so far.
	messageByteCost  = 4
	retainedByteCost = 2
	// quantum is the size in bytes up to which the estimate is rounded, so that few reads
	// change it.
	quantum = 1 << 10
)

// ErrPressure is the error of a read from a connection that was ended because the process holds
// too much. A request that was being read has not run.
var ErrPressure = errors.New("edge: the connection was ended to keep the process within its memory")

// errHead is the error of a read from a connection whose head was refused.
var errHead = errors.New("edge: the head is above the limit")

// Limits are the limits of the requests on a connection. Zero fields take default values.
type Limits struct {
	// HeaderBytes limits the header lines, and the request line, in bytes.
	HeaderBytes int64
	// HeaderTimeout limits the time in which a head arrives, and IdleTimeout the time between
	// requests.
	HeaderTimeout, IdleTimeout time.Duration
}

// lingering counts the connections that wait for clients to read refusals.
var lingering atomic.Int32

// Conn is a connection that counts in an account.
type Conn struct {
	*net.TCPConn
	account *Account
	http    bool
	limits  func() Limits
	// state is the http.ConnState of the connection.
	state atomic.Int32
	// lost is set if the framing of the requests is unknown.
	lost atomic.Bool

	// The account's lock guards what follows.
	held, extra     int
	progressAt      time.Time
	blockedSince    time.Time
	headStarted     time.Time
	ending, removed bool
	// arriving is set while a request is not complete.
	arriving bool
	scanner  Scanner
	// message and longest are the lengths in bytes of the message of another instance that
	// arrives and of the longest one.
	message, longest int

	// refused is set by the reader once it has answered a head.
	refused atomic.Bool
	// pending holds bytes behind the end of the current request.
	pending []byte
}

// Open returns the connection as one that counts in the account, or nil after it has closed it
// because there are too many.
func (a *Account) Open(tcp *net.TCPConn, isHTTP bool, limits func() Limits) *Conn {
	c := &Conn{TCPConn: tcp, account: a, http: isHTTP, limits: limits, progressAt: time.Now()}
	if !a.add(c) {
		_ = tcp.Close()
		return nil
	}
	return c
}

// mayEnd reports whether the connection may be ended to make room: it carries no request, one
// that has not arrived in full, or a response that is not read.
func (c *Conn) mayEnd(now time.Time) bool {
	switch {
	case c.ending:
		return false
	case !c.blockedSince.IsZero():
		return now.Sub(c.blockedSince) >= blockedWriteTime
	}
	// A complete request may be on its way to the handler before the state tells.
	return !c.http || !c.scanner.HasComplete() && (c.arriving || http.ConnState(c.state.Load()) != http.StateActive)
}

// before reports whether the connection is ended before other if there are too many: those
// without a part of a request first, and then those that progressed last the longest time ago.
func (c *Conn) before(other *Conn) bool {
	if c.arriving != other.arriving {
		return !c.arriving
	}
	return c.progressAt.Before(other.progressAt)
}

// Read implements net.Conn. It returns bytes of one request only.
func (c *Conn) Read(b []byte) (int, error) {
	if c.refused.Load() {
		return 0, io.EOF
	}
	n, err := 0, error(nil)
	if len(c.pending) > 0 {
		n = copy(b, c.pending)
		if c.pending = c.pending[n:]; len(c.pending) == 0 {
			c.pending = nil
		}
	} else {
		n, err = c.TCPConn.Read(b)
	}
	if n == 0 {
		if c.isEnding() {
			return 0, c.refusePressure()
		}
		return 0, err
	}
	if !c.http {
		return c.readMessage(n, err)
	}
	now := time.Now()
	c.account.mu.Lock()
	taken := c.scanner.Scan(b[:n])
	if taken < n {
		c.pending = append(append([]byte(nil), b[taken:n]...), c.pending...)
		n = taken
	}
	isHead := http.ConnState(c.state.Load()) != http.StateActive
	// While a complete request is served, what arrives belongs to the next one.
	isNext := !isHead && !c.arriving
	c.progressAt, c.arriving = now, !isNext && c.scanner.Started()
	starts := c.headStarted.IsZero()
	if starts {
		c.headStarted = now
	}
	to := (c.scanner.Cost() + c.extra + quantum - 1) / quantum * quantum
	c.lost.Store(c.scanner.Lost())
	exceeds := isHead && c.scanner.ExceedsHead(c.headerBytes())
	grow := to - c.held
	unchanged := isNext || grow <= 0
	ends := c.ending && !isNext
	c.account.mu.Unlock()
	switch {
	case exceeds:
		c.account.strikeHead(c)
		return 0, c.refuse(http.StatusRequestHeaderFieldsTooLarge, errHead)
	case ends, !unchanged && !c.account.resize(c, to, now):
		return 0, c.refusePressure()
	case !unchanged:
		c.account.collect(grow)
	}
	if isHead && starts {
		_ = c.SetReadDeadline(now.Add(defaultHeaderTimeout))
	}
	return n, err
}

// readMessage counts bytes of a message of another instance.
func (c *Conn) readMessage(n int, err error) (int, error) {
	now := time.Now()
	c.account.mu.Lock()
	c.message += n
	c.longest = max(c.longest, c.message)
	c.progressAt, c.arriving = now, true
	to := max(messageByteCost*c.message, retainedByteCost*c.longest)
	grow := to - c.held
	c.account.mu.Unlock()
	if !c.account.resize(c, to, now) {
		return 0, c.refusePressure()
	}
	c.account.collect(grow)
	return n, err
}

func (c *Conn) headerBytes() int { return int(cmp.Or(c.limits().HeaderBytes, defaultHeaderBytes)) }

func (c *Conn) isEnding() bool {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	return c.ending
}

// refusePressure refuses a request, of which the head has arrived in part or in full, with a status that
// promises that it has not run. The reader of a body does so itself.
func (c *Conn) refusePressure() error {
	if !c.http || http.ConnState(c.state.Load()) == http.StateActive || !c.holdsRequest() {
		return readError(ErrPressure)
	}
	return c.refuse(http.StatusServiceUnavailable, ErrPressure)
}

// HasReceived reports whether a part of a request has arrived that has not arrived in full.
func (c *Conn) HasReceived() bool {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	return c.scanner.Started()
}

// holdsRequest reports whether a part of a request, or all of one, has arrived that is not answered.
func (c *Conn) holdsRequest() bool {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	return c.scanner.Started() || c.scanner.HasComplete()
}

// refuse answers a head that has arrived in part and ends the connection.
func (c *Conn) refuse(status int, err error) error {
	c.refused.Store(true)
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 0.3\r\n"
	}
	_ = c.TCPConn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	// An error means that the client has gone, or does not read.
	_, _ = fmt.Fprintf(c.TCPConn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), retry)
	return readError(err)
}

// readError returns an error on which net/http closes the connection without a response.
func readError(err error) error { return &net.OpError{Op: "read", Net: "tcp", Err: err} }

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.account.mu.Lock()
	c.blockedSince = time.Now()
	c.account.mu.Unlock()
	n, err := c.TCPConn.Write(b)
	c.account.mu.Lock()
	c.blockedSince, c.progressAt = time.Time{}, time.Now()
	if !c.http {
		c.message, c.arriving = 0, false
	}
	c.account.mu.Unlock()
	return n, err
}

// Hold counts further bytes that the handler of the current request holds, until the response is
// complete. It returns false if they do not fit.
func (c *Conn) Hold(n int) bool {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.used-a.ending+n > a.limit || !a.resizeLocked(c, c.held+n, time.Now()) {
		return false
	}
	c.extra += n
	return true
}

// Lost reports whether the connection has to end with the next response, because the length of
// the request is not known.
func (c *Conn) Lost() bool { return c.lost.Load() }

// SetReadDeadline implements net.Conn. Between requests and in heads, the limits of the
// configuration in force replace the deadline.
func (c *Conn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.ending && !c.removed {
		return nil // the reader is to wake up
	}
	if c.http && http.ConnState(c.state.Load()) != http.StateActive && (t.IsZero() || t.After(now)) {
		limits := c.limits()
		if t = now.Add(cmp.Or(limits.IdleTimeout, defaultIdleTimeout)); !c.headStarted.IsZero() {
			t = c.headStarted.Add(cmp.Or(limits.HeaderTimeout, defaultHeaderTimeout))
		}
	}
	return c.TCPConn.SetReadDeadline(t)
}

// RecordState is the ConnState function of a server of such connections.
func RecordState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*Conn); ok {
		c.Record(state)
	}
}

// Record records the state of the connection.
func (c *Conn) Record(state http.ConnState) {
	c.state.Store(int32(state))
	switch state {
	case http.StateActive:
		// The head is complete. The handler sets the deadline of the body.
		_ = c.SetReadDeadline(time.Time{})
		return
	case http.StateIdle:
	default:
		return
	}
	c.account.mu.Lock()
	c.scanner.Release()
	c.extra, c.headStarted, c.progressAt, c.arriving = 0, time.Time{}, time.Now(), c.scanner.Started()
	if c.arriving {
		c.headStarted = c.progressAt
	}
	to := c.scanner.Cost()
	c.account.mu.Unlock()
	c.account.resize(c, to, time.Now())
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.account.remove(c)
	if !c.refused.Load() || lingering.Add(1) > maxLingering {
		if c.refused.Load() {
			lingering.Add(-1)
		}
		return c.TCPConn.Close()
	}
	go c.linger()
	return nil
}

// linger closes the connection once the client has had time to read the refusal: closing it at
// once, while bytes arrive, would reset it.
func (c *Conn) linger() {
	defer lingering.Add(-1)
	defer c.TCPConn.Close()
	_ = c.TCPConn.CloseWrite()
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(refusalTimeout))
	var buffer [2 << 10]byte
	for read := 0; read < maxDiscardBytes; {
		n, err := c.TCPConn.Read(buffer[:])
		if read += n; err != nil {
			return
		}
	}
}
