package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

var (
	// ErrNotSent reports that no byte of the request was sent.
	ErrNotSent = errors.New("exchange: not sent")
	// ErrIncomplete reports that the request was sent, at least in part, and that the
	// whole answer did not arrive. It may have run.
	ErrIncomplete = errors.New("exchange: sent, and the answer is missing or not whole")
)

const (
	// concurrentBody is the size in bytes from which a body is written beside the
	// reading of the answer: a server may answer before it has read a long body.
	concurrentBody = 8 << 10
	// maxStrays bounds the answers to other requests that are passed over.
	maxStrays = 4
	// maxStrayBody bounds the body of such an answer, in bytes.
	maxStrayBody = 1 << 20
)

// Request is a request as it goes to a server.
type Request struct {
	Method string
	// Target is the path with the query, as the caller sent it.
	Target, Host string
	// Header is sent as it is; Host and Content-Length are added.
	Header http.Header
	Body   []byte
	// ID is the id that the server echoes.
	ID string
	// MaxIdleTime is the longest idle time of a kept connection that may carry the
	// request; zero means the pool's limit. A connection that was idle for long may
	// have been dropped by the server without notice.
	MaxIdleTime time.Duration
}

// Response is the answer to a request. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 when the answer does not state it.
	ContentLength int64
	body          io.ReadCloser
	conn          *conn
	pool          *Pool
	keep          bool
	whole         bool
	written       <-chan error
	release       func() bool
	serverIdle    time.Duration
}

// HeaderParser returns the id that an answer echoes and the idle time after which its
// server closes the connection.
type HeaderParser func(status int, h http.Header) (id string, idle time.Duration)

// Do sends a request to the server at address and returns the head of its answer.
// The end of ctx closes the connection. Errors wrap ErrNotSent or ErrBroken.
func (p *Pool) Do(ctx context.Context, address string, r *Request, echo HeaderParser) (*Response, error) {
	maxIdle := r.MaxIdleTime
	if maxIdle <= 0 {
		maxIdle = p.opt.MaxIdleTime
	}
	c, err := p.get(ctx, address, maxIdle)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if ctx.Err() != nil {
		_ = c.Close()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	response, err := p.exchange(ctx, c, r, echo)
	if err != nil {
		_ = c.Close()
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", err, ctx.Err())
		}
		return nil, err
	}
	return response, nil
}

func (p *Pool) exchange(ctx context.Context, c *conn, r *Request, echo HeaderParser) (*Response, error) {
	release := context.AfterFunc(ctx, func() { _ = c.Close() })
	written, err := send(c, r)
	if err != nil {
		release()
		return nil, fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	for range maxStrays {
		answer, err := readHead(c, r.Method)
		if err != nil {
			release()
			return nil, fmt.Errorf("%w: %w", ErrIncomplete, err)
		}
		id, idle := echo(answer.StatusCode, answer.Header)
		if id != "" && r.ID != "" && id != r.ID && answer.StatusCode != http.StatusBadRequest {
			if err := skip(answer); err != nil {
				release()
				return nil, fmt.Errorf("%w: after an answer to another request: %w", ErrIncomplete, err)
			}
			continue
		}
		return &Response{
			Status: answer.StatusCode, Header: answer.Header, ContentLength: answer.ContentLength, body: answer.Body,
			conn: c, pool: p, keep: !answer.Close, written: written, release: release, serverIdle: idle,
		}, nil
	}
	release()
	return nil, fmt.Errorf("%w: %d answers to other requests", ErrIncomplete, maxStrays)
}

// send writes the request. The channel, if not nil, yields the outcome of a body
// that is still being written.
func send(c *conn, r *Request) (<-chan error, error) {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(&head); err != nil {
		return nil, err
	}
	head.WriteString("\r\n")
	if len(r.Body) < concurrentBody {
		head.Write(r.Body)
		_, err := c.Write(head.Bytes())
		return nil, err
	}
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(head.Bytes())
		if err == nil {
			_, err = c.Write(r.Body)
		}
		written <- err
	}()
	return written, nil
}

// readHead reads the head of the next final answer.
func readHead(c *conn, method string) (*http.Response, error) {
	for {
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= http.StatusOK {
			return answer, nil
		}
	}
}

// skip reads an answer to another request to its end.
func skip(answer *http.Response) error {
	if answer.Close {
		return errors.New("the connection ends with it")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxStrayBody+1))
	if err == nil && n > maxStrayBody {
		err = errors.New("its body is too long")
	}
	return err
}

// Read reads the body. io.EOF means that the answer is whole; any other error
// wraps ErrBroken.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		r.whole = true
		return n, io.EOF
	}
	return n, fmt.Errorf("%w: %w", ErrIncomplete, err)
}

// Close ends the exchange. The connection is kept only after a whole answer to a
// request that was sent in full; otherwise it is closed, which cancels the request
// at the server.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	c := r.conn
	r.conn = nil
	alive := r.release()
	if !alive || !r.whole || !r.keep || !r.sent() || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	r.pool.put(c, r.serverIdle)
}

// sent reports whether the whole request has been written.
func (r *Response) sent() bool {
	if r.written == nil {
		return true
	}
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}
