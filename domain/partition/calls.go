package partition

import (
	"slices"
	"strings"

	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// Decision answers Begin.
type Decision uint8

// Verdicts.
const (
	// DecisionRun lets the entry instance dispatch the attempt, at most once.
	DecisionRun Decision = iota + 1
	// DecisionDone means that the call has its result, at BeginAnswer.At.
	DecisionDone
	// DecisionUnknown means that a non-idempotent call may or may not have run.
	DecisionUnknown
	// DecisionConflict means that the key names a call with another content.
	DecisionConflict
	// DecisionWait means that the call is running or being recorded; ask again when the
	// call is read back as started or finished, or its attempt is lost.
	DecisionWait
	// DecisionNotRun refuses an attempt whose deadline has passed. This owner has not
	// allowed it, but may have been replaced by one that did: the entry instance
	// closes the attempt and reports "not run" only if it has not dispatched it.
	DecisionNotRun
)

// BeginRequest asks to run a keyed call.
type BeginRequest struct {
	Ref           Ref
	Fingerprint   string
	NonIdempotent bool
	// DeadlineMs is the time after which the entry instance does not dispatch.
	DeadlineMs int64
	// Instance is the entry instance, Attempt an identifier that it uses once.
	Instance, Attempt string
}

// BeginAnswer is the answer and what to append.
type BeginAnswer struct {
	Decision Decision
	At       Location
	Entries  []*recordpb.Entry
}

type runningCall struct {
	fingerprint       string
	instance, attempt string
	deadlineMs        int64
	nonIdempotent     bool
	startQueued       bool // CallStarted is queued
	finishQueued      bool // CallFinished is queued
}

// CallTracker is the owner's memory of calls that run now. It begins empty with each
// ownership. Idempotent calls that run are only here, so that after a change of
// owner one may run again.
type CallTracker struct{ running map[Ref]*runningCall }

// NewCallTracker returns an empty memory.
func NewCallTracker() *CallTracker { return &CallTracker{running: map[Ref]*runningCall{}} }

// Begin decides on a request. The same request may ask again at any time.
func (c *CallTracker) Begin(s *State, q BeginRequest, nowMs int64) BeginAnswer {
	if call, ok := s.Call(q.Ref); ok {
		return c.beginRecorded(call, q, nowMs)
	}
	if r, ok := c.running[q.Ref]; ok {
		switch {
		case r.fingerprint != q.Fingerprint:
			return BeginAnswer{Decision: DecisionConflict}
		case r.attempt == q.Attempt && r.instance == q.Instance && !r.startQueued && !r.finishQueued:
			return BeginAnswer{Decision: DecisionRun}
		}
		return BeginAnswer{Decision: DecisionWait}
	}
	if nowMs >= q.DeadlineMs {
		return BeginAnswer{Decision: DecisionNotRun}
	}
	r := &runningCall{fingerprint: q.Fingerprint, instance: q.Instance, attempt: q.Attempt,
		deadlineMs: q.DeadlineMs, nonIdempotent: q.NonIdempotent, startQueued: q.NonIdempotent}
	c.running[q.Ref] = r
	if !q.NonIdempotent {
		return BeginAnswer{Decision: DecisionRun}
	}
	return BeginAnswer{Decision: DecisionWait, Entries: []*recordpb.Entry{{AtMs: nowMs,
		Kind: &recordpb.Entry_CallStarted{CallStarted: &recordpb.CallStarted{
			Workspace: q.Ref.Workspace, Key: q.Ref.Key, Fingerprint: []byte(q.Fingerprint),
			EntryInstance: q.Instance, Attempt: q.Attempt, DeadlineMs: q.DeadlineMs}}}}}
}

func (c *CallTracker) beginRecorded(call *Call, q BeginRequest, nowMs int64) BeginAnswer {
	switch {
	case call.Fingerprint != q.Fingerprint:
		return BeginAnswer{Decision: DecisionConflict}
	case call.Outcome == recordpb.Outcome_OUTCOME_UNKNOWN:
		return BeginAnswer{Decision: DecisionUnknown, At: call.At}
	case call.Finished():
		return BeginAnswer{Decision: DecisionDone, At: call.At}
	case call.Attempt == q.Attempt && call.Instance == q.Instance && nowMs < call.DeadlineMs && !c.finishQueued(q.Ref):
		// Read back as started for this very attempt, which its entry instance
		// dispatches at most once however often it is told.
		return BeginAnswer{Decision: DecisionRun}
	}
	return BeginAnswer{Decision: DecisionWait}
}

func (c *CallTracker) finishQueued(r Ref) bool { m, ok := c.running[r]; return ok && m.finishQueued }

// Lookup answers a question about a call without running it; zero for a key
// that nobody has used.
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

// Finish returns the entry that records a result, nil if the call already has
// its outcome, which stands. The caller may be told that its result is recorded
// only if the entry is read back with a CallFinished event.
func (c *CallTracker) Finish(s *State, f *recordpb.CallFinished, nowMs int64) *recordpb.Entry {
	r := refOf(f)
	if call, ok := s.Call(r); ok && (call.Finished() || call.Fingerprint != string(f.Fingerprint)) {
		return nil
	}
	if m, ok := c.running[r]; ok {
		m.finishQueued = true
	} else {
		c.running[r] = &runningCall{fingerprint: string(f.Fingerprint), nonIdempotent: f.NonIdempotent, finishQueued: true}
	}
	if f.FinishedMs == 0 {
		f.FinishedMs = nowMs
	}
	return &recordpb.Entry{AtMs: nowMs, Kind: &recordpb.Entry_CallFinished{CallFinished: f}}
}

// Observe takes the effect of a record on the calls that run.
func (c *CallTracker) Observe(a *Applied) {
	for _, e := range a.Events {
		switch e := e.(type) {
		case *CallStarted:
			if m, ok := c.running[e.Ref]; ok {
				m.startQueued = false
			}
		case *CallFinished:
			delete(c.running, e.Ref)
		}
	}
}

// Forget drops a call whose CallStarted or CallFinished was withdrawn from the
// writer, or whose entry instance gave up an idempotent attempt.
func (c *CallTracker) Forget(r Ref) { delete(c.running, r) }

// EndByInstance ends the attempts of an entry instance that is gone: idempotent calls may
// run again, started non-idempotent calls end as unknown. It returns the calls
// that were forgotten, whose waiting requests should ask again, and the entries.
func (c *CallTracker) EndByInstance(s *State, instance string, nowMs int64) ([]Ref, []*recordpb.Entry) {
	return c.endAttempts(s, nowMs, func(i string, _ int64) bool { return i == instance })
}

// EndOverdue ends the attempts whose deadline has passed by grace, in the same way.
func (c *CallTracker) EndOverdue(s *State, nowMs, graceMs int64) ([]Ref, []*recordpb.Entry) {
	return c.endAttempts(s, nowMs, func(_ string, deadline int64) bool { return nowMs >= deadline+graceMs })
}

func (c *CallTracker) endAttempts(s *State, nowMs int64, over func(instance string, deadlineMs int64) bool) ([]Ref, []*recordpb.Entry) {
	var forgotten []Ref
	for r, m := range c.running {
		if !m.nonIdempotent && !m.finishQueued && over(m.instance, m.deadlineMs) {
			delete(c.running, r)
			forgotten = append(forgotten, r)
		}
	}
	var out []*recordpb.Entry
	for r, call := range s.unfinishedCalls {
		if call.Finished() || c.finishQueued(r) || !over(call.Instance, call.DeadlineMs) {
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
