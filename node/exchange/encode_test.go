package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"
)

// FuzzRequest guards against fields of a request that a server reads as more than one request,
// or as another one.
func FuzzRequest(f *testing.F) {
	f.Add("POST", "/p/x?q=1", "h.example", "Model", "m", []byte("body"))
	f.Add("GET", "/p HTTP/1.1\r\nHost: h\r\n\r\nGET /q", "h", "A", "b", []byte(nil))
	f.Add("POST", "/p", "h\r\nA: b", "Content-Length", "0", []byte("GET /q HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add("POST", "/p", "h", "transfer-encoding", "chunked", []byte("0\r\n\r\nGET /q HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add("POST", "/p", "h", "A: b\r\nC", "d\r\n\r\ne", []byte("x"))
	f.Fuzz(func(t *testing.T, method, target, host, name, value string, body []byte) {
		r := &Request{Method: method, Target: target, Host: host, Header: http.Header{name: {value}}, Body: body}
		head, err := encodeHead(r)
		if err != nil {
			if !errors.Is(err, ErrInvalidRequest) {
				t.Fatalf("%v", err)
			}
			return
		}
		reader := bufio.NewReader(bytes.NewReader(append(head, body...)))
		got, err := http.ReadRequest(reader)
		if err != nil {
			return // a server refuses it
		}
		received, err := io.ReadAll(got.Body)
		if err != nil || got.Method != method || got.RequestURI != target || got.Header.Get("Transfer-Encoding") != "" {
			t.Fatalf("%+v, %v", got, err)
		}
		if rest := reader.Buffered(); !bytes.Equal(received, body) || rest > 0 {
			t.Fatalf("body %q, want %q; %d bytes after it", received, body, rest)
		}
	})
}
