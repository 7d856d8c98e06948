package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc/pool"
	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
	"github.com/jacinthnotch/jacinthnotch/policy/abandon"
)

const (
	// maxAbandonments is the maximum number of jobs whose items are given up at once, as after
	// an outage that was longer than the retention time of many jobs.
	maxAbandonments = 4
	// abandonRetryDelay is the time after which the items of a job are given up again that
	// still have no result. It includes the time in which the results are read back.
	abandonRetryDelay = 2 * time.Second
)

// abandonment is the decision to give up items of a job.
type abandonment struct {
	*jobState
	accepted joblog.Accepted
	items    []int
	reason   abandon.Reason
}

// abandonments returns the items to give up, at most maxAbandonments jobs at once. Items that
// are running go on. The caller holds the lock.
func (r *Runner) abandonments(now time.Time) (list []abandonment) {
	revision := r.View.Revision()
	for id, js := range r.jobs {
		if !js.held || !js.job.Open() {
			r.endings.Forget(id)
			continue
		}
		reason := r.endings.Decide(now, &js.job, revision)
		js.abandoned = reason != abandon.None
		if !js.abandoned || js.abandoning || now.Before(js.nextAbandonment) || r.abandoningJobs >= maxAbandonments {
			continue
		}
		a := abandonment{jobState: js, accepted: js.job.Accepted, reason: reason}
		for i := range js.job.Items {
			if !js.job.Items[i].HasResult && !js.isActive(i) {
				a.items = append(a.items, i)
			}
		}
		if len(a.items) > 0 {
			js.abandoning = true
			r.abandoningJobs++
			list = append(list, a)
		}
	}
	return list
}

// isActive reports whether an item is running on this instance.
func (js *jobState) isActive(item int) bool {
	run := js.items[item]
	return run != nil && run.active
}

// abandonItems writes that items were given up. A later scheduling pass repeats what could not
// be written.
func (r *Runner) abandonItems(ctx context.Context, a abandonment) {
	err := r.writeAbandonment(ctx, a)
	klog.InfoS("items given up", "job", a.accepted.Job, "items", len(a.items), "reason", a.reason, "err", err)
	if err == nil {
		r.Metrics.countN("given_up", len(a.items))
	}
}

// endAbandonment records the end of a write of abandonItems.
func (r *Runner) endAbandonment(a abandonment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.abandoning = false
	a.nextAbandonment = time.Now().Add(abandonRetryDelay)
	r.abandoningJobs--
}

func (r *Runner) writeAbandonment(ctx context.Context, a abandonment) error {
	ctx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
	defer cancel()
	items, err := r.content(ctx, &a.accepted)
	if err != nil {
		return err
	}
	if len(items) < a.accepted.Items {
		return errors.New("jobs: the submission has fewer items than its record says")
	}
	appends := pool.New().WithErrors()
	for _, i := range a.items {
		appends.Go(func() error {
			return r.Index.Append(ctx, &joblog.Record{Result: &joblog.Result{
				Job: a.accepted.Job, Item: i, ID: items[i].ID, State: joblog.DeadLetter, Reason: string(a.reason),
			}})
		})
	}
	return appends.Wait()
}
