package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// Engine is the adapter for the model engine of one backend server.
type Engine struct {
	addr string
	pool *Pool
}

var _ port.Engine = (*Engine)(nil)

// NewEngine returns an adapter for the engine at addr, an IP address and port.
func NewEngine(addr string, pool *Pool) *Engine { return &Engine{addr: addr, pool: pool} }

// sinkError wraps an error of the caller's sink, which Generate returns unchanged.
type sinkError struct{ error }

// Generate implements port.Engine. After a header or gap timeout the error matches
// port.ErrReadTimeout as well as port.ErrOutcomeUnknown (port.ErrUnavailable if no
// byte was sent).
func (e *Engine) Generate(ctx context.Context, req *port.GenerateRequest, sink port.ChunkSink) (*port.GenerateResult, error) {
	body, err := generateBody(req)
	if err != nil {
		return nil, transportError(false, err)
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+e.addr+req.Path, nil)
	if err != nil {
		return nil, transportError(false, err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Id", req.ID)
	r.Header["User-Agent"] = nil
	x, err := e.pool.start(ctx, r, body, exchangeTimeouts{header: req.HeaderTimeout, gap: req.GapTimeout})
	if err != nil {
		return nil, err
	}
	defer x.close()
	if x.resp.StatusCode != http.StatusOK {
		return nil, x.readStatusError()
	}
	res := &port.GenerateResult{Status: x.resp.StatusCode, Header: endToEnd(x.resp.Header)}
	if !strings.HasPrefix(x.resp.Header.Get("Content-Type"), "text/event-stream") {
		if res.Body, err = x.readAll(e.pool.opts.MaxBodyBytes); err != nil {
			return nil, err
		}
		var ev event
		if err := json.Unmarshal(res.Body, &ev); err != nil {
			return nil, transportError(true, err)
		}
		ev.apply(res)
		return res, nil
	}
	if err := x.stream(res, sink); err != nil {
		var s sinkError
		if errors.As(err, &s) {
			return nil, s.error
		}
		return nil, err
	}
	return res, nil
}

// generateBody returns the body of the request with the stream, stream_options and
// resume members set as req says.
func generateBody(req *port.GenerateRequest) ([]byte, error) {
	if !req.Stream && req.Resume == nil && !bytes.Contains(req.Body, []byte(`"stream`)) {
		return req.Body, nil
	}
	members := make(map[string]json.RawMessage)
	if err := json.Unmarshal(req.Body, &members); err != nil {
		return nil, err
	}
	delete(members, "stream_options")
	members["stream"] = json.RawMessage(strconv.FormatBool(req.Stream))
	if req.Stream {
		members["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	if req.Resume != nil {
		resume, err := json.Marshal(map[string]any{"text": req.Resume.Text, "tokens": req.Resume.Tokens})
		if err != nil {
			return nil, err
		}
		members["resume"] = resume
	}
	return json.Marshal(members)
}

// event is the part of a response, or of one event of a streamed response, that the
// adapter reads.
type event struct {
	Choices []struct {
		Index int    `json:"index"`
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	// Tokens is an extension of the OpenAI API: the number of generated tokens in
	// this chunk. Without it a chunk with text counts as one token.
	Tokens *int `json:"tokens"`
	Usage  *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		Details          struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error json.RawMessage `json:"error"`
}

func (ev *event) apply(res *port.GenerateResult) {
	if len(ev.Choices) > 0 && ev.Choices[0].FinishReason != "" {
		res.FinishReason = ev.Choices[0].FinishReason
	}
	if ev.Usage != nil {
		res.PromptTokens, res.OutputTokens = ev.Usage.PromptTokens, ev.Usage.CompletionTokens
		res.CachedTokens = ev.Usage.Details.CachedTokens
	}
}

func (ev *event) chunk(data []byte) port.Chunk {
	c := port.Chunk{Data: data}
	if len(ev.Choices) > 0 && ev.Choices[0].Index == 0 {
		c.Text, c.FinishReason = ev.Choices[0].Text+ev.Choices[0].Delta.Content, ev.Choices[0].FinishReason
	}
	if ev.Tokens != nil {
		c.Tokens = *ev.Tokens
	} else if c.Text != "" {
		c.Tokens = 1
	}
	return c
}

// stream passes the events of the response to sink, up to the end marker.
func (x *exchange) stream(res *port.GenerateResult, sink port.ChunkSink) error {
	events := newEventReader(x, x.pool.opts.MaxLineBytes)
	tokens := 0
	for {
		data, err := events.next()
		if errors.Is(err, io.EOF) {
			return transportError(true, errTruncatedStream)
		}
		if err != nil {
			return x.wrapError(err)
		}
		if string(data) == "[DONE]" {
			break
		}
		var ev event
		if err := json.Unmarshal(data, &ev); err != nil {
			return transportError(true, err)
		}
		if len(ev.Error) > 0 && string(ev.Error) != "null" {
			return transportError(true, &port.StatusError{Status: http.StatusInternalServerError, Body: data})
		}
		ev.apply(res)
		c := ev.chunk(data)
		tokens += c.Tokens
		if sink == nil {
			continue
		}
		if err := sink(c); err != nil {
			return sinkError{err}
		}
	}
	if res.OutputTokens == 0 {
		res.OutputTokens = tokens
	}
	// The connection can be reused only if the body was read to its end. Errors are
	// ignored, because the response is complete.
	_, _ = io.CopyN(io.Discard, x, 512)
	return nil
}

// call sends a unary request and decodes its JSON response.
func (e *Engine) call(ctx context.Context, method, uri string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return transportError(false, err)
		}
	}
	r, err := http.NewRequest(method, "http://"+e.addr+uri, nil)
	if err != nil {
		return transportError(false, err)
	}
	r.Header["User-Agent"] = nil
	if in != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	ctx, cancel := context.WithTimeoutCause(ctx, e.pool.opts.CallTimeout, errCallTimeout)
	defer cancel()
	x, err := e.pool.start(ctx, r, body, exchangeTimeouts{})
	if err != nil {
		return err
	}
	defer x.close()
	if x.resp.StatusCode/100 != 2 {
		return x.readStatusError()
	}
	b, err := x.readAll(e.pool.opts.MaxBodyBytes)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(b, out); err != nil {
		return transportError(true, err)
	}
	return nil
}

// Load implements port.Engine.
func (e *Engine) Load(ctx context.Context) (l port.LoadReport, err error) {
	err = e.call(ctx, http.MethodGet, "/v1/load", nil, &l)
	return l, err
}

// State implements port.Engine.
func (e *Engine) State(ctx context.Context) (s port.EngineState, err error) {
	err = e.call(ctx, http.MethodGet, "/v1/state", nil, &s)
	return s, err
}

// Order implements port.Engine. The engine responds as soon as it has accepted the
// order; State shows when it has been executed.
func (e *Engine) Order(ctx context.Context, order port.Order) error {
	err := e.call(ctx, http.MethodPost, "/v1/orders", order, nil)
	var status *port.StatusError
	if errors.As(err, &status) && status.Status == http.StatusPreconditionFailed {
		return fmt.Errorf("%w: %w", port.ErrFenced, err)
	}
	return err
}

// CacheEvents implements port.Engine.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) (p port.CacheEventPage, err error) {
	err = e.call(ctx, http.MethodGet, "/v1/cache-events?after="+strconv.FormatUint(after, 10), nil, &p)
	return p, err
}
