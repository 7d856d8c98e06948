package partition

import (
	"slices"
	"strings"

	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// Decision is the result of CallTracker.Begin.
type Decision uint8

// Decisions.
const (
	// DecisionRun allows the entry instance to dispatch the attempt once.
	DecisionRun Decision = iota + 1
	// DecisionDone means that the result of the call is recorded at BeginAnswer.At.
	DecisionDone
	// DecisionUnknown means that a non-idempotent call may or may not have run.
	DecisionUnknown
	// DecisionConflict means that the key is used by a call with other content.
	DecisionConflict
	// DecisionWait means that the call is running or being recorded. Call Begin
	// again when the call is read back as started or finished, or its attempt ends.
	DecisionWait
	// DecisionNotRun refuses an attempt whose deadline has passed. This owner has
	// not allowed it, but an owner that replaced this one may have. The entry
	// instance therefore closes the attempt and reports "not run" only if it has
	// not dispatched it.
	DecisionNotRun
)

// BeginRequest is a request to run a keyed call.
type BeginRequest struct {
	Ref           Ref
	Fingerprint   string
	NonIdempotent bool
	// DeadlineMs is the time after which the entry instance does not dispatch.
	DeadlineMs int64
	// Instance is the entry instance, Attempt a unique identifier that it chose.
	Instance, Attempt string
}

// BeginAnswer is a decision, the location of a recorded outcome and the entries to
// append.
type BeginAnswer struct {
	Decision Decision
	At       Location
	Entries  []*recordpb.Entry
}

// runningCall is an attempt that runs, or a call whose CallFinished is queued.
type runningCall struct {
	fingerprint       string
	instance, attempt string
	deadlineMs        int64
	nonIdempotent     bool
	startQueued       bool // CallStarted is queued
	finishQueued      bool // CallFinished is queued
}

// CallTracker tracks the running calls in the memory of the owner. A new owner
// starts with an empty one. Running idempotent calls are not on the stream, so that
// such a call can run again after a change of owner.
type CallTracker struct{ running map[Ref]*runningCall }

// NewCallTracker returns an empty tracker.
func NewCallTracker() *CallTracker { return &CallTracker{running: map[Ref]*runningCall{}} }

// Begin decides whether a call may run. It can be repeated with the same request
// at any time.
func (c *CallTracker) Begin(s *State, req BeginRequest, nowMs int64) BeginAnswer {
	if call, ok := s.Call(req.Ref); ok {
		return c.beginRecorded(call, req, nowMs)
	}
	if rc, ok := c.running[req.Ref]; ok {
		switch {
		case rc.fingerprint != req.Fingerprint:
			return BeginAnswer{Decision: DecisionConflict}
		case rc.attempt == req.Attempt && rc.instance == req.Instance && !rc.startQueued && !rc.finishQueued:
			return BeginAnswer{Decision: DecisionRun}
		}
		return BeginAnswer{Decision: DecisionWait}
	}
	if nowMs >= req.DeadlineMs {
		return BeginAnswer{Decision: DecisionNotRun}
	}
	rc := &runningCall{fingerprint: req.Fingerprint, instance: req.Instance, attempt: req.Attempt,
		deadlineMs: req.DeadlineMs, nonIdempotent: req.NonIdempotent, startQueued: req.NonIdempotent}
	c.running[req.Ref] = rc
	if !req.NonIdempotent {
		return BeginAnswer{Decision: DecisionRun}
	}
	return BeginAnswer{Decision: DecisionWait, Entries: []*recordpb.Entry{{AtMs: nowMs,
		Kind: &recordpb.Entry_CallStarted{CallStarted: &recordpb.CallStarted{
			Workspace: req.Ref.Workspace, Key: req.Ref.Key, Fingerprint: []byte(req.Fingerprint),
			EntryInstance: req.Instance, Attempt: req.Attempt, DeadlineMs: req.DeadlineMs}}}}}
}

func (c *CallTracker) beginRecorded(call *Call, req BeginRequest, nowMs int64) BeginAnswer {
	switch {
	case call.Fingerprint != req.Fingerprint:
		return BeginAnswer{Decision: DecisionConflict}
	case call.Outcome == recordpb.Outcome_OUTCOME_UNKNOWN:
		return BeginAnswer{Decision: DecisionUnknown, At: call.At}
	case call.Finished():
		return BeginAnswer{Decision: DecisionDone, At: call.At}
	case call.Attempt == req.Attempt && call.Instance == req.Instance && nowMs < call.DeadlineMs && !c.finishQueued(req.Ref):
		// The recorded start is of this attempt, which its entry instance dispatches
		// at most once however often it gets this answer.
		return BeginAnswer{Decision: DecisionRun}
	}
	return BeginAnswer{Decision: DecisionWait}
}

func (c *CallTracker) finishQueued(r Ref) bool { rc, ok := c.running[r]; return ok && rc.finishQueued }

// Lookup returns the status of a call without running it. The decision is zero for
// an unused key.
func (c *CallTracker) Lookup(s *State, r Ref) BeginAnswer {
	call, ok := s.Call(r)
	switch {
	case ok && call.Outcome == recordpb.Outcome_OUTCOME_UNKNOWN:
		return BeginAnswer{Decision: DecisionUnknown, At: call.At}
	case ok && call.Finished():
		return BeginAnswer{Decision: DecisionDone, At: call.At}
	case ok || c.running[r] != nil:
		return BeginAnswer{Decision: DecisionWait}
	}
	return BeginAnswer{}
}

// Finish returns the entry that records a result, nil if the call already has an
// outcome, which is final, or if the key is used by a call with other content. The
// caller may be told that its result is recorded only when the entry is read back
// with a CallFinished event.
func (c *CallTracker) Finish(s *State, f *recordpb.CallFinished, nowMs int64) *recordpb.Entry {
	r := refOf(f)
	if call, ok := s.Call(r); ok && (call.Finished() || call.Fingerprint != string(f.Fingerprint)) {
		return nil
	}
	if rc, ok := c.running[r]; ok {
		rc.finishQueued = true
	} else {
		c.running[r] = &runningCall{fingerprint: string(f.Fingerprint), nonIdempotent: f.NonIdempotent, finishQueued: true}
	}
	if f.FinishedMs == 0 {
		f.FinishedMs = nowMs
	}
	return &recordpb.Entry{AtMs: nowMs, Kind: &recordpb.Entry_CallFinished{CallFinished: f}}
}

// Observe updates the running calls after a record was applied.
func (c *CallTracker) Observe(a *Applied) {
	for _, e := range a.Events {
		switch e := e.(type) {
		case *CallStarted:
			if rc, ok := c.running[e.Ref]; ok {
				rc.startQueued = false
			}
		case *CallFinished:
			delete(c.running, e.Ref)
		}
	}
}

// Forget removes a call whose CallStarted or CallFinished was withdrawn from the
// writer, or whose entry instance abandoned an idempotent attempt.
func (c *CallTracker) Forget(r Ref) { delete(c.running, r) }

// EndByInstance ends the attempts of an entry instance that has failed or left.
// Idempotent calls may run again; started non-idempotent calls end with an unknown
// outcome. It returns the calls that were removed, whose waiting requests should call
// Begin again, and the entries to append.
func (c *CallTracker) EndByInstance(s *State, instance string, nowMs int64) ([]Ref, []*recordpb.Entry) {
	return c.endAttempts(s, nowMs, func(i string, _ int64) bool { return i == instance })
}

// EndOverdue ends, in the same way, the attempts whose deadline passed at least
// graceMs ago.
func (c *CallTracker) EndOverdue(s *State, nowMs, graceMs int64) ([]Ref, []*recordpb.Entry) {
	return c.endAttempts(s, nowMs, func(_ string, deadline int64) bool { return nowMs >= deadline+graceMs })
}

func (c *CallTracker) endAttempts(s *State, nowMs int64, ended func(instance string, deadlineMs int64) bool) ([]Ref, []*recordpb.Entry) {
	var forgotten []Ref
	for r, rc := range c.running {
		if !rc.nonIdempotent && !rc.finishQueued && ended(rc.instance, rc.deadlineMs) {
			delete(c.running, r)
			forgotten = append(forgotten, r)
		}
	}
	var out []*recordpb.Entry
	for r, call := range s.unfinishedCalls {
		if call.Finished() || c.finishQueued(r) || !ended(call.Instance, call.DeadlineMs) {
			continue
		}
		e := c.Finish(s, &recordpb.CallFinished{Workspace: r.Workspace, Key: r.Key, NonIdempotent: true,
			Fingerprint: []byte(call.Fingerprint), Outcome: recordpb.Outcome_OUTCOME_UNKNOWN}, nowMs)
		out = append(out, e)
	}
	slices.SortFunc(forgotten, Ref.compare)
	slices.SortFunc(out, func(a, b *recordpb.Entry) int {
		return refOf(a.GetCallFinished()).compare(refOf(b.GetCallFinished()))
	})
	return forgotten, out
}

func refOf(f *recordpb.CallFinished) Ref { return Ref{Workspace: f.Workspace, Key: f.Key} }

func (r Ref) compare(o Ref) int {
	if c := strings.Compare(r.Workspace, o.Workspace); c != 0 {
		return c
	}
	return strings.Compare(r.Key, o.Key)
}
