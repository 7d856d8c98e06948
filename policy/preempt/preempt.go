// Package preempt decides which batch streams are preempted by an online request.
//
// SelectVictims selects the streams to cancel. A Controller delays refilling after a
// preemption, so that the new batch streams are not preempted at once, and limits the
// tokens wasted by preemption. The package does no I/O and reads no clock.
package preempt

import (
	"cmp"
	"slices"
	"time"
)

// Stream is a batch stream on a server.
type Stream struct {
	ID      uint64
	Started time.Time
	// OutputTokens is the number of output tokens so far, ExpectedTokens the expected
	// length of the whole answer.
	OutputTokens, ExpectedTokens int
	// PrefillTokens is the number of prompt tokens that the engine has to process, again
	// if the stream is resumed. Tokens expected in a prefix cache do not count.
	PrefillTokens int
	// KVShare is the stream's share of the server's KV cache memory, 0 to 1.
	KVShare float64
	// NonIdempotent streams are never cancelled, because their item must not run again.
	NonIdempotent bool
}

// Server is the state of a server when an online request arrives.
type Server struct {
	Slots int
	// OnlineStreams is the number of online streams before the arrival, including those
	// that wait.
	OnlineStreams int
	// FreeKVShare is the free share of the KV cache memory, 0 to 1.
	FreeKVShare float64
	// Headroom is the number of slots to leave free after the arrival.
	Headroom int
	// MaxStreams is the maximum number of streams while online requests run; zero means
	// no limit.
	MaxStreams int
	// MaxPrefillAhead is the maximum number of batch prompt tokens that the engine may
	// process before the prompt of the arrival. See Controller.MaxPrefillAhead.
	MaxPrefillAhead int
}

// Arrival describes arriving online requests.
type Arrival struct {
	// Requests is the number of online requests, at least 1.
	Requests int
	// KVShare is the share of the server's KV cache memory that they need, 0 to 1.
	KVShare float64
}

// Victim is a stream to cancel. It is resumed later.
type Victim struct {
	ID uint64
	// OutputTokens is the number of output tokens that are kept and not generated again.
	OutputTokens int
	// WastedTokens is the number of tokens that have to be processed again.
	WastedTokens int
}

// SelectVictims appends to dst the batch streams to cancel, so that a slot and memory are
// free for the arrival at once. Streams without a first token are selected first, followed
// by those with the fewest tokens to process again after a resume; the newest is selected
// among equals. Streams without a first token are also selected while their prompts exceed
// MaxPrefillAhead, because the engine would process these before the prompt of the arrival.
// SelectVictims reorders streams.
func SelectVictims(s Server, streams []Stream, a Arrival, dst []Victim) []Victim {
	limit := s.Slots - s.Headroom
	if s.MaxStreams > 0 {
		limit = min(limit, s.MaxStreams)
	}
	excessStreams := s.OnlineStreams + max(1, a.Requests) + len(streams) - limit
	missingKV := a.KVShare - s.FreeKVShare
	prefillAhead := 0
	for _, stream := range streams {
		if stream.OutputTokens == 0 && !stream.NonIdempotent {
			prefillAhead += stream.PrefillTokens
		}
	}
	slices.SortFunc(streams, compareVictims)
	for _, stream := range streams {
		if stream.NonIdempotent {
			continue
		}
		if excessStreams <= 0 && missingKV <= 0 && (stream.OutputTokens > 0 || prefillAhead <= s.MaxPrefillAhead) {
			break
		}
		dst = append(dst, Victim{ID: stream.ID, OutputTokens: stream.OutputTokens, WastedTokens: stream.reprocessedTokens()})
		excessStreams--
		missingKV -= stream.KVShare
		if stream.OutputTokens == 0 {
			prefillAhead -= stream.PrefillTokens
		}
	}
	return dst
}

// reprocessedTokens returns the number of tokens that a resumed stream processes again, as
// prefill: the prompt and the output so far. A stream without a first token wastes at most
// its prompt.
func (s Stream) reprocessedTokens() int { return s.PrefillTokens + s.OutputTokens }

// compareVictims orders streams by preemption, the first victim first.
func compareVictims(a, b Stream) int {
	if (a.OutputTokens == 0) != (b.OutputTokens == 0) {
		return cmp.Compare(min(a.OutputTokens, 1), min(b.OutputTokens, 1))
	}
	return cmp.Or(
		cmp.Compare(a.reprocessedTokens()/progressGranularity, b.reprocessedTokens()/progressGranularity),
		b.Started.Compare(a.Started),
		cmp.Compare(b.ID, a.ID),
	)
}

// progressGranularity is the number of tokens within which two streams count as having made
// the same progress, so that the newest is preempted first. It amounts to a fifth of a
// second of decoding, which is negligible.
const progressGranularity = 8
