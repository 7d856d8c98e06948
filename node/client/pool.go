package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// Pool holds the connections to backend servers. All adapters of an instance
// share one. It is safe for concurrent use.
type Pool struct {
	opts Options

	mu        sync.Mutex
	transport *http.Transport
	born      time.Time
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool { return &Pool{opts: o.withDefaults()} }

// Close closes the idle connections. Requests in flight go on.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.transport != nil {
		p.transport.CloseIdleConnections()
		p.transport = nil
	}
}

// current returns the transport for a new request. net/http has no maximum age
// for connections, so the whole transport is replaced at that age: the old one
// closes its idle connections at once and the others when their request ends.
func (p *Pool) current() *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Now()
	if p.transport != nil && now.Sub(p.born) < p.opts.MaxConnAge {
		return p.transport
	}
	if p.transport != nil {
		p.transport.CloseIdleConnections()
	}
	dialer := net.Dialer{Timeout: p.opts.DialTimeout}
	p.born = now
	p.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return newTrackedConn(c), nil
		},
		MaxIdleConnsPerHost:    p.opts.MaxConns,
		IdleConnTimeout:        p.opts.IdleTimeout,
		MaxResponseHeaderBytes: int64(p.opts.MaxHeaderBytes),
		DisableCompression:     true,
	}
	return p.transport
}

// Causes with which a request is cancelled from within.
var (
	errRepeated = errors.New("client: net/http tried to repeat the request")
	errTimeout  = errors.New("client: call timeout")
)

// noReplay hides the body's type from net/http, which repeats a request on its
// own only when it has no body or knows how to rewind it.
type noReplay struct{ io.Reader }

func (noReplay) Close() error { return nil }

// exchange is one request and the reading of its answer.
type exchange struct {
	pool   *Pool
	cancel context.CancelCauseFunc
	ctx    context.Context
	timer  Timer
	gap    time.Duration
	resp   *http.Response

	mu   sync.Mutex
	conn *trackedConn
	mark uint64
}

// limits are the time limits of an exchange; zero means none.
type limits struct {
	header, gap time.Duration
}

// start sends the request once and returns when the answer's header is there.
// On success the caller must call close.
func (p *Pool) start(ctx context.Context, req *http.Request, body []byte, lim limits) (*exchange, error) {
	if len(body) > p.opts.MaxBodyBytes || headerSize(req.Header) > p.opts.MaxHeaderBytes {
		return nil, failure(false, port.ErrTooLarge)
	}
	x := &exchange{pool: p, gap: lim.gap}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	if err := ctx.Err(); err != nil {
		x.close()
		return nil, failure(false, err)
	}
	// net/http may still read the body after RoundTrip has returned, and servers
	// such as fiber reuse the memory of their callers' bodies.
	body = bytes.Clone(body)
	req.Body, req.GetBody, req.ContentLength = bodyOf(req.Method, body), nil, int64(len(body))
	trace := &httptrace.ClientTrace{GotConn: x.gotConn}
	req = req.WithContext(httptrace.WithClientTrace(x.ctx, trace))
	if lim.header > 0 {
		x.timer = p.opts.AfterFunc(lim.header, func() { x.cancel(port.ErrReadTimeout) })
	}
	resp, err := p.current().RoundTrip(req)
	if err != nil {
		err = x.failed(err)
		x.close()
		return nil, err
	}
	x.resp = resp
	x.arm()
	return x, nil
}

func bodyOf(method string, body []byte) io.ReadCloser {
	if len(body) > 0 {
		return noReplay{bytes.NewReader(body)}
	}
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return http.NoBody // sent as Content-Length: 0
	}
	// net/http finds out that it is empty and sends no body.
	return noReplay{bytes.NewReader(nil)}
}

// gotConn notes the connection of the request. A second connection means that
// net/http repeats the request; it is refused before a byte is written on it.
func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		c.seal(0)
		x.cancel(errRepeated)
		return
	}
	x.conn, x.mark = c, c.mark()
}

// failed translates the error of a round trip or of reading the answer.
func (x *exchange) failed(err error) error {
	if cause := context.Cause(x.ctx); cause != nil {
		err = cause
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	// Without a connection nothing was sent. With one, sealing it rules out a
	// write after this point.
	sent := x.conn != nil && x.conn.seal(x.mark)
	return failure(sent, err)
}

// arm starts the gap timeout anew.
func (x *exchange) arm() {
	switch {
	case x.timer != nil && x.gap > 0:
		x.timer.Reset(x.gap)
	case x.timer != nil:
		x.timer.Stop()
	case x.gap > 0:
		x.timer = x.pool.opts.AfterFunc(x.gap, func() { x.cancel(port.ErrReadTimeout) })
	}
}

// Read reads the body under the gap timeout.
func (x *exchange) Read(b []byte) (int, error) {
	n, err := x.resp.Body.Read(b)
	if n > 0 {
		x.arm()
	}
	return n, err
}

// whole reads the rest of the body, which must not exceed limit bytes.
func (x *exchange) whole(limit int) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(x, int64(limit)+1))
	if err != nil {
		return nil, x.failed(err)
	}
	if len(b) > limit {
		return nil, fmt.Errorf("%w: %w: answer above %d bytes", port.ErrOutcomeUnknown, port.ErrTooLarge, limit)
	}
	return b, nil
}

// refused returns the *port.StatusError of an answer, with what could be read
// of its body.
func (x *exchange) refused() error {
	b, _ := io.ReadAll(io.LimitReader(x, maxErrorBody))
	return statusError(x.resp.StatusCode, b, x.resp.Header.Get("Retry-After"))
}

// close ends the exchange. It closes the connection if the answer was not read
// to its end, which cancels the request on the server.
func (x *exchange) close() {
	if x.timer != nil {
		x.timer.Stop()
	}
	if x.resp != nil {
		x.resp.Body.Close()
	}
	x.cancel(nil)
}

func headerSize(h http.Header) int {
	n := 0
	for k, vs := range h {
		for _, v := range vs {
			n += len(k) + len(v) + 4
		}
	}
	return n
}
