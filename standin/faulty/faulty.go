// Package faulty is a stand-in for a backend server whose answers break the rules of HTTP:
// bytes without end in any part of an answer, second copies of an answer, and answers that
// break off.
package faulty

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthnotch/jacinthnotch/standin/kit"
)

// Answer is the way in which the server answers a request.
type Answer string

// The answers. All but Sound, the copies, the refusals and Truncated go on until the client closes.
const (
	Sound Answer = "sound"
	// EndlessLine sends one header line, EndlessHeaders header lines and EndlessInterim
	// interim responses without end.
	EndlessLine    Answer = "endless-line"
	EndlessHeaders Answer = "endless-headers"
	EndlessInterim Answer = "endless-interim"
	// EndlessBody sends a body without a length, BeyondLength goes on after the body, and
	// EndlessChunks sends chunks without end.
	EndlessBody   Answer = "endless-body"
	BeyondLength  Answer = "beyond-length"
	EndlessChunks Answer = "endless-chunks"
	// ChunkExtension sends the extension of a chunk, and EndlessTrailers trailers without end.
	ChunkExtension  Answer = "chunk-extension"
	EndlessTrailers Answer = "endless-trailers"
	// EndlessEvent sends an event of a stream without end, and SlowBytes does so with a byte
	// now and then.
	EndlessEvent Answer = "endless-event"
	SlowBytes    Answer = "slow-bytes"
	// Copy sends the answer twice at once, LateCopy a second time after Options.Interval, and
	// CopyWithoutID like Copy, but without the request's ID in the second one.
	Copy          Answer = "copy"
	LateCopy      Answer = "late-copy"
	CopyWithoutID Answer = "copy-without-id"
	// RepeatedRefusal refuses the first request on each connection with Options.Refusal, and
	// writes that refusal again before the answer to each later one. RepeatedRefusalWithoutID
	// leaves the request's ID out of it.
	RepeatedRefusal          Answer = "repeated-refusal"
	RepeatedRefusalWithoutID Answer = "repeated-refusal-without-id"
	// Resumable sends an event stream that it resumes after the event that Options.ResumeHeader
	// names. A stream that it does not resume breaks after Options.BreakAfter events, if set.
	Resumable Answer = "resumable"
	// Truncated ends the answer after Options.Bytes bytes.
	Truncated Answer = "truncated"
)

// Options configures a Server.
type Options struct {
	Answer Answer `help:"How each request is answered." default:"sound"`
	// Interval is the time between two bytes of SlowBytes, and before the copy of LateCopy.
	Interval time.Duration `help:"Time between two bytes, or before a late copy." default:"100ms"`
	// ResumeHeader names the last event that the client has, and BreakAfter is the number of
	// events after which a stream without it breaks.
	ResumeHeader string `help:"Header that names the last event of a client." default:"Last-Event-Id"`
	BreakAfter   int    `help:"Number of events after which a new stream breaks."`
	// Bytes is the length of a Truncated answer, and Reset makes it end with a TCP reset.
	Bytes int  `help:"Length of a truncated answer in bytes."`
	Reset bool `help:"End a truncated answer with a reset."`
	// Refusal is the status of a RepeatedRefusal, and RefusalHeader its header line, ended by CRLF,
	// that says that the request was not run.
	Refusal       int    `help:"Status of a repeated refusal." default:"503"`
	RefusalHeader string `help:"Header line of a repeated refusal, ended by CRLF." default:"X-Not-Run: 1\r\n"`
	// IDHeader is the header that names a request, which the server echoes.
	IDHeader string `help:"Header that the server echoes." default:"X-Request-Id"`
	// Header holds further header lines of each answer, each ended by CRLF.
	Header string `help:"Further header lines of each answer, each ended by CRLF."`
	// Stream makes the server answer with an event stream in chunks.
	Stream bool `help:"Answer with an event stream."`
}

// Server is the stand-in.
type Server struct {
	*kit.Server
	options  Options
	requests atomic.Int64
	mu       sync.Mutex
	// runs counts the requests that were run, by ID.
	runs map[string]int
}

// New returns a server that is not started.
func New(o Options) *Server {
	s := &Server{options: o, runs: map[string]int{}}
	s.Server = kit.NewServer(s.serve)
	return s
}

// Requests returns the number of requests that were read.
func (s *Server) Requests() int64 { return s.requests.Load() }

// Runs returns how often the request with an ID was run. Only the answers RepeatedRefusal and
// RepeatedRefusalWithoutID count runs.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *Server) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	// refusal is the refusal of the first request on the connection.
	refusal := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.requests.Add(1)
		switch s.options.Answer {
		case RepeatedRefusal, RepeatedRefusalWithoutID:
			if refusal == "" {
				refusal = s.refusal(r)
				if !write(conn, s.refusalTo(r)) {
					return
				}
				continue
			}
			s.mu.Lock()
			s.runs[r.Header.Get(s.options.IDHeader)]++
			s.mu.Unlock()
			if !write(conn, refusal+s.sound(r)) {
				return
			}
		default:
			if !s.answer(conn, r) {
				return
			}
		}
	}
}

