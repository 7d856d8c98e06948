package jobs

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
	"github.com/jacinthnotch/jacinthnotch/domain/origin"
	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/exchange"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/node/gateway"
	"github.com/jacinthnotch/jacinthnotch/node/internal/budget"
	"github.com/jacinthnotch/jacinthnotch/node/internal/clock"
	"github.com/jacinthnotch/jacinthnotch/node/internal/guard"
	"github.com/jacinthnotch/jacinthnotch/policy/abandon"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
	"github.com/jacinthnotch/jacinthnotch/policy/leastslack"
	"github.com/jacinthnotch/jacinthnotch/policy/poison"
	"github.com/jacinthnotch/jacinthnotch/policy/takeover"
)

const (
	// scheduleInterval is the time between scheduling passes.
	scheduleInterval = 40 * time.Millisecond
	// idleScheduleInterval is the time between scheduling passes of an instance that holds
	// no jobs, in which it looks for jobs whose holder is lost.
	idleScheduleInterval = 200 * time.Millisecond
	// maxStartsPerPass is the maximum number of items started in one scheduling pass.
	maxStartsPerPass = 8
	// onlineHeadroom is the number of slots of each server that items leave free for
	// online requests.
	onlineHeadroom = 1
	// refusedRetryDelay is the delay before the retry of an item that a server refused, and
	// failedRetryDelay that after a failed run.
	refusedRetryDelay = 60 * time.Millisecond
	failedRetryDelay  = 300 * time.Millisecond
	// preemptedRetryDelay is the delay after a preemption. The burst of online requests
	// that caused it takes the next free slots as well, and each start of an item processes
	// its prompt again.
	preemptedRetryDelay = 200 * time.Millisecond
	// maxRunningItems is the maximum number of items that one instance runs at once.
	maxRunningItems = 96
)

// Members provides the live instances.
type Members interface {
	// Alive returns, by name, the incarnations of the other instances that are alive and
	// not draining.
	Alive() map[string]uint32
}

// Answers records which requests crash no servers.
type Answers interface {
	// RecordAnswer records a complete answer to a request.
	RecordAnswer(r poison.Request)
}

// Origins makes sure of the version at which an output began.
type Origins interface {
	// Confirm reports whether an item that was sent to a server ran at the version that the
	// server's entry stated then.
	Confirm(ctx context.Context, o origin.Origin, sentAt time.Time) bool
}

// Runner runs the items of the jobs that this instance holds.
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
	// Answers is told of the completed items.
	Answers Answers
	Origins Origins
	// Self identifies this instance.
	Self joblog.Holder
	// OutputBudget limits the memory of the outputs of unfinished items, in bytes; zero means
	// a default limit.
	OutputBudget int

	// ContentCacheBytes limits the memory of the decoded items of jobs; zero means a default limit.
	ContentCacheBytes int

	outputs  *budget.Budget
	contents *contentCache
	mu       sync.Mutex
	// takeovers decides which jobs this instance holds or claims.
	takeovers *takeover.Table
	// endings decides which items are given up, and abandoningJobs is the number of jobs of
	// which this is being written.
	endings        *abandon.Table
	abandoningJobs int
	runTimes       leastslack.RunTimeEstimator
	jobs           map[string]*jobState
	// holds holds, by service, until when items that can wait are not placed, because a hub keeps
	// the free slots for online requests. Only schedule uses it.
	holds map[string]time.Time
	// running is the number of items that are running.
	running  int
	draining bool
	// wakeups receives a value to request a scheduling pass.
	wakeups chan struct{}
	// runs waits for the runs of items and the writes of claims.
	runs sync.WaitGroup
}

// jobState is the state of one job on this instance.
type jobState struct {
	job   joblog.Job
	items map[int]*itemRun
	// held is set while this instance holds the job.
	held bool
	// abandoned is set while no more items of the job are started because they are given up;
	// abandoning is set while this is being written, next at nextAbandonment.
	abandoned, abandoning bool
	nextAbandonment       time.Time
}

// idle reports whether no item of the job is running on this instance.
func (js *jobState) idle() bool {
	for _, run := range js.items {
		if run.active {
			return false
		}
	}
	return true
}

// Init initializes the runner. It must be called before Run.
func (r *Runner) Init() {
	r.takeovers, r.endings = takeover.NewTable(r.Self, time.Now()), abandon.NewTable()
	r.holds = map[string]time.Time{}
	r.jobs, r.contents = map[string]*jobState{}, newContentCache(cmp.Or(r.ContentCacheBytes, defaultContentCacheBytes))
	r.Metrics.counts.Set("decoded_bytes", r.contents.bytes())
	r.wakeups = make(chan struct{}, 1)
	r.outputs = newOutputBudget(cmp.Or(r.OutputBudget, defaultOutputBudget))
}

