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
	// batchFirst and batchGap bound the silence of a batch stream. They are
	// longer than those of online requests, as nobody waits for a single item.
	batchFirst = 30 * time.Second
	batchGap   = 5 * time.Second
	// batchTotal bounds an item whose answer shows no progress.
	batchTotal = 10 * time.Minute
	// maxTries bounds the attempts in a row without a new token that an item
	// with kept tokens makes here before it is returned.
	maxTries = 4
)

// cause says why a stream was cancelled.
type cause int32

const (
	causeNone cause = iota
	causePreempted
	causeStopped
	causeDrained
)

// item is a leased item with the tokens that it has produced so far.
type item struct {
	*peerpb.Item
	owner    Owner
	model    string
	customID string
	body     []byte
	parsed   answer.Request
	builder  answer.Builder
	queued   time.Time
	tries    int
	// warm is set once a server has processed the prompt.
	warm bool
	// fault is set when the line cannot be read.
	fault error
}

func newItem(in *peerpb.Item, owner Owner, model string) *item {
	it := &item{Item: in, owner: owner, model: model}
	var line struct {
		CustomID string          `json:"custom_id"`
		Body     json.RawMessage `json:"body"`
	}
	if it.fault = json.Unmarshal(in.Line, &line); it.fault == nil {
		it.customID, it.body = line.CustomID, line.Body
		it.parsed = answer.Parse(it.body)
	}
	return it
}

// run is one attempt at an item on the server.
type run struct {
	id     uint64
	item   *item
	flight *servers.Dispatch
	began  time.Time
	// prompt are the tokens that the engine has to process first.
	prompt   int
	produced atomic.Int64 // tokens of the whole answer so far
	first    atomic.Bool
	stopping atomic.Bool
	why      atomic.Int32
	stop     context.CancelFunc
	// kept are the tokens that the item had at the start.
	kept int
}

func (st *run) cancel(why cause) {
	if st.why.CompareAndSwap(int32(causeNone), int32(why)) {
		st.stopping.Store(true)
		st.stop()
	}
}

func (st *run) expected() int {
	if n := st.item.parsed.OutputTokens; n > 0 {
		return n
	}
	return max(expectedTokens, int(st.produced.Load())+1)
}

