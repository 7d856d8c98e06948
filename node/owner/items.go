package owner

import (
	"context"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/partition"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	// maxPull bounds the items of one answer.
	maxPull = 512
	// pullBytes bounds the lines of one answer; a message may have 4 MiB.
	pullBytes = 2 << 20
	// holdBytes is the amount of entries waiting for the log at which no item is
	// handed out any more. It leaves the rest of partition.MaxPendingBytes to
	// the results of items that run already.
	holdBytes = partition.MaxPendingBytes / 2
)

// leased is an item that a director may run, and where its line stands.
type leased struct {
	lease partition.Lease
	job   *recordpb.JobCreated
}

// pull leases up to most items of the model to a director, with their lines.
func (d *duty) pull(ctx context.Context, in *peerpb.PullItemsRequest, most int) ([]*peerpb.Item, *peerpb.Refusal) {
	until := waitUntil(ctx, 0)
	got, refusal := ask(ctx, d, func(reply func([]leased, *peerpb.Refusal)) {
		d.meet(in.Director)
		d.lease(in, most, until, reply)
	})
	if refusal != nil {
		return nil, refusal
	}
	var out []*peerpb.Item
	var lines [][]byte
	var first uint32
	var file string
	size := 0
	for i, l := range got {
		var r *peerpb.Refusal
		if item := l.lease.Item; l.job.FileId != file || item < first || int(item-first) >= len(lines) {
			lines, first, r = d.lines(ctx, l.job.FileId, item)
			file = l.job.FileId
		}
		if r != nil || size > pullBytes {
			// What cannot be read now goes back and is handed out again later.
			d.giveBack(in.Director, got[i:])
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
		// The director no longer listens. An item that never went out must not
		// lose an attempt, and a non-idempotent one must not end as unknown.
		d.giveBack(in.Director, got[:len(out)])
		return nil, refuseUnknown()
	}
	itemsLeased.Add(int64(len(out)))
	if len(out) > 0 {
		refusal = nil
	}
	return out, refusal
}

// allowance scales a request down as the entries that wait for the log fill
// their buffer, so that there is room for the results.
func (d *duty) allowance(most int) int {
	room := holdBytes - d.queueSize
	if room <= 0 {
		return 0
	}
	return (most*room + holdBytes - 1) / holdBytes
}

// lease decides which items go out. Items of non-idempotent jobs go out after
// their start was read back.
func (d *duty) lease(in *peerpb.PullItemsRequest, most int, until time.Time, reply func([]leased, *peerpb.Refusal)) {
	most = d.allowance(min(most, maxPull))
	ready := d.takeConfirmed(in.Director, most)
	if most -= len(ready); most <= 0 {
		reply(ready, nil)
		return
	}
	now := time.Now()
	q := partition.LeaseRequest{Director: in.Director, Max: most, DurationMs: d.opts.LeaseDuration.Milliseconds()}
	if in.Model != "" {
		q.Models = []string{in.Model}
	}
	leases, entries := d.leases.Lease(d.state, q, now.UnixMilli())
	ready = append(ready, d.describe(leases)...)
	if len(entries) > 0 && d.appender.down {
		d.leases.Rollback(entries...)
		entries = nil
	}
	if len(entries) == 0 {
		reply(ready, nil)
		return
	}
	done := func(r *peerpb.Refusal) {
		if r == nil {
			ready = append(ready, d.takeConfirmed(in.Director, most)...)
		}
		reply(ready, nil)
	}
	if len(ready) > 0 {
		done(&peerpb.Refusal{}) // what is ready does not wait for the rest
		done = nil
	}
	if r := d.add(request{deadline: until, done: done}, entries...); r != nil {
		d.leases.Rollback(entries...)
		reply(ready, nil)
	}
}

// takeConfirmed returns items whose start was read back and that have not gone out.
func (d *duty) takeConfirmed(director string, most int) []leased {
	list := d.confirmed[director]
	n := min(most, len(list))
	if n == 0 {
		return nil
	}
	if d.confirmed[director] = list[n:]; n == len(list) {
		delete(d.confirmed, director)
	}
	return d.describe(list[:n])
}

func (d *duty) describe(leases []partition.Lease) []leased {
	out := make([]leased, 0, len(leases))
	for _, l := range leases {
		if j, ok := d.state.Job(l.JobID); ok && !j.Terminal() {
			out = append(out, leased{lease: l, job: j.Created})
		}
	}
	return out
}

// returnUnsent takes back confirmed items that no director has fetched in time.
func (d *duty) returnUnsent(nowMs int64) {
	for director, list := range d.confirmed {
		kept := list[:0]
		for _, l := range list {
			if l.UntilMs > nowMs+d.opts.LeaseDuration.Milliseconds()/2 {
				kept = append(kept, l)
				continue
			}
			d.leases.Return(director, l.JobID, l.Item, partition.ReturnNotDispatched, nowMs)
		}
		if d.confirmed[director] = kept; len(kept) == 0 {
			delete(d.confirmed, director)
		}
	}
}

func (d *duty) giveBack(director string, items []leased) {
	_ = d.events.Put(d.ctx, func() {
		if d.refusal() != nil {
			return
		}
		for _, l := range items {
			d.leases.Return(director, l.lease.JobID, l.lease.Item, partition.ReturnNotDispatched, time.Now().UnixMilli())
		}
	})
}

// push takes results and returns of a director. It answers after the results
// were read back; with a refusal the director keeps them and pushes them again.
func (d *duty) push(ctx context.Context, in *peerpb.PushResultsRequest) (*peerpb.PushResultsResponse, error) {
	ctx, cancel := unbounded(ctx, maxWait)
	defer cancel()
	until := waitUntil(ctx, in.WaitMs)
	out, refusal := ask(ctx, d, func(reply func(*peerpb.PushResultsResponse, *peerpb.Refusal)) {
		now := time.Now().UnixMilli()
		d.meet(in.Director)
		resp := &peerpb.PushResultsResponse{}
		entries := d.leases.RecordResults(d.state, in.JobId, in.Results, now)
		answer := func(r *peerpb.Refusal) {
			if j, ok := d.state.Job(in.JobId); ok {
				resp.Cancelled = j.Cancelled
			}
			resp.Refusal = r
			reply(resp, nil)
		}
		if len(entries) > 0 {
			if r := d.add(request{deadline: until, done: answer, lazy: true}, entries...); r != nil {
				d.leases.Rollback(entries...)
				answer(r)
				return
			}
		}
		d.takeBack(in, now)
		resp.Stop = d.leases.Renew(in.Director, in.JobId, in.Renew, now+d.opts.LeaseDuration.Milliseconds())
		switch {
		case len(entries) > 0:
		case d.settled(in):
			answer(nil)
		default:
			// An earlier push has queued them.
			d.barrier(request{deadline: until, done: answer, lazy: true})
		}
	})
	if refusal != nil {
		return &peerpb.PushResultsResponse{Refusal: refusal}, nil
	}
	return out, nil
}

// settled reports whether each result of a push stands or never can.
func (d *duty) settled(in *peerpb.PushResultsRequest) bool {
	j, ok := d.state.Job(in.JobId)
	if !ok || j.Terminal() {
		return true
	}
	for _, r := range in.Results {
		if r.Item < j.ItemCount() && j.Outcome(r.Item) == recordpb.Outcome_OUTCOME_UNSPECIFIED {
			return false
		}
	}
	return true
}

// takeBack handles the items that come back without a result.
func (d *duty) takeBack(in *peerpb.PushResultsRequest, nowMs int64) {
	var entries []*recordpb.Entry
	for _, r := range in.Returned {
		why := partition.ReturnFailed
		switch {
		case r.NotRun:
			why = partition.ReturnNotDispatched
		case r.Preempted:
			why = partition.ReturnPreempted
		}
		if e := d.leases.Return(in.Director, in.JobId, r.Index, why, nowMs); e != nil {
			entries = append(entries, e)
		}
	}
	d.addOwn(entries)
}

// addOwn queues entries of the owner itself, which nobody waits for.
func (d *duty) addOwn(entries []*recordpb.Entry) {
	for _, e := range entries {
		if r := d.add(request{}, e); r != nil {
			d.leases.Rollback(e)
			if f := e.GetCallFinished(); f != nil {
				d.calls.Forget(partition.Ref{Workspace: f.Workspace, Key: f.Key})
			}
		}
	}
}
