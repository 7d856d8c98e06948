package promptcache

import "slices"

const (
	// DefaultMaxEntries bounds the entries, of one segment on one server each, that a Cache
	// keeps. At about 60 bytes each they take 8 MB at most.
	DefaultMaxEntries = 1 << 17
	// maxSegments is the number of segments of a prompt that are tracked.
	maxSegments = 16
	// stepsPerPlacement is the number of segments that the eviction visits at each placement.
	stepsPerPlacement = 4
	// entryBlock is the number of entries that are allocated at once.
	entryBlock = 256
	// outputShare is the share of the maximum output that a running request holds on average.
	// meanSmoothing is the weight of a request in the mean size of running requests.
	outputShare   = 0.5
	meanSmoothing = 0.02
)

// Segment is a part of a prompt, identified by the hash of its model and its ID.
type Segment struct {
	Segment uint32
	Tokens  int64
}

// chain identifies a segment together with all segments before it. A server reuses a segment only
// if it keeps those too.
type chain uint64

// next returns the chain that continues c with a segment.
func (c chain) next(segment uint32) chain {
	x := uint64(c) ^ uint64(segment)
	x = (x + 0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return chain(x ^ x>>31)
}

// Server is what a Cache knows about one start of one server.
type Server struct {
	// written counts the tokens that requests added to the server's cache.
	written int64
	gone    bool
	// keptTokens and segments describe what the server keeps of the prompt of the lookup with the
	// number lookup.
	keptTokens int64
	segments   int
	lookup     uint64
	// inFlight is the number of requests that ran there at the last placement.
	inFlight int64
}

// holder is a server that keeps a segment, which was last used when the server had written usedAt
// tokens.
type holder struct {
	server *Server
	usedAt int64
}

// entry is a chain and the servers that keep it.
type entry struct {
	chain   chain
	holders []holder
	// used is set when a request had the chain in its prompt, and reset by the eviction.
	used bool
	// first is the initial memory of holders.
	first [1]holder
}

// Stats counts what a Cache saw since its start.
type Stats struct {
	// PromptTokens counts the tokens of the placed prompts, and KeptTokens those among them
	// that the chosen servers were expected to keep.
	PromptTokens, KeptTokens int64
	// Entries is the number of segments on servers that are known now.
	Entries int
}

// Cache estimates which prompt segments the servers of one service keep. It is not safe for
// concurrent use.
type Cache struct {
	capacity   int64
	maxEntries int
	byChain    map[chain]*entry
	// order holds the entries for the eviction, which visits them in turn.
	order []*entry
	hand  int
	// free holds entries that were removed, and entries that were not used yet.
	free []*entry
	// lookup is the number of the last lookup.
	lookup uint64
	// meanRunning is the mean number of tokens of output that a running request holds.
	meanRunning float64
	stats       Stats
}

// New returns the cache of a service whose servers keep capacity tokens each. It has at most
// maxEntries entries.
func New(capacity int64, maxEntries int) *Cache {
	return &Cache{capacity: capacity, maxEntries: maxEntries, byChain: map[chain]*entry{}}
}

// Capacity returns the number of tokens that a server keeps.
func (c *Cache) Capacity() int64 { return c.capacity }

// Stats returns the counters.
func (c *Cache) Stats() Stats { return c.stats }

// NewServer returns a server that keeps nothing, as after a start or with a new version.
func (c *Cache) NewServer() *Server { return &Server{} }

// Remove records that a server was stopped, so that it keeps nothing any more.
func (s *Server) Remove() { s.gone = true }

// keeps reports whether the server of h still keeps the segment: segments yield in the order of
// their last use, and running requests take room from them.
func (c *Cache) keeps(h holder) bool {
	if h.server.gone {
		return false
	}
	running := int64(c.meanRunning) * h.server.inFlight
	return h.server.written-h.usedAt <= c.capacity-running
}

// Lookup finds what the servers keep of a prompt. Kept returns it until the next Lookup.
func (c *Cache) Lookup(prompt []Segment) {
	c.lookup++
	var at chain
	for i, segment := range prompt[:min(len(prompt), maxSegments)] {
		at = at.next(segment.Segment)
		e := c.byChain[at]
		if e == nil {
			return
		}
		e.used = true
		for _, h := range e.holders {
			s := h.server
			if s.lookup != c.lookup {
				s.lookup, s.keptTokens, s.segments = c.lookup, 0, 0
			}
			if s.segments == i && c.keeps(h) {
				s.segments, s.keptTokens = i+1, s.keptTokens+segment.Tokens
			}
		}
	}
}

// Kept returns the number of tokens at the beginning of the prompt of the last Lookup that the
// server keeps.
func (c *Cache) Kept(s *Server) int64 {
	if s == nil || s.lookup != c.lookup {
		return 0
	}
	return s.keptTokens
}

// Place records that a request was placed on a server on which inFlight requests run besides.
// Its prompt is that of the last Lookup, and its output has outputTokens tokens at most.
func (c *Cache) Place(s *Server, prompt []Segment, outputTokens int64, inFlight int) {
	c.stats.KeptTokens += c.Kept(s)
	s.inFlight = int64(inFlight) + 1
	c.meanRunning += (outputShare*float64(outputTokens) - c.meanRunning) * meanSmoothing
	var at chain
	kept := s.segments
	if s.lookup != c.lookup {
		kept = 0
	}
	for i, segment := range prompt[:min(len(prompt), maxSegments)] {
		at = at.next(segment.Segment)
		c.stats.PromptTokens += segment.Tokens
		if i >= kept {
			s.written += segment.Tokens
		}
		c.use(at, s)
	}
	c.evict()
}

// use records that a server uses a chain.
func (c *Cache) use(at chain, s *Server) {
	e := c.byChain[at]
	if e == nil {
		e = c.newEntry(at)
		c.byChain[at] = e
		c.order = append(c.order, e)
	}
	for i := range e.holders {
		if e.holders[i].server == s {
			e.holders[i].usedAt = s.written
			return
		}
	}
	e.holders = append(e.holders, holder{s, s.written})
	c.stats.Entries++
}

// newEntry returns an entry without holders.
func (c *Cache) newEntry(at chain) *entry {
	if len(c.free) == 0 {
		block := make([]entry, entryBlock)
		for i := range block {
			c.free = append(c.free, &block[i])
		}
	}
	last := len(c.free) - 1
	e := c.free[last]
	c.free = c.free[:last]
	*e = entry{chain: at}
	e.holders = e.first[:0]
	return e
}

// evict removes holders that do not keep their segments any more from the next few entries, and
// whole entries that were not used since the last visit while there are too many.
func (c *Cache) evict() {
	for step := 0; len(c.order) > 0 && (step < stepsPerPlacement || c.stats.Entries > c.maxEntries); step++ {
		if c.hand >= len(c.order) {
			c.hand = 0
		}
		e := c.order[c.hand]
		before := len(e.holders)
		e.holders = slices.DeleteFunc(e.holders, func(h holder) bool { return !c.keeps(h) })
		c.stats.Entries -= before - len(e.holders)
		full := c.stats.Entries > c.maxEntries
		if len(e.holders) == 0 || full && (!e.used || step >= maxSegments) {
			c.remove(c.hand)
			continue
		}
		if full {
			e.used = false
		}
		c.hand++
	}
}

// remove removes the entry at an index of order.
func (c *Cache) remove(i int) {
	e := c.order[i]
	c.stats.Entries -= len(e.holders)
	delete(c.byChain, e.chain)
	*e = entry{}
	c.free = append(c.free, e)
	last := len(c.order) - 1
	c.order[i] = c.order[last]
	c.order[last] = nil
	c.order = c.order[:last]
}
