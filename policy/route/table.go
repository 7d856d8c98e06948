package route

import (
	"slices"
	"time"
)

// Role is the phase of inference that a server runs.
type Role uint8

// The roles of a server. A server with RoleBoth serves any request.
const (
	RoleBoth Role = iota
	RolePrefill
	RoleDecode
)

// Server describes a backend server and what it has loaded.
type Server struct {
	ID         string
	DataCentre string
	// Model, Version and Adapters are what the server has loaded.
	Model    string
	Version  string
	Adapters []string
	Role     Role
	// Slots is the number of streams that the engine runs concurrently. A load
	// report with another number replaces it.
	Slots int
}

// Options configure a Table. NewTable replaces zero values by the defaults.
type Options struct {
	// DataCentre is where this instance runs.
	DataCentre string
	// RemoteRTT is the network round trip added to the expected latency of a
	// server in another data centre. Default 1 ms, at 0.5 ms one way.
	RemoteRTT time.Duration
	// PrefillTimePerToken and DecodeTimePerToken are assumed for a server with
	// neither reported rates nor samples. Defaults 125 us and 30 ms.
	PrefillTimePerToken time.Duration
	DecodeTimePerToken  time.Duration
	// LoadBound bounds the load of a server that is preferred for its prefix
	// cache, as a multiple of the mean load of the eligible servers. Default
	// 1.25, the usual value for consistent hashing with bounded loads.
	LoadBound float64
	// CacheEntries bounds the prefixes recorded for each server's cache.
	// Default 4096.
	CacheEntries int
	// Picker selects among the eligible servers. Default PowerOfTwo.
	Picker Picker
}

const (
	defaultRemoteRTT           = time.Millisecond
	defaultPrefillTimePerToken = 125 * time.Microsecond
	defaultDecodeTimePerToken  = 30 * time.Millisecond
	defaultLoadBound           = 1.25
	defaultCacheEntries        = 4096
	defaultSlots               = 16
)

// LoadReport is a server's load report as this instance received it.
type LoadReport struct {
	// At is when the server measured its load.
	At       time.Time
	Running  int
	Waiting  int
	MaxSlots int
	// Batch is the number of streams that an online request can preempt; zero
	// when that is not known.
	Batch int
	// KVUsed is the used share of the KV memory, 0 to 1.
	KVUsed float64
	// PrefillRate is in tokens per second of the whole engine, DecodeRate in
	// tokens per second of one stream; zero when not reported.
	PrefillRate float64
	DecodeRate  float64
}

// CacheEvent reports that a prefix was added to or evicted from a server's cache.
type CacheEvent struct {
	Seq     uint64
	Prefix  uint64
	Tokens  int
	Evicted bool
}

// loadDelta is a change of the number of this instance's streams on a server.
type loadDelta struct {
	at      time.Time
	streams int // 1 or -1
}

type server struct {
	Server
	live        bool // false for an unused element of Table.servers
	leaving     bool
	runsSuspect bool
	onlineFirst bool    // online requests are routed here first, see Steer
	weight      float64 // health weight, 0 to 1

	inFlight            int // requests of this instance, batch included
	batchInFlight       int
	pendingPromptTokens int // prompt tokens of requests without a first token

	report    LoadReport
	hasReport bool
	deltas    []loadDelta // since the last report, oldest first
	deltaSum  int         // sum of deltas

	secondsPerPromptToken float64 // moving average of the whole engine
	secondsPerOutputToken float64 // moving average of one stream
	prefillSampled        bool    // samples have precedence over reported rates
	decodeSampled         bool

	cachedPrefixes map[uint64]int // tokens of each prefix in the cache
	lastCacheSeq   uint64
}

// holder is a server that has a prefix in its cache.
type holder struct {
	server int32 // index in Table.servers
	tokens int32
}

// Table is the routing table of one instance.
type Table struct {
	opt        Options
	servers    []server
	index      map[string]int      // index in servers by server ID
	holders    map[uint64][]holder // by prefix
	roundRobin int                 // position of the RoundRobin picker

	steering     bool    // batch work runs and online-first servers are selected
	onlineDemand float64 // moving average of the online streams of all servers

	// Moving averages over this instance's requests.
	meanPromptTokens float64 // not expected in the prefix cache
	meanOutputTokens float64 // of online answers

	// Results of filter, kept so that Pick does not allocate.
	eligible         []int32
	cumulativeWeight []float64
}

// NewTable returns an empty table.
func NewTable(opt Options) *Table {
	if opt.RemoteRTT == 0 {
		opt.RemoteRTT = defaultRemoteRTT
	}
	if opt.PrefillTimePerToken == 0 {
		opt.PrefillTimePerToken = defaultPrefillTimePerToken
	}
	if opt.DecodeTimePerToken == 0 {
		opt.DecodeTimePerToken = defaultDecodeTimePerToken
	}
	if opt.LoadBound == 0 {
		opt.LoadBound = defaultLoadBound
	}
	if opt.CacheEntries == 0 {
		opt.CacheEntries = defaultCacheEntries
	}
	return &Table{
		opt: opt, index: map[string]int{}, holders: map[uint64][]holder{},
		meanPromptTokens: 512, meanOutputTokens: 128,
	}
}

