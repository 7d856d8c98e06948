package engine

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/standin/kit"
)

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	server   *kit.Server
	opts     Options
	ctx      context.Context
	stop     context.CancelFunc // cancels ctx
	loopDone chan struct{}      // closed when loop has returned
	wakeUp   chan struct{}      // wakes loop; capacity 1

	mu           sync.Mutex
	faults       Faults
	running      []*sequence // the batch
	waiting      []*sequence // in order of arrival
	cache        prefixCache
	loadReports  []port.LoadReport
	state        port.EngineState
	lastOrderID  string
	runCounts    map[string]*RunCount // by fingerprint
	requestCount uint64
	crashes      int
	incarnation  int  // incremented by terminate, so that earlier orders are not applied afterwards
	killed       bool // between Kill, or a crash, and Restart
	loadingModel bool // an order to load a model is being carried out
	closed       bool
}

// New returns an engine. Start starts it and Close stops it.
func New(opts Options, faults Faults) *Engine {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		opts: opts, faults: faults, ctx: ctx, stop: cancel, state: opts.state(), cache: newPrefixCache(),
		loopDone: make(chan struct{}), wakeUp: make(chan struct{}, 1), runCounts: make(map[string]*RunCount),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleGenerate)
	mux.HandleFunc("POST /v1/completions", e.handleGenerate)
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { kit.WriteJSON(w, http.StatusOK, e.Load()) })
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, _ *http.Request) { kit.WriteJSON(w, http.StatusOK, e.State()) })
	mux.HandleFunc("POST /v1/orders", e.handleOrder)
	mux.HandleFunc("GET /v1/cache-events", e.handleEvents)
	mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) { kit.WriteJSON(w, http.StatusOK, e.Runs()) })
	mux.HandleFunc("POST /admin/silence", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
		e.server.SilenceConnections()
	})
	kit.RegisterHTTPFaults(mux, e.Faults, e.SetFaults)
	e.server = kit.NewServer(kit.ServeHTTP(mux))
	go e.loop(ctx)
	return e
}

// Start listens on addr, an IP address and port. Port 0 selects a free port.
func (e *Engine) Start(addr string) error { return e.server.Start(addr) }

// Addr returns the IP address and port of the engine.
func (e *Engine) Addr() string { return e.server.Addr() }

// SilenceConnections makes all open connections silent permanently.
func (e *Engine) SilenceConnections() { e.server.SilenceConnections() }

// Kill stops the engine as if its process had died: connections are reset, and the requests
// in flight and the cache are lost. The counts are kept for tests.
func (e *Engine) Kill() {
	e.mu.Lock()
	e.terminate()
	e.mu.Unlock()
	e.server.Kill()
}

// terminate drops the state that a process loses when it dies. The caller holds mu.
func (e *Engine) terminate() {
	e.incarnation++
	e.killed = true
	for _, s := range append(slices.Clone(e.running), e.waiting...) {
		s.done, s.aborted = true, true
		s.notify()
	}
	e.running, e.waiting = nil, nil
	e.cache.clear()
	e.state.Loading, e.loadingModel = false, false
}

// Restart starts a killed engine on its previous address with the model in its options.
func (e *Engine) Restart() error {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return http.ErrServerClosed
	}
	fence := e.state.Fence
	e.state = e.opts.state()
	e.state.Fence = fence
	e.killed = false
	e.mu.Unlock()
	if err := e.server.Restart(); err != nil {
		return err
	}
	e.mu.Lock()
	closed := e.closed
	e.mu.Unlock()
	if closed { // Close was called during the restart
		e.server.Kill()
	}
	return nil
}

// Close kills the engine and stops its goroutine.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.Kill()
	e.stop()
	<-e.loopDone
}

// crashAndRestart resets the connections after recordStart has terminated the engine, and
// restarts it after Options.CrashRecovery.
func (e *Engine) crashAndRestart() {
	e.server.Kill()
	if d := e.opts.CrashRecovery.Std(); d > 0 {
		if kit.Sleep(e.ctx, e.opts.Clock, d) != nil {
			return
		}
		_ = e.Restart() // fails only if the port is in use or the engine is closed
	}
}

// Crashes returns how often a request with CrashMark has crashed the engine.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Faults returns the injected faults.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Runs returns the run counts by request fingerprint.
func (e *Engine) Runs() map[string]RunCount {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]RunCount, len(e.runCounts))
	for f, c := range e.runCounts {
		copied := *c
		copied.IDs = slices.Clone(c.IDs)
		out[f] = copied
	}
	return out
}

// State returns the model, adapters and role of the engine.
func (e *Engine) State() port.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state
	s.Adapters = slices.Clone(s.Adapters)
	return s
}

// orderError is the error of a refused order.
type orderError struct {
	status int
	reason string
}

func (e *orderError) Error() string { return e.reason }

// Order accepts or refuses an order. An order with the id of the last accepted order is accepted
// without effect.
func (e *Engine) Order(o port.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.CheckFence {
		if o.Fence < e.state.Fence {
			return &orderError{http.StatusPreconditionFailed, fmt.Sprintf("fencing number %d is below %d", o.Fence, e.state.Fence)}
		}
		e.state.Fence = o.Fence
	}
	if o.ID != "" && o.ID == e.lastOrderID {
		return nil
	}
	if e.state.Loading {
		return &orderError{http.StatusConflict, "another order is being carried out"}
	}
	var apply func(*port.EngineState)
	duration := e.opts.LoadTime.Std()
	switch o.Kind {
	case port.OrderLoadModel:
		apply = func(s *port.EngineState) { s.Model, s.Version, s.Adapters = o.Model, o.Version, []string{} }
	case port.OrderLoadAdapter:
		apply = func(s *port.EngineState) {
			if !slices.Contains(s.Adapters, o.Adapter) {
				s.Adapters = append(s.Adapters, o.Adapter)
			}
		}
	case port.OrderUnloadAdapter:
		duration = 0
		apply = func(s *port.EngineState) {
			s.Adapters = slices.DeleteFunc(s.Adapters, func(a string) bool { return a == o.Adapter })
		}
	case port.OrderSetRole:
		duration = 0
		apply = func(s *port.EngineState) { s.Role = o.Role }
	default:
		return &orderError{http.StatusBadRequest, "unknown kind of order"}
	}
	e.lastOrderID = o.ID
	if duration <= 0 {
		e.applyOrder(o, apply)
		return nil
	}
	e.state.Loading, e.loadingModel = true, o.Kind == port.OrderLoadModel
	incarnation := e.incarnation
	fired, stop := e.opts.Clock.After(duration)
	go func() {
		defer stop()
		select {
		case <-fired:
		case <-e.ctx.Done():
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.incarnation == incarnation {
			e.applyOrder(o, apply)
		}
	}()
	return nil
}

// applyOrder completes an accepted order. The caller holds mu.
func (e *Engine) applyOrder(o port.Order, apply func(*port.EngineState)) {
	e.state.Loading, e.loadingModel = false, false
	apply(&e.state)
	if o.Kind == port.OrderLoadModel {
		e.cache.clear()
	}
}

// hasModel reports whether the engine has loaded the model or adapter of a request. A request
// without a model uses the loaded one. The caller holds mu.
func (e *Engine) hasModel(model string) bool {
	return model == "" || model == e.state.Model || slices.Contains(e.state.Adapters, model)
}

// Fingerprints returns the sorted fingerprints of all runs.
func (e *Engine) Fingerprints() []string { return slices.Sorted(maps.Keys(e.Runs())) }
