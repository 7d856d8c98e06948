package route

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Picker is a load-balancing algorithm.
type Picker uint8

// PowerOfTwo scores two random servers and takes the better one. The other
// algorithms are baselines for comparison: Random, RoundRobin, LeastInFlight
// (fewest requests in flight from this instance) and LeastLoaded (the best score
// of all servers, with which instances that hold the same stale load report all
// choose the same server).
const (
	PowerOfTwo Picker = iota
	Random
	RoundRobin
	LeastInFlight
	LeastLoaded
)

// Request describes a request to the routing table.
type Request struct {
	// Model is required; an empty Version or Adapter matches any.
	Model   string
	Version string
	Adapter string
	// Role is RoleBoth for a request whose prefill and decode run on the same
	// server.
	Role         Role
	PromptTokens int
	// OutputTokens is the expected length of the answer. Zero stands for the
	// moving average of earlier answers.
	OutputTokens int
	// Prefix identifies the prompt's prefix and PrefixTokens its length.
	Prefix       uint64
	PrefixTokens int
	// Batch is set for a batch item, which cannot preempt other batch streams.
	Batch bool
	// Suspect is set for a request that may have crashed a server. It is sent
	// only to a server that runs no other suspect.
	Suspect bool
	// Exclude lists the servers that were already tried.
	Exclude []string
}

// Choice is the server that Pick selected, with its expected latency.
type Choice struct {
	Server string
	// Wait is the expected time to the first token.
	Wait time.Duration
	// Total is the expected time to the end of the answer.
	Total time.Duration
	// cost is what the servers are compared by: Total with Wait multiplied by
	// firstTokenWeight, divided by the server's health weight.
	cost float64
	// CachedTokens is the number of prompt tokens expected in the server's
	// prefix cache.
	CachedTokens int

	index int // of the server in Table.servers
}

const (
	// slowdownPerStream is the share by which each further stream lengthens a
	// decode step, as on engines that are limited by memory bandwidth.
	slowdownPerStream = 0.005
	// queueingShare is the share of the slots in use above which a request is
	// expected to wait for a slot. It is below 1 because other instances send
	// requests that no load report shows yet.
	queueingShare = 0.75
	// firstTokenWeight is the cost of a second before the first token relative
	// to a second of decoding. Callers notice a request that waits for a slot,
	// while decoding on a slower server costs them little.
	firstTokenWeight = 3
	// preemptionSeconds is the expected wait on a server that has to preempt a
	// batch stream: the message to its director and one decode step.
	preemptionSeconds = 0.03
	// kvPressureShare is the used share of KV memory from which new requests
	// tend to wait.
	kvPressureShare = 0.92
	// maxHoldersScored bounds how many servers that hold the prompt's prefix in
	// their cache are scored for one request.
	maxHoldersScored = 2
)

// Pick selects a server for the request. It returns false when no server is
// eligible. It changes no state but the round-robin position; Dispatched records
// that the request was sent.
func (t *Table) Pick(_ time.Time, req *Request, rng *rand.Rand) (Choice, bool) {
	totalWeight, meanLoad := t.filter(req)
	if len(t.eligible) == 0 {
		return Choice{}, false
	}
	switch t.opt.Picker {
	case Random:
		return t.score(t.weightedRandom(totalWeight, rng), req), true
	case RoundRobin:
		t.roundRobin++
		return t.score(int(t.eligible[t.roundRobin%len(t.eligible)]), req), true
	case LeastInFlight:
		return t.score(t.leastInFlight(), req), true
	case LeastLoaded:
		return t.leastLoaded(req), true
	default:
		return t.pickSteered(req, rng, totalWeight, meanLoad), true
	}
}

// filter sets t.eligible to the servers that can take the request and
// t.cumulativeWeight to the running sum of their weights. It returns the whole
// sum and the mean load.
func (t *Table) filter(req *Request) (totalWeight, meanLoad float64) {
	t.eligible, t.cumulativeWeight = t.eligible[:0], t.cumulativeWeight[:0]
	for i := range t.servers {
		s := &t.servers[i]
		if !s.canServe(req) {
			continue
		}
		totalWeight += s.weight / s.secondsPerOutputToken
		meanLoad += float64(s.load(req.Batch))
		t.eligible = append(t.eligible, int32(i))
		t.cumulativeWeight = append(t.cumulativeWeight, totalWeight)
	}
	return totalWeight, meanLoad / float64(max(1, len(t.eligible)))
}

