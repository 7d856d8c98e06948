package balance

import (
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/servermemory"
)

const (
	// outputDivisor is the ratio of the maximum output of a request to what it holds of it on
	// average while it runs.
	outputDivisor = 2
	// overflowCost is the cost of a server whose memory a request would overflow, which
	// interrupts another request or crashes the server: a free slot there is worse than the slot
	// of a batch request elsewhere, and better than a place in a queue.
	overflowCost = preemptionBaseCost
)

// size returns the memory that the request takes on its server.
func (q *Query) size() servermemory.Size {
	return servermemory.Size{Tokens: q.PromptTokens + q.OutputTokens/outputDivisor, Bytes: q.Bytes}
}

// room says whether a request fits into the memory of a server.
type room uint8

const (
	fits        room = iota
	overflows        // it would overflow the memory
	fitsOnTrial      // it would exceed what servers are known to hold, which this one may try
)

// room returns whether the request fits into the memory of a server with others on it. A server
// without requests takes any.
func (p *prompts) room(now time.Time, s *serverState, q *Query) room {
	if p == nil || s.memory == nil || !q.CompleteView || s.inFlight() == 0 {
		return fits
	}
	size, limit := q.size(), servermemory.Size{Tokens: p.cache.Capacity(), Bytes: p.bound.Limit(s.memory)}
	limit.Tokens = max(1, limit.Tokens-size.Tokens)
	if limit.Bytes > 0 {
		limit.Bytes = max(1, limit.Bytes-size.Bytes)
	}
	if !s.memory.MayExceed(limit) {
		return fits
	}
	n := s.requests()
	switch {
	case s.memory.Tokens(now, n) > limit.Tokens:
		return overflows
	case limit.Bytes == 0 || s.memory.Bytes(now, n) <= limit.Bytes:
		return fits
	}
	p.bound.Observe(now, s.memory)
	if q.Class == Batch && p.bound.MayTry(now, s.memory) {
		return fitsOnTrial
	}
	return overflows
}

// requests returns the known requests in flight by class.
func (s *serverState) requests() servermemory.InFlight {
	return servermemory.InFlight{Online: s.own[Online] + s.peers[Online], Batch: s.own[Batch] + s.peers[Batch]}
}

// recordBroken records that a request broke on the server, before it is subtracted from those in flight.
func (s *serverState) recordBroken(now time.Time) {
	if s.memory != nil {
		s.memory.RecordBroken(now, s.requests())
	}
}

// recordPlacement records the prompt and the size of a request that is placed on a server.
func (t *Table) recordPlacement(now time.Time, s *serverState, q *Query) {
	p := t.prompts[q.Service]
	if p == nil || !q.CompleteView {
		return
	}
	if s.memory == nil {
		s.memory = &servermemory.Server{}
	}
	p.bound.Observe(now, s.memory)
	if p.room(now, s, q) == fitsOnTrial {
		p.bound.StartTrial(now, s.memory)
	}
	n := s.requests()
	if q.Class == Batch {
		n.Batch++
	} else {
		n.Online++
	}
	s.memory.Add(now, q.size(), q.Class == Batch, n)
	if len(q.Prompt) > 0 {
		t.placePrompt(p, s, q)
	}
}

// recordStop records that a server is gone or was started again. It crashed unless it was leaving.
func (t *Table) recordStop(now time.Time, s *serverState) {
	s.forgetPrompts()
	if p := t.prompts[s.server.Service]; p != nil && s.memory != nil && s.server.Usable() {
		p.bound.RecordStop(now, s.memory)
	}
}
