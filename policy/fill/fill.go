// Package fill decides how much batch work a server runs and which job's
// items come first.
//
// Burst learns how quickly online load rises. Target turns it into the number
// of batch streams that leave room for the next burst. Occupancy is what a
// director knows of the online streams on its server. Jobs orders the jobs and
// finds those that may miss their due time. Nothing here does I/O or reads a
// clock, and nothing is safe for concurrent use.
package fill

import (
	"slices"
	"time"
)

const (
	// bucketWidth is the time in which batch streams yield to a burst, with a
	// margin: 20 ms for the decision and the message and up to some decode steps.
	bucketWidth = 250 * time.Millisecond
	// buckets is the length of the recent past that counts: one minute.
	buckets = 240
	// burstQuantile of the recent rises is covered by the headroom. Larger
	// rises are covered by preemption.
	burstQuantile = 0.97
)

// BurstEstimator holds the recent rises of the number of online streams on a server or
// a group of servers.
type BurstEstimator struct {
	rises   [buckets]int
	filled  int
	pos     int
	start   time.Time
	low     int
	peak    int
	current int
	scratch [buckets]int
}

// Observe records that the number of online streams, waiting ones included, is
// now online. Only differences matter, so that a count of the notices of
// arrivals and departures serves. The estimate of Occupancy does not, because
// its corrections would look like bursts.
func (b *BurstEstimator) Observe(now time.Time, online int) {
	b.advance(now)
	b.low = min(b.low, online)
	b.peak = max(b.peak, online-b.low)
	b.current = online
}

// Headroom returns the number of streams to keep free for a rise.
func (b *BurstEstimator) Headroom(now time.Time) int {
	b.advance(now)
	n := copy(b.scratch[:], b.rises[:b.filled])
	if n == 0 {
		return b.peak
	}
	s := b.scratch[:n]
	slices.Sort(s)
	return max(b.peak, s[int(burstQuantile*float64(n-1))])
}

func (b *BurstEstimator) advance(now time.Time) {
	if b.start.IsZero() {
		b.start = now
	}
	steps := int(now.Sub(b.start) / bucketWidth)
	for range min(steps, buckets) {
		b.rises[b.pos] = b.peak
		b.pos = (b.pos + 1) % buckets
		b.filled = min(b.filled+1, buckets)
		b.low, b.peak = b.current, 0
	}
	b.start = b.start.Add(time.Duration(steps) * bucketWidth)
}

// RefillInterval is the longest time between two calls of Plan for a server,
// so that a free place is filled within 100 ms with the time to send.
const RefillInterval = 50 * time.Millisecond

// Server is what is known about one server.
type Server struct {
	Slots int
	// Online and Batch are streams on the server; Waiting are online requests
	// that the engine has not started.
	Online, Batch, Waiting int
	// BatchPrefilling are the batch streams without a first token.
	BatchPrefilling int
	// KVFree is the free share of the KV memory and KVPerStream the share that
	// a batch stream takes; zero KVPerStream ignores memory.
	KVFree, KVPerStream float64
	// Headroom is from Burst.
	Headroom int
	// MaxStreams bounds the streams for the sake of decode speed; zero is no
	// bound. See Calm.
	MaxStreams int
	// HoldUntil is when refilling may begin again after a preemption.
	HoldUntil time.Time
}

const (
	// maxPrefilling bounds the batch prompts in an engine's queue. An online
	// request that arrives waits for at most these prompts, since the engine
	// takes requests in arrival order.
	maxPrefilling = 2
	// kvReserve is the share of KV memory kept free for online requests.
	kvReserve = 0.1
)

// MaxBatchStreams returns how many batch streams the server may run.
func MaxBatchStreams(s Server) int {
	limit := s.Slots
	if s.MaxStreams > 0 {
		limit = min(limit, s.MaxStreams)
	}
	n := min(limit-s.Online, s.Slots-s.Online-s.Headroom)
	if s.Waiting > 0 {
		n = min(n, s.Batch)
	}
	if s.KVPerStream > 0 {
		n = min(n, s.Batch+int((s.KVFree-kvReserve)/s.KVPerStream))
	}
	return max(0, n)
}

// StreamsToStart returns how many batch streams to start on the server now.
func StreamsToStart(now time.Time, s Server) int {
	if s.Waiting > 0 || now.Before(s.HoldUntil) {
		return 0
	}
	return max(0, min(MaxBatchStreams(s)-s.Batch, maxPrefilling-s.BatchPrefilling))
}

const (
	// calmCost is the share of the fleet's slots that batch gives up, on the
	// servers that take online requests first, so that decoding is faster there.
	calmCost = 0.10
	// calmShare is the share of the fleet's slots in use by online streams above
	// which nothing is given up. The slowest answers are then those of the
	// bursts, in which batch yields, and giving up slots between bursts would
	// only leave servers idle.
	calmShare = 0.15
)

// OnlineFirstStreamLimit returns the bound for Server.MaxStreams on a server that takes online
// requests first, as one of first servers. total are the slots of the fleet and
// online is the share of them in use by online streams; zero is no bound.
func OnlineFirstStreamLimit(slots, first, total int, online float64) int {
	if first <= 0 || !IsLowOnlineLoad(online) {
		return 0
	}
	return max(slots/3, slots-int(calmCost*float64(total)/float64(first)+0.5))
}

// IsLowOnlineLoad reports whether the share of the fleet's slots in use by online streams
// is low. Servers that do not take online requests first then need no headroom:
// the few requests that get there make batch yield.
func IsLowOnlineLoad(online float64) bool { return online <= calmShare }
