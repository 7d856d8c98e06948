package entry

import (
	"context"
	"crypto/sha256"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/api"
)

// fakeCalls stores calls in memory. beginErr and finishErr simulate an outage. state,
// if set, is the result of each Begin.
type fakeCalls struct {
	mu        sync.Mutex
	beginErr  error
	finishErr error
	state     api.CallState
	// recordedResult, if set, is returned by Finish instead of the result of the
	// request.
	recordedResult *api.CallResult
	done           map[string]api.CallResult
	begins         []api.BeginRequest
	finishes       []api.FinishRequest
	finished       chan api.FinishRequest
}

func newFakeCalls() *fakeCalls {
	return &fakeCalls{done: make(map[string]api.CallResult), finished: make(chan api.FinishRequest, 16)}
}

func (f *fakeCalls) Begin(_ context.Context, req api.BeginRequest) (api.BeginResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begins = append(f.begins, req)
	if f.beginErr != nil {
		return api.BeginResult{}, f.beginErr
	}
	if f.state != 0 {
		return api.BeginResult{State: f.state}, nil
	}
	if res, ok := f.done[req.Workspace+"/"+req.Key]; ok {
		return api.BeginResult{State: api.StateDone, Result: &res}, nil
	}
	return api.BeginResult{State: api.StateMayRun}, nil
}

func (f *fakeCalls) Finish(_ context.Context, req api.FinishRequest) (api.CallResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.finishErr != nil {
		return api.CallResult{}, f.finishErr
	}
	f.finishes = append(f.finishes, req)
	if !req.Abandoned {
		f.done[req.Workspace+"/"+req.Key] = req.Result
	}
	f.finished <- req
	if f.recordedResult != nil {
		return *f.recordedResult, nil
	}
	return req.Result, nil
}

func (f *fakeCalls) Lookup(_ context.Context, workspace, key string) (api.BeginResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	res, ok := f.done[workspace+"/"+key]
	if !ok {
		return api.BeginResult{}, api.NotFound("key", "no such call")
	}
	return api.BeginResult{State: api.StateDone, Result: &res}, nil
}

func (f *fakeCalls) setError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.beginErr, f.finishErr = err, err
}

// fakeServers answers model requests with run and plain requests with plain.
type fakeServers struct {
	mu    sync.Mutex
	runs  int
	run   func(ctx context.Context, req *api.InferenceRequest, sink api.Sink) (*api.Answer, error)
	plain func(req *api.PlainRequest) (*api.Answer, error)
}

func (f *fakeServers) Run(ctx context.Context, req *api.InferenceRequest, sink api.Sink) (*api.Answer, error) {
	f.mu.Lock()
	f.runs++
	f.mu.Unlock()
	return f.run(ctx, req, sink)
}

func (f *fakeServers) Do(_ context.Context, req *api.PlainRequest) (*api.Answer, error) {
	return f.plain(req)
}

func (f *fakeServers) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs
}

type fakeConfig struct{ view *api.View }

func (f fakeConfig) View() *api.View { return f.view }

type fakeStatus struct{ draining atomic.Bool }

func (*fakeStatus) Ready() (bool, string) { return true, "" }
func (s *fakeStatus) Draining() bool      { return s.draining.Load() }

func jsonAnswer(status int, body string) *api.Answer {
	return &api.Answer{Status: status, Body: []byte(body), Headers: []api.Header{{Name: "Content-Type", Value: "application/json"}}}
}

type harness struct {
	t       *testing.T
	calls   *fakeCalls
	servers *fakeServers
	status  *fakeStatus
	url     string
	server  *Server
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{t: t, calls: newFakeCalls(), servers: &fakeServers{}, status: &fakeStatus{}}
	h.servers.run = func(_ context.Context, req *api.InferenceRequest, sink api.Sink) (*api.Answer, error) {
		if !req.Stream {
			return jsonAnswer(http.StatusOK, `{"text":"hello"}`), nil
		}
		for _, ev := range []string{`{"n":1}`, `{"n":2}`} {
			if err := sink([]byte(ev)); err != nil {
				return nil, err
			}
		}
		return &api.Answer{Status: http.StatusOK}, nil
	}
	view := &api.View{
		Workspaces: map[string]api.Workspace{
			"north": {Name: "north", KeyHashes: []api.KeyHash{sha256.Sum256([]byte("north-key"))}},
			"south": {Name: "south", KeyHashes: []api.KeyHash{sha256.Sum256([]byte("south-key"))}}},
		Models: map[string]api.Model{"m": {Name: "m", OwnedBy: "letters"},
			"private": {Name: "private", Workspaces: []string{"south"}}},
		Services: map[string]api.Service{"booking": {Name: "booking", Kind: api.ServicePlain}},
	}
	h.server = New(Options{Calls: h.calls, Inference: h.servers, Plain: h.servers, Config: fakeConfig{view}, Status: h.status,
		Limits: Limits{HeaderBytes: 4096, BodyBytes: 1 << 16, RecordedBytes: 1 << 10, Connections: 256, ReadTimeout: time.Minute,
			MinReadRate: 1 << 10, WriteTimeout: time.Minute, IdleTimeout: time.Minute, DefaultDeadline: time.Minute,
			MaxDeadline: time.Hour, RecordWait: time.Minute, StreamEvents: 4, RecorderCalls: 8}})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.url = "http://" + ln.Addr().String()
	served := make(chan error, 1)
	go func() { served <- h.server.Serve(ln) }()
	t.Cleanup(func() {
		if err := h.server.Shutdown(context.Background()); err != nil {
			t.Errorf("Shutdown: %v", err)
		}
		if err := <-served; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	return h
}

const chatBody = `{"model":"m","messages":[{"role":"user","content":"hi"}]}`
const streamBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`

type reply struct {
	status int
	header http.Header
	body   string
}

// do sends a request as workspace north. headers alternates names and values.
func (h *harness) do(method, path, body string, headers ...string) reply {
	h.t.Helper()
	res, err := http.DefaultClient.Do(h.request(context.Background(), method, path, body, headers...))
	if err != nil {
		h.t.Fatal(err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		h.t.Fatal(err)
	}
	return reply{res.StatusCode, res.Header, string(data)}
}

func (h *harness) request(ctx context.Context, method, path, body string, headers ...string) *http.Request {
	h.t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, h.url+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer north-key")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return req
}
