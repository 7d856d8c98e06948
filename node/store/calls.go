package store

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/ident"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// attemptTimeout limits one attempt of a request without a file transfer.
const attemptTimeout = attemptWait + attemptSlack

func (s *Store) calls(t target) peerpb.DRPCCallsServer {
	if t.conn == nil {
		return s.opts.Local
	}
	return peerpb.NewDRPCCallsClient(t.conn)
}

// Begin implements api.Calls. It waits for a running call in several requests to
// the owner, so that the loss of the owner is detected meanwhile.
func (s *Store) Begin(ctx context.Context, req api.BeginRequest) (api.BeginResult, error) {
	ctx, cancel := withDefaultDeadline(ctx)
	defer cancel()
	in := &peerpb.BeginRequest{Workspace: req.Workspace, Key: req.Key, Fingerprint: req.Fingerprint,
		NonIdempotent: req.NonIdempotent, DeadlineMs: req.Deadline.UnixMilli(),
		EntryInstance: s.opts.Instance, Attempt: rand.Text()}
	retryTime := maxRetryTime
	if !req.NonIdempotent {
		retryTime = idempotentBeginRetryTime
	}
	p := ident.KeyPartition(req.Workspace, req.Key, s.opts.Partitions)
	for {
		var out *peerpb.BeginResponse
		err := s.callOwner(ctx, p, retryTime, attemptTimeout, func(ctx context.Context, t target) (*peerpb.Refusal, error) {
			in.WaitMs = waitMs(ctx)
			var err error
			out, err = s.calls(t).Begin(ctx, in)
			return out.GetRefusal(), err
		})
		if err != nil {
			return beginRefusal(err, req.NonIdempotent)
		}
		if out.Run && req.NonIdempotent {
			s.startedAttempts.track(callKey{req.Workspace, req.Key}, in.Attempt)
		}
		if !out.Running || time.Until(deadlineOf(ctx)) < attemptSlack/4 {
			return beginResult(out), nil
		}
	}
}

func deadlineOf(ctx context.Context) time.Time {
	deadline, _ := ctx.Deadline()
	return deadline
}

// beginRefusal converts an error of Begin. A key that belongs to other content is
// returned as api.StateConflict and not as an error. The Begin of an idempotent call
// records nothing, so the call has not run even if the result of the request is not
// known.
func beginRefusal(err error, nonIdempotent bool) (api.BeginResult, error) {
	r := (*api.Refusal)(nil)
	if !errors.As(err, &r) {
		return api.BeginResult{}, err
	}
	if r.Code == api.CodeKeyConflict {
		return api.BeginResult{State: api.StateConflict}, nil
	}
	if !nonIdempotent {
		r.Outcome = api.NotRun
	}
	return api.BeginResult{}, r
}

func beginResult(out *peerpb.BeginResponse) api.BeginResult {
	switch f := out.Finished; {
	case out.Run:
		return api.BeginResult{State: api.StateMayRun}
	case f != nil && f.Outcome == recordpb.Outcome_OUTCOME_UNKNOWN:
		return api.BeginResult{State: api.StateUnknown, Result: callResult(f)}
	case f != nil:
		return api.BeginResult{State: api.StateDone, Result: callResult(f)}
	}
	return api.BeginResult{State: api.StateRunning}
}

func callResult(f *recordpb.CallFinished) *api.CallResult {
	r := &api.CallResult{Outcome: api.Ran, Failed: f.Outcome == recordpb.Outcome_OUTCOME_FAILED,
		Answer: api.Answer{Status: int(f.Status), Body: f.Body}, FinishedAt: time.UnixMilli(f.FinishedMs)}
	if f.Outcome == recordpb.Outcome_OUTCOME_UNKNOWN {
		r.Outcome = api.Unknown
	}
	for _, h := range f.Headers {
		r.Answer.Headers = append(r.Answer.Headers, api.Header{Name: h.Name, Value: h.Value})
	}
	return r
}

// Lookup implements api.Calls.
func (s *Store) Lookup(ctx context.Context, workspace, key string) (api.BeginResult, error) {
	ctx, cancel := withDefaultDeadline(ctx)
	defer cancel()
	var out *peerpb.BeginResponse
	p := ident.KeyPartition(workspace, key, s.opts.Partitions)
	err := s.callOwner(ctx, p, maxRetryTime, attemptTimeout, func(ctx context.Context, t target) (*peerpb.Refusal, error) {
		var err error
		out, err = s.calls(t).Lookup(ctx, &peerpb.LookupRequest{Workspace: workspace, Key: key})
		return out.GetRefusal(), err
	})
	if err != nil {
		return api.BeginResult{}, err
	}
	return beginResult(out), nil
}

