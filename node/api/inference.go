package api

import (
	"context"
	"time"
)

// Inference runs online requests on backend servers.
type Inference interface {
	// Run runs one request and returns after its end. With Stream set it calls
	// sink for each event in order, from one goroutine at a time, and the
	// answer's body is empty; an error of sink cancels the request. It may
	// repeat or resume an idempotent request on another server, but sink never
	// sees an event twice. An answer has status 2xx or is the server's own
	// refusal of the request (4xx). Everything else is a *Refusal whose
	// Outcome is NotRun only when no byte can have reached a backend server.
	Run(ctx context.Context, req *InferenceRequest, sink Sink) (*Answer, error)
}

// Sink receives the JSON data of one event of a streamed answer. The slice is
// only valid during the call.
type Sink func(data []byte) error

// InferenceRequest is one online request.
type InferenceRequest struct {
	// ID is unique for each request at the edge.
	ID        string
	Workspace string
	Model     string
	// Path is /v1/chat/completions or /v1/completions.
	Path string
	// Body is the caller's JSON body.
	Body       []byte
	Stream     bool
	Idempotent bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Fingerprint is the digest of the request's content.
	Fingerprint []byte
}

// PlainForwarder forwards requests to plain services.
type PlainForwarder interface {
	// Do forwards one request to a server of the named service. Every answer
	// of the server is passed on, whatever its status. The refusals mean the
	// same as Inference.Run's. Only an idempotent request is ever repeated.
	Do(ctx context.Context, req *PlainRequest) (*Answer, error)
}

// PlainRequest is one request to a plain service. Hop-by-hop headers and the
// headers that the edge consumes are removed already.
type PlainRequest struct {
	ID        string
	Workspace string
	Service   string
	Method    string
	// Path is the caller's path after /services/{service}, as it was encoded.
	Path        string
	RawQuery    string
	Headers     []Header
	Body        []byte
	Idempotent  bool
	Deadline    time.Time
	Fingerprint []byte
}
