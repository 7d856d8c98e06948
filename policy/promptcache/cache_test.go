package promptcache

import (
	"runtime"
	"testing"
)

func prompt(ids ...uint32) []Segment {
	list := make([]Segment, len(ids))
	for i, id := range ids {
		list[i] = Segment{Segment: id, Tokens: 100}
	}
	return list
}

// Guards against servers that count as keeping segments that they do not: without those before
// them, those that yielded to later ones or to running requests, or those of an earlier start.
func TestKept(t *testing.T) {
	type placement struct {
		ids      []uint32
		inFlight int
	}
	for name, c := range map[string]struct {
		placed []placement
		stop   bool
		want   int64
	}{
		"nothing placed":         {nil, false, 0},
		"the same prompt":        {[]placement{{[]uint32{1, 2, 3}, 0}}, false, 300},
		"the first segment":      {[]placement{{[]uint32{1, 7}, 0}}, false, 100},
		"another first segment":  {[]placement{{[]uint32{7, 2, 3}, 0}}, false, 0},
		"two prompts":            {[]placement{{[]uint32{1, 7}, 0}, {[]uint32{1, 2, 8}, 0}}, false, 200},
		"yielded to later ones":  {[]placement{{[]uint32{1, 2, 3}, 0}, {[]uint32{4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14}, 0}}, false, 0},
		"used again since":       {[]placement{{[]uint32{1, 2, 3}, 0}, {[]uint32{4, 5, 6, 7, 8}, 0}, {[]uint32{1, 2}, 0}, {[]uint32{9, 10, 11, 12, 13}, 0}}, false, 200},
		"yielded to running":     {[]placement{{[]uint32{1, 2, 3}, 0}, {[]uint32{4, 5, 6}, 20}}, false, 0},
		"of the start before":    {[]placement{{[]uint32{1, 2, 3}, 0}}, true, 0},
		"too long to be tracked": {[]placement{{make([]uint32, 3*maxSegments), 0}}, false, 0},
	} {
		cache := New(1000, 100)
		s := cache.NewServer()
		for _, p := range c.placed {
			cache.Lookup(prompt(p.ids...))
			cache.Place(s, prompt(p.ids...), 5000, p.inFlight)
		}
		if c.stop {
			s.Remove()
		}
		cache.Lookup(prompt(1, 2, 3))
		if kept := cache.Kept(s); kept != c.want {
			t.Errorf("%s: %d tokens kept, want %d", name, kept, c.want)
		}
	}
}

// Guards against memory that grows with the prompts of a long time, and against segments that
// many requests share yielding to those that come once.
func TestEntriesAreBounded(t *testing.T) {
	const maxEntries = 1000
	cache := New(1<<40, maxEntries)
	servers := []*Server{cache.NewServer(), cache.NewServer()}
	for i := range uint32(20 * maxEntries) {
		p := prompt(1+i%10, 100+i%100, 1000+i)
		cache.Lookup(p)
		cache.Place(servers[i%2], p, 0, 0)
		if n := cache.Stats().Entries; n > maxEntries || len(cache.byChain) != len(cache.order) || len(cache.byChain) > n {
			t.Fatalf("%d entries of %d chains, %d in order", n, len(cache.byChain), len(cache.order))
		}
	}
	if s := cache.Stats(); s.KeptTokens < s.PromptTokens/2 {
		t.Errorf("%d of %d tokens kept", s.KeptTokens, s.PromptTokens)
	}
}

// Guards against few servers that get all requests with a segment for which half of the requests
// ask, where an instance does not know what they keep.
func TestPopularSegmentsHaveMoreHomes(t *testing.T) {
	const servers, requests = 90, 20_000
	var homes Homes
	counts := make([]float64, servers)
	for i := range uint32(requests) {
		id := uint32(1)
		if i%2 == 1 {
			id = 2 + i%800
		}
		prefix, share, ok := homes.Record(prompt(id, 1<<20+i))
		var list []int
		for s := range uint32(servers) {
			if !ok || share >= 1 || IsHome(prefix, s, servers, share) {
				list = append(list, int(s))
			}
		}
		for _, s := range list {
			counts[s] += 1 / float64(len(list))
		}
	}
	for s, n := range counts {
		if n > 1.3*requests/servers {
			t.Errorf("server %d gets %.2f times the mean", s, n*servers/requests)
		}
	}
}

// BenchmarkMemory measures the memory of a cache that knows as much as it may of 740 servers.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		cache := New(1<<40, DefaultMaxEntries)
		servers := make([]*Server, 740)
		for i := range servers {
			servers[i] = cache.NewServer()
		}
		for i := range uint32(DefaultMaxEntries) {
			p := prompt(1+i%80, 100+i%800, 1000+i)
			cache.Lookup(p)
			cache.Place(servers[i%740], p, 0, 0)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "bytes")
		runtime.KeepAlive(cache)
	}
}
