package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/entry"
	"github.com/jacinthnotch/jacinthnotch/node/inference"
	"github.com/jacinthnotch/jacinthnotch/node/plain"
	"github.com/jacinthnotch/jacinthnotch/node/servers"
	"github.com/jacinthnotch/jacinthnotch/node/settings"
)

const (
	// entryEngines is the number of stand-in engines and entryCallers the number of
	// concurrent callers. tokenGap is the time between two tokens of a stream; it is
	// long enough that one read does not return several tokens.
	entryEngines = 4
	entryCallers = 16
	tokenGap     = 4 * time.Millisecond
	// callerTimeout limits one request and its response.
	callerTimeout = 30 * time.Second
)

// listingBytes returns the size of one response of the platform's list, with the headers
// of HTTP, TCP and IP.
func listingBytes(address string) (float64, error) {
	resp, err := http.Get("http://" + address + "/v1/listing")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	const headers = 200
	return float64(n) + headers + exchangeHeaderBytes, err
}

type fixedView struct{ view *api.View }

func (v fixedView) View() *api.View { return v.view }

// alwaysReady is the status of an instance that is ready and not draining.
type alwaysReady struct{}

func (alwaysReady) Ready() (bool, string) { return true, "" }
func (alwaysReady) Draining() bool        { return false }

// noCalls refuses keyed calls, which these measurements do not make.
type noCalls struct{}

func (noCalls) Begin(context.Context, api.BeginRequest) (api.BeginResult, error) {
	return api.BeginResult{}, errors.New("no keyed calls here")
}

func (noCalls) Finish(context.Context, api.FinishRequest) (api.CallResult, error) {
	return api.CallResult{}, errors.New("no keyed calls here")
}

func (noCalls) Lookup(context.Context, string, string) (api.BeginResult, error) {
	return api.BeginResult{}, errors.New("no keyed calls here")
}

// entryInstance is the caller entry of one instance with stand-in engines behind it.
type entryInstance struct {
	engines *engines
	server  *entry.Server
	address string
	stop    func()
}

func startEntry() (*entryInstance, error) {
	e, err := startEngines()
	if err != nil {
		return nil, err
	}
	p, conns := e.newPool(entryEngines, servers.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { p.Run(ctx) })
	view := &api.View{Revision: 1, Services: map[string]api.Service{serviceName: {Name: serviceName, Kind: api.ServiceModel}},
		Models: map[string]api.Model{modelName: {Name: modelName, Service: serviceName}}, Limits: api.Limits{MaxBodyBytes: 1 << 20}}
	s := entry.New(entry.Options{Calls: noCalls{}, Inference: inference.New(p), Plain: plain.New(p), Config: fixedView{view},
		Status: alwaysReady{}, Limits: entry.LimitsOf(settings.Default()), Loopback: true})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cancel()
		return nil, err
	}
	wg.Go(func() { _ = s.Serve(ln) })
	g := &entryInstance{engines: e, server: s, address: ln.Addr().String(), stop: func() {
		shut, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		_ = s.Shutdown(shut)
		cancel()
		wg.Wait()
		conns.Close()
		e.close()
	}}
	return g, waitUntil(5*time.Second, func() bool {
		g := p.Group(serviceName)
		if g == nil {
			return false
		}
		for i := range entryEngines {
			if !g.Available(serverID(i)) {
				return false
			}
		}
		return e.polls.Load() > 4*entryEngines
	})
}

