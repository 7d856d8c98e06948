package partition

import (
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// Call is the recorded state of a keyed call. An idempotent call is recorded only
// when it is finished.
type Call struct {
	Fingerprint string
	// NonIdempotent is set for a call that may be dispatched at most once.
	NonIdempotent bool
	// Instance and Attempt identify the attempt that CallStarted allows to
	// dispatch. They and the deadline are cleared when the call is finished.
	Instance, Attempt string
	DeadlineMs        int64
	// Outcome is OUTCOME_UNSPECIFIED while the call is started and not finished.
	Outcome    recordpb.Outcome
	FinishedMs int64
	// At is the location of the CallFinished entry.
	At Location
}

// Finished reports whether the call has an outcome.
func (c *Call) Finished() bool { return c.Outcome != recordpb.Outcome_OUTCOME_UNSPECIFIED }

// Key binds a job key to the content of a submission and to its job.
type Key struct {
	Content string
	JobID   string
	BoundMs int64
}

// callStarted applies the first start of a call. Later ones are void, so that at
// most one attempt of a call may be dispatched.
func (s *State) callStarted(a *Applied, e *recordpb.CallStarted) bool {
	r := Ref{Workspace: e.Workspace, Key: e.Key}
	if _, ok := s.calls[r]; ok || !s.registerNew(callAggregate(r)) {
		return false
	}
	c := &Call{Fingerprint: string(e.Fingerprint), NonIdempotent: true,
		Instance: e.EntryInstance, Attempt: e.Attempt, DeadlineMs: e.DeadlineMs}
	s.calls[r], s.unfinishedCalls[r] = c, c
	a.addEvent(&CallStarted{Ref: r, Instance: e.EntryInstance, Attempt: e.Attempt})
	return true
}

// callFinished applies the first outcome of a call, or a copy of it at a new
// location. Later outcomes are void.
func (s *State) callFinished(a *Applied, at Location, e *recordpb.CallFinished) bool {
	r := Ref{Workspace: e.Workspace, Key: e.Key}
	c, ok := s.calls[r]
	if e.MovedFrom != nil {
		if !ok || !c.Finished() || c.At != locationOf(e.MovedFrom) {
			return false
		}
		c.At = at
		return true
	}
	if e.Outcome == recordpb.Outcome_OUTCOME_UNSPECIFIED {
		return false
	}
	if ok && (c.Finished() || c.Fingerprint != string(e.Fingerprint)) {
		return false
	}
	if !ok {
		if !s.registerNew(callAggregate(r)) {
			return false
		}
		c = &Call{Fingerprint: string(e.Fingerprint), NonIdempotent: e.NonIdempotent}
		s.calls[r] = c
	}
	delete(s.unfinishedCalls, r)
	c.Instance, c.Attempt, c.DeadlineMs = "", "", 0 // not needed after the end
	c.Outcome, c.FinishedMs, c.At = e.Outcome, e.FinishedMs, at
	a.addEvent(&CallFinished{Ref: r, Outcome: e.Outcome, At: at})
	return true
}

func (s *State) callRestated(e *recordpb.CallRestated) bool {
	st := e.GetCall()
	r := Ref{Workspace: st.GetWorkspace(), Key: st.GetKey()}
	if s.admitRestatement(callAggregate(r), Range{}, false) {
		c := &Call{Fingerprint: string(st.GetFingerprint()), NonIdempotent: e.NonIdempotent,
			Instance: st.GetEntryInstance(), Attempt: st.GetAttempt(), DeadlineMs: st.GetDeadlineMs(),
			Outcome: e.Outcome, FinishedMs: e.FinishedMs, At: locationOf(e.At)}
		s.calls[r] = c
		delete(s.unfinishedCalls, r)
		if !c.Finished() {
			s.unfinishedCalls[r] = c
		}
	}
	return true
}

func (c *Call) restate(r Ref) *recordpb.Entry {
	return &recordpb.Entry{Kind: &recordpb.Entry_CallRestated{CallRestated: &recordpb.CallRestated{
		Call: &recordpb.CallStarted{Workspace: r.Workspace, Key: r.Key, Fingerprint: []byte(c.Fingerprint),
			EntryInstance: c.Instance, Attempt: c.Attempt, DeadlineMs: c.DeadlineMs},
		Outcome: c.Outcome, FinishedMs: c.FinishedMs, NonIdempotent: c.NonIdempotent, At: c.At.proto()}}}
}

// keyBound applies the first binding of a job key. Later ones are void.
func (s *State) keyBound(a *Applied, atMs int64, e *recordpb.KeyBound) bool {
	r := Ref{Workspace: e.Workspace, Key: e.Key}
	if _, ok := s.keys[r]; ok || !s.registerNew(keyAggregate(r)) {
		return false
	}
	s.keys[r] = &Key{Content: string(e.Content), JobID: e.JobId, BoundMs: atMs}
	a.addEvent(&KeyBound{Ref: r, JobID: e.JobId})
	return true
}

func (s *State) keyRestated(e *recordpb.KeyRestated) bool {
	b := e.GetBound()
	r := Ref{Workspace: b.GetWorkspace(), Key: b.GetKey()}
	if s.admitRestatement(keyAggregate(r), Range{}, false) {
		s.keys[r] = &Key{Content: string(b.GetContent()), JobID: b.GetJobId(), BoundMs: e.BoundMs}
	}
	return true
}

func (k *Key) restate(r Ref) *recordpb.Entry {
	return &recordpb.Entry{Kind: &recordpb.Entry_KeyRestated{KeyRestated: &recordpb.KeyRestated{
		Bound:   &recordpb.KeyBound{Workspace: r.Workspace, Key: r.Key, Content: []byte(k.Content), JobId: k.JobID},
		BoundMs: k.BoundMs}}}
}

// expired removes aggregates. The owner checks their retention; see Expire.
func (s *State) expired(a *Applied, e *recordpb.Expired) bool {
	for _, id := range e.JobIds {
		delete(s.jobs, id)
		delete(s.activeJobs, id)
		s.dropFromSnapshot(aggregateID{kind: kindJob, id: id})
	}
	for _, id := range e.FileIds {
		delete(s.files, id)
		s.dropFromSnapshot(aggregateID{kind: kindFile, id: id})
	}
	for _, c := range e.Calls {
		r := Ref{Workspace: c.Workspace, Key: c.Key}
		delete(s.calls, r)
		delete(s.unfinishedCalls, r)
		s.dropFromSnapshot(callAggregate(r))
	}
	for _, c := range e.Keys {
		r := Ref{Workspace: c.Workspace, Key: c.Key}
		delete(s.keys, r)
		s.dropFromSnapshot(keyAggregate(r))
	}
	a.addEvent(&Removed{Entry: e})
	return true
}
