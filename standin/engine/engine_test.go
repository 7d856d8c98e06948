package engine_test

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/client"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/standin/engine"
	"github.com/jacinthnotch/jacinthnotch/standin/kit"
)

func start(t *testing.T, opts engine.Options, faults engine.Faults) (*engine.Engine, *client.Engine) {
	t.Helper()
	e := engine.New(opts, faults)
	if err := e.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	pool := client.NewPool(client.Options{})
	t.Cleanup(func() { pool.Close(); e.Close() })
	return e, client.NewEngine(e.Addr(), pool)
}

func request(prompt string, stream bool) *port.GenerateRequest {
	return &port.GenerateRequest{
		ID: "r1", Path: "/v1/chat/completions", Stream: stream,
		Body: fmt.Appendf(nil, `{"messages":[{"role":"user","content":%q}],"max_tokens":40}`, prompt),
	}
}

// collect runs a streamed request and returns the text and tokens received.
func collect(t *testing.T, c *client.Engine, req *port.GenerateRequest) (string, int, *port.GenerateResult, error) {
	t.Helper()
	var text strings.Builder
	tokens := 0
	res, err := c.Generate(context.Background(), req, func(ch port.Chunk) error {
		text.WriteString(ch.Text)
		tokens += ch.Tokens
		return nil
	})
	return text.String(), tokens, res, err
}

// Guards against mixed-up or truncated answers when many callers share the batch. Each must
// receive the complete answer to its own prompt.
func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	_, c := start(t, engine.Options{Slots: 3}, engine.Faults{})
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Go(func() {
			req := request(fmt.Sprintf("letter %d", i), true)
			want, _ := engine.ExpectedAnswer(req.Body, 0)
			text, tokens, res, err := collect(t, c, req)
			if err != nil || text != want.Text || tokens != want.Tokens || res.FinishReason != "length" || res.OutputTokens != 40 || res.PromptTokens != want.PromptTokens {
				t.Errorf("request %d: text %q, %d tokens, result %+v, error %v; want %+v", i, text, tokens, res, err, want)
			}
		})
	}
	wg.Wait()
	unstreamed, err := c.Generate(context.Background(), request("letter 0", false), nil)
	want, _ := engine.ExpectedAnswer(request("letter 0", false).Body, 0)
	if err != nil || !strings.Contains(string(unstreamed.Body), want.Text) {
		t.Fatalf("answer without streaming: %v", err)
	}
}

// Guards against missing or repeated tokens in a resumed answer.
func TestResumeContinuesExactly(t *testing.T) {
	e, c := start(t, engine.Options{}, engine.Faults{CutNext: 1, BreakAfter: 7})
	req := request("resume me", true)
	first, tokens, _, err := collect(t, c, req)
	if !errors.Is(err, port.ErrOutcomeUnknown) || tokens != 7 {
		t.Fatalf("interrupted stream: %d tokens, %v", tokens, err)
	}
	req.Resume = &port.Resume{Text: first, Tokens: tokens}
	rest, _, _, err := collect(t, c, req)
	want, _ := engine.ExpectedAnswer(req.Body, 0)
	if err != nil || first+rest != want.Text {
		t.Fatalf("resumed: %q + %q, %v", first, rest, err)
	}
	fp, _ := engine.Fingerprint(req.Body)
	if n := e.Runs()[fp]; n.Runs != 2 || n.Resumed != 1 {
		t.Fatalf("counts %+v", n)
	}
	req.Resume.Text = "something else"
	var status *port.StatusError
	if _, _, _, err := collect(t, c, req); !errors.As(err, &status) || status.Status != 400 {
		t.Fatalf("resume with a text that is not a prefix of the answer: %v", err)
	}
}

