// Package store is a stand-in for the platform's store. It serves the store's protocol over
// HTTP and injects the faults that the platform describes: refusals, connections that are
// reset, responses that are lost after the append has taken effect, appends that take effect
// late, and records that are deleted.
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

// Fault is a fault to inject into calls.
type Fault uint8

// The faults.
const (
	// NoFault serves calls.
	NoFault Fault = iota
	// Unavailable refuses calls with status 503.
	Unavailable
	// ResetConnection resets the connection, and the call has no effect.
	ResetConnection
	// LoseResponse applies the append and resets the connection instead of responding.
	LoseResponse
	// DelayAppend resets the connection, and the append takes effect when ApplyDelayed is called.
	DelayAppend
)

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	server *httptest.Server

	mu         sync.Mutex
	partitions map[port.Partition]*partition
	changed    chan struct{} // closed and replaced by notify
	fault      Fault
	// appendsOnly restricts the fault to appends.
	appendsOnly bool
	delayed     []func()
	callCounts  map[string]int // by path
	// refusedPartitions refuse all calls, whatever the fault is.
	refusedPartitions map[port.Partition]bool
}

type partition struct {
	first   int64 // offset of the first record
	records [][]byte
}

// New starts an empty store.
func New() *Store {
	s := &Store{partitions: map[port.Partition]*partition{}, changed: make(chan struct{}), callCounts: map[string]int{}, refusedPartitions: map[port.Partition]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.PathAppend, s.handleAppend)
	mux.HandleFunc("GET "+platform.PathRead, s.handleRead)
	mux.HandleFunc("GET "+platform.PathNewest, s.handleNewest)
	s.server = httptest.NewServer(mux)
	return s
}

// Address returns the store's IP:PORT.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close stops the store and closes its connections.
func (s *Store) Close() {
	s.SetFault(Unavailable, false)
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetFault sets the fault to inject into all calls, or into appends only.
func (s *Store) SetFault(f Fault, appendsOnly bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.appendsOnly = f, appendsOnly
	s.notify()
}

// RefusePartition makes a partition refuse all calls, as in a partial outage of the store.
func (s *Store) RefusePartition(topic string, number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedPartitions[port.Partition{Topic: topic, Number: number}] = true
	s.notify()
}

// ApplyDelayed applies the appends that DelayAppend delayed.
func (s *Store) ApplyDelayed() {
	s.mu.Lock()
	delayed := s.delayed
	s.delayed = nil
	s.mu.Unlock()
	for _, apply := range delayed {
		apply()
	}
}

// CallCount returns the number of calls of a path. A read that waits counts once for each
// time that it checks for records.
func (s *Store) CallCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCounts[path]
}

// Put appends records, like a writer other than this project, and returns the offset of the
// first one. Faults do not affect it.
func (s *Store) Put(topic string, number int, records ...[]byte) int64 {
	offset, _ := s.putAt(port.Partition{Topic: topic, Number: number}, "", records)
	return offset
}

// putAt appends records on the condition that the partition ends at the offset at, if there
// is one. It returns the offset of the first record or, if it returns false, the end.
func (s *Store) putAt(key port.Partition, at string, records [][]byte) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(key)
	end := p.first + int64(len(p.records))
	if at != "" && at != strconv.FormatInt(end, 10) {
		return end, false
	}
	for _, r := range records {
		p.records = append(p.records, slices.Clone(r))
	}
	s.notify()
	return end, true
}

// DeleteBefore deletes the records of a partition before an offset, as if they had expired.
func (s *Store) DeleteBefore(topic string, number int, before int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(port.Partition{Topic: topic, Number: number})
	if n := min(before-p.first, int64(len(p.records))); n > 0 {
		p.records, p.first = p.records[n:], p.first+n
	}
	s.notify()
}

// notify wakes the waiting reads. The caller holds mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// partition returns a partition, which is created if it does not exist. The caller holds mu.
func (s *Store) partition(key port.Partition) *partition {
	p := s.partitions[key]
	if p == nil {
		p = &partition{}
		s.partitions[key] = p
	}
	return p
}

