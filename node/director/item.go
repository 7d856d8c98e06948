package director

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthnotch/jacinthnotch/domain/ident"
	"github.com/jacinthnotch/jacinthnotch/node/answer"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/servers"
	"github.com/jacinthnotch/jacinthnotch/policy/health"
	"github.com/jacinthnotch/jacinthnotch/policy/retry"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	// batchHeaderTimeout and batchGapTimeout limit the time to the first chunk of a
	// batch stream and between two chunks. They are longer than those of online
	// requests, because no caller waits for a single item.
	batchHeaderTimeout = 30 * time.Second
	batchGapTimeout    = 5 * time.Second
	// batchTotalTimeout limits an item whose answer is not streamed, so that its
	// progress cannot be observed.
	batchTotalTimeout = 10 * time.Minute
	// maxStalledAttempts limits the consecutive attempts without a new token that
	// this director makes for an item that has tokens, before it returns the item.
	maxStalledAttempts = 4
)

// cancelCause is the reason for which a stream was cancelled.
type cancelCause int32

const (
	causeNone          cancelCause = iota
	causePreempted                 // for an online request
	causeItemCancelled             // by the owner, with its job or alone
	causeDrained
)

// item is a leased item with the output tokens produced so far.
type item struct {
	*peerpb.Item
	owner           Owner
	model           string
	customID        string
	body            []byte
	parsed          answer.Request
	builder         answer.Builder
	queuedAt        time.Time
	stalledAttempts int
	// prefilled is set once a server has processed the prompt.
	prefilled bool
	// parseErr is the error of decoding the line as JSON.
	parseErr error
}

func newItem(in *peerpb.Item, owner Owner, model string) *item {
	it := &item{Item: in, owner: owner, model: model}
	var line struct {
		CustomID string          `json:"custom_id"`
		Body     json.RawMessage `json:"body"`
	}
	if it.parseErr = json.Unmarshal(in.Line, &line); it.parseErr == nil {
		it.customID, it.body = line.CustomID, line.Body
		it.parsed = answer.Parse(it.body)
	}
	return it
}

// batchStream is one attempt to run an item on the server.
type batchStream struct {
	id        uint64
	item      *item
	dispatch  *servers.Dispatch
	startedAt time.Time
	// prefillTokens is the number of tokens that the engine has to process before
	// the first new output token.
	prefillTokens int
	outputTokens  atomic.Int64 // tokens of the whole answer so far
	hasFirstToken atomic.Bool
	cancelling    atomic.Bool
	cause         atomic.Int32
	cancelFunc    context.CancelFunc
	// initialTokens is the number of output tokens that the item had at the start
	// of the attempt.
	initialTokens int
}

// cancel cancels the stream. Only the first cause is kept.
func (st *batchStream) cancel(cause cancelCause) {
	if st.cause.CompareAndSwap(int32(causeNone), int32(cause)) {
		st.cancelling.Store(true)
		st.cancelFunc()
	}
}

func (st *batchStream) expectedOutputTokens() int {
	if n := st.item.parsed.OutputTokens; n > 0 {
		return n
	}
	return max(defaultOutputTokens, int(st.outputTokens.Load())+1)
}

