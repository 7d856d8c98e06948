package api

import (
	"context"
	"time"
)

// Calls records keyed calls with the owners of their partitions.
type Calls interface {
	// Begin asks the owner for permission to run a keyed call. While another run
	// of the same call is in progress, it waits until that run ends, at most until
	// ctx ends; it then returns StateRunning. For a non-idempotent call StateMayRun
	// means that CallStarted has been recorded and read back. A refusal with
	// CodeLogUnavailable or CodeOwnerUnavailable and outcome NotRun means that
	// nothing was recorded; outcome Unknown means that the response to an append
	// was lost.
	Begin(ctx context.Context, req BeginRequest) (BeginResult, error)

	// Finish records the result of a call that Begin allowed to run, or of an
	// idempotent call that ran without Begin. It returns after the record has been
	// read back. If several results of the call were recorded, the first in stream
	// order is valid, and Finish returns that one.
	Finish(ctx context.Context, req FinishRequest) (CallResult, error)

	// Lookup returns the state of a call without waiting. The refusal has
	// CodeNotFound if the workspace has not used the key or the call's retention
	// time is over.
	Lookup(ctx context.Context, workspace, key string) (BeginResult, error)
}

// BeginRequest is a request for permission to run a keyed call.
type BeginRequest struct {
	Workspace     string
	Key           string
	Fingerprint   []byte
	NonIdempotent bool
	Deadline      time.Time
}

// CallState is the state of a keyed call according to its owner.
type CallState int

// The states of a keyed call.
const (
	// StateMayRun: the instance that called Begin may run the call.
	StateMayRun CallState = iota + 1
	// StateDone: the call has ended and Result holds its answer.
	StateDone
	// StateRunning: another run of the call is still in progress.
	StateRunning
	// StateUnknown: a non-idempotent call was started and its answer was lost.
	// The call is never run again.
	StateUnknown
	// StateConflict: the key belongs to a call with another fingerprint.
	StateConflict
)

// BeginResult is the result of Begin and Lookup.
type BeginResult struct {
	State CallState
	// Result is set with StateDone.
	Result *CallResult
}

// CallResult is the recorded result of a keyed call.
type CallResult struct {
	// Outcome is Ran, or Unknown if the answer was lost.
	Outcome Outcome
	// Failed is set when the answer has an error status (4xx or 5xx).
	Failed     bool
	Answer     Answer
	FinishedAt time.Time
}

// FinishRequest reports how a keyed call ended at its entry instance.
type FinishRequest struct {
	Workspace     string
	Key           string
	Fingerprint   []byte
	NonIdempotent bool
	// Abandoned is set when the call was not run and may be started again.
	// Result is then empty.
	Abandoned bool
	Result    CallResult
}

// Header is one header field of an answer.
type Header struct{ Name, Value string }

// Answer is the HTTP response to a caller's request.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}