// refusalTo returns a refusal that names its request.
func (s *Server) refusalTo(r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 %d Refused\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n", s.options.Refusal, s.options.IDHeader, r.Header.Get(s.options.IDHeader), s.options.RefusalHeader)
}

// refusal returns the refusal that is repeated.
func (s *Server) refusal(r *http.Request) string {
	if s.options.Answer == RepeatedRefusalWithoutID {
		return fmt.Sprintf("HTTP/1.1 %d Refused\r\n%sContent-Length: 0\r\n\r\n", s.options.Refusal, s.options.RefusalHeader)
	}
	return s.refusalTo(r)
}

// head returns the head of an answer with the given framing header line.
func (s *Server) head(r *http.Request, framing string) string {
	head := "HTTP/1.1 200 OK\r\n"
	if id := r.Header.Get(s.options.IDHeader); id != "" {
		head += s.options.IDHeader + ": " + id + "\r\n"
	}
	return head + s.options.Header + framing + "\r\n"
}

// Body is the body of a sound answer, for a request that names itself by ID.
func Body(id string) string { return "answer to " + id }

// Events is the body of a sound event stream.
const Events = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"

// sound returns a whole answer.
func (s *Server) sound(r *http.Request) string {
	if s.options.Stream {
		return s.head(r, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n") + chunk(Events) + "0\r\n\r\n"
	}
	body := Body(r.Header.Get(s.options.IDHeader))
	return s.head(r, fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// answer writes an answer. It returns false if the connection is to be closed.
func (s *Server) answer(conn net.Conn, r *http.Request) bool {
	chunked := s.head(r, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
	filler := strings.Repeat("x", 4<<10)
	switch s.options.Answer {
	case EndlessLine:
		return repeat(conn, "HTTP/1.1 200 OK\r\nFiller: ", filler)
	case EndlessHeaders:
		return repeat(conn, "HTTP/1.1 200 OK\r\n", "Filler: "+filler+"\r\n")
	case EndlessInterim:
		return repeat(conn, "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
	case EndlessBody:
		return repeat(conn, s.head(r, "Connection: close\r\n"), filler)
	case BeyondLength:
		return repeat(conn, s.sound(r), filler)
	case EndlessChunks:
		return repeat(conn, chunked, chunk(filler))
	case ChunkExtension:
		return repeat(conn, chunked+"5;", filler)
	case EndlessTrailers:
		return repeat(conn, chunked+chunk(Events)+"0\r\n", "Filler: "+filler+"\r\n")
	case EndlessEvent:
		return repeat(conn, chunked, chunk("data: "+filler))
	case SlowBytes:
		return s.repeatSlowly(conn, chunked+chunk("id: 1\ndata: "))
	case Copy:
		return write(conn, s.sound(r)+s.sound(r))
	case CopyWithoutID:
		anonymous := r.Clone(r.Context())
		anonymous.Header.Del(s.options.IDHeader)
		return write(conn, s.sound(r)+s.sound(anonymous))
	case LateCopy:
		ok := write(conn, s.sound(r))
		time.Sleep(s.options.Interval)
		return ok && write(conn, s.sound(r))
	case Resumable:
		return s.resume(conn, r, chunked)
	case Truncated:
		whole := s.sound(r)
		_ = write(conn, whole[:min(s.options.Bytes, len(whole))])
		if tcp, ok := conn.(interface{ SetLinger(int) error }); ok && s.options.Reset {
			// Reset only after the client has read the bytes, or it may lose them.
			time.Sleep(s.options.Interval)
			_ = tcp.SetLinger(0)
		}
		return false
	}
	return write(conn, s.sound(r))
}

// resume sends the events that the client does not have yet, Options.Interval apart. It closes the
// connection, as it says.
func (s *Server) resume(conn net.Conn, r *http.Request, head string) bool {
	after, _ := strconv.Atoi(r.Header.Get(s.options.ResumeHeader))
	events := strings.SplitAfter(Events, "\n\n")[:3]
	ok := write(conn, strings.TrimSuffix(head, "\r\n")+"Connection: close\r\n\r\n")
	for n := after; ok && n < len(events); n++ {
		if after == 0 && n > 0 && n == s.options.BreakAfter {
			return false
		}
		if n > after {
			time.Sleep(s.options.Interval)
		}
		ok = write(conn, chunk(events[n]))
	}
	_ = write(conn, "0\r\n\r\n")
	return false
}

func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// repeat writes a beginning and then the same text until the client closes.
func repeat(conn net.Conn, beginning, text string) bool {
	for ok := write(conn, beginning); ok; ok = write(conn, text) {
	}
	return false
}

// repeatSlowly writes a beginning and then one byte at each interval.
func (s *Server) repeatSlowly(conn net.Conn, beginning string) bool {
	for ok := write(conn, beginning); ok; ok = write(conn, chunk("x")) {
		time.Sleep(s.options.Interval)
	}
	return false
}
