// Package trace is the format of request traces and a generator for them.
//
// A trace file is JSON lines. The first line is the Header with the fleet and
// the expected outcomes; each further line is an Event, a request or a fault,
// in order of time.
package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Format and Version identify the file format.
const (
	Format  = "jacinthnotch-trace"
	Version = 1
)

// ErrFormat reports a file that is not a trace of a known version.
var ErrFormat = errors.New("trace: unknown format or version")

// Header is the first line of a trace.
type Header struct {
	Format  string `json:"format"`
	Version int    `json:"version"`
	Name    string `json:"name"`
	Seed    uint64 `json:"seed"`
	// Duration is the length of the trace; jobs need not be finished by then.
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
	// Speed multiplies the rates of the engine model.
	Speed float64 `json:"speed"`
	Slots int     `json:"slots"`
	// KVTokens is the KV memory in tokens.
	KVTokens int `json:"kv_tokens"`
	// Plain is set for a server of a plain HTTP service.
	Plain bool `json:"plain,omitempty"`
}

// Targets holds the outcomes that a replay is checked against. Zero means that
// the trace does not exercise the outcome.
type Targets struct {
	// MaxP99Ratio bounds the online p99, first token and total, with batch as a
	// multiple of that without.
	MaxP99Ratio float64 `json:"p99_ratio"`
	// MinIdleFillRatio is the least share of idle capacity turned into finished
	// batch tokens, Waste the greatest share of wasted batch tokens.
	MinIdleFillRatio float64 `json:"idle_filled"`
	MaxWasteRatio    float64 `json:"waste"`
	// MaxRefillDelay bounds the time from room for a batch stream to its start, at the
	// 99th percentile.
	MaxRefillDelay time.Duration `json:"refill_ns"`
	// MaxOutageLoadFactor bounds the attempts sent during a total outage as a multiple
	// of the offered requests, Recovery the time to recover after its end.
	MaxOutageLoadFactor float64       `json:"outage_load,omitempty"`
	MaxRecoveryTime     time.Duration `json:"recovery_ns,omitempty"`
	// MaxServersLost bounds the servers lost to one crashing request.
	MaxServersLost int `json:"servers_lost,omitempty"`
}

// Class is the kind of work.
type Class string

// The classes of requests.
const (
	Online Class = "online"
	Batch  Class = "batch"
)

// Fault names what happens to servers.
type Fault string

// The faults. Crash and Outage last for the event's time, as does Slow.
const (
	// Crash: one server dies and restarts empty.
	Crash Fault = "crash"
	// Slow: one server runs at 1/Factor of its speed.
	Slow Fault = "slow"
	// Silent: the connections open to one server deliver nothing any more.
	Silent Fault = "silent"
	// Outage: all servers of a service die.
	Outage Fault = "outage"
)

// Event is one line of a trace after the header: a request when Fault is empty.
type Event struct {
	At      time.Duration `json:"at_ns"`
	Service string        `json:"service,omitempty"`

	Class        Class  `json:"class,omitempty"`
	PromptTokens int    `json:"prompt,omitempty"`
	OutputTokens int    `json:"output,omitempty"`
	Prefix       uint64 `json:"prefix,omitempty"`
	PrefixTokens int    `json:"prefix_tokens,omitempty"`
	// Deadline is relative to the arrival; for a batch item it is the job's
	// due time.
	Deadline  time.Duration `json:"deadline_ns,omitempty"`
	Key       string        `json:"key,omitempty"`
	Job       string        `json:"job,omitempty"`
	Workspace string        `json:"workspace,omitempty"`
	// NonIdempotent requests run at most once.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// CrashAtToken is the output token at which the request crashes its server.
	CrashAtToken int `json:"crash_at,omitempty"`

	Fault          Fault         `json:"fault,omitempty"`
	Server         string        `json:"server,omitempty"`
	FaultDuration  time.Duration `json:"for_ns,omitempty"`
	SlowdownFactor float64       `json:"factor,omitempty"`
}

// Trace is a header and its events.
type Trace struct {
	Header
	Events []Event
}

// Write writes the trace as JSON lines.
func (t *Trace) Write(w io.Writer) error {
	out := bufio.NewWriter(w)
	enc := json.NewEncoder(out)
	if err := enc.Encode(&t.Header); err != nil {
		return fmt.Errorf("trace: header: %w", err)
	}
	for i := range t.Events {
		if err := enc.Encode(&t.Events[i]); err != nil {
			return fmt.Errorf("trace: event %d: %w", i, err)
		}
	}
	return out.Flush()
}

// Read reads a trace. It returns ErrFormat for another format or version, and
// an error for events that are out of order.
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
			return nil, fmt.Errorf("trace: event %d is out of order", n)
		}
		t.Events = append(t.Events, e)
	}
}
