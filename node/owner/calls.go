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
// before it ends as lost. It covers the entry instance's wait for the record and
// clock differences between instances.
const overdueGrace = 30 * time.Second

// found is a verdict and the place of the result that belongs to it.
type found struct {
	verdict partition.Decision
	at      partition.Location
}

// callWait is a Begin that waits for another run of its call.
type callWait struct {
	request  partition.BeginRequest
	deadline time.Time
	reply    func(*found, *peerpb.Refusal)
	start    *queued // the CallStarted of this request
}

func (d *duty) begin(ctx context.Context, in *peerpb.BeginRequest) (*peerpb.BeginResponse, error) {
	ctx, cancel := unbounded(ctx, maxWait)
	defer cancel()
	w := &callWait{deadline: waitUntil(ctx, in.WaitMs), request: partition.BeginRequest{
		Ref: partition.Ref{Workspace: in.Workspace, Key: in.Key}, Fingerprint: string(in.Fingerprint),
		NonIdempotent: in.NonIdempotent, DeadlineMs: in.DeadlineMs, Instance: in.EntryInstance, Attempt: in.Attempt}}
	f, refusal := ask(ctx, d, func(reply func(*found, *peerpb.Refusal)) {
		w.reply = reply
		d.meet(in.EntryInstance)
		d.decide(w)
	})
	if ctx.Err() != nil {
		d.giveUp(w)
	}
	if refusal != nil {
		return &peerpb.BeginResponse{Refusal: refusal}, nil
	}
	return d.verdict(ctx, w.request.Ref, f), nil
}

// giveUp ends a Begin whose caller has left. A start that no append has carried
// is withdrawn, so that the call can be begun again.
func (d *duty) giveUp(w *callWait) {
	_ = d.events.Offer(func() {
		now := time.Now()
		w.deadline = now
		if w.start != nil && w.start.done != nil {
			w.start.deadline = now
		}
		if d.refusal() == nil {
			d.expire(now, false)
			d.expireWaits(now)
		}
	})
}

// decide answers a Begin or has it wait.
func (d *duty) decide(w *callWait) {
	now, ref := time.Now(), w.request.Ref
	if w.request.NonIdempotent && d.appender.down && d.calls.Lookup(d.state, ref).Decision == 0 {
		w.reply(nil, refuseLog())
		return
	}
	ans := d.calls.Begin(d.state, w.request, now.UnixMilli())
	if ans.Decision != partition.DecisionWait {
		w.reply(&found{ans.Decision, ans.At}, nil)
		return
	}
	if len(ans.Entries) > 0 {
		r := request{deadline: w.deadline,
			undo: func() { d.unwait(w); d.forget(ref) },
			done: func(r *peerpb.Refusal) {
				if r != nil {
					d.unwait(w)
					w.reply(nil, r)
				}
			}}
		if refusal := d.add(r, ans.Entries...); refusal != nil {
			d.calls.Forget(ref)
			w.reply(nil, refusal)
			return
		}
		w.start = d.queue[len(d.queue)-1]
	} else if d.joins >= d.opts.MaxWaiters {
		waitersRefused.Add(1)
		w.reply(nil, refuseBusy("too many requests wait for running calls"))
		return
	}
	d.callWaits[ref] = append(d.callWaits[ref], w)
	d.joins++
	d.tickBy(w.deadline)
}

// forget drops a call that was never recorded and has its other requests ask again.
func (d *duty) forget(ref partition.Ref) {
	d.calls.Forget(ref)
	d.askAgain(ref)
}

// askAgain decides again on the requests that wait for a call.
func (d *duty) askAgain(ref partition.Ref) {
	waits := d.callWaits[ref]
	delete(d.callWaits, ref)
	d.joins -= len(waits)
	for _, w := range waits {
		d.decide(w)
	}
}

func (d *duty) unwait(w *callWait) {
	waits := d.callWaits[w.request.Ref]
	for i, o := range waits {
		if o == w {
			d.callWaits[w.request.Ref] = append(waits[:i:i], waits[i+1:]...)
			d.joins--
			break
		}
	}
	if len(d.callWaits[w.request.Ref]) == 0 {
		delete(d.callWaits, w.request.Ref)
	}
}

// resolve decides again on requests whose call was started or finished.
func (d *duty) resolve(a *partition.Applied) {
	for _, e := range a.Events {
		switch e := e.(type) {
		case *partition.CallStarted:
			d.askAgain(e.Ref)
		case *partition.CallFinished:
			delete(d.finishing, e.Ref)
			d.askAgain(e.Ref)
		case *partition.Removed:
			// A start that was taken back: the call can be begun again.
			for _, c := range e.Entry.Calls {
				d.forget(partition.Ref{Workspace: c.Workspace, Key: c.Key})
			}
		}
	}
}

// expireWaits answers requests whose call still runs when their time is over.
func (d *duty) expireWaits(now time.Time) {
	for ref, waits := range d.callWaits {
		kept := waits[:0]
		for _, w := range waits {
			if now.Before(w.deadline) {
				kept = append(kept, w)
				continue
			}
			d.joins--
			w.reply(&found{verdict: partition.DecisionWait}, nil)
		}
		if d.callWaits[ref] = kept; len(kept) == 0 {
			delete(d.callWaits, ref)
		}
	}
}

