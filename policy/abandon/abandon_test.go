package abandon

import (
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
	"github.com/jacinthnotch/jacinthnotch/domain/serving"
)

var epoch = time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC)

const retention = time.Minute

// revision returns a configuration with routes of the given kinds at the path of the job.
func revision(version int64, kinds ...serving.Kind) *serving.Revision {
	r := &serving.Revision{Version: version}
	for _, kind := range kinds {
		r.Routes = append(r.Routes, &serving.Route{Name: "r", Host: "h", PathPrefix: "/b/", Kind: kind, Retention: retention})
	}
	r.Index()
	return r
}

// step is the decision that is expected at a time after the acceptance of the job.
type step struct {
	at       time.Duration
	revision *serving.Revision
	want     Reason
}

// Guards against items that are never listed after the end of their route or their retention
// time, and against items that are given up before it.
func TestReasonsToGiveUp(t *testing.T) {
	with, without := revision(5, serving.Batch), revision(6)
	for name, steps := range map[string][]step{
		"served":                      {{0, with, None}, {time.Second, with, None}},
		"no configuration":            {{0, nil, None}, {time.Hour, nil, None}},
		"route removed":               {{0, with, None}, {time.Second, without, None}, {time.Second + routeRemovalGrace, without, RouteRemoved}},
		"removed before the takeover": {{time.Minute, without, None}, {time.Minute + routeRemovalGrace, without, RouteRemoved}},
		"added again in time": {
			{0, without, None}, {routeRemovalGrace / 2, revision(7, serving.Batch), None},
			{routeRemovalGrace, revision(8), None}, {2*routeRemovalGrace - 1, revision(8), None}, {2 * routeRemovalGrace, revision(8), RouteRemoved},
		},
		"added again later":                   {{0, without, None}, {time.Minute, without, RouteRemoved}, {time.Minute, revision(7, serving.Batch), None}},
		"configuration older than the job":    {{0, revision(4), None}, {time.Hour, revision(4), None}},
		"the path is now of another route":    {{0, revision(6, serving.Safe), None}, {routeRemovalGrace, revision(6, serving.Safe), RouteRemoved}},
		"retention over":                      {{retention + clockTolerance - 1, with, None}, {retention + clockTolerance, with, RetentionOver}},
		"retention over, older configuration": {{time.Hour, revision(4), None}},
	} {
		job := &joblog.Job{Accepted: joblog.Accepted{Job: "j", Host: "h", Path: "/b/x", Revision: 5}, AcceptedAt: epoch}
		table := NewTable()
		for _, s := range steps {
			if got := table.Decide(epoch.Add(s.at), job, s.revision); got != s.want {
				t.Errorf("%s: after %v: %q, want %q", name, s.at, got, s.want)
			}
		}
	}
}

// Guards against a retention time of zero, which means none, that ends at once.
func TestNoRetentionTime(t *testing.T) {
	r := revision(1, serving.Batch)
	r.Routes[0].Retention = 0
	job := &joblog.Job{Accepted: joblog.Accepted{Job: "j", Host: "h", Path: "/b/x"}, AcceptedAt: epoch}
	if got := NewTable().Decide(epoch.Add(1000*time.Hour), job, r); got != None {
		t.Fatalf("%q, want none", got)
	}
}
