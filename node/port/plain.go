package port

import (
	"context"
	"net/http"
	"time"
)

// PlainService is a backend server that speaks plain HTTP.
type PlainService interface {
	// Do sends the request once. The errors mean the same as Engine.Generate's.
	Do(ctx context.Context, req *PlainRequest) (*PlainResponse, error)
}

// PlainRequest is passed through unchanged, hop-by-hop headers aside.
type PlainRequest struct {
	Method        string
	Path          string
	RawQuery      string
	Header        http.Header
	Body          []byte
	HeaderTimeout time.Duration
}

// PlainResponse is the whole answer of a plain service.
type PlainResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// WeightStore grants fetches of model weights within its rate limit.
type WeightStore interface {
	// Reserve asks for the right to let an engine fetch weights now. A
	// *StatusError with status 429 carries the time to wait.
	Reserve(ctx context.Context, ref WeightRef) (Grant, error)
}

// WeightRef names weights in the store.
type WeightRef struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
}

// Grant is a reserved fetch.
type Grant struct {
	ID string `json:"id"`
	// Bytes is the size of the weights.
	Bytes   int64     `json:"bytes"`
	Expires time.Time `json:"expires"`
}
