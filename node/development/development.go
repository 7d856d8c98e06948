// Package development runs a whole fleet in one process on the loopback
// interface: instances, the stand-ins for the platform and backend servers, and
// a configuration in force. It is for trying the product out and for tests.
package development

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
	"github.com/jacinthnotch/jacinthnotch/domain/member"
	"github.com/jacinthnotch/jacinthnotch/domain/record"
	"github.com/jacinthnotch/jacinthnotch/node/follower"
	"github.com/jacinthnotch/jacinthnotch/node/instance"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/settings"
	"github.com/jacinthnotch/jacinthnotch/standin/engine"
	"github.com/jacinthnotch/jacinthnotch/standin/local"
	"github.com/jacinthnotch/jacinthnotch/standin/plain"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	loopback = "127.0.0.1:0"
	// plainServers is the number of servers of each plain service.
	plainServers = 2
	readyPoll    = 5 * time.Millisecond
)

// Options describe the fleet.
type Options struct {
	// Listen is the callers' address of the first instance. The operators'
	// listener has the next port and the other instances those after that. Empty
	// or with port 0 all ports are free ones.
	Listen string
	// Instances and Servers are the numbers of instances and model servers.
	Instances int
	Servers   int
	// Document is the configuration; the sample without workspaces when empty, so
	// that no keys are asked for.
	Document string
	// Engine holds the properties of the model servers; Model and Version are set
	// from the document. The properties of a small deployment when nil.
	Engine *engine.Options
	// Platform holds the properties of the platform's stand-ins; those of a small
	// deployment when nil.
	Platform *local.Options
	// DrainLag and DrainLimit replace the settings' defaults when positive.
	DrainLag, DrainLimit time.Duration
	// Membership replaces the constants of the membership protocol.
	Membership *member.Config
}

// Fleet is a running fleet.
type Fleet struct {
	partitions int

	Standins *local.Set
	// Engines and Plains are the backend servers by the name on the list.
	Engines      map[string]*engine.Engine
	PlainServers map[string]*plain.Service

	opts   Options
	wg     conc.WaitGroup
	failed chan error

	mu      sync.Mutex
	members []*Member
}

// Member is one instance of the fleet.
type Member struct {
	*instance.Instance
	Name string
	// Done is closed when the instance has ended, with Err set before.
	Done chan struct{}
	Err  error
}

// KeylessSample returns the sample document without its workspaces. Without any
// workspace no keys are asked for on the loopback interface.
func KeylessSample() (string, error) {
	texts, err := config.SplitSections(config.Sample)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	for _, t := range texts {
		if !strings.HasPrefix(t.Section, string(config.KindWorkspace)+".") {
			b.WriteString(t.Content + "\n")
		}
	}
	return b.String(), nil
}

// Start starts the fleet. It does not wait for it to be ready; see Wait.
func Start(o Options) (*Fleet, error) {
	if o.Document == "" {
		text, err := KeylessSample()
		if err != nil {
			return nil, err
		}
		o.Document = text
	}
	doc, _, err := config.Parse(o.Document)
	if err != nil {
		return nil, err
	}
	standins := local.Development(0, 0)
	if o.Platform != nil {
		standins = *o.Platform
	}
	standins.Engines, standins.Plains = 0, 0
	set, err := local.Start(standins)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Standins: set, opts: o, failed: make(chan error, 1), Engines: map[string]*engine.Engine{}, PlainServers: map[string]*plain.Service{}}
	if err := f.start(doc); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(doc *config.Document) error {
	if err := f.publish(); err != nil {
		return err
	}
	if err := f.startEngines(doc); err != nil {
		return err
	}
	if err := f.startPlains(doc); err != nil {
		return err
	}
	for n := range f.opts.Instances {
		callers, operator, err := addresses(f.opts.Listen, n)
		if err != nil {
			return err
		}
		if _, err := f.AddInstance(callers, operator); err != nil {
			return err
		}
	}
	return nil
}

// addresses returns the callers' and the operators' address of the n-th instance.
func addresses(listen string, n int) (callers, operator string, err error) {
	if listen == "" {
		return loopback, loopback, nil
	}
	a, err := netip.ParseAddrPort(listen)
	if err != nil || !a.Addr().IsLoopback() {
		return "", "", fmt.Errorf("development: %q is not a loopback address and port such as 127.0.0.1:8080; no keys are asked for here", listen)
	}
	if a.Port() == 0 {
		return listen, listen, nil
	}
	first := int(a.Port()) + 2*n
	if first+1 > math.MaxUint16 {
		return "", "", fmt.Errorf("development: no port is left after %s for instance %d", listen, n+1)
	}
	return netip.AddrPortFrom(a.Addr(), uint16(first)).String(), netip.AddrPortFrom(a.Addr(), uint16(first+1)).String(), nil
}

// publish writes the document to the stream before any instance starts.
func (f *Fleet) publish() error {
	entries, err := config.ImportEntries(f.opts.Document, "development", "development", time.Now().UnixMilli())
	if err != nil {
		return err
	}
	payload, err := record.Encode(&recordpb.Batch{Instance: "development", Entries: entries})
	if err != nil {
		return err
	}
	f.Standins.Log.Put(follower.Stream, payload)
	return nil
}

