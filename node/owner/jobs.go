package owner

import (
	"context"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/partition"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// commit adds one entry that a caller waits for. While the log is down nothing
// new is taken.
func (d *duty) commit(until time.Time, e *recordpb.Entry, done func(*peerpb.Refusal)) {
	if d.appender.down {
		done(refuseLog())
		return
	}
	if r := d.add(request{deadline: until, undo: func() {}, done: done}, e); r != nil {
		done(r)
	}
}

func (d *duty) bindKey(ctx context.Context, in *peerpb.BindKeyRequest) (*peerpb.BindKeyResponse, error) {
	ctx, cancel := unbounded(ctx, maxWait)
	defer cancel()
	until := waitUntil(ctx, in.WaitMs)
	b := &recordpb.KeyBound{Workspace: in.Workspace, Key: in.Key, Content: in.Content, JobId: in.JobId}
	id, refusal := ask(ctx, d, func(reply func(string, *peerpb.Refusal)) {
		id, e, err := partition.BindKey(d.state, b, time.Now().UnixMilli())
		switch {
		case err != nil:
			reply("", refusalOf(err))
		case e == nil:
			reply(id, nil)
		default:
			d.commit(until, e, func(r *peerpb.Refusal) {
				if r != nil {
					reply("", r)
					return
				}
				// Another binding may stand before this one.
				id, _, err := partition.BindKey(d.state, b, 0)
				if err != nil {
					reply("", refusalOf(err))
					return
				}
				reply(id, nil)
			})
		}
	})
	return &peerpb.BindKeyResponse{JobId: id, Refusal: refusal}, nil
}

func (d *duty) create(ctx context.Context, in *peerpb.CreateJobRequest) (*peerpb.JobInfo, error) {
	ctx, cancel := unbounded(ctx, maxWait)
	defer cancel()
	if in.Job == nil {
		return &peerpb.JobInfo{Refusal: refuse(api.CodeInvalidRequest, "no job named")}, nil
	}
	until, workspace, id, file := waitUntil(ctx, in.WaitMs), in.Job.Workspace, in.Job.JobId, in.Job.FileId
	info, refusal := ask(ctx, d, func(reply func(*peerpb.JobInfo, *peerpb.Refusal)) {
		answer := func(r *peerpb.Refusal) {
			if _, ok := d.state.Job(id); r == nil && !ok {
				r = refusalOf(partition.ErrNoFile) // removed before the job was recorded
			}
			if r != nil {
				reply(nil, r)
				return
			}
			reply(d.jobInfo(workspace, id))
		}
		if f, ok := d.state.File(file); ok && f.Sealed.GetWorkspace() != workspace {
			answer(refusalOf(partition.ErrNoFile))
			return
		}
		e, err := partition.CreateJob(d.state, in.Job, time.Now().UnixMilli())
		switch {
		case err != nil:
			answer(refusalOf(err))
		case e == nil:
			answer(nil)
		default:
			d.commit(until, e, answer)
		}
	})
	return orRefusal(info, refusal), nil
}

func orRefusal(info *peerpb.JobInfo, r *peerpb.Refusal) *peerpb.JobInfo {
	if r != nil {
		return &peerpb.JobInfo{Refusal: r}
	}
	return info
}

func (d *duty) getJob(ctx context.Context, in *peerpb.JobRequest) (*peerpb.JobInfo, error) {
	ctx, cancel := unbounded(ctx, defaultWait)
	defer cancel()
	return orRefusal(look(ctx, d, func() (*peerpb.JobInfo, *peerpb.Refusal) {
		return d.jobInfo(in.Workspace, in.JobId)
	})), nil
}

func (d *duty) cancelJob(ctx context.Context, in *peerpb.CancelJobRequest) (*peerpb.JobInfo, error) {
	ctx, cancel := unbounded(ctx, maxWait)
	defer cancel()
	until := waitUntil(ctx, in.WaitMs)
	return orRefusal(ask(ctx, d, func(reply func(*peerpb.JobInfo, *peerpb.Refusal)) {
		if _, r := d.jobInfo(in.Workspace, in.JobId); r != nil {
			reply(nil, r)
			return
		}
		e, err := partition.CancelJob(d.state, in.JobId, in.Actor, time.Now().UnixMilli())
		if err != nil || e == nil {
			reply(d.jobInfo(in.Workspace, in.JobId)) // it has ended already
			return
		}
		// A cancel stays queued when the wait ends: repeating it is harmless,
		// and the caller wants the job to stop.
		r := d.add(request{deadline: until, done: func(r *peerpb.Refusal) {
			if r != nil {
				reply(nil, r)
				return
			}
			reply(d.jobInfo(in.Workspace, in.JobId))
		}}, e)
		if r != nil {
			reply(nil, r)
		}
	})), nil
}

// jobInfo describes a job of the workspace.
func (d *duty) jobInfo(workspace, id string) (*peerpb.JobInfo, *peerpb.Refusal) {
	j, ok := d.state.Job(id)
	if !ok || j.Created.Workspace != workspace {
		return nil, refusalOf(partition.ErrNoJob)
	}
	return d.infoOf(j), nil
}

func (d *duty) infoOf(j *partition.Job) *peerpb.JobInfo {
	done, failed, unknown := j.OutcomeCounts()
	info := &peerpb.JobInfo{Job: j.Created, Completed: uint32(done), Failed: uint32(failed), Unknown: uint32(unknown),
		CreatedMs: j.CreatedMs, CancelledMs: j.CancelledMs, CompletedMs: j.CompletedMs, Status: string(statusOf(j))}
	if p := d.progress[j.Created.JobId]; p != nil {
		info.ItemsPerSecond, info.AtRisk = p.rate, p.atRisk
	}
	return info
}

func statusOf(j *partition.Job) api.JobStatus {
	switch {
	case j.Cancelled:
		return api.JobCancelled
	case j.CompletedMs != 0:
		return api.JobCompleted
	}
	return api.JobInProgress
}

// before reports whether an aggregate follows the position in a list, newest first.
func before(ms int64, id string, beforeMs int64, beforeID string) bool {
	return beforeID == "" || ms < beforeMs || ms == beforeMs && id < beforeID
}

// listJobs returns up to limit jobs of the workspace, in no fixed order if there are fewer.
func (d *duty) listJobs(ctx context.Context, in *peerpb.ListJobsRequest) ([]*peerpb.JobInfo, *peerpb.Refusal) {
	return look(ctx, d, func() ([]*peerpb.JobInfo, *peerpb.Refusal) {
		var jobs []*partition.Job
		d.state.ForEachJob(func(j *partition.Job) {
			if j.Created.Workspace == in.Workspace && before(j.CreatedMs, j.Created.JobId, in.BeforeMs, in.BeforeId) {
				jobs = append(jobs, j)
			}
		})
		jobs = newest(jobs, int(in.Limit), func(j *partition.Job) (int64, string) { return j.CreatedMs, j.Created.JobId })
		out := make([]*peerpb.JobInfo, len(jobs))
		for i, j := range jobs {
			out[i] = d.infoOf(j)
		}
		return out, nil
	})
}

// ranges returns the places of a job's results.
func (d *duty) ranges(ctx context.Context, in *peerpb.JobRequest) ([]partition.Range, *peerpb.Refusal) {
	return look(ctx, d, func() ([]partition.Range, *peerpb.Refusal) {
		j, ok := d.state.Job(in.JobId)
		if !ok || j.Created.Workspace != in.Workspace {
			return nil, refusalOf(partition.ErrNoJob)
		}
		return append([]partition.Range(nil), j.Results...), nil
	})
}

// results calls fn for each result that stands, in order of items.
func (d *duty) results(ctx context.Context, in *peerpb.JobRequest, fn func(*recordpb.ItemResult) error) (*peerpb.Refusal, error) {
	ranges, refusal := d.ranges(ctx, in)
	if refusal != nil {
		return refusal, nil
	}
	places, refusal := d.order(ctx, in.JobId, ranges)
	if refusal != nil {
		return refusal, nil
	}
	for _, p := range places {
		results, refusal := d.resultsAt(ctx, in.JobId, ranges[p.at])
		if refusal != nil {
			return refusal, nil
		}
		if err := fn(results[p.index]); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

func (d *duty) resultsAt(ctx context.Context, jobID string, r partition.Range) ([]*recordpb.ItemResult, *peerpb.Refusal) {
	b, err := d.m.reader.record(ctx, d.number, r.Offset, true)
	if err != nil {
		return nil, readRefusal()
	}
	results := partition.ItemResultsAt(jobID, r, b)
	if results == nil {
		return nil, readRefusal()
	}
	return results, nil
}
