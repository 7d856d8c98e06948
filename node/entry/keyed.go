package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/sourcegraph/conc/panics"

	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/web"
)

// runningRetryAfter is the Retry-After of the answer to a resend of a call that
// is still running.
const runningRetryAfter = time.Second

// maxStatus is the highest valid HTTP status code.
const maxStatus = 599

// call is the state of one model or plain-service request.
type call struct {
	workspace     string
	key           string
	fingerprint   []byte
	nonIdempotent bool
	stream        bool
	deadline      time.Time
	// run dispatches the request. It is called at most once.
	run func(ctx context.Context, sink api.Sink) (*api.Answer, error)
}

// response is the answer or the error that is sent to the caller.
type response struct {
	answer *api.Answer
	err    error
	// recorded is true when the answer was recorded and read back from the log.
	recorded bool
	// replayed is true when the answer is the record of an earlier run.
	replayed bool
}

// perform runs a call to completion. The ctx of a keyed call does not depend on
// the caller's connection, so that the answer is recorded even if the caller
// disconnects.
func (s *Server) perform(ctx context.Context, c *call, sink api.Sink) response {
	if c.key == "" {
		answer, err := s.dispatch(ctx, c, sink)
		return response{answer: answer, err: err}
	}
	begun, replay, err := s.begin(ctx, c)
	if err != nil {
		return response{err: err}
	}
	if replay != nil {
		return response{answer: replay, recorded: true, replayed: true}
	}
	buffer := &eventBuffer{limit: s.opts.Limits.RecordedBytes}
	if c.stream {
		sink = buffer.tee(sink)
	}
	answer, err := s.dispatch(ctx, c, sink)
	if err != nil && buffer.count > 0 {
		err = notRunToUnknown(err)
	}
	return s.finish(ctx, c, begun, answer, err, buffer)
}

// notRunToUnknown replaces the outcome not-run by unknown in a refusal that
// follows events of the answer. With not-run, a non-idempotent call would be run
// a second time.
func notRunToUnknown(err error) error {
	r := api.AsRefusal(err)
	if r.Outcome != api.NotRun {
		return r
	}
	fixed := *r
	fixed.Outcome = api.Unknown
	return &fixed
}

// dispatch calls run and turns a panic into an internal error with an unknown
// outcome.
func (s *Server) dispatch(ctx context.Context, c *call, sink api.Sink) (answer *api.Answer, err error) {
	if recovered := panics.Try(func() { answer, err = c.run(ctx, sink) }); recovered != nil {
		return nil, api.AsRefusal(recovered.AsError())
	}
	if err == nil && (answer == nil || answer.Status < http.StatusOK || answer.Status > maxStatus) {
		return nil, api.AsRefusal(errors.New("entry: neither a valid answer nor an error"))
	}
	return answer, err
}

// begin asks the owner of the key for permission to run a keyed call. begun is
// false when an idempotent call runs although its owner or the log is
// unavailable. replay is the recorded answer of an earlier run.
func (s *Server) begin(ctx context.Context, c *call) (begun bool, replay *api.Answer, err error) {
	res, err := s.opts.Calls.Begin(ctx, api.BeginRequest{Workspace: c.workspace, Key: c.key, Fingerprint: c.fingerprint,
		NonIdempotent: c.nonIdempotent, Deadline: c.deadline})
	if err != nil {
		r := api.AsRefusal(err)
		if !c.nonIdempotent && (r.Code == api.CodeLogUnavailable || r.Code == api.CodeOwnerUnavailable) {
			callsUnrecorded.Add(1)
			return false, nil, nil
		}
		return false, nil, r
	}
	switch res.State {
	case api.StateMayRun:
		return true, nil, nil
	case api.StateDone:
		if res.Result == nil {
			return false, nil, api.AsRefusal(errors.New("entry: a call that is done has no result"))
		}
		if res.Result.Answer.Status == 0 {
			return false, nil, unknownOutcome()
		}
		callsReplayed.Add(1)
		return false, &res.Result.Answer, nil
	case api.StateRunning:
		return false, nil, &api.Refusal{Code: api.CodeCallRunning, Status: http.StatusConflict, Param: web.HeaderIdempotencyKey,
			Message: "a call with this key is still running", RetryAfter: runningRetryAfter, Outcome: api.Unknown}
	case api.StateUnknown:
		return false, nil, unknownOutcome()
	case api.StateConflict:
		return false, nil, &api.Refusal{Code: api.CodeKeyConflict, Status: http.StatusConflict, Param: web.HeaderIdempotencyKey,
			Message: "the key was used for another request", Outcome: api.NotRun}
	}
	return false, nil, api.AsRefusal(errors.New("entry: unknown state of a keyed call"))
}

func unknownOutcome() *api.Refusal {
	return &api.Refusal{Code: api.CodeOutcomeUnknown, Status: http.StatusBadGateway, Param: web.HeaderIdempotencyKey,
		Message: "the call was started and its answer was lost; it is not run again", Outcome: api.Unknown}
}