// startEngines divides the model servers among the models in turn. The servers
// differ in speed, as they do in a deployment.
func (f *Fleet) startEngines(doc *config.Document) error {
	base := local.Development(0, 0).Engine
	if f.opts.Engine != nil {
		base = *f.opts.Engine
	}
	var models []string
	for _, service := range sorted(doc.Services) {
		models = append(models, doc.ModelsOf(service)...)
	}
	if len(models) == 0 {
		return errors.New("development: the configuration has no model")
	}
	for n := range f.opts.Servers {
		name := models[n%len(models)]
		m := doc.Models[name]
		o := base
		o.Model, o.Version, o.Adapters = name, m.Version, m.Adapters
		o.CheckFence = doc.Services[m.Service].Fencing == config.FencingChecked
		speed := local.DefaultSpeeds[n%len(local.DefaultSpeeds)]
		o.PrefillRate *= speed
		o.DecodeRate *= speed
		e := engine.New(o, engine.Faults{})
		id := fmt.Sprintf("engine-%d", n+1)
		f.Engines[id] = e
		if err := e.Start(loopback); err != nil {
			return err
		}
		f.Standins.List.SetServer(port.ServerEntry{ID: id, Service: m.Service, Address: e.Addr(), DataCentre: dataCentre(n)}, 0)
	}
	return nil
}

func (f *Fleet) startPlains(doc *config.Document) error {
	for _, service := range sorted(doc.Services) {
		if doc.Services[service].Kind != config.ServiceKindPlain {
			continue
		}
		for n := range plainServers {
			id := fmt.Sprintf("%s-%d", service, n+1)
			p := plain.New(plain.Options{Name: id}, plain.Faults{})
			f.PlainServers[id] = p
			if err := p.Start(loopback); err != nil {
				return err
			}
			f.Standins.List.SetServer(port.ServerEntry{ID: id, Service: service, Address: p.Addr(), DataCentre: dataCentre(n)}, 0)
		}
	}
	return nil
}

// dataCentre spreads servers and instances over three data centres.
func dataCentre(n int) string { return fmt.Sprintf("dc-%d", n%3+1) }

// AddInstance starts one more instance on the addresses of its listeners and enters it
// on the list.
func (f *Fleet) AddInstance(callers, operator string) (*Member, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.members)
	name := fmt.Sprintf("instance-%d", n+1)
	s := settings.Default()
	s.Instance, s.DataCentre = name, dataCentre(n)
	s.Listen = settings.Listen{Callers: callers, Operator: operator, Peer: loopback}
	s.Platform.Log, s.Platform.List = "http://"+f.Standins.Log.Addr(), "http://"+f.Standins.List.Addr()
	s.Platform.Weights = "http://" + f.Standins.Weights.Addr()
	if f.opts.DrainLag > 0 {
		s.DrainLag = settings.Duration(f.opts.DrainLag)
	}
	if f.opts.DrainLimit > 0 {
		s.DrainLimit = settings.Duration(f.opts.DrainLimit)
	}
	doc, _, err := config.Parse(f.opts.Document)
	if err != nil {
		return nil, err
	}
	s.Partitions = int64(doc.Fleet.Partitions)
	f.partitions = int(s.Partitions)
	i, err := instance.New(instance.Options{Settings: s, Membership: f.opts.Membership})
	if err != nil {
		return nil, err
	}
	m := &Member{Instance: i, Name: name, Done: make(chan struct{})}
	f.members = append(f.members, m)
	f.Standins.EnterInstance(name, i.PeerAddress(), s.DataCentre, int(s.Weight), 0)
	f.wg.Go(func() {
		m.Err = i.Run()
		f.Standins.List.RemoveInstance(name)
		if m.Err != nil {
			select {
			case f.failed <- m.Err:
			default:
			}
		}
		close(m.Done)
	})
	return m, nil
}

// Members returns the instances in order of their start, ended ones included.
func (f *Fleet) Members() []*Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Member(nil), f.members...)
}

// WaitReady waits until every instance is ready, one has failed or ctx ends.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for {
		var waiting string
		for _, m := range f.Members() {
			select {
			case <-m.Done:
				return fmt.Errorf("development: %s ended: %w", m.Name, m.Err)
			default:
			}
			if ok, reason := m.Ready(); !ok {
				waiting = m.Name + ": " + reason
			}
		}
		if waiting == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("development: %w, not ready: %s", ctx.Err(), waiting)
		case <-ticker.C:
		}
	}
}

// WaitOwned waits until every partition has an owner or ctx ends. Instances that
// start together may disagree for a moment about who takes a partition.
func (f *Fleet) WaitOwned(ctx context.Context) error {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for {
		owned := map[int]bool{}
		for _, m := range f.Members() {
			for _, p := range m.Partitions() {
				owned[p] = true
			}
		}
		if len(owned) == f.partitions {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("development: %w, %d of %d partitions have an owner", ctx.Err(), len(owned), f.partitions)
		case <-ticker.C:
		}
	}
}

// Close ends all instances at once and then the stand-ins.
func (f *Fleet) Close() {
	for _, m := range f.Members() {
		m.Kill()
	}
	f.wg.Wait()
	for _, e := range f.Engines {
		e.Close()
	}
	for _, p := range f.PlainServers {
		p.Kill()
	}
	f.Standins.Close()
}

// StandinNames returns the names of the platform's stand-ins and of the backend
// servers.
func (f *Fleet) StandinNames() []string {
	return slices.Concat([]string{"log", "list", "weights"}, sorted(f.Engines), sorted(f.PlainServers))
}

// StandinAddress returns the address of a stand-in by its name, empty for none.
func (f *Fleet) StandinAddress(name string) string {
	switch name {
	case "log":
		return f.Standins.Log.Addr()
	case "list":
		return f.Standins.List.Addr()
	case "weights":
		return f.Standins.Weights.Addr()
	}
	if e := f.Engines[name]; e != nil {
		return e.Addr()
	}
	if p := f.PlainServers[name]; p != nil {
		return p.Addr()
	}
	return ""
}

// Failed delivers the error of the first instance that ends with one.
func (f *Fleet) Failed() <-chan error { return f.failed }

func sorted[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
