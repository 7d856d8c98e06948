package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/web"
)

var errLogDown = api.Unavailable(api.CodeLogUnavailable, time.Second, "the log is down")

// Guards against running a keyed call again after its answer is recorded, and
// against a replay that differs from the first answer, for non-streaming and
// streamed requests.
func TestResendIsReplayed(t *testing.T) {
	for _, body := range []string{chatBody, streamBody} {
		h := newHarness(t)
		first := h.do("POST", pathChat, body, web.HeaderIdempotencyKey, "k")
		again := h.do("POST", pathChat, body, web.HeaderIdempotencyKey, "k")
		if h.servers.count() != 1 {
			t.Errorf("%d runs", h.servers.count())
		}
		if strings.ReplaceAll(first.body, recordedComment, "") != again.body || first.header.Get("Content-Type") != again.header.Get("Content-Type") ||
			again.header.Get(web.HeaderRecorded) != "true" || again.header.Get(web.HeaderOutcome) != "ran" {
			t.Errorf("first %+v, again %+v", first, again)
		}
		if body == streamBody && !strings.Contains(first.body, recordedComment) {
			t.Errorf("stream without the comment that its answer is recorded: %q", first.body)
		}
		got := h.do("GET", "/v1/calls/k", "")
		if !strings.Contains(got.body, `"status":"done","outcome":"ran","recorded":true`) {
			t.Errorf("call %s", got.body)
		}
		if got := h.do("GET", "/v1/calls/k", "", "Authorization", "Bearer south-key"); got.status != 404 {
			t.Errorf("the call of another workspace: %+v", got)
		}
	}
}

// Guards against refusing an idempotent keyed call or losing its answer while the
// log is unavailable: the call runs, reports that it is not recorded, and is
// recorded later.
func TestIdempotentCallUnderLogOutage(t *testing.T) {
	for _, body := range []string{chatBody, streamBody} {
		h := newHarness(t)
		h.calls.setError(errLogDown)
		got := h.do("POST", pathChat, body, web.HeaderIdempotencyKey, "k")
		if got.status != 200 || got.header.Get(web.HeaderRecorded) != "false" || strings.Contains(got.body, recordedComment) {
			t.Errorf("%+v", got)
		}
		h.calls.setError(nil)
		if req := <-h.calls.finished; req.Key != "k" || req.Abandoned || req.Result.Outcome != api.Ran {
			t.Errorf("recorded %+v", req)
		}
	}
}

// Guards against dispatching a non-idempotent keyed call before its CallStarted
// entry is recorded, and against the outcome not-run when the log's response was
// lost.
func TestNonIdempotentCallUnderLogOutage(t *testing.T) {
	h := newHarness(t)
	for _, outcome := range []api.Outcome{api.NotRun, api.Unknown} {
		r := *errLogDown
		r.Outcome = outcome
		h.calls.setError(&r)
		got := h.do("POST", pathChat, chatBody, web.HeaderIdempotencyKey, "k", web.HeaderNonIdempotent, "true")
		if got.status != 503 || got.header.Get(web.HeaderOutcome) != string(outcome) || got.header.Get("Retry-After") != "1" {
			t.Errorf("%+v", got)
		}
	}
	if h.servers.count() != 0 {
		t.Errorf("%d runs", h.servers.count())
	}
	h.calls.setError(nil)
	if got := h.do("POST", pathChat, chatBody, web.HeaderIdempotencyKey, "k", web.HeaderNonIdempotent, "true"); got.status != 200 {
		t.Errorf("after the outage: %+v", got)
	}
	if !h.calls.begins[2].NonIdempotent {
		t.Error("Begin was not told that the call is non-idempotent")
	}
}

// Guards against dispatching a call that is running, has an unknown outcome or
// conflicts with another request.
func TestStatesThatDoNotRun(t *testing.T) {
	h := newHarness(t)
	for state, want := range map[api.CallState]reply{
		api.StateRunning:  {status: 409, body: "call_running", header: http.Header{web.HeaderOutcome: {"unknown"}}},
		api.StateUnknown:  {status: 502, body: "outcome_unknown", header: http.Header{web.HeaderOutcome: {"unknown"}}},
		api.StateConflict: {status: 409, body: "idempotency_conflict", header: http.Header{web.HeaderOutcome: {"not-run"}}},
	} {
		h.calls.state = state
		for _, body := range []string{chatBody, streamBody} {
			got := h.do("POST", pathChat, body, web.HeaderIdempotencyKey, "k")
			if got.status != want.status || !strings.Contains(got.body, want.body) ||
				got.header.Get(web.HeaderOutcome) != want.header.Get(web.HeaderOutcome) {
				t.Errorf("state %d: %+v", state, got)
			}
		}
	}
	if h.servers.count() != 0 {
		t.Errorf("%d runs", h.servers.count())
	}
}