// startStream starts a stream for an item. It returns false if the server accepts
// no item now.
func (sched *serverScheduler) startStream(ctx context.Context, wg *conc.WaitGroup, it *item) bool {
	if it.parseErr != nil {
		sched.failItem(it, http.StatusBadRequest, "invalid_line", "the line is not a JSON object", nil)
		return true
	}
	fp := string(ident.Fingerprint(http.MethodPost, it.Endpoint, it.body))
	req := sched.routeRequest(it)
	d, result := sched.group.DispatchTo(sched.server.ID, req, fp)
	switch result {
	case servers.Picked:
	case servers.Quarantined:
		sched.failItem(it, http.StatusUnprocessableEntity, "quarantined", "the request has crashed servers and is not run again", nil)
		return true
	case servers.Held, servers.SuspectWaits:
		sched.enqueue(false, it)
		return true
	default:
		sched.enqueue(true, it)
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	st := &batchStream{id: sched.director.newStreamID(), item: it, dispatch: d, startedAt: time.Now(), cancelFunc: cancel, initialTokens: it.builder.Tokens(),
		prefillTokens: it.parsed.PromptTokens + it.builder.Tokens() - d.Choice.CachedTokens}
	st.outputTokens.Store(int64(st.initialTokens))
	sched.mu.Lock()
	sched.streams = append(sched.streams, st)
	sched.occupancy.BatchChanged(st.startedAt, 1)
	sched.streamCount.Store(int64(len(sched.streams)))
	sched.mu.Unlock()
	// StopJob records the job before it searches the schedulers. It either finds
	// the stream there or its record is found here.
	if sched.director.isJobCancelled(it.JobId) {
		cancel()
		sched.removeStream(st, servers.AttemptResult{Inconclusive: true}, 0)
		sched.director.pusher.dropLease(it)
		return true
	}
	wg.Go(func() {
		defer cancel()
		res, err := sched.generate(ctx, st)
		sched.finishStream(ctx, st, res, err)
	})
	return true
}

// generate runs the item of a stream on the engine and adds the chunks of its answer to
// the item.
func (sched *serverScheduler) generate(ctx context.Context, st *batchStream) (*port.GenerateResult, error) {
	it := st.item
	req := &port.GenerateRequest{
		ID:   it.JobId + "-" + strconv.Itoa(int(it.Index)) + "-" + strconv.FormatUint(st.id, 10),
		Path: it.Endpoint, Body: it.body, Stream: it.parsed.SingleText, HeaderTimeout: batchHeaderTimeout, GapTimeout: batchGapTimeout,
	}
	if !it.parsed.SingleText {
		req.HeaderTimeout = batchTotalTimeout
	} else {
		req.Resume = it.builder.Resume()
	}
	return sched.server.Engine.Generate(ctx, req, func(c port.Chunk) error {
		if st.cancelling.Load() && !it.NonIdempotent && c.FinishReason == "" {
			return context.Canceled
		}
		if c.Tokens > 0 && !st.hasFirstToken.Swap(true) {
			it.prefilled = true
			st.dispatch.FirstToken()
			sched.wakeUp()
		}
		if c.FinishReason == "" || !it.builder.Finished() {
			it.builder.Add(c)
		}
		st.outputTokens.Store(int64(it.builder.Tokens()))
		st.dispatch.Progress(it.builder.Tokens() - st.initialTokens)
		return nil
	})
}

// finishStream removes a stream that has ended and handles its outcome.
func (sched *serverScheduler) finishStream(ctx context.Context, st *batchStream, res *port.GenerateResult, err error) {
	it := st.item
	if err == nil {
		sched.handleSuccess(st, res)
		return
	}
	if cause := cancelCause(st.cause.Load()); cause != causeNone || ctx.Err() != nil {
		sched.removeStream(st, servers.AttemptResult{Inconclusive: true}, it.builder.Tokens()-st.initialTokens)
		sched.handleCancelled(it, cause)
		return
	}
	failure := servers.ClassifyError(err)
	result := servers.AttemptResult{Failure: failure}
	if failure == retry.ConnectionLost || failure == retry.NotSent {
		probe, _ := sched.server.Probe(ctx)
		result.ConnectionRefused = probe == health.ProbeRefused
		result.Inconclusive = failure == retry.NotSent && probe == health.ProbeOK
		if result.ConnectionRefused && failure == retry.ConnectionLost {
			st.dispatch.ServerDied(ctx)
		}
	}
	if statusErr, ok := errors.AsType[*port.StatusError](err); ok {
		result.Overloaded = statusErr.Status == http.StatusTooManyRequests
	}
	if failure == retry.Permanent {
		result = servers.AttemptResult{OK: true}
	}
	sched.removeStream(st, result, it.builder.Tokens()-st.initialTokens)
	if failure != retry.Permanent {
		sched.pauseAfterFailure()
	}
	sched.handleFailure(st, failure, err)
}

// removeStream finishes the stream's dispatch and removes the stream.
func (sched *serverScheduler) removeStream(st *batchStream, result servers.AttemptResult, tokens int) {
	now := time.Now()
	st.dispatch.Finish(result)
	sched.mu.Lock()
	for i, other := range sched.streams {
		if other == st {
			sched.streams = append(sched.streams[:i], sched.streams[i+1:]...)
			break
		}
	}
	sched.occupancy.BatchChanged(now, -1)
	sched.streamCount.Store(int64(len(sched.streams)))
	sched.preemptController.RecordOutput(now, tokens)
	sched.mu.Unlock()
	sched.wakeUp()
}

// handleCancelled requeues the item of a preempted stream, returns it during a
// drain and otherwise drops it.
func (sched *serverScheduler) handleCancelled(it *item, cause cancelCause) {
	switch cause {
	case causePreempted:
		sched.enqueue(true, it)
	case causeDrained:
		sched.returnItem(it, &peerpb.ItemReturn{Index: it.Index, Preempted: true})
	default:
		sched.director.pusher.dropLease(it)
	}
}

func (sched *serverScheduler) handleSuccess(st *batchStream, res *port.GenerateResult) {
	it := st.item
	body, tokens := res.Body, res.OutputTokens
	var err error
	if len(body) == 0 {
		it.builder.SetResult(res)
		tokens = it.builder.Tokens()
		body, err = it.builder.Body(it.Endpoint)
	}
	sched.removeStream(st, servers.AttemptResult{OK: true}, tokens-st.initialTokens)
	if err != nil {
		sched.failItem(it, http.StatusInternalServerError, "internal_error", err.Error(), nil)
		return
	}
	m := sched.director.metrics
	m.BatchTokens.Add(int64(tokens))
	m.BatchItems.Add(1)
	sched.director.pusher.addResult(it, &recordpb.ItemResult{Item: it.Index, Outcome: recordpb.Outcome_OUTCOME_DONE, CustomId: it.customID,
		Status: http.StatusOK, Body: body, OutputTokens: uint32(tokens)})
}

// handleFailure retries an item after a failed attempt, returns it or records its
// failure.
func (sched *serverScheduler) handleFailure(st *batchStream, failure retry.Failure, err error) {
	it := st.item
	statusErr, answered := errors.AsType[*port.StatusError](err)
	switch {
	case failure == retry.Permanent && answered:
		code, message := errorDetails(statusErr.Body)
		sched.failItem(it, statusErr.Status, code, message, statusErr.Body)
		return
	case failure == retry.Permanent:
		sched.failItem(it, http.StatusRequestEntityTooLarge, "too_large", "the request is too large for the server", nil)
		return
	case it.NonIdempotent && failure == retry.ConnectionLost:
		sched.director.pusher.addResult(it, &recordpb.ItemResult{Item: it.Index, Outcome: recordpb.Outcome_OUTCOME_UNKNOWN, CustomId: it.customID,
			Code: "outcome_unknown", Message: "the answer was lost; the item may have run"})
		return
	case it.NonIdempotent && failure != retry.NotSent:
		status := http.StatusBadGateway
		var body []byte
		if answered {
			status, body = statusErr.Status, statusErr.Body
		}
		code, message := errorDetails(body)
		sched.failItem(it, status, code, message, body)
		return
	}
	if it.builder.Tokens() > st.initialTokens {
		it.stalledAttempts = 0
	}
	if it.stalledAttempts++; it.builder.Tokens() > 0 && it.stalledAttempts < maxStalledAttempts {
		sched.enqueue(true, it)
		return
	}
	r := &peerpb.ItemReturn{Index: it.Index, Code: "server_failed", Message: err.Error(), NotRun: failure == retry.NotSent && it.stalledAttempts == 1}
	if answered {
		r.Code, r.Message = errorDetails(statusErr.Body)
	}
	sched.returnItem(it, r)
}

// returnItem returns an item to its owner without a result; its tokens are lost.
func (sched *serverScheduler) returnItem(it *item, r *peerpb.ItemReturn) {
	sched.director.metrics.WastedTokens.Add(int64(it.builder.Tokens()))
	sched.director.pusher.addReturn(it, r)
}

// failItem records a failed result for an item.
func (sched *serverScheduler) failItem(it *item, status int, code, message string, body []byte) {
	sched.director.pusher.addResult(it, &recordpb.ItemResult{Item: it.Index, Outcome: recordpb.Outcome_OUTCOME_FAILED, CustomId: it.customID,
		Status: int32(status), Body: body, Code: code, Message: message})
}

// pauseAfterFailure delays the next stream on a server that has just failed.
func (sched *serverScheduler) pauseAfterFailure() {
	wait := sched.group.Backoff(pauseBackoffAttempt)
	sched.mu.Lock()
	sched.pausedUntil = time.Now().Add(wait)
	sched.mu.Unlock()
}

// pauseBackoffAttempt is the attempt number whose backoff is the pause after a
// failure. The mean of that backoff is 100 ms.
const pauseBackoffAttempt = 3

// errorDetails returns the code and the message of an OpenAI-style error body.
func errorDetails(body []byte) (code, message string) {
	var e struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &e) != nil || e.Error.Code == "" {
		return "server_refused", "the server refused the item"
	}
	return e.Error.Code, e.Error.Message
}

func itoa(n int) string { return strconv.Itoa(n) }
