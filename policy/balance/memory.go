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

// overflows reports whether the request would overflow the memory of a server with others on it.
// A server without requests takes any.
func (p *prompts) overflows(now time.Time, s *serverState, q *Query) bool {
	if p == nil || s.memory == nil || !q.CompleteView || s.inFlight() == 0 {
		return false
	}
	size, limit := q.size(), servermemory.Size{Tokens: p.cache.Capacity(), Bytes: p.bound.Bytes()}
	limit.Tokens = max(1, limit.Tokens-size.Tokens)
	if limit.Bytes > 0 {
		limit.Bytes = max(1, limit.Bytes-size.Bytes)
	}
	if !s.memory.MayExceed(limit) {
		return false
	}
	n := s.inFlight()
	return s.memory.Tokens(now, n) > limit.Tokens || limit.Bytes > 0 && s.memory.Bytes(now, n) > limit.Bytes
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
	s.memory.Add(now, q.size(), s.inFlight()+1)
	if len(q.Prompt) > 0 {
		t.placePrompt(p, s, q)
	}
}

// recordStop records that a server is gone or was started again. It crashed unless it was leaving.
func (t *Table) recordStop(s *serverState) {
	s.forgetPrompts()
	if p := t.prompts[s.server.Service]; p != nil && s.memory != nil && s.server.Usable() {
		p.bound.RecordCrash(s.memory)
	}
}
