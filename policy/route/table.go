package route

import (
	"slices"
	"time"
)

// Role is what a server does for its requests.
type Role uint8

// The roles of a server. A server with RoleBoth serves any request.
const (
	RoleBoth Role = iota
	RolePrefill
	RoleDecode
)

// Server describes what a backend server is and holds.
type Server struct {
	ID         string
	DataCentre string
	// Model, Version and Adapters are what the server has loaded.
	Model    string
	Version  string
	Adapters []string
	Role     Role
	// Slots is the number of streams that the engine runs at once. The load
	// report replaces it when it says otherwise.
	Slots int
}

// Options are the constants of a Table. NewTable replaces zero values by the
// defaults.
type Options struct {
	// DataCentre is where this instance runs.
	DataCentre string
	// RemoteRTT is added to the expected time of a server in another data
	// centre. Default 1 ms, a round trip at 0.5 ms one way.
	RemoteRTT time.Duration
	// PrefillTimePerToken and DecodeTime are the times per token assumed for a server
	// of which nothing is known. Defaults 125 us and 30 ms.
	PrefillTimePerToken time.Duration
	DecodeTimePerToken  time.Duration
	// LoadBound bounds the load of a server that is preferred for its prefix
	// cache, as a multiple of the mean load of the eligible servers. Default
	// 1.25, the usual value for consistent hashing with bounded loads.
	LoadBound float64
	// CacheEntries bounds the cache entries kept for each server. Default 4096.
	CacheEntries int
	// Picker chooses among the eligible servers. Default PowerOfTwo.
	Picker Picker
}

const (
	defaultDistance     = time.Millisecond
	defaultPrefillTime  = 125 * time.Microsecond
	defaultDecodeTime   = 30 * time.Millisecond
	defaultLoadBound    = 1.25
	defaultCacheEntries = 4096
	defaultSlots        = 16
)

// LoadReport is a server's load report as this instance received it.
type LoadReport struct {
	// At is when the server measured it.
	At       time.Time
	Running  int
	Waiting  int
	MaxSlots int
	// Batch is how many of the streams are batch work that yields to an online
	// request; zero when that is not known.
	Batch int
	// KVUsed is the used share of the KV memory, 0 to 1.
	KVUsed float64
	// PrefillRate and DecodeRate are tokens per second, of the whole engine
	// and of one stream; zero when not reported.
	PrefillRate float64
	DecodeRate  float64
}

// CacheEvent says that a prefix entered or left a server's cache.
type CacheEvent struct {
	Seq     uint64
	Prefix  uint64
	Tokens  int
	Evicted bool
}

// change is a change of this instance's own streams on a server.
type change struct {
	at time.Time
	by int
}

type server struct {
	Server
	live        bool
	leaving     bool
	suspectBusy bool
	first       bool // takes online requests first, see Steer
	weight      float64

	inFlight int
	batch    int
	prefill  int // prompt tokens sent that have no first token yet

	report    LoadReport
	hasReport bool
	changes   []change
	since     int // sum of changes

	prefillTime float64 // seconds for a prompt token, learned
	decodeTime  float64 // seconds for an output token of one stream, learned
	learned     bool
	measured    bool

	cache    map[uint64]int
	cacheSeq uint64
}

type holder struct {
	server int32
	tokens int32
}

// Table is one instance's view of the servers that it may use.
type Table struct {
	opt     Options
	servers []server
	index   map[string]int
	holders map[uint64][]holder
	next    int // round-robin position

	steered bool
	need    float64 // recent online streams of the fleet

	meanPrompt float64
	meanOutput float64

	eligible   []int32
	cumulative []float64
}

// NewTable returns an empty table.
func NewTable(opt Options) *Table {
	if opt.RemoteRTT == 0 {
		opt.RemoteRTT = defaultDistance
	}
	if opt.PrefillTimePerToken == 0 {
		opt.PrefillTimePerToken = defaultPrefillTime
	}
	if opt.DecodeTimePerToken == 0 {
		opt.DecodeTimePerToken = defaultDecodeTime
	}
	if opt.LoadBound == 0 {
		opt.LoadBound = defaultLoadBound
	}
	if opt.CacheEntries == 0 {
		opt.CacheEntries = defaultCacheEntries
	}
	return &Table{
		opt: opt, index: map[string]int{}, holders: map[uint64][]holder{},
		meanPrompt: 512, meanOutput: 128,
	}
}