// start runs an item; false when the server takes none now.
func (l *lane) start(ctx context.Context, wg *conc.WaitGroup, it *item) bool {
	if it.fault != nil {
		l.fail(it, http.StatusBadRequest, "invalid_line", "the line is not a JSON object", nil)
		return true
	}
	fp := string(ident.Fingerprint(http.MethodPost, it.Endpoint, it.body))
	req := it.routeRequest()
	f, result := l.group.DispatchTo(l.server.ID, req, fp)
	switch result {
	case servers.Picked:
	case servers.Quarantined:
		l.fail(it, http.StatusUnprocessableEntity, "quarantined", "the request has crashed servers and is not run again", nil)
		return true
	case servers.Held, servers.SuspectWaits:
		l.put(false, it)
		return true
	default:
		l.put(true, it)
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	st := &run{id: l.director.id(), item: it, flight: f, began: time.Now(), stop: cancel, kept: it.builder.Tokens(),
		prompt: it.parsed.PromptTokens + it.builder.Tokens() - f.Choice.CachedTokens}
	st.produced.Store(int64(st.kept))
	l.mu.Lock()
	l.streams = append(l.streams, st)
	l.occ.BatchChanged(st.began, 1)
	l.count.Store(int64(len(l.streams)))
	l.mu.Unlock()
	// A cancel either finds the stream in the lane or is seen here.
	if l.director.isStopped(it.JobId) {
		cancel()
		l.end(st, servers.AttemptResult{Inconclusive: true}, 0)
		l.director.pusher.release(it)
		return true
	}
	wg.Go(func() {
		defer cancel()
		res, err := l.generate(ctx, st)
		l.finish(ctx, st, res, err)
	})
	return true
}

func (l *lane) generate(ctx context.Context, st *run) (*port.GenerateResult, error) {
	it := st.item
	req := &port.GenerateRequest{
		ID:   it.JobId + "-" + strconv.Itoa(int(it.Index)) + "-" + strconv.FormatUint(st.id, 10),
		Path: it.Endpoint, Body: it.body, Stream: it.parsed.Simple, HeaderTimeout: batchFirst, GapTimeout: batchGap,
	}
	if !it.parsed.Simple {
		req.HeaderTimeout = batchTotal
	} else {
		req.Resume = it.builder.Resume()
	}
	return l.server.Engine.Generate(ctx, req, func(c port.Chunk) error {
		if st.stopping.Load() && !it.NonIdempotent && c.FinishReason == "" {
			return context.Canceled
		}
		if c.Tokens > 0 && !st.first.Swap(true) {
			it.warm = true
			st.flight.FirstToken()
			l.wakeUp()
		}
		if c.FinishReason == "" || !it.builder.Finished() {
			it.builder.Add(c)
		}
		st.produced.Store(int64(it.builder.Tokens()))
		st.flight.Progress(it.builder.Tokens() - st.kept)
		return nil
	})
}

// finish takes a stream off the server and decides what becomes of its item.
func (l *lane) finish(ctx context.Context, st *run, res *port.GenerateResult, err error) {
	it := st.item
	if err == nil {
		l.done(st, res)
		return
	}
	if why := cause(st.why.Load()); why != causeNone || ctx.Err() != nil {
		l.end(st, servers.AttemptResult{Inconclusive: true}, it.builder.Tokens()-st.kept)
		l.cancelled(it, why)
		return
	}
	f := servers.ClassifyError(err)
	end := servers.AttemptResult{Failure: f}
	if f == retry.ConnectionLost || f == retry.NotSent {
		result, _ := l.server.Probe(ctx)
		end.ConnectionRefused = result == health.ProbeRefused
		end.Inconclusive = f == retry.NotSent && result == health.ProbeOK
		if end.ConnectionRefused && f == retry.ConnectionLost {
			st.flight.ServerDied(ctx)
		}
	}
	if s, ok := errors.AsType[*port.StatusError](err); ok {
		end.Overloaded = s.Status == http.StatusTooManyRequests
	}
	if f == retry.Permanent {
		end = servers.AttemptResult{OK: true}
	}
	l.end(st, end, it.builder.Tokens()-st.kept)
	if f != retry.Permanent {
		l.pause()
	}
	l.failed(st, f, err)
}

// end removes the stream.
func (l *lane) end(st *run, e servers.AttemptResult, tokens int) {
	now := time.Now()
	st.flight.Finish(e)
	l.mu.Lock()
	for i, o := range l.streams {
		if o == st {
			l.streams = append(l.streams[:i], l.streams[i+1:]...)
			break
		}
	}
	l.occ.BatchChanged(now, -1)
	l.count.Store(int64(len(l.streams)))
	l.guard.RecordOutput(now, tokens)
	l.mu.Unlock()
	l.wakeUp()
}

// cancelled keeps the item of a preempted stream for later; the other causes
// end its stay here.
func (l *lane) cancelled(it *item, why cause) {
	switch why {
	case causePreempted:
		l.put(true, it)
	case causeDrained:
		l.returnItem(it, &peerpb.ItemReturn{Index: it.Index, Preempted: true})
	default:
		l.director.pusher.release(it)
	}
}

func (l *lane) done(st *run, res *port.GenerateResult) {
	it := st.item
	body, tokens := res.Body, res.OutputTokens
	var err error
	if len(body) == 0 {
		it.builder.End(res)
		tokens = it.builder.Tokens()
		body, err = it.builder.Body(it.Endpoint)
	}
	l.end(st, servers.AttemptResult{OK: true}, tokens-st.kept)
	if err != nil {
		l.fail(it, http.StatusInternalServerError, "internal_error", err.Error(), nil)
		return
	}
	m := l.director.metrics
	m.BatchTokens.Add(int64(tokens))
	m.BatchItems.Add(1)
	l.director.pusher.result(it, &recordpb.ItemResult{Item: it.Index, Outcome: recordpb.Outcome_OUTCOME_DONE, CustomId: it.customID,
		Status: http.StatusOK, Body: body, OutputTokens: uint32(tokens)})
}

// failed decides about an item whose attempt failed.
func (l *lane) failed(st *run, f retry.Failure, err error) {
	it := st.item
	s, answered := errors.AsType[*port.StatusError](err)
	switch {
	case f == retry.Permanent && answered:
		code, message := reason(s.Body)
		l.fail(it, s.Status, code, message, s.Body)
		return
	case f == retry.Permanent:
		l.fail(it, http.StatusRequestEntityTooLarge, "too_large", "the request is too large for the server", nil)
		return
	case it.NonIdempotent && f == retry.ConnectionLost:
		l.director.pusher.result(it, &recordpb.ItemResult{Item: it.Index, Outcome: recordpb.Outcome_OUTCOME_UNKNOWN, CustomId: it.customID,
			Code: "outcome_unknown", Message: "the answer was lost; the item may have run"})
		return
	case it.NonIdempotent && f != retry.NotSent:
		status := http.StatusBadGateway
		var body []byte
		if answered {
			status, body = s.Status, s.Body
		}
		code, message := reason(body)
		l.fail(it, status, code, message, body)
		return
	}
	if it.builder.Tokens() > st.kept {
		it.tries = 0
	}
	if it.tries++; it.builder.Tokens() > 0 && it.tries < maxTries {
		l.put(true, it)
		return
	}
	r := &peerpb.ItemReturn{Index: it.Index, Code: "server_failed", Message: err.Error(), NotRun: f == retry.NotSent && it.tries == 1}
	if answered {
		r.Code, r.Message = reason(s.Body)
	}
	l.returnItem(it, r)
}

// returnItem gives an item back without a result; its tokens are lost.
func (l *lane) returnItem(it *item, r *peerpb.ItemReturn) {
	l.director.metrics.WastedTokens.Add(int64(it.builder.Tokens()))
	l.director.pusher.giveBack(it, r)
}

// fail ends an item with a reason.
func (l *lane) fail(it *item, status int, code, message string, body []byte) {
	l.director.pusher.result(it, &recordpb.ItemResult{Item: it.Index, Outcome: recordpb.Outcome_OUTCOME_FAILED, CustomId: it.customID,
		Status: int32(status), Body: body, Code: code, Message: message})
}

// pause keeps a server that has just failed from getting the next item at once.
func (l *lane) pause() {
	wait := l.group.Backoff(waitAttempt)
	l.mu.Lock()
	l.pausedUntil = time.Now().Add(wait)
	l.mu.Unlock()
}

// waitAttempt sets the mean wait after a failure, by the backoff after that many
// attempts (100 ms).
const waitAttempt = 3

// reason reads the code and the message of an OpenAI-style error body.
func reason(body []byte) (code, message string) {
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