// Guards against a failed call whose key stays in use although nothing ran, and
// against a failed non-idempotent call that a resend runs again.
func TestRecordOfFailedRuns(t *testing.T) {
	for _, tc := range []struct {
		name          string
		answer        *api.Answer
		err           error
		nonIdempotent bool
		abandoned     bool
		outcome       api.Outcome
		failed        bool
	}{
		{"not run", nil, api.Unavailable(api.CodeOverloaded, 0, "full"), true, true, "", false},
		{"unknown, idempotent", nil, errors.New("lost"), false, true, "", false},
		{"unknown, non-idempotent", nil, errors.New("lost"), true, false, api.Unknown, true},
		{"server's refusal", jsonAnswer(400, `{}`), nil, false, false, api.Ran, true},
		{"transient, idempotent", jsonAnswer(503, `{}`), nil, false, true, "", false},
		{"transient, non-idempotent", jsonAnswer(503, `{}`), nil, true, false, api.Ran, true},
		{"not run after events", nil, api.Unavailable(api.CodeOverloaded, 0, "full"), true, false, api.Unknown, true},
		{"too long, idempotent", jsonAnswer(200, strings.Repeat(" ", 2000)), nil, false, true, "", false},
		{"too long, non-idempotent", jsonAnswer(200, strings.Repeat(" ", 2000)), nil, true, false, api.Ran, true},
	} {
		h := newHarness(t)
		body := chatBody
		h.servers.run = func(_ context.Context, _ *api.InferenceRequest, sink api.Sink) (*api.Answer, error) {
			if sink != nil {
				if err := sink([]byte(`{}`)); err != nil {
					return nil, err
				}
			}
			return tc.answer, tc.err
		}
		if strings.HasSuffix(tc.name, "after events") {
			body = streamBody
		}
		headers := []string{web.HeaderIdempotencyKey, "k"}
		if tc.nonIdempotent {
			headers = append(headers, web.HeaderNonIdempotent, "true")
		}
		got := h.do("POST", pathChat, body, headers...)
		req := <-h.calls.finished
		if req.Abandoned != tc.abandoned || req.Result.Outcome != tc.outcome || req.Result.Failed != tc.failed {
			t.Errorf("%s: recorded %+v", tc.name, req)
		}
		if tc.answer != nil && (got.status != tc.answer.Status || got.body != string(tc.answer.Body)) {
			t.Errorf("%s: answered %d, %d bytes", tc.name, got.status, len(got.body))
		}
		if strings.HasPrefix(tc.name, "too long") && got.header.Get(web.HeaderRecorded) != "false" {
			t.Errorf("%s: reported as recorded", tc.name)
		}
	}
}

// Guards against cancelling or not recording a keyed call whose caller has
// disconnected, for non-streaming and streamed requests.
func TestKeyedCallOutlivesItsCaller(t *testing.T) {
	for _, body := range []string{chatBody, streamBody} {
		h := newHarness(t)
		started, release := make(chan struct{}), make(chan struct{})
		h.servers.run = func(ctx context.Context, req *api.InferenceRequest, sink api.Sink) (*api.Answer, error) {
			for n := 0; req.Stream && n < 20; n++ {
				if err := sink([]byte(`{"n":1}`)); err != nil {
					return nil, err
				}
				if n == 0 {
					close(started)
					<-release
				}
			}
			if !req.Stream {
				close(started)
				<-release
			}
			return jsonAnswer(200, `{}`), ctx.Err()
		}
		ctx, cancel := context.WithCancel(t.Context())
		disconnected := make(chan struct{})
		go func() {
			defer close(disconnected)
			if res, err := http.DefaultClient.Do(h.request(ctx, "POST", pathChat, body, web.HeaderIdempotencyKey, "k")); err == nil {
				<-ctx.Done()
				res.Body.Close()
			}
		}()
		<-started
		cancel()
		<-disconnected
		close(release)
		req := <-h.calls.finished
		if req.Abandoned || body == streamBody && strings.Count(string(req.Result.Answer.Body), "data: ") != 21 {
			t.Errorf("recorded %+v", req)
		}
	}
}

// Guards against reporting an unknown outcome to a caller although the answer is
// available. It happens when the owner considers this instance failed and records
// the outcome as unknown first.
func TestAnswerAfterUnknownWasRecorded(t *testing.T) {
	h := newHarness(t)
	h.calls.recordedResult = &api.CallResult{Outcome: api.Unknown}
	got := h.do("POST", pathChat, chatBody, web.HeaderIdempotencyKey, "k", web.HeaderNonIdempotent, "true")
	if got.status != 200 || got.header.Get(web.HeaderRecorded) != "false" || got.header.Get(web.HeaderOutcome) != "ran" {
		t.Errorf("%+v", got)
	}
	h.calls.recordedResult = &api.CallResult{Outcome: api.Ran, Answer: *jsonAnswer(200, `"first"`)}
	if got := h.do("POST", pathChat, chatBody, web.HeaderIdempotencyKey, "other"); got.body != `"first"` || got.header.Get(web.HeaderRecorded) != "true" {
		t.Errorf("the answer is not the recorded result: %+v", got)
	}
}

