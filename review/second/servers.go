package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const beatInterval = 1200 * time.Millisecond

// backend is a stand-in for a server of a service. It writes its entry into the store, runs
// requests in slots and answers streams with events, as PROTOCOL.md says.
type backend struct {
	id, service, zone, address string
	store                      *store
	rec                        *recorder
	slots                      chan struct{}
	running                    atomic.Int32
	events                     int
	gap                        time.Duration
	born                       int64
	// onRun, if not nil, may serve a request itself.
	onRun func(w http.ResponseWriter, r *http.Request, body []byte) bool

	mu       sync.Mutex
	state    string
	sequence int64
}

func newBackend(s *store, rec *recorder, id, service, zone string, slots, events int, gap time.Duration) *backend {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		cannotRun("server: %v", err)
	}
	b := &backend{id: id, service: service, zone: zone, address: l.Addr().String(), store: s, rec: rec, slots: make(chan struct{}, slots),
		events: events, gap: gap, born: time.Now().UnixMilli(), state: "ready"}
	go (&http.Server{Handler: b}).Serve(l)
	b.beat()
	go func() {
		for {
			time.Sleep(beatInterval)
			b.beat()
		}
	}()
	return b
}

// beat writes the entry.
func (b *backend) beat() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	raw, _ := json.Marshal(map[string]any{"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": cap(b.slots),
		"state": b.state, "coldLeftMs": 0, "sequence": b.sequence, "born": b.born})
	b.store.put("keyed.servers", 0, keyed(b.id, raw))
}

func (b *backend) load() string {
	return fmt.Sprintf("%d,0,%d", b.running.Load(), cap(b.slots))
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	h.Set("X-Instance-Id", b.id)
	h.Set("X-Server-Load", b.load())
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	b.rec.server("arrives", b.id, id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case b.slots <- struct{}{}:
	default:
		h.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.running.Add(1)
	defer func() { b.running.Add(-1); <-b.slots }()
	b.rec.server("runs", b.id, id)
	h.Set("X-Response-Stamp", "stamp."+b.id+"."+id)
	if b.onRun != nil && b.onRun(w, r, body) {
		return
	}
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	h.Set("Content-Type", "text/event-stream")
	for n := first + 1; n <= b.events; n++ {
		select {
		case <-time.After(b.gap):
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, n))
		w.(http.Flusher).Flush()
	}
	b.rec.server("finished", b.id, id)
}

func eventData(id string, n int) string { return fmt.Sprintf("piece %d of %s", n, id) }
