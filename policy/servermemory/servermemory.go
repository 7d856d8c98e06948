// Package servermemory estimates the memory that the requests on a server take, from the sizes of
// those that were placed there and the number in flight, and learns from crashes how many bytes
// a server can hold. It performs no I/O.
package servermemory

import (
	"slices"
	"time"
)

const (
	// maxPlacements is the number of placements that a Server remembers; with more requests in
	// flight the rest count as of mean size.
	maxPlacements = 32
	// maxAge is the age above which a placement does not count: its request has ended, or nearly.
	maxAge = 20 * time.Second
)

// Size is the size of a request.
type Size struct {
	// Tokens is the number of tokens that it holds in the KV cache, and Bytes the size of its
	// body.
	Tokens, Bytes int64
}

// InFlight is the number of requests in flight on a server by class.
type InFlight struct{ Online, Batch int }

// total returns the number over all classes.
func (n InFlight) total() int { return n.Online + n.Batch }

// Server is what is known of the requests on one start of one server. Which of them have ended is
// not known, only how many of each class are in flight: the largest ones count as those for the
// most that it may hold, and the smallest ones for the least. Its zero value is a server without
// requests.
type Server struct {
	// total is the size of all remembered placements.
	total      Size
	placements [maxPlacements]placement
	next       int
	survival   survival
}

type placement struct {
	Size
	batch bool
	at    time.Time
}

// Add records a request that is placed on the server, on which inFlight requests run then
// with it.
func (s *Server) Add(now time.Time, size Size, batch bool, inFlight InFlight) {
	p := &s.placements[s.next]
	s.next = (s.next + 1) % maxPlacements
	s.total.Tokens += size.Tokens - p.Tokens
	s.total.Bytes += size.Bytes - p.Bytes
	*p = placement{size, batch, now}
	s.survival.rise(now, s.leastBytes(now, inFlight))
}

// Tokens returns the most tokens that requests in flight hold.
func (s *Server) Tokens(now time.Time, inFlight InFlight) int64 {
	return s.most(now, inFlight, s.total.Tokens, func(z Size) int64 { return z.Tokens })
}

// Bytes returns the most bytes that requests in flight hold.
func (s *Server) Bytes(now time.Time, inFlight InFlight) int64 {
	return s.most(now, inFlight, s.total.Bytes, func(z Size) int64 { return z.Bytes })
}

// MayExceed reports whether requests in flight may hold more than the given size; a zero means
// no limit. It is cheap, and only if it reports true a sum is worth its price.
func (s *Server) MayExceed(limit Size) bool {
	return limit.Tokens > 0 && s.total.Tokens > limit.Tokens || limit.Bytes > 0 && s.total.Bytes > limit.Bytes
}

// most returns the sum of the largest recent placements of each class.
func (s *Server) most(now time.Time, inFlight InFlight, total int64, of func(Size) int64) int64 {
	if total == 0 || inFlight.total() <= 0 {
		return 0
	}
	var online, batch [maxPlacements]int64
	onlineSizes, batchSizes := s.recent(now, of, online[:0], batch[:0])
	known := len(onlineSizes) + len(batchSizes)
	sum := sumLargest(onlineSizes, inFlight.Online) + sumLargest(batchSizes, inFlight.Batch)
	counted := min(inFlight.Online, len(onlineSizes)) + min(inFlight.Batch, len(batchSizes))
	if excess := inFlight.total() - counted; excess > 0 && known == maxPlacements && counted > 0 {
		sum += sum / int64(counted) * int64(excess)
	}
	return sum
}

// leastBytes returns the least bytes that requests in flight hold: the sum of the smallest recent
// placements of each class.
func (s *Server) leastBytes(now time.Time, inFlight InFlight) int64 {
	var online, batch [maxPlacements]int64
	onlineSizes, batchSizes := s.recent(now, func(z Size) int64 { return z.Bytes }, online[:0], batch[:0])
	return sumSmallest(onlineSizes, inFlight.Online) + sumSmallest(batchSizes, inFlight.Batch)
}

// recent appends the sizes of the recent placements of each class in ascending order.
func (s *Server) recent(now time.Time, of func(Size) int64, online, batch []int64) (onlineSizes, batchSizes []int64) {
	for _, p := range s.placements {
		switch {
		case now.Sub(p.at) > maxAge:
		case p.batch:
			batch = append(batch, of(p.Size))
		default:
			online = append(online, of(p.Size))
		}
	}
	slices.Sort(online)
	slices.Sort(batch)
	return online, batch
}

// sumLargest returns the sum of the n largest of ascending sizes, or of all if there are fewer.
func sumLargest(sizes []int64, n int) int64 { return sum(sizes[max(0, len(sizes)-max(0, n)):]) }

// sumSmallest returns the sum of the n smallest of ascending sizes, or of all if there are fewer.
func sumSmallest(sizes []int64, n int) int64 { return sum(sizes[:min(len(sizes), max(0, n))]) }

func sum(sizes []int64) (sum int64) {
	for _, size := range sizes {
		sum += size
	}
	return sum
}
