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

// Engine is the stand-in. All methods are safe for concurrent use.
type Engine struct {
	server *kit.Server
	opts   Options
	ctx    context.Context
	stop   context.CancelFunc
	done   chan struct{}
	wake   chan struct{}

	mu        sync.Mutex
	faults    Faults
	running   []*sequence
	waiting   []*sequence
	cache     prefixCache
	reports   []port.LoadReport
	state     port.EngineState
	orderID   string
	runs      map[string]*RunCount
	arrivals  uint64
	crashes   int
	life      int  // counts the ends of the engine, to void its timers
	down      bool // between Kill and Restart
	replacing bool // a model order is being carried out
	closed    bool
}

// New returns an engine that is not started. Close ends it.
func New(opts Options, faults Faults) *Engine {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		opts: opts, faults: faults, ctx: ctx, stop: cancel, state: opts.state(), cache: newPrefixCache(),
		done: make(chan struct{}), wake: make(chan struct{}, 1), runs: make(map[string]*RunCount),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.generate)
	mux.HandleFunc("POST /v1/completions", e.generate)
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

// Start listens on addr, an IP address and port; port 0 picks a free one.
func (e *Engine) Start(addr string) error { return e.server.Start(addr) }

// Addr returns the IP address and port of the engine.
func (e *Engine) Addr() string { return e.server.Addr() }

// SilenceConnections makes all open connections silent for good.
func (e *Engine) SilenceConnections() { e.server.SilenceConnections() }

// Kill ends the engine as the death of its process would: connections are cut,
// requests in flight and the cache are lost. The counts stay for tests.
func (e *Engine) Kill() {
	e.mu.Lock()
	e.die()
	e.mu.Unlock()
	e.server.Kill()
}

// die loses all that a dead process would lose; the caller holds the lock.
func (e *Engine) die() {
	e.life++
	e.down = true
	for _, s := range append(slices.Clone(e.running), e.waiting...) {
		s.gone, s.aborted = true, true
		s.notify()
	}
	e.running, e.waiting = nil, nil
	e.cache.clear()
	e.state.Loading, e.replacing = false, false
}

// Restart starts a killed engine on its old address with the model of its
// options.
func (e *Engine) Restart() error {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return http.ErrServerClosed
	}
	fence := e.state.Fence
	e.state = e.opts.state()
	e.state.Fence = fence
	e.down = false
	e.mu.Unlock()
	if err := e.server.Restart(); err != nil {
		return err
	}
	e.mu.Lock()
	closed := e.closed
	e.mu.Unlock()
	if closed { // Close came between the two steps
		e.server.Kill()
	}
	return nil
}

// Close kills the engine and ends its goroutine.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.Kill()
	e.stop()
	<-e.done
}

// crash ends the process that began has declared dead and restarts it after the
// recovery time.
func (e *Engine) crash() {
	e.server.Kill()
	if d := e.opts.CrashRecovery.Std(); d > 0 {
		if kit.Sleep(e.ctx, e.opts.Clock, d) != nil {
			return
		}
		_ = e.Restart() // fails only when the port was taken or the engine closed
	}
}

// Crashes returns how often a marked request has killed the engine.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Faults returns the current faults.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Runs returns the counts by fingerprint.
func (e *Engine) Runs() map[string]RunCount {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]RunCount, len(e.runs))
	for f, c := range e.runs {
		copied := *c
		copied.IDs = slices.Clone(c.IDs)
		out[f] = copied
	}
	return out
}

// State returns what the engine holds.
func (e *Engine) State() port.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state
	s.Adapters = slices.Clone(s.Adapters)
	return s
}

// orderError is a refusal of an order.
type orderError struct {
	status int
	reason string
}

func (o *orderError) Error() string { return o.reason }

// Order accepts an order or refuses it. A repeated id is accepted without effect.
func (e *Engine) Order(o port.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.CheckFence {
		if o.Fence < e.state.Fence {
			return &orderError{http.StatusPreconditionFailed, fmt.Sprintf("fencing number %d is below %d", o.Fence, e.state.Fence)}
		}
		e.state.Fence = o.Fence
	}
	if o.ID != "" && o.ID == e.orderID {
		return nil
	}
	if e.state.Loading {
		return &orderError{http.StatusConflict, "another order is being carried out"}
	}
	var apply func(*port.EngineState)
	takes := e.opts.LoadTime.Std()
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
		takes = 0
		apply = func(s *port.EngineState) {
			s.Adapters = slices.DeleteFunc(s.Adapters, func(a string) bool { return a == o.Adapter })
		}
	case port.OrderSetRole:
		takes = 0
		apply = func(s *port.EngineState) { s.Role = o.Role }
	default:
		return &orderError{http.StatusBadRequest, "unknown kind of order"}
	}
	e.orderID = o.ID
	if takes <= 0 {
		e.carryOut(o, apply)
		return nil
	}
	e.state.Loading, e.replacing = true, o.Kind == port.OrderLoadModel
	life := e.life
	fired, release := e.opts.Clock.After(takes)
	go func() {
		defer release()
		select {
		case <-fired:
		case <-e.ctx.Done():
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.life == life {
			e.carryOut(o, apply)
		}
	}()
	return nil
}

func (e *Engine) carryOut(o port.Order, apply func(*port.EngineState)) {
	e.state.Loading, e.replacing = false, false
	apply(&e.state)
	if o.Kind == port.OrderLoadModel {
		e.cache.clear()
	}
}

// serves reports whether the engine holds the model or adapter of a request.
func (e *Engine) serves(model string) bool {
	return model == "" || model == e.state.Model || slices.Contains(e.state.Adapters, model)
}

// Fingerprints returns the sorted fingerprints of all runs.
func (e *Engine) Fingerprints() []string { return slices.Sorted(maps.Keys(e.Runs())) }
