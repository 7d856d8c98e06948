// Package engine is a stand-in for a model engine on a backend server.
//
// It models continuous batching with a limited number of slots, prefill and
// decode rates, limited KV memory and a prompt prefix cache. Its answers are a
// function of the prompt alone, so that a test can tell whether a caller got
// the whole answer to its own request. docs/platform-protocols.md describes
// its HTTP interface.
package engine

import (
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/standin/kit"
)

// Marks in a prompt that decide how the engine treats the request.
const (
	// CrashMark makes the engine die when it begins to run the request.
	CrashMark = "[[crash]]"
	// RefuseMark makes the engine refuse the request for good, with status 422.
	RefuseMark = "[[refuse]]"
)

// Options are the properties of an engine that do not change while it runs.
type Options struct {
	Model    string   `help:"Model loaded at the start." default:"model-a"`
	Version  string   `help:"Version loaded at the start." default:"1"`
	Adapters []string `help:"Adapters loaded at the start."`
	// Slots is the number of requests that run together.
	Slots int `help:"Requests that run together." default:"16"`
	// PrefillRate is in tokens per second of the engine, DecodeRate in tokens
	// per second of one stream that runs alone. Zero means no delay.
	PrefillRate float64 `help:"Prompt tokens per second; 0 for no delay." default:"8000"`
	DecodeRate  float64 `help:"Generated tokens per second of a stream that runs alone; 0 for no delay." default:"60"`
	// BatchCost is the growth of a decode step for each further stream.
	BatchCost float64 `help:"Growth of a decode step for each further stream, as a share." default:"0.02"`
	// KVTokens is the size of the KV memory, shared by running requests and the
	// prefix cache.
	KVTokens int `help:"KV memory in tokens." default:"65536"`
	// OutputTokens is the length of an answer that max_tokens does not cut.
	OutputTokens int `help:"Length of an answer without max_tokens, in tokens." default:"64"`
	// CheckFence makes the engine refuse orders with an old fencing number.
	CheckFence bool `help:"Refuse orders with an old fencing number." default:"true" negatable:""`
	// LoadTime is the time that an order to load a model or adapter takes.
	LoadTime kit.Duration `help:"Time to load a model or adapter." default:"5s"`
	// LoadLag is the age of the load report.
	LoadLag kit.Duration `help:"Age of the load report." default:"200ms"`
	// CrashRecovery is the time from a crash to the restart; zero means that the
	// engine stays down.
	CrashRecovery kit.Duration `help:"Time from a crash to the restart; 0 for never." default:"5s"`
	// Clock is the time source; the system's clock when nil.
	Clock kit.Clock `kong:"-"`
}

// Faults can be changed at any time.
type Faults struct {
	// Slow multiplies the time of each step; values below 1 count as 1.
	Slow      float64 `json:"slow" help:"Factor on the time of each step." default:"1"`
	FailNext  int     `json:"fail_next" help:"Refuse the next N requests at once with status 503."`
	FailEvery int     `json:"fail_every" help:"Refuse every Nth request at once with status 503."`
	// CloseNext closes the connection after the request was read; it is not run.
	CloseNext int `json:"close_next" help:"Close the connections of the next N requests after reading them."`
	// LoseNext runs the request and closes the connection without an answer.
	LoseNext int `json:"lose_next" help:"Run the next N requests and close the connections without an answer."`
	// CutNext and SilentNext end the answers of the next requests after
	// BreakAfter tokens: by closing the connection, and by sending nothing more
	// on a connection that stays open.
	CutNext    int `json:"cut_next" help:"Close the connections of the next N requests after break-after tokens."`
	SilentNext int `json:"silent_next" help:"Send nothing more to the next N requests after break-after tokens."`
	BreakAfter int `json:"break_after" help:"Tokens before cut-next and silent-next take effect."`
	// EventDelay delays cache events; every EventGap-th event is lost.
	EventDelay kit.Duration `json:"event_delay" help:"Delay of cache events." default:"0s"`
	EventGap   int          `json:"event_gap" help:"Lose every Nth cache event."`
	// Outage refuses all generate requests with status 503.
	Outage bool `json:"outage" help:"Refuse all generate requests with status 503."`
}

// RunCount is what an engine has done with the requests of one fingerprint.
type RunCount struct {
	// Runs counts the dispatches that began to run, resumed ones included.
	Runs int `json:"runs"`
	// Resumed counts those that continued an earlier answer.
	Resumed int `json:"resumed"`
	// Completed counts those that generated all their tokens.
	Completed int `json:"completed"`
	// Cancelled counts those whose connection ended first.
	Cancelled int `json:"cancelled"`
	// Tokens counts the generated tokens.
	Tokens int `json:"tokens"`
	// IDs are the request ids of the runs, at most maxRunIDs.
	IDs []string `json:"ids"`
}

const (
	maxRunIDs = 32
	// prefillChunk bounds the prompt tokens handled in one step, so that a long
	// prompt delays running streams by a bounded time.
	prefillChunk = 512
	// maxReports bounds the load reports kept for the lag.
	maxReports = 4096
	// maxEvents bounds the cache events kept for readers.
	maxEvents = 8192
	// maxBody bounds request bodies, in bytes.
	maxBody = 16 << 20
)

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = kit.RealClock{}
	}
	if o.Slots <= 0 {
		o.Slots = 16
	}
	if o.KVTokens <= 0 {
		o.KVTokens = 65536
	}
	if o.OutputTokens <= 0 {
		o.OutputTokens = 64
	}
	return o
}

func (o Options) state() port.EngineState {
	return port.EngineState{Model: o.Model, Version: o.Version, Adapters: append([]string{}, o.Adapters...), Role: port.RoleBoth}
}
