package jobs

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/exchange"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/node/gateway"
	"github.com/jacinthnotch/jacinthnotch/node/internal/clock"
	"github.com/jacinthnotch/jacinthnotch/policy/agenda"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
	"github.com/jacinthnotch/jacinthnotch/policy/takeover"
)

const (
	// scheduleInterval is the time between looks at free slots.
	scheduleInterval = 40 * time.Millisecond
	// startsPerLook bounds the items that start at one look.
	startsPerLook = 8
	// headroom is the number of slots of a server that items leave free for online
	// requests.
	headroom = 1
	// refusedPause is the pause of an item that a server did not take, failedPause
	// that of one whose run failed.
	refusedPause = 60 * time.Millisecond
	failedPause  = 300 * time.Millisecond
	// yieldPause is that of an item that yielded its slot: the wave of online requests
	// that took it takes the next free slots as well, and each start reads the prompt.
	yieldPause = 200 * time.Millisecond
	// runningMost bounds the items that one instance runs at once.
	runningMost = 96
	// contentMost bounds the jobs whose items are held decoded.
	contentMost = 32
)

// Members tells which instances are there.
type Members interface {
	// Alive returns the incarnations of the other instances that are heard and not
	// leaving, by name.
	Alive() map[string]uint32
}

// Runner runs the items of the jobs that fall to this instance.
type Runner struct {
	Index    *Index
	Blobs    *BlobStore
	View     *fleet.View
	Pool     *exchange.Pool
	Protocol gateway.Protocol
	Codec    Codec
	Members  Members
	Placer   gateway.Placer
	Metrics  *Metrics
	// Self names this instance.
	Self joblog.Holder

	mu       sync.Mutex
	claims   *takeover.Table
	pace     agenda.RunTimeEstimator
	work     map[string]*work
	contents map[string][]Item
	running  int
	leaving  bool
	kicked   chan struct{}
	runs     sync.WaitGroup
}

// work is what this instance does for one job.
type work struct {
	job   joblog.Job
	items map[int]*run
	// mine is set while the job falls to this instance.
	mine bool
}

// idle reports whether no item of the job runs here.
func (w *work) idle() bool {
	for _, it := range w.items {
		if it.busy {
			return false
		}
	}
	return true
}

// Init prepares the runner; Run must follow.
func (r *Runner) Init() {
	r.claims = takeover.NewTable(r.Self, time.Now())
	r.work, r.contents = map[string]*work{}, map[string][]Item{}
	r.kicked = make(chan struct{}, 1)
}

// kick asks for a look at free slots.
func (r *Runner) kick() {
	select {
	case r.kicked <- struct{}{}:
	default:
	}
}

// Run schedules items until ctx ends, and then waits for their runs.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	defer r.runs.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.kicked:
		}
		r.look(ctx)
	}
}

// look cancels what need not run any more and starts items where slots are free.
func (r *Runner) look(ctx context.Context) {
	now := time.Now()
	var jobs []joblog.Job
	r.Index.Read(func(b *joblog.Table) {
		b.ForEach(func(j *joblog.Job) {
			if j.Open() || r.has(j.Job) {
				view := *j
				view.Items = slices.Clone(j.Items)
				jobs = append(jobs, view)
			}
		})
	})
	alive := r.Members.Alive()
	r.mu.Lock()
	for _, claim := range r.update(now, jobs, alive) {
		r.runs.Go(func() { r.writeClaim(ctx, claim) })
	}
	pending, most := r.pending(now), min(startsPerLook, runningMost-r.running)
	r.mu.Unlock()
	full := map[string]bool{}
	for _, c := range pending {
		if most <= 0 {
			return
		}
		service := gateway.ChooseService(c.route)
		if full[service] {
			continue
		}
		// The lock is not held: the placer may ask another instance.
		lease, ok := r.Placer.Place(balance.Query{Service: service, Class: balance.Batch, Headroom: headroom, Slack: c.slack})
		if !ok {
			full[service] = true
			continue
		}
		most--
		r.start(ctx, c, lease)
	}
}

func (r *Runner) has(job string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.work[job] != nil
}

// update takes the jobs that this instance holds, cancels runs of items that are listed
// or whose job has ended, and returns the claims to make.
func (r *Runner) update(now time.Time, jobs []joblog.Job, alive map[string]uint32) (claims []*joblog.Claimed) {
	for _, j := range jobs {
		w := r.work[j.Job]
		mine := false
		switch {
		case !j.Open():
			r.claims.Forget(j.Job)
		case r.leaving:
		default:
			decision := r.claims.Decide(now, j.Job, j.Holder, alive)
			mine = decision == takeover.Run
			if decision == takeover.Claim {
				claims = append(claims, &joblog.Claimed{Job: j.Job, From: j.Holder, To: r.Self})
			}
		}
		if w == nil {
			if !mine {
				continue
			}
			w = &work{items: map[int]*run{}}
			r.work[j.Job] = w
			klog.InfoS("job taken", "job", j.Job, "listed", len(j.Results), "items", len(j.Items))
		}
		w.job, w.mine = j, mine
		for i, it := range w.items {
			if it.busy && (j.Ended || j.Items[i].HasResult) {
				it.stop(errNotNeeded)
			}
		}
		if !mine && w.idle() {
			delete(r.work, j.Job)
			delete(r.contents, j.Job)
		}
	}
	return claims
}