// finish records the result of a keyed call and returns the response to the
// caller.
func (s *Server) finish(ctx context.Context, c *call, begun bool, answer *api.Answer, err error, buffer *eventBuffer) response {
	req := s.finishRequest(c, answer, err, buffer)
	if req.Abandoned && !begun {
		return response{answer: answer, err: err}
	}
	// Recording has its own timeout: the deadline of the call may have passed, and
	// a slow log must not delay the answer without limit.
	finishCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.opts.Limits.RecordWait)
	defer cancel()
	recorded, finishErr := s.opts.Calls.Finish(finishCtx, req)
	if finishErr != nil {
		s.recorder.enqueue(req)
		return response{answer: answer, err: err}
	}
	if req.Abandoned || err != nil {
		return response{answer: answer, err: err, recorded: !req.Abandoned}
	}
	if c.stream && isSuccess(answer) {
		// The caller has already received the events of this run, so that the
		// recorded answer cannot replace them.
		return response{answer: answer, recorded: bytes.Equal(recorded.Answer.Body, req.Result.Answer.Body)}
	}
	if exceedsRecordLimit(answer, s.opts.Limits.RecordedBytes) {
		return response{answer: answer}
	}
	if recorded.Outcome != api.Ran || recorded.Answer.Status == 0 {
		// The owner considered this instance failed and had already recorded the
		// outcome as unknown. The caller is still connected and gets the answer.
		return response{answer: answer}
	}
	return response{answer: &recorded.Answer, recorded: true}
}

// finishRequest decides what is recorded. An idempotent call without a final
// answer is abandoned, so that a resend runs it again. A non-idempotent call is
// abandoned only when it cannot have run.
func (s *Server) finishRequest(c *call, answer *api.Answer, err error, buffer *eventBuffer) api.FinishRequest {
	req := api.FinishRequest{Workspace: c.workspace, Key: c.key, Fingerprint: c.fingerprint, NonIdempotent: c.nonIdempotent}
	if err != nil {
		r := api.AsRefusal(err)
		if r.Outcome == api.NotRun || !c.nonIdempotent {
			req.Abandoned = true
			return req
		}
		req.Result = api.CallResult{Outcome: r.Outcome, Failed: true, Answer: refusalAnswer(r), FinishedAt: time.Now()}
		return req
	}
	if !c.nonIdempotent && isTransient(answer.Status) {
		req.Abandoned = true
		return req
	}
	record := *answer
	if c.stream && isSuccess(answer) {
		record = buffer.answer(answer)
	}
	if buffer.overflow || exceedsRecordLimit(&record, s.opts.Limits.RecordedBytes) {
		answersTooLong.Add(1)
		if !c.nonIdempotent {
			req.Abandoned = true
			return req
		}
		record = refusalAnswer(&api.Refusal{Code: api.CodeTooLarge, Status: http.StatusGone, Outcome: api.Ran,
			Message: "the call ran; its answer was too long to be kept"})
	}
	req.Result = api.CallResult{Outcome: api.Ran, Failed: record.Status >= http.StatusBadRequest, Answer: record, FinishedAt: time.Now()}
	return req
}

func exceedsRecordLimit(a *api.Answer, limit int64) bool { return int64(len(a.Body)) > limit }

func isSuccess(a *api.Answer) bool { return a.Status >= 200 && a.Status < 300 }

// isTransient reports whether a status indicates a transient failure.
func isTransient(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

// refusalAnswer converts a refusal to the answer that is recorded and replayed
// to a resend of the call.
func refusalAnswer(r *api.Refusal) api.Answer {
	body, err := json.Marshal(web.NewErrorBody(r))
	if err != nil {
		body = nil // Not reached: a struct of strings can always be encoded.
	}
	return api.Answer{Status: r.Status, Body: body, Headers: []api.Header{
		{Name: "Content-Type", Value: "application/json"}, {Name: web.HeaderOutcome, Value: string(r.Outcome)}}}
}

// eventBuffer collects the events of a streamed answer, up to limit bytes, to
// record them.
type eventBuffer struct {
	limit    int64
	count    int // events so far, buffered or not
	body     bytes.Buffer
	overflow bool // the limit was exceeded and body discarded
}

// tee returns a sink that buffers each event and passes it to next. It continues
// to buffer after next has failed, because a keyed call is recorded even if its
// caller has disconnected.
func (b *eventBuffer) tee(next api.Sink) api.Sink {
	return func(data []byte) error {
		b.count++
		if !b.overflow {
			writeEvent(&b.body, data)
			if int64(b.body.Len()) > b.limit {
				b.overflow = true
				b.body = bytes.Buffer{}
			}
		}
		if next != nil && next(data) != nil {
			next = nil
		}
		return nil
	}
}

// answer returns the buffered stream as one answer.
func (b *eventBuffer) answer(end *api.Answer) api.Answer {
	body := append(bytes.Clone(b.body.Bytes()), doneEvent...)
	return api.Answer{Status: end.Status, Headers: []api.Header{{Name: "Content-Type", Value: eventStream}}, Body: body}
}