// verdict turns a decision into an answer; a result is read back from the log.
func (d *duty) verdict(ctx context.Context, ref partition.Ref, f *found) *peerpb.BeginResponse {
	switch f.verdict {
	case partition.DecisionRun:
		return &peerpb.BeginResponse{Run: true}
	case partition.DecisionDone, partition.DecisionUnknown:
		c, refusal := d.result(ctx, ref, f.at)
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

// result reads the outcome of a call. A place that has moved meanwhile is
// looked up once more.
func (d *duty) result(ctx context.Context, ref partition.Ref, at partition.Location) (*recordpb.CallFinished, *peerpb.Refusal) {
	for range 2 {
		b, err := d.m.reader.record(ctx, d.number, at.Offset, false)
		if err == nil {
			if c := partition.CallResultAt(ref, at, b); c != nil {
				return c, nil
			}
		}
		moved, refusal := look(ctx, d, func() (partition.Location, *peerpb.Refusal) {
			if c, ok := d.state.Call(ref); ok && c.Finished() {
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
	return nil, readRefusal()
}

// readRefusal is the answer when recorded data cannot be read now. The call or
// item has run, so that the outcome is not "not run".
func readRefusal() *peerpb.Refusal {
	return &peerpb.Refusal{Code: string(api.CodeLogUnavailable), Unknown: true, RetryAfterMs: retryLog.Milliseconds(),
		Message: "the recorded data cannot be read now"}
}

func (d *duty) lookup(ctx context.Context, in *peerpb.LookupRequest) (*peerpb.BeginResponse, error) {
	ctx, cancel := unbounded(ctx, defaultWait)
	defer cancel()
	ref := partition.Ref{Workspace: in.Workspace, Key: in.Key}
	f, refusal := look(ctx, d, func() (*found, *peerpb.Refusal) {
		ans := d.calls.Lookup(d.state, ref)
		return &found{ans.Decision, ans.At}, nil
	})
	if refusal != nil {
		return &peerpb.BeginResponse{Refusal: refusal}, nil
	}
	return d.verdict(ctx, ref, f), nil
}

func (d *duty) finish(ctx context.Context, in *peerpb.FinishRequest) (*peerpb.FinishResponse, error) {
	ctx, cancel := unbounded(ctx, maxWait)
	defer cancel()
	if in.Finished == nil {
		return &peerpb.FinishResponse{Refusal: refuse(api.CodeInvalidRequest, "no call named")}, nil
	}
	ref := partition.Ref{Workspace: in.Finished.Workspace, Key: in.Finished.Key}
	until, fingerprint := waitUntil(ctx, in.WaitMs), string(in.Finished.Fingerprint)
	if in.Abandoned {
		nonIdempotent := in.Finished.NonIdempotent
		_, refusal := ask(ctx, d, func(reply func(bool, *peerpb.Refusal)) {
			d.abandon(ref, in.Attempt, nonIdempotent, until, reply)
		})
		return &peerpb.FinishResponse{Refusal: refusal}, nil
	}
	at, refusal := ask(ctx, d, func(reply func(partition.Location, *peerpb.Refusal)) {
		standing := func(r *peerpb.Refusal) {
			at, conflict := d.standing(ref, fingerprint)
			if r == nil {
				r = conflict
			}
			reply(at, r)
		}
		if d.finishing[ref] {
			// Resent while the first copy waits for the log, which may take long.
			d.barrier(request{deadline: until, done: standing})
			return
		}
		e := d.calls.Finish(d.state, in.Finished, time.Now().UnixMilli())
		if e == nil {
			standing(nil)
			return
		}
		// A result stays queued when the wait ends: it has been run for.
		if r := d.add(request{deadline: until, done: standing}, e); r != nil {
			d.calls.Forget(ref)
			d.askAgain(ref)
			reply(partition.Location{}, r)
			return
		}
		d.finishing[ref] = true
	})
	if refusal != nil {
		return &peerpb.FinishResponse{Refusal: refusal}, nil
	}
	c, refusal := d.result(ctx, ref, at)
	return &peerpb.FinishResponse{Refusal: refusal, Stands: c, Recorded: c != nil}, nil
}

func (d *duty) standing(ref partition.Ref, fingerprint string) (partition.Location, *peerpb.Refusal) {
	c, ok := d.state.Call(ref)
	switch {
	case !ok || !c.Finished():
		return partition.Location{}, refuseUnknown()
	case c.Fingerprint != fingerprint:
		return partition.Location{}, refuse(api.CodeKeyConflict, "the key belongs to a call with other content")
	}
	return c.At, nil
}

// abandon frees a call that was not dispatched, so that it can be begun again.
// A start that is on the stream is removed there, and only for the attempt that
// its own entry instance names: a late copy of the request must not remove the
// start of a later attempt, which may run.
func (d *duty) abandon(ref partition.Ref, attempt string, nonIdempotent bool, until time.Time, reply func(bool, *peerpb.Refusal)) {
	call, ok := d.state.Call(ref)
	switch {
	case !ok && !nonIdempotent:
		d.forget(ref)
		reply(true, nil)
	case !ok || call.Finished() || attempt == "" || call.Attempt != attempt:
		reply(true, nil)
	default:
		e := &recordpb.Entry{AtMs: time.Now().UnixMilli(), Kind: &recordpb.Entry_Expired{Expired: &recordpb.Expired{
			Calls: []*recordpb.CallRef{{Workspace: ref.Workspace, Key: ref.Key}}}}}
		r := d.add(request{deadline: until, done: func(r *peerpb.Refusal) { reply(r == nil, r) }}, e)
		if r != nil {
			reply(false, r)
		}
	}
}
