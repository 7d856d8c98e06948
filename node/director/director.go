// Package director runs the batch work of the servers that this instance
// directs.
//
// Each server has a lane, which decides how many batch streams fit beside the
// online requests, takes items from partition owners, runs them as streams and
// cancels streams when online requests arrive. A cancelled stream keeps its
// tokens and goes on later. Results go back to the owners in batches.
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
	// reviewInterval is how often the set of directed servers is looked at.
	reviewInterval = 500 * time.Millisecond
	// pullTimeout bounds one pull; an owner that must record the start of
	// non-idempotent items takes as long as the log does.
	pullTimeout = 2 * time.Second
	// emptyWait is the wait after a pull that brought nothing, which bounds the
	// pulls of a director whose owners' backlog is all leased.
	emptyWait = 50 * time.Millisecond
	// maxWait bounds it when pulls bring nothing several times.
	maxWait = time.Second
	// queueLimit is how long an item waits here for a place before it is
	// returned, so that another server can run it.
	queueLimit = 10 * time.Second
	// stoppedFor is how long a cancelled job is remembered; longer than a pull
	// takes and than an item waits here.
	stoppedFor = 2 * time.Minute
)

// Owner is a partition owner with a backlog.
type Owner struct {
	Instance string
	// Address is the IP address and port of its peer listener; empty for this
	// instance itself.
	Address string
	// Items is the backlog of the model and Due its earliest due time.
	Items int
	Due   time.Time
}

// ItemSource reaches the partition owners.
type ItemSource interface {
	// Owners returns the owners with a backlog of the model. It must not block.
	Owners(model string) []Owner
	// Pull leases up to max items of the model for the server.
	Pull(ctx context.Context, from Owner, model, server string, max int) ([]*peerpb.Item, error)
	// Push delivers results, returns and renewals of one job. It returns the
	// owner that took them, which is another one after a move.
	Push(ctx context.Context, to Owner, req *peerpb.PushResultsRequest) (*peerpb.PushResultsResponse, Owner, error)
}

// Locator finds the directors of servers.
type Locator interface {
	// DirectorOf returns the instance that directs the server and the address of
	// its peer listener; false when none is known.
	DirectorOf(server string) (instance, address string, ok bool)
}

// Options configure a Director. Pool and Source are required.
type Options struct {
	Instance string
	Pool     *servers.Pool
	Source   ItemSource
	// Locator and Peers reach the directors of other servers; nil for none.
	Locator Locator
	Peers   peer.Conns
	Audit   api.AuditSink
}

// Director directs the batch work of the servers for which the pool's
// preference names this instance. It is safe for concurrent use.
type Director struct {
	opts    Options
	pool    *servers.Pool
	metrics *metrics.Serving
	pusher  *pusher
	notices *notices
	remote  remoteBatch

	mu       sync.Mutex
	lanes    map[string]*lane
	draining bool
	nextID   uint64
	// stopped are the cancelled jobs, for items on their way to a lane.
	stopped map[string]time.Time
}

// New returns a director and connects it with the pool. It is called before the
// pool runs.
func New(o Options) *Director {
	d := &Director{opts: o, pool: o.Pool, metrics: o.Pool.Metrics(), lanes: map[string]*lane{}, stopped: map[string]time.Time{}}
	d.pusher = newPusher(d)
	d.notices = newNotices(d)
	d.pool.SetRequestObserver(d)
	d.pool.SetBatchStreams(d.streams)
	d.pool.OnLoadReport(d.reported)
	return d
}

// Run directs until ctx ends and all its goroutines have ended.
func (d *Director) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { d.pusher.run(ctx) })
	wg.Go(func() { d.notices.run(ctx) })
	tick := time.NewTicker(reviewInterval)
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

