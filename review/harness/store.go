package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: the log of PROTOCOL.md with its
// keyed topics, without faults of its own.
type store struct {
	listener net.Listener
	server   *http.Server

	mu         sync.Mutex
	partitions map[string][][]byte
	changed    chan struct{}
	// readsPerS is the number of read calls that are answered in a second, each after readTime; zero
	// for no limit. Calls beyond it are rejected with 429.
	readsPerS int
	readTime  time.Duration
	// second is the second to which reads and rejected belong.
	second          int64
	reads, rejected int
}

// limitReads makes the store answer each read call after a time, and only so many in a second.
func (s *store) limitReads(perS int, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readsPerS, s.readTime = perS, after
}

// admitRead returns true, after readTime, if a read call is within the limit of its second, and
// rejects it otherwise.
func (s *store) admitRead(w http.ResponseWriter) bool {
	s.mu.Lock()
	if now := time.Now().Unix(); now != s.second {
		if s.rejected > 0 {
			current.logf("store: of %d read calls in this second %d were rejected with 429", s.reads, s.rejected)
		}
		s.second, s.reads, s.rejected = now, 0, 0
	}
	s.reads++
	admitted, readTime := s.readsPerS == 0 || s.reads <= s.readsPerS, s.readTime
	if !admitted {
		s.rejected++
	}
	s.mu.Unlock()
	if !admitted {
		w.WriteHeader(http.StatusTooManyRequests)
		return false
	}
	time.Sleep(readTime)
	return true
}

func newStore() *store {
	s := &store{partitions: map[string][][]byte{}, changed: make(chan struct{})}
	var err error
	if s.listener, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		cannotRun("store: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.handleAppend)
	mux.HandleFunc("GET /log-read", s.handleRead)
	mux.HandleFunc("GET /log-newest", s.handleNewest)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(s.listener) }()
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

// append appends records and returns the offset of the first one. If at is not negative, it
// appends only if the partition ends there.
func (s *store) append(partition string, at int64, records [][]byte) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(s.partitions[partition]))
	if at >= 0 && at != end {
		return end, false
	}
	s.partitions[partition] = append(s.partitions[partition], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return end, true
}

// put writes the value of a key of a keyed topic, as the operator and the servers do. It returns
// when the store has acknowledged the write. A nil value drops the key.
func (s *store) put(topic, key string, value any) {
	record := append([]byte{byte(len(key))}, key...)
	if value != nil {
		raw, err := json.Marshal(value)
		if err != nil {
			cannotRun("value of %s: %v", key, err)
		}
		record = append(record, raw...)
	}
	s.append("keyed."+topic+"/0", -1, [][]byte{record})
}

func partitionOf(r *http.Request) string {
	q := r.URL.Query()
	part := q.Get("part")
	if part == "" {
		part = "0"
	}
	return q.Get("topic") + "/" + part
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if topic := r.URL.Query().Get("topic"); topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			break
		}
		records, body = append(records, append([]byte(nil), body[4:4+n]...)), body[4+n:]
	}
	if len(body) > 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	at := int64(-1)
	if v := r.URL.Query().Get("at"); v != "" {
		at, _ = strconv.ParseInt(v, 10, 64)
	}
	time.Sleep(4 * time.Millisecond)
	offset, ok := s.append(partitionOf(r), at, records)
	w.Header().Set("Content-Type", "application/json")
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"endOffset": offset})
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"offset": offset, "endOffset": offset + int64(len(records))})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	if !s.admitRead(w) {
		return
	}
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	maxKb, _ := strconv.Atoi(q.Get("maxKb"))
	if maxKb <= 0 || maxKb > 1024 {
		maxKb = 1024
	}
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for timedOut := waitMs == 0; ; {
		s.mu.Lock()
		records, changed := s.partitions[partitionOf(r)], s.changed
		s.mu.Unlock()
		end := int64(len(records))
		if from < end || timedOut {
			raw := binary.BigEndian.AppendUint64(nil, uint64(end))
			raw = binary.BigEndian.AppendUint64(raw, 0)
			for i := from; i < end; i++ {
				if len(raw) > 16 && len(raw)+len(records[i]) > maxKb<<10 {
					break
				}
				raw = binary.BigEndian.AppendUint32(raw, uint32(len(records[i])))
				raw = append(raw, records[i]...)
			}
			_, _ = w.Write(raw)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	if !s.admitRead(w) {
		return
	}
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	records := s.partitions[partitionOf(r)]
	s.mu.Unlock()
	newest := map[string]item{}
	for i, record := range records {
		n := 1 + int(record[0])
		key := string(record[1:n])
		if len(record) == n {
			delete(newest, key)
			continue
		}
		newest[key] = item{key, base64.StdEncoding.EncodeToString(record[n:]), int64(i)}
	}
	items, after := []item{}, r.URL.Query().Get("after")
	for key, i := range newest {
		if strings.Compare(key, after) > 0 {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "endOffset": len(records)})
}
