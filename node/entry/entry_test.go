package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/web"
)

// Guards against answers without the product's headers, and against requests
// without a key that reach the log.
func TestRequestsWithoutKey(t *testing.T) {
	h := newHarness(t)
	got := h.do("POST", pathChat, chatBody)
	if got.status != 200 || got.body != `{"text":"hello"}` || got.header.Get(web.HeaderOutcome) != "ran" ||
		got.header.Get(web.HeaderRecorded) != "" {
		t.Errorf("non-streaming: %+v", got)
	}
	got = h.do("POST", pathChat, streamBody)
	want := "data: {\"n\":1}\n\ndata: {\"n\":2}\n\ndata: [DONE]\n\n"
	if got.status != 200 || got.body != want || got.header.Get("Content-Type") != eventStream {
		t.Errorf("streamed: %+v", got)
	}
	if len(h.calls.begins) != 0 {
		t.Errorf("Begin was called %d times", len(h.calls.begins))
	}
}

// Guards against malformed requests that reach a server, and against refusals
// with a wrong field, code or outcome.
func TestRefusals(t *testing.T) {
	h := newHarness(t)
	for _, tc := range []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		code, param              string
	}{
		{"no key", "POST", pathChat, chatBody, []string{"Authorization", ""}, 401, "invalid_api_key", "Authorization"},
		{"wrong key", "POST", pathChat, chatBody, []string{"Authorization", "Bearer x"}, 401, "invalid_api_key", "Authorization"},
		{"not JSON", "POST", pathChat, `{`, nil, 400, "invalid_json", "body"},
		{"not an object", "POST", pathChat, `null`, nil, 400, "invalid_json", "body"},
		{"no model", "POST", pathChat, `{"Model":"m","messages":[1]}`, nil, 400, "invalid_request", "model"},
		{"no messages", "POST", pathChat, `{"model":"m"}`, nil, 400, "invalid_request", "messages"},
		{"no prompt", "POST", pathCompletion, `{"model":"m"}`, nil, 400, "invalid_request", "prompt"},
		{"stream type", "POST", pathChat, `{"model":"m","stream":"yes"}`, nil, 400, "invalid_request", "stream"},
		{"unknown model", "POST", pathChat, strings.Replace(chatBody, `"m"`, `"x"`, 1), nil, 404, "model_not_found", "model"},
		{"foreign model", "POST", pathChat, strings.Replace(chatBody, `"m"`, `"private"`, 1), nil, 404, "model_not_found", "model"},
		{"deadline", "POST", pathChat, chatBody, []string{web.HeaderDeadline, "soon"}, 400, "invalid_request", web.HeaderDeadline},
		{"long deadline", "POST", pathChat, chatBody, []string{web.HeaderDeadline, "3600001"}, 400, "invalid_request", web.HeaderDeadline},
		{"non-idempotent", "POST", pathChat, chatBody, []string{web.HeaderNonIdempotent, "yes"}, 400, "invalid_request", web.HeaderNonIdempotent},
		{"long key", "POST", pathChat, chatBody, []string{web.HeaderIdempotencyKey, strings.Repeat("k", 256)}, 400, "invalid_request", web.HeaderIdempotencyKey},
		{"encoding", "POST", pathChat, chatBody, []string{"Content-Encoding", "gzip"}, 400, "invalid_request", "Content-Encoding"},
		{"body size", "POST", pathChat, strings.Repeat(" ", 1<<16+1), nil, 413, "too_large", "body"},
		{"header size", "GET", "/v1/models", "", []string{"X-Long", strings.Repeat("h", 8192)}, 431, "headers_too_large", ""},
		{"path", "GET", "/v2", "", nil, 404, "not_found", ""},
		{"method", "PUT", pathChat, "", nil, 405, "method_not_allowed", ""},
		{"service", "GET", "/services/other/x", "", nil, 404, "service_not_found", "service"},
		{"call", "GET", "/v1/calls/none", "", nil, 404, "not_found", "key"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h.t = t
			got := h.do(tc.method, tc.path, tc.body, tc.headers...)
			var e web.ErrorBody
			if err := json.Unmarshal([]byte(got.body), &e); err != nil {
				t.Errorf("%s: status %d, body %q: %v", tc.name, got.status, got.body, err)
				return
			}
			param := ""
			if e.Error.Param != nil {
				param = *e.Error.Param
			}
			if got.status != tc.status || string(e.Error.Code) != tc.code || param != tc.param || e.Error.Message == "" {
				t.Errorf("%s: status %d, body %s", tc.name, got.status, got.body)
			}
			if got.header.Get(web.HeaderOutcome) != "not-run" {
				t.Errorf("%s: outcome %q", tc.name, got.header.Get(web.HeaderOutcome))
			}
		})
	}
	if h.servers.count() != 0 {
		t.Errorf("%d requests reached a server", h.servers.count())
	}
}

