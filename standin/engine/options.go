// Package engine is a stand-in for a model engine on a backend server.
//
// It simulates continuous batching with a limited number of slots, prefill and decode rates,
// limited KV memory and a prompt prefix cache. Its answers depend only on the prompt, so that
// a test can check whether a caller received the complete answer to its own request.
// docs/platform-protocols.md describes its HTTP interface.
package engine

import (
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/standin/kit"
)

// Marks that make the engine crash or refuse a request whose prompt contains them.
const (
	// CrashMark makes the engine crash when it starts to run the request.
	CrashMark = "[[crash]]"
	// RefuseMark makes the engine refuse the request permanently, with status 422.
	RefuseMark = "[[refuse]]"
)

// Options configures an Engine.
type Options struct {
	Model    string   `help:"Model loaded at the start." default:"model-a"`
	Version  string   `help:"Version loaded at the start." default:"1"`
	Adapters []string `help:"Adapters loaded at the start."`
	// Slots is the maximum number of requests in the batch.
	Slots int `help:"Requests that run together." default:"16"`
	// PrefillRate is the number of prompt tokens per second of the engine, and DecodeRate
	// the number of generated tokens per second of a stream that runs alone. Zero means no
	// delay.
	PrefillRate float64 `help:"Prompt tokens per second; 0 for no delay." default:"8000"`
	DecodeRate  float64 `help:"Generated tokens per second of a stream that runs alone; 0 for no delay." default:"60"`
	// BatchCost is the relative increase of the duration of a decode step by each further
	// stream.
	BatchCost float64 `help:"Growth of a decode step for each further stream, as a share." default:"0.02"`
	// KVTokens is the size of the KV memory, which running requests and the prefix cache
	// share.
	KVTokens int `help:"KV memory in tokens." default:"65536"`
	// OutputTokens is the length of an answer that max_tokens does not limit.
	OutputTokens int `help:"Length of an answer without max_tokens, in tokens." default:"64"`
	// CheckFence makes the engine refuse orders with an outdated fencing number.
	CheckFence bool `help:"Refuse orders with an old fencing number." default:"true" negatable:""`
	// LoadTime is the time that it takes to load a model or adapter.
	LoadTime kit.Duration `help:"Time to load a model or adapter." default:"5s"`
	// LoadLag is the minimum age of the load report.
	LoadLag kit.Duration `help:"Age of the load report." default:"200ms"`
	// CrashRecovery is the time from a crash to the restart; zero means that the engine does
	// not restart.
	CrashRecovery kit.Duration `help:"Time from a crash to the restart; 0 for never." default:"5s"`
	// Clock is the time source; nil means the system clock.
	Clock kit.Clock `kong:"-"`
}

// Faults are the faults to inject. They can be changed while the engine runs.
type Faults struct {
	// Slow is the factor of the duration of each step; values below 1 are treated as 1.
	Slow      float64 `json:"slow" help:"Factor on the time of each step." default:"1"`
	FailNext  int     `json:"fail_next" help:"Refuse the next N requests at once with status 503."`
	FailEvery int     `json:"fail_every" help:"Refuse every Nth request at once with status 503."`
	// CloseNext closes the connection after the request was read and does not run it.
	CloseNext int `json:"close_next" help:"Close the connections of the next N requests after reading them."`
	// LoseNext runs the request and closes the connection without a response.
	LoseNext int `json:"lose_next" help:"Run the next N requests and close the connections without an answer."`
	// CutNext and SilentNext interrupt the answer after BreakAfter tokens. CutNext closes the
	// connection; SilentNext keeps it open and sends nothing more.
	CutNext    int `json:"cut_next" help:"Close the connections of the next N requests after break-after tokens."`
	SilentNext int `json:"silent_next" help:"Send nothing more to the next N requests after break-after tokens."`
	BreakAfter int `json:"break_after" help:"Tokens before cut-next and silent-next take effect."`
	// EventDelay is the delay of cache events. Every EventGap-th event is lost.
	EventDelay kit.Duration `json:"event_delay" help:"Delay of cache events." default:"0s"`
	EventGap   int          `json:"event_gap" help:"Lose every Nth cache event."`
	// Outage refuses all completion requests with status 503.
	Outage bool `json:"outage" help:"Refuse all generate requests with status 503."`
}

// RunCount counts the runs of the requests with one fingerprint.
type RunCount struct {
	// Runs is the number of started runs, including resumed ones.
	Runs int `json:"runs"`
	// Resumed is the number of runs that continued an earlier answer.
	Resumed int `json:"resumed"`
	// Completed is the number of runs that generated all their tokens.
	Completed int `json:"completed"`
	// Cancelled is the number of runs whose connection was closed before they completed.
	Cancelled int `json:"cancelled"`
	// Tokens is the number of generated tokens.
	Tokens int `json:"tokens"`
	// IDs are the request ids of the first maxRunIDs runs.
	IDs []string `json:"ids"`
}

const (
	maxRunIDs = 32
	// prefillChunk is the maximum number of prompt tokens processed in one step, so that a
	// long prompt delays the running streams only for a limited time.
	prefillChunk = 512
	// maxReports is the maximum number of load reports kept for LoadLag.
	maxReports = 4096
	// maxEvents is the maximum number of cache events kept for readers.
	maxEvents = 8192
	// maxBody is the size limit of request bodies, in bytes.
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

// state returns the state of an engine after its start.
func (o Options) state() port.EngineState {
	return port.EngineState{Model: o.Model, Version: o.Version, Adapters: append([]string{}, o.Adapters...), Role: port.RoleBoth}
}
