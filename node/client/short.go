package client

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// shortHeaderBytes bounds the headers of short answers; each connection has a
// buffer of this size.
const shortHeaderBytes = 16 << 10

// short sends short requests to one address with fasthttp. It never repeats one.
type short struct {
	hc   *fasthttp.HostClient
	opts Options
}

// shortAnswer is a whole answer; its fields are copies.
type shortAnswer struct {
	status     int
	retryAfter string
	body       []byte
	header     func(string) string
}

func newShort(addr string, o Options) *short {
	o = o.withDefaults()
	return &short{opts: o, hc: &fasthttp.HostClient{
		Addr: addr,
		Dial: func(addr string) (net.Conn, error) {
			c, err := net.DialTimeout("tcp", addr, o.DialTimeout)
			if err != nil {
				return nil, fmt.Errorf("%w: %w", errNotSent, err)
			}
			return newTrackedConn(c), nil
		},
		// By default fasthttp sends GET, HEAD and PUT up to five times when a
		// pooled connection breaks, which loses at-most-once below our code.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxConns:                  o.MaxConns,
		MaxConnDuration:           o.MaxConnAge,
		MaxIdleConnDuration:       o.IdleTimeout,
		MaxResponseBodySize:       o.MaxBodyBytes,
		ReadBufferSize:            min(o.MaxHeaderBytes, shortHeaderBytes),
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
	}}
}

// do sends one request and waits at most timeout. sent is false when no byte of
// the request can have reached the server.
//
// fasthttp cannot cancel a request. When ctx ends early, do returns at once and
// the request goes on in the background until timeout.
func (s *short) do(ctx context.Context, method, uri string, header map[string]string, body []byte, timeout time.Duration) (a shortAnswer, sent bool, err error) {
	if err := ctx.Err(); err != nil {
		return a, false, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	if timeout <= 0 {
		return a, false, context.DeadlineExceeded
	}
	type outcome struct {
		answer shortAnswer
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		a, err := s.roundTrip(method, uri, header, body, timeout)
		done <- outcome{a, err}
	}()
	select {
	case o := <-done:
		notSent := errors.Is(o.err, errNotSent) || errors.Is(o.err, fasthttp.ErrNoFreeConns)
		return o.answer, !notSent, o.err
	case <-ctx.Done():
		return a, true, ctx.Err()
	}
}

func (s *short) roundTrip(method, uri string, header map[string]string, body []byte, timeout time.Duration) (shortAnswer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + s.hc.Addr + uri)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	if body != nil {
		req.SetBodyRaw(body)
	}
	req.SetTimeout(timeout)
	if err := s.hc.Do(req, resp); err != nil {
		return shortAnswer{}, err
	}
	header2 := make(map[string]string)
	for k, v := range resp.Header.All() {
		header2[string(k)] = string(v)
	}
	return shortAnswer{
		status: resp.StatusCode(), retryAfter: header2[fasthttp.HeaderRetryAfter],
		body:   append([]byte(nil), resp.Body()...),
		header: func(k string) string { return header2[k] },
	}, nil
}
