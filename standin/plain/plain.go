// Package plain is a stand-in for a backend server of a plain HTTP service.
//
// It answers each request with a description of it and counts the POST requests
// by their key, so that tests can tell how often an action has run.
package plain

import (
	"io"
	"maps"
	"net/http"
	"sync"

	"github.com/jacinthnotch/jacinthnotch/standin/kit"
)

// KeyHeader names the action that a POST counts under. Without it
// Idempotency-Key is used, then the path.
const KeyHeader = "Action-Key"

// Limits of the service.
const (
	// maxBody bounds request bodies, in bytes.
	maxBody = 16 << 20
	// maxKeys bounds the counted keys; further ones are counted together under "".
	maxKeys = 1 << 20
)

// Options are the properties of the service that do not change while it runs.
type Options struct {
	// Name is part of each answer.
	Name string `help:"Name of this server, part of each answer." default:"plain"`
	// Clock is the time source; the system's clock when nil.
	Clock kit.Clock `kong:"-"`
}

// Faults can be changed at any time. An action whose answer fails has run,
// unless the fault says otherwise.
type Faults struct {
	Latency kit.Duration `json:"latency" help:"Delay of each answer after the action has run." default:"0s"`
	// Outage refuses requests before the action runs.
	Outage    bool `json:"outage" help:"Refuse all requests with status 503; no action runs."`
	FailNext  int  `json:"fail_next" help:"Answer the next N requests with status 500 after the action has run."`
	FailEvery int  `json:"fail_every" help:"Answer every Nth request with status 500 after the action has run."`
	// CloseNext and CloseEvery close the connection after the request was read.
	CloseNext  int `json:"close_next" help:"Close the connections of the next N requests after the action has run."`
	CloseEvery int `json:"close_every" help:"Close the connection of every Nth request after the action has run."`
	// DropNext closes the connection after reading, before the action runs.
	DropNext   int `json:"drop_next" help:"Close the connections of the next N requests after reading; no action runs."`
	SilentNext int `json:"silent_next" help:"Never answer the next N requests; the action runs and the connection stays open."`
}

// Echo is the answer to a request.
type Echo struct {
	Server string              `json:"server"`
	Method string              `json:"method"`
	Path   string              `json:"path"`
	Query  string              `json:"query"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
	// Key and Count are the action's key and how often it has run; POST only.
	Key   string `json:"key,omitempty"`
	Count int    `json:"count,omitempty"`
}

// Service is the stand-in. All methods are safe for concurrent use.
type Service struct {
	*kit.Server
	opts Options

	mu       sync.Mutex
	faults   Faults
	counts   map[string]int
	requests uint64
}

// New returns a service that is not started.
func New(opts Options, faults Faults) *Service {
	if opts.Clock == nil {
		opts.Clock = kit.RealClock{}
	}
	s := &Service{opts: opts, faults: faults, counts: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.echo)
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) { kit.WriteJSON(w, http.StatusOK, s.Counts()) })
	mux.HandleFunc("POST /admin/silence", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
		s.SilenceConnections()
	})
	kit.RegisterHTTPFaults(mux, s.Faults, s.SetFaults)
	s.Server = kit.NewServer(kit.ServeHTTP(mux))
	return s
}

// Faults returns the current faults.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns how often each action has run.
func (s *Service) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

// Requests returns the number of requests that were read.
func (s *Service) Requests() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// verdict is what the faults make of one request.
type verdict int

const (
	answerIt verdict = iota
	refuseIt
	failIt
	closeIt
	silenceIt
)

// run counts the action and decides how the request ends.
func (s *Service) run(e *Echo) (verdict, kit.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	f := &s.faults
	switch {
	case f.Outage:
		return refuseIt, f.Latency
	case kit.FaultApplies(&f.DropNext, 0, s.requests):
		return closeIt, f.Latency
	}
	if e.Method == http.MethodPost {
		if _, known := s.counts[e.Key]; !known && len(s.counts) >= maxKeys {
			e.Key = ""
		}
		s.counts[e.Key]++
		e.Count = s.counts[e.Key]
	}
	switch {
	case kit.FaultApplies(&f.CloseNext, f.CloseEvery, s.requests):
		return closeIt, f.Latency
	case kit.FaultApplies(&f.SilentNext, 0, s.requests):
		return silenceIt, f.Latency
	case kit.FaultApplies(&f.FailNext, f.FailEvery, s.requests):
		return failIt, f.Latency
	}
	return answerIt, f.Latency
}

func (s *Service) echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		kit.WriteJSON(w, http.StatusRequestEntityTooLarge, map[string]string{"error": err.Error()})
		return
	}
	e := &Echo{Server: s.opts.Name, Method: r.Method, Path: r.URL.EscapedPath(), Query: r.URL.RawQuery, Header: r.Header, Body: body}
	if r.Method == http.MethodPost {
		e.Key = r.Header.Get(KeyHeader)
		if e.Key == "" {
			e.Key = r.Header.Get("Idempotency-Key")
		}
		if e.Key == "" {
			e.Key = e.Path
		}
	}
	v, latency := s.run(e)
	if kit.Sleep(r.Context(), s.opts.Clock, latency.Std()) != nil {
		return
	}
	switch v {
	case refuseIt:
		kit.WriteJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "outage"})
	case failIt:
		kit.WriteJSON(w, http.StatusInternalServerError, map[string]string{"error": "failure"})
	case closeIt:
		panic(http.ErrAbortHandler) // closes the connection
	case silenceIt:
		<-r.Context().Done()
	default:
		kit.WriteJSON(w, http.StatusOK, e)
	}
}
