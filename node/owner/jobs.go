package owner

import (
	"context"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/partition"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// commit adds one entry that a request waits for. While the log is down it is
// refused.
func (o *partitionOwner) commit(deadline time.Time, e *recordpb.Entry, done func(*peerpb.Refusal)) {
	if o.appends.logDown {
		done(refuseLog())
		return
	}
	if r := o.add(addOptions{deadline: deadline, rollback: func() {}, done: done}, e); r != nil {
		done(r)
	}
}

func (o *partitionOwner) bindKey(ctx context.Context, in *peerpb.BindKeyRequest) (*peerpb.BindKeyResponse, error) {
	ctx, cancel := withDefaultTimeout(ctx, maxWait)
	defer cancel()
	deadline := replyDeadline(ctx, in.WaitMs)
	binding := &recordpb.KeyBound{Workspace: in.Workspace, Key: in.Key, Content: in.Content, JobId: in.JobId}
	id, refusal := ask(ctx, o, func(reply func(string, *peerpb.Refusal)) {
		id, e, err := partition.BindKey(o.state, binding, time.Now().UnixMilli())
		switch {
		case err != nil:
			reply("", refusalOf(err))
		case e == nil:
			reply(id, nil)
		default:
			o.commit(deadline, e, func(r *peerpb.Refusal) {
				if r != nil {
					reply("", r)
					return
				}
				// Another binding of the key may have been recorded first.
				id, _, err := partition.BindKey(o.state, binding, 0)
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

func (o *partitionOwner) create(ctx context.Context, in *peerpb.CreateJobRequest) (*peerpb.JobInfo, error) {
	ctx, cancel := withDefaultTimeout(ctx, maxWait)
	defer cancel()
	if in.Job == nil {
		return &peerpb.JobInfo{Refusal: refuse(api.CodeInvalidRequest, "no job named")}, nil
	}
	deadline, workspace, id, file := replyDeadline(ctx, in.WaitMs), in.Job.Workspace, in.Job.JobId, in.Job.FileId
	info, refusal := ask(ctx, o, func(reply func(*peerpb.JobInfo, *peerpb.Refusal)) {
		respond := func(r *peerpb.Refusal) {
			if _, ok := o.state.Job(id); r == nil && !ok {
				r = refusalOf(partition.ErrNoFile) // the file was removed before the job was recorded
			}
			if r != nil {
				reply(nil, r)
				return
			}
			reply(o.jobInfo(workspace, id))
		}
		if f, ok := o.state.File(file); ok && f.Sealed.GetWorkspace() != workspace {
			respond(refusalOf(partition.ErrNoFile))
			return
		}
		e, err := partition.CreateJob(o.state, in.Job, time.Now().UnixMilli())
		switch {
		case err != nil:
			respond(refusalOf(err))
		case e == nil:
			respond(nil)
		default:
			o.commit(deadline, e, respond)
		}
	})
	return jobOrRefusal(info, refusal), nil
}

func jobOrRefusal(info *peerpb.JobInfo, r *peerpb.Refusal) *peerpb.JobInfo {
	if r != nil {
		return &peerpb.JobInfo{Refusal: r}
	}
	return info
}

func (o *partitionOwner) getJob(ctx context.Context, in *peerpb.JobRequest) (*peerpb.JobInfo, error) {
	ctx, cancel := withDefaultTimeout(ctx, defaultWait)
	defer cancel()
	return jobOrRefusal(query(ctx, o, func() (*peerpb.JobInfo, *peerpb.Refusal) {
		return o.jobInfo(in.Workspace, in.JobId)
	})), nil
}

func (o *partitionOwner) cancelJob(ctx context.Context, in *peerpb.CancelJobRequest) (*peerpb.JobInfo, error) {
	ctx, cancel := withDefaultTimeout(ctx, maxWait)
	defer cancel()
	deadline := replyDeadline(ctx, in.WaitMs)
	return jobOrRefusal(ask(ctx, o, func(reply func(*peerpb.JobInfo, *peerpb.Refusal)) {
		if _, r := o.jobInfo(in.Workspace, in.JobId); r != nil {
			reply(nil, r)
			return
		}
		e, err := partition.CancelJob(o.state, in.JobId, in.Actor, time.Now().UnixMilli())
		if err != nil || e == nil {
			reply(o.jobInfo(in.Workspace, in.JobId)) // the job has already ended
			return
		}
		// A cancellation stays queued after the deadline: the caller wants the
		// job to stop, and repeating the cancellation is harmless.
		r := o.add(addOptions{deadline: deadline, done: func(r *peerpb.Refusal) {
			if r != nil {
				reply(nil, r)
				return
			}
			reply(o.jobInfo(in.Workspace, in.JobId))
		}}, e)
		if r != nil {
			reply(nil, r)
		}
	})), nil
}

// jobInfo returns a job of the workspace.
func (o *partitionOwner) jobInfo(workspace, id string) (*peerpb.JobInfo, *peerpb.Refusal) {
	j, ok := o.state.Job(id)
	if !ok || j.Created.Workspace != workspace {
		return nil, refusalOf(partition.ErrNoJob)
	}
	return o.newJobInfo(j), nil
}

func (o *partitionOwner) newJobInfo(j *partition.Job) *peerpb.JobInfo {
	done, failed, unknown := j.OutcomeCounts()
	info := &peerpb.JobInfo{Job: j.Created, Completed: uint32(done), Failed: uint32(failed), Unknown: uint32(unknown),
		CreatedMs: j.CreatedMs, CancelledMs: j.CancelledMs, CompletedMs: j.CompletedMs, Status: string(jobStatus(j))}
	if progress := o.progress[j.Created.JobId]; progress != nil {
		info.ItemsPerSecond, info.AtRisk = progress.rate, progress.atRisk
	}
	return info
}

func jobStatus(j *partition.Job) api.JobStatus {
	switch {
	case j.Cancelled:
		return api.JobCancelled
	case j.CompletedMs != 0:
		return api.JobCompleted
	}
	return api.JobInProgress
}

// pastCursor reports whether an aggregate comes after the cursor of a list that is
// ordered newest first.
func pastCursor(ms int64, id string, beforeMs int64, beforeID string) bool {
	return beforeID == "" || ms < beforeMs || ms == beforeMs && id < beforeID
}

// listJobs returns the newest jobs of the workspace after the cursor, up to in.Limit.
func (o *partitionOwner) listJobs(ctx context.Context, in *peerpb.ListJobsRequest) ([]*peerpb.JobInfo, *peerpb.Refusal) {
	return query(ctx, o, func() ([]*peerpb.JobInfo, *peerpb.Refusal) {
		var jobs []*partition.Job
		o.state.ForEachJob(func(j *partition.Job) {
			if j.Created.Workspace == in.Workspace && pastCursor(j.CreatedMs, j.Created.JobId, in.BeforeMs, in.BeforeId) {
				jobs = append(jobs, j)
			}
		})
		jobs = newest(jobs, int(in.Limit), func(j *partition.Job) (int64, string) { return j.CreatedMs, j.Created.JobId })
		out := make([]*peerpb.JobInfo, len(jobs))
		for i, j := range jobs {
			out[i] = o.newJobInfo(j)
		}
		return out, nil
	})
}

// resultRanges returns the locations of a job's results.
func (o *partitionOwner) resultRanges(ctx context.Context, in *peerpb.JobRequest) ([]partition.Range, *peerpb.Refusal) {
	return query(ctx, o, func() ([]partition.Range, *peerpb.Refusal) {
		j, ok := o.state.Job(in.JobId)
		if !ok || j.Created.Workspace != in.Workspace {
			return nil, refusalOf(partition.ErrNoJob)
		}
		return append([]partition.Range(nil), j.Results...), nil
	})
}

// readResults calls fn for each recorded result, in order of items.
func (o *partitionOwner) readResults(ctx context.Context, in *peerpb.JobRequest, fn func(*recordpb.ItemResult) error) (*peerpb.Refusal, error) {
	ranges, refusal := o.resultRanges(ctx, in)
	if refusal != nil {
		return refusal, nil
	}
	locations, refusal := o.sortedResults(ctx, in.JobId, ranges)
	if refusal != nil {
		return refusal, nil
	}
	for _, location := range locations {
		results, refusal := o.readResultRange(ctx, in.JobId, ranges[location.rangeIndex])
		if refusal != nil {
			return refusal, nil
		}
		if err := fn(results[location.offset]); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

func (o *partitionOwner) readResultRange(ctx context.Context, jobID string, r partition.Range) ([]*recordpb.ItemResult, *peerpb.Refusal) {
	b, err := o.manager.reader.batchAt(ctx, o.number, r.Offset, true)
	if err != nil {
		return nil, refuseUnreadable()
	}
	results := partition.ItemResultsAt(jobID, r, b)
	if results == nil {
		return nil, refuseUnreadable()
	}
	return results, nil
}
