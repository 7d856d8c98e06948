package api

import (
	"context"
	"time"
)

// Calls reaches the owners of keyed calls' partitions.
type Calls interface {
	// Begin asks for the right to run a keyed call. It waits, at most until
	// ctx ends, while another run of the same call is in progress, and then
	// returns StateRunning. For a non-idempotent call StateMayRun means that
	// CallStarted was recorded and read back. A refusal with CodeLogUnavailable
	// or CodeOwnerUnavailable and outcome NotRun means that nothing was
	// recorded; outcome Unknown means that the response to an append was lost.
	Begin(ctx context.Context, req BeginRequest) (BeginResult, error)

	// Finish records the end of a call that Begin allowed to run, or of an
	// idempotent call that ran without Begin. It returns after the record was
	// read back, with the result that stands: the first in stream order.
	Finish(ctx context.Context, req FinishRequest) (CallResult, error)

	// Lookup reports on a call without waiting. CodeNotFound reports a key
	// that the workspace has not used or whose retention is over.
	Lookup(ctx context.Context, workspace, key string) (BeginResult, error)
}

// BeginRequest names a keyed call.
type BeginRequest struct {
	Workspace     string
	Key           string
	Fingerprint   []byte
	NonIdempotent bool
	Deadline      time.Time
}

// CallState is the state of a keyed call at its owner.
type CallState int

// The states of a keyed call.
const (
	// StateMayRun: the asking instance is to run the call.
	StateMayRun CallState = iota + 1
	// StateDone: the call has ended and Result holds its answer.
	StateDone
	// StateRunning: another run is still in progress.
	StateRunning
	// StateUnknown: a non-idempotent call was started and its answer was lost;
	// it is never run again.
	StateUnknown
	// StateConflict: the key belongs to a call with another fingerprint.
	StateConflict
)

// BeginResult is the answer to Begin and Lookup.
type BeginResult struct {
	State CallState
	// Result is set with StateDone.
	Result *CallResult
}

// CallResult is the recorded end of a keyed call.
type CallResult struct {
	// Outcome is Ran, or Unknown when the answer was lost.
	Outcome Outcome
	// Failed marks an answer that refuses the request.
	Failed bool
	Answer Answer
	// FinishedAt is the time of completion.
	FinishedAt time.Time
}

// FinishRequest is the end of a keyed call at its entry instance.
type FinishRequest struct {
	Workspace     string
	Key           string
	Fingerprint   []byte
	NonIdempotent bool
	// Abandoned is set when nothing was run and the call may be begun again.
	// Result is empty then.
	Abandoned bool
	Result    CallResult
}

// Header is one header field of an answer.
type Header struct{ Name, Value string }

// Answer is an HTTP answer for a caller.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}
