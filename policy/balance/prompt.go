package balance

import (
	"github.com/cespare/xxhash/v2"

	"github.com/jacinthnotch/jacinthnotch/policy/promptcache"
	"github.com/jacinthnotch/jacinthnotch/policy/servermemory"
)

const (
	// tokensPerRequest is the number of prompt tokens that take about as long to read, for the
	// requests on a server together, as one more request makes them wait for their first events.
	tokensPerRequest = 80.0
	// maxKeptRequests bounds the weight of what a server keeps of a prompt, in requests in flight.
	// It is small against a wait for a slot, so that segments that many requests share spread
	// over the servers.
	maxKeptRequests = 2.25
	// minorKeptShare is the share of the weight for a batch request, which holds its slot for so
	// long that the speed of the server outweighs what it reads, and for a server in another data
	// centre, since the way there outweighs it.
	minorKeptShare = 0.1
	// busyFactor is the ratio of a server's recent requests to the mean of its service above which
	// it is not preferred for what it keeps. recentPerServer is the number of requests for each
	// server after which a request counts little as a recent one, and maxRecentWeight the weight
	// of a request at which the sums are scaled down.
	busyFactor      = 1.2
	recentPerServer = 16
	maxRecentWeight = 1 << 20
)

// PromptSegment is a part of a prompt, identified by the hash of its model and its ID.
type PromptSegment = promptcache.Segment

// prompts is what a table knows of the prompt caches of the servers of one service.
type prompts struct {
	cache *promptcache.Cache
	homes promptcache.Homes
	// weight is the weight of the next request among the recent ones of its server. It grows with
	// each request, so that earlier ones count less.
	weight float64
	// bound is the number of bytes that a server can hold.
	bound servermemory.Bound
}

// SetKVCaches sets the capacities of the servers' KV caches in tokens, by service. Prompt caches
// are tracked for the services that it holds. What is known is dropped where a capacity has
// changed.
func (t *Table) SetKVCaches(capacities map[string]int64) {
	next := make(map[string]*prompts, len(capacities))
	for service, capacity := range capacities {
		p := t.prompts[service]
		if p == nil || p.cache.Capacity() != capacity {
			p = &prompts{cache: promptcache.New(capacity, promptcache.DefaultMaxEntries), weight: 1}
			for _, s := range t.servers {
				if s.server.Service == service {
					s.kept = nil
				}
			}
		}
		next[service] = p
	}
	t.prompts = next
}

// PromptStats are the counters of the prompt caches of a service and of the trials of its servers,
// and the number of bytes above which a server is known to crash; zero if none is known.
type PromptStats struct {
	promptcache.Stats
	MaxBytes int64
	Memory   servermemory.Stats
}

// PromptStats returns the counters by service.
func (t *Table) PromptStats() map[string]PromptStats {
	stats := make(map[string]PromptStats, len(t.prompts))
	for service, p := range t.prompts {
		stats[service] = PromptStats{p.cache.Stats(), p.bound.Bytes(), p.bound.Stats()}
	}
	return stats
}

// forgetPrompts records that a server keeps nothing any more.
func (s *serverState) forgetPrompts() {
	if s.kept != nil {
		s.kept.Remove()
		s.kept = nil
	}
}

// startRecent gives new servers the mean of the recent requests of the others, so that they are
// not preferred for having had none.
func (t *Table) startRecent() {
	for service := range t.prompts {
		group := t.services[service]
		if group == nil {
			continue
		}
		sum, known := 0.0, 0
		for _, s := range group.servers {
			if s.recent > 0 {
				sum += s.recent
				known++
			}
		}
		for _, s := range group.servers {
			if s.recent == 0 && known > 0 {
				s.recent = sum / float64(known)
			}
		}
	}
}

// lookUpPrompt finds what the servers keep of a request's prompt. It returns nil for a request or
// a service without.
func (t *Table) lookUpPrompt(q *Query) *promptcache.Cache {
	p := t.prompts[q.Service]
	if p == nil || !q.CompleteView || len(q.Prompt) == 0 {
		return nil
	}
	p.cache.Lookup(q.Prompt)
	return p.cache
}

// keptBenefit returns the amount by which a server's score falls for what it keeps of the prompt
// of the last lookup. meanRecent is the mean of the recent requests of the servers.
func (s *serverState) keptBenefit(cache *promptcache.Cache, q *Query, meanRecent float64) float64 {
	if cache == nil || s.kept == nil {
		return 0
	}
	tokens := cache.Kept(s.kept)
	if tokens == 0 || s.recent > busyFactor*meanRecent {
		return 0
	}
	benefit := min(float64(tokens)/tokensPerRequest, maxKeptRequests) / float64(s.slots())
	if q.Class == Batch || q.DataCentre != "" && s.server.DataCentre != q.DataCentre {
		return benefit * minorKeptShare
	}
	return benefit
}

// meanRecent returns the mean of the recent requests of the usable servers of a service.
func (g *serviceState) meanRecent() float64 {
	recent, servers := 0.0, 0
	for _, s := range g.servers {
		if s.server.Usable() {
			recent += s.recent
			servers++
		}
	}
	return recent / float64(max(1, servers))
}

// placePrompt records the prompt of a request that is placed on a server.
func (t *Table) placePrompt(p *prompts, s *serverState, q *Query) {
	if s.kept == nil {
		s.kept = p.cache.NewServer()
	}
	p.cache.Place(s.kept, q.Prompt, q.OutputTokens, s.inFlight())
	s.recent += p.weight
	servers := t.services[q.Service].servers
	if p.weight *= 1 + 1/float64(recentPerServer*len(servers)); p.weight > maxRecentWeight {
		for _, other := range servers {
			other.recent /= p.weight
		}
		p.weight = 1
	}
}

// preferHome returns a home of the request's prompt among the candidates whose score is not above
// that of the drawn one by more than what is kept may weigh, or else the drawn one. It is for a
// table that does not know what the servers keep.
func (t *Table) preferHome(list []candidate, drawn candidate, q *Query) candidate {
	p := t.prompts[q.Service]
	if p == nil {
		return drawn
	}
	prefix, share, ok := p.homes.Record(q.Prompt)
	if !ok || share >= 1 {
		return drawn
	}
	servers := len(t.services[q.Service].servers)
	start := t.random.IntN(len(list))
	for i := range list {
		c := list[(start+i)%len(list)]
		limit := drawn.score + maxKeptRequests/float64(c.slots())
		if c.score <= limit && c.tier <= drawn.tier && promptcache.IsHome(prefix, c.hash, servers, share) {
			return c
		}
	}
	return drawn
}

// hashOf returns the hash of a server's ID, which all instances share.
func hashOf(id string) uint32 { return uint32(xxhash.Sum64String(id)) }
