package promptcache

import "math"

const (
	// popularityCounters is the number of counters of Homes, and popularityWindow the number of
	// requests after which they are halved.
	popularityCounters = 512
	popularityWindow   = 1024
	// priorRequests is the number of requests of any prompt that each one counts as having been
	// asked for before, so that few observations concentrate nothing.
	priorRequests = 8
	// homesPerShare is the number of servers, for each server's share of the load, over which the
	// requests with one prompt are spread. Each of them gets a quarter of the mean load from it.
	homesPerShare = 4
	// minHomes is the minimum number of servers of a prompt.
	minHomes = 8
)

// Homes chooses the servers for prompts by their shared segments without knowing which servers
// keep them. All instances choose the same servers. Segments that many requests share get more
// servers, by what this instance saw. It is not safe for concurrent use.
type Homes struct {
	counts [popularityCounters]int
	total  int
}

// Record records a request, and returns the hash of its prompt's shared segments and the share of
// the servers over which such requests are spread. It returns false for a prompt without any.
func (h *Homes) Record(prompt []Segment) (prefix uint64, share float64, ok bool) {
	if len(prompt) < 2 {
		return 0, 0, false
	}
	var at chain
	for _, segment := range prompt[:min(len(prompt)-1, maxSegments)] {
		at = at.next(segment.Segment)
	}
	i := uint64(at) % popularityCounters
	share = homesPerShare * float64(h.counts[i]+priorRequests) / float64(h.total+priorRequests)
	h.counts[i]++
	if h.total++; h.total >= popularityWindow {
		h.total = 0
		for i := range h.counts {
			h.counts[i] /= 2
			h.total += h.counts[i]
		}
	}
	return uint64(at), min(1, share), true
}

// IsHome reports whether a server is one of those of a prompt, which are the given share of all n
// servers.
func IsHome(prefix uint64, server uint32, n int, share float64) bool {
	share = max(share, minHomes/float64(max(1, n)))
	return Weight(prefix, server) <= uint64(min(share, 1)*math.MaxUint32)
}

// Weight returns the rank of a server for a prompt, uniformly distributed below 1<<32; the lowest
// ones are its homes.
func Weight(prefix uint64, server uint32) uint64 { return uint64(chain(prefix).next(server)) >> 32 }
