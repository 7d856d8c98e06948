// Package preempt decides which batch streams make way for an online request.
//
// Decide chooses the streams to cancel. Guard keeps refilling from undoing a
// preemption at once, and bounds the tokens that preemption wastes. Nothing
// here does I/O or reads a clock.
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
	// OutputTokens are the output tokens so far, ExpectedTokens the length of the answer.
	OutputTokens, ExpectedTokens int
	// PrefillTokens are the prompt tokens that the engine has to process, or a resume
	// has to process again; those expected in a prefix cache are left out.
	PrefillTokens int
	// KVShare is the stream's share of the server's KVShare memory, 0 to 1.
	KVShare float64
	// NonIdempotent streams are never cancelled, because their item could not
	// run again.
	NonIdempotent bool
}

// Server is the state of the server at the arrival.
type Server struct {
	Slots int
	// OnlineStreams are the online streams before the arrival, waiting ones included.
	OnlineStreams int
	FreeKVShare   float64
	// Headroom is the number of slots that stay free after the arrival.
	Headroom int
	// MaxStreams bounds the streams while online requests run; zero is no bound.
	MaxStreams int
	// MaxPrefillAhead is the number of prompt tokens of batch streams that may be ahead
	// of the arrival's prompt. See Guard.MaxPrefillAhead.
	MaxPrefillAhead int
}

// Arrival is what arrives.
type Arrival struct {
	// Requests is the number of online requests, at least 1.
	Requests int
	// KVShare is the share of KVShare memory that they need.
	KVShare float64
}

// Victim is a cancelled stream with what is kept of it.
type Victim struct {
	ID uint64
	// OutputTokens tokens are kept and are not generated again.
	OutputTokens int
	// WastedTokens are the tokens that have to be processed again.
	WastedTokens int
}

// SelectVictims appends to dst the batch streams to cancel, so that the arrival finds
// a slot and memory at once. Streams without a first token go first, and go in
// any case when their prompts are long, because the engine would work on them
// before the arrival's; then the least
// progressed, by the tokens that a resume has to process again, and among those
// the newest.
// streams is reordered.
func SelectVictims(s Server, streams []Stream, a Arrival, dst []Victim) []Victim {
	limit := s.Slots - s.Headroom
	if s.MaxStreams > 0 {
		limit = min(limit, s.MaxStreams)
	}
	over := s.OnlineStreams + max(1, a.Requests) + len(streams) - limit
	memory := a.KVShare - s.FreeKVShare
	ahead := 0
	for _, b := range streams {
		if b.OutputTokens == 0 && !b.NonIdempotent {
			ahead += b.PrefillTokens
		}
	}
	slices.SortFunc(streams, compare)
	for _, b := range streams {
		if b.NonIdempotent {
			continue
		}
		if over <= 0 && memory <= 0 && (b.OutputTokens > 0 || ahead <= s.MaxPrefillAhead) {
			break
		}
		dst = append(dst, Victim{ID: b.ID, OutputTokens: b.OutputTokens, WastedTokens: b.waste()})
		over--
		memory -= b.KVShare
		if b.OutputTokens == 0 {
			ahead -= b.PrefillTokens
		}
	}
	return dst
}

// waste is what a resume processes again: the prompt and the produced tokens,
// as prefill. A stream without a first token wastes at most its prompt.
func (b Stream) waste() int { return b.PrefillTokens + b.OutputTokens }

func compare(a, b Stream) int {
	if (a.OutputTokens == 0) != (b.OutputTokens == 0) {
		return cmp.Compare(min(a.OutputTokens, 1), min(b.OutputTokens, 1))
	}
	return cmp.Or(
		cmp.Compare(a.waste()/progressStep, b.waste()/progressStep),
		b.Started.Compare(a.Started),
		cmp.Compare(b.ID, a.ID),
	)
}

// progressStep is the number of processed tokens within which two streams count
// as equally progressed, so that among them the newest goes first. It is a
// fifth of a second of decoding, too little to matter.
const progressStep = 8
