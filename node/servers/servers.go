// Package servers tracks the backend servers that one instance uses.
//
// A Pool polls the platform's directory and each server's load, state and cache
// events. It keeps one Group per service with the routing table, the health of
// the servers, their concurrency limits, the admission queue and the retry
// budget. Each Group has one mutex that is held for a few microseconds per
// decision, less than a round trip to another goroutine costs.
package servers

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
	"github.com/jacinthnotch/jacinthnotch/domain/quarantine"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/metrics"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/policy/admission"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
	"github.com/jacinthnotch/jacinthnotch/policy/suspect"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	// DefaultPollInterval is the interval at which the directory is read. A leaving mark
	// must take effect within 3 s, even if one read runs into listTimeout.
	DefaultPollInterval = time.Second
	listTimeout         = time.Second
	// loadInterval is the interval at which load reports are read.
	// directedLoadInterval applies to servers whose batch work this instance
	// directs, because idle capacity must be filled within 100 ms.
	loadInterval         = 500 * time.Millisecond
	directedLoadInterval = 30 * time.Millisecond
	loadTimeout          = time.Second
	stateInterval        = 2 * time.Second
	eventsInterval       = time.Second
	// maxMissedListings is the number of consecutive listings without a server
	// after which it is removed. The list lags and can be wrong for a while.
	maxMissedListings = 3
	// defaultSlots is the assumed number of slots of a model server until its first
	// load report. plainSlots is that of a plain server, which reports no load.
	defaultSlots = 16
	plainSlots   = 64
	defaultQueue = 500
)

// Quarantine is the fleet-wide registry of requests that crash servers.
type Quarantine interface {
	// Verdict returns whether and how a request may run.
	Verdict(fingerprint []byte) quarantine.Verdict
	// Report records a crash and returns after the record has been read back from the log.
	Report(ctx context.Context, r suspect.CrashReport) error
	// RanAlone records that a suspect request completed without others on its
	// server. It must not block.
	RanAlone(fingerprint []byte)
}

// BatchAssignment reports which servers' batch work this instance directs.
type BatchAssignment interface {
	Directs(server string) bool
}

// RequestObserver is notified of online requests to model servers.
type RequestObserver interface {
	// RequestSent is called before the request is sent and must not block. tokens
	// is the sum of the prompt tokens and the expected output tokens.
	RequestSent(server string, tokens int)
	// RequestEnded is called when the attempt has ended.
	RequestEnded(server string)
}

// Options configure a Pool. Directory and Document are required, and NewEngine or
// NewPlain for each kind of service in use.
type Options struct {
	Instance   string
	DataCentre string
	Directory  port.Directory
	// Document returns the configuration in effect, or nil.
	Document func() *config.Document
	// NewEngine and NewPlain return a client for the server at an address.
	NewEngine func(address string) port.Engine
	NewPlain  func(address string) port.PlainService
	// NewProbe returns a client that opens a new connection for each call.
	NewProbe func(address string) port.Engine
	// ProbePlain opens a new connection to a plain server.
	ProbePlain func(ctx context.Context, address string) error
	// Members returns the live instances for subsetting: each server is used by
	// InstancesPerServer instances, and each instance uses at least MinServers
	// servers of a service. If Members is nil or InstancesPerServer is zero, the
	// instance uses every server.
	Members            func() []route.Member
	InstancesPerServer int
	MinServers         int
	BatchAssignment    BatchAssignment
	Quarantine         Quarantine
	Audit              api.AuditSink
	Metrics            *metrics.Serving
	// PollInterval is the interval at which the directory is read, at most DefaultPollInterval.
	PollInterval time.Duration
	// MaxQueue limits the number of queued requests of a service.
	MaxQueue int
	Seed     uint64
}

// Server is one backend server.
type Server struct {
	ID, Service, Address, DataCentre string
	// Engine is nil for a server of a plain service, Plain for one of a model
	// service.
	Engine port.Engine
	Plain  port.PlainService
	probe  port.Engine

	group  *Group
	cancel context.CancelFunc
	// missedListings counts the consecutive listings without the server.
	missedListings int
}