// wake requests a scheduling pass.
func (r *Runner) wake() {
	select {
	case r.wakeups <- struct{}{}:
	default:
	}
}

// Run schedules items until ctx is done and then waits for their runs to end.
func (r *Runner) Run(ctx context.Context) {
	timer := time.NewTimer(scheduleInterval)
	defer timer.Stop()
	defer r.runs.Wait()
	for {
		changed, _ := r.Index.Read(func(*joblog.Table) {})
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-r.wakeups:
		case <-changed:
		}
		guard.Run("scheduling of items", func() { r.schedule(ctx) })
		if r.holdsJobs() {
			timer.Reset(scheduleInterval)
		} else {
			timer.Reset(idleScheduleInterval)
		}
	}
}

// holdsJobs reports whether this instance holds jobs or still runs items of others.
func (r *Runner) holdsJobs() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.jobs) > 0
}

// schedule makes one scheduling pass: it cancels runs that are no longer needed, claims
// jobs, gives up items and starts others on free slots.
func (r *Runner) schedule(ctx context.Context) {
	now := time.Now()
	alive := r.Members.Alive()
	behind := r.Index.Behind()
	jobs := r.snapshot()
	r.mu.Lock()
	r.takeovers.SetBehind(now, behind)
	for _, claim := range r.update(now, jobs, alive) {
		r.runs.Go(func() { guard.Run("claim of a job", func() { r.writeClaim(ctx, claim) }) })
	}
	for _, a := range r.abandonments(now) {
		r.runs.Go(func() {
			defer r.endAbandonment(a)
			guard.Run("abandonment of items", func() { r.abandonItems(ctx, a) })
		})
	}
	candidates, allowed := r.startable(now), min(maxStartsPerPass, maxRunningItems-r.running)
	r.mu.Unlock()
	full := map[string]bool{}
	for i, c := range candidates {
		if allowed <= 0 {
			return
		}
		service := gateway.ChooseService(c.route)
		if full[service] || r.isHeld(now, service, c.slack) {
			continue
		}
		// The lock is not held because Place may call another instance.
		query := balance.Query{Service: service, Class: balance.Batch, Headroom: onlineHeadroom, Slack: c.slack, RunTime: c.runTime, Waiting: len(candidates) - i}
		r.describePrompt(c, &query)
		bound := r.bindToOrigin(now, c, &query)
		lease, rejection := r.Placer.Place(query)
		if rejection != nil {
			full[service] = !bound
			r.hold(now, service, rejection)
			continue
		}
		allowed--
		r.start(ctx, c, lease)
	}
}

// snapshot returns the open jobs and those that this instance has a state of. The items
// are copied only for jobs that this instance holds or has a state of, and only if the job
// has changed since the last snapshot.
func (r *Runner) snapshot() []joblog.Job {
	r.mu.Lock()
	defer r.mu.Unlock()
	var jobs []joblog.Job
	r.Index.Read(func(t *joblog.Table) {
		t.ForEachOpen(func(j *joblog.Job) {
			job := *j
			js := r.jobs[j.Job]
			switch {
			case js != nil && js.job.UpdatedAt.Equal(j.UpdatedAt):
				job.Items = js.job.Items
			case js != nil || j.Holder == r.Self:
				job.Items = slices.Clone(j.Items)
			}
			jobs = append(jobs, job)
		})
		for id := range r.jobs {
			if j := t.Job(id); j != nil && !j.Open() {
				job := *j
				job.Items = slices.Clone(j.Items)
				jobs = append(jobs, job)
			}
		}
	})
	return jobs
}

// update brings the job states up to date with the index, cancels runs of items that
// already have a result or whose job has ended, and returns the claims to write. The
// caller holds the lock.
func (r *Runner) update(now time.Time, jobs []joblog.Job, alive map[string]uint32) (claims []*joblog.Claimed) {
	for _, j := range jobs {
		js := r.jobs[j.Job]
		held := false
		switch {
		case !j.Open():
			r.takeovers.Forget(j.Job)
		case r.draining:
		default:
			decision := r.takeovers.Decide(now, j.Job, j.Holder, alive)
			held = decision == takeover.Run
			if decision == takeover.Claim {
				claims = append(claims, &joblog.Claimed{Job: j.Job, From: j.Holder, To: r.Self})
			}
		}
		if js == nil {
			if !held {
				continue
			}
			js = &jobState{items: map[int]*itemRun{}}
			r.jobs[j.Job] = js
			klog.InfoS("job assigned to this instance", "job", j.Job, "listed", len(j.Results), "items", len(j.Items))
		}
		js.job, js.held = j, held
		for i, run := range js.items {
			if run.active && (j.Ended || j.Items[i].HasResult) {
				run.cancel(errNotNeeded)
			}
		}
		if !held && js.idle() && !js.abandoning {
			r.dropOutputs(js)
			delete(r.jobs, j.Job)
			r.endings.Forget(j.Job)
			r.contents.remove(j.Job)
		}
	}
	return claims
}

