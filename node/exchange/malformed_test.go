package exchange

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// exchangeRaw sends a request to a server that answers with the bytes and closes the connection.
func exchangeRaw(t *testing.T, answer string) (status int, body string, err error) {
	t.Helper()
	return exchangePieces(t, answer)
}

// pieceInterval is the time between two pieces of an answer.
const pieceInterval = 2 * time.Millisecond

// exchangePieces is exchangeRaw with an answer that comes in pieces.
func exchangePieces(t *testing.T, pieces ...string) (status int, body string, err error) {
	t.Helper()
	s := newServer(t, func(c *net.TCPConn, _ *http.Request, _ int) bool {
		for i, piece := range pieces {
			if i > 0 {
				time.Sleep(pieceInterval)
			}
			fmt.Fprint(c, piece)
		}
		return false
	})
	p := NewPool(Options{})
	defer p.Close()
	r, err := p.Do(context.Background(), s.address(), request("a"), parseHeaders)
	if err != nil {
		return 0, "", err
	}
	body, err = read(t, r)
	return r.Status, body, err
}

// Guards against a head that begins no HTTP/1 response being taken for a response, and against valid
// status lines being refused.
func TestStatusLines(t *testing.T) {
	const rest = "\r\nId: a\r\nContent-Length: 2\r\n\r\nok"
	for line, want := range map[string]int{
		"HTTP/1.1 200 OK": 200, "HTTP/1.1 200": 200, "HTTP/1.1 200 ": 200, "HTTP/1.0 200 OK": 200, "HTTP/1.1 299 X": 299, "HTTP/1.1 418 X": 418, "HTTP/1.1 599 X": 599,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK": 200, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 103\r\n\r\nHTTP/1.1 200 OK": 200,
		"HTTP/1.1 000 X": 0, "HTTP/1.1 099 X": 0, "HTTP/1.1 +20 X": 0, "HTTP/1.1 -12 X": 0, "HTTP/1.1 20 X": 0, "HTTP/1.1 2000 X": 0, "HTTP/1.1 2 0 X": 0, "HTTP/1.1 2OO X": 0,
		"HTTP/1.1 600 X": 0, "HTTP/1.1 999 X": 0, "HTTP/1.1 101 X": 0, "HTTP/1.1 OK": 0, "HTTP/1.1": 0, "HTTP/2.0 200 OK": 0, "HTTP/2 200": 0, "HTTP/0.9 200 OK": 0, "HTTP/11 200 OK": 0,
		"PRI * HTTP/2.0": 0, "ICY 200 OK": 0, "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK": 0, "HTTP/1.1 101 X\r\n\r\nHTTP/1.1 200 OK": 0,
	} {
		status, body, err := exchangeRaw(t, line+rest)
		if want == 0 && !errors.Is(err, ErrIncomplete) {
			t.Errorf("%q: status %d, error %v, want ErrIncomplete", line, status, err)
		}
		if want != 0 && (err != nil || status != want || body != "ok") {
			t.Errorf("%q: status %d, body %q, error %v, want status %d", line, status, body, err, want)
		}
	}
}

// Guards against a head that comes in pieces being taken for another one, and against one that ends in its
// middle being taken for a response.
func TestHeadInPieces(t *testing.T) {
	const answer = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\n"
	for n := range len(answer) {
		if status, body, err := exchangePieces(t, answer[:n], answer[n:]+"body"); err != nil || status != http.StatusOK || body != "body" {
			t.Errorf("in pieces from byte %d: status %d, body %q, error %v", n, status, body, err)
		}
		if status, body, err := exchangePieces(t, answer[:n/2], answer[n/2:n]); !errors.Is(err, ErrIncomplete) {
			t.Errorf("ended after byte %d: status %d, body %q, error %v", n, status, body, err)
		}
	}
}

