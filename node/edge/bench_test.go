package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

const ordinary = "POST /u/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: 9c41d07be2a35f68\r\nX-Model: m\r\nX-Token-Counts: 1460,80\r\n" +
	"X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nX-Deadline-Ms: 5000\r\nContent-Length: 6\r\n\r\nprompt"

func BenchmarkScanner(b *testing.B) {
	raw := []byte(ordinary)
	b.SetBytes(int64(len(raw)))
	var s Scanner
	for range b.N {
		s.Scan(raw)
		s.Release()
	}
}

// BenchmarkFullAccount is a reservation that ends another of 1,400 connections.
func BenchmarkFullAccount(b *testing.B) {
	account := NewAccount("test", 1<<20, 1400)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer client.Close()
	tcp := client.(*net.TCPConn)
	for range 1400 {
		c := account.Open(tcp, true, func() Limits { return Limits{} })
		c.arriving, c.held = true, 1<<10
		account.used += 1 << 10
	}
	b.ResetTimer()
	for range b.N {
		b.StopTimer()
		c := &Conn{TCPConn: tcp, account: account, http: true}
		b.StartTimer()
		account.resize(c, 4<<10, c.progressAt)
		b.StopTimer()
		account.remove(c)
		for other := range account.conns {
			other.ending = false
		}
		account.ending = 0
		b.StartTimer()
	}
}

func benchmarkRequests(b *testing.B, wrap func(*net.TCPListener) net.Listener) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{ConnState: RecordState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})}
	go func() { _ = server.Serve(wrap(l.(*net.TCPListener))) }()
	defer server.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	b.ReportAllocs()
	for range b.N {
		if _, err := io.WriteString(conn, ordinary); err != nil {
			b.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
}

func BenchmarkRequestPlain(b *testing.B) {
	benchmarkRequests(b, func(l *net.TCPListener) net.Listener { return l })
}

func BenchmarkRequestCounted(b *testing.B) {
	account := NewAccount("test", 1<<20, 10)
	benchmarkRequests(b, func(l *net.TCPListener) net.Listener {
		return NewListener(l, account, true, func() Limits { return Limits{} })
	})
}
