// Package store is a stand-in for the platform's store. It serves the store's
// protocol over HTTP, with the faults that the platform describes: refusals, silence,
// answers that are lost after the append has taken effect, appends that take effect
// later, and history that is dropped.
package store

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/platform"
)

// Fault is what the store does instead of answering.
type Fault uint8

// The faults.
const (
	// NoFault serves calls.
	NoFault Fault = iota
	// Unavailable refuses with 503.
	Unavailable
	// ResetConnection resets the connection before anything is done.
	ResetConnection
	// LoseResponse does what is asked and resets the connection instead of answering.
	LoseResponse
	// DelayAppend resets the connection and does what is asked when Settle is called.
	DelayAppend
)

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	server *httptest.Server

	mu      sync.Mutex
	parts   map[port.Partition]*partition
	changed chan struct{}
	fault   Fault
	// appends restricts the fault to appends.
	appends bool
	late    []func()
	calls   map[string]int
	// refused holds the partitions that alone refuse calls.
	refused map[port.Partition]bool
}

type partition struct {
	first   int64
	records [][]byte
}

// New starts an empty store.
func New() *Store {
	s := &Store{parts: map[port.Partition]*partition{}, changed: make(chan struct{}), calls: map[string]int{}, refused: map[port.Partition]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.PathAppend, s.append)
	mux.HandleFunc("GET "+platform.PathRead, s.read)
	mux.HandleFunc("GET "+platform.PathNewest, s.newest)
	s.server = httptest.NewServer(mux)
	return s
}

// Address returns the store's IP:PORT.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close ends the store.
func (s *Store) Close() {
	s.SetFault(Unavailable, false)
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetFault makes calls, or only appends, fail from now on.
func (s *Store) SetFault(f Fault, appends bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.appends = f, appends
	s.wake()
}

// RefusePartition makes one partition refuse all calls, as in an outage of a part of the store.
func (s *Store) RefusePartition(topic string, number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[port.Partition{Topic: topic, Number: number}] = true
	s.wake()
}

// ApplyDelayed does the appends that Late held back.
func (s *Store) ApplyDelayed() {
	s.mu.Lock()
	late := s.late
	s.late = nil
	s.mu.Unlock()
	for _, f := range late {
		f()
	}
}

// CallCount returns the number of calls of a path.
func (s *Store) CallCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put appends records, as the platform's other writers do.
func (s *Store) Put(topic string, number int, records ...[]byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(port.Partition{Topic: topic, Number: number})
	at := p.first + int64(len(p.records))
	for _, r := range records {
		p.records = append(p.records, slices.Clone(r))
	}
	s.wake()
	return at
}

// DeleteBefore deletes the records of a partition before an offset.
func (s *Store) DeleteBefore(topic string, number int, before int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(port.Partition{Topic: topic, Number: number})
	if n := min(before-p.first, int64(len(p.records))); n > 0 {
		p.records, p.first = p.records[n:], p.first+n
	}
	s.wake()
}

// wake ends the waits of reads. The lock is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) partition(key port.Partition) *partition {
	p := s.parts[key]
	if p == nil {
		p = &partition{}
		s.parts[key] = p
	}
	return p
}

// failing returns the fault for a call and counts the call.
func (s *Store) failing(r *http.Request, isAppend bool) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[r.URL.Path]++
	if s.refused[target(r)] {
		return Unavailable
	}
	if s.appends && !isAppend {
		return NoFault
	}
	return s.fault
}

// reset closes the connection with a reset.
func reset(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a close that is not a reset serves as well
	}
	_ = conn.Close()
}

func target(r *http.Request) port.Partition {
	number, _ := strconv.Atoi(r.URL.Query().Get(platform.QueryPartition)) // an absent number is 0
	return port.Partition{Topic: r.URL.Query().Get(platform.QueryTopic), Number: number}
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	fault := s.failing(r, true)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, err := platform.DecodeRecords(body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	key := target(r)
	do := func() int64 { return s.Put(key.Topic, key.Number, records...) }
	switch fault {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case ResetConnection:
		reset(w)
	case LoseResponse:
		do()
		reset(w)
	case DelayAppend:
		s.mu.Lock()
		s.late = append(s.late, func() { do() })
		s.mu.Unlock()
		reset(w)
	default:
		at := do()
		answer(w, http.StatusOK, platform.AppendResponse{Offset: &at, EndOffset: at + int64(len(records))})
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that has left needs no answer
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get(platform.QueryFrom), 10, 64)
	wait, _ := strconv.Atoi(query.Get(platform.QueryWait))
	most, _ := strconv.Atoi(query.Get(platform.QueryMaxKilobytes))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for waited := wait == 0; ; {
		if fault := s.failing(r, false); fault == Unavailable {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		} else if fault == ResetConnection {
			reset(w)
			return
		}
		page, expired, changed := s.page(target(r), from, most<<10)
		if expired {
			answer(w, http.StatusGone, platform.ExpiredResponse{FirstOffset: page.First})
			return
		}
		if len(page.Records) > 0 || waited {
			_, _ = w.Write(platform.EncodePage(page)) // a caller that has left needs no answer
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) page(key port.Partition, from int64, most int) (page port.Page, expired bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(key)
	page.First, page.End = p.first, p.first+int64(len(p.records))
	if from < p.first {
		return page, true, s.changed
	}
	size := 0
	for at := from; at < page.End; at++ {
		raw := p.records[at-p.first]
		if len(page.Records) > 0 && size+len(raw) > most {
			break
		}
		size += len(raw)
		page.Records = append(page.Records, port.Record{Offset: at, Payload: raw})
	}
	return page, false, s.changed
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	if fault := s.failing(r, false); fault == Unavailable || fault == ResetConnection {
		reset(w)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(target(r))
	values := map[string]platform.NewestRecord{}
	for i, record := range p.records {
		key, value, ok := platform.DecodeKeyedRecord(record)
		if !ok {
			continue
		}
		if len(value) == 0 {
			delete(values, key)
			continue
		}
		values[key] = platform.NewestRecord{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: p.first + int64(i)}
	}
	page := platform.NewestPage{EndOffset: p.first + int64(len(p.records))}
	for _, v := range values {
		page.Items = append(page.Items, v)
	}
	slices.SortFunc(page.Items, func(a, b platform.NewestRecord) int { return strings.Compare(a.Key, b.Key) })
	answer(w, http.StatusOK, page)
}
