package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// modelServer is a stand-in for a model server.
type modelServer struct {
	w        *world
	id       string
	service  string
	slots    int
	step     time.Duration
	kvTokens int
	listener net.Listener
	server   *http.Server
	born     int64

	// crashAt is the event of a deadly request at which the server crashes; 0 for never. onRun and
	// onCrash are called when it begins to run such a request, and when it crashes.
	crashAt int
	onRun   func()
	onCrash func()
	// onRequest is called when any request begins to run.
	onRequest func(id string)

	mu       sync.Mutex
	running  map[string]bool // by request ID
	lastHad  time.Time       // when a request last ran here
	sequence int
	state    string
	// cut is set while the server is partitioned from the store.
	cut   bool
	conns map[net.Conn]bool
	stop  context.CancelFunc
}

// deadlyPath is the path of the requests that crash servers with crashAt.
const deadlyPath = "/stream4/deadly"

// maxWaiting is the number of requests that a server queues.
const maxWaiting = 24

func (w *world) startServer(id, service string, slots int, step time.Duration, kvTokens int) *modelServer {
	s := &modelServer{w: w, id: id, service: service, slots: slots, step: step, kvTokens: kvTokens, running: map[string]bool{}, state: "ready", born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}}
	var err error
	if s.listener, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		cannotRun("server: %v", err)
	}
	s.serve()
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go func() {
		for ctx.Err() == nil {
			s.beat()
			select {
			case <-ctx.Done():
			case <-time.After(1200 * time.Millisecond):
			}
		}
	}()
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	return s
}

// serve serves the listener.
func (s *modelServer) serve() {
	s.server = &http.Server{Handler: s, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if state == http.StateClosed {
			delete(s.conns, c)
		} else {
			s.conns[c] = true
		}
	}}
	go func() { _ = s.server.Serve(s.listener) }()
}

// crash ends the server as the end of its process does: its connections are reset, and it sends
// nothing more.
func (s *modelServer) crash() {
	s.stop()
	s.mu.Lock()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	s.mu.Unlock()
	_ = s.server.Close()
}

// beat writes the server's entry, unless the server is cut from the store.
func (s *modelServer) beat() {
	if write := s.prepareBeat(); !s.isCut() {
		write()
	}
}

func (s *modelServer) isCut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut
}

func (s *modelServer) setCut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

// prepareBeat returns a function that writes the entry as it is now. The store acknowledges the
// write when the function returns.
func (s *modelServer) prepareBeat() (write func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	entry := map[string]any{
		"service": s.service, "address": s.listener.Addr().String(), "zone": "zone-a", "version": "v1", "slots": s.slots, "state": s.state,
		"coldLeftMs": 0, "sequence": s.sequence, "born": s.born,
	}
	return func() { s.w.store.put("servers", s.id, entry) }
}

func (s *modelServer) setOnRequest(f func(id string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onRequest = f
}

// drain reports that the server is draining, and returns when the store has acknowledged that.
func (s *modelServer) drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.prepareBeat()()
}

// load returns the number of requests that run.
func (s *modelServer) load() (running int, lastHad time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.running) > 0 {
		return len(s.running), time.Now()
	}
	return 0, s.lastHad
}

func (s *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Instance-Id", s.id)
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	notRun := func(status int, cause string) {
		s.w.logf("server %s: %s %s not run, status %d: %s", s.id, id, r.URL.Path, status, cause)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(status)
	}
	if id == "" {
		notRun(http.StatusBadRequest, "no id")
		return
	}
	prompt, output := tokenCounts(r.Header.Get("X-Token-Counts"))
	if s.kvTokens > 0 && prompt+output > s.kvTokens {
		// A request that is larger than a server's memory is rejected as if the server were full.
		notRun(http.StatusServiceUnavailable, fmt.Sprintf("%d tokens are more than the memory of %d", prompt+output, s.kvTokens))
		return
	}
	s.mu.Lock()
	if len(s.running) >= s.slots {
		s.mu.Unlock()
		notRun(http.StatusServiceUnavailable, "full")
		return
	}
	s.running[id], s.lastHad = true, time.Now()
	running := len(s.running)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.running, id)
		s.lastHad = time.Now()
		s.mu.Unlock()
	}()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	deadly := s.crashAt > 0 && r.URL.Path == deadlyPath
	if r.URL.Path == deadlyPath && s.onRun != nil {
		s.onRun()
	}
	s.mu.Lock()
	onRequest := s.onRequest
	s.mu.Unlock()
	if onRequest != nil {
		onRequest(id)
	}
	s.w.logf("server %s: %s %s runs after event %d, body of %d bytes", s.id, id, r.URL.Path, after, len(body))
	w.Header().Set("X-Response-Stamp", "stamp-"+s.id+"-"+id)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running, s.slots))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for event := after + 1; event <= output; event++ {
		select {
		case <-r.Context().Done():
			s.w.logf("server %s: %s dropped after event %d, its connection was closed", s.id, id, event-1)
			return
		case <-time.After(s.step):
		}
		if deadly && event == after+s.crashAt {
			s.w.logf("server %s: crashes while it runs %s, after %d events", s.id, id, event-after-1)
			s.crash()
			s.onCrash()
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, eventData(id, event))
		_ = http.NewResponseController(w).Flush()
	}
	s.w.logf("server %s: %s completed", s.id, id)
}

// eventData returns the data of an event of a request.
func eventData(id string, event int) string { return fmt.Sprintf("%s-%d", id, event) }

func tokenCounts(header string) (prompt, output int) {
	a, b, _ := strings.Cut(header, ",")
	prompt, _ = strconv.Atoi(strings.TrimSpace(a))
	output, _ = strconv.Atoi(strings.TrimSpace(b))
	return prompt, output
}
