package api

import (
	"context"
	"time"
)

// Inference runs online requests on backend servers.
type Inference interface {
	// Run runs one request and returns after the request has ended. If Stream is
	// set, it calls sink for each event in order, from one goroutine at a time,
	// and the answer has no body. An error of sink cancels the request. Run may
	// repeat or resume an idempotent request on another server, but passes no
	// event to sink twice. An answer has status 2xx or is the server's own
	// refusal of the request (4xx). In all other cases the error is a *Refusal,
	// whose Outcome is NotRun only if no byte can have reached a backend server.
	Run(ctx context.Context, req *InferenceRequest, sink Sink) (*Answer, error)
}

// Sink receives the JSON data of one event of a streamed answer. The slice is
// only valid during the call.
type Sink func(data []byte) error

// InferenceRequest is one online request.
type InferenceRequest struct {
	// ID is unique to the caller's request.
	ID        string
	Workspace string
	Model     string
	// Path is /v1/chat/completions or /v1/completions.
	Path string
	// Body is the caller's JSON body.
	Body       []byte
	Stream     bool
	Idempotent bool
	// Deadline is the time by which the caller needs the answer.
	Deadline time.Time
	// Fingerprint is a digest of the request's content.
	Fingerprint []byte
}

// PlainForwarder forwards requests to plain services.
type PlainForwarder interface {
	// Do forwards one request to a server of the named service and returns the
	// server's answer, whatever its status. Refusals have the same meaning as
	// those of Inference.Run. Only idempotent requests are repeated.
	Do(ctx context.Context, req *PlainRequest) (*Answer, error)
}

// PlainRequest is one request to a plain service, without the hop-by-hop headers
// and the headers that the HTTP handlers consume.
type PlainRequest struct {
	ID        string
	Workspace string
	Service   string
	Method    string
	// Path is the part of the caller's path after /services/{service}, still
	// percent-encoded.
	Path        string
	RawQuery    string
	Headers     []Header
	Body        []byte
	Idempotent  bool
	Deadline    time.Time
	Fingerprint []byte
}