// review starts lanes for servers that are directed now. A lane ends by itself
// when its server is not directed any more and nothing runs there.
func (d *Director) review(ctx context.Context, wg *conc.WaitGroup) {
	for _, s := range d.pool.Engines() {
		if !d.pool.Directs(s.ID) {
			continue
		}
		if d.lane(s.ID) != nil {
			continue
		}
		// A lane is made without the lock: it asks the group, which asks the
		// director for its streams under the group's own lock.
		l := newLane(d, s)
		d.mu.Lock()
		if !d.draining {
			d.lanes[s.ID] = l
			wg.Go(func() { l.run(ctx, wg) })
			klog.InfoS("Batch direction began", "server", s.ID)
		}
		d.mu.Unlock()
	}
}

func (d *Director) ended(l *lane) {
	d.mu.Lock()
	if d.lanes[l.server.ID] == l {
		delete(d.lanes, l.server.ID)
	}
	d.mu.Unlock()
	klog.InfoS("Batch direction ended", "server", l.server.ID)
}

func (d *Director) lane(server string) *lane {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lanes[server]
}

func (d *Director) all() []*lane {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*lane, 0, len(d.lanes))
	for _, l := range d.lanes {
		out = append(out, l)
	}
	return out
}

func (d *Director) id() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextID++
	return d.nextID
}

// streams is the number of batch streams on a server, for the pool.
func (d *Director) streams(server string) int {
	if l := d.lane(server); l != nil {
		return int(l.count.Load())
	}
	return d.remote.get(server)
}

func (d *Director) reported(server string, r port.LoadReport) {
	if l := d.lane(server); l != nil {
		l.reported(r)
	}
}

// RequestSent implements servers.RequestObserver: batch work makes way for an online
// request, here or at the server's director.
func (d *Director) RequestSent(server string, tokens int) {
	if l := d.lane(server); l != nil {
		l.arrived(1, tokens)
		return
	}
	d.notices.add(server, notice{arrived: 1})
}

// RequestEnded implements servers.RequestObserver.
func (d *Director) RequestEnded(server string) {
	if l := d.lane(server); l != nil {
		l.left(1)
		return
	}
	d.notices.add(server, notice{left: 1})
}

// Preempt makes room for online requests that another instance has sent to a
// server, after it has counted those that ended there. It returns the number of
// cancelled streams and of those that still run.
func (d *Director) Preempt(server string, slots, left int) (cancelled, batch int) {
	l := d.lane(server)
	if l == nil {
		return 0, 0
	}
	if left > 0 {
		l.left(left)
	}
	if slots > 0 || left == 0 {
		cancelled = l.arrived(max(1, slots), 0)
	}
	return cancelled, max(0, int(l.count.Load())-cancelled)
}

// StopJob cancels the streams of a job that was cancelled and drops its items.
func (d *Director) StopJob(job string) int {
	now := time.Now()
	d.mu.Lock()
	for other, at := range d.stopped {
		if now.Sub(at) > stoppedFor {
			delete(d.stopped, other)
		}
	}
	d.stopped[job] = now
	d.mu.Unlock()
	n := 0
	for _, l := range d.all() {
		n += l.stop(func(it *item) bool { return it.JobId == job })
	}
	d.pusher.forget(job)
	if n > 0 {
		klog.InfoS("Streams of a cancelled job stopped", "job", job, "streams", n)
		d.audit("job-streams-stopped", "", job, n)
	}
	return n
}

func (d *Director) isStopped(job string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.stopped[job]
	return ok
}

func (d *Director) stopItems(job string, items []uint32) {
	gone := map[uint32]bool{}
	for _, i := range items {
		gone[i] = true
	}
	for _, l := range d.all() {
		l.stop(func(it *item) bool { return it.JobId == job && gone[it.Index] })
	}
}

// Drain returns the items that have not begun, stops the streams that can run
// elsewhere, lets the others end and waits until the owners have everything, or
// until ctx ends.
func (d *Director) Drain(ctx context.Context) error {
	d.mu.Lock()
	d.draining = true
	d.mu.Unlock()
	tick := time.NewTicker(fill.RefillInterval)
	defer tick.Stop()
	for {
		busy := 0
		for _, l := range d.all() {
			busy += l.drain()
		}
		if busy == 0 && d.pusher.empty() {
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