// Pool holds the servers. It is safe for concurrent use.
type Pool struct {
	opts Options

	mu              sync.Mutex
	groups          map[string]*Group
	servers         map[string]*Server
	leavingMarks    map[string]bool // servers that members reported as leaving
	requestObserver RequestObserver
	onLoadReport    []func(server string, r port.LoadReport)
	batchStreams    func(server string) int

	suspects *suspects
}

// New returns a pool without servers.
func New(o Options) *Pool {
	if o.PollInterval <= 0 || o.PollInterval > DefaultPollInterval {
		o.PollInterval = DefaultPollInterval
	}
	if o.MaxQueue <= 0 {
		o.MaxQueue = defaultQueue
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewServing()
	}
	p := &Pool{opts: o, groups: map[string]*Group{}, servers: map[string]*Server{}, leavingMarks: map[string]bool{}}
	p.suspects = newSuspects(p)
	return p
}

// Metrics returns the counters.
func (p *Pool) Metrics() *metrics.Serving { return p.opts.Metrics }

// SetRequestObserver sets the observer of online requests. It must be called
// before Run.
func (p *Pool) SetRequestObserver(o RequestObserver) { p.requestObserver = o }

// OnLoadReport registers a function that is called with each load report. It must
// be called before Run.
func (p *Pool) OnLoadReport(f func(server string, r port.LoadReport)) {
	p.onLoadReport = append(p.onLoadReport, f)
}

// SetBatchStreams sets the function that returns the number of batch streams on a
// server known to this instance. f must not block. SetBatchStreams must be called
// before Run.
func (p *Pool) SetBatchStreams(f func(server string) int) { p.batchStreams = f }

// Run polls the directory until ctx is done. It returns after all its goroutines
// have returned.
func (p *Pool) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { p.runHealthChecks(ctx, &wg) })
	tick := time.NewTicker(p.opts.PollInterval)
	defer tick.Stop()
	failing := false
	for {
		list, err := p.list(ctx)
		if err == nil {
			p.Apply(ctx, list, &wg)
		}
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			klog.InfoS("server list availability changed", "available", !failing, "err", err)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *Pool) list(ctx context.Context) (port.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return p.opts.Directory.List(ctx)
}

// Apply updates the servers from a listing. The polling goroutines of new servers
// run in wg until ctx is done; with a nil wg none are started.
func (p *Pool) Apply(ctx context.Context, list port.Listing, wg *conc.WaitGroup) {
	doc := p.opts.Document()
	if doc == nil {
		return
	}
	used := p.subset(list.Servers)
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := map[string]bool{}
	for _, e := range list.Servers {
		service := doc.Services[e.Service]
		if service == nil || used != nil && !used[e.ID] {
			continue
		}
		seen[e.ID] = true
		s := p.servers[e.ID]
		if s != nil && (s.Address != e.Address || s.Service != e.Service) {
			p.remove(s)
			s = nil
		}
		if s == nil {
			s = p.add(ctx, e, service, wg)
		}
		s.missedListings = 0
		s.group.setLeaving(e.ID, e.Leaving || p.leavingMarks[e.ID])
	}
	for id, s := range p.servers {
		if seen[id] {
			continue
		}
		s.group.setLeaving(id, true)
		if s.missedListings++; s.missedListings >= maxMissedListings {
			p.remove(s)
			delete(p.leavingMarks, id)
		}
	}
}

// subset returns the servers that this instance uses, or nil for all.
func (p *Pool) subset(list []port.ServerEntry) map[string]bool {
	if p.opts.Members == nil || p.opts.InstancesPerServer <= 0 {
		return nil
	}
	byService := map[string][]string{}
	for _, e := range list {
		byService[e.Service] = append(byService[e.Service], e.ID)
	}
	members, used := p.opts.Members(), map[string]bool{}
	for _, ids := range byService {
		for _, id := range route.Subset(p.opts.Instance, members, ids, p.opts.InstancesPerServer, p.opts.MinServers) {
			used[id] = true
		}
		for _, id := range ids {
			if p.Directs(id) {
				used[id] = true
			}
		}
	}
	return used
}

// Directs reports whether this instance directs the server's batch work.
func (p *Pool) Directs(server string) bool {
	return p.opts.BatchAssignment != nil && p.opts.BatchAssignment.Directs(server)
}

