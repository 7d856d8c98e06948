package client

import (
	"bytes"
	"errors"
	"net"
	"net/http"
)

// errInvalidStatus reports a status line that begins no HTTP/1 response to a request.
var errInvalidStatus = errors.New("client: invalid status line")

// Status codes have three digits, and the first one, the class, is 1 to 5 (RFC 9110, section 15).
const (
	minFinalStatus = 200
	maxStatus      = 599
)

// checkStatus returns an error if a final response is none of HTTP/1, or has a status that HTTP does not know.
func checkStatus(r *http.Response) error {
	if r.ProtoMajor != 1 || r.StatusCode < minFinalStatus || r.StatusCode > maxStatus {
		return errInvalidStatus
	}
	return nil
}

// statusConn is a connection that checks the status lines of responses that are read from it. fasthttp
// takes a status 000 for 200. A request must be written in full before its response is read.
type statusConn struct {
	net.Conn
	scanner statusScanner
}

func (c *statusConn) Write(b []byte) (int, error) {
	c.scanner = statusScanner{}
	return c.Conn.Write(b)
}

func (c *statusConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if scanErr := c.scanner.scan(b[:n]); scanErr != nil {
		return 0, scanErr
	}
	return n, err
}

const (
	// statusPattern is the beginning of a status line: c stands for the class and d for a digit.
	statusPattern  = "HTTP/1.d cdd"
	statusOffset   = len("HTTP/1.d ")
	switchesStatus = "101"
)

// statusScanner checks the status lines of the interim heads of a response and of the final one. Its zero
// value is at the beginning of a response.
type statusScanner struct {
	line [len(statusPattern)]byte
	// matched is the number of bytes of line, and tail holds the last bytes of an interim head.
	matched int
	tail    []byte
	done    bool
}

// scan checks the next bytes of a response.
func (s *statusScanner) scan(b []byte) error {
	for _, c := range b {
		switch {
		case s.done:
			return nil
		case s.matched < len(statusPattern):
			if !matches(statusPattern[s.matched], c) {
				return errInvalidStatus
			}
			s.line[s.matched] = c
			if s.matched++; s.matched < len(statusPattern) {
				continue
			}
			if string(s.line[statusOffset:]) == switchesStatus {
				return errInvalidStatus
			}
			s.done = s.line[statusOffset] != '1'
		default:
			s.skipInterim(c)
		}
	}
	return nil
}

// skipInterim takes the next byte of an interim head.
func (s *statusScanner) skipInterim(c byte) {
	if c == '\r' {
		return
	}
	s.tail = append(s.tail, c)
	if s.tail = s.tail[max(0, len(s.tail)-2):]; bytes.Equal(s.tail, []byte("\n\n")) {
		*s = statusScanner{}
	}
}

func matches(pattern, c byte) bool {
	switch pattern {
	case 'c':
		return c >= '1' && c <= '5'
	case 'd':
		return c >= '0' && c <= '9'
	}
	return c == pattern
}
