package edge

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// requestReader hands out the bytes of one request, as a connection does, in reads of at most step
// bytes. It ends with io.EOF.
type requestReader struct {
	scanner Scanner
	data    []byte
	step    int
	ended   bool
	given   int
}

func (r *requestReader) Read(b []byte) (int, error) {
	if r.ended || len(r.data) == 0 {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), r.step)], r.data)
	n = r.scanner.Scan(b[:n])
	r.ended = !r.scanner.Started()
	r.data, r.given = r.data[n:], r.given+n
	return n, nil
}

// read reads one request as net/http does, with its body. It returns the request, or nil if there
// is none, and the number of bytes that were read beyond it.
func (r *requestReader) read() (request *http.Request, body []byte, beyond int) {
	reader := bufio.NewReader(r)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, nil, 0
	}
	if body, err = io.ReadAll(request.Body); err != nil {
		return nil, nil, 0
	}
	return request, body, reader.Buffered()
}

// Guards against requests that are cut short or joined with the next one, and against a body whose
// bytes count as a head.
func TestScannerFollowsFraming(t *testing.T) {
	const next = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, c := range []struct {
		name, raw, body string
		lost            bool
	}{
		{name: "no body", raw: "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		{name: "lines without CR", raw: "GET / HTTP/1.1\nHost: h\n\n"},
		{name: "length", raw: "POST / HTTP/1.1\r\nHost: h\r\ncontent-length:  5\r\n\r\na\n\n\nb", body: "a\n\n\nb"},
		{name: "chunks", raw: "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n3;x=y\r\na\nb\r\nA\r\n0123456789\r\n0\r\n\r\n", body: "a\nb0123456789"},
		{name: "trailer", raw: "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n1\r\na\r\n0\r\nT: v\r\n\r\n", body: "a"},
		{name: "length twice", raw: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na", body: "a", lost: true},
		{name: "length with padding", raw: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + strings.Repeat(" ", 99) + "1\r\n\r\na", body: "a", lost: true},
	} {
		for step := 1; step <= len(c.raw)+len(next); step++ {
			r := requestReader{data: []byte(c.raw + next), step: step}
			request, body, beyond := r.read()
			switch {
			case r.scanner.Lost() != c.lost:
				t.Fatalf("%s, step %d: lost %t", c.name, step, r.scanner.Lost())
			case request == nil || string(body) != c.body:
				t.Fatalf("%s, step %d: request %v, body %q", c.name, step, request, body)
			case !c.lost && (beyond != 0 || r.given != len(c.raw)):
				t.Fatalf("%s, step %d: %d bytes beyond the request, %d given", c.name, step, beyond, r.given)
			}
		}
	}
}

// Guards against estimates below what a head takes when it is decoded and copied, by which a crowd
// takes more memory than is counted.
func TestCostCoversDecodedHead(t *testing.T) {
	for name, line := range map[string]func(n int) string{
		"short lines": func(int) string { return "a:\r\n" },
		"many names":  func(n int) string { return strings.Repeat("x", n%7+1) + string(rune('a'+n%26)) + ":\r\n" },
		"long lines":  func(int) string { return "a: " + strings.Repeat("v", 8000) + "\r\n" },
	} {
		var raw strings.Builder
		raw.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
		for n := 0; raw.Len() < 60<<10; n++ {
			raw.WriteString(line(n))
		}
		raw.WriteString("\r\n")
		var s Scanner
		s.Scan([]byte(raw.String())[:raw.Len()-1])
		result := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw.String())))
				if err != nil {
					b.Fatal(err)
				}
				request.Header.Clone()
			}
		})
		if allocated := result.AllocedBytesPerOp(); int64(s.Cost()) < allocated {
			t.Errorf("%s: cost %d, %d bytes allocated", name, s.Cost(), allocated)
		}
	}
}

// Guards against bytes by which the scanner and net/http disagree on the end of a request, so that
// a part of another one counts or is read as a body, and against costs that do not grow with
// what was sent.
func FuzzScanner(f *testing.F) {
	for _, raw := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;e=f\r\nabc\r\n0\r\nT: v\r\n\r\nGET",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
		"\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\n a: b\r\n\r\n",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	} {
		f.Add([]byte(raw), uint8(7))
	}
	f.Fuzz(func(t *testing.T, raw []byte, step uint8) {
		r := requestReader{data: raw, step: int(step) + 1}
		request, _, beyond := r.read()
		most := headByteCost*len(raw) + lineCost*(bytes.Count(raw, []byte{'\n'})+1) + listEntryCost*bytes.Count(raw, []byte{','}) + bodyByteCost*len(raw)
		if cost := r.scanner.Cost(); cost < 0 || cost > most {
			t.Fatalf("cost %d, at most %d", cost, most)
		}
		if request == nil || r.scanner.Lost() {
			return // refused, or the last request of its connection
		}
		if beyond != 0 || !r.ended {
			t.Fatalf("net/http reads a request of %d bytes less than the %d given, ended %t", beyond, r.given, r.ended)
		}
		whole, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw[:r.given])))
		if err != nil {
			t.Fatalf("the request alone: %v", err)
		}
		if _, err := io.Copy(io.Discard, whole.Body); err != nil && !errors.Is(err, io.EOF) {
			t.Fatalf("the body alone: %v", err)
		}
	})
}