// Upsert adds a server or replaces its description. The load, cache contents and
// measured times of a known server are kept.
func (t *Table) Upsert(s Server) {
	if s.Slots <= 0 {
		s.Slots = defaultSlots
	}
	if i, ok := t.index[s.ID]; ok {
		t.servers[i].Server = s
		return
	}
	fresh := server{
		Server: s, live: true, weight: 1,
		secondsPerPromptToken: t.opt.PrefillTimePerToken.Seconds(), secondsPerOutputToken: t.opt.DecodeTimePerToken.Seconds(),
		cachedPrefixes: map[uint64]int{},
	}
	i := slices.IndexFunc(t.servers, func(o server) bool { return !o.live })
	if i < 0 {
		i = len(t.servers)
		t.servers = append(t.servers, fresh)
		t.eligible = make([]int32, 0, cap(t.servers))
		t.cumulativeWeight = make([]float64, 0, cap(t.servers))
	} else {
		t.servers[i] = fresh
	}
	t.index[s.ID] = i
}

// Remove removes a server with all that is known of it.
func (t *Table) Remove(id string) {
	i, ok := t.index[id]
	if !ok {
		return
	}
	t.dropCache(i)
	delete(t.index, id)
	t.servers[i] = server{}
}

// Len returns the number of servers in the table.
func (t *Table) Len() int { return len(t.index) }

// SetLeaving sets whether the server is leaving. A leaving server gets no new
// requests.
func (t *Table) SetLeaving(id string, leaving bool) {
	if s := t.lookup(id); s != nil {
		s.leaving = leaving
	}
}

// SetWeight sets the server's health weight, from 0 (ejected) to 1 (healthy).
func (t *Table) SetWeight(id string, weight float64) {
	if s := t.lookup(id); s != nil {
		s.weight = min(max(weight, 0), 1)
	}
}

// SetRunsSuspect sets whether the server runs a suspect. Such a server gets no
// second suspect.
func (t *Table) SetRunsSuspect(id string, running bool) {
	if s := t.lookup(id); s != nil {
		s.runsSuspect = running
	}
}

// LoadReported records a load report. A report older than the last is ignored.
func (t *Table) LoadReported(id string, r LoadReport) {
	s := t.lookup(id)
	if s == nil || s.hasReport && r.At.Before(s.report.At) {
		return
	}
	s.report, s.hasReport = r, true
	if r.MaxSlots > 0 {
		s.Slots = r.MaxSlots
	}
	if !s.prefillSampled && r.PrefillRate > 0 {
		s.secondsPerPromptToken = 1 / r.PrefillRate
	}
	if !s.decodeSampled && r.DecodeRate > 0 {
		s.secondsPerOutputToken = 1 / r.DecodeRate
	}
	newer := s.deltas[:0]
	s.deltaSum = 0
	for _, d := range s.deltas {
		if d.at.After(r.At) {
			newer = append(newer, d)
			s.deltaSum += d.streams
		}
	}
	s.deltas = newer
}

// CacheEvents records the next page of a server's cache events. When the sequence
// numbers have a gap, the recorded cache contents are discarded, because the
// missing events may include evictions.
func (t *Table) CacheEvents(id string, events []CacheEvent) {
	i, ok := t.index[id]
	if !ok {
		return
	}
	s := &t.servers[i]
	for _, e := range events {
		if e.Seq <= s.lastCacheSeq && s.lastCacheSeq != 0 {
			continue
		}
		if s.lastCacheSeq != 0 && e.Seq != s.lastCacheSeq+1 {
			t.dropCache(i)
		}
		s.lastCacheSeq = e.Seq
		t.removeHolder(e.Prefix, i)
		if e.Evicted || len(s.cachedPrefixes) >= t.opt.CacheEntries {
			continue
		}
		s.cachedPrefixes[e.Prefix] = e.Tokens
		t.holders[e.Prefix] = append(t.holders[e.Prefix], holder{int32(i), int32(e.Tokens)})
	}
}

// dropCache discards the recorded cache contents of a server.
func (t *Table) dropCache(i int) {
	for prefix := range t.servers[i].cachedPrefixes {
		t.removeHolder(prefix, i)
	}
}

func (t *Table) removeHolder(prefix uint64, i int) {
	s := &t.servers[i]
	if _, ok := s.cachedPrefixes[prefix]; !ok {
		return
	}
	delete(s.cachedPrefixes, prefix)
	others := slices.DeleteFunc(t.holders[prefix], func(h holder) bool { return int(h.server) == i })
	if len(others) == 0 {
		delete(t.holders, prefix)
		return
	}
	t.holders[prefix] = others
}

func (t *Table) lookup(id string) *server {
	if i, ok := t.index[id]; ok {
		return &t.servers[i]
	}
	return nil
}
