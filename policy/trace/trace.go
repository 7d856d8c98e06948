// Package trace defines a file format for request traces and generates traces.
//
// A trace file is in JSON Lines format. The first line is the Header, which
// describes the fleet and the targets; each further line is an Event, a request
// or a fault, in order of time.
package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Format and Version identify the file format in the Header.
const (
	Format  = "jacinthnotch-trace"
	Version = 1
)

// ErrFormat is returned by Read for a file that is not a trace of this version.
var ErrFormat = errors.New("trace: unknown format or version")

// Header is the first line of a trace.
type Header struct {
	Format  string `json:"format"`
	Version int    `json:"version"`
	Name    string `json:"name"`
	Seed    uint64 `json:"seed"`
	// Duration is the length of the trace. Jobs may still be running at its end.
	Duration  time.Duration `json:"duration_ns"`
	Instances int           `json:"instances"`
	Servers   []Server      `json:"servers"`
	Targets   Targets       `json:"expect"`
}

// Server is one backend server of the fleet.
type Server struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	// Speed multiplies the prefill and decode rates of the simulated engine.
	Speed float64 `json:"speed"`
	// Slots is the maximum number of requests that run at the same time.
	Slots int `json:"slots"`
	// KVTokens is the size of the KV cache in tokens.
	KVTokens int `json:"kv_tokens"`
	// Plain is set for a server of a plain HTTP service, which has no model.
	Plain bool `json:"plain,omitempty"`
}

// Targets are the bounds that the outcomes of a replay are checked against. A
// zero MaxOutageLoadFactor means that the trace has no total outage, a zero
// MaxServersLost that it has no crashing request.
type Targets struct {
	// MaxP99Ratio is the upper bound of the p99 latency of online requests while
	// batch work runs, as a multiple of the p99 without batch work. It applies to
	// the first token and to the whole answer.
	MaxP99Ratio float64 `json:"p99_ratio"`
	// MinIdleFillRatio is the lower bound of the share of idle capacity that is
	// used for finished batch tokens. MaxWasteRatio is the upper bound of the
	// share of batch tokens that are processed again, or for a prompt that is
	// cancelled before its first output token.
	MinIdleFillRatio float64 `json:"idle_filled"`
	MaxWasteRatio    float64 `json:"waste"`
	// MaxRefillDelay is the upper bound of the p99 of the time from when a server
	// has room for another batch stream until the stream is started.
	MaxRefillDelay time.Duration `json:"refill_ns"`
	// MaxOutageLoadFactor is the upper bound of the attempts sent during a total
	// outage, as a multiple of the requests that arrive in it. MaxRecoveryTime is
	// the upper bound of the time from its end until latencies are normal again.
	MaxOutageLoadFactor float64       `json:"outage_load,omitempty"`
	MaxRecoveryTime     time.Duration `json:"recovery_ns,omitempty"`
	// MaxServersLost is the upper bound of the servers that one request crashes.
	MaxServersLost int `json:"servers_lost,omitempty"`
}

// Class is the scheduling class of a request.
type Class string

// The classes: online requests have priority over batch requests.
const (
	Online Class = "online"
	Batch  Class = "batch"
)

// Fault is a kind of fault that is injected into servers.
type Fault string

// The faults. Crash, Slow and Outage last for Event.FaultDuration.
const (
	// Crash: one server loses its requests and its prefix cache, and restarts.
	Crash Fault = "crash"
	// Slow: the speed of one server is divided by Event.SlowdownFactor.
	Slow Fault = "slow"
	// Silent: the open connections to one server stop delivering data without
	// being closed.
	Silent Fault = "silent"
	// Outage: all servers of one service crash at the same time.
	Outage Fault = "outage"
)

// Event is one line of a trace after the header: a request if Fault is empty, and
// a fault otherwise.
type Event struct {
	// At is the time since the start of the trace.
	At      time.Duration `json:"at_ns"`
	Service string        `json:"service,omitempty"`

	Class        Class  `json:"class,omitempty"`
	PromptTokens int    `json:"prompt,omitempty"`
	OutputTokens int    `json:"output,omitempty"`
	Prefix       uint64 `json:"prefix,omitempty"`
	PrefixTokens int    `json:"prefix_tokens,omitempty"`
	// Deadline is relative to the arrival. For a batch item it is the deadline of
	// its job.
	Deadline time.Duration `json:"deadline_ns,omitempty"`
	// Key is the fingerprint of an online request; the position of the event in
	// the trace takes its place if it is empty. For a batch item it is the name of
	// the item within its job.
	Key       string `json:"key,omitempty"`
	Job       string `json:"job,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	// NonIdempotent requests must not run more than once.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// CrashAtToken is the output token at which the request crashes its server; zero
	// for a request that does not.
	CrashAtToken int `json:"crash_at,omitempty"`

	Fault          Fault         `json:"fault,omitempty"`
	Server         string        `json:"server,omitempty"`
	FaultDuration  time.Duration `json:"for_ns,omitempty"`
	SlowdownFactor float64       `json:"factor,omitempty"`
}

// Trace is a complete trace.
type Trace struct {
	Header
	Events []Event
}

// Write writes the trace in JSON Lines format.
func (t *Trace) Write(w io.Writer) error {
	buf := bufio.NewWriter(w)
	enc := json.NewEncoder(buf)
	if err := enc.Encode(&t.Header); err != nil {
		return fmt.Errorf("trace: header: %w", err)
	}
	for i := range t.Events {
		if err := enc.Encode(&t.Events[i]); err != nil {
			return fmt.Errorf("trace: event %d: %w", i, err)
		}
	}
	return buf.Flush()
}

// Read reads a trace. It returns ErrFormat if the header names another format or
// version, and another error if the events are not in order of time.
func Read(r io.Reader) (*Trace, error) {
	dec := json.NewDecoder(r)
	t := &Trace{}
	if err := dec.Decode(&t.Header); err != nil {
		return nil, fmt.Errorf("trace: header: %w", err)
	}
	if t.Format != Format || t.Version != Version {
		return nil, ErrFormat
	}
	for {
		var e Event
		err := dec.Decode(&e)
		if errors.Is(err, io.EOF) {
			return t, nil
		}
		if err != nil {
			return nil, fmt.Errorf("trace: event %d: %w", len(t.Events), err)
		}
		if n := len(t.Events); n > 0 && e.At < t.Events[n-1].At {
			return nil, fmt.Errorf("trace: event %d is earlier than the event before it", n)
		}
		t.Events = append(t.Events, e)
	}
}