// Guards against accepting a chunked body, which has no Content-Length, above the
// size limit.
func TestChunkedBodyAboveTheLimit(t *testing.T) {
	h := newHarness(t)
	req := h.request(t.Context(), "POST", pathChat, strings.Repeat(" ", 1<<17))
	req.ContentLength = -1
	req.Body = http.NoBody
	body := strings.NewReader(strings.Repeat(" ", 1<<17))
	req.Body = readCloser{body}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d", res.StatusCode)
	}
}

type readCloser struct{ *strings.Reader }

func (readCloser) Close() error { return nil }

// Guards against changing the status, Retry-After or outcome of a refusal, and
// against a panic that is not answered, for non-streaming and streamed requests.
func TestRefusalsOfInference(t *testing.T) {
	h := newHarness(t)
	for _, outcome := range []api.Outcome{api.NotRun, api.Ran, api.Unknown} {
		h.servers.run = func(context.Context, *api.InferenceRequest, api.Sink) (*api.Answer, error) {
			return nil, fmt.Errorf("wrapped: %w", &api.Refusal{Code: api.CodeOverloaded, Status: 503, RetryAfter: 1500 * time.Millisecond, Outcome: outcome})
		}
		for _, body := range []string{chatBody, streamBody} {
			got := h.do("POST", pathChat, body)
			if got.status != 503 || got.header.Get(web.HeaderOutcome) != string(outcome) || got.header.Get("Retry-After") != "2" {
				t.Errorf("%s: %+v", outcome, got)
			}
		}
	}
	h.servers.run = func(context.Context, *api.InferenceRequest, api.Sink) (*api.Answer, error) { panic("fault") }
	for _, body := range []string{chatBody, streamBody} {
		if got := h.do("POST", pathChat, body); got.status != 500 || got.header.Get(web.HeaderOutcome) != "unknown" {
			t.Errorf("panic: %+v", got)
		}
	}
}

// Guards against ending a stream with [DONE] when it fails after its first event.
func TestStreamFailsAfterFirstEvent(t *testing.T) {
	h := newHarness(t)
	h.servers.run = func(_ context.Context, _ *api.InferenceRequest, sink api.Sink) (*api.Answer, error) {
		if err := sink([]byte(`{"n":1}`)); err != nil {
			return nil, err
		}
		return nil, &api.Refusal{Code: api.CodeServerFailed, Status: 502, Outcome: api.NotRun, Message: "lost"}
	}
	got := h.do("POST", pathChat, streamBody)
	if !strings.Contains(got.body, `"code":"server_failed"`) || !strings.Contains(got.body, `"outcome":"unknown"`) ||
		strings.Contains(got.body, "[DONE]") {
		t.Errorf("body %q", got.body)
	}
}

