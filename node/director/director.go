// Package director schedules batch work on the servers that this instance
// directs.
//
// Each of these servers has a scheduler. It decides how many batch streams fit
// beside the online requests, leases items from partition owners, runs them as
// streams and preempts streams when online requests arrive. The item of a
// preempted stream keeps its tokens and is resumed later. Results are sent to the
// owners in batches.
package director

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/metrics"
	"github.com/jacinthnotch/jacinthnotch/node/peer"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/servers"
	"github.com/jacinthnotch/jacinthnotch/policy/fill"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	// reconcileInterval is the time between two checks for newly directed servers.
	reconcileInterval = 500 * time.Millisecond
	// pullTimeout limits one pull. Before it answers, an owner appends the start
	// of non-idempotent items to the log.
	pullTimeout = 2 * time.Second
	// minEmptyPullDelay is the delay after the first pull without items. It doubles
	// with each further one, up to maxEmptyPullDelay, to limit the pulls while the
	// whole backlog of the owners is leased.
	minEmptyPullDelay = 50 * time.Millisecond
	maxEmptyPullDelay = time.Second
	// maxQueueTime is how long an item waits for a slot before it is returned to
	// its owner, so that a server of another director can run it.
	maxQueueTime = 10 * time.Second
	// cancelledJobTTL is how long a cancelled job is remembered. It is longer than
	// a pull takes and longer than an item stays in a queue.
	cancelledJobTTL = 2 * time.Minute
)

// Owner is a partition owner with a backlog.
type Owner struct {
	Instance string
	// Address is the IP address and port of its peer listener, empty for this
	// instance.
	Address string
	// Items is the number of items in the backlog of the model and Due the
	// earliest due time among them.
	Items int
	Due   time.Time
}

// ItemSource pulls items from partition owners and pushes results to them.
type ItemSource interface {
	// Owners returns the owners with a backlog of the model. It must not block.
	Owners(model string) []Owner
	// Pull leases up to maxItems items of the model for the server.
	Pull(ctx context.Context, from Owner, model, server string, maxItems int) ([]*peerpb.Item, error)
	// Push delivers results, returned items and lease renewals of one job. It
	// returns the owner that accepted them, which differs from to after the
	// partition has moved.
	Push(ctx context.Context, to Owner, req *peerpb.PushResultsRequest) (*peerpb.PushResultsResponse, Owner, error)
}

// Locator finds the directors of servers.
type Locator interface {
	// DirectorOf returns the instance that directs the server and the address of
	// its peer listener, or false if none is known.
	DirectorOf(server string) (instance, address string, ok bool)
}

// Options configures a Director. Pool and Source are required.
type Options struct {
	Instance string
	Pool     *servers.Pool
	Source   ItemSource
	// Locator and Peers are used to notify the directors of other servers. If one
	// of them is nil, no notification is sent.
	Locator Locator
	Peers   peer.Connector
	Audit   api.AuditSink
}

// Director schedules batch work on the servers that the pool's preference
// assigns to this instance. It is safe for concurrent use.
type Director struct {
	opts          Options
	pool          *servers.Pool
	metrics       *metrics.Serving
	pusher        *pusher
	notifier      *preemptNotifier
	remoteStreams remoteStreamCounts

	mu         sync.Mutex
	schedulers map[string]*serverScheduler
	draining   bool
	nextID     uint64
	// cancelledJobs maps cancelled jobs to the time of the cancellation, to discard
	// items that a pull brings afterwards.
	cancelledJobs map[string]time.Time
}

// New returns a director and registers its callbacks with the pool. It must be
// called before the pool runs.
func New(o Options) *Director {
	d := &Director{opts: o, pool: o.Pool, metrics: o.Pool.Metrics(), schedulers: map[string]*serverScheduler{}, cancelledJobs: map[string]time.Time{}}
	d.pusher = newPusher(d)
	d.notifier = newPreemptNotifier(d)
	d.pool.SetRequestObserver(d)
	d.pool.SetBatchStreams(d.batchStreams)
	d.pool.OnLoadReport(d.loadReported)
	return d
}