// countCall counts a call and returns the fault to inject into it.
func (s *Store) countCall(r *http.Request, isAppend bool) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callCounts[r.URL.Path]++
	if s.refusedPartitions[requestedPartition(r)] {
		return Unavailable
	}
	if s.appendsOnly && !isAppend {
		return NoFault
	}
	return s.fault
}

// resetConnection closes the connection of a request with a TCP reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // after an error, Close closes the connection without a reset
	}
	_ = conn.Close()
}

// requestedPartition returns the partition that a call names.
func requestedPartition(r *http.Request) port.Partition {
	number, _ := strconv.Atoi(r.URL.Query().Get(platform.QueryPartition)) // 0 if it is missing
	return port.Partition{Topic: r.URL.Query().Get(platform.QueryTopic), Number: number}
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	fault := s.countCall(r, true)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, err := platform.DecodeRecords(body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	key := requestedPartition(r)
	// The condition of an append is checked when it takes effect.
	apply := func() (int64, bool) { return s.putAt(key, r.URL.Query().Get(platform.QueryAt), records) }
	switch fault {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case ResetConnection:
		resetConnection(w)
	case LoseResponse:
		apply()
		resetConnection(w)
	case DelayAppend:
		s.mu.Lock()
		s.delayed = append(s.delayed, func() { apply() })
		s.mu.Unlock()
		resetConnection(w)
	default:
		offset, ok := apply()
		if !ok {
			writeJSON(w, http.StatusPreconditionFailed, platform.AppendResponse{EndOffset: offset})
			return
		}
		writeJSON(w, http.StatusOK, platform.AppendResponse{Offset: &offset, EndOffset: offset + int64(len(records))})
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get(platform.QueryFrom), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get(platform.QueryWait))
	maxKilobytes, _ := strconv.Atoi(query.Get(platform.QueryMaxKilobytes))
	timeout := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timeout.Stop()
	for timedOut := waitMs == 0; ; {
		if fault := s.countCall(r, false); fault == Unavailable {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		} else if fault == ResetConnection {
			resetConnection(w)
			return
		}
		page, expired, changed := s.page(requestedPartition(r), from, maxKilobytes<<10)
		if expired {
			writeJSON(w, http.StatusGone, platform.ExpiredResponse{FirstOffset: page.First})
			return
		}
		if len(page.Records) > 0 || timedOut {
			_, _ = w.Write(platform.EncodePage(page)) // the client may have disconnected
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// page returns the records at offset from and later, up to maxBytes but at least one record if
// there is one, and a channel that is closed by the next change. It sets expired if the record at
// that offset has been deleted.
func (s *Store) page(key port.Partition, from int64, maxBytes int) (page port.Page, expired bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(key)
	page.First, page.End = p.first, p.first+int64(len(p.records))
	if from < p.first {
		return page, true, s.changed
	}
	size := 0
	for offset := from; offset < page.End; offset++ {
		payload := p.records[offset-p.first]
		if len(page.Records) > 0 && size+len(payload) > maxBytes {
			break
		}
		size += len(payload)
		page.Records = append(page.Records, port.Record{Offset: offset, Payload: payload})
	}
	return page, false, s.changed
}

// handleNewest serves the newest record of each key. A record with an empty value deletes
// its key.
func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	if fault := s.countCall(r, false); fault == Unavailable || fault == ResetConnection {
		resetConnection(w)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(requestedPartition(r))
	newest := map[string]platform.NewestRecord{}
	for i, record := range p.records {
		key, value, ok := platform.DecodeKeyedRecord(record)
		if !ok {
			continue
		}
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		newest[key] = platform.NewestRecord{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: p.first + int64(i)}
	}
	page := platform.NewestPage{EndOffset: p.first + int64(len(p.records))}
	for _, n := range newest {
		page.Items = append(page.Items, n)
	}
	slices.SortFunc(page.Items, func(a, b platform.NewestRecord) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, http.StatusOK, page)
}
