package owner

import (
	"context"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/partition"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	// maxPullItems bounds the items of one response.
	maxPullItems = 512
	// maxPullBytes bounds the lines of one response, below the message limit of 4 MiB.
	maxPullBytes = 2 << 20
	// leaseCutoffBytes is the size of the queue at which no more items are leased.
	// The rest of partition.MaxPendingBytes is left for the results of items that
	// already run.
	leaseCutoffBytes = partition.MaxPendingBytes / 2
)

// leasedItem is the lease of an item and the job that the item belongs to.
type leasedItem struct {
	lease partition.Lease
	job   *recordpb.JobCreated
}

// pullItems leases up to limit items of the model to a director and reads their lines.
func (o *partitionOwner) pullItems(ctx context.Context, in *peerpb.PullItemsRequest, limit int) ([]*peerpb.Item, *peerpb.Refusal) {
	deadline := replyDeadline(ctx, 0)
	leased, refusal := ask(ctx, o, func(reply func([]leasedItem, *peerpb.Refusal)) {
		o.trackExecutor(in.Director)
		o.leaseItems(in, limit, deadline, reply)
	})
	if refusal != nil {
		return nil, refusal
	}
	var out []*peerpb.Item
	var lines [][]byte
	var first uint32
	var file string
	size := 0
	for i, l := range leased {
		var r *peerpb.Refusal
		if item := l.lease.Item; l.job.FileId != file || item < first || int(item-first) >= len(lines) {
			lines, first, r = o.readChunk(ctx, l.job.FileId, item)
			file = l.job.FileId
		}
		if r != nil || size > maxPullBytes {
			// Items that cannot be read now, or exceed the response, are returned
			// and leased again later.
			o.returnItems(in.Director, leased[i:])
			refusal = r
			break
		}
		line := lines[l.lease.Item-first]
		size += len(line)
		out = append(out, &peerpb.Item{JobId: l.job.JobId, Index: l.lease.Item, Line: line, DueMs: l.job.DueMs,
			Attempt: uint32(l.lease.Attempt), NonIdempotent: l.job.NonIdempotent, Endpoint: l.job.Endpoint,
			Workspace: l.job.Workspace, LeaseUntilMs: l.lease.UntilMs})
	}
	if ctx.Err() != nil {
		// The director no longer waits. An item that was not delivered must not
		// lose an attempt, and a non-idempotent one must not end as unknown.
		o.returnItems(in.Director, leased[:len(out)])
		return nil, refuseUnknown()
	}
	itemsLeased.Add(int64(len(out)))
	if len(out) > 0 {
		refusal = nil
	}
	return out, refusal
}

// scaledLimit reduces the limit of a pull in proportion to the size of the queue, so
// that there is room for the results.
func (o *partitionOwner) scaledLimit(limit int) int {
	free := leaseCutoffBytes - o.queueSize
	if free <= 0 {
		return 0
	}
	return (limit*free + leaseCutoffBytes - 1) / leaseCutoffBytes
}

// leaseItems selects the items to deliver. Items of non-idempotent jobs are delivered
// after their start was read back.
func (o *partitionOwner) leaseItems(in *peerpb.PullItemsRequest, limit int, deadline time.Time, reply func([]leasedItem, *peerpb.Refusal)) {
	limit = o.scaledLimit(min(limit, maxPullItems))
	ready := o.takeConfirmed(in.Director, limit)
	if limit -= len(ready); limit <= 0 {
		reply(ready, nil)
		return
	}
	now := time.Now()
	request := partition.LeaseRequest{Director: in.Director, Max: limit, DurationMs: o.opts.LeaseDuration.Milliseconds()}
	if in.Model != "" {
		request.Models = []string{in.Model}
	}
	leases, entries := o.leases.Lease(o.state, request, now.UnixMilli())
	ready = append(ready, o.withJobs(leases)...)
	if len(entries) > 0 && o.appends.logDown {
		o.leases.Rollback(entries...)
		entries = nil
	}
	if len(entries) == 0 {
		reply(ready, nil)
		return
	}
	done := func(r *peerpb.Refusal) {
		if r == nil {
			ready = append(ready, o.takeConfirmed(in.Director, limit)...)
		}
		reply(ready, nil)
	}
	if len(ready) > 0 {
		done(&peerpb.Refusal{}) // ready items are delivered without waiting for the rest
		done = nil
	}
	if r := o.add(addOptions{deadline: deadline, done: done}, entries...); r != nil {
		o.leases.Rollback(entries...)
		reply(ready, nil)
	}
}

// takeConfirmed returns items whose start was read back and that were not delivered.
func (o *partitionOwner) takeConfirmed(director string, limit int) []leasedItem {
	list := o.confirmedLeases[director]
	n := min(limit, len(list))
	if n == 0 {
		return nil
	}
	if o.confirmedLeases[director] = list[n:]; n == len(list) {
		delete(o.confirmedLeases, director)
	}
	return o.withJobs(list[:n])
}