// Finish implements api.Calls.
func (s *Store) Finish(ctx context.Context, req api.FinishRequest) (api.CallResult, error) {
	ctx, cancel := withDefaultDeadline(ctx)
	defer cancel()
	var out *peerpb.FinishResponse
	p := ident.KeyPartition(req.Workspace, req.Key, s.opts.Partitions)
	finishedMs := req.Result.FinishedAt.UnixMilli()
	if req.Result.FinishedAt.IsZero() {
		finishedMs = time.Now().UnixMilli()
	}
	key := callKey{req.Workspace, req.Key}
	attempt := ""
	if req.Abandoned && req.NonIdempotent {
		attempt = s.startedAttempts.abandon(key)
	}
	err := s.callOwner(ctx, p, maxRetryTime, attemptTimeout, func(ctx context.Context, t target) (*peerpb.Refusal, error) {
		// The local owner keeps the message, so each attempt needs a new one.
		in := &peerpb.FinishRequest{EntryInstance: s.opts.Instance, Abandoned: req.Abandoned, Attempt: attempt,
			WaitMs: waitMs(ctx), Finished: callFinished(&req, finishedMs)}
		var err error
		out, err = s.calls(t).Finish(ctx, in)
		return out.GetRefusal(), err
	})
	if err == nil && req.NonIdempotent {
		s.startedAttempts.forget(key, attempt)
	}
	if err != nil || req.Abandoned {
		return api.CallResult{}, err
	}
	return *callResult(out.GetStands()), nil
}

func callFinished(req *api.FinishRequest, finishedMs int64) *recordpb.CallFinished {
	f := &recordpb.CallFinished{Workspace: req.Workspace, Key: req.Key, Fingerprint: req.Fingerprint,
		NonIdempotent: req.NonIdempotent, Status: int32(req.Result.Answer.Status), Body: req.Result.Answer.Body,
		FinishedMs: finishedMs, Outcome: recordpb.Outcome_OUTCOME_DONE}
	switch {
	case req.Result.Outcome == api.Unknown:
		f.Outcome = recordpb.Outcome_OUTCOME_UNKNOWN
	case req.Result.Failed:
		f.Outcome = recordpb.Outcome_OUTCOME_FAILED
	}
	for _, h := range req.Result.Answer.Headers {
		f.Headers = append(f.Headers, &recordpb.Header{Name: h.Name, Value: h.Value})
	}
	return f
}

// maxTrackedAttempts limits the attempts that are tracked. It is far above the
// number of calls that one instance runs at a time. An attempt above the limit
// cannot be abandoned.
const maxTrackedAttempts = 1 << 16

type callKey struct{ workspace, key string }

// trackedAttempt is an attempt that this instance was allowed to dispatch.
type trackedAttempt struct {
	attempt string
	// abandoned is set once the caller of Finish has reported that the attempt was
	// not dispatched. Until the owner confirms it, the report may be repeated, and
	// the repetition must not abandon a later attempt.
	abandoned bool
}

// attemptTracker holds the attempt of each non-idempotent call that this instance
// was allowed to dispatch. Finish names it to the owner if it was not dispatched.
type attemptTracker struct {
	mu     sync.Mutex
	byCall map[callKey]trackedAttempt
}

// track records the attempt of a call that may be dispatched now. An abandoned
// attempt is kept until the owner has confirmed it.
func (t *attemptTracker) track(k callKey, attempt string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if previous, ok := t.byCall[k]; previous.abandoned || !ok && len(t.byCall) >= maxTrackedAttempts {
		return
	}
	t.byCall[k] = trackedAttempt{attempt: attempt}
}

// abandon marks the attempt of a call as not dispatched and returns it, or an empty
// string if it is not known.
func (t *attemptTracker) abandon(k callKey) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked, ok := t.byCall[k]
	if ok {
		tracked.abandoned = true
		t.byCall[k] = tracked
	}
	return tracked.attempt
}

// forget removes a call after the owner has confirmed its end or the abandoned
// attempt.
func (t *attemptTracker) forget(k callKey, attempt string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if attempt == "" || t.byCall[k].attempt == attempt {
		delete(t.byCall, k)
	}
}
