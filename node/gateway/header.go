package gateway

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
)

// connectionHeaders concern one connection only (RFC 9110, 7.6.1).
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// forwardable returns a copy of the headers without those of the connection.
func forwardable(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range connectionNames(h) {
		out.Del(name)
	}
	// The library writes the body in one piece, and no server is asked to confirm it.
	out.Del("Expect")
	return out
}

// copyHeader copies an answer's headers without those of the connection.
func copyHeader(to, from http.Header) {
	for name, values := range forwardable(from) {
		to[name] = values
	}
}

func connectionNames(h http.Header) []string {
	names := connectionHeaders
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			names = append(names[:len(names):len(names)], textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// withoutRepeats returns the route as one whose requests run at most once.
func withoutRepeats(r *serving.Route) *serving.Route {
	once := *r
	once.Kind, once.Resumable = serving.Unsafe, false
	return &once
}
