package client

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// unaryHeaderBytes bounds the headers of a unary response. Each connection has a
// buffer of this size.
const unaryHeaderBytes = 16 << 10

// unaryClient sends requests without streaming to one address with fasthttp. It
// never retries a request.
type unaryClient struct {
	hc   *fasthttp.HostClient
	opts Options
}

// unaryResponse is a complete response. Its fields are copies.
type unaryResponse struct {
	status     int
	retryAfter string
	body       []byte
	header     func(string) string
}

func newUnaryClient(addr string, o Options) *unaryClient {
	o = o.withDefaults()
	return &unaryClient{opts: o, hc: &fasthttp.HostClient{
		Addr: addr,
		Dial: func(addr string) (net.Conn, error) {
			c, err := net.DialTimeout("tcp", addr, o.DialTimeout)
			if err != nil {
				return nil, fmt.Errorf("%w: %w", errNotSent, err)
			}
			return &statusConn{Conn: newTrackedConn(c)}, nil
		},
		// By default fasthttp sends GET, HEAD and PUT up to five times when a
		// pooled connection breaks, which would violate at-most-once delivery.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxConns:                  o.MaxConns,
		MaxConnDuration:           o.MaxConnAge,
		MaxIdleConnDuration:       o.IdleTimeout,
		MaxResponseBodySize:       o.MaxBodyBytes,
		ReadBufferSize:            min(o.MaxHeaderBytes, unaryHeaderBytes),
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
	}}
}

// do sends one request and waits at most timeout. sent is false when no byte of
// the request can have reached the server.
//
// fasthttp cannot cancel a request. If ctx ends early, do returns at once and the
// request continues in the background until timeout.
func (c *unaryClient) do(ctx context.Context, method, uri string, header map[string]string, body []byte, timeout time.Duration) (resp unaryResponse, sent bool, err error) {
	if err := ctx.Err(); err != nil {
		return resp, false, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	if timeout <= 0 {
		return resp, false, context.DeadlineExceeded
	}
	type result struct {
		response unaryResponse
		err      error
	}
	done := make(chan result, 1)
	go func() {
		resp, err := c.roundTrip(method, uri, header, body, timeout)
		done <- result{resp, err}
	}()
	select {
	case r := <-done:
		notSent := errors.Is(r.err, errNotSent) || errors.Is(r.err, fasthttp.ErrNoFreeConns)
		return r.response, !notSent, r.err
	case <-ctx.Done():
		return resp, true, ctx.Err()
	}
}

func (c *unaryClient) roundTrip(method, uri string, header map[string]string, body []byte, timeout time.Duration) (unaryResponse, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.hc.Addr + uri)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	if body != nil {
		req.SetBodyRaw(body)
	}
	req.SetTimeout(timeout)
	if err := c.hc.Do(req, resp); err != nil {
		return unaryResponse{}, err
	}
	responseHeader := make(map[string]string)
	for k, v := range resp.Header.All() {
		responseHeader[string(k)] = string(v)
	}
	return unaryResponse{
		status: resp.StatusCode(), retryAfter: responseHeader[fasthttp.HeaderRetryAfter],
		body:   append([]byte(nil), resp.Body()...),
		header: func(k string) string { return responseHeader[k] },
	}, nil
}
