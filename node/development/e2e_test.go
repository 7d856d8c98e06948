package development

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/standin/engine"
)

const waitTimeout = 60 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv("E2E_LOG") == "" {
		klog.LogToStderr(false)
		klog.SetOutput(io.Discard)
	}
	os.Exit(m.Run())
}

// startFleet starts a fleet and waits until it is ready. By default its engines are
// fast, so that tests under the race detector stay short.
func startFleet(t *testing.T, o Options) *Fleet {
	t.Helper()
	if o.Engine == nil {
		o.Engine = &engine.Options{PrefillRate: 50000, DecodeRate: 400, BatchCost: 0.01, OutputTokens: 24}
	}
	f, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return f
}

// Guards against WaitPartitionsOwned returning while a partition has no owner, so that
// jobs and keyed calls are refused.
func TestPartitionsHaveOwners(t *testing.T) {
	f := startFleet(t, Options{Instances: 3, Servers: 1})
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	if err := f.WaitPartitionsOwned(ctx); err != nil {
		t.Fatal(err)
	}
	for n := range 16 {
		key := fmt.Sprintf("early-%d", n)
		r := send(t, "POST", f.Members()[n%3].CallersAddress(), "/v1/chat/completions", chatBody(key, false), "Idempotency-Key", key)
		if r.status != 200 || r.header.Get("Jacinthnotch-Recorded") != "true" {
			t.Errorf("keyed call %d right after the start: %d %s", n, r.status, r.body)
		}
	}
}

type response struct {
	status int
	header http.Header
	body   string
}

func send(t *testing.T, method, address, path, body string, headers ...string) response {
	t.Helper()
	r, err := trySend(t.Context(), method, address, path, strings.NewReader(body), headers...)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func trySend(ctx context.Context, method, address, path string, body io.Reader, headers ...string) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return response{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	// Each request has its own connection, as behind a load balancer.
	tr := &http.Transport{DisableKeepAlives: true}
	defer tr.CloseIdleConnections()
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(text)}, err
}

func chatBody(prompt string, stream bool) string { return chatBodyFor("letters-7b", prompt, stream) }

func chatBodyFor(model, prompt string, stream bool) string {
	text, _ := json.Marshal(map[string]any{"model": model, "stream": stream, "max_tokens": 16,
		"messages": []map[string]string{{"role": "user", "content": prompt}}})
	return string(text)
}

