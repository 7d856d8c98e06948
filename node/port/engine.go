package port

import (
	"context"
	"net/http"
	"time"
)

// Engine is the model engine on one backend server.
type Engine interface {
	// Generate runs one request. It calls sink for each chunk of a stream in
	// order; an error of sink cancels the stream. Cancelling ctx closes the
	// connection, which cancels the request on the engine.
	//
	// ErrUnavailable means that no byte was sent. ErrOutcomeUnknown means that
	// the request was sent and the connection failed before the answer was
	// whole; ErrSilent is the same after a gap timeout. A *StatusError is an
	// answer of the engine that refuses the request.
	Generate(ctx context.Context, req *GenerateRequest, sink ChunkSink) (*GenerateResult, error)

	// Load returns the engine's own load report, which lags.
	Load(ctx context.Context) (LoadReport, error)

	// State returns what the engine holds now.
	State(ctx context.Context) (EngineState, error)

	// Order changes what the engine holds. ErrFenced reports an old fencing
	// number on an engine that checks it.
	Order(ctx context.Context, order Order) error

	// CacheEvents returns prefix cache events after the sequence number.
	CacheEvents(ctx context.Context, after uint64) (CacheEventPage, error)
}

// ChunkSink receives the chunks of a streamed answer.
type ChunkSink func(Chunk) error

// GenerateRequest is one request to an engine.
type GenerateRequest struct {
	// ID is unique for each dispatch.
	ID string
	// Path is /v1/chat/completions or /v1/completions.
	Path string
	// Body is the caller's JSON body.
	Body []byte
	// Stream asks for server-sent events whatever the body says.
	Stream bool
	// Resume continues an answer of which some tokens exist already.
	Resume *Resume
	// HeaderTimeout bounds the wait for the first byte, GapTimeout the wait
	// between two chunks. Zero means no bound other than the context's.
	HeaderTimeout time.Duration
	GapTimeout    time.Duration
}

// Resume is the part of an answer that an earlier dispatch produced.
type Resume struct {
	Text   string
	Tokens int
}

// Chunk is one event of a streamed answer.
type Chunk struct {
	// Data is the event's JSON as the engine sent it.
	Data []byte
	// Text is the generated text of the first choice in this event.
	Text string
	// Tokens is the number of generated tokens in this event.
	Tokens int
	// FinishReason is set on the last chunk of the answer.
	FinishReason string
}

// GenerateResult is the end of an answer.
type GenerateResult struct {
	Status int
	Header http.Header
	// Body is the whole JSON answer; empty for a streamed one.
	Body         []byte
	PromptTokens int
	CachedTokens int
	OutputTokens int
	FinishReason string
}

// LoadReport is an engine's view of its own load.
type LoadReport struct {
	// At is when the engine measured it.
	At       time.Time `json:"at"`
	Running  int       `json:"running"`
	Waiting  int       `json:"waiting"`
	MaxSlots int       `json:"max_slots"`
	// KVUsed is the used share of the KV cache memory, 0 to 1.
	KVUsed float64 `json:"kv_used"`
	// PrefillRate and DecodeRate are tokens per second, of the whole engine
	// and of one stream.
	PrefillRate float64 `json:"prefill_rate"`
	DecodeRate  float64 `json:"decode_rate"`
}

// Role is what an engine does for its requests.
type Role string

// The roles of an engine.
const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// EngineState is what an engine holds.
type EngineState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     Role     `json:"role"`
	// Loading is true while an order is being carried out.
	Loading bool `json:"loading"`
	// Fence is the highest fencing number that the engine has accepted; zero
	// on an engine that ignores it.
	Fence uint64 `json:"fence"`
}

// OrderKind names a change that an engine can be asked for.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel     OrderKind = "load-model"
	OrderLoadAdapter   OrderKind = "load-adapter"
	OrderUnloadAdapter OrderKind = "unload-adapter"
	OrderSetRole       OrderKind = "set-role"
)

// Order asks an engine to change what it holds.
type Order struct {
	ID      string    `json:"id"`
	Kind    OrderKind `json:"kind"`
	Fence   uint64    `json:"fence"`
	Model   string    `json:"model"`
	Version string    `json:"version"`
	Adapter string    `json:"adapter"`
	Role    Role      `json:"role"`
}

// CacheEvent says that a prefix entered or left an engine's cache.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Prefix is the hash of the prompt prefix's bytes.
	Prefix  uint64 `json:"prefix"`
	Tokens  int    `json:"tokens"`
	Evicted bool   `json:"evicted"`
}

// CacheEventPage is a run of cache events. A sequence gap between pages means
// that events were lost.
type CacheEventPage struct {
	Events []CacheEvent `json:"events"`
	Last   uint64       `json:"last"`
}
