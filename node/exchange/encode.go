package exchange

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// ErrInvalidRequest reports a request that cannot be written as exactly one HTTP request.
var ErrInvalidRequest = errors.New("exchange: invalid request")

// ownHeaders are written by this package itself or concern one connection only.
var ownHeaders = map[string]bool{
	"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true, "Te": true, "Upgrade": true,
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Expect": true,
}

// IsOwnHeader reports whether a header, with any case, is never taken from Request.Header.
func IsOwnHeader(name string) bool { return ownHeaders[http.CanonicalHeaderKey(name)] }

// ValidTarget reports whether a request target can be written into a request line.
func ValidTarget(target string) bool {
	return target != "" && !strings.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

// encodeHead returns the head of a request. Whatever the fields of the request hold, it is the
// head of one request with a body of this length, or an error that wraps ErrInvalidRequest.
func encodeHead(r *Request) ([]byte, error) {
	switch {
	case !httpguts.ValidHeaderFieldName(r.Method): // a method is a token, too
		return nil, fmt.Errorf("%w: method %q", ErrInvalidRequest, r.Method)
	case !ValidTarget(r.Target):
		return nil, fmt.Errorf("%w: target %q", ErrInvalidRequest, r.Target)
	case !httpguts.ValidHostHeader(r.Host):
		return nil, fmt.Errorf("%w: host %q", ErrInvalidRequest, r.Host)
	}
	for name, values := range r.Header {
		// WriteSubset knows own headers by their canonical names only.
		if !httpguts.ValidHeaderFieldName(name) || IsOwnHeader(name) && !ownHeaders[name] {
			return nil, fmt.Errorf("%w: header name %q", ErrInvalidRequest, name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return nil, fmt.Errorf("%w: value %q of header %s", ErrInvalidRequest, value, name)
			}
		}
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.WriteSubset(&head, ownHeaders); err != nil {
		return nil, err
	}
	head.WriteString("\r\n")
	return head.Bytes(), nil
}
