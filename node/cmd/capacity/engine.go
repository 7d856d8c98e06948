package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
	"github.com/jacinthnotch/jacinthnotch/node/client"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/servers"
)

const (
	modelName   = "m"
	serviceName = "s"
	chatPath    = "/v1/chat/completions"
	// engineSlots is the number of concurrent requests that a stand-in engine reports
	// as its maximum.
	engineSlots = 256
)

// engines is a stand-in for any number of model engines behind one listener. It sends
// prepared bytes, so that its processor time is little more than that of its system
// calls.
type engines struct {
	ln      net.Listener
	traffic byteCounter
	polls   atomic.Int64
	running atomic.Int64
	tokens  atomic.Int64 // length of a response
	gap     atomic.Int64 // time between two tokens, in nanoseconds
	paused  atomic.Bool  // streams wait after a token while it is true
}

func startEngines() (*engines, error) {
	ln, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, err
	}
	e := &engines{}
	e.ln = countedListener{ln, &e.traffic}
	go func() {
		for {
			conn, err := e.ln.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e, nil
}

func (e *engines) close() { _ = e.ln.Close() }

// address returns the address of the i-th engine. Each has its own loopback IP address.
func (e *engines) address(i int) string {
	return fmt.Sprintf("127.1.%d.%d:%d", i/200, 1+i%200, e.ln.Addr().(*net.TCPAddr).Port)
}

func (e *engines) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReaderSize(conn, 2048)
	for {
		path, body, err := readRequest(r)
		if err != nil {
			return
		}
		switch {
		case strings.HasPrefix(path, "/v1/load"):
			e.polls.Add(1)
			err = e.writeJSON(conn, fmt.Sprintf(`{"at":%q,"running":%d,"waiting":0,"max_slots":%d,"kv_used":0.25,"prefill_rate":8000,"decode_rate":60}`,
				time.Now().Format(time.RFC3339Nano), e.running.Load(), engineSlots))
		case strings.HasPrefix(path, "/v1/state"):
			e.polls.Add(1)
			err = e.writeJSON(conn, `{"model":"`+modelName+`","version":"1","adapters":[],"role":"both","loading":false,"fence":1}`)
		case strings.HasPrefix(path, "/v1/cache-events"):
			e.polls.Add(1)
			err = e.writeJSON(conn, `{"events":[],"last":0}`)
		default:
			e.running.Add(1)
			err = e.generate(conn, bytes.Contains(body, []byte(`"stream":true`)))
			e.running.Add(-1)
		}
		if err != nil {
			return
		}
	}
}

// readRequest reads one HTTP request, whose body length is given by Content-Length.
func readRequest(r *bufio.Reader) (path string, body []byte, err error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", nil, err
	}
	if f := strings.Fields(line); len(f) > 1 {
		path = f[1]
	}
	length := 0
	for {
		if line, err = r.ReadString('\n'); err != nil {
			return "", nil, err
		}
		if line == "\r\n" {
			break
		}
		if v, ok := strings.CutPrefix(strings.ToLower(line), "content-length:"); ok {
			if length, err = strconv.Atoi(strings.TrimSpace(v)); err != nil {
				return "", nil, err
			}
		}
	}
	body = make([]byte, length)
	_, err = io.ReadFull(r, body)
	return path, body, err
}

// writeJSON writes a successful response with a JSON body.
func (e *engines) writeJSON(w io.Writer, body string) error {
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err
}

// eventChunk returns a server-sent event as one chunk of a chunked response body.
func eventChunk(data string) []byte {
	data = "data: " + data + "\n\n"
	return fmt.Appendf(nil, "%x\r\n%s\r\n", len(data), data)
}

var (
	tokenChunk = eventChunk(`{"id":"chatcmpl-0123456789abcdef","object":"chat.completion.chunk","created":1700000000,"model":"m","choices":[{"index":0,"delta":{"content":" word"},"finish_reason":null}]}`)
	lastChunk  = eventChunk(`{"id":"chatcmpl-0123456789abcdef","object":"chat.completion.chunk","created":1700000000,"model":"m","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":100,"completion_tokens":%TOKENS%}}`)
	streamHead = []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
)

// generate writes the response to a chat request, as a stream or at once.
func (e *engines) generate(w io.Writer, stream bool) error {
	tokens, gap := int(e.tokens.Load()), time.Duration(e.gap.Load())
	if !stream {
		time.Sleep(gap * time.Duration(tokens))
		return e.writeJSON(w, fmt.Sprintf(`{"id":"chatcmpl-0","object":"chat.completion","model":"m","choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":{"prompt_tokens":100,"completion_tokens":%d}}`,
			strings.Repeat(" word", tokens), tokens))
	}
	if _, err := w.Write(streamHead); err != nil {
		return err
	}
	for range tokens {
		if _, err := w.Write(tokenChunk); err != nil {
			return err
		}
		time.Sleep(gap)
		for e.paused.Load() {
			time.Sleep(20 * time.Millisecond)
		}
	}
	last := bytes.Replace(lastChunk, []byte("%TOKENS%"), fmt.Appendf(nil, "%08d", tokens), 1)
	last = bytes.Replace(last, fmt.Appendf(nil, ":%08d", tokens), fmt.Appendf(nil, ":%8d", tokens), 1)
	_, err := w.Write(append(last, append(eventChunk("[DONE]"), "0\r\n\r\n"...)...))
	return err
}

// roundTrip sends a prepared request on a connection and reads the whole response.
func roundTrip(conn net.Conn, r *bufio.Reader, request []byte) error {
	if _, err := conn.Write(request); err != nil {
		return err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %.200s", resp.StatusCode, data)
	}
	return err
}

// chatRequest returns a chat request of a caller.
func chatRequest(stream bool) []byte {
	body := fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[{"role":"user","content":%q}]}`, modelName, stream, newTextGenerator(3).text(400))
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: capacity\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", chatPath, len(body), body)
}

// staticDirectory is a platform's list with fixed content.
type staticDirectory struct{ listing port.Listing }

func (l *staticDirectory) List(context.Context) (port.Listing, error) { return l.listing, nil }

// assignmentFunc reports which servers this instance directs.
type assignmentFunc func(server string) bool

func (d assignmentFunc) Directs(server string) bool { return d(server) }

// newPool returns a server pool of n stand-in engines and its HTTP connections.
func (e *engines) newPool(n int, o servers.Options) (*servers.Pool, *client.Pool) {
	list := &staticDirectory{}
	for i := range n {
		list.listing.Servers = append(list.listing.Servers, port.ServerEntry{ID: serverID(i), Service: serviceName, Address: e.address(i), DataCentre: "dc-1"})
	}
	doc := &config.Document{
		Services: map[string]*config.Service{serviceName: {Kind: config.ServiceKindModel}},
		Models:   map[string]*config.Model{modelName: {Service: serviceName}},
	}
	conns := client.NewPool(client.Options{})
	o.Instance, o.DataCentre, o.Directory, o.Seed = "instance-007", "dc-1", list, 1
	o.Document = func() *config.Document { return doc }
	o.NewEngine = func(address string) port.Engine { return client.NewEngine(address, conns) }
	return servers.New(o), conns
}
