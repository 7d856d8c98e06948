package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/origin"
	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/domain/workspace"
	"github.com/jacinthnotch/jacinthnotch/node/exchange"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
	"github.com/jacinthnotch/jacinthnotch/policy/poison"
	"github.com/jacinthnotch/jacinthnotch/standin/faulty"
)

// protocol uses header names of its own, because the gateway must not depend on any
// particular ones.
type protocol struct{}

func (protocol) ParseRequest(h http.Header) serving.Request {
	ms, _ := strconv.Atoi(h.Get("Patience"))
	r := serving.Request{ID: h.Get("Id"), CallerTimeout: time.Duration(ms) * time.Millisecond}
	if v := h.Get("After"); v != "" {
		r.ResumeAfter, _ = strconv.ParseInt(v, 10, 64)
		r.IsResume = true
	}
	r.Resumes = h.Get("Resumes")
	if v := h.Get("Parts"); v != "" {
		for _, id := range strings.Split(v, ",") {
			r.Prompt = append(r.Prompt, serving.PromptSegment{ID: id})
		}
	}
	return r
}

func (protocol) SetAttemptHeaders(h http.Header, server string, _ time.Duration, after int64, resumes bool) {
	h.Set("Expect-Server", server)
	h.Del("After")
	if resumes {
		h.Set("After", strconv.FormatInt(after, 10))
	}
}

func (protocol) ParseResponse(_ int, h http.Header) serving.Response {
	return serving.Response{RequestID: h.Get("Id"), NotRun: h.Get("Refused") != "", Signed: h.Get("Signature") != "", Leaving: h.Get("Leaving") != "", Server: h.Get("Server-Id")}
}

func (protocol) CallerKey(h http.Header) string { return h.Get("Key") }

func (protocol) SetWorkspace(h http.Header, workspace string) {
	h.Del("Key")
	h.Set("Workspace", workspace)
}

func (protocol) SetRetryAfter(h http.Header, after time.Duration) {
	h.Set("Come-Back", strconv.FormatInt(after.Milliseconds(), 10))
}

// noJobs handles no calls.
type noJobs struct{}

func (noJobs) Serve(http.ResponseWriter, *http.Request, *serving.Route, workspace.Caller) bool {
	return false
}

// localPlacer places requests by the view of one instance.
type localPlacer struct{ view *fleet.View }

func (p localPlacer) Place(q balance.Query) (*fleet.Lease, *balance.Rejection) {
	lease, ok := p.view.Pick(q)
	if !ok {
		return nil, &balance.Rejection{}
	}
	return lease, nil
}

// localContainment tracks the failures that one instance sees. Its clock advances by a second
// with each of them.
type localContainment struct {
	mu      sync.Mutex
	tracker *poison.Tracker
	now     time.Time
	crashes uint32
}

func (l *localContainment) Blocked(r poison.Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.Blocked(l.now, r)
}

func (l *localContainment) RecordBreak(r poison.Request, _ *serving.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now = l.now.Add(time.Second)
	l.crashes++
	l.tracker.RecordBreak(l.now, r, l.crashes)
}

func (l *localContainment) RecordAnswer(r poison.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.RecordAnswer(l.now, r)
}

// localOrigins keeps the origins of the streams of one instance.
type localOrigins struct {
	view    *fleet.View
	mu      sync.Mutex
	origins map[string]origin.Origin
	// uncertain makes Confirm fail.
	uncertain bool
}

func (l *localOrigins) Record(id string, _ int, s *serving.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.origins[id] = origin.Origin{Service: s.Service, Version: s.Version, Server: s.ID}
}

func (l *localOrigins) Resolve(_ context.Context, service, id string) (origin.Origin, origin.Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o, ok := l.origins[id]; ok {
		return o, origin.Known
	}
	if versions := l.view.Versions(service); len(versions) == 1 {
		return origin.Origin{Service: service, Version: versions[0]}, origin.Known
	}
	return origin.Origin{}, origin.Unknown
}

func (l *localOrigins) Confirm(context.Context, origin.Origin, time.Time) bool { return !l.uncertain }

// serverScript responds to a request to any of the servers; n is the number of the
// request, from 0.
type serverScript func(c net.Conn, r *http.Request, n int)