// dialCallers opens n connections. The i-th one goes to address(i).
func dialCallers(n int, address func(i int) string) ([]net.Conn, error) {
	out := make([]net.Conn, n)
	for i := range out {
		var err error
		if out[i], err = net.Dial("tcp", address(i)); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// cpuPerRequest sends n requests in sequence on each connection and returns the mean
// processor time of a request, in seconds.
func cpuPerRequest(conns []net.Conn, stream bool, n int) (float64, error) {
	req := chatRequest(stream)
	errs := make([]error, len(conns))
	spent := cpuSeconds(func() {
		var wg sync.WaitGroup
		for i, c := range conns {
			wg.Go(func() {
				r := bufio.NewReader(c)
				for range n {
					// A lost response must end the run with an error.
					_ = c.SetDeadline(time.Now().Add(callerTimeout))
					if errs[i] = roundTrip(c, r, req); errs[i] != nil {
						return
					}
				}
			})
		}
		wg.Wait()
	})
	return spent / float64(len(conns)*n), errors.Join(errs...)
}

// measureEntry sends requests of several lengths through the entry. It also sends them
// directly to the stand-in engines and subtracts that processor time.
func measureEntry(f *Figures, quick bool) error {
	g, err := startEntry()
	if err != nil {
		return err
	}
	defer g.stop()
	direct, err := dialCallers(entryCallers, func(i int) string { return g.engines.address(i % entryEngines) })
	if err != nil {
		return err
	}
	through, err := dialCallers(entryCallers, func(int) string { return g.address })
	if err != nil {
		return err
	}
	defer func() {
		for _, c := range append(direct, through...) {
			_ = c.Close()
		}
	}()
	g.engines.gap.Store(int64(tokenGap))
	lengths, n := []int{8, 64, 192}, 4
	if quick {
		lengths, n = []int{8, 32}, 1
	}
	for _, stream := range []bool{false, true} {
		for _, tokens := range lengths {
			g.engines.tokens.Store(int64(tokens))
			for _, conns := range [][]net.Conn{direct, through} { // warm up
				if _, err := cpuPerRequest(conns, stream, 1); err != nil {
					return err
				}
			}
			// An instance always requests a stream from the engine.
			baseline, err := cpuPerRequest(direct, true, n)
			if err != nil {
				return err
			}
			all, err := cpuPerRequest(through, stream, n)
			if err != nil {
				return err
			}
			f.Entry = append(f.Entry, EntryRow{Stream: stream, Tokens: tokens, CPU: all - baseline})
		}
	}
	// A new instance has not adapted its concurrency limits to the load above.
	fresh, err := startEntry()
	if err != nil {
		return err
	}
	defer fresh.stop()
	f.StreamBytes, err = fresh.streamMemory()
	return err
}

// streamMemory returns the memory that one open stream takes in the instance. The memory
// of a stream that goes directly to an engine is subtracted.
func (g *entryInstance) streamMemory() (float64, error) {
	const streams = 64
	g.engines.gap.Store(0)
	g.engines.tokens.Store(2)
	bytesPerStream := func(address func(int) string) (float64, error) {
		before := liveBytes()
		conns, err := dialCallers(streams, address)
		if err != nil {
			return 0, err
		}
		g.engines.paused.Store(true)
		var wg sync.WaitGroup
		for _, c := range conns {
			// The result does not matter: only the memory of open streams is measured.
			wg.Go(func() { _ = roundTrip(c, bufio.NewReader(c), chatRequest(true)) })
		}
		// The instance's concurrency limit may let fewer streams run. The memory of the
		// waiting ones is then divided among the running ones, so that the figure is an
		// upper bound.
		_ = waitUntil(time.Second, func() bool { return g.engines.running.Load() >= streams })
		open := g.engines.running.Load()
		taken := liveBytes() - before
		g.engines.paused.Store(false)
		for _, c := range conns {
			_ = c.SetDeadline(time.Now().Add(time.Second))
		}
		wg.Wait()
		for _, c := range conns {
			_ = c.Close()
		}
		if open < streams/4 {
			return 0, fmt.Errorf("%d of %d streams are open", open, streams)
		}
		return taken / float64(open), nil
	}
	through, err := bytesPerStream(func(int) string { return g.address })
	if err != nil {
		return 0, err
	}
	_ = waitUntil(2*time.Second, func() bool { return g.engines.running.Load() == 0 })
	direct, err := bytesPerStream(func(i int) string { return g.engines.address(i % entryEngines) })
	return through - direct, err
}