// Upsert adds a server or replaces its description. What was learned about a
// known server is kept.
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
		prefillTime: t.opt.PrefillTimePerToken.Seconds(), decodeTime: t.opt.DecodeTimePerToken.Seconds(),
		cache: map[uint64]int{},
	}
	i := slices.IndexFunc(t.servers, func(o server) bool { return !o.live })
	if i < 0 {
		i = len(t.servers)
		t.servers = append(t.servers, fresh)
		t.eligible = make([]int32, 0, cap(t.servers))
		t.cumulative = make([]float64, 0, cap(t.servers))
	} else {
		t.servers[i] = fresh
	}
	t.index[s.ID] = i
}

// Remove forgets a server.
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

// SetLeaving marks a server that gets no new work.
func (t *Table) SetLeaving(id string, leaving bool) {
	if s := t.get(id); s != nil {
		s.leaving = leaving
	}
}

// SetWeight sets the health weight, 0 (ejected) to 1 (healthy).
func (t *Table) SetWeight(id string, weight float64) {
	if s := t.get(id); s != nil {
		s.weight = min(max(weight, 0), 1)
	}
}

// SetRunsSuspect says that the server runs a suspect, so that it gets no
// second one.
func (t *Table) SetRunsSuspect(id string, busy bool) {
	if s := t.get(id); s != nil {
		s.suspectBusy = busy
	}
}

// LoadReported takes in a load report. An older report than the last is ignored.
func (t *Table) LoadReported(id string, r LoadReport) {
	s := t.get(id)
	if s == nil || s.hasReport && r.At.Before(s.report.At) {
		return
	}
	s.report, s.hasReport = r, true
	if r.MaxSlots > 0 {
		s.Slots = r.MaxSlots
	}
	if !s.learned && r.PrefillRate > 0 {
		s.prefillTime = 1 / r.PrefillRate
	}
	if !s.measured && r.DecodeRate > 0 {
		s.decodeTime = 1 / r.DecodeRate
	}
	keep := s.changes[:0]
	s.since = 0
	for _, c := range s.changes {
		if c.at.After(r.At) {
			keep = append(keep, c)
			s.since += c.by
		}
	}
	s.changes = keep
}

// CacheEvents takes in a page of cache events that follows the page before.
// When the sequence has a gap, what was known of the server's cache is
// dropped, because evictions may be among the lost events.
func (t *Table) CacheEvents(id string, events []CacheEvent) {
	i, ok := t.index[id]
	if !ok {
		return
	}
	s := &t.servers[i]
	for _, e := range events {
		if e.Seq <= s.cacheSeq && s.cacheSeq != 0 {
			continue
		}
		if s.cacheSeq != 0 && e.Seq != s.cacheSeq+1 {
			t.dropCache(i)
		}
		s.cacheSeq = e.Seq
		t.removeHolder(e.Prefix, i)
		if e.Evicted || len(s.cache) >= t.opt.CacheEntries {
			continue
		}
		s.cache[e.Prefix] = e.Tokens
		t.holders[e.Prefix] = append(t.holders[e.Prefix], holder{int32(i), int32(e.Tokens)})
	}
}

func (t *Table) dropCache(i int) {
	for prefix := range t.servers[i].cache {
		t.removeHolder(prefix, i)
	}
}

func (t *Table) removeHolder(prefix uint64, i int) {
	s := &t.servers[i]
	if _, ok := s.cache[prefix]; !ok {
		return
	}
	delete(s.cache, prefix)
	left := slices.DeleteFunc(t.holders[prefix], func(h holder) bool { return int(h.server) == i })
	if len(left) == 0 {
		delete(t.holders, prefix)
		return
	}
	t.holders[prefix] = left
}

func (t *Table) get(id string) *server {
	if i, ok := t.index[id]; ok {
		return &t.servers[i]
	}
	return nil
}