// Guards against chunks in an answer of HTTP/1.0, which has none, reaching the caller with their sizes, also
// if the head comes in pieces.
func TestChunksInHTTP10(t *testing.T) {
	const answer = "HTTP/1.0 200 OK\r\nId: a\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	for _, n := range []int{0, 5, 20, 30, 50} {
		status, body, err := exchangePieces(t, answer[:n], answer[n:])
		if !errors.Is(err, ErrIncomplete) {
			t.Errorf("in pieces from byte %d: status %d, body %q, error %v, want ErrIncomplete", n, status, body, err)
		}
	}
	for _, whole := range []string{"HTTP/1.0 200 OK\r\nId: a\r\n\r\nTransfer-Encoding: chunked\r\n", "HTTP/1.0 200 OK\nId: a\nContent-Length: 28\n\nTransfer-Encoding: chunked\r\n"} {
		if _, body, err := exchangeRaw(t, whole); err != nil || body != "Transfer-Encoding: chunked\r\n" {
			t.Errorf("%q: body %q, error %v", whole, body, err)
		}
	}
}

// Guards against a body whose framing is broken or contradicts itself being taken for a whole one, and
// against what HTTP allows being refused.
func TestFraming(t *testing.T) {
	for name, c := range map[string]struct {
		head, body string
		// want is the body of a whole response; empty if the response must fail.
		want string
	}{
		"length":                        {"Content-Length: 4\r\n", "body", "body"},
		"length twice":                  {"Content-Length: 4\r\nContent-Length: 4\r\n", "body", "body"},
		"folded line":                   {"X: a\r\n b\r\nContent-Length: 4\r\n", "body", "body"},
		"end by the connection":         {"Connection: close\r\n", "body", "body"},
		"chunks":                        {"Transfer-Encoding: chunked\r\n", "4;x=y\r\nbody\r\n0\r\nT: v\r\n\r\n", "body"},
		"chunks and a length":           {"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", "body"},
		"conflicting lengths":           {"Content-Length: 4\r\nContent-Length: 2\r\n", "body", ""},
		"negative length":               {"Content-Length: -4\r\n", "body", ""},
		"signed length":                 {"Content-Length: +4\r\n", "body", ""},
		"length with a space":           {"Content-Length: 4 4\r\n", "body", ""},
		"empty length":                  {"Content-Length:\r\n", "body", ""},
		"too large a length":            {"Content-Length: 99999999999999999999\r\n", "body", ""},
		"too short a body":              {"Content-Length: 5\r\n", "body", ""},
		"no last chunk":                 {"Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n", ""},
		"half a last chunk":             {"Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n", ""},
		"a chunk without its end":       {"Transfer-Encoding: chunked\r\n", "4\r\nbody0\r\n\r\n", ""},
		"a chunk with a negative size":  {"Transfer-Encoding: chunked\r\n", "-4\r\nbody\r\n0\r\n\r\n", ""},
		"a chunk without a size":        {"Transfer-Encoding: chunked\r\n", "\r\nbody\r\n0\r\n\r\n", ""},
		"no chunks":                     {"Transfer-Encoding: chunked\r\n", "body", ""},
		"unknown coding":                {"Transfer-Encoding: gzip\r\n", "body", ""},
		"unknown coding before chunked": {"Transfer-Encoding: gzip, chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", ""},
		"line without a name":           {": x\r\nContent-Length: 4\r\n", "body", ""},
		"line without a colon":          {"Content-Length 4\r\nContent-Length: 4\r\n", "body", ""},
		"length after a space":          {"Content-Length : 4\r\n", "bod", ""},
		"coding after a space":          {"Transfer-Encoding : chunked\r\n", "4\r\nbody\r\n", ""},
		"other name with a space":       {"X-Note : a\r\nContent-Length: 4\r\n", "body", "body"},
	} {
		_, body, err := exchangeRaw(t, "HTTP/1.1 200 OK\r\nId: a\r\n"+c.head+"\r\n"+c.body)
		if c.want == "" && !errors.Is(err, ErrIncomplete) {
			t.Errorf("%s: body %q, error %v, want ErrIncomplete", name, body, err)
		}
		if c.want != "" && (err != nil || body != c.want) {
			t.Errorf("%s: body %q, error %v, want %q", name, body, err, c.want)
		}
	}
}