// Guards against an engine that continues a request after the caller has disconnected. Its
// slot must become free for the next request.
func TestClosingTheConnectionFreesTheSlot(t *testing.T) {
	clock := kit.NewManualClock(time.Unix(1e9, 0))
	opts := engine.Options{Clock: clock, Slots: 1, KVTokens: 1 << 31, OutputTokens: 1 << 20, DecodeRate: 1}
	e, c := start(t, opts, engine.Faults{})
	wait := func(done chan error) error { // advances the clock until done
		for {
			select {
			case err := <-done:
				return err
			default:
				clock.Advance(time.Second)
				runtime.Gosched()
			}
		}
	}
	stop := errors.New("stop")
	long := &port.GenerateRequest{Path: "/v1/completions", Stream: true, Body: []byte(`{"prompt":"long"}`)}
	done := make(chan error, 1)
	go func() {
		_, err := c.Generate(context.Background(), long, func(port.Chunk) error { return stop })
		done <- err
	}()
	if err := wait(done); !errors.Is(err, stop) {
		t.Fatal(err)
	}
	go func() {
		_, _, _, err := collect(t, c, request("next", true))
		done <- err
	}()
	if err := wait(done); err != nil {
		t.Fatal(err)
	}
	fp, _ := engine.Fingerprint(long.Body)
	if n := e.Runs()[fp]; n.Cancelled != 1 || n.Completed != 0 {
		t.Fatalf("counts %+v", n)
	}
	var status *port.StatusError
	if _, err := c.Generate(context.Background(), request(engine.RefuseMark, false), nil); !errors.As(err, &status) || status.Status != 422 {
		t.Fatalf("request with RefuseMark: %v", err)
	}
}

// Guards against a crash that looks like a refusal, and against an engine that accepts
// requests between the crash and the restart.
func TestCrashAndRestart(t *testing.T) {
	clock := kit.NewManualClock(time.Unix(1e9, 0))
	e, c := start(t, engine.Options{Clock: clock, CrashRecovery: kit.Duration(5 * time.Second)}, engine.Faults{})
	if _, _, _, err := collect(t, c, request(engine.CrashMark, true)); !errors.Is(err, port.ErrOutcomeUnknown) {
		t.Fatalf("crashing request: %v", err)
	}
	clock.WaitForTimers(1)
	if _, _, _, err := collect(t, c, request("down", true)); !errors.Is(err, port.ErrUnavailable) {
		t.Fatalf("request to a crashed engine: %v", err)
	}
	clock.Advance(5 * time.Second)
	if e.Crashes() != 1 {
		t.Fatal("the crash was not counted")
	}
	if err := e.Restart(); err != nil { // succeeds before and after the automatic restart
		t.Fatal(err)
	}
	if _, _, _, err := collect(t, c, request("up", true)); err != nil {
		t.Fatal(err)
	}
}

// Guards against an engine that carries out an order with an outdated fencing number. An
// engine that does not check fencing numbers must carry it out.
func TestFencing(t *testing.T) {
	for _, check := range []bool{true, false} {
		clock := kit.NewManualClock(time.Unix(1e9, 0))
		e, c := start(t, engine.Options{Clock: clock, CheckFence: check, LoadTime: kit.Duration(time.Minute)}, engine.Faults{})
		ctx := context.Background()
		if err := c.Order(ctx, port.Order{ID: "a", Kind: port.OrderLoadModel, Model: "model-b", Version: "2", Fence: 7}); err != nil {
			t.Fatal(err)
		}
		var status *port.StatusError
		if _, err := c.Generate(ctx, request("x", false), nil); !errors.As(err, &status) || status.Status != 503 {
			t.Fatalf("request while loading: %v", err)
		}
		clock.WaitForTimers(1)
		clock.Advance(time.Minute)
		for s := e.State(); s.Loading; s = e.State() {
			runtime.Gosched() // until the goroutine of the order has applied it
		}
		err := c.Order(ctx, port.Order{ID: "b", Kind: port.OrderSetRole, Role: port.RoleDecode, Fence: 6})
		s, _ := c.State(ctx)
		if check && (!errors.Is(err, port.ErrFenced) || s.Role != port.RoleBoth || s.Fence != 7) {
			t.Fatalf("order with an outdated fencing number: %v, state %+v", err, s)
		}
		if !check && (err != nil || s.Role != port.RoleDecode || s.Fence != 0) {
			t.Fatalf("order to an engine that does not check fencing numbers: %v, state %+v", err, s)
		}
		if s.Model != "model-b" || s.Version != "2" {
			t.Fatalf("state %+v", s)
		}
	}
}