// writeClaim writes a claim, or the giving back of a job. A claim that is not written is
// made again at a later look.
func (r *Runner) writeClaim(ctx context.Context, c *joblog.Claimed) {
	ctx, cancel := context.WithTimeout(ctx, storeLimit)
	defer cancel()
	err := r.Index.Append(ctx, &joblog.Record{Claimed: c})
	if c.To.Instance == "" {
		klog.InfoS("job given back", "job", c.Job, "err", err)
		return
	}
	klog.InfoS("job claimed", "job", c.Job, "from", c.From.Instance, "fromIncarnation", c.From.Incarnation, "err", err)
}

// candidate is an item that could start.
type candidate struct {
	*work
	index int
	route *serving.Route
	// slack is the time for which it can wait and still be done when it is due.
	slack time.Duration
}

// pending returns the items that could start, the most urgent one at the front.
func (r *Runner) pending(now time.Time) []candidate {
	var list []candidate
	revision := r.View.Revision()
	if revision == nil {
		return nil
	}
	for _, w := range r.work {
		if !w.mine {
			continue
		}
		route := revision.Match(w.job.Host, w.job.Path)
		if route == nil {
			continue
		}
		for i := range w.job.Items {
			it := w.items[i]
			if w.job.Items[i].HasResult || it != nil && (it.busy || now.Before(it.notBefore)) {
				continue
			}
			list = append(list, candidate{w, i, route, r.pace.Slack(now, w.item(i, route))})
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		if c := cmp.Compare(a.slack, b.slack); c != 0 {
			return c
		}
		return a.index - b.index
	})
	return list
}

// item returns what the order of an item depends on.
func (w *work) item(index int, route *serving.Route) agenda.Item {
	item := agenda.Item{Due: w.job.AcceptedAt.Add(route.DueAfter), Tokens: w.job.ItemTokens(index)}
	if it := w.items[index]; it != nil {
		item.Spent = it.spent
	}
	return item
}

// start begins a run of an item on the leased server.
func (r *Runner) start(ctx context.Context, c candidate, lease *fleet.Lease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		lease.End(balance.Abandoned)
		return
	}
	it := c.items[c.index]
	if it == nil {
		it = &run{job: c.job.Job, index: c.index}
		c.items[c.index] = it
	}
	it.busy = true
	it.server = lease.Server.ID
	it.began = time.Now()
	ctx, it.stop = context.WithCancelCause(ctx)
	r.running++
	accepted, progress, route := c.job.Accepted, c.job.Items[c.index].Progress, c.route
	r.runs.Go(func() { r.execute(ctx, it, &accepted, progress, route, lease) })
}

// PreemptItem gives up the slot of one item on a server, the one that began last. It
// reports whether there was one.
func (r *Runner) PreemptItem(server string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var last *run
	for _, w := range r.work {
		for _, it := range w.items {
			if it.busy && it.server == server && !it.saving && (last == nil || it.began.After(last.began)) {
				last = it
			}
		}
	}
	if last == nil {
		return false
	}
	r.Metrics.count("preempted")
	last.server = ""
	last.stop(errPreempted)
	return true
}

// content returns the items of a job.
func (r *Runner) content(ctx context.Context, a *joblog.Accepted) ([]Item, error) {
	r.mu.Lock()
	items := r.contents[a.Job]
	r.mu.Unlock()
	if items != nil {
		return items, nil
	}
	raw, err := r.Blobs.Read(ctx, a.Content)
	if err != nil {
		return nil, err
	}
	items, err = decodeItems(raw)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.contents) >= contentMost {
		for job := range r.contents {
			delete(r.contents, job)
			break
		}
	}
	r.contents[a.Job] = items
	return items, nil
}

// Drain stops all runs, keeps the output that they have and gives the jobs back, so that
// other instances go on from there. It returns when that is done or ctx ends.
func (r *Runner) Drain(ctx context.Context) {
	r.mu.Lock()
	r.leaving = true
	var held []string
	for job, w := range r.work {
		if w.mine && w.job.Open() {
			held = append(held, job)
		}
		for _, it := range w.items {
			if it.busy && !it.saving {
				it.stop(errLeaving)
			}
		}
	}
	r.mu.Unlock()
	for r.busy() {
		if ctx.Err() != nil {
			return
		}
		clock.Sleep(ctx, scheduleInterval)
	}
	var released sync.WaitGroup
	for _, job := range held {
		released.Go(func() { r.writeClaim(ctx, &joblog.Claimed{Job: job, From: r.Self}) })
	}
	released.Wait()
}

// busy reports whether items run here.
func (r *Runner) busy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running > 0
}
