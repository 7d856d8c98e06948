package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
)

// modelServer is a server of a model of a service, which crashes when the bodies of its requests exceed its memory.
type modelServer struct {
	memory   int64
	requests []modelRequest
	// backAt is the time at which it is started again after a crash, zero while it runs, and noticedAt the one at which
	// its entry is removed.
	backAt, noticedAt time.Time
	started           int64
}

type modelRequest struct {
	class Class
	bytes int64
	ends  time.Time
}

// modelSlots is the number of slots of a server.
const modelSlots = 8

// memoryModel is a service with a backlog of items.
type memoryModel struct {
	table   *Table
	random  *rand.Rand
	now     time.Time
	ids     []string
	servers map[string]*modelServer
	// minBytes and maxBytes bound the size of an item, and itemTime is how long one runs.
	minBytes, maxBytes int64
	itemTime           time.Duration
	crashes, done      int
	// backlog is the number of items that wait.
	backlog int
	// runs counts the items that are running, and mostRuns is the most there were.
	runs, mostRuns int
}

func newMemoryModel(seed uint64, memories ...int64) *memoryModel {
	m := &memoryModel{
		table: newTestTable(0, 0), random: rand.New(rand.NewPCG(seed, 5)), now: epoch, servers: map[string]*modelServer{},
		minBytes: 10_000, maxBytes: 30_000, itemTime: 3 * time.Second, backlog: math.MaxInt,
	}
	for i, memory := range memories {
		id := "s" + string(rune('a'+i))
		m.ids = append(m.ids, id)
		m.servers[id] = &modelServer{memory: memory}
	}
	m.table.SetKVCaches(map[string]int64{"svc": 1 << 40})
	m.register()
	return m
}

// register makes the entries of the servers known.
func (m *memoryModel) register() {
	entries := map[string]*serving.Server{}
	for id, s := range m.servers {
		if s.noticedAt.IsZero() || m.now.Before(s.noticedAt) {
			entries[id] = &serving.Server{ID: id, Service: "svc", Address: id, Slots: modelSlots, Started: s.started}
		}
	}
	m.table.SetServers(m.now, entries)
}

// crash ends a server with its requests.
func (m *memoryModel) crash(id string) {
	s := m.servers[id]
	requests := s.requests
	s.requests, s.noticedAt, s.backAt = nil, m.now.Add(2*time.Second), m.now.Add(5*time.Second)
	m.crashes++
	for _, r := range requests {
		m.table.RequestEnded(m.now, id, r.class, Failed)
		if r.class == Batch {
			m.runs--
			m.backlog++
		}
	}
}

// place sends a request to a server, and reports whether there was one.
func (m *memoryModel) place(class Class, bytes int64, lasts time.Duration) bool {
	choice, ok := m.table.Pick(m.now, Query{Service: "svc", Class: class, CompleteView: true, Headroom: 1, Bytes: bytes})
	if !ok {
		return false
	}
	id := choice.Server.ID
	s := m.servers[id]
	m.table.RequestStarted(id, class)
	if !s.backAt.IsZero() {
		m.table.RequestEnded(m.now, id, class, Unreachable)
		if class == Batch {
			m.backlog++
		}
		return true
	}
	s.requests = append(s.requests, modelRequest{class, bytes, m.now.Add(lasts)})
	if class == Batch {
		m.runs++
		m.mostRuns = max(m.mostRuns, m.runs)
	}
	held := int64(0)
	for _, r := range s.requests {
		held += r.bytes
	}
	if held > s.memory {
		m.crash(id)
	}
	return true
}

// run plays the service for a time.
func (m *memoryModel) run(d time.Duration) {
	const step = 20 * time.Millisecond
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(step) {
		for _, id := range m.ids {
			s := m.servers[id]
			if !s.backAt.IsZero() && !m.now.Before(s.backAt) {
				s.backAt, s.noticedAt, s.started = time.Time{}, time.Time{}, s.started+1
				m.register()
			} else if !s.noticedAt.IsZero() && m.now.Sub(s.noticedAt) >= 0 && m.now.Sub(s.noticedAt) < step {
				m.register()
			}
			kept := s.requests[:0]
			for _, r := range s.requests {
				if m.now.Before(r.ends) {
					kept = append(kept, r)
					continue
				}
				m.table.RequestEnded(m.now, id, r.class, Answered)
				if r.class == Batch {
					m.done++
					m.runs--
				}
			}
			s.requests = kept
		}
		if m.random.IntN(2) == 0 {
			m.place(Online, 500, 200*time.Millisecond)
		}
		for range min(10, m.backlog) {
			if !m.place(Batch, m.minBytes+m.random.Int64N(m.maxBytes-m.minBytes+1), m.itemTime) {
				break
			}
			m.backlog--
		}
	}
}

