package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in of a model server: it runs as many requests at once as it has slots, refuses
// others as not run, drops a request whose connection closes, and resumes after Last-Event-Id.
type server struct {
	id, service, addr string
	slots             int
	store             *store
	// events and gap say how a request is answered; requests on batch paths get batchEvents.
	events, batchEvents int
	gap, batchGap       time.Duration
	batchPrefix         string
	// onItem, if not nil, is called when an item begins to run.
	onItem func(s *server, item string)
	// log, if not nil, gets the runs of items.
	log *runLog

	http     *http.Server
	mu       sync.Mutex
	ctx      context.Context
	cancel   context.CancelFunc
	running  map[string]bool // by request ID
	sequence int
	born     int64
}

func newServer(st *store, id, service string, slots int) *server {
	return &server{id: id, service: service, slots: slots, store: st, running: map[string]bool{}, born: time.Now().UnixMilli()}
}

func (s *server) start(ctx context.Context) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.addr = l.Addr().String()
	s.http = &http.Server{Handler: s}
	s.ctx, s.cancel = context.WithCancel(ctx)
	ctx = s.ctx
	go s.http.Serve(l)
	s.beat()
	go func() {
		t := time.NewTicker(1200 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				s.beat()
			}
		}
	}()
}

// crash ends the server without a word. The platform removes its entry after three heartbeat intervals.
func (s *server) crash() {
	s.cancel()
	_ = s.http.Close()
	time.AfterFunc(3600*time.Millisecond, func() { s.store.put("keyed.servers", s.id, nil) })
}

func (s *server) beat() {
	s.mu.Lock()
	s.sequence++
	raw, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.addr, "zone": "bp-a", "version": "v1", "slots": s.slots, "state": "ready", "coldLeftMs": 0,
		"stage": "hybrid", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": s.sequence, "born": s.born,
	})
	s.mu.Unlock()
	s.store.put("keyed.servers", s.id, raw)
}

// load returns the number of requests that run.
func (s *server) load() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Instance-Id", s.id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	full := len(s.running) >= s.slots
	if !full {
		s.running[id] = true
	}
	n := len(s.running)
	s.mu.Unlock()
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", n, s.slots))
	if full || id == "" {
		h.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		rec.add("server %s refuses %s: full", s.id, id)
		return
	}
	defer func() {
		s.mu.Lock()
		delete(s.running, id)
		s.mu.Unlock()
	}()
	finished, gap := false, s.gap
	events, isItem := s.events, s.batchPrefix != "" && len(r.URL.Path) >= len(s.batchPrefix) && r.URL.Path[:len(s.batchPrefix)] == s.batchPrefix
	if isItem {
		events, gap = s.batchEvents, s.batchGap
		rec.add("server %s runs item %s after event %q", s.id, id, r.Header.Get("Last-Event-Id"))
		if s.onItem != nil {
			s.onItem(s, id)
		}
		if s.log != nil {
			run := s.log.begin(id)
			defer func() { s.log.done(run, finished) }()
		}
	}
	h.Set("X-Response-Stamp", "stamp-"+id)
	h.Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	flush := http.NewResponseController(w)
	for n := from + 1; n <= events; n++ {
		select {
		case <-r.Context().Done():
			if isItem {
				rec.add("server %s drops item %s before event %d: the connection has closed", s.id, id, n)
			}
			return
		case <-time.After(gap):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", n, id, n); err != nil || flush.Flush() != nil {
			return
		}
	}
	finished = true
	if isItem {
		rec.add("server %s has finished item %s", s.id, id)
	}
}
