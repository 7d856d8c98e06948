package client

import (
	"bytes"
	"cmp"
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

// Pool is a connection pool that the adapters for many backend servers share. It is
// safe for concurrent use.
type Pool struct {
	opts Options

	mu        sync.Mutex
	transport *http.Transport
	createdAt time.Time
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool { return &Pool{opts: o.withDefaults()} }

// Close closes the idle connections. Requests in flight continue.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.transport != nil {
		p.transport.CloseIdleConnections()
		p.transport = nil
	}
}

// current returns the transport for a new request. net/http has no maximum age for
// connections, so the whole transport is replaced at that age: the old one closes
// its idle connections at once and the others when their requests end.
func (p *Pool) current() *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Now()
	if p.transport != nil && now.Sub(p.createdAt) < p.opts.MaxConnAge {
		return p.transport
	}
	if p.transport != nil {
		p.transport.CloseIdleConnections()
	}
	dialer := net.Dialer{Timeout: p.opts.DialTimeout}
	p.createdAt = now
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

// Causes with which the client itself cancels a request.
var (
	errRetried          = errors.New("client: net/http attempted to retry the request")
	errRequestUnread    = errors.New("client: the server closed the connection before it had received the request")
	errConnectionFailed = errors.New("client: the connection failed and was not closed by the server")
	errCallTimeout      = errors.New("client: call timeout")
)

// nonRewindableBody hides the type of the body from net/http, which retries a request
// on its own only if it has no body or a body that net/http can rewind.
type nonRewindableBody struct{ io.Reader }

func (nonRewindableBody) Close() error { return nil }

// exchange is one request and its response.
type exchange struct {
	pool   *Pool
	cancel context.CancelCauseFunc
	ctx    context.Context
	timer  Timer
	gap    time.Duration
	resp   *http.Response

	mu sync.Mutex
	// conn is the connection of the request; nil until the transport has chosen one.
	conn *trackedConn
	// writesBefore is the write count of conn before the request.
	writesBefore uint64
	// writeEnded is closed once the writing of the request has ended, and requestWritten is set if all of
	// it was written.
	writeEnded     chan struct{}
	requestWritten bool
}

// exchangeTimeouts are the header and gap timeouts of an exchange; zero means none.
type exchangeTimeouts struct {
	header, gap time.Duration
}

// start sends the request once and returns when the response header has arrived. On
// success the caller must call close.
func (p *Pool) start(ctx context.Context, req *http.Request, body []byte, timeouts exchangeTimeouts) (*exchange, error) {
	if len(body) > p.opts.MaxBodyBytes || headerSize(req.Header) > p.opts.MaxHeaderBytes {
		return nil, transportError(false, port.ErrTooLarge)
	}
	x := &exchange{pool: p, gap: timeouts.gap, writeEnded: make(chan struct{})}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	if err := ctx.Err(); err != nil {
		x.close()
		return nil, transportError(false, err)
	}
	// net/http may still read the body after RoundTrip has returned, while HTTP
	// servers such as fiber reuse the memory of request bodies.
	body = bytes.Clone(body)
	req.Body, req.GetBody, req.ContentLength = requestBody(req.Method, body), nil, int64(len(body))
	trace := &httptrace.ClientTrace{GotConn: x.gotConn, WroteRequest: x.wroteRequest}
	req = req.WithContext(httptrace.WithClientTrace(x.ctx, trace))
	if timeouts.header > 0 {
		x.timer = p.opts.AfterFunc(timeouts.header, func() { x.cancel(port.ErrReadTimeout) })
	}
	resp, err := p.current().RoundTrip(req)
	if err != nil {
		err = x.wrapError(err)
		x.close()
		return nil, err
	}
	x.resp = resp
	if err := checkStatus(resp); err != nil {
		x.close()
		return nil, transportError(true, err)
	}
	x.resetGapTimer()
	return x, nil
}

func requestBody(method string, body []byte) io.ReadCloser {
	if len(body) > 0 {
		return nonRewindableBody{bytes.NewReader(body)}
	}
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return http.NoBody // sent as Content-Length: 0
	}
	// net/http detects that the body is empty and sends none.
	return nonRewindableBody{bytes.NewReader(nil)}
}

// gotConn records the connection of the request. A second connection means that
// net/http retries the request; writes on it are disabled before the first byte.
func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		c.disableWrites(0)
		x.cancel(errRetried)
		return
	}
	x.conn, x.writesBefore = c, c.writeCount()
}

// wrapError wraps the error of a round trip or of reading the response in
// port.ErrUnavailable or port.ErrOutcomeUnknown.
func (x *exchange) wrapError(err error) error {
	if cause := context.Cause(x.ctx); cause != nil {
		err = cause
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	// Without a connection nothing was sent. With one, disabling its writes rules out
	// a write after this point.
	sent := x.conn != nil && x.conn.disableWrites(x.writesBefore)
	return transportError(sent, err)
}

// resetGapTimer restarts the gap timeout, or stops the timer if there is none.
func (x *exchange) resetGapTimer() {
	switch {
	case x.timer != nil && x.gap > 0:
		x.timer.Reset(x.gap)
	case x.timer != nil:
		x.timer.Stop()
	case x.gap > 0:
		x.timer = x.pool.opts.AfterFunc(x.gap, func() { x.cancel(port.ErrReadTimeout) })
	}
}

// Read reads from the response body and restarts the gap timeout.
func (x *exchange) Read(b []byte) (int, error) {
	n, err := x.resp.Body.Read(b)
	if n > 0 {
		x.resetGapTimer()
	}
	if errors.Is(err, io.EOF) {
		err = cmp.Or(x.checkEnd(), err)
	}
	return n, err
}

func (x *exchange) wroteRequest(info httptrace.WroteRequestInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.writeFinished() {
		x.requestWritten = info.Err == nil
		close(x.writeEnded)
	}
}

func (x *exchange) writeFinished() bool {
	select {
	case <-x.writeEnded:
		return true
	default:
		return false
	}
}

// checkEnd returns an error if the end of the connection is not that of a body that ends with it. A success
// is not the answer to a request that the server has not received; an error may be.
func (x *exchange) checkEnd() error {
	if x.resp.ContentLength >= 0 || len(x.resp.TransferEncoding) > 0 {
		return nil
	}
	select {
	case <-x.writeEnded:
	case <-x.ctx.Done():
		return context.Cause(x.ctx)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn == nil {
		return nil
	}
	end := x.conn.endAfterRequest()
	switch {
	case end == endFailed:
		return errConnectionFailed
	case end != notEnded && x.resp.StatusCode < http.StatusMultipleChoices && (end == endUnread || !x.requestWritten):
		return errRequestUnread
	}
	return nil
}

// readAll reads the rest of the body, which must not exceed limit bytes.
func (x *exchange) readAll(limit int) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(x, int64(limit)+1))
	if err != nil {
		return nil, x.wrapError(err)
	}
	if len(b) > limit {
		return nil, fmt.Errorf("%w: %w: response body exceeds %d bytes", port.ErrOutcomeUnknown, port.ErrTooLarge, limit)
	}
	return b, nil
}

// readStatusError returns the response as a *port.StatusError, with as much of its
// body as could be read.
func (x *exchange) readStatusError() error {
	b, _ := io.ReadAll(io.LimitReader(x, maxErrorBodyBytes))
	return statusError(x.resp.StatusCode, b, x.resp.Header.Get("Retry-After"))
}

// close ends the exchange. It closes the connection if the response was not read to
// its end, which cancels the request on the server.
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
