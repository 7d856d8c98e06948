// Package local starts a set of stand-ins in one process on the loopback interface, for the
// development mode and for tests.
package local

import (
	"fmt"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/standin/engine"
	"github.com/jacinthnotch/jacinthnotch/standin/list"
	"github.com/jacinthnotch/jacinthnotch/standin/log"
	"github.com/jacinthnotch/jacinthnotch/standin/plain"
	"github.com/jacinthnotch/jacinthnotch/standin/weights"
)

// Defaults of Options.
const (
	DefaultEngineService = "model"
	DefaultPlainService  = "plain"
	loopback             = "127.0.0.1:0"
)

// DefaultSpeeds are unequal, because the servers of a deployment differ in speed.
var DefaultSpeeds = []float64{1, 0.6, 1.5, 0.8}

// Options configures a Set. The zero value starts one log, one list and one weight store
// without limits or delays, and no servers.
type Options struct {
	// Engines and Plains are the numbers of model engines and plain servers.
	Engines int
	Plains  int
	// EngineService and PlainService are the services of the servers on the list.
	EngineService string
	PlainService  string
	// Speeds are factors of the engines' rates, assigned to the engines in turn.
	Speeds []float64
	// DataCentres are assigned to the servers in turn; the default is dc-1.
	DataCentres []string

	Log     log.Options
	List    list.Options
	Weights weights.Options
	Engine  engine.Options
	Plain   plain.Options
}

// Set is a running set of stand-ins. Faults are injected through its fields.
type Set struct {
	Log     *log.Log
	List    *list.List
	Weights *weights.Store
	Engines []*engine.Engine
	Plains  []*plain.Service
	// EngineIDs and PlainIDs are the ids on the list, by index.
	EngineIDs []string
	PlainIDs  []string
}

// DevelopmentOptions returns options with the rates and limits of a small deployment.
func DevelopmentOptions(engines, plains int) Options {
	return Options{
		Engines: engines, Plains: plains,
		Log:     log.Options{Rate: 400, Burst: 100},
		Weights: weights.Options{Rate: 0.2, Burst: 2, ModelBytes: 16e9, AdapterBytes: 2e8},
		Engine:  engine.Options{Model: "model-a", Version: "1", PrefillRate: 8000, DecodeRate: 60, BatchCost: 0.02, CheckFence: true},
	}
}

// Start starts a set and adds its servers to the list. Close stops it.
func Start(o Options) (*Set, error) {
	if o.EngineService == "" {
		o.EngineService = DefaultEngineService
	}
	if o.PlainService == "" {
		o.PlainService = DefaultPlainService
	}
	if len(o.Speeds) == 0 {
		o.Speeds = DefaultSpeeds
	}
	if len(o.DataCentres) == 0 {
		o.DataCentres = []string{"dc-1"}
	}
	s := &Set{
		Log:     log.New(o.Log, log.Faults{}),
		List:    list.New(o.List, list.Faults{}),
		Weights: weights.New(o.Weights, weights.Faults{}),
	}
	if err := s.start(o); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Set) start(o Options) error {
	for _, start := range []func(string) error{s.Log.Start, s.List.Start, s.Weights.Start} {
		if err := start(loopback); err != nil {
			return err
		}
	}
	for i := range o.Engines {
		opts, speed := o.Engine, o.Speeds[i%len(o.Speeds)]
		opts.PrefillRate *= speed
		opts.DecodeRate *= speed
		e := engine.New(opts, engine.Faults{})
		s.Engines = append(s.Engines, e)
		if err := e.Start(loopback); err != nil {
			return err
		}
		id := fmt.Sprintf("engine-%d", i+1)
		s.EngineIDs = append(s.EngineIDs, id)
		s.addServer(o, i, id, o.EngineService, e.Addr())
	}
	for i := range o.Plains {
		opts, id := o.Plain, fmt.Sprintf("plain-%d", i+1)
		opts.Name = id
		p := plain.New(opts, plain.Faults{})
		s.Plains = append(s.Plains, p)
		if err := p.Start(loopback); err != nil {
			return err
		}
		s.PlainIDs = append(s.PlainIDs, id)
		s.addServer(o, i, id, o.PlainService, p.Addr())
	}
	return nil
}

// addServer adds the server with index i among those of its service to the list.
func (s *Set) addServer(o Options, i int, id, service, addr string) {
	s.List.SetServer(port.ServerEntry{
		ID: id, Service: service, Address: addr, DataCentre: o.DataCentres[i%len(o.DataCentres)],
	}, 0)
}

// AddInstance adds an instance to the list. With a ttl of zero it does not expire.
func (s *Set) AddInstance(id, peerAddress, dataCentre string, weight int, ttl time.Duration) {
	s.List.SetInstance(port.InstanceEntry{ID: id, PeerAddress: peerAddress, DataCentre: dataCentre, Weight: weight}, ttl)
}

// MarkLeaving marks a server on the list as leaving. It returns false if the server is not
// visible there.
func (s *Set) MarkLeaving(id string) bool {
	for _, e := range s.List.Visible().Servers {
		if e.ID == id {
			e.Leaving = true
			s.List.SetServer(e, 0)
			return true
		}
	}
	return false
}

// Close stops all stand-ins and resets their connections.
func (s *Set) Close() {
	s.Log.Kill()
	s.List.Kill()
	s.Weights.Kill()
	for _, e := range s.Engines {
		e.Close()
	}
	for _, p := range s.Plains {
		p.Kill()
	}
}
