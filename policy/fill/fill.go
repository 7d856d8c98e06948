// Package fill decides how much batch work a server runs and which job's
// items come first.
//
// BurstEstimator estimates the headroom to reserve for bursts of online requests.
// MaxBatchStreams returns the number of batch streams that leave this headroom.
// Occupancy estimates the number of online streams on a server. JobQueue orders
// the jobs and finds those that may miss their due time. The package does no I/O
// and reads no clock, and nothing in it is safe for concurrent use.
package fill

import (
	"slices"
	"time"
)

const (
	// bucketWidth is the time in which batch streams are preempted for a burst,
	// with a margin: 20 ms for the decision and the message, and a few decode
	// steps.
	bucketWidth = 250 * time.Millisecond
	// bucketCount buckets are a window of one minute.
	bucketCount = 240
	// burstQuantile is the quantile of the recent rises that the headroom covers.
	// Larger rises are handled by preemption.
	burstQuantile = 0.97
)

// BurstEstimator estimates bursts from the recent rises of the number of online
// streams on a server or a group of servers.
type BurstEstimator struct {
	// rises is a ring buffer with the largest rise in each bucket of time.
	rises  [bucketCount]int
	filled int // elements of rises in use
	next   int // element of rises to write next
	// The current bucket: its start, the lowest number of streams and the
	// largest rise above it.
	bucketStart time.Time
	bucketMin   int
	bucketRise  int
	lastOnline  int
	scratch     [bucketCount]int // avoids an allocation in Headroom
}

// Observe records the current number of online streams, waiting ones included.
// Only differences matter, so that the number may be a count of the reported
// starts and ends. Occupancy.Online is not suitable, because its corrections
// would look like bursts.
func (b *BurstEstimator) Observe(now time.Time, online int) {
	b.advance(now)
	b.bucketMin = min(b.bucketMin, online)
	b.bucketRise = max(b.bucketRise, online-b.bucketMin)
	b.lastOnline = online
}

// Headroom returns the number of streams to keep free for a burst.
func (b *BurstEstimator) Headroom(now time.Time) int {
	b.advance(now)
	n := copy(b.scratch[:], b.rises[:b.filled])
	if n == 0 {
		return b.bucketRise
	}
	s := b.scratch[:n]
	slices.Sort(s)
	return max(b.bucketRise, s[int(burstQuantile*float64(n-1))])
}

// advance closes the buckets that have ended by now.
func (b *BurstEstimator) advance(now time.Time) {
	if b.bucketStart.IsZero() {
		b.bucketStart = now
	}
	elapsedBuckets := int(now.Sub(b.bucketStart) / bucketWidth)
	for range min(elapsedBuckets, bucketCount) {
		b.rises[b.next] = b.bucketRise
		b.next = (b.next + 1) % bucketCount
		b.filled = min(b.filled+1, bucketCount)
		b.bucketMin, b.bucketRise = b.lastOnline, 0
	}
	b.bucketStart = b.bucketStart.Add(time.Duration(elapsedBuckets) * bucketWidth)
}

// RefillInterval is the longest time between two calls of StreamsToStart for a
// server. With it a free slot is filled within 100 ms, including the time to send
// the request.
const RefillInterval = 50 * time.Millisecond

// Server is the state of one server.
type Server struct {
	Slots int
	// Online and Batch are numbers of streams on the server. Waiting is the
	// number of online requests that the engine has not started.
	Online, Batch, Waiting int
	// BatchPrefilling is the number of batch streams without a first token.
	BatchPrefilling int
	// KVFree is the free share of the KV memory and KVPerStream the share that a
	// batch stream takes. A zero KVPerStream ignores memory.
	KVFree, KVPerStream float64
	// Headroom is the number of slots to keep free; see BurstEstimator.
	Headroom int
	// MaxStreams limits the online and batch streams together, to keep decoding
	// fast; zero means no limit. See OnlineFirstStreamLimit.
	MaxStreams int
	// HoldUntil is the time until which no batch stream is started after a
	// preemption.
	HoldUntil time.Time
}

const (
	// maxBatchPrefilling bounds the batch prompts in an engine's queue. The
	// engine takes requests in order of arrival, so an online request waits for
	// at most these prompts.
	maxBatchPrefilling = 2
	// kvReserve is the share of KV memory kept free for online requests.
	kvReserve = 0.1
)

// MaxBatchStreams returns the number of batch streams that the server may run.
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

// StreamsToStart returns the number of batch streams to start on the server now.
func StreamsToStart(now time.Time, s Server) int {
	if s.Waiting > 0 || now.Before(s.HoldUntil) {
		return 0
	}
	return max(0, min(MaxBatchStreams(s)-s.Batch, maxBatchPrefilling-s.BatchPrefilling))
}

const (
	// maxReservedShare is the share of the fleet's slots that are kept free of
	// batch streams on the online-first servers, so that decoding is faster there.
	maxReservedShare = 0.10
	// lowOnlineShare is the share of the fleet's slots in use by online streams
	// up to which slots are kept free. Above it the slowest answers are those of
	// bursts, for which batch streams are preempted, so that free slots between
	// bursts would only leave servers idle.
	lowOnlineShare = 0.15
)

// OnlineFirstStreamLimit returns Server.MaxStreams for an online-first server, a
// server to which online requests are routed first. There are onlineFirst of
// them, and fleetSlots is the number of slots of all servers, of which online
// streams use onlineShare. Zero means no limit.
func OnlineFirstStreamLimit(slots, onlineFirst, fleetSlots int, onlineShare float64) int {
	if onlineFirst <= 0 || !IsLowOnlineLoad(onlineShare) {
		return 0
	}
	return max(slots/3, slots-int(maxReservedShare*float64(fleetSlots)/float64(onlineFirst)+0.5))
}

// IsLowOnlineLoad reports whether online streams use a low share of the fleet's
// slots. Servers that are not online-first then need no headroom, because the few
// online requests that reach them preempt batch streams.
func IsLowOnlineLoad(onlineShare float64) bool { return onlineShare <= lowOnlineShare }