// Guards against TLS connections without working keep-alive or disconnect watch.
func TestTLS(t *testing.T) {
	h := newHarness(t)
	tlsServer := httptest.NewTLSServer(http.NotFoundHandler())
	defer tlsServer.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() {
		served <- h.server.Serve(tls.NewListener(ln, &tls.Config{Certificates: tlsServer.TLS.Certificates}))
	}()
	h.url = "https://" + ln.Addr().String()
	client := tlsServer.Client()
	defer client.CloseIdleConnections()
	for range 3 {
		res, err := client.Do(h.request(t.Context(), "POST", pathChat, chatBody))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != 200 || res.Close {
			t.Errorf("%d, %v", res.StatusCode, err)
		}
		res.Body.Close()
	}
	started, cancelled := make(chan struct{}), make(chan struct{})
	h.servers.run = func(ctx context.Context, _ *api.InferenceRequest, _ api.Sink) (*api.Answer, error) {
		close(started)
		<-ctx.Done()
		close(cancelled)
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	if res, err := client.Do(h.request(ctx, "POST", pathChat, chatBody)); err == nil {
		res.Body.Close()
	}
	<-cancelled
	if err := h.server.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// Guards against a shutdown that cuts off a stream or drops an answer that is not
// yet recorded.
func TestShutdownWaits(t *testing.T) {
	h := newHarness(t)
	started, release := make(chan struct{}), make(chan struct{})
	h.servers.run = func(_ context.Context, _ *api.InferenceRequest, sink api.Sink) (*api.Answer, error) {
		for n := range 3 {
			if err := sink([]byte(`{"n":1}`)); err != nil {
				return nil, err
			}
			if n == 0 {
				close(started)
				<-release
			}
		}
		return &api.Answer{Status: 200}, nil
	}
	h.calls.setError(errLogDown)
	answered := make(chan reply, 1)
	go func() { answered <- h.do("POST", pathChat, streamBody, web.HeaderIdempotencyKey, "k") }()
	<-started
	stopped := make(chan error, 1)
	go func() { stopped <- h.server.Shutdown(context.Background()) }()
	close(release)
	if got := <-answered; strings.Count(got.body, "data: ") != 4 || !strings.HasSuffix(got.body, doneEvent) {
		t.Errorf("%+v", got)
	}
	select {
	case err := <-stopped:
		t.Errorf("Shutdown returned with a record outstanding: %v", err)
	default:
	}
	h.calls.setError(nil)
	if req := <-h.calls.finished; req.Key != "k" {
		t.Errorf("recorded %+v", req)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Guards against a recorder that gives up, retries without backoff, or retries a
// permanent error.
func TestRecorderRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := newFakeCalls()
		calls.setError(errLogDown)
		r := newRecorder(calls, 2)
		r.jitter = func() float64 { return 1 }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.run(ctx)
		}()
		start := time.Now()
		r.enqueue(api.FinishRequest{Key: "a"})
		r.enqueue(api.FinishRequest{Key: "b"})
		time.Sleep(time.Hour)
		calls.setError(nil)
		got := map[string]bool{(<-calls.finished).Key: true, (<-calls.finished).Key: true}
		if !got["a"] || !got["b"] || time.Since(start) > time.Hour+2*recordBackoffMax {
			t.Errorf("recorded %v after %s", got, time.Since(start))
		}
		calls.setError(&api.Refusal{Code: api.CodeKeyConflict, Status: 409, Outcome: api.NotRun})
		before := recordsRefused.Value()
		r.enqueue(api.FinishRequest{Key: "c"})
		synctest.Wait()
		if recordsRefused.Value() != before+1 || r.queue.Len() != 0 {
			t.Error("a record with a key conflict is retried")
		}
		calls.setError(errLogDown)
		r.enqueue(api.FinishRequest{Key: "d"})
		synctest.Wait()
		r.queue.Close()
		time.Sleep(time.Minute)
		calls.setError(nil)
		if req := <-calls.finished; req.Key != "d" {
			t.Errorf("recorded %q during the drain", req.Key)
		}
		<-done
		cancel()
	})
}

// Guards against not counting the records that a full queue drops.
func TestRecorderQueueIsBounded(t *testing.T) {
	r := newRecorder(newFakeCalls(), 1)
	before := recordsDropped.Value()
	r.enqueue(api.FinishRequest{Key: "a"})
	r.enqueue(api.FinishRequest{Key: "b"})
	if recordsDropped.Value() != before+1 {
		t.Errorf("%d drops counted", recordsDropped.Value()-before)
	}
}

// FuzzParseGeneration guards against bodies on which the parser panics or
// accepts a request without a model.
func FuzzParseGeneration(f *testing.F) {
	f.Add(pathChat, []byte(chatBody))
	f.Add(pathCompletion, []byte(`{"model":"m","prompt":["a"],"stream":true}`))
	f.Add(pathChat, []byte(`{"model":null,"messages":{}}`))
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		g, err := parseGeneration(path, body)
		if err == nil && g.Model == "" {
			t.Error("no model")
		}
		if err != nil && api.AsRefusal(err).Status != http.StatusBadRequest {
			t.Errorf("status %d", api.AsRefusal(err).Status)
		}
	})
}
