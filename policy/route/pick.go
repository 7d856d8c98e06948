package route

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Picker names a way to choose among the eligible servers.
type Picker uint8

// PowerOfTwo scores two random servers and takes the better. The others are
// baselines: Random, RoundRobin, LeastInFlight (fewest own requests) and
// LeastLoaded (the best score of all, which makes instances with the same old
// report choose the same server).
const (
	PowerOfTwo Picker = iota
	Random
	RoundRobin
	LeastInFlight
	LeastLoaded
)

// Request is what a server is chosen for.
type Request struct {
	// Model is required; an empty Version or Adapter matches any.
	Model   string
	Version string
	Adapter string
	// Role is RoleBoth for a request that is served whole by one server.
	Role         Role
	PromptTokens int
	// OutputTokens is the expected length of the answer; zero for the mean of
	// the earlier ones.
	OutputTokens int
	// Prefix identifies the prompt's prefix and PrefixTokens its length.
	Prefix       uint64
	PrefixTokens int
	// Batch work does not make other batch work yield.
	Batch bool
	// Suspect requests go only to servers that run no other suspect.
	Suspect bool
	// Exclude names servers that were tried before.
	Exclude []string
}

// Choice is a chosen server.
type Choice struct {
	Server string
	// Wait is the expected time to the first token.
	Wait time.Duration
	// Total is the expected time to the end of the answer.
	Total time.Duration
	// cost is what is compared: Total with the wait weighted, over the weight.
	cost float64
	// CachedTokens are the prompt tokens expected in the server's cache.
	CachedTokens int

	index int
}

const (
	// streamCost is the share by which each further stream lengthens a decode
	// step, typical of engines that are limited by memory bandwidth.
	streamCost = 0.005
	// fullShare of the slots may be in use before a request is expected to wait
	// for one: other instances send requests that no report shows yet.
	fullShare = 0.75
	// waitWeight is how much more a second of waiting for the first token counts
	// than a second of decoding. A request that waits for a slot waits for its
	// first token, which callers notice, while a slower server costs little.
	waitWeight = 3
	// yieldTime is the expected wait, in seconds, on a server where batch work
	// has to yield: the message to its director and a decode step.
	yieldTime = 0.03
	// kvFull is the share of KV memory from which new requests tend to wait.
	kvFull = 0.92
	// maxHolders bounds the servers scored for their prefix cache.
	maxHolders = 2
)

// Pick chooses a server for the request. It returns false when no server is
// eligible. It changes nothing but the round-robin position; Dispatched
// records that the choice was used.
func (t *Table) Pick(_ time.Time, req *Request, rng *rand.Rand) (Choice, bool) {
	total, mean := t.filter(req)
	if len(t.eligible) == 0 {
		return Choice{}, false
	}
	switch t.opt.Picker {
	case Random:
		return t.choice(t.draw(total, rng), req), true
	case RoundRobin:
		t.next++
		return t.choice(int(t.eligible[t.next%len(t.eligible)]), req), true
	case LeastInFlight:
		return t.choice(t.leastInFlight(), req), true
	case LeastLoaded:
		return t.best(req), true
	default:
		return t.steer(req, rng, total, mean), true
	}
}

// filter fills eligible and cumulative. It returns the sum of weights and the
// mean load.
func (t *Table) filter(req *Request) (total, mean float64) {
	t.eligible, t.cumulative = t.eligible[:0], t.cumulative[:0]
	for i := range t.servers {
		s := &t.servers[i]
		if !s.serves(req) {
			continue
		}
		total += s.weight / s.decodeTime
		mean += float64(s.load(req.Batch))
		t.eligible = append(t.eligible, int32(i))
		t.cumulative = append(t.cumulative, total)
	}
	return total, mean / float64(max(1, len(t.eligible)))
}

