// Package development runs a complete fleet in one process on the loopback
// interface: instances with a configuration, and stand-ins for the platform and the
// backend servers. It is used by the development mode of jacinthnotchd and by tests.
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
	// plainServersPerService is the number of servers of each plain service.
	plainServersPerService = 2
	readyPoll              = 5 * time.Millisecond
)

// Options describe the fleet.
type Options struct {
	// Listen is the callers' address of the first instance. Its operator listener
	// has the next port, and the other instances have the ports after that. If it is
	// empty or has port 0, the system chooses all ports.
	Listen string
	// Instances and Servers are the numbers of instances and model servers.
	Instances int
	Servers   int
	// Document is the configuration. If it is empty, KeylessSample is used, so that no
	// keys are required.
	Document string
	// Engine holds the options of the model servers, except Model, Version and
	// Adapters, which come from the document. Nil means those of a small deployment.
	Engine *engine.Options
	// Platform holds the options of the stand-ins for the platform. Nil means those
	// of a small deployment.
	Platform *local.Options
	// DrainLag and DrainLimit replace the defaults of the settings if positive.
	DrainLag, DrainLimit time.Duration
	// Membership replaces the defaults of the membership protocol if not nil.
	Membership *member.Config
}

// Fleet is a running fleet.
type Fleet struct {
	// partitions is the number of partitions in the configuration.
	partitions int

	Standins *local.Set
	// Engines and PlainServers are the backend servers by their id in the directory.
	Engines      map[string]*engine.Engine
	PlainServers map[string]*plain.Service

	opts Options
	// wg counts the instances that have not ended.
	wg conc.WaitGroup
	// failed receives the error of the first instance that fails.
	failed chan error

	mu      sync.Mutex
	members []*Member
}

// Member is one instance of the fleet.
type Member struct {
	*instance.Instance
	Name string
	// Done is closed when the instance has ended. Err is set before that.
	Done chan struct{}
	Err  error
}

// KeylessSample returns the sample document without its workspaces. Without
// workspaces no keys are required on the loopback interface.
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

// Start starts a fleet. It does not wait until the fleet is ready; see WaitReady.
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
	platform := local.DevelopmentOptions(0, 0)
	if o.Platform != nil {
		platform = *o.Platform
	}
	// The fleet starts the backend servers itself, according to the document.
	platform.Engines, platform.Plains = 0, 0
	standins, err := local.Start(platform)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Standins: standins, opts: o, failed: make(chan error, 1), Engines: map[string]*engine.Engine{}, PlainServers: map[string]*plain.Service{}}
	if err := f.start(doc); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(doc *config.Document) error {
	if err := f.writeConfig(); err != nil {
		return err
	}
	if err := f.startEngines(doc); err != nil {
		return err
	}
	if err := f.startPlainServers(doc); err != nil {
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
		return "", "", fmt.Errorf("development: %q is not a loopback address and port such as 127.0.0.1:8080, which is required because callers need no keys", listen)
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

// writeConfig appends the document to the configuration stream before any instance
// starts.
func (f *Fleet) writeConfig() error {
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

// startEngines starts the model servers and assigns the models to them in turn. The
// servers differ in speed, as they do in a deployment.
func (f *Fleet) startEngines(doc *config.Document) error {
	base := local.DevelopmentOptions(0, 0).Engine
	if f.opts.Engine != nil {
		base = *f.opts.Engine
	}
	var models []string
	for _, service := range sortedKeys(doc.Services) {
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

func (f *Fleet) startPlainServers(doc *config.Document) error {
	for _, service := range sortedKeys(doc.Services) {
		if doc.Services[service].Kind != config.ServiceKindPlain {
			continue
		}
		for n := range plainServersPerService {
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

// dataCentre returns the data centre of the n-th server or instance, one of three
// in turn.
func dataCentre(n int) string { return fmt.Sprintf("dc-%d", n%3+1) }

// AddInstance starts an instance that listens on the given addresses, and adds it to
// the directory.
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
	f.Standins.AddInstance(name, i.PeerAddress(), s.DataCentre, int(s.Weight), 0)
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
		var notReady string
		for _, m := range f.Members() {
			select {
			case <-m.Done:
				return fmt.Errorf("development: %s ended: %w", m.Name, m.Err)
			default:
			}
			if ok, reason := m.Ready(); !ok {
				notReady = m.Name + ": " + reason
			}
		}
		if notReady == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("development: %w, not ready: %s", ctx.Err(), notReady)
		case <-ticker.C:
		}
	}
}

// WaitPartitionsOwned waits until every partition has an owner or ctx ends. Instances that
// start at the same time may briefly disagree about the owner of a partition.
func (f *Fleet) WaitPartitionsOwned(ctx context.Context) error {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for {
		owned := map[int]bool{}
		for _, m := range f.Members() {
			for _, p := range m.OwnedPartitions() {
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

// Close kills all instances, without draining them, and then the stand-ins.
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

// StandinNames returns the names of the stand-ins for the platform and for the
// backend servers.
func (f *Fleet) StandinNames() []string {
	return slices.Concat([]string{"log", "list", "weights"}, sortedKeys(f.Engines), sortedKeys(f.PlainServers))
}

// StandinAddress returns the address of the stand-in with the given name, or "" if
// there is none.
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

// Failed returns a channel that receives the error of the first instance that fails.
func (f *Fleet) Failed() <-chan error { return f.failed }

func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
