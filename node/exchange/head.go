package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// maxHeadBytes limits the head of a response together with the interim ones before it.
const maxHeadBytes = 64 << 10

// Status codes have three digits, and the first one, the class, is 1 to 5 (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

const versionHTTP10 = "HTTP/1.0"

var (
	errHeadTooLarge = fmt.Errorf("exchange: the head of a response has more than %d bytes", maxHeadBytes)
	// errInvalidStatus reports a status line that begins no HTTP/1 response to a request.
	errInvalidStatus = errors.New("exchange: invalid status line")
	// errInvalidFraming reports a head that does not say reliably where its body ends.
	errInvalidFraming = errors.New("exchange: invalid framing of the body")
)

// headLimiter reads from a connection. It limits the number of bytes while a head is being
// read, because a faulty server may send bytes without end.
type headLimiter struct {
	source io.Reader
	// active is set while the limit applies, and left is what may still be read then.
	active bool
	left   int
}

// Read implements io.Reader.
func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.active {
		return l.source.Read(b)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.source.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}

// readHead reads the head of the next final response and drops interim (1xx) ones.
func readHead(c *conn, method string) (*http.Response, error) {
	c.head.active, c.head.left = true, maxHeadBytes
	defer func() { c.head.active = false }()
	for {
		if codedHTTP10(c.reader) {
			return nil, fmt.Errorf("%w: Transfer-Encoding in HTTP/1.0", errInvalidFraming)
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			if c.head.left <= 0 && !errors.Is(err, errHeadTooLarge) {
				err = fmt.Errorf("%w: %w", errHeadTooLarge, err)
			}
			return nil, err
		}
		if err := checkStatusLine(response); err != nil {
			return nil, err
		}
		if err := checkFramingNames(response.Header); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// checkStatusLine returns an error if the head belongs to no HTTP/1 response. No request asks for
// another protocol, so that 101 is none either.
func checkStatusLine(r *http.Response) error {
	if r.ProtoMajor != 1 || r.StatusCode < minStatus || r.StatusCode > maxStatus || r.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: %s %q", errInvalidStatus, r.Proto, r.Status)
	}
	return nil
}

// codedHTTP10 reports whether the next head is one of HTTP/1.0 with a Transfer-Encoding, whose framing
// is faulty (RFC 9112, section 6.1); net/http drops that header. Of a head that is longer than
// the buffer it sees the beginning.
func codedHTTP10(r *bufio.Reader) bool {
	if version, err := r.Peek(len(versionHTTP10)); err != nil || string(version) != versionHTTP10 {
		return false
	}
	for {
		head, _ := r.Peek(r.Buffered())
		for line := range bytes.Lines(head) {
			if len(bytes.TrimRight(line, "\r\n")) == 0 {
				return false
			}
			name, _, found := bytes.Cut(line, []byte(":"))
			if found && strings.EqualFold(string(name), "Transfer-Encoding") {
				return true
			}
		}
		if _, err := r.Peek(len(head) + 1); err != nil {
			return false
		}
	}
}

// checkFramingNames returns an error if a header that frames the body has space after its name:
// net/http keeps such a header and frames the body without it.
func checkFramingNames(h http.Header) error {
	for name := range h {
		switch http.CanonicalHeaderKey(strings.TrimRight(name, " ")) {
		case name:
		case "Content-Length", "Transfer-Encoding":
			return fmt.Errorf("%w: header %q", errInvalidFraming, name)
		}
	}
	return nil
}
