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
	// peakPeriod is the time after which a server that is still up has survived what it held.
	peakPeriod = 10 * time.Second
)

// Size is the size of a request.
type Size struct {
	// Tokens is the number of tokens that it holds in the KV cache, and Bytes the size of its
	// body.
	Tokens, Bytes int64
}

// Server is what is known of the requests on one start of one server. Which of them have ended is
// not known, only how many are in flight: the largest ones count as those. Its zero value is a
// server without requests.
type Server struct {
	// total is the size of all remembered placements.
	total      Size
	placements [maxPlacements]placement
	next       int
	// peak is the most bytes held since peakSince, and lastPeak that of the period before.
	peak, lastPeak int64
	peakSince      time.Time
}

type placement struct {
	Size
	at time.Time
}

// Add records a request that is placed on the server, on which inFlight requests run then
// with it.
func (s *Server) Add(now time.Time, size Size, inFlight int) {
	p := &s.placements[s.next]
	s.next = (s.next + 1) % maxPlacements
	s.total.Tokens += size.Tokens - p.Tokens
	s.total.Bytes += size.Bytes - p.Bytes
	*p = placement{size, now}
	if bytes := s.Bytes(now, inFlight); bytes > s.peak {
		s.peak = bytes
	}
}

// Tokens returns the most tokens that n requests in flight hold.
func (s *Server) Tokens(now time.Time, n int) int64 {
	return s.largest(now, n, s.total.Tokens, func(z Size) int64 { return z.Tokens })
}

// Bytes returns the most bytes that n requests in flight hold.
func (s *Server) Bytes(now time.Time, n int) int64 {
	return s.largest(now, n, s.total.Bytes, func(z Size) int64 { return z.Bytes })
}

// MayExceed reports whether requests in flight may hold more than the given size; a zero means
// no limit. It is cheap, and only if it reports true a sum is worth its price.
func (s *Server) MayExceed(limit Size) bool {
	return limit.Tokens > 0 && s.total.Tokens > limit.Tokens || limit.Bytes > 0 && s.total.Bytes > limit.Bytes
}

// largest returns the sum of the n largest recent placements.
func (s *Server) largest(now time.Time, n int, total int64, of func(Size) int64) int64 {
	if total == 0 || n <= 0 {
		return 0
	}
	var buffer [maxPlacements]int64
	sizes := buffer[:0]
	for _, p := range s.placements {
		if now.Sub(p.at) <= maxAge {
			sizes = append(sizes, of(p.Size))
		}
	}
	slices.Sort(sizes)
	var sum int64
	for _, size := range sizes[max(0, len(sizes)-n):] {
		sum += size
	}
	if excess := n - len(sizes); excess > 0 && len(sizes) == maxPlacements {
		sum += sum / maxPlacements * int64(excess)
	}
	return sum
}

// Bound is the number of bytes that the servers of a service can hold, as learned from crashes.
// Its zero value knows none.
type Bound struct {
	// survived is the most bytes that a server held and survived, and bytes the least that one
	// held that crashed; zero if none did with more than what was survived.
	survived, bytes int64
}

// Bytes returns the bound, or zero if none is known.
func (b *Bound) Bytes() int64 { return b.bytes }

// Observe records what a server that is up has survived. It must be called at each placement.
func (b *Bound) Observe(now time.Time, s *Server) {
	if now.Sub(s.peakSince) < peakPeriod {
		return
	}
	if b.survived = max(b.survived, s.lastPeak); b.bytes > 0 && b.survived >= b.bytes {
		b.bytes = 0
	}
	s.lastPeak, s.peak, s.peakSince = s.peak, 0, now
}

// RecordCrash records that a server crashed. It speaks for a bound only if the server held more
// than others survived: servers crash for other reasons too. It reports whether the bound changed.
func (b *Bound) RecordCrash(s *Server) bool {
	held := max(s.peak, s.lastPeak)
	if held <= b.survived || b.bytes > 0 && held >= b.bytes {
		return false
	}
	b.bytes = held
	return true
}