func (s *server) canServe(req *Request) bool {
	if !s.live || s.leaving || s.weight <= 0 || s.runsSuspect && req.Suspect {
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

// load estimates the number of streams that compete with a new one: the last
// load report corrected by this instance's own dispatches and completions since,
// and at least this instance's own streams. Batch streams do not count for an
// online request, because it preempts them.
func (s *server) load(batch bool) int {
	n := s.inFlight
	if s.hasReport {
		n = max(n, s.report.Running+s.report.Waiting+s.deltaSum)
	}
	if !batch {
		n -= max(s.batchInFlight, s.report.Batch)
	}
	return max(n, 0)
}

// weightedRandom returns a random eligible server, with a probability in
// proportion to its health weight and decode speed.
func (t *Table) weightedRandom(totalWeight float64, rng *rand.Rand) int {
	at := sort.SearchFloat64s(t.cumulativeWeight, rng.Float64()*totalWeight)
	return int(t.eligible[min(at, len(t.eligible)-1)])
}

// powerOfTwo returns the better of two random servers or, if it is better
// still, a server that holds the prompt's prefix in its cache. The latter are
// considered only up to a load of LoadBound times the mean, so that a popular
// prefix does not overload one server.
func (t *Table) powerOfTwo(req *Request, rng *rand.Rand, totalWeight, meanLoad float64) Choice {
	first := t.weightedRandom(totalWeight, rng)
	best := t.score(first, req)
	if len(t.eligible) > 1 {
		second := t.weightedRandom(totalWeight, rng)
		for range 4 {
			if second != first {
				break
			}
			second = t.weightedRandom(totalWeight, rng)
		}
		best = lowerCost(best, t.score(second, req))
	}
	if req.Prefix == 0 {
		return best
	}
	bound := int(t.opt.LoadBound*meanLoad) + 1
	scored := 0
	for _, h := range t.holders[req.Prefix] {
		s := &t.servers[h.server]
		if scored == maxHoldersScored {
			break
		}
		if s.load(req.Batch) <= bound && s.canServe(req) && (s.onlineFirst || req.Batch || !t.steering) {
			best = lowerCost(best, t.score(int(h.server), req))
			scored++
		}
	}
	return best
}

func lowerCost(a, b Choice) Choice {
	if b.cost < a.cost {
		return b
	}
	return a
}

func (t *Table) leastLoaded(req *Request) Choice {
	best := t.score(int(t.eligible[0]), req)
	for _, i := range t.eligible[1:] {
		best = lowerCost(best, t.score(int(i), req))
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

// score estimates the latency and the cost of the request on one server.
func (t *Table) score(i int, req *Request) Choice {
	s := &t.servers[i]
	cached := 0
	if req.Prefix != 0 {
		cached = min(s.cachedPrefixes[req.Prefix], req.PrefixTokens, req.PromptTokens)
	}
	output := float64(req.OutputTokens)
	if output == 0 {
		output = t.meanOutputTokens
	}
	load := s.load(req.Batch)
	queued := float64(s.pendingPromptTokens)
	if s.hasReport {
		queued += float64(s.report.Waiting) * t.meanPromptTokens
	}
	wait := (queued + float64(req.PromptTokens-cached)) * s.secondsPerPromptToken
	if over := float64(load+1) - queueingShare*float64(s.Slots); over > 0 {
		wait += over * t.meanOutputTokens * s.secondsPerOutputToken / float64(s.Slots)
	}
	if load < s.Slots && s.load(true) >= s.Slots {
		wait += preemptionSeconds
	}
	if s.hasReport && s.report.KVUsed > kvPressureShare && s.report.Batch == 0 {
		wait += t.meanOutputTokens * s.secondsPerOutputToken / float64(s.Slots)
	}
	if s.DataCentre != t.opt.DataCentre {
		wait += t.opt.RemoteRTT.Seconds()
	}
	decode := output * s.secondsPerOutputToken * (1 + slowdownPerStream*float64(load))
	return Choice{
		Server: s.ID, Wait: seconds(wait), Total: seconds(wait + decode), cost: (firstTokenWeight*wait + decode) / s.weight,
		CachedTokens: cached, index: i,
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
