package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"

	"github.com/jacinthnotch/jacinthnotch/policy/trace"
)

// maxInFlight limits the requests in flight, so that a fleet that does not respond cannot
// exhaust the memory of the load generator. At the limit requests are sent later than in
// the trace, which the result counts as delayed.
const maxInFlight = 4096

type replayCmd struct {
	callerFlags
	Trace string        `arg:"" help:"Trace file, or the name of a built-in trace: kme-closing, kme-quiet, swanline-day, swanline-night. Example: jnctl replay kme-quiet --speed 10 --for 30s"`
	Seed  uint64        `help:"Seed of a built-in trace." default:"20260302"`
	Model string        `help:"Model that the requests name." default:"letters-7b"`
	Speed float64       `help:"Speed relative to the trace; 2 sends the requests twice as fast." default:"1"`
	For   time.Duration `help:"Length of trace time to replay; 0 replays the whole trace." default:"0"`
}

// replayResult is the result of a replay. Times are in milliseconds since the request was
// sent.
type replayResult struct {
	Sent     int            `json:"sent"`
	Answered int            `json:"answered"`
	Failed   map[string]int `json:"failed"`
	Delayed  int            `json:"delayed"`
	// NotReplayed counts the batch items and faults of the trace, which are skipped.
	NotReplayed int     `json:"not_replayed"`
	FirstP50    float64 `json:"first_byte_p50_ms"`
	FirstP99    float64 `json:"first_byte_p99_ms"`
	TotalP50    float64 `json:"total_p50_ms"`
	TotalP99    float64 `json:"total_p99_ms"`
}

// Run sends the online requests of a trace at their recorded times, as streaming requests.
func (c *replayCmd) Run(e *env) error {
	if c.Speed <= 0 {
		return usageError("--speed must be above 0")
	}
	tr, err := c.loadTrace()
	if err != nil {
		return err
	}
	r := &replayer{client: c.client(), model: c.Model, firstByte: newHistogram(), total: newHistogram(),
		inFlight: make(chan struct{}, maxInFlight), result: replayResult{Failed: map[string]int{}}}
	r.replay(e.ctx, tr.Events, c.Speed, c.For)
	out := r.summary()
	return e.print(out, func(w io.Writer) {
		writeRow(w, "SENT", "ANSWERED", "FAILED", "DELAYED", "NOT REPLAYED", "FIRST P50", "FIRST P99", "TOTAL P50", "TOTAL P99")
		writeRow(w, out.Sent, out.Answered, out.Sent-out.Answered, out.Delayed, out.NotReplayed,
			formatMs(out.FirstP50), formatMs(out.FirstP99), formatMs(out.TotalP50), formatMs(out.TotalP99))
	})
}

func (c *replayCmd) loadTrace() (*trace.Trace, error) {
	for _, name := range trace.Names() {
		if name == c.Trace {
			return trace.Generate(name, c.Seed)
		}
	}
	f, err := os.Open(c.Trace)
	if err != nil {
		return nil, usageError("%v; built-in traces: %s", err, strings.Join(trace.Names(), ", "))
	}
	defer f.Close()
	tr, err := trace.Read(f)
	if err != nil {
		return nil, usageError("%s: %v", c.Trace, err)
	}
	return tr, nil
}

func formatMs(ms float64) string { return fmt.Sprintf("%.1f ms", ms) }

// newHistogram returns a histogram of times in microseconds, up to ten minutes.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

// replayer sends the requests of a trace and counts their outcomes.
type replayer struct {
	client   *client
	model    string
	inFlight chan struct{}

	mu               sync.Mutex
	firstByte, total *hdrhistogram.Histogram
	result           replayResult
}

// replay sends the events up to limit, if that is above 0. It returns after the last
// response, or soon after ctx is done.
func (r *replayer) replay(ctx context.Context, events []trace.Event, speed float64, limit time.Duration) {
	var wg conc.WaitGroup
	defer wg.Wait()
	began := time.Now()
	for i, ev := range events {
		if limit > 0 && ev.At > limit || ctx.Err() != nil {
			return
		}
		if ev.Fault != "" || ev.Class != trace.Online {
			r.result.NotReplayed++
			continue
		}
		wait := time.NewTimer(time.Until(began.Add(time.Duration(float64(ev.At) / speed))))
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return
		}
		select {
		case r.inFlight <- struct{}{}:
		default:
			r.result.Delayed++
			r.inFlight <- struct{}{}
		}
		r.result.Sent++
		wg.Go(func() {
			defer func() { <-r.inFlight }()
			r.send(ctx, i, &ev)
		})
	}
}

func (r *replayer) send(ctx context.Context, index int, ev *trace.Event) {
	began := time.Now()
	headers := map[string]string{"Content-Type": "application/json"}
	if ev.Deadline > 0 {
		headers["Jacinthnotch-Deadline-Ms"] = fmt.Sprint(ev.Deadline.Milliseconds())
	}
	resp, err := r.client.open(ctx, http.MethodPost, "/v1/chat/completions", nil, strings.NewReader(r.requestBody(index, ev)), headers)
	if err != nil {
		r.recordFailure(err.Error())
		return
	}
	defer resp.Body.Close()
	first := make([]byte, 1)
	if _, err = io.ReadFull(resp.Body, first); err != nil {
		r.recordFailure("no answer")
		return
	}
	firstByteTime := time.Since(began)
	rest, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil || !strings.Contains(string(rest), "data: [DONE]") {
		r.recordFailure("answer cut off")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Answered++
	_ = r.firstByte.RecordValue(firstByteTime.Microseconds())
	_ = r.total.RecordValue(time.Since(began).Microseconds())
}

// bytesPerToken is the typical length of a token in text.
const bytesPerToken = 4

// requestBody returns a request body with a prompt of the event's size. Prompts of events
// with the same prefix begin with the same text.
func (r *replayer) requestBody(index int, ev *trace.Event) string {
	shared := min(ev.PrefixTokens, ev.PromptTokens)
	prompt := repeatToTokens(fmt.Sprintf("prefix %d ", ev.Prefix), shared) + repeatToTokens(fmt.Sprintf("request %d ", index), ev.PromptTokens-shared)
	text, _ := json.Marshal(map[string]any{"model": r.model, "stream": true, "max_tokens": max(1, ev.OutputTokens),
		"messages": []map[string]string{{"role": "user", "content": prompt}}})
	return string(text)
}

// repeatToTokens repeats text up to the length of a number of tokens.
func repeatToTokens(text string, tokens int) string {
	size := max(0, tokens) * bytesPerToken
	return strings.Repeat(text, size/len(text)+1)[:size]
}

func (r *replayer) recordFailure(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Failed[reason]++
}

func (r *replayer) summary() replayResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	percentileMs := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	result := r.result
	result.FirstP50, result.FirstP99 = percentileMs(r.firstByte, 50), percentileMs(r.firstByte, 99)
	result.TotalP50, result.TotalP99 = percentileMs(r.total, 50), percentileMs(r.total, 99)
	return result
}
