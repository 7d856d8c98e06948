package route

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	// steerShare is the share of the slots of the online-first servers that
	// online requests may use on average; the rest is for bursts.
	steerShare = 0.5
	// steerDown is the share by which a lower need counts at each call, so that
	// the servers change slowly while load falls and at once while it rises.
	steerDown = 0.05
	// steerMin is the least number of online-first servers, for a choice, and
	// steerPart the least part of all servers, for bursts after a quiet time.
	steerMin  = 2
	steerPart = 3
	// roomShare of its slots may be in use on an online-first server before the
	// others are looked at.
	roomShare = 0.4
)

// Steer chooses the servers that take online requests first while batch work
// runs: the fastest that have room for the recent online load. Batch streams
// slow down decoding, which costs least there, and the streams on the other
// servers need not yield. Without batch work all servers are used alike. Steer
// is called about once a second; it may allocate.
func (t *Table) Steer() {
	batch, online := 0, 0.0
	order := make([]int, 0, len(t.servers))
	for i := range t.servers {
		s := &t.servers[i]
		s.first = false
		if !s.live {
			continue
		}
		batch += max(s.batch, s.report.Batch)
		online += float64(s.load(false))
		if !s.leaving && s.weight >= 1 {
			order = append(order, i)
		}
	}
	t.need = max(online, t.need+steerDown*(online-t.need))
	if batch == 0 {
		t.steered = false
		return
	}
	t.steered = true
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(t.servers[a].speed(), t.servers[b].speed()), cmp.Compare(t.servers[a].ID, t.servers[b].ID))
	})
	room, n := 0.0, 0
	for _, i := range order {
		if room >= t.need && n >= max(steerMin, len(order)/steerPart) {
			break
		}
		t.servers[i].first = true
		room += steerShare * float64(t.servers[i].Slots)
		n++
	}
}

// Fleet is a summary of the servers as of the last call of Steer.
type Fleet struct {
	// Slots of all servers, and the share of them in recent use by online
	// streams.
	Slots       int
	OnlineShare float64
	// OnlineFirst is the number of online-first servers; zero without batch work.
	OnlineFirst int
}

// Fleet returns the summary.
func (t *Table) Fleet() Fleet {
	var f Fleet
	for i := range t.servers {
		f.Slots += t.servers[i].Slots
		if t.servers[i].first {
			f.OnlineFirst++
		}
	}
	f.OnlineShare = t.need / float64(max(1, f.Slots))
	return f
}

// IsOnlineFirst reports whether the server takes online requests first.
func (t *Table) IsOnlineFirst(id string) bool {
	s := t.get(id)
	return s != nil && s.first
}

// speed is the time per token by which servers are ranked: the engine's own
// figure when it reports one, because the measured time depends on the load
// and would make the order change with it.
func (s *server) speed() float64 {
	if s.hasReport && s.report.DecodeRate > 0 {
		return math.Round(1e4 / s.report.DecodeRate)
	}
	return math.Round(1e4 * s.decodeTime)
}

// steer chooses among the online-first servers; when the better one has little
// room, it is compared with the choice among all servers.
func (t *Table) steer(req *Request, rng *rand.Rand, total, mean float64) Choice {
	if !t.steered || req.Batch {
		return t.powerOfTwo(req, rng, total, mean)
	}
	n, sum := 0, 0.0
	for _, i := range t.eligible {
		if s := &t.servers[i]; s.first {
			sum += s.weight / s.decodeTime
			t.eligible[n], t.cumulative[n] = i, sum
			n++
		}
	}
	if n == 0 {
		total, mean = t.filter(req)
		return t.powerOfTwo(req, rng, total, mean)
	}
	t.eligible, t.cumulative = t.eligible[:n], t.cumulative[:n]
	best := t.powerOfTwo(req, rng, sum, mean)
	if s := &t.servers[best.index]; float64(s.load(false)+1) <= roomShare*float64(s.Slots) {
		return best
	}
	total, mean = t.filter(req)
	return better(best, t.powerOfTwo(req, rng, total, mean))
}
