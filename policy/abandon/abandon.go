// Package abandon decides when the items of a batch job that are not running are given up.
//
// The instance that holds a job decides; the order of the records in the store resolves a
// conflict with a result of another instance. The package does no I/O and reads no clock. A
// Table is not safe for concurrent use.
package abandon

import (
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
	"github.com/jacinthnotch/jacinthnotch/domain/serving"
)

const (
	// routeRemovalGrace is the time for which a job waits without a route. An operator may
	// replace a route in two versions, one that removes it and one that adds it again.
	routeRemovalGrace = 2 * time.Second
	// clockTolerance is added to the retention time of a route, because the age of a job that
	// was read after a restart comes from wall clocks, which may differ by seconds.
	clockTolerance = 10 * time.Second
)

// Reason says why items are given up.
type Reason string

// The reasons. None means that they are not given up.
const (
	None          Reason = ""
	RouteRemoved  Reason = "the route of the job was removed"
	RetentionOver Reason = "the retention time of the route is over"
)

// Table is what one instance knows about the routes of the jobs that it holds.
type Table struct {
	// withoutRouteSince holds, by job, since when the configuration has had no route for it.
	withoutRouteSince map[string]time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{withoutRouteSince: map[string]time.Time{}} }

// BatchRoute returns the route of a job, or nil if a revision has none. A route of another
// kind at the same path does not serve jobs.
func BatchRoute(revision *serving.Revision, job *joblog.Accepted) *serving.Route {
	if route := revision.Match(job.Host, job.Path); route != nil && route.Kind == serving.Batch {
		return route
	}
	return nil
}

// Decide returns why the items of an open job are given up. It must be called regularly with
// the configuration in force, which may be nil.
func (t *Table) Decide(now time.Time, job *joblog.Job, revision *serving.Revision) Reason {
	if revision == nil {
		return None
	}
	route := BatchRoute(revision, &job.Accepted)
	if route != nil {
		delete(t.withoutRouteSince, job.Job)
		if route.Retention > 0 && now.Sub(job.AcceptedAt) >= route.Retention+clockTolerance {
			return RetentionOver
		}
		return None
	}
	// The route may have been added by a version that this instance has not read yet.
	if revision.Version < job.Revision {
		delete(t.withoutRouteSince, job.Job)
		return None
	}
	since, known := t.withoutRouteSince[job.Job]
	if !known {
		since = now
		t.withoutRouteSince[job.Job] = now
	}
	if now.Sub(since) < routeRemovalGrace {
		return None
	}
	return RouteRemoved
}

// Forget drops what is known about a job that has ended or that this instance does not hold.
func (t *Table) Forget(job string) { delete(t.withoutRouteSince, job) }
