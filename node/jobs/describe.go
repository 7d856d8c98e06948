package jobs

import (
	"slices"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/policy/abandon"
)

// ItemState is what an instance knows about where an item is.
type ItemState string

// The states of an item.
const (
	// ItemListed: the item has its final result.
	ItemListed ItemState = "listed"
	// ItemRunning: it runs on a server, and ItemSaving: its result is being written.
	ItemRunning ItemState = "running"
	ItemSaving  ItemState = "saving"
	// ItemDelayed: it runs again after a delay, and ItemWaiting: it waits for a free slot.
	ItemDelayed ItemState = "delayed"
	ItemWaiting ItemState = "waiting"
	// ItemElsewhere: another instance holds the job and knows.
	ItemElsewhere ItemState = "held elsewhere"
	// ItemEnded: the job was ended by its caller or has no route any more.
	ItemEnded ItemState = "ended"
)

// Description is what an instance knows about a job.
type Description struct {
	Job    string `json:"job"`
	Route  string `json:"route"`
	Holder string `json:"holder"`
	// HeldHere is set if this instance holds the job.
	HeldHere  bool   `json:"held_here"`
	Workspace string `json:"workspace,omitempty"`
	Ended     bool   `json:"ended"`
	// DueInMs is the time until all results are due; it is negative afterwards.
	DueInMs int64             `json:"due_in_ms"`
	Items   []ItemDescription `json:"items"`
	// ReadAgoMs is the age of what is known of the job, in milliseconds.
	ReadAgoMs int64 `json:"read_ago_ms"`
}

// ItemDescription is what an instance knows about an item of a job.
type ItemDescription struct {
	// Item is the zero-based index in the submission. ID is the caller's ID, if it is known
	// without reading the submission.
	Item  int       `json:"item"`
	ID    string    `json:"id,omitempty"`
	State ItemState `json:"state"`
	// Server runs the item.
	Server string `json:"server,omitempty"`
	// StartsInMs is the rest of the delay of a delayed item.
	StartsInMs int64 `json:"starts_in_ms,omitempty"`
	// SlackMs is the time for which the item can wait and still be done when it is due.
	SlackMs int64 `json:"slack_ms,omitempty"`
	// LastEvent is the last event of the output so far.
	LastEvent int64 `json:"last_event,omitempty"`
	Failures  int   `json:"failures,omitempty"`
	// Position is the position among the results of a listed item, and Reason why it was given up.
	Position int    `json:"position,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// Describe returns what this instance knows about a job, or nil if it knows no such job. It
// changes nothing.
func (r *Runner) Describe(id string) *Description {
	now := time.Now()
	job := r.copyJob(id)
	if job == nil {
		return nil
	}
	d := &Description{
		Job: id, Route: job.Route, Holder: job.Holder.Instance, HeldHere: job.Holder == r.Self, Workspace: job.Workspace,
		Ended: job.Ended, ReadAgoMs: now.Sub(job.UpdatedAt).Milliseconds(),
	}
	var route *serving.Route
	if revision := r.View.Revision(); revision != nil {
		route = abandon.BatchRoute(revision, &job.Accepted)
	}
	if route != nil {
		d.DueInMs = job.AcceptedAt.Add(route.DueAfter).Sub(now).Milliseconds()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	js := r.jobs[id]
	for i := range job.Items {
		item := ItemDescription{Item: i, Failures: job.Items[i].Failures}
		switch {
		case job.Items[i].HasResult:
			item.State = ItemListed
		case job.Ended || route == nil:
			item.State = ItemEnded
		case js == nil || !js.held:
			item.State = ItemElsewhere
		default:
			item.SlackMs = r.runTimes.Slack(now, js.slackItem(i, route)).Milliseconds()
			item.describeRun(now, js.items[i])
		}
		d.Items = append(d.Items, item)
	}
	for position, result := range job.Results {
		item := &d.Items[result.Item]
		item.ID, item.Position, item.Reason = result.ID, position, result.Reason
	}
	return d
}

// copyJob returns a copy of a job of the index, or nil.
func (r *Runner) copyJob(id string) (job *joblog.Job) {
	r.Index.Read(func(t *joblog.Table) {
		if j := t.Job(id); j != nil {
			snapshot := *j
			snapshot.Items, snapshot.Results = slices.Clone(j.Items), slices.Clone(j.Results)
			job = &snapshot
		}
	})
	return job
}

// describeRun describes an unfinished item of a job that this instance holds; run is nil if the
// item has not run here.
func (d *ItemDescription) describeRun(now time.Time, run *itemRun) {
	d.State = ItemWaiting
	if run == nil {
		return
	}
	d.Failures = max(d.Failures, run.failures)
	switch {
	case run.saving:
		d.State = ItemSaving
	case run.active:
		d.State, d.Server = ItemRunning, run.server
	case now.Before(run.notBefore):
		d.State, d.StartsInMs = ItemDelayed, run.notBefore.Sub(now).Milliseconds()
	}
	if !run.active {
		d.LastEvent = run.lastEvent // the goroutine of an active run changes it
	}
}