// Run schedules batch work until ctx ends, and returns when all goroutines of the
// director have ended.
func (d *Director) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { d.pusher.run(ctx) })
	wg.Go(func() { d.notifier.run(ctx) })
	tick := time.NewTicker(reconcileInterval)
	defer tick.Stop()
	for {
		d.reconcile(ctx, &wg)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// reconcile starts schedulers for newly directed servers. A scheduler ends by
// itself when its server is no longer directed and has no batch streams.
func (d *Director) reconcile(ctx context.Context, wg *conc.WaitGroup) {
	for _, s := range d.pool.Engines() {
		if !d.pool.Directs(s.ID) {
			continue
		}
		if d.scheduler(s.ID) != nil {
			continue
		}
		// Creating a scheduler locks the group, and the group locks the director to
		// read the number of streams. Holding d.mu here could deadlock.
		sched := newServerScheduler(d, s)
		d.mu.Lock()
		if !d.draining {
			d.schedulers[s.ID] = sched
			wg.Go(func() { sched.run(ctx, wg) })
			klog.InfoS("batch scheduling started", "server", s.ID)
		}
		d.mu.Unlock()
	}
}

func (d *Director) removeScheduler(sched *serverScheduler) {
	d.mu.Lock()
	if d.schedulers[sched.server.ID] == sched {
		delete(d.schedulers, sched.server.ID)
	}
	d.mu.Unlock()
	klog.InfoS("batch scheduling ended", "server", sched.server.ID)
}

func (d *Director) scheduler(server string) *serverScheduler {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.schedulers[server]
}

func (d *Director) allSchedulers() []*serverScheduler {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*serverScheduler, 0, len(d.schedulers))
	for _, sched := range d.schedulers {
		out = append(out, sched)
	}
	return out
}

func (d *Director) newStreamID() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextID++
	return d.nextID
}

// batchStreams returns the number of batch streams on a server, for the pool.
func (d *Director) batchStreams(server string) int {
	if sched := d.scheduler(server); sched != nil {
		return int(sched.streamCount.Load())
	}
	return d.remoteStreams.get(server)
}

func (d *Director) loadReported(server string, r port.LoadReport) {
	if sched := d.scheduler(server); sched != nil {
		sched.loadReported(r)
	}
}

// RequestSent implements servers.RequestObserver: it preempts batch streams for an
// online request, or notifies the server's director if that is another instance.
func (d *Director) RequestSent(server string, tokens int) {
	if sched := d.scheduler(server); sched != nil {
		sched.onlineArrived(1, tokens)
		return
	}
	d.notifier.enqueue(server, requestCounts{arrived: 1})
}

// RequestEnded implements servers.RequestObserver: it records the end of an online
// request, or notifies the server's director if that is another instance.
func (d *Director) RequestEnded(server string) {
	if sched := d.scheduler(server); sched != nil {
		sched.onlineEnded(1)
		return
	}
	d.notifier.enqueue(server, requestCounts{ended: 1})
}

// Preempt frees slots for online requests that another instance has sent to a
// server, after it has recorded those that ended there. It returns the number of
// cancelled streams and the number of streams that still run.
func (d *Director) Preempt(server string, slots, ended int) (cancelled, running int) {
	sched := d.scheduler(server)
	if sched == nil {
		return 0, 0
	}
	if ended > 0 {
		sched.onlineEnded(ended)
	}
	if slots > 0 || ended == 0 {
		cancelled = sched.onlineArrived(max(1, slots), 0)
	}
	return cancelled, max(0, int(sched.streamCount.Load())-cancelled)
}

// StopJob cancels the streams of a cancelled job, drops its queued items and
// returns the number of cancelled streams.
func (d *Director) StopJob(job string) int {
	now := time.Now()
	d.mu.Lock()
	for id, cancelledAt := range d.cancelledJobs {
		if now.Sub(cancelledAt) > cancelledJobTTL {
			delete(d.cancelledJobs, id)
		}
	}
	d.cancelledJobs[job] = now
	d.mu.Unlock()
	cancelled := 0
	for _, sched := range d.allSchedulers() {
		cancelled += sched.cancelMatching(func(it *item) bool { return it.JobId == job })
	}
	d.pusher.dropJob(job)
	if cancelled > 0 {
		klog.InfoS("streams of cancelled job stopped", "job", job, "streams", cancelled)
		d.audit("job-streams-stopped", "", job, cancelled)
	}
	return cancelled
}

func (d *Director) isJobCancelled(job string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.cancelledJobs[job]
	return ok
}

// cancelItems cancels the streams and drops the queue entries of some items of a
// job.
func (d *Director) cancelItems(job string, items []uint32) {
	cancelled := map[uint32]bool{}
	for _, i := range items {
		cancelled[i] = true
	}
	for _, sched := range d.allSchedulers() {
		sched.cancelMatching(func(it *item) bool { return it.JobId == job && cancelled[it.Index] })
	}
}

// Drain returns the queued items to their owners, cancels the streams of
// idempotent items, which can run elsewhere, and lets the others finish. It waits
// until the owners have all results and returned items, or until ctx ends.
func (d *Director) Drain(ctx context.Context) error {
	d.mu.Lock()
	d.draining = true
	d.mu.Unlock()
	tick := time.NewTicker(fill.RefillInterval)
	defer tick.Stop()
	for {
		busy := 0
		for _, sched := range d.allSchedulers() {
			busy += sched.drain()
		}
		if busy == 0 && d.pusher.isEmpty() {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *Director) isDraining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

func (d *Director) audit(kind, server, job string, n int) {
	if d.opts.Audit != nil {
		d.opts.Audit.Record(&recordpb.Audit{Kind: kind, Actor: "system", Instance: d.opts.Instance, Server: server, Job: job, After: itoa(n)})
	}
}
