package route

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	// onlineTargetShare is the share of the slots of the online-first servers
	// that online streams use on average; the rest is for bursts.
	onlineTargetShare = 0.5
	// demandDecay is the weight of a lower online load in the moving average at
	// each call of Steer. A higher load counts in full, so that the set of
	// online-first servers shrinks slowly and grows at once.
	demandDecay = 0.05
	// At least minOnlineFirst servers are online-first, so that there is a choice
	// between two, and at least one in minOnlineFirstPart of the healthy servers,
	// for a burst after a quiet time.
	minOnlineFirst     = 2
	minOnlineFirstPart = 3
	// spilloverShare is the share of the slots in use by online streams above
	// which an online request is also scored on the other servers.
	spilloverShare = 0.4
)

// Steer selects the online-first servers, to which online requests are routed
// first while batch work runs: the fastest ones with room for the recent online
// load. Batch streams slow down decoding, which costs least on fast servers, and
// batch streams on the other servers are not preempted. Without batch work all
// servers are treated alike. Steer is called about once a second and may
// allocate.
func (t *Table) Steer() {
	batch, online := 0, 0.0
	order := make([]int, 0, len(t.servers))
	for i := range t.servers {
		s := &t.servers[i]
		s.onlineFirst = false
		if !s.live {
			continue
		}
		batch += max(s.batchInFlight, s.report.Batch)
		online += float64(s.load(false))
		if !s.leaving && s.weight >= 1 {
			order = append(order, i)
		}
	}
	t.onlineDemand = max(online, t.onlineDemand+demandDecay*(online-t.onlineDemand))
	if batch == 0 {
		t.steering = false
		return
	}
	t.steering = true
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(t.servers[a].rankingTimePerToken(), t.servers[b].rankingTimePerToken()), cmp.Compare(t.servers[a].ID, t.servers[b].ID))
	})
	onlineSlots, n := 0.0, 0
	for _, i := range order {
		if onlineSlots >= t.onlineDemand && n >= max(minOnlineFirst, len(order)/minOnlineFirstPart) {
			break
		}
		t.servers[i].onlineFirst = true
		onlineSlots += onlineTargetShare * float64(t.servers[i].Slots)
		n++
	}
}

// Fleet summarizes the servers of the table as of the last call of Steer.
type Fleet struct {
	// Slots is the number of slots of all servers and OnlineShare the share of
	// them that online streams have recently used.
	Slots       int
	OnlineShare float64
	// OnlineFirst is the number of online-first servers; zero without batch work.
	OnlineFirst int
}

// Fleet returns a summary of the servers.
func (t *Table) Fleet() Fleet {
	var f Fleet
	for i := range t.servers {
		f.Slots += t.servers[i].Slots
		if t.servers[i].onlineFirst {
			f.OnlineFirst++
		}
	}
	f.OnlineShare = t.onlineDemand / float64(max(1, f.Slots))
	return f
}

// IsOnlineFirst reports whether online requests are routed to the server first.
func (t *Table) IsOnlineFirst(id string) bool {
	s := t.lookup(id)
	return s != nil && s.onlineFirst
}

// rankingTimePerToken returns the decode time per token, rounded to 0.1 ms, by
// which Steer ranks the servers. The rate that the engine reports has precedence
// over the measured time, which depends on the load and would make the order
// change with it.
func (s *server) rankingTimePerToken() float64 {
	if s.hasReport && s.report.DecodeRate > 0 {
		return math.Round(1e4 / s.report.DecodeRate)
	}
	return math.Round(1e4 * s.secondsPerOutputToken)
}

// pickSteered selects an online-first server for an online request. When that
// server has little room, it is compared with the choice among all servers.
func (t *Table) pickSteered(req *Request, rng *rand.Rand, totalWeight, meanLoad float64) Choice {
	if !t.steering || req.Batch {
		return t.powerOfTwo(req, rng, totalWeight, meanLoad)
	}
	n, onlineFirstWeight := 0, 0.0
	for _, i := range t.eligible {
		if s := &t.servers[i]; s.onlineFirst {
			onlineFirstWeight += s.weight / s.secondsPerOutputToken
			t.eligible[n], t.cumulativeWeight[n] = i, onlineFirstWeight
			n++
		}
	}
	if n == 0 {
		totalWeight, meanLoad = t.filter(req)
		return t.powerOfTwo(req, rng, totalWeight, meanLoad)
	}
	t.eligible, t.cumulativeWeight = t.eligible[:n], t.cumulativeWeight[:n]
	best := t.powerOfTwo(req, rng, onlineFirstWeight, meanLoad)
	if s := &t.servers[best.index]; float64(s.load(false)+1) <= spilloverShare*float64(s.Slots) {
		return best
	}
	totalWeight, meanLoad = t.filter(req)
	return lowerCost(best, t.powerOfTwo(req, rng, totalWeight, meanLoad))
}