// writeClaim writes a claim or, if the new holder is empty, the release of a job. A later
// scheduling pass repeats a claim that could not be written.
func (r *Runner) writeClaim(ctx context.Context, c *joblog.Claimed) {
	ctx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
	defer cancel()
	err := r.Index.Append(ctx, &joblog.Record{Claimed: c})
	if c.To.Instance == "" {
		klog.InfoS("job released", "job", c.Job, "err", err)
		return
	}
	klog.InfoS("job claimed", "job", c.Job, "from", c.From.Instance, "fromIncarnation", c.From.Incarnation, "err", err)
}

// candidate is an item that may start now.
type candidate struct {
	*jobState
	index int
	route *serving.Route
	// slack is the time for which the item can wait and still be completed by its due time.
	slack time.Duration
	// runTime is the expected time of its next run.
	runTime time.Duration
}

// startable returns the items that may start now, in ascending order of slack. The caller
// holds the lock.
func (r *Runner) startable(now time.Time) []candidate {
	var list []candidate
	revision := r.View.Revision()
	if revision == nil {
		return nil
	}
	for _, js := range r.jobs {
		if !js.held || js.abandoned {
			continue
		}
		route := abandon.BatchRoute(revision, &js.job.Accepted)
		if route == nil {
			continue
		}
		for i := range js.job.Items {
			run := js.items[i]
			if js.job.Items[i].HasResult || run != nil && (run.active || now.Before(run.notBefore)) {
				continue
			}
			item := js.slackItem(i, route)
			list = append(list, candidate{js, i, route, r.runTimes.Slack(now, item), r.runTimes.Remaining(item)})
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

// slackItem returns the properties of an item that its slack depends on.
func (js *jobState) slackItem(index int, route *serving.Route) leastslack.Item {
	item := leastslack.Item{Due: js.job.AcceptedAt.Add(route.DueAfter), Tokens: js.job.ItemTokens(index)}
	if run := js.items[index]; run != nil {
		item.Spent = run.spent
	}
	return item
}

// start starts a run of an item on the leased server.
func (r *Runner) start(ctx context.Context, c candidate, lease *fleet.Lease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		lease.End(balance.Abandoned)
		return
	}
	run := c.items[c.index]
	if run == nil {
		run = &itemRun{job: c.job.Job, index: c.index}
		c.items[c.index] = run
	}
	run.active = true
	run.failures = max(run.failures, c.job.Items[c.index].Failures)
	run.server = lease.Server.ID
	run.startedAt = time.Now()
	ctx, run.cancel = context.WithCancelCause(ctx)
	r.running++
	accepted, progress, route := c.job.Accepted, c.job.Items[c.index].Progress, c.route
	r.runs.Go(func() {
		if !guard.Run("run of an item", func() { r.execute(ctx, run, &accepted, progress, route, lease) }) {
			r.abandon(run, lease)
		}
	})
}

// abandon ends a run that panicked.
func (r *Runner) abandon(run *itemRun, lease *fleet.Lease) {
	lease.End(balance.Abandoned)
	run.cancel(nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	run.active, run.saving, run.server = false, false, ""
	run.notBefore = time.Now().Add(run.interrupted(nil))
	r.running--
}

// PreemptItem stops the most recently started item on a server to free its slot. It skips
// items whose result is being written, and reports whether there was one to stop.
func (r *Runner) PreemptItem(server string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var last *itemRun
	for _, js := range r.jobs {
		for _, run := range js.items {
			if run.active && run.server == server && !run.saving && (last == nil || run.startedAt.After(last.startedAt)) {
				last = run
			}
		}
	}
	if last == nil {
		return false
	}
	r.Metrics.count("preempted")
	last.server = ""
	last.cancel(errPreempted)
	return true
}

// Drain stops all runs, saves their partial output and releases the jobs, so that other
// instances continue from there. It returns when that is done or when ctx is done.
func (r *Runner) Drain(ctx context.Context) {
	r.mu.Lock()
	r.draining = true
	var heldJobs []string
	for job, js := range r.jobs {
		if js.held && js.job.Open() {
			heldJobs = append(heldJobs, job)
		}
		for _, run := range js.items {
			if run.active && !run.saving {
				run.cancel(errDraining)
			}
		}
	}
	r.mu.Unlock()
	for r.active() {
		if ctx.Err() != nil {
			return
		}
		clock.Sleep(ctx, scheduleInterval)
	}
	var released sync.WaitGroup
	for _, job := range heldJobs {
		released.Go(func() { r.writeClaim(ctx, &joblog.Claimed{Job: job, From: r.Self}) })
	}
	released.Wait()
}

// active reports whether any item is running on this instance.
func (r *Runner) active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running > 0
}
