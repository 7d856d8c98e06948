// Package placement makes the engines of model services load the models and adapters,
// and take the roles, that the configuration specifies.
//
// A Controller runs one planner (package domain/placement) for each model service
// whose placement partition this instance owns. The partition's epoch is the fencing
// number of the orders. A planner's runner ends when the partition is lost or its epoch
// has changed. It sends orders only for a short time after a record under its epoch
// was read back.
//
// The answer to an order is not conclusive; the state of the engine is read back.
// Before an order that fetches weights, a reservation is made at the weight store. If
// it is refused, the order is not sent.
package placement

import (
	"context"
	"expvar"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
	"github.com/jacinthnotch/jacinthnotch/domain/ident"
	"github.com/jacinthnotch/jacinthnotch/domain/placement"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

const (
	// partitionWorkspace takes the place of a workspace's name when a service is mapped
	// to the partition whose owner controls its placement.
	partitionWorkspace = "placement"
	// planInterval is the interval at which placements are planned and runners are
	// started and stopped.
	planInterval = time.Second
	// listInterval is the interval at which the platform's list is read.
	listInterval = 2 * time.Second
	listTimeout  = time.Second
	// maxMissedListings is the number of consecutive listings without a server after
	// which it counts as removed. Otherwise a list that is wrong for a short time would
	// move models to other servers.
	maxMissedListings = 3
	// stateTimeout limits one read of an engine's state.
	stateTimeout = 2 * time.Second
)

// counters holds the counters of all instances of the process: those of the planners,
// and those counted in this package.
var counters = expvar.NewMap("placement")

// Owner reports which partitions this instance owns; *owner.Manager implements it.
type Owner interface {
	// Owned returns the partitions that this instance owns.
	Owned() []int
	// Confirm appends a record under the partition's epoch and returns the epoch after
	// the record was read back. held is false if this instance does not own the
	// partition or the record was not read back before ctx ended.
	Confirm(ctx context.Context, partition int) (epoch uint64, held bool)
}

// Options configure a Controller. All but Leaving and Audit are required.
type Options struct {
	Instance   string
	Partitions int
	Owner      Owner
	// Document returns the configuration in effect, or nil if there is none yet.
	Document  func() *config.Document
	Directory port.Directory
	NewEngine func(address string) port.Engine
	Weights   port.WeightStore
	// Leaving reports whether the members know a leaving mark of a server, in addition
	// to the marks in the platform's list. It may be nil.
	Leaving  func(server string) bool
	Audit    api.AuditSink
	Settings placement.Settings
}

// Controller controls the placement of the services whose partitions this instance owns.
type Controller struct {
	opts       Options
	runners    map[string]*runner
	servers    map[string]*listedServer
	listReadAt time.Time
}

// listedServer is a server of the platform's list. missed is the number of
// consecutive listings without it.
type listedServer struct {
	port.ServerEntry
	engine port.Engine
	missed int
}

// New returns a Controller that does nothing until Run is called.
func New(o Options) *Controller {
	return &Controller{opts: o, runners: map[string]*runner{}, servers: map[string]*listedServer{}}
}

// Partition returns the partition whose owner controls a service's placement.
func Partition(service string, partitions int) int {
	return ident.KeyPartition(partitionWorkspace, service, partitions)
}

// Run controls placements until ctx ends. It returns after all its goroutines have
// ended.
func (c *Controller) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		c.reconcile(ctx, &wg)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// reconcile starts a runner for each model service in the partitions that this instance
// owns, cancels the other runners, and passes each runner the servers of its service.
func (c *Controller) reconcile(ctx context.Context, wg *conc.WaitGroup) {
	doc := c.opts.Document()
	if doc == nil {
		return
	}
	owned := c.opts.Owner.Owned()
	for name, r := range c.runners {
		s := doc.Services[name]
		if s == nil || s.Kind != config.ServiceKindModel || !slices.Contains(owned, r.partition) {
			r.cancel()
		}
		if r.ended() {
			delete(c.runners, name)
		}
	}
	for name, s := range doc.Services {
		p := Partition(name, c.opts.Partitions)
		if s.Kind == config.ServiceKindModel && c.runners[name] == nil && slices.Contains(owned, p) {
			r := newRunner(ctx, c.opts, name, p)
			c.runners[name] = r
			wg.Go(r.run)
		}
	}
	if len(c.runners) == 0 {
		return
	}
	if now := time.Now(); now.Sub(c.listReadAt) >= listInterval {
		c.listReadAt = now
		c.readList(ctx)
	}
	for name, r := range c.runners {
		r.setTargets(c.targetsOf(name))
	}
}

// readList reads the platform's list. If that fails, the previous list remains in use.
func (c *Controller) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := c.opts.Directory.List(ctx)
	if err != nil {
		counters.Add("lists_failed", 1)
		return
	}
	seen := map[string]bool{}
	for _, e := range listing.Servers {
		seen[e.ID] = true
		l := c.servers[e.ID]
		if l == nil || l.Address != e.Address {
			l = &listedServer{engine: c.opts.NewEngine(e.Address)}
			c.servers[e.ID] = l
		}
		l.ServerEntry, l.missed = e, 0
	}
	for id, l := range c.servers {
		if seen[id] {
			continue
		}
		if l.missed++; l.missed >= maxMissedListings {
			delete(c.servers, id)
			klog.InfoS("server removed from placement", "server", id, "service", l.Service)
		}
	}
}

func (c *Controller) targetsOf(service string) map[string]target {
	out := map[string]target{}
	for id, l := range c.servers {
		if l.Service == service {
			out[id] = target{engine: l.engine, leaving: l.Leaving || c.opts.Leaving != nil && c.opts.Leaving(id)}
		}
	}
	return out
}