func (o *partitionOwner) withJobs(leases []partition.Lease) []leasedItem {
	out := make([]leasedItem, 0, len(leases))
	for _, l := range leases {
		if j, ok := o.state.Job(l.JobID); ok && !j.Terminal() {
			out = append(out, leasedItem{lease: l, job: j.Created})
		}
	}
	return out
}

// returnUnsent takes back confirmed items that their director has not pulled within
// half of the lease duration.
func (o *partitionOwner) returnUnsent(nowMs int64) {
	for director, list := range o.confirmedLeases {
		kept := list[:0]
		for _, l := range list {
			if l.UntilMs > nowMs+o.opts.LeaseDuration.Milliseconds()/2 {
				kept = append(kept, l)
				continue
			}
			o.leases.Return(director, l.JobID, l.Item, partition.ReturnNotDispatched, nowMs)
		}
		if o.confirmedLeases[director] = kept; len(kept) == 0 {
			delete(o.confirmedLeases, director)
		}
	}
}

func (o *partitionOwner) returnItems(director string, items []leasedItem) {
	_ = o.events.Put(o.ctx, func() {
		if o.ownershipRefusal() != nil {
			return
		}
		for _, l := range items {
			o.leases.Return(director, l.lease.JobID, l.lease.Item, partition.ReturnNotDispatched, time.Now().UnixMilli())
		}
	})
}

// pushResults records the results of a director and takes back the items it returns.
// It answers after the results were read back; after a refusal the director keeps
// them and pushes them again.
func (o *partitionOwner) pushResults(ctx context.Context, in *peerpb.PushResultsRequest) (*peerpb.PushResultsResponse, error) {
	ctx, cancel := withDefaultTimeout(ctx, maxWait)
	defer cancel()
	deadline := replyDeadline(ctx, in.WaitMs)
	out, refusal := ask(ctx, o, func(reply func(*peerpb.PushResultsResponse, *peerpb.Refusal)) {
		now := time.Now().UnixMilli()
		o.trackExecutor(in.Director)
		resp := &peerpb.PushResultsResponse{}
		entries := o.leases.RecordResults(o.state, in.JobId, in.Results, now)
		respond := func(r *peerpb.Refusal) {
			if j, ok := o.state.Job(in.JobId); ok {
				resp.Cancelled = j.Cancelled
			}
			resp.Refusal = r
			reply(resp, nil)
		}
		if len(entries) > 0 {
			if r := o.add(addOptions{deadline: deadline, done: respond, batched: true}, entries...); r != nil {
				o.leases.Rollback(entries...)
				respond(r)
				return
			}
		}
		o.handleReturned(in, now)
		resp.Stop = o.leases.Renew(in.Director, in.JobId, in.Renew, now+o.opts.LeaseDuration.Milliseconds())
		switch {
		case len(entries) > 0:
		case o.resultsSettled(in):
			respond(nil)
		default:
			// The results were queued by an earlier push.
			o.barrier(addOptions{deadline: deadline, done: respond, batched: true})
		}
	})
	if refusal != nil {
		return &peerpb.PushResultsResponse{Refusal: refusal}, nil
	}
	return out, nil
}

// resultsSettled reports whether each result of a push is recorded or can no longer
// be recorded.
func (o *partitionOwner) resultsSettled(in *peerpb.PushResultsRequest) bool {
	job, ok := o.state.Job(in.JobId)
	if !ok || job.Terminal() {
		return true
	}
	for _, r := range in.Results {
		if r.Item < job.ItemCount() && job.Outcome(r.Item) == recordpb.Outcome_OUTCOME_UNSPECIFIED {
			return false
		}
	}
	return true
}

// handleReturned takes back the items that a director returns without a result.
func (o *partitionOwner) handleReturned(in *peerpb.PushResultsRequest, nowMs int64) {
	var entries []*recordpb.Entry
	for _, r := range in.Returned {
		reason := partition.ReturnFailed
		switch {
		case r.NotRun:
			reason = partition.ReturnNotDispatched
		case r.Preempted:
			reason = partition.ReturnPreempted
		}
		if entry := o.leases.Return(in.Director, in.JobId, r.Index, reason, nowMs); entry != nil {
			entries = append(entries, entry)
		}
	}
	o.addInternal(entries)
}

// addInternal queues entries of the owner itself, which no request waits for.
func (o *partitionOwner) addInternal(entries []*recordpb.Entry) {
	for _, e := range entries {
		if r := o.add(addOptions{}, e); r != nil {
			o.leases.Rollback(e)
			if f := e.GetCallFinished(); f != nil {
				o.calls.Forget(partition.Ref{Workspace: f.Workspace, Key: f.Key})
			}
		}
	}
}
