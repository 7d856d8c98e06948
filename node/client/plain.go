package client

import (
	"context"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"

	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// Plain is the adapter for one backend server of a plain HTTP service.
type Plain struct {
	addr string
	pool *Pool
}

var _ port.PlainService = (*Plain)(nil)

// NewPlain returns an adapter for the server at addr, an IP address and port.
func NewPlain(addr string, pool *Pool) *Plain { return &Plain{addr: addr, pool: pool} }

// hopByHop lists the headers that apply to a single connection (RFC 9110, section
// 7.6.1, and the older headers that implementations treat in the same way).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of h without the hop-by-hop headers.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		return make(http.Header)
	}
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// Do implements port.PlainService. Redirects are returned, not followed. The error
// for a response body above the limit matches port.ErrTooLarge and
// port.ErrOutcomeUnknown, because the request has run.
func (p *Plain) Do(ctx context.Context, req *port.PlainRequest) (*port.PlainResponse, error) {
	path, err := url.PathUnescape(req.Path)
	if err != nil {
		return nil, transportError(false, err)
	}
	r := &http.Request{
		Method: req.Method,
		URL:    &url.URL{Scheme: "http", Host: p.addr, Path: path, RawPath: req.Path, RawQuery: req.RawQuery},
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: endToEnd(req.Header),
		Host:   req.Header.Get("Host"),
	}
	r.Header.Del("Host")
	r.Header.Del("Content-Length") // set from the body
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = nil // net/http would add its own
	}
	x, err := p.pool.start(ctx, r, req.Body, exchangeTimeouts{header: req.HeaderTimeout, gap: p.pool.opts.GapTimeout})
	if err != nil {
		return nil, err
	}
	defer x.close()
	body, err := x.readAll(p.pool.opts.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	return &port.PlainResponse{Status: x.resp.StatusCode, Header: endToEnd(x.resp.Header), Body: body}, nil
}
