package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// appendTime is the time that a partition takes for one append (appendMs).
const appendTime = 4 * time.Millisecond

// store is a stand-in of the platform's store in the form of a log. It keeps all that it has
// acknowledged.
type store struct {
	server *http.Server
	addr   string

	mu      sync.Mutex
	parts   map[string]*partition
	changed chan struct{}
}

type partition struct {
	append  sync.Mutex // one append at a time
	records [][]byte
}

func newStore() *store {
	s := &store{parts: map[string]*partition{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.handleAppend)
	mux.HandleFunc("GET /log-read", s.handleRead)
	mux.HandleFunc("GET /log-newest", s.handleNewest)
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(l)
	return s
}

func (s *store) part(topic, number string) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := topic + "/" + number
	if s.parts[key] == nil {
		s.parts[key] = &partition{}
	}
	return s.parts[key]
}

// add appends records unless the partition must end at another offset.
func (s *store) add(p *partition, at int64, records [][]byte) (first int64, ok bool) {
	p.append.Lock()
	defer p.append.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	first = int64(len(p.records))
	if at >= 0 && at != first {
		return first, false
	}
	p.records = append(p.records, records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return first, true
}

// put writes a record of a keyed topic as the operator and the servers do; an empty value drops the key.
func (s *store) put(topic, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.add(s.part(topic, "0"), -1, [][]byte{append(record, value...)})
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if t := q.Get("topic"); t == "keyed.op" || t == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 || uint32(len(body)-4) < binary.BigEndian.Uint32(body) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := binary.BigEndian.Uint32(body)
		records, body = append(records, body[4:4+n]), body[4+n:]
	}
	at := int64(-1)
	if v := q.Get("at"); v != "" {
		at, _ = strconv.ParseInt(v, 10, 64)
	}
	first, ok := s.add(s.part(q.Get("topic"), q.Get("part")), at, records)
	w.Header().Set("Content-Type", "application/json")
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		json.NewEncoder(w).Encode(map[string]int64{"endOffset": first})
		return
	}
	json.NewEncoder(w).Encode(map[string]int64{"offset": first, "endOffset": first + int64(len(records))})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	p := s.part(q.Get("topic"), q.Get("part"))
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	limit := 1024
	if v, err := strconv.Atoi(q.Get("maxKb")); err == nil {
		limit = v
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for over := wait == 0; ; {
		s.mu.Lock()
		changed, end := s.changed, int64(len(p.records))
		var out []byte
		for i := from; i < end && (len(out) == 0 || len(out)+len(p.records[i]) <= limit<<10); i++ {
			out = binary.BigEndian.AppendUint32(out, uint32(len(p.records[i])))
			out = append(out, p.records[i]...)
		}
		s.mu.Unlock()
		if len(out) > 0 || over {
			head := binary.BigEndian.AppendUint64(nil, uint64(end))
			head = binary.BigEndian.AppendUint64(head, 0)
			w.Write(append(head, out...))
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	p := s.part(q.Get("topic"), q.Get("part"))
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	newest := map[string]item{}
	s.mu.Lock()
	end := len(p.records)
	for i, record := range p.records {
		n := int(record[0])
		key, value := string(record[1:1+n]), record[1+n:]
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		newest[key] = item{key, base64.StdEncoding.EncodeToString(value), i}
	}
	s.mu.Unlock()
	items := []item{}
	for _, i := range newest {
		if i.Key > q.Get("after") {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"items": items, "more": more, "endOffset": end})
}
