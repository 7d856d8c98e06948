package gateway

import (
	"net/http"
	"strings"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
)

// hopByHopHeaders apply to one connection only and are not forwarded (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEndHeaders returns a copy of the headers without the hop-by-hop ones and those that the
// Connection header lists.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	// The body is sent without waiting for 100 Continue.
	out.Del("Expect")
	return out
}

// copyEndToEndHeaders copies a response's headers without the hop-by-hop ones.
func copyEndToEndHeaders(dst, src http.Header) {
	for name, values := range endToEndHeaders(src) {
		dst[name] = values
	}
}

// asAtMostOnce returns a copy of the route whose requests run at most once.
func asAtMostOnce(r *serving.Route) *serving.Route {
	route := *r
	route.Kind, route.Resumable = serving.Unsafe, false
	return &route
}
