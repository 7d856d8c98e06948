package mixed_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/platform"
	"github.com/jacinthnotch/jacinthnotch/standin/store"
)

const (
	slots = 8
	// itemEvents and streamEvents are the numbers of events of an item's and of a stream's response, eventGap apart.
	itemEvents, streamEvents = 20, 3
	eventGap                 = 25 * time.Millisecond
)

// server is a backend server, which responds with events and goes on where a client says that it stopped.
type server struct {
	id      string
	store   *store.Store
	service *service

	mu   sync.Mutex
	born int
	http *http.Server
	// items is the number of batch items that run.
	items int
}

// service is what the servers have run.
type service struct {
	// began receives a value when an item begins, if there is room.
	began chan struct{}
	list  []*server
}

// start starts a process of the server and registers it.
func (s *server) start(t *testing.T) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.born++
	s.http = &http.Server{Handler: s}
	go s.http.Serve(l)
	entry, err := json.Marshal(map[string]any{
		"service": "svc", "address": l.Addr().String(), "zone": "dc0", "version": "v1", "slots": slots, "state": "ready", "sequence": 1, "born": s.born,
	})
	if err != nil {
		t.Fatal(err)
	}
	s.store.Put(platform.ServersTopic, 0, platform.EncodeKeyedRecord(s.id, entry))
}

// crash ends the process of the server with its connections; its entry is removed later.
func (s *server) crash() {
	s.mu.Lock()
	h := s.http
	s.mu.Unlock()
	_ = h.Close()
	time.Sleep(time.Second)
	s.store.Put(platform.ServersTopic, 0, platform.EncodeKeyedRecord(s.id, nil))
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	events := streamEvents
	if strings.HasPrefix(r.URL.Path, "/b/") {
		events = itemEvents
		s.countItems(1)
		defer s.countItems(-1)
		select {
		case s.service.began <- struct{}{}:
		default:
		}
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Stamp", "stamp")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", n, n); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventGap):
		}
	}
}

func (s *server) countItems(n int) {
	s.mu.Lock()
	s.items += n
	s.mu.Unlock()
}

// itemsRunning returns the number of items that run on all servers.
func (v *service) itemsRunning() (n int) {
	for _, s := range v.list {
		s.mu.Lock()
		n += s.items
		s.mu.Unlock()
	}
	return n
}

// startServers starts servers before a store.
func startServers(t *testing.T, n int, st *store.Store) *service {
	t.Helper()
	v := &service{began: make(chan struct{}, 1)}
	for i := range n {
		s := &server{id: fmt.Sprint("i-", i), store: st, service: v}
		s.start(t)
		v.list = append(v.list, s)
	}
	t.Cleanup(func() {
		for _, s := range v.list {
			_ = s.http.Close()
		}
	})
	return v
}