// Guards against running a request without a key after its caller disconnects:
// a non-streaming one before the answer, a streamed one between two events.
func TestDisconnectCancelsRequest(t *testing.T) {
	for _, body := range []string{chatBody, streamBody} {
		h := newHarness(t)
		started, cancelled := make(chan struct{}), make(chan struct{})
		h.servers.run = func(ctx context.Context, req *api.InferenceRequest, sink api.Sink) (*api.Answer, error) {
			if req.Stream {
				if err := sink([]byte(`{"n":1}`)); err != nil {
					return nil, err
				}
			}
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
		if res, err := http.DefaultClient.Do(h.request(ctx, "POST", pathChat, body)); err == nil {
			res.Body.Close()
		}
		<-cancelled
	}
}

// Guards against a disconnect watch that consumes the first byte of the next
// request on a keep-alive connection, and against closing such connections.
func TestPipelinedRequests(t *testing.T) {
	h := newHarness(t)
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	release := make(chan struct{})
	h.servers.run = func(context.Context, *api.InferenceRequest, api.Sink) (*api.Answer, error) {
		<-release
		return jsonAnswer(200, `{}`), nil
	}
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer north-key\r\nContent-Length: %d\r\n\r\n%s", pathChat, len(chatBody), chatBody)
	if _, err := conn.Write([]byte(request)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte(request)); err != nil {
		t.Fatal(err)
	}
	close(release)
	in := bufio.NewReader(conn)
	for i := range 2 {
		res, err := http.ReadResponse(in, nil)
		if err != nil || res.StatusCode != 200 || res.Close {
			t.Fatalf("response %d: %+v, %v", i, res, err)
		}
		var v any
		if err := json.NewDecoder(res.Body).Decode(&v); err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
	}
}

// Guards against a draining instance that refuses requests or keeps connections
// open.
func TestDraining(t *testing.T) {
	h := newHarness(t)
	h.status.draining.Store(true)
	for _, body := range []string{chatBody, streamBody} {
		res, err := http.DefaultClient.Do(h.request(t.Context(), "POST", pathChat, body))
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode != 200 || !res.Close {
			t.Errorf("status %d, close %t", res.StatusCode, res.Close)
		}
	}
}

// Guards against listing models of other workspaces.
func TestModels(t *testing.T) {
	h := newHarness(t)
	got := h.do("GET", "/v1/models", "")
	want := `{"object":"list","data":[{"id":"m","object":"model","created":0,"owned_by":"letters"}]}`
	if got.body != want {
		t.Errorf("list %s", got.body)
	}
	if got := h.do("GET", "/v1/models/m", ""); got.status != 200 {
		t.Errorf("model: %+v", got)
	}
}

// Guards against altering requests to and answers of a plain service, and against
// forwarding hop-by-hop headers and the bearer key.
func TestPlainService(t *testing.T) {
	h := newHarness(t)
	var seen *api.PlainRequest
	h.servers.plain = func(req *api.PlainRequest) (*api.Answer, error) {
		seen = req
		return &api.Answer{Status: 418, Body: []byte("tea\x00"), Headers: []api.Header{{Name: "X-A", Value: "1"}, {Name: "X-A", Value: "2"},
			{Name: "Connection", Value: "X-Hop"}, {Name: "X-Hop", Value: "h"}, {Name: "Set-Cookie", Value: "a=b"},
			{Name: "Jacinthnotch-Outcome", Value: "not-run"}}}, nil
	}
	got := h.do("PROPFIND", "/services/booking/a%2Fb/../c?q=%20x&q", "body", "X-Mine", "v", "Connection", "X-Drop", "X-Drop", "d")
	if got.status != 418 || got.body != "tea\x00" || len(got.header.Values("X-A")) != 2 || got.header.Get("X-Hop") != "" ||
		got.header.Get("Set-Cookie") != "a=b" || got.header.Get(web.HeaderOutcome) != "ran" || got.header.Get("Content-Type") != "" {
		t.Errorf("answer %+v", got)
	}
	if seen.Method != "PROPFIND" || seen.Path != "/a%2Fb/../c" || seen.RawQuery != "q=%20x&q" || string(seen.Body) != "body" ||
		seen.Workspace != "north" || seen.Idempotent {
		t.Errorf("request %+v", seen)
	}
	names := make(map[string]string)
	for _, f := range seen.Headers {
		names[f.Name] = f.Value
	}
	if names["X-Mine"] != "v" || names["X-Drop"] != "" || names["Authorization"] != "" {
		t.Errorf("headers %v", names)
	}
	if got := h.do("GET", "/services/booking", ""); got.status != 418 || seen.Path != "/" || !seen.Idempotent {
		t.Errorf("GET: %+v, %+v", got, seen)
	}
}
