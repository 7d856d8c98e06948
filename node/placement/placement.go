// Package placement has the engines of model services hold what the
// configuration says.
//
// A Duty runs one planner (package domain/placement) for each model service
// whose placement partition this instance owns. The partition's epoch is the
// fencing number on orders. A runner ends when the partition is lost or its epoch
// has changed; it issues orders only for a short time after a record under its
// epoch was read back.
//
// The answer to an order is only a hint: what an engine holds is read back.
// Weights are reserved at the weight store before an order that fetches them; an
// order without a reservation is not sent.
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
	// Workspace is the workspace name under which a service's placement is
	// assigned to a partition.
	Workspace = "placement"
	// planEvery is the interval of plans and of looks at the owned partitions.
	planEvery = time.Second
	// listEvery is the interval at which the platform's list is read.
	listEvery   = 2 * time.Second
	listTimeout = time.Second
	// missingListings is after how many listings without it a server counts as
	// removed, since a list that is wrong for a while would move models.
	missingListings = 3
	// readTimeout bounds one read of an engine's state.
	readTimeout = 2 * time.Second
)

// counters are those of all instances of the process. reads_failed, not_sent and
// reservations_refused are counted here, the others by the planners.
var counters = expvar.NewMap("placement")

// Owner tells which partitions this instance holds; *owner.Manager implements it.
type Owner interface {
	// Owned returns the partitions that this instance holds.
	Owned() []int
	// Confirm returns the epoch of a partition after a record that was appended
	// under it since the call has been read back.
	Confirm(ctx context.Context, partition int) (epoch uint64, held bool)
}

// Options configure a Duty. All but Leaving and Audit are required.
type Options struct {
	Instance   string
	Partitions int
	Owner      Owner
	// Document returns the configuration in effect, or nil.
	Document  func() *config.Document
	Directory port.Directory
	NewEngine func(address string) port.Engine
	Weights   port.WeightStore
	// Leaving reports a leaving mark that members have passed on.
	Leaving  func(server string) bool
	Audit    api.AuditSink
	Settings placement.Settings
}

// Controller drives the placement of the services that this instance owns.
type Controller struct {
	opts    Options
	runners map[string]*runner
	list    map[string]*listed
	listAt  time.Time
}

// listed is a server of the platform's list. missing counts the listings in a
// row without it.
type listed struct {
	port.ServerEntry
	engine  port.Engine
	missing int
}

// New returns a duty that does nothing until Run.
func New(o Options) *Controller {
	return &Controller{opts: o, runners: map[string]*runner{}, list: map[string]*listed{}}
}

// Partition returns the partition whose owner places a service.
func Partition(service string, partitions int) int {
	return ident.KeyPartition(Workspace, service, partitions)
}

// Run places until ctx ends. It returns after all its goroutines have ended.
func (d *Controller) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(planEvery)
	defer tick.Stop()
	for {
		d.review(ctx, &wg)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// review starts and stops runners and gives them the servers.
func (d *Controller) review(ctx context.Context, wg *conc.WaitGroup) {
	doc := d.opts.Document()
	if doc == nil {
		return
	}
	owned := d.opts.Owner.Owned()
	for name, r := range d.runners {
		s := doc.Services[name]
		if s == nil || s.Kind != config.ServiceKindModel || !slices.Contains(owned, r.partition) {
			r.cancel()
		}
		if r.ended() {
			delete(d.runners, name)
		}
	}
	for name, s := range doc.Services {
		p := Partition(name, d.opts.Partitions)
		if s.Kind == config.ServiceKindModel && d.runners[name] == nil && slices.Contains(owned, p) {
			r := newRunner(ctx, d.opts, name, p)
			d.runners[name] = r
			wg.Go(r.run)
		}
	}
	if len(d.runners) == 0 {
		return
	}
	if now := time.Now(); now.Sub(d.listAt) >= listEvery {
		d.listAt = now
		d.read(ctx)
	}
	for name, r := range d.runners {
		r.setServers(d.serversOf(name))
	}
}

// read takes in the platform's list. Without an answer the last one stays.
func (d *Controller) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := d.opts.Directory.List(ctx)
	if err != nil {
		counters.Add("lists_failed", 1)
		return
	}
	seen := map[string]bool{}
	for _, e := range listing.Servers {
		seen[e.ID] = true
		l := d.list[e.ID]
		if l == nil || l.Address != e.Address {
			l = &listed{engine: d.opts.NewEngine(e.Address)}
			d.list[e.ID] = l
		}
		l.ServerEntry, l.missing = e, 0
	}
	for id, l := range d.list {
		if seen[id] {
			continue
		}
		if l.missing++; l.missing >= missingListings {
			delete(d.list, id)
			klog.InfoS("Server no longer placed", "server", id, "service", l.Service)
		}
	}
}

func (d *Controller) serversOf(service string) map[string]target {
	out := map[string]target{}
	for id, l := range d.list {
		if l.Service == service {
			out[id] = target{engine: l.engine, leaving: l.Leaving || d.opts.Leaving != nil && d.opts.Leaving(id)}
		}
	}
	return out
}
