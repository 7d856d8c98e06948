package exchange

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// FuzzResponse guards against a panic on malformed responses, and against a connection that
// is used again although bytes follow the response.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\nbody"))
	f.Add([]byte("HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nbody\r\n0\r\nT: v\r\n\r\nmore"))
	f.Add([]byte("HTTP/1.1 204 X\r\nId: b\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: -1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			_ = server.SetDeadline(time.Now().Add(time.Second))
			var head [1 << 10]byte
			_, _ = server.Read(head[:])
			_, _ = server.Write(raw)
		}()
		p := NewPool(Options{Dial: func(context.Context, string, string) (net.Conn, error) { return client, nil }})
		defer p.Close()
		response, err := p.Do(t.Context(), "s", request("a"), parseHeaders)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, response)
		buffered := response.conn.reader.Buffered()
		response.Close()
		if buffered > 0 && len(p.idle["s"]) > 0 {
			t.Fatalf("the connection is kept with %d bytes after the response", buffered)
		}
	})
}