// ampleMemory is more than all requests hold, and tightMemory less than what a server with all slots in use does.
const ampleMemory, tightMemory = 1 << 40, 100_000

func memories(n int, memory int64) []int64 { return slices.Repeat([]int64{memory}, n) }

// Guards against servers that run out of memory again and again, against a limit so low that they run one item at a
// time, and against small servers that crash, or large ones that are limited, because servers differ.
func TestServersThatRunOutOfMemoryAreSpared(t *testing.T) {
	const maxCrashesPerServer, seeds = 3, 10
	for name, c := range map[string]struct {
		memories []int64
		// minItems is the number of items that run at once at some time, at least.
		minItems int
	}{
		"ample":      {memories(9, ampleMemory), 63},
		"tight":      {memories(9, tightMemory), 36},
		"very tight": {memories(9, tightMemory*45/100), 18},
		"mixed":      {append(memories(5, ampleMemory), memories(4, tightMemory*6/10)...), 35},
	} {
		t.Run(name, func(t *testing.T) {
			crashes := 0
			for seed := range uint64(seeds) {
				m := newMemoryModel(seed, c.memories...)
				m.run(2 * time.Minute)
				crashes += m.crashes
				if m.mostRuns < c.minItems {
					t.Errorf("seed %d: %d items at once, want %d", seed, m.mostRuns, c.minItems)
				}
			}
			t.Logf("%.1f crashes in two minutes", float64(crashes)/seeds)
			if crashes > maxCrashesPerServer*len(c.memories)*seeds {
				t.Errorf("%.1f crashes in two minutes on %d servers", float64(crashes)/seeds, len(c.memories))
			}
		})
	}
}

// Guards against servers that run one item at a time after some of them crashed for another reason than their memory,
// while most are idle, just after items were placed, or one after the other.
func TestCrashesForOtherReasonsDoNotLimitServers(t *testing.T) {
	const (
		items, itemTime, servers, reserved = 250, 3 * time.Second, 9, 1
		// rounds is the number of rounds in which the items run, and trialRounds that of the trials after which all
		// servers have shown what they hold, each twice as wide as the one before.
		rounds      = (items + servers*(modelSlots-reserved) - 1) / (servers * (modelSlots - reserved))
		trialRounds = 4
		finish      = rounds*itemTime + trialRounds*2*time.Second
	)
	for name, c := range map[string]struct {
		crashes int
		// wait is the time from the placement of the items to the first crash, and gap that between crashes.
		wait, gap time.Duration
	}{
		"none": {0, 0, 0}, "at once": {1, 20 * time.Millisecond, 0}, "while it runs": {1, time.Second, 0}, "after its items": {1, 4 * time.Second, 0},
		"three at once": {3, 20 * time.Millisecond, 0}, "three in turn": {3, 20 * time.Millisecond, 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				m := newMemoryModel(seed, memories(servers, ampleMemory)...)
				m.minBytes, m.maxBytes = 12_000, 12_000
				for i := range servers {
					m.place(Batch, 12_000+500*int64(i), m.itemTime)
				}
				m.backlog = 0
				m.run(c.wait)
				for range c.crashes {
					m.crash(m.ids[m.random.IntN(len(m.ids))])
					m.run(c.gap)
				}
				m.run(5 * time.Second)
				m.backlog, m.done = items, 0
				if m.run(finish); m.done < items {
					t.Errorf("seed %d: %d of %d items are done after %v", seed, m.done, items, finish)
				}
			}
		})
	}
}

// Guards against an item that no server runs since it is larger than what servers are known to hold.
func TestLargeItemRunsSomewhere(t *testing.T) {
	for seed := range uint64(10) {
		m := newMemoryModel(seed, memories(9, tightMemory)...)
		m.run(30 * time.Second)
		if m.crashes == 0 {
			t.Fatal("no crash")
		}
		m.backlog = 0
		m.run(5 * time.Second)
		placed := false
		for end := m.now.Add(10 * time.Second); m.now.Before(end) && !placed; m.run(40 * time.Millisecond) {
			placed = m.place(Batch, tightMemory*95/100, m.itemTime)
		}
		if !placed {
			t.Errorf("seed %d: the item is not placed", seed)
		}
	}
}
