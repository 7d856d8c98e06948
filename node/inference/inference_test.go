package inference

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
	"github.com/jacinthnotch/jacinthnotch/domain/ident"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/client"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/servers"
	"github.com/jacinthnotch/jacinthnotch/standin/engine"
	"github.com/jacinthnotch/jacinthnotch/standin/local"
)

const (
	chatPath = "/v1/chat/completions"
	model    = "model-a"
	tokens   = 40
)

// testEnv is a set of stand-ins with the pool and the service of one instance.
type testEnv struct {
	*local.Set
	pool    *servers.Pool
	service *Service
}

func document() *config.Document {
	return &config.Document{
		Services: map[string]*config.Service{"model": {Kind: config.ServiceKindModel, DefaultDeadlineMs: 30000}},
		Models:   map[string]*config.Model{model: {Service: "model"}},
	}
}

func newTestEnv(t testing.TB, engineCount int, opts engine.Options) *testEnv {
	t.Helper()
	opts.Model, opts.OutputTokens = model, tokens
	set, err := local.Start(local.Options{Engines: engineCount, Engine: opts, Speeds: []float64{1}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(set.Close)
	pool, probes := client.NewPool(client.Options{}), client.NewPool(client.Options{IdleTimeout: time.Nanosecond})
	doc := document()
	p := servers.New(servers.Options{
		Instance: "i-1", DataCentre: "dc-1", Directory: client.NewDirectory(set.List.Addr(), client.Options{}),
		Document:  func() *config.Document { return doc },
		NewEngine: func(a string) port.Engine { return client.NewEngine(a, pool) },
		NewProbe:  func(a string) port.Engine { return client.NewEngine(a, probes) }, Seed: 1,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { p.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait(); pool.Close(); probes.Close() })
	env := &testEnv{Set: set, pool: p, service: New(p)}
	for i := range set.EngineIDs {
		for g := p.Group("model"); g == nil || !g.Available(set.EngineIDs[i]); g = p.Group("model") {
			time.Sleep(time.Millisecond)
		}
	}
	return env
}

func chatBody(prompt string) []byte {
	b, err := json.Marshal(map[string]any{"model": model, "messages": []map[string]string{{"role": "user", "content": prompt}}})
	if err != nil {
		panic(err)
	}
	return b
}

func request(id, prompt string, stream bool) *api.InferenceRequest {
	body := chatBody(prompt)
	return &api.InferenceRequest{ID: id, Workspace: "w", Model: model, Path: chatPath, Body: body, Stream: stream, Idempotent: true,
		Deadline: time.Now().Add(20 * time.Second), Fingerprint: ident.Fingerprint(http.MethodPost, chatPath, body)}
}

// fillRetryBudget sends requests that succeed, because an instance that has not yet
// answered a request may not retry.
func (env *testEnv) fillRetryBudget(t testing.TB) {
	t.Helper()
	for i := range 30 {
		if _, err := env.service.Run(t.Context(), request(fmt.Sprint("warm", i), "warm", false), nil); err != nil {
			t.Fatal(err)
		}
	}
}

// streamedText collects the text of a stream's events.
type streamedText struct {
	strings.Builder
	ids         map[string]bool
	finishCount int
}

func (s *streamedText) add(t testing.TB, data []byte) {
	var e struct {
		ID      string `json:"id"`
		Choices []struct {
			Delta        struct{ Content string }
			FinishReason string `json:"finish_reason"`
		}
	}
	if err := json.Unmarshal(data, &e); err != nil {
		t.Errorf("event %q: %v", data, err)
	}
	if s.ids == nil {
		s.ids = map[string]bool{}
	}
	s.ids[e.ID] = true
	for _, c := range e.Choices {
		s.WriteString(c.Delta.Content)
		if c.FinishReason != "" {
			s.finishCount++
		}
	}
}

// check fails the test if events are duplicated, lost or from another answer.
func (s *streamedText) check(t testing.TB, body []byte) {
	t.Helper()
	want, err := engine.ExpectedAnswer(body, tokens)
	if err != nil {
		t.Fatal(err)
	}
	if s.String() != want.Text || s.finishCount != 1 || len(s.ids) != 1 {
		t.Errorf("stream has text %q, %d ends, ids %v; want text %q, one end and one id", s.String(), s.finishCount, s.ids, want.Text)
	}
}

// engineRunning returns the engine that runs the request.
func (env *testEnv) engineRunning(t testing.TB, body []byte) *engine.Engine {
	t.Helper()
	fp, err := engine.Fingerprint(body)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range env.Engines {
		if e.Runs()[fp].Runs > 0 {
			return e
		}
	}
	t.Fatal("no engine has run the request")
	return nil
}

// Guards against a lost, duplicated or truncated answer when the server dies
// mid-stream.
func TestStreamSurvivesServerDeath(t *testing.T) {
	env := newTestEnv(t, 3, engine.Options{DecodeRate: 1000})
	env.fillRetryBudget(t)
	req := request("death", "tell me about the harbour", true)
	var got streamedText
	events := 0
	a, err := env.service.Run(t.Context(), req, func(data []byte) error {
		got.add(t, data)
		if events++; events == 10 {
			env.engineRunning(t, req.Body).Kill()
		}
		return nil
	})
	if err != nil || a.Status != http.StatusOK {
		t.Fatalf("Run = %v, %v", a, err)
	}
	got.check(t, req.Body)
	if n := env.pool.Metrics().Resumes.Value(); n != 1 {
		t.Errorf("resumes = %d, want 1", n)
	}
}

// Guards against answers that never end or start over after connections are cut or
// stall, before the first, after the first and before the last token.
func TestStreamSurvivesBrokenConnections(t *testing.T) {
	for _, after := range []int{0, 1, tokens - 1} {
		for name, fault := range map[string]engine.Faults{
			"cut":    {CutNext: 1, BreakAfter: after},
			"silent": {SilentNext: 1, BreakAfter: after},
		} {
			t.Run(fmt.Sprintf("%s after %d", name, after), func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t, 2, engine.Options{})
				env.fillRetryBudget(t)
				for _, e := range env.Engines {
					e.SetFaults(fault)
				}
				for _, stream := range []bool{true, false} {
					req := request(name, "tell me about the harbour", stream)
					var got streamedText
					a, err := env.service.Run(t.Context(), req, func(data []byte) error { got.add(t, data); return nil })
					if err != nil {
						t.Fatal(err)
					}
					if stream {
						got.check(t, req.Body)
					} else {
						checkAnswer(t, req.Body, a)
					}
				}
			})
		}
	}
}

// checkAnswer fails the test unless a is the complete answer to the request.
func checkAnswer(t testing.TB, body []byte, a *api.Answer) {
	t.Helper()
	var got struct {
		Choices []struct{ Message struct{ Content string } }
		Usage   struct {
			CompletionTokens int `json:"completion_tokens"`
			PromptTokens     int `json:"prompt_tokens"`
		}
	}
	want, err := engine.ExpectedAnswer(body, tokens)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(a.Body, &got); err != nil || a.Status != http.StatusOK || len(got.Choices) != 1 ||
		got.Choices[0].Message.Content != want.Text || got.Usage.CompletionTokens != want.Tokens || got.Usage.PromptTokens != want.PromptTokens {
		t.Errorf("answer %d %s (%v), want text %q with %d tokens", a.Status, a.Body, err, want.Text, want.Tokens)
	}
}

// Guards against a permanent refusal of the engine that is retried or not passed on.
func TestPermanentRefusalIsPassedOn(t *testing.T) {
	env := newTestEnv(t, 2, engine.Options{})
	a, err := env.service.Run(t.Context(), request("refused", "no "+engine.RefuseMark, false), nil)
	if err != nil || a.Status != http.StatusUnprocessableEntity || !bytes.Contains(a.Body, []byte("content_refused")) {
		t.Fatalf("Run = %+v, %v; want the engine's 422", a, err)
	}
	if n := env.pool.Metrics().Dispatches.Value(); n != 1 {
		t.Errorf("dispatches = %d, want 1", n)
	}
}

// Guards against a non-idempotent request that runs twice, and against a refusal
// whose outcome does not match what is known about the run.
func TestNonIdempotentOutcome(t *testing.T) {
	env := newTestEnv(t, 3, engine.Options{})
	for _, c := range []struct {
		name    string
		fault   engine.Faults
		outcome api.Outcome
	}{
		{"lost answer", engine.Faults{LoseNext: 1}, api.Unknown},
		{"closed after read", engine.Faults{CloseNext: 1}, api.Unknown},
		{"refused", engine.Faults{FailNext: 1}, api.Ran},
	} {
		for _, e := range env.Engines {
			e.SetFaults(c.fault)
		}
		before := env.pool.Metrics().Dispatches.Value()
		req := request(c.name, c.name, false)
		req.Idempotent = false
		_, err := env.service.Run(t.Context(), req, nil)
		if r := api.AsRefusal(err); r == nil || r.Outcome != c.outcome {
			t.Errorf("%s: %v, want outcome %s", c.name, err, c.outcome)
		}
		if n := env.pool.Metrics().Dispatches.Value() - before; n != 1 {
			t.Errorf("%s: dispatches = %d, want 1", c.name, n)
		}
	}
	for _, e := range env.Engines {
		e.Kill()
	}
	req := request("down", "down", false)
	req.Idempotent = false
	_, err := env.service.Run(t.Context(), req, nil)
	if r := api.AsRefusal(err); r == nil || r.Outcome != api.NotRun {
		t.Errorf("all servers down: %v, want outcome %s", err, api.NotRun)
	}
}

// Guards against retries that multiply the load when every server refuses.
func TestRetriesInTotalOutage(t *testing.T) {
	env := newTestEnv(t, 4, engine.Options{})
	const offered = 200
	for i := range offered {
		if _, err := env.service.Run(t.Context(), request(fmt.Sprint("ok", i), fmt.Sprint("ok", i), false), nil); err != nil {
			t.Fatal(err)
		}
	}
	for _, e := range env.Engines {
		e.SetFaults(engine.Faults{Outage: true})
	}
	before := env.pool.Metrics().Dispatches.Value()
	var wg sync.WaitGroup
	for i := range offered {
		wg.Go(func() {
			req := request(fmt.Sprint("out", i), fmt.Sprint("out", i), false)
			req.Deadline = time.Now().Add(500 * time.Millisecond)
			if _, err := env.service.Run(t.Context(), req, nil); err == nil {
				t.Error("answered during an outage")
			}
		})
	}
	wg.Wait()
	if n := env.pool.Metrics().Dispatches.Value() - before; n > offered*11/10 {
		t.Errorf("%d dispatches for %d requests, want at most 1.1 for each", n, offered)
	}
}

// Guards against a request that crashes one server after another when it is retried
// and sent again by its caller.
func TestCrashingRequestIsContained(t *testing.T) {
	env := newTestEnv(t, 6, engine.Options{})
	env.fillRetryBudget(t)
	for i := range 5 {
		req := request(fmt.Sprint("crash", i), "boom "+engine.CrashMark, i%2 == 0)
		_, err := env.service.Run(t.Context(), req, func([]byte) error { return nil })
		if err == nil {
			t.Fatal("a request that crashes each server was answered")
		}
		if r := api.AsRefusal(err); i > 1 && r.Code != api.CodeQuarantined {
			t.Errorf("resend %d: %v, want %s", i, err, api.CodeQuarantined)
		}
	}
	crashes := 0
	for _, e := range env.Engines {
		crashes += e.Crashes()
	}
	if crashes > 2 {
		t.Errorf("%d servers were taken down, want at most 2", crashes)
	}
	req := request("harmless", "harmless", false)
	a, err := env.service.Run(t.Context(), req, nil)
	if err != nil {
		t.Fatalf("a harmless request afterwards: %v", err)
	}
	checkAnswer(t, req.Body, a)
}

// Guards against a stream that continues on the engine after its caller has
// disconnected.
func TestSinkErrorCancels(t *testing.T) {
	env := newTestEnv(t, 1, engine.Options{DecodeRate: 200})
	errDisconnected := errors.New("caller disconnected")
	_, err := env.service.Run(t.Context(), request("gone", "gone", true), func([]byte) error { return errDisconnected })
	if r := api.AsRefusal(err); r == nil || r.Code != api.CodeCancelled {
		t.Fatalf("Run = %v, want %s", err, api.CodeCancelled)
	}
	for {
		cancelled := 0
		for _, n := range env.Engines[0].Runs() {
			cancelled += n.Cancelled
		}
		if cancelled == 1 {
			return
		}
		time.Sleep(time.Millisecond) // the test's own time limit ends the wait
	}
}