func (s *server) serves(req *Request) bool {
	if !s.live || s.leaving || s.weight <= 0 || s.suspectBusy && req.Suspect {
		return false
	}
	if s.Model != req.Model || req.Version != "" && s.Version != req.Version {
		return false
	}
	if req.Role != s.Role && s.Role != RoleBoth {
		return false
	}
	if req.Adapter != "" && !slices.Contains(s.Adapters, req.Adapter) {
		return false
	}
	return len(req.Exclude) == 0 || !slices.Contains(req.Exclude, s.ID)
}

// load estimates the streams that compete with a new one: the last report
// corrected by the own changes since, at least the own streams. For an online
// request batch streams do not count, since they yield.
func (s *server) load(batch bool) int {
	n := s.inFlight
	if s.hasReport {
		n = max(n, s.report.Running+s.report.Waiting+s.since)
	}
	if !batch {
		n -= max(s.batch, s.report.Batch)
	}
	return max(n, 0)
}

// draw returns a random eligible server in proportion to weight and speed.
func (t *Table) draw(total float64, rng *rand.Rand) int {
	at := sort.SearchFloat64s(t.cumulative, rng.Float64()*total)
	return int(t.eligible[min(at, len(t.eligible)-1)])
}

func (t *Table) powerOfTwo(req *Request, rng *rand.Rand, total, mean float64) Choice {
	first := t.draw(total, rng)
	best := t.choice(first, req)
	if len(t.eligible) > 1 {
		second := t.draw(total, rng)
		for range 4 {
			if second != first {
				break
			}
			second = t.draw(total, rng)
		}
		best = better(best, t.choice(second, req))
	}
	if req.Prefix == 0 {
		return best
	}
	bound := int(t.opt.LoadBound*mean) + 1
	scored := 0
	for _, h := range t.holders[req.Prefix] {
		s := &t.servers[h.server]
		if scored == maxHolders {
			break
		}
		if s.load(req.Batch) <= bound && s.serves(req) && (s.first || req.Batch || !t.steered) {
			best = better(best, t.choice(int(h.server), req))
			scored++
		}
	}
	return best
}

func better(a, b Choice) Choice {
	if b.cost < a.cost {
		return b
	}
	return a
}

func (t *Table) best(req *Request) Choice {
	best := t.choice(int(t.eligible[0]), req)
	for _, i := range t.eligible[1:] {
		best = better(best, t.choice(int(i), req))
	}
	return best
}

func (t *Table) leastInFlight() int {
	best := t.eligible[0]
	for _, i := range t.eligible[1:] {
		if t.servers[i].inFlight < t.servers[best].inFlight {
			best = i
		}
	}
	return int(best)
}

// choice scores one server.
func (t *Table) choice(i int, req *Request) Choice {
	s := &t.servers[i]
	cached := 0
	if req.Prefix != 0 {
		cached = min(s.cache[req.Prefix], req.PrefixTokens, req.PromptTokens)
	}
	output := float64(req.OutputTokens)
	if output == 0 {
		output = t.meanOutput
	}
	load := s.load(req.Batch)
	queued := float64(s.prefill)
	if s.hasReport {
		queued += float64(s.report.Waiting) * t.meanPrompt
	}
	wait := (queued + float64(req.PromptTokens-cached)) * s.prefillTime
	if over := float64(load+1) - fullShare*float64(s.Slots); over > 0 {
		wait += over * t.meanOutput * s.decodeTime / float64(s.Slots)
	}
	if load < s.Slots && s.load(true) >= s.Slots {
		wait += yieldTime
	}
	if s.hasReport && s.report.KVUsed > kvFull && s.report.Batch == 0 {
		wait += t.meanOutput * s.decodeTime / float64(s.Slots)
	}
	if s.DataCentre != t.opt.DataCentre {
		wait += t.opt.RemoteRTT.Seconds()
	}
	decode := output * s.decodeTime * (1 + streamCost*float64(load))
	return Choice{
		Server: s.ID, Wait: seconds(wait), Total: seconds(wait + decode), cost: (waitWeight*wait + decode) / s.weight,
		CachedTokens: cached, index: i,
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