// waitFor polls until cond is true.
func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !cond(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// countRuns returns how often the engines started and completed a request with the
// given body.
func (f *Fleet) countRuns(body string) (runs, completed int) {
	fingerprint, _ := engine.Fingerprint([]byte(body))
	for _, e := range f.Engines {
		c := e.Runs()[fingerprint]
		runs += c.Runs
		completed += c.Completed
	}
	return runs, completed
}

// Guards against components that work alone but not together: calls, streams, plain
// requests, and a keyed call that is repeated through another instance.
func TestOnline(t *testing.T) {
	f := startFleet(t, Options{Instances: 3, Servers: 4})
	m := f.Members()
	body := chatBody("whole", false)
	r := send(t, "POST", m[0].CallersAddress(), "/v1/chat/completions", body)
	if r.status != 200 || r.header.Get("Jacinthnotch-Outcome") != "ran" || !strings.Contains(r.body, "choices") {
		t.Fatalf("call without streaming: %+v", r)
	}
	r = send(t, "POST", m[1].CallersAddress(), "/v1/chat/completions", chatBody("streamed", true))
	events := 0
	for s := bufio.NewScanner(strings.NewReader(r.body)); s.Scan(); {
		if strings.HasPrefix(s.Text(), "data: ") {
			events++
		}
	}
	if r.status != 200 || events < 3 || !strings.Contains(r.body, "data: [DONE]") {
		t.Fatalf("streamed call: %d events, %+v", events, r)
	}
	if r = send(t, "GET", m[2].CallersAddress(), "/services/booking/items/7", ""); r.status != 200 {
		t.Fatalf("plain call: %+v", r)
	}
	keyed := chatBody("keyed", false)
	first := send(t, "POST", m[0].CallersAddress(), "/v1/chat/completions", keyed, "Idempotency-Key", "k1")
	second := send(t, "POST", m[2].CallersAddress(), "/v1/chat/completions", keyed, "Idempotency-Key", "k1")
	if first.status != 200 || second.status != 200 || first.body != second.body {
		t.Fatalf("keyed call: %+v, repeated: %+v", first, second)
	}
	if n, _ := f.countRuns(keyed); n != 1 {
		t.Fatalf("the keyed call ran %d times", n)
	}
	if r = send(t, "POST", m[1].CallersAddress(), "/v1/chat/completions", chatBody("other", false), "Idempotency-Key", "k1"); r.status != 409 {
		t.Fatalf("another call with the same key: %+v", r)
	}
}

// job is a batch of chat requests.
type job struct {
	id     string
	bodies []string
}

// submit uploads items and creates a job. The engines refuse the last two items.
func submit(t *testing.T, address, name string, items int) job {
	t.Helper()
	return submitFor(t, address, "letters-7b", name, items)
}

// submitFor is submit for the name of a model or adapter.
func submitFor(t *testing.T, address, model, name string, items int) job {
	t.Helper()
	j := job{}
	var lines bytes.Buffer
	for i := range items {
		prompt := fmt.Sprintf("%s item %d", name, i)
		if i >= items-2 {
			prompt += " " + engine.RefuseMark
		}
		body := chatBodyFor(model, prompt, false)
		j.bodies = append(j.bodies, body)
		fmt.Fprintf(&lines, `{"custom_id":"%s-%d","method":"POST","url":"/v1/chat/completions","body":%s}`+"\n", name, i, body)
	}
	var form bytes.Buffer
	w := multipart.NewWriter(&form)
	_ = w.WriteField("purpose", "batch")
	part, _ := w.CreateFormFile("file", name+".jsonl")
	_, _ = part.Write(lines.Bytes())
	_ = w.Close()
	r := send(t, "POST", address, "/v1/files", form.String(), "Content-Type", w.FormDataContentType())
	var file, batch struct {
		ID string `json:"id"`
	}
	if json.Unmarshal([]byte(r.body), &file) != nil || file.ID == "" {
		t.Fatalf("upload: %+v", r)
	}
	r = send(t, "POST", address, "/v1/batches", fmt.Sprintf(
		`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"24h"}`, file.ID), "Idempotency-Key", name)
	if json.Unmarshal([]byte(r.body), &batch) != nil || batch.ID == "" {
		t.Fatalf("batch: %+v", r)
	}
	j.id = batch.ID
	return j
}

type batchState struct {
	Status string `json:"status"`
	Output string `json:"output_file_id"`
	Errors string `json:"error_file_id"`
	Counts struct {
		Total, Completed, Failed int
	} `json:"request_counts"`
}

func (j job) state(t *testing.T, address string) (b batchState) {
	t.Helper()
	r, err := trySend(t.Context(), "GET", address, "/v1/batches/"+j.id, nil)
	if err == nil && r.status == 200 {
		if err := json.Unmarshal([]byte(r.body), &b); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

// checkOutcomes waits for the end of the job and checks that each item has exactly
// one outcome and that only the last two have failed.
func (j job) checkOutcomes(t *testing.T, f *Fleet, address, name string) {
	t.Helper()
	waitFor(t, "the end of the job", func() bool { return j.state(t, address).Status == "completed" })
	b := j.state(t, address)
	if b.Counts.Total != len(j.bodies) || b.Counts.Completed != len(j.bodies)-2 || b.Counts.Failed != 2 {
		t.Fatalf("job: %+v", b)
	}
	seen := map[string]bool{}
	for _, file := range []string{b.Output, b.Errors} {
		r := send(t, "GET", address, "/v1/files/"+file+"/content", "")
		for line := range strings.SplitSeq(strings.TrimSpace(r.body), "\n") {
			var out struct {
				ID string `json:"custom_id"`
			}
			if err := json.Unmarshal([]byte(line), &out); err != nil || seen[out.ID] {
				t.Fatalf("outcome %q: %v, twice %v", line, err, seen[out.ID])
			}
			seen[out.ID] = true
		}
	}
	if len(seen) != len(j.bodies) {
		t.Fatalf("%d outcomes of %d items", len(seen), len(j.bodies))
	}
	for i := range j.bodies {
		if !seen[fmt.Sprintf("%s-%d", name, i)] {
			t.Errorf("no outcome of item %d", i)
		}
	}
}

// Guards against items that are lost, completed twice or reported twice, and against
// a job that never ends because of items that the engines refuse.
func TestJob(t *testing.T) {
	f := startFleet(t, Options{Instances: 3, Servers: 4})
	address := f.Members()[0].CallersAddress()
	j := submit(t, address, "letters", 200)
	j.checkOutcomes(t, f, f.Members()[1].CallersAddress(), "letters")
	for i, body := range j.bodies[:198] {
		if _, completed := f.countRuns(body); completed != 1 {
			t.Errorf("item %d was completed %d times", i, completed)
		}
	}
}

// Guards against a job that never makes progress, because its items name an adapter and are
// scheduled as if it were a model of its own. Each name that callers are told of must do.
func TestJobForEachModel(t *testing.T) {
	f := startFleet(t, Options{Instances: 3, Servers: 4})
	address := f.Members()[0].CallersAddress()
	var models struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	r := send(t, "GET", address, "/v1/models", "")
	if err := json.Unmarshal([]byte(r.body), &models); err != nil || len(models.Data) < 2 {
		t.Fatalf("models: %v, %+v", err, r)
	}
	var jobs []job
	for _, m := range models.Data {
		jobs = append(jobs, submitFor(t, address, m.ID, m.ID, 50))
	}
	for i, m := range models.Data {
		jobs[i].checkOutcomes(t, f, address, m.ID)
	}
}

// Guards against a job that does not survive the loss of an instance that owns
// partitions and schedules items on servers.
func TestInstanceKilledDuringJob(t *testing.T) {
	f := startFleet(t, Options{Instances: 3, Servers: 4})
	m := f.Members()
	j := submit(t, m[0].CallersAddress(), "kill", 200)
	waitFor(t, "some results", func() bool { return j.state(t, m[0].CallersAddress()).Counts.Completed > 0 })
	m[1].Kill()
	<-m[1].Done
	j.checkOutcomes(t, f, m[2].CallersAddress(), "kill")
}

// Guards against a drain that aborts or refuses requests or does not hand over its
// partitions.
func TestDrainUnderLoad(t *testing.T) {
	f := startFleet(t, Options{Instances: 3, Servers: 4, DrainLag: 300 * time.Millisecond})
	m := f.Members()
	var mu sync.Mutex
	targets := []string{m[0].CallersAddress(), m[1].CallersAddress(), m[2].CallersAddress()}
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	answered := 0
	for caller := range 6 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				mu.Lock()
				address := targets[(caller+n)%len(targets)]
				mu.Unlock()
				r, err := trySend(context.WithoutCancel(ctx), "POST", address, "/v1/chat/completions",
					strings.NewReader(chatBody(fmt.Sprintf("drain %d %d", caller, n), n%2 == 0)))
				mu.Lock()
				answered++
				mu.Unlock()
				if err != nil || r.status != 200 || n%2 == 0 && !strings.Contains(r.body, "[DONE]") {
					t.Errorf("request %d of caller %d at %s: %v %+v", n, caller, address, err, r)
				}
			}
		})
	}
	countAnswered := func() int {
		mu.Lock()
		defer mu.Unlock()
		return answered
	}
	waitFor(t, "requests", func() bool { return countAnswered() > 30 })
	m[1].Drain()
	waitFor(t, "the instance to become not ready", func() bool {
		r, err := trySend(ctx, "GET", m[1].OperatorAddress(), "/readyz", nil)
		return err != nil || r.status != 200
	})
	// The load balancer removes the instance some time after that.
	mu.Lock()
	targets = []string{m[0].CallersAddress(), m[2].CallersAddress()}
	mu.Unlock()
	<-m[1].Done
	after := countAnswered()
	waitFor(t, "requests after the drain", func() bool { return countAnswered() > after+30 })
	stop()
	wg.Wait()
	if m[1].Err != nil {
		t.Fatalf("the drain ended with %v", m[1].Err)
	}
}