// Guards against cache events with other prefix hashes than the router computes, and against
// events that are not delayed or lost as configured.
func TestCacheEventsAndHits(t *testing.T) {
	clock := kit.NewManualClock(time.Unix(1e9, 0))
	_, c := start(t, engine.Options{Clock: clock}, engine.Faults{EventDelay: kit.Duration(time.Second), EventGap: 2})
	ctx := context.Background()
	prompt := strings.Repeat("abcdefgh", 4*engine.BlockBytes/8)
	req := &port.GenerateRequest{Path: "/v1/completions", Body: fmt.Appendf(nil, `{"prompt":%q,"max_tokens":1}`, prompt)}
	first, err := c.Generate(ctx, req, nil)
	if err != nil {
		t.Fatal(err)
	}
	second, err := c.Generate(ctx, req, nil)
	if err != nil || first.CachedTokens != 0 || second.CachedTokens != 256 {
		t.Fatalf("cached %d then %d tokens, %v", first.CachedTokens, second.CachedTokens, err)
	}
	if page, err := c.CacheEvents(ctx, 0); err != nil || len(page.Events) != 0 {
		t.Fatalf("events before their delay: %+v, %v", page, err)
	}
	clock.Advance(time.Second)
	page, err := c.CacheEvents(ctx, 0)
	want := engine.PrefixHashes(prompt)
	if err != nil || len(page.Events) != 2 || page.Events[0].Prefix != want[3] || page.Events[1].Prefix != want[1] || page.Last != 3 {
		t.Fatalf("events %+v, %v; prefixes %v", page, err, want)
	}
}

// Guards against a batch that exceeds the KV memory, and against a load report that is newer
// than LoadLag allows.
func TestMemoryLimitAndLoadLag(t *testing.T) {
	clock := kit.NewManualClock(time.Unix(1e9, 0))
	opts := engine.Options{Clock: clock, KVTokens: 200, DecodeRate: 1}
	e, c := start(t, opts, engine.Faults{})
	opts.LoadLag = kit.Duration(time.Second)
	lagging, laggingClient := start(t, opts, engine.Faults{})
	lagging.Load()
	clock.Advance(time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	run := func(c *client.Engine, i int) { // 150 tokens each, so that only one fits
		wg.Go(func() {
			body := fmt.Appendf(nil, `{"prompt":"%d%s","max_tokens":50}`, i, strings.Repeat("x", 399))
			_, _ = c.Generate(ctx, &port.GenerateRequest{Path: "/v1/completions", Body: body}, nil)
		})
	}
	run(c, 0)
	run(c, 1)
	for e.Load().Running+e.Load().Waiting < 2 {
		runtime.Gosched()
	}
	clock.WaitForTimers(1)
	if l := e.Load(); l.Running != 1 || l.Waiting != 1 || l.KVUsed != 0.75 {
		t.Fatalf("load %+v", l)
	}
	run(laggingClient, 2)
	clock.WaitForTimers(2)
	if l := lagging.Load(); l.Running != 0 || clock.Now().Sub(l.At) < time.Second {
		t.Fatalf("report without lag: %+v", l)
	}
	cancel()
	wg.Wait()
}

// Guards against faults that affect the wrong number of requests, or that run a request
// that must not run.
func TestRequestFaults(t *testing.T) {
	e, c := start(t, engine.Options{}, engine.Faults{})
	ctx := context.Background()
	req := request("fault", false)
	fp, _ := engine.Fingerprint(req.Body)
	var status *port.StatusError
	for _, f := range []struct {
		faults engine.Faults
		runs   int // of the affected request
		ok     func(error) bool
	}{
		{engine.Faults{FailNext: 1}, 0, func(err error) bool { return errors.As(err, &status) && status.Status == 503 }},
		{engine.Faults{CloseNext: 1}, 0, func(err error) bool { return errors.Is(err, port.ErrOutcomeUnknown) }},
		{engine.Faults{LoseNext: 1}, 1, func(err error) bool { return errors.Is(err, port.ErrOutcomeUnknown) }},
	} {
		before := e.Runs()[fp]
		e.SetFaults(f.faults)
		if _, err := c.Generate(ctx, req, nil); !f.ok(err) {
			t.Fatalf("%+v: %v", f.faults, err)
		}
		after := e.Runs()[fp]
		if after.Runs-before.Runs != f.runs || after.Completed-before.Completed != f.runs {
			t.Fatalf("%+v: counts %+v, then %+v", f.faults, before, after)
		}
		if _, err := c.Generate(ctx, req, nil); err != nil {
			t.Fatalf("request after %+v: %v", f.faults, err)
		}
	}
	// The caller cancels a stream that has become silent.
	e.SetFaults(engine.Faults{SilentNext: 1, BreakAfter: 3})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tokens := 0
	_, err := c.Generate(ctx, request("fault", true), func(ch port.Chunk) error {
		if tokens += ch.Tokens; tokens == 3 {
			cancel()
		}
		return nil
	})
	if tokens != 3 || !errors.Is(err, port.ErrOutcomeUnknown) || !errors.Is(err, context.Canceled) {
		t.Fatalf("silent stream: %d tokens, %v", tokens, err)
	}
}
