package jobs

import (
	"context"
	"slices"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
	"github.com/jacinthnotch/jacinthnotch/domain/origin"
	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
)

// minVersionWait is the least time for which an item waits for a free slot at the version that
// began its output, before servers of other versions may run it from the start.
const minVersionWait = 2 * time.Second

// bindToOrigin restricts a placement to the version that began the output of an item, if it has
// any. The item may be run from the start elsewhere once no server of the version is left, or
// once it has waited for a free slot there for as long as the lost output took. It reports
// whether the placement is restricted to a part of the servers.
func (r *Runner) bindToOrigin(now time.Time, c candidate, query *balance.Query) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := c.items[c.index]
	began, ok := outputOrigin(run, c.job.Items[c.index].Progress)
	if !ok || !slices.ContainsFunc(c.route.Targets, func(t serving.Target) bool { return t.Service == began.Service }) {
		return false
	}
	bound := *query
	bound.Service = began.Service
	bound.RequireVersion, bound.Version = true, began.Version
	if !r.View.HasEligible(bound) {
		return false
	}
	if len(r.View.Versions(bound.Service)) == 1 {
		*query = bound
		return false
	}
	if run == nil {
		run = &itemRun{job: c.job.Job, index: c.index}
		c.items[c.index] = run
	}
	if run.versionWaitSince.IsZero() {
		run.versionWaitSince = now
	}
	if now.Sub(run.versionWaitSince) > max(minVersionWait, run.spent) {
		return false
	}
	*query = bound
	return true
}

// outputOrigin returns where the output of an item began: that of this instance or, if it goes
// further, that which another instance saved.
func outputOrigin(run *itemRun, progress *joblog.Progress) (joblog.Origin, bool) {
	switch {
	case progress != nil && (run == nil || run.usesProgress(progress)):
		return progress.Origin, true
	case run != nil && run.hasOutput:
		return run.origin, true
	}
	return joblog.Origin{}, false
}

// usesProgress reports whether the output that another instance saved goes further than that
// of this instance.
func (run *itemRun) usesProgress(progress *joblog.Progress) bool {
	if progress == nil || run.dropsProgress && progress.LastEvent <= run.droppedUpTo {
		return false
	}
	return !run.hasOutput || run.lastEvent < progress.LastEvent
}

// restart drops the output of an item, and that which another instance saved.
func (r *Runner) restart(run *itemRun, progress *joblog.Progress) {
	r.dropOutput(run)
	run.origin, run.versionWaitSince = joblog.Origin{}, time.Time{}
	if progress != nil {
		run.dropsProgress, run.droppedUpTo = true, progress.LastEvent
	}
}

// canGoOn reports whether the leased server has the version that began the output, whether
// that version is certain, and whether the output has an event to go on after.
func (r *Runner) canGoOn(ctx context.Context, run *itemRun, lease *fleet.Lease) bool {
	if !run.hasOutput {
		return true
	}
	if run.lastEvent == 0 {
		return false // its events have no IDs
	}
	if run.origin.Service != lease.Server.Service || run.origin.Version != lease.Server.Version {
		return false
	}
	o := origin.Origin{Service: run.origin.Service, Version: run.origin.Version, Server: run.origin.Server}
	return r.Origins.Confirm(ctx, o, time.UnixMilli(run.origin.SentAtMs))
}

// originOf returns the origin of an output that a leased server begins.
func originOf(lease *fleet.Lease, sentAt time.Time) joblog.Origin {
	return joblog.Origin{Service: lease.Server.Service, Version: lease.Server.Version, Server: lease.Server.ID, SentAtMs: sentAt.UnixMilli()}
}
