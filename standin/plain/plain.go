// Package plain is a stand-in for a backend server of a plain HTTP service.
//
// It responds to each request with a description of the request. It counts the POST requests
// by key, so that tests can check how often an action has run.
package plain

import (
	"io"
	"maps"
	"net/http"
	"sync"

	"github.com/jacinthnotch/jacinthnotch/standin/kit"
)

// KeyHeader is the header with the key under which a POST request is counted. If it is
// missing, the key is the Idempotency-Key header, or else the path.
const KeyHeader = "Action-Key"

// Limits of the service.
const (
	// maxBody is the size limit of request bodies, in bytes.
	maxBody = 16 << 20
	// maxKeys is the maximum number of counted keys. Requests with further keys are counted
	// together under "".
	maxKeys = 1 << 20
)

// Options configures a Service.
type Options struct {
	// Name is the name of the server in each response.
	Name string `help:"Name of this server, part of each answer." default:"plain"`
	// Clock is the time source; nil means the system clock.
	Clock kit.Clock `kong:"-"`
}

// Faults are the faults to inject. They can be changed while the service runs. Unless the
// fault says otherwise, the action of a failed request has run.
type Faults struct {
	Latency kit.Duration `json:"latency" help:"Delay of each answer after the action has run." default:"0s"`
	// Outage refuses all requests before their action runs.
	Outage    bool `json:"outage" help:"Refuse all requests with status 503; no action runs."`
	FailNext  int  `json:"fail_next" help:"Answer the next N requests with status 500 after the action has run."`
	FailEvery int  `json:"fail_every" help:"Answer every Nth request with status 500 after the action has run."`
	// CloseNext and CloseEvery close the connection after the action has run.
	CloseNext  int `json:"close_next" help:"Close the connections of the next N requests after the action has run."`
	CloseEvery int `json:"close_every" help:"Close the connection of every Nth request after the action has run."`
	// DropNext closes the connection after the request was read, before the action runs.
	DropNext   int `json:"drop_next" help:"Close the connections of the next N requests after reading; no action runs."`
	SilentNext int `json:"silent_next" help:"Never answer the next N requests; the action runs and the connection stays open."`
}

// Echo is the body of the response to a request.
type Echo struct {
	Server string              `json:"server"`
	Method string              `json:"method"`
	Path   string              `json:"path"`
	Query  string              `json:"query"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
	// Key is the key of the action and Count is how often it has run. They are set for
	// POST only.
	Key   string `json:"key,omitempty"`
	Count int    `json:"count,omitempty"`
}

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	*kit.Server
	opts Options

	mu       sync.Mutex
	faults   Faults
	counts   map[string]int
	requests uint64
}

// New returns a service. Start starts it.
func New(opts Options, faults Faults) *Service {
	if opts.Clock == nil {
		opts.Clock = kit.RealClock{}
	}
	s := &Service{opts: opts, faults: faults, counts: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.handleRequest)
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) { kit.WriteJSON(w, http.StatusOK, s.Counts()) })
	mux.HandleFunc("POST /admin/silence", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
		s.SilenceConnections()
	})
	kit.RegisterHTTPFaults(mux, s.Faults, s.SetFaults)
	s.Server = kit.NewServer(kit.ServeHTTP(mux))
	return s
}

// Faults returns the injected faults.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns how often each action has run, by key.
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

// response is how the service responds to a request.
type response int

const (
	respondEcho response = iota
	respondOutage
	respondFailure
	closeConnection
	neverRespond
)

// run runs the action of the request, unless a fault prevents it, and returns how and after
// which delay to respond.
func (s *Service) run(e *Echo) (response, kit.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	f := &s.faults
	switch {
	case f.Outage:
		return respondOutage, f.Latency
	case kit.FaultApplies(&f.DropNext, 0, s.requests):
		return closeConnection, f.Latency
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
		return closeConnection, f.Latency
	case kit.FaultApplies(&f.SilentNext, 0, s.requests):
		return neverRespond, f.Latency
	case kit.FaultApplies(&f.FailNext, f.FailEvery, s.requests):
		return respondFailure, f.Latency
	}
	return respondEcho, f.Latency
}

func (s *Service) handleRequest(w http.ResponseWriter, r *http.Request) {
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
	resp, latency := s.run(e)
	if kit.Sleep(r.Context(), s.opts.Clock, latency.Std()) != nil {
		return
	}
	switch resp {
	case respondOutage:
		kit.WriteJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "outage"})
	case respondFailure:
		kit.WriteJSON(w, http.StatusInternalServerError, map[string]string{"error": "failure"})
	case closeConnection:
		panic(http.ErrAbortHandler) // closes the connection
	case neverRespond:
		<-r.Context().Done()
	default:
		kit.WriteJSON(w, http.StatusOK, e)
	}
}
