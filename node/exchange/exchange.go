package exchange

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

var (
	// ErrNotSent reports that no byte of the request was sent.
	ErrNotSent = errors.New("exchange: request not sent")
	// ErrIncomplete reports that at least part of the request was sent and that no
	// complete response was received. The server may have run the request.
	ErrIncomplete = errors.New("exchange: request sent, but the response is missing or incomplete")
)

const (
	// concurrentBodyBytes is the size from which a body is written while the response is
	// being read, because a server may respond before it has read a long body.
	concurrentBodyBytes = 8 << 10
	// maxStaleResponses limits the discarded responses to other requests.
	maxStaleResponses = 4
	// maxStaleBodyBytes limits the body of a discarded response.
	maxStaleBodyBytes = 1 << 20
)

// Request is a request to a server.
type Request struct {
	Method string
	// Target is the request target, the path with the query, as sent by the caller.
	Target, Host string
	// Header is sent without the headers for which IsOwnHeader is true; Host and Content-Length
	// are added.
	Header http.Header
	Body   []byte
	// ID is the request ID that the server is expected to echo.
	ID string
	// MaxIdleTime is the maximum idle time of a pooled connection that may carry the
	// request; zero means the pool's limit. The server may have dropped a connection
	// that was idle for longer without notice.
	MaxIdleTime time.Duration
}

// Response is the response to a request. The caller must call Close.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 if the response does not state it.
	ContentLength int64
	body          io.ReadCloser
	conn          *conn
	pool          *Pool
	// keepAlive is set if the server keeps the connection open after the response, and
	// complete once the body was read to its end.
	keepAlive bool
	complete  bool
	// endsByClose is set if the body ends with the connection.
	endsByClose bool
	// bodyWritten yields the outcome of writing the body of the request; nil if the body was
	// written before the response was read.
	bodyWritten <-chan error
	// stopCancel keeps the context from closing the connection. It returns false if the
	// context was done before.
	stopCancel  func() bool
	idleTimeout time.Duration
}

// HeaderParser extracts from the head of a response the request ID that it echoes and
// the idle time after which the server closes the connection.
type HeaderParser func(status int, h http.Header) (id string, idle time.Duration)

// Do sends a request to the server at address and returns after reading the head of the
// response. The connection is closed when ctx is done. Errors wrap ErrNotSent or
// ErrIncomplete.
func (p *Pool) Do(ctx context.Context, address string, r *Request, parseHeaders HeaderParser) (*Response, error) {
	head, err := encodeHead(r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	maxIdleTime := r.MaxIdleTime
	if maxIdleTime <= 0 {
		maxIdleTime = p.options.MaxIdleTime
	}
	c, err := p.get(ctx, address, r.ID, maxIdleTime)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if ctx.Err() != nil {
		_ = c.Close()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	response, err := p.roundTrip(ctx, c, r, head, parseHeaders)
	if err != nil {
		_ = c.Close()
		err = p.blame(c, err)
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", err, ctx.Err())
		}
		return nil, err
	}
	return response, nil
}

func (p *Pool) roundTrip(ctx context.Context, c *conn, r *Request, head []byte, parseHeaders HeaderParser) (*Response, error) {
	stopCancel := context.AfterFunc(ctx, func() { _ = c.Close() })
	reused := c.used
	c.used = true
	c.carried.add(r.ID)
	bodyWritten, err := send(c, head, r.Body)
	if err != nil {
		stopCancel()
		return nil, fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	for stale := range maxStaleResponses {
		response, err := readHead(c, r.Method)
		if err != nil {
			stopCancel()
			switch {
			case errors.Is(err, errHeadTooLarge):
				p.recordFault(faultHeadTooLarge, c)
			case errors.Is(err, errInvalidStatus):
				p.recordFault(faultInvalidStatus, c)
			}
			return nil, fmt.Errorf("%w: %w", ErrIncomplete, err)
		}
		id, idle := parseHeaders(response.StatusCode, response.Header)
		if id == "" && r.ID != "" && reused {
			// It may be a late copy of the response to an earlier request.
			stopCancel()
			p.recordFault(faultUnidentified, c)
			return nil, fmt.Errorf("%w: the response on a reused connection names no request", ErrIncomplete)
		}
		if id != "" && r.ID != "" && id != r.ID {
			p.recordFault(faultStaleResponse, c)
			if err := discard(response); err != nil {
				stopCancel()
				return nil, fmt.Errorf("%w: after a response to another request: %w", ErrIncomplete, err)
			}
			continue
		}
		return &Response{
			Status: response.StatusCode, Header: response.Header, ContentLength: response.ContentLength, body: response.Body,
			conn: c, pool: p, keepAlive: !response.Close && stale == 0, endsByClose: endsByClose(response), bodyWritten: bodyWritten, stopCancel: stopCancel, idleTimeout: idle,
		}, nil
	}
	stopCancel()
	return nil, fmt.Errorf("%w: received %d responses to other requests", ErrIncomplete, maxStaleResponses)
}

// send writes the request. A long body is written concurrently; the returned channel is
// then not nil and yields the outcome of the write.
func send(c *conn, head, body []byte) (<-chan error, error) {
	if len(body) < concurrentBodyBytes {
		_, err := c.Write(append(head, body...))
		return nil, err
	}
	bodyWritten := make(chan error, 1)
	go func() {
		_, err := c.Write(head)
		if err == nil {
			_, err = c.Write(body)
		}
		bodyWritten <- err
	}()
	return bodyWritten, nil
}

// discard reads a response to another request to its end.
func discard(response *http.Response) error {
	if response.Close {
		return errors.New("the server closes the connection")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleBodyBytes+1))
	if err == nil && n > maxStaleBodyBytes {
		err = errors.New("the body is too long")
	}
	return err
}

// Read reads the body. It returns io.EOF at the end of a complete response; any other
// error wraps ErrIncomplete.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if errors.Is(err, io.EOF) && !r.complete && r.endsByClose {
		err = cmp.Or(r.checkEnd(), io.EOF)
	}
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		r.complete = true
		return n, io.EOF
	}
	return n, r.pool.blame(r.conn, fmt.Errorf("%w: %w", ErrIncomplete, err))
}

// Close releases the connection. It returns to the pool only after a complete response
// to a request that was sent in full; otherwise it is closed, which cancels the request
// on the server.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	c := r.conn
	r.conn = nil
	open := r.stopCancel()
	if r.complete && c.reader.Buffered() > 0 {
		r.pool.recordFault(faultBytesAfterResponse, c)
	}
	if !open || !r.complete || !r.keepAlive || !r.sent() || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	r.pool.put(c, r.idleTimeout)
}

// sent reports whether the complete request has been written.
func (r *Response) sent() bool {
	if r.bodyWritten == nil {
		return true
	}
	select {
	case err := <-r.bodyWritten:
		return err == nil
	default:
		return false
	}
}
