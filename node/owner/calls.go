package owner

import (
	"context"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/partition"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// overdueGrace is how long after a call's deadline its result may still arrive
// before the call ends as lost. It covers the entry instance's wait for the record
// and clock differences between instances.
const overdueGrace = 30 * time.Second

// callDecision is a decision on a call and the location of the call's result, if any.
type callDecision struct {
	decision partition.Decision
	location partition.Location
}

// callWait is a Begin that waits for its start to be read back or for another attempt
// of its call to end.
type callWait struct {
	request    partition.BeginRequest
	deadline   time.Time
	reply      func(*callDecision, *peerpb.Refusal)
	startEntry *queuedEntries // the CallStarted entry of this request, if any
}

func (o *partitionOwner) begin(ctx context.Context, in *peerpb.BeginRequest) (*peerpb.BeginResponse, error) {
	ctx, cancel := withDefaultTimeout(ctx, maxWait)
	defer cancel()
	w := &callWait{deadline: replyDeadline(ctx, in.WaitMs), request: partition.BeginRequest{
		Ref: partition.Ref{Workspace: in.Workspace, Key: in.Key}, Fingerprint: string(in.Fingerprint),
		NonIdempotent: in.NonIdempotent, DeadlineMs: in.DeadlineMs, Instance: in.EntryInstance, Attempt: in.Attempt}}
	decision, refusal := ask(ctx, o, func(reply func(*callDecision, *peerpb.Refusal)) {
		w.reply = reply
		o.trackExecutor(in.EntryInstance)
		o.decideBegin(w)
	})
	if ctx.Err() != nil {
		o.abortBegin(w)
	}
	if refusal != nil {
		return &peerpb.BeginResponse{Refusal: refusal}, nil
	}
	return o.beginResponse(ctx, w.request.Ref, decision), nil
}

// abortBegin ends a Begin whose caller has gone. A start that was not appended yet
// is withdrawn, so that the call can be begun again.
func (o *partitionOwner) abortBegin(w *callWait) {
	_ = o.events.Offer(func() {
		now := time.Now()
		w.deadline = now
		if w.startEntry != nil && w.startEntry.done != nil {
			w.startEntry.deadline = now
		}
		if o.ownershipRefusal() == nil {
			o.expireQueue(now, false)
			o.expireCallWaits(now)
		}
	})
}

// decideBegin answers a Begin or adds it to the waiting requests of its call.
func (o *partitionOwner) decideBegin(w *callWait) {
	now, ref := time.Now(), w.request.Ref
	// A Decision of zero means that there is no such call.
	if w.request.NonIdempotent && o.appends.logDown && o.calls.Lookup(o.state, ref).Decision == 0 {
		w.reply(nil, refuseLog())
		return
	}
	answer := o.calls.Begin(o.state, w.request, now.UnixMilli())
	if answer.Decision != partition.DecisionWait {
		w.reply(&callDecision{answer.Decision, answer.At}, nil)
		return
	}
	if len(answer.Entries) > 0 {
		opts := addOptions{deadline: w.deadline,
			rollback: func() { o.removeWaiter(w); o.forgetCall(ref) },
			done: func(r *peerpb.Refusal) {
				if r != nil {
					o.removeWaiter(w)
					w.reply(nil, r)
				}
			}}
		if refusal := o.add(opts, answer.Entries...); refusal != nil {
			o.calls.Forget(ref)
			w.reply(nil, refusal)
			return
		}
		w.startEntry = o.queue[len(o.queue)-1]
	} else if o.callWaiters >= o.opts.MaxWaiters {
		waitersRefused.Add(1)
		w.reply(nil, refuseBusy("too many requests wait for running calls"))
		return
	}
	o.callWaits[ref] = append(o.callWaits[ref], w)
	o.callWaiters++
	o.tickBy(w.deadline)
}

// forgetCall removes a call that was never recorded and decides again on its waiting
// requests.
func (o *partitionOwner) forgetCall(ref partition.Ref) {
	o.calls.Forget(ref)
	o.retryWaiters(ref)
}

// retryWaiters decides again on the waiting requests of a call.
func (o *partitionOwner) retryWaiters(ref partition.Ref) {
	waiters := o.callWaits[ref]
	delete(o.callWaits, ref)
	o.callWaiters -= len(waiters)
	for _, w := range waiters {
		o.decideBegin(w)
	}
}

func (o *partitionOwner) removeWaiter(waiter *callWait) {
	waiters := o.callWaits[waiter.request.Ref]
	for i, other := range waiters {
		if other == waiter {
			o.callWaits[waiter.request.Ref] = append(waiters[:i:i], waiters[i+1:]...)
			o.callWaiters--
			break
		}
	}
	if len(o.callWaits[waiter.request.Ref]) == 0 {
		delete(o.callWaits, waiter.request.Ref)
	}
}

// retryChangedCalls decides again on the waiting requests of calls that a record
// started, finished or removed.
func (o *partitionOwner) retryChangedCalls(a *partition.Applied) {
	for _, e := range a.Events {
		switch e := e.(type) {
		case *partition.CallStarted:
			o.retryWaiters(e.Ref)
		case *partition.CallFinished:
			delete(o.finishQueued, e.Ref)
			o.retryWaiters(e.Ref)
		case *partition.Removed:
			// A start was removed after its attempt was abandoned, so that the
			// call can be begun again.
			for _, c := range e.Entry.Calls {
				o.forgetCall(partition.Ref{Workspace: c.Workspace, Key: c.Key})
			}
		}
	}
}

// expireCallWaits answers requests whose call still runs at their deadline.
func (o *partitionOwner) expireCallWaits(now time.Time) {
	for ref, waiters := range o.callWaits {
		kept := waiters[:0]
		for _, w := range waiters {
			if now.Before(w.deadline) {
				kept = append(kept, w)
				continue
			}
			o.callWaiters--
			w.reply(&callDecision{decision: partition.DecisionWait}, nil)
		}
		if o.callWaits[ref] = kept; len(kept) == 0 {
			delete(o.callWaits, ref)
		}
	}
}

// beginResponse translates a decision into a response. A result is read from the log.
func (o *partitionOwner) beginResponse(ctx context.Context, ref partition.Ref, decision *callDecision) *peerpb.BeginResponse {
	switch decision.decision {
	case partition.DecisionRun:
		return &peerpb.BeginResponse{Run: true}
	case partition.DecisionDone, partition.DecisionUnknown:
		c, refusal := o.readCallResult(ctx, ref, decision.location)
		return &peerpb.BeginResponse{Refusal: refusal, Finished: c}
	case partition.DecisionWait:
		return &peerpb.BeginResponse{Running: true}
	case partition.DecisionConflict:
		return &peerpb.BeginResponse{Refusal: refuse(api.CodeKeyConflict, "the key belongs to a call with other content")}
	case partition.DecisionNotRun:
		return &peerpb.BeginResponse{Refusal: refuse(api.CodeDeadline, "the deadline passed before the call could run")}
	}
	return &peerpb.BeginResponse{Refusal: refuse(api.CodeNotFound, "no such call")}
}

// readCallResult reads the outcome of a call. If the outcome was moved to another
// location meanwhile, it is looked up once more.
func (o *partitionOwner) readCallResult(ctx context.Context, ref partition.Ref, at partition.Location) (*recordpb.CallFinished, *peerpb.Refusal) {
	for range 2 {
		b, err := o.manager.reader.batchAt(ctx, o.number, at.Offset, false)
		if err == nil {
			if c := partition.CallResultAt(ref, at, b); c != nil {
				return c, nil
			}
		}
		moved, refusal := query(ctx, o, func() (partition.Location, *peerpb.Refusal) {
			if c, ok := o.state.Call(ref); ok && c.Finished() {
				return c.At, nil
			}
			return partition.Location{}, refuse(api.CodeNotFound, "no such call")
		})
		if refusal != nil {
			return nil, refusal
		}
		if moved == at {
			break
		}
		at = moved
	}
	return nil, refuseUnreadable()
}

// refuseUnreadable is the refusal when recorded data cannot be read now. The call or
// item has run, so that NotRun is not set.
func refuseUnreadable() *peerpb.Refusal {
	return &peerpb.Refusal{Code: string(api.CodeLogUnavailable), Unknown: true, RetryAfterMs: logRetryAfter.Milliseconds(),
		Message: "the recorded data cannot be read now"}
}

func (o *partitionOwner) lookup(ctx context.Context, in *peerpb.LookupRequest) (*peerpb.BeginResponse, error) {
	ctx, cancel := withDefaultTimeout(ctx, defaultWait)
	defer cancel()
	ref := partition.Ref{Workspace: in.Workspace, Key: in.Key}
	decision, refusal := query(ctx, o, func() (*callDecision, *peerpb.Refusal) {
		answer := o.calls.Lookup(o.state, ref)
		return &callDecision{answer.Decision, answer.At}, nil
	})
	if refusal != nil {
		return &peerpb.BeginResponse{Refusal: refusal}, nil
	}
	return o.beginResponse(ctx, ref, decision), nil
}

func (o *partitionOwner) finish(ctx context.Context, in *peerpb.FinishRequest) (*peerpb.FinishResponse, error) {
	ctx, cancel := withDefaultTimeout(ctx, maxWait)
	defer cancel()
	if in.Finished == nil {
		return &peerpb.FinishResponse{Refusal: refuse(api.CodeInvalidRequest, "no call named")}, nil
	}
	ref := partition.Ref{Workspace: in.Finished.Workspace, Key: in.Finished.Key}
	deadline, fingerprint := replyDeadline(ctx, in.WaitMs), string(in.Finished.Fingerprint)
	if in.Abandoned {
		nonIdempotent := in.Finished.NonIdempotent
		_, refusal := ask(ctx, o, func(reply func(bool, *peerpb.Refusal)) {
			o.abandon(ref, in.Attempt, nonIdempotent, deadline, reply)
		})
		return &peerpb.FinishResponse{Refusal: refusal}, nil
	}
	at, refusal := ask(ctx, o, func(reply func(partition.Location, *peerpb.Refusal)) {
		replyRecorded := func(r *peerpb.Refusal) {
			at, conflict := o.recordedResult(ref, fingerprint)
			if r == nil {
				r = conflict
			}
			reply(at, r)
		}
		if o.finishQueued[ref] {
			// The result was sent again while its first copy waits for the log,
			// which may take long.
			o.barrier(addOptions{deadline: deadline, done: replyRecorded})
			return
		}
		e := o.calls.Finish(o.state, in.Finished, time.Now().UnixMilli())
		if e == nil {
			replyRecorded(nil)
			return
		}
		// A result stays queued after the deadline, because the work is done.
		if r := o.add(addOptions{deadline: deadline, done: replyRecorded}, e); r != nil {
			o.calls.Forget(ref)
			o.retryWaiters(ref)
			reply(partition.Location{}, r)
			return
		}
		o.finishQueued[ref] = true
	})
	if refusal != nil {
		return &peerpb.FinishResponse{Refusal: refusal}, nil
	}
	c, refusal := o.readCallResult(ctx, ref, at)
	return &peerpb.FinishResponse{Refusal: refusal, Stands: c, Recorded: c != nil}, nil
}

func (o *partitionOwner) recordedResult(ref partition.Ref, fingerprint string) (partition.Location, *peerpb.Refusal) {
	c, ok := o.state.Call(ref)
	switch {
	case !ok || !c.Finished():
		return partition.Location{}, refuseUnknown()
	case c.Fingerprint != fingerprint:
		return partition.Location{}, refuse(api.CodeKeyConflict, "the key belongs to a call with other content")
	}
	return c.At, nil
}

// abandon releases a call that was not dispatched, so that it can be begun again.
// A recorded start is removed by another entry, and only if its attempt is the one
// that the request names: a delayed duplicate of the request must not remove the
// start of a later attempt, which may be running.
func (o *partitionOwner) abandon(ref partition.Ref, attempt string, nonIdempotent bool, deadline time.Time, reply func(bool, *peerpb.Refusal)) {
	call, ok := o.state.Call(ref)
	switch {
	case !ok && !nonIdempotent:
		o.forgetCall(ref)
		reply(true, nil)
	case !ok || call.Finished() || attempt == "" || call.Attempt != attempt:
		reply(true, nil)
	default:
		e := &recordpb.Entry{AtMs: time.Now().UnixMilli(), Kind: &recordpb.Entry_Expired{Expired: &recordpb.Expired{
			Calls: []*recordpb.CallRef{{Workspace: ref.Workspace, Key: ref.Key}}}}}
		r := o.add(addOptions{deadline: deadline, done: func(r *peerpb.Refusal) { reply(r == nil, r) }}, e)
		if r != nil {
			reply(false, r)
		}
	}
}
