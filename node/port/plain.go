package port

import (
	"context"
	"net/http"
	"time"
)

// PlainService is a backend server that speaks plain HTTP.
type PlainService interface {
	// Do sends the request once. Its errors mean the same as those of
	// Engine.Generate.
	Do(ctx context.Context, req *PlainRequest) (*PlainResponse, error)
}

// PlainRequest is forwarded unchanged except for its hop-by-hop headers.
type PlainRequest struct {
	Method        string
	Path          string
	RawQuery      string
	Header        http.Header
	Body          []byte
	HeaderTimeout time.Duration
}

// PlainResponse is the complete response of a plain service.
type PlainResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// WeightStore grants fetches of model weights within its rate limit.
type WeightStore interface {
	// Reserve requests permission for an engine to fetch weights now. A
	// *StatusError with status 429 holds the time to wait in RetryAfter.
	Reserve(ctx context.Context, ref WeightRef) (Grant, error)
}

// WeightRef identifies weights in the store.
type WeightRef struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
}

// Grant is the permission for one fetch.
type Grant struct {
	ID string `json:"id"`
	// Bytes is the size of the weights.
	Bytes   int64     `json:"bytes"`
	Expires time.Time `json:"expires"`
}
