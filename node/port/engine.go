package port

import (
	"context"
	"net/http"
	"time"
)

// Engine is the model engine on one backend server.
type Engine interface {
	// Generate runs one request. It calls sink for each chunk of a stream in
	// order; an error returned by sink cancels the stream. Cancelling ctx closes
	// the connection, which cancels the request on the engine.
	//
	// ErrUnavailable means that no byte was sent. ErrOutcomeUnknown means that
	// the request was sent and the connection failed before the response was
	// complete. After a header or gap timeout the error also matches
	// ErrReadTimeout. A *StatusError means that the engine rejected the request.
	Generate(ctx context.Context, req *GenerateRequest, sink ChunkSink) (*GenerateResult, error)

	// Load returns the engine's own load report, which may be out of date.
	Load(ctx context.Context) (LoadReport, error)

	// State returns what the engine has loaded.
	State(ctx context.Context) (EngineState, error)

	// Order changes what the engine has loaded, or its role. An engine that checks
	// fencing numbers rejects an old one with ErrFenced.
	Order(ctx context.Context, order Order) error

	// CacheEvents returns the prefix cache events with a sequence number above after.
	CacheEvents(ctx context.Context, after uint64) (CacheEventPage, error)
}

// ChunkSink receives the chunks of a streamed response.
type ChunkSink func(Chunk) error

// GenerateRequest is one request to an engine.
type GenerateRequest struct {
	// ID is unique for each dispatch.
	ID string
	// Path is /v1/chat/completions or /v1/completions.
	Path string
	// Body is the caller's JSON body.
	Body []byte
	// Stream requests server-sent events; it overrides the body's "stream".
	Stream bool
	// Resume, if not nil, is the part of the response that exists already.
	Resume *Resume
	// HeaderTimeout bounds the wait for the first byte, GapTimeout the wait
	// between two chunks. Zero means no bound other than the context's.
	HeaderTimeout time.Duration
	GapTimeout    time.Duration
}

// Resume is the part of a response that an earlier dispatch generated.
type Resume struct {
	Text   string
	Tokens int
}

// Chunk is one event of a streamed response.
type Chunk struct {
	// Data is the event's JSON as the engine sent it.
	Data []byte
	// Text is the generated text of the first choice in this event.
	Text string
	// Tokens is the number of generated tokens in this event.
	Tokens int
	// FinishReason is set on the last chunk of the response.
	FinishReason string
}

// GenerateResult describes a complete response.
type GenerateResult struct {
	Status int
	Header http.Header
	// Body is the JSON response; empty after a streamed one.
	Body         []byte
	PromptTokens int
	CachedTokens int
	OutputTokens int
	FinishReason string
}

// LoadReport is an engine's view of its own load.
type LoadReport struct {
	// At is the time of the measurement.
	At       time.Time `json:"at"`
	Running  int       `json:"running"`
	Waiting  int       `json:"waiting"`
	MaxSlots int       `json:"max_slots"`
	// KVUsed is the used fraction of the KV cache memory, 0 to 1.
	KVUsed float64 `json:"kv_used"`
	// PrefillRate is the rate of the whole engine and DecodeRate that of one
	// stream, both in tokens per second.
	PrefillRate float64 `json:"prefill_rate"`
	DecodeRate  float64 `json:"decode_rate"`
}

// Role says which phases of inference an engine runs.
type Role string

// The roles of an engine.
const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// EngineState describes what an engine has loaded.
type EngineState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     Role     `json:"role"`
	// Loading is true while the engine executes an order.
	Loading bool `json:"loading"`
	// Fence is the highest fencing number that the engine has accepted; zero
	// if the engine ignores fencing numbers.
	Fence uint64 `json:"fence"`
}

// OrderKind is the change that an Order asks for.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel     OrderKind = "load-model"
	OrderLoadAdapter   OrderKind = "load-adapter"
	OrderUnloadAdapter OrderKind = "unload-adapter"
	OrderSetRole       OrderKind = "set-role"
)

// Order is a command to an engine to change what it has loaded, or its role.
type Order struct {
	ID      string    `json:"id"`
	Kind    OrderKind `json:"kind"`
	Fence   uint64    `json:"fence"`
	Model   string    `json:"model"`
	Version string    `json:"version"`
	Adapter string    `json:"adapter"`
	Role    Role      `json:"role"`
}

// CacheEvent reports that a prefix was added to an engine's cache or evicted from it.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Prefix is the hash of the bytes of the prompt prefix.
	Prefix  uint64 `json:"prefix"`
	Tokens  int    `json:"tokens"`
	Evicted bool   `json:"evicted"`
}

// CacheEventPage is a page of consecutive cache events. A gap in the sequence
// numbers between pages means that events were lost.
type CacheEventPage struct {
	Events []CacheEvent `json:"events"`
	Last   uint64       `json:"last"`
}
