// Package metrics holds the counters and latency histograms of the requests that an
// instance serves. They are published through expvar.
package metrics

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Latencies are recorded in microseconds with two significant digits. The maximum
	// of 2 h is above the longest total timeout.
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(2 * time.Hour / time.Microsecond)
	significantDigits = 2
)

// Histogram is a latency histogram. It is safe for concurrent use.
type Histogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{histogram: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)}
}

// Record records one latency, clamped to the range of the histogram.
func (h *Histogram) Record(d time.Duration) {
	v := min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros)
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only for a value out of range, and v is clamped.
	_ = h.histogram.RecordValue(v)
}

// Snapshot is a summary of a histogram; latencies are in microseconds.
type Snapshot struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P95   int64 `json:"p95_us"`
	P99   int64 `json:"p99_us"`
	Max   int64 `json:"max_us"`
}

// Snapshot returns a summary of the latencies recorded so far.
func (h *Histogram) Snapshot() Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Snapshot{Count: h.histogram.TotalCount(), P50: h.histogram.ValueAtQuantile(50), P95: h.histogram.ValueAtQuantile(95),
		P99: h.histogram.ValueAtQuantile(99), Max: h.histogram.Max()}
}

// String implements expvar.Var. It returns the snapshot as JSON.
func (h *Histogram) String() string {
	b, err := json.Marshal(h.Snapshot())
	if err != nil {
		return "null"
	}
	return string(b)
}

// Serving holds the counters and histograms of one instance. It is safe for concurrent
// use.
type Serving struct {
	// BatchTokens and BatchItems count complete items and their output tokens,
	// WastedTokens the tokens of items that were preempted or returned. BatchPulls
	// counts requests for items, BatchPushFailures failed transfers of results.
	BatchTokens, WastedTokens, BatchItems, BatchPulls, BatchPushFailures expvar.Int
	// Preemptions counts preempted items, PreemptMessages the messages to the directors
	// of other instances, and PreemptRejected those that failed or were dropped.
	Preemptions, PreemptMessages, PreemptRejected expvar.Int
	// Dispatches counts the attempts at online requests and batch items. Retries includes
	// Resumes. Silences counts attempts that were cancelled because the server stopped
	// sending, Probes the probes of servers that are ejected or may have failed.
	Dispatches, Retries, Resumes, Hedges, Silences, Probes expvar.Int
	// Ejections and Returns count servers that were removed from routing and that got
	// back their full weight. Suspects counts the requests named in CrashReports.
	Ejections, Returns, CrashReports, Suspects expvar.Int
	// Refusals counts the refused requests by code.
	Refusals expvar.Map

	mu             sync.Mutex
	firstToken     map[string]*Histogram
	total          map[string]*Histogram
	firstTokenVars expvar.Map
	totalVars      expvar.Map
}

// NewServing returns metrics in which nothing is recorded yet.
func NewServing() *Serving {
	return &Serving{firstToken: map[string]*Histogram{}, total: map[string]*Histogram{}}
}

// FirstToken returns the histogram of the time to first token of the online requests
// (not batch items) to a service.
func (s *Serving) FirstToken(service string) *Histogram {
	return s.histogram(s.firstToken, &s.firstTokenVars, service)
}

// Total returns the histogram of the time to the complete response of the online
// requests to a service.
func (s *Serving) Total(service string) *Histogram {
	return s.histogram(s.total, &s.totalVars, service)
}

func (s *Serving) histogram(m map[string]*Histogram, vars *expvar.Map, service string) *Histogram {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := m[service]
	if h == nil {
		h = NewHistogram()
		m[service] = h
		vars.Set(service, h)
	}
	return h
}

// Map returns the metrics as one expvar map, for expvar.Publish.
func (s *Serving) Map() *expvar.Map {
	m := new(expvar.Map).Init()
	for name, v := range map[string]expvar.Var{
		"batch_tokens": &s.BatchTokens, "wasted_tokens": &s.WastedTokens, "batch_items": &s.BatchItems,
		"batch_pulls": &s.BatchPulls, "batch_push_failures": &s.BatchPushFailures,
		"preemptions": &s.Preemptions, "preempt_messages": &s.PreemptMessages, "preempt_rejected": &s.PreemptRejected,
		"dispatches": &s.Dispatches, "retries": &s.Retries, "resumes": &s.Resumes, "hedges": &s.Hedges,
		"silences": &s.Silences, "probes": &s.Probes, "ejections": &s.Ejections, "returns": &s.Returns,
		"crash_reports": &s.CrashReports, "suspects": &s.Suspects, "refusals": &s.Refusals,
		"first_token": &s.firstTokenVars, "total": &s.totalVars,
	} {
		m.Set(name, v)
	}
	return m
}