// add is called with mu held.
func (p *Pool) add(ctx context.Context, e port.ServerEntry, service *config.Service, wg *conc.WaitGroup) *Server {
	g := p.groups[e.Service]
	if g == nil {
		g = newGroup(p, e.Service, service)
		p.groups[e.Service] = g
	}
	s := &Server{ID: e.ID, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre, group: g}
	ctx, s.cancel = context.WithCancel(ctx)
	if g.plain {
		s.Plain = p.opts.NewPlain(e.Address)
	} else {
		s.Engine = p.opts.NewEngine(e.Address)
		if s.probe = s.Engine; p.opts.NewProbe != nil {
			s.probe = p.opts.NewProbe(e.Address)
		}
	}
	p.servers[e.ID] = s
	g.add(s)
	if !g.plain && wg != nil {
		wg.Go(func() { p.pollServer(ctx, s) })
	}
	klog.InfoS("server added", "server", e.ID, "service", e.Service)
	return s
}

// remove is called with mu held.
func (p *Pool) remove(s *Server) {
	s.cancel()
	delete(p.servers, s.ID)
	s.group.remove(s.ID)
	klog.InfoS("server removed", "server", s.ID, "service", s.Service)
}

// MarkLeaving marks a server as leaving after a report from a member. The mark
// lasts until the server has been missing from maxMissedListings listings.
func (p *Pool) MarkLeaving(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leavingMarks[server] = true
	if s := p.servers[server]; s != nil {
		s.group.setLeaving(server, true)
	}
}

// Group returns the group of a service, or nil if there is none.
func (p *Pool) Group(service string) *Group {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.groups[service]
}

// Server returns a server, or nil if there is none.
func (p *Pool) Server(id string) *Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servers[id]
}

// Engines returns the servers of model services.
func (p *Pool) Engines() []*Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*Server
	for _, s := range p.servers {
		if s.Engine != nil {
			out = append(out, s)
		}
	}
	return out
}

// Group returns the server's group.
func (s *Server) Group() *Group { return s.group }

// Target is the service, model and adapter that serve a model name.
type Target struct{ Service, Model, Adapter string }

// Target resolves the name of a model or adapter. It returns false for an unknown
// name.
func (p *Pool) Target(name string) (Target, bool) {
	doc := p.opts.Document()
	if doc == nil {
		return Target{}, false
	}
	if m := doc.Models[name]; m != nil {
		return Target{Service: m.Service, Model: name}, true
	}
	if a := doc.Adapters[name]; a != nil && doc.Models[a.Model] != nil {
		return Target{Service: doc.Models[a.Model].Service, Model: a.Model, Adapter: name}, true
	}
	return Target{}, false
}

// Service returns the settings of a service, or nil if there is none.
func (p *Pool) Service(name string) *config.Service {
	if doc := p.opts.Document(); doc != nil {
		return doc.Services[name]
	}
	return nil
}

// Capacity returns the capacity settings of a model service.
func (p *Pool) Capacity(service string) *config.Capacity {
	if doc := p.opts.Document(); doc != nil {
		return doc.CapacityOf(service)
	}
	return nil
}

func (p *Pool) weight(workspace string) float64 {
	if doc := p.opts.Document(); doc != nil && doc.Workspaces[workspace] != nil {
		return float64(doc.Workspaces[workspace].Weight) / 100
	}
	return 1
}

func (p *Pool) audit(kind, service, server, cause, before, after string) {
	if p.opts.Audit != nil {
		p.opts.Audit.Record(&recordpb.Audit{Kind: kind, Cause: cause, Actor: "system", Instance: p.opts.Instance,
			Service: service, Server: server, Before: before, After: after})
	}
}

// newRand returns a random number generator seeded with seed and the FNV-1a hash of
// name. A seed of zero selects a random one.
func newRand(seed uint64, name string) *rand.Rand {
	h := uint64(14695981039346656037)
	for _, b := range []byte(name) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, h))
}

func newLimiter(slots int) *admission.Limiter {
	return admission.NewLimiter(admission.LimiterOptions{Initial: max(1, slots/3), Max: max(1, slots)})
}
