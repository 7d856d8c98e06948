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
	"sync"
	"time"
)

// The limits of the store as PROTOCOL.md and DEPLOY.md state them.
const (
	storeTotalBytes = 400 << 20
	appendTime      = 4 * time.Millisecond
	maxRecordBytes  = 262144
	maxCallBytes    = 2097152
)

// store is a stand-in for the platform's store. It speaks the part of the protocol that the
// system uses: log-append (with at), log-read, log-newest, log-trim.
type store struct {
	address string
	server  *http.Server
	// limit is the number of bytes from which appends get 507; zero for no limit.
	limit int64

	mu      sync.Mutex
	parts   map[string]*part
	changed chan struct{}
	bytes   int64
	full    int // the appends that got 507
}

type part struct {
	first   int64
	records [][]byte
	// busy is held while an append takes its time.
	busy sync.Mutex
}

func newStore(limit int64) *store {
	s := &store{limit: limit, parts: map[string]*part{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		cannotRun("store: %v", err)
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.appendCall)
	mux.HandleFunc("GET /log-read", s.readCall)
	mux.HandleFunc("GET /log-newest", s.newestCall)
	mux.HandleFunc("POST /log-trim", s.trimCall)
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(l)
	return s
}

// get returns a partition; the lock must be held.
func (s *store) get(topic string, n int) *part {
	key := topic + "/" + strconv.Itoa(n)
	p := s.parts[key]
	if p == nil {
		p = &part{}
		s.parts[key] = p
	}
	return p
}

func partOf(r *http.Request) (string, int) {
	n, _ := strconv.Atoi(r.URL.Query().Get("part"))
	return r.URL.Query().Get("topic"), n
}

// put appends records and returns the offset of the first one.
func (s *store) put(topic string, n int, records ...[]byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.get(topic, n)
	at := p.first + int64(len(p.records))
	for _, r := range records {
		p.records = append(p.records, r)
		s.bytes += int64(len(r))
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return at
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (s *store) appendCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 || int(binary.BigEndian.Uint32(rest)) > len(rest)-4 {
			answerJSON(w, 400, map[string]any{"why": "framing"})
			return
		}
		n := int(binary.BigEndian.Uint32(rest))
		if n > maxRecordBytes {
			answerJSON(w, 413, map[string]any{"why": "record"})
			return
		}
		records, rest = append(records, rest[4:4+n:4+n]), rest[4+n:]
	}
	if len(body) > maxCallBytes {
		answerJSON(w, 413, map[string]any{"why": "call"})
		return
	}
	topic, n := partOf(r)
	s.mu.Lock()
	p := s.get(topic, n)
	s.mu.Unlock()
	p.busy.Lock()
	time.Sleep(appendTime)
	p.busy.Unlock()
	s.mu.Lock()
	if s.limit > 0 && s.bytes >= s.limit {
		s.full++
		s.mu.Unlock()
		answerJSON(w, 507, map[string]any{"why": "full"})
		return
	}
	end := p.first + int64(len(p.records))
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(end, 10) {
		s.mu.Unlock()
		answerJSON(w, 412, map[string]any{"endOffset": end})
		return
	}
	s.mu.Unlock()
	at := s.put(topic, n, records...)
	answerJSON(w, 200, map[string]any{"offset": at, "endOffset": at + int64(len(records))})
}

func (s *store) readCall(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	maxKb, _ := strconv.Atoi(q.Get("maxKb"))
	if maxKb <= 0 || maxKb > 1024 {
		maxKb = 1024
	}
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	topic, n := partOf(r)
	time.Sleep(appendTime)
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for last := waitMs == 0; ; {
		s.mu.Lock()
		p := s.get(topic, n)
		first, end := p.first, p.first+int64(len(p.records))
		if from < first {
			s.mu.Unlock()
			answerJSON(w, 410, map[string]any{"firstOffset": first})
			return
		}
		var out []byte
		for o := from; o < end; o++ {
			rec := p.records[o-first]
			if len(out) > 0 && len(out)+len(rec)+4 > maxKb<<10 {
				break
			}
			out = append(binary.BigEndian.AppendUint32(out, uint32(len(rec))), rec...)
		}
		changed := s.changed
		s.mu.Unlock()
		if len(out) > 0 || last {
			head := binary.BigEndian.AppendUint64(nil, uint64(end))
			head = binary.BigEndian.AppendUint64(head, uint64(first))
			w.Write(append(head, out...))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newestCall(w http.ResponseWriter, r *http.Request) {
	topic, n := partOf(r)
	after := r.URL.Query().Get("after")
	time.Sleep(appendTime)
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	p := s.get(topic, n)
	newest := map[string]item{}
	for i, rec := range p.records {
		if len(rec) == 0 || len(rec) < 1+int(rec[0]) {
			continue
		}
		key, value := string(rec[1:1+rec[0]]), rec[1+int(rec[0]):]
		delete(newest, key)
		if len(value) > 0 && key > after {
			newest[key] = item{key, base64.StdEncoding.EncodeToString(value), p.first + int64(i)}
		}
	}
	end := p.first + int64(len(p.records))
	s.mu.Unlock()
	items := make([]item, 0, len(newest))
	for _, i := range newest {
		items = append(items, i)
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	answerJSON(w, 200, map[string]any{"items": items, "more": false, "endOffset": end})
}

func (s *store) trimCall(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Topic        string `json:"topic"`
		Part         int    `json:"part"`
		BeforeOffset int64  `json:"beforeOffset"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		answerJSON(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	p := s.get(in.Topic, in.Part)
	for p.first < in.BeforeOffset && len(p.records) > 0 {
		s.bytes -= int64(len(p.records[0]))
		p.records, p.first = p.records[1:], p.first+1
	}
	s.mu.Unlock()
	answerJSON(w, 200, map[string]any{})
}

// stats returns the bytes that the store holds and the number of the appends that got 507.
func (s *store) stats() (bytes int64, full int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes, s.full
}

func keyed(key string, value []byte) []byte {
	return append(append([]byte{byte(len(key))}, key...), value...)
}