// fakeFleet is a gateway with servers that run the same script.
type fakeFleet struct {
	url     string
	view    *fleet.View
	gateway *Gateway
	origins *localOrigins
	entries []port.Entry[serving.Server]
	// faulty holds the stand-ins of a fleet of faulty servers.
	faulty []*faulty.Server

	mu       sync.Mutex
	requests []*http.Request
}

func (f *fakeFleet) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

const testHost = "h.example"

// newFleet starts servers of one service and a gateway with one route to it.
func newFleet(t *testing.T, servers int, route serving.Route, script serverScript) *fakeFleet {
	t.Helper()
	f := &fakeFleet{}
	var addresses []string
	for range servers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		go f.serve(l, script)
		addresses = append(addresses, l.Addr().String())
	}
	f.start(t, addresses, route)
	return f
}

// start starts a gateway with one route to the servers at the addresses.
func (f *fakeFleet) start(t *testing.T, addresses []string, route serving.Route) {
	t.Helper()
	f.view = fleet.NewView(rand.New(rand.NewPCG(1, 2)))
	var entries []port.Entry[serving.Server]
	for i, address := range addresses {
		id := fmt.Sprintf("s%d", i)
		entries = append(entries, port.Entry[serving.Server]{Key: id, Value: &serving.Server{ID: id, Service: "svc", Address: address, Slots: 4}})
	}
	route.Name, route.Host, route.PathPrefix = "r", testHost, "/p/"
	route.Targets = []serving.Target{{Service: "svc", Weight: 1}}
	revision := &serving.Revision{Version: 1, Routes: []*serving.Route{&route}, Services: map[string]*serving.Service{"svc": {Name: "svc"}}}
	revision.Index()
	f.view.ApplyServers(entries, true)
	f.view.ApplyConfig([]port.Entry[serving.Revision]{{Key: "c", Value: revision}}, true)
	pool := exchange.NewPool(exchange.Options{})
	t.Cleanup(pool.Close)
	f.entries = entries
	f.origins = &localOrigins{view: f.view, origins: map[string]origin.Origin{}}
	f.gateway = &Gateway{Origins: f.origins, View: f.view, Pool: pool, Protocol: protocol{}, Jobs: noJobs{}, Placer: localPlacer{f.view}, Containment: &localContainment{tracker: poison.NewTracker(0)}, Metrics: NewMetrics()}
	front := httptest.NewUnstartedServer(f.gateway)
	front.Config.ConnContext = WithConn
	front.Start()
	t.Cleanup(front.Close)
	f.url = front.URL
}

func (f *fakeFleet) serve(l net.Listener, script serverScript) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			f.mu.Lock()
			n := len(f.requests)
			f.requests = append(f.requests, r)
			f.mu.Unlock()
			script(conn, r, n)
		}()
	}
}

// recover replaces the servers by new ones at the same addresses.
func (f *fakeFleet) recover() {
	var entries []port.Entry[serving.Server]
	for _, e := range f.entries {
		next := *e.Value
		next.Started++
		entries = append(entries, port.Entry[serving.Server]{Key: e.Key, Value: &next})
	}
	f.entries = entries
	f.view.ApplyServers(entries, true)
}

// send sends a request as one attempt of a caller.
func (f *fakeFleet) send(t *testing.T, header ...string) (*http.Response, string, error) {
	t.Helper()
	return f.sendBody(t, "", header...)
}

// sendBody sends a request with a body.
func (f *fakeFleet) sendBody(t *testing.T, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, f.url+"/p/x?q=1", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = testHost
	r.Header.Set("Id", "id-1")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	return response, string(received), err
}

func fullResponse(status int, body string, header ...string) string {
	s := fmt.Sprintf("HTTP/1.1 %d X\r\nConnection: close\r\nId: id-1\r\nContent-Length: %d\r\n", status, len(body))
	for i := 0; i < len(header); i += 2 {
		s += header[i] + ": " + header[i+1] + "\r\n"
	}
	return s + "\r\n" + body
}

// streamHead is the head of a stream response, with a verb for the signature. Chunks
// follow it, and endOfStream ends the response.
const (
	streamHead  = "HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	endOfStream = "0\r\n\r\n"
)

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func event(id int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id) }
