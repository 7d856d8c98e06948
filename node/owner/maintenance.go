package owner

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/partition"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/stream"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	// maintenancePeriod is the period of the checks for due snapshots, expired leases,
	// overdue calls and lost executors.
	maintenancePeriod = time.Second
	// expirePeriod is the period of the search for aggregates past their retention.
	expirePeriod = time.Minute
	// moveChecksPerRetention is how often within the log's retention the owner
	// searches for entries that are needed and about to expire. Those older than
	// half of the retention are appended again.
	moveChecksPerRetention = 64
	// maxMoveEntries and maxMoveBytes bound the entries that are moved at once.
	maxMoveEntries = 64
	maxMoveBytes   = 1 << 20
	// movePause leaves room for other entries between two groups of moved ones.
	movePause = 50 * time.Millisecond
	// ratePeriod is the period over which the rate of a job is measured, rateWeight
	// the weight of the newest period in its moving average.
	ratePeriod = 5 * time.Second
	rateWeight = 0.3
	// unseenExecutorGrace is how long an instance that was never seen alive may take
	// to appear among the live members before it counts as lost.
	unseenExecutorGrace = 10 * time.Second
	// maxExecutors bounds the instances that are monitored for loss.
	maxExecutors = 4096
)

// maintenance is the schedule of the owner's periodic work.
type maintenance struct {
	lastRun, lastExpiry, lastMove, lastRate time.Time
	snapshotRequested                       bool // and the snapshot has not begun
	expiryQueued, moving                    bool
}

// executor is an instance that runs calls or items of the partition.
type executor struct {
	firstSeen time.Time
	seenAlive bool
}

// jobProgress is the recent rate of a job and whether it may miss its due time.
type jobProgress struct {
	finished uint32
	rate     float64
	atRisk   bool
}

// trackExecutor adds an instance to the executors, so that its calls and leases end
// if it is lost.
func (o *partitionOwner) trackExecutor(instance string) {
	if instance != "" && o.executors[instance] == nil && len(o.executors) < maxExecutors {
		o.executors[instance] = &executor{firstSeen: time.Now()}
	}
}

// trackExecutors tracks the instances that started calls or items under earlier owners.
func (o *partitionOwner) trackExecutors(a *partition.Applied) {
	for _, e := range a.Events {
		switch e := e.(type) {
		case *partition.CallStarted:
			o.trackExecutor(e.Instance)
		case *partition.ItemsStarted:
			o.trackExecutor(e.Director)
		}
	}
}

// tick claims the partition when it is free, answers requests whose deadline has
// passed, and runs the periodic maintenance of an owner.
func (o *partitionOwner) tick(now time.Time) {
	o.nextTick = now.Add(idleTickPeriod)
	if o.commitWaiters > 0 || o.callWaiters > 0 || o.appends.running || o.currentPhase() == phaseWaiting {
		o.nextTick = now.Add(busyTickPeriod)
	}
	o.tryClaim(now)
	if o.stopped || o.writer.Role() != partition.RoleOwner {
		return
	}
	if o.appends.running && now.Sub(o.appends.started) >= appendStallTime {
		o.enterOutage(now)
	}
	o.expireQueue(now, o.appends.logDown)
	if o.appends.logDown && len(o.queue) == 0 && !o.writer.InFlight() {
		// All entries were withdrawn. Without an append the end of the outage
		// would go unnoticed, and requests that need the log would be refused
		// for ever.
		o.addInternal([]*recordpb.Entry{noOpEntry(now)})
	}
	o.expireCallWaits(now)
	if o.releasing {
		o.queueRelease()
		return
	}
	if now.Sub(o.maintenance.lastRun) >= maintenancePeriod {
		o.maintenance.lastRun = now
		o.maintain(now)
	}
}

// maintain ends lost and expired work, and starts snapshots, the removal of expired
// aggregates and the moving of expiring entries when they are due.
func (o *partitionOwner) maintain(now time.Time) {
	ms, m := now.UnixMilli(), &o.maintenance
	o.endLostExecutors(now)
	if o.queueSize < leaseCutoffBytes {
		o.returnUnsent(ms)
		o.addInternal(o.leases.EndExpired(ms))
		refs, entries := o.calls.EndOverdue(o.state, ms, overdueGrace.Milliseconds())
		o.recordCallEnds(refs, entries)
	}
	if !m.snapshotRequested && o.state.SnapshotDue(ms, o.opts.LogRetention.Milliseconds()) {
		m.snapshotRequested = true
		o.writer.BeginSnapshot()
	}
	if !m.expiryQueued && !o.appends.logDown && now.Sub(m.lastExpiry) >= expirePeriod {
		m.lastExpiry = now
		o.expireAggregates(ms)
	}
	if !m.moving && now.Sub(m.lastMove) >= o.opts.LogRetention/moveChecksPerRetention {
		m.lastMove, m.moving = now, true
		o.workers.Go(func() {
			o.moveStale(now.Add(-o.opts.LogRetention / 2))
			_ = o.events.Put(o.ctx, func() { o.maintenance.moving = false })
		})
	}
	if now.Sub(m.lastRate) >= ratePeriod {
		o.updateRates(now, now.Sub(m.lastRate))
		m.lastRate = now
	}
	o.publishBacklog()
}

// recordCallEnds queues the entries that end calls and decides again on the requests
// that wait for the calls.
func (o *partitionOwner) recordCallEnds(refs []partition.Ref, entries []*recordpb.Entry) {
	o.addInternal(entries)
	for _, ref := range refs {
		o.retryWaiters(ref)
	}
}

// endLostExecutors ends the calls and leases of instances that are no longer alive.
func (o *partitionOwner) endLostExecutors(now time.Time) {
	if o.queueSize >= leaseCutoffBytes {
		return // the queue may have no room for the entries that end them
	}
	for name, exec := range o.executors {
		alive := name == o.opts.Instance || o.opts.Preference.Alive(name)
		exec.seenAlive = exec.seenAlive || alive
		if alive || !exec.seenAlive && now.Sub(exec.firstSeen) < unseenExecutorGrace {
			continue
		}
		delete(o.executors, name)
		ms := now.UnixMilli()
		for _, lease := range o.confirmedLeases[name] {
			o.leases.Return(name, lease.JobID, lease.Item, partition.ReturnNotDispatched, ms)
		}
		delete(o.confirmedLeases, name)
		o.addInternal(o.leases.EndByDirector(name, ms))
		refs, entries := o.calls.EndByInstance(o.state, name, ms)
		o.recordCallEnds(refs, entries)
	}
}

func (o *partitionOwner) expireAggregates(ms int64) {
	e := partition.Expire(o.state, o.writer, o.opts.Retention, ms)
	if e == nil {
		return
	}
	r := o.add(addOptions{done: func(*peerpb.Refusal) {
		o.maintenance.expiryQueued = false
		o.maintenance.lastExpiry = time.Time{} // search again, since one entry may not cover all
	}, batched: true}, e)
	o.maintenance.expiryQueued = r == nil
}

// updateRates updates the rate of each active job and whether it is at risk of
// missing its due time.
func (o *partitionOwner) updateRates(now time.Time, elapsed time.Duration) {
	seen := map[string]bool{}
	o.state.ForEachActiveJob(func(j *partition.Job) {
		id := j.Created.JobId
		seen[id] = true
		progress := o.progress[id]
		if progress == nil {
			o.progress[id] = &jobProgress{finished: j.FinishedCount()}
			return
		}
		recent := float64(j.FinishedCount()-progress.finished) / elapsed.Seconds()
		if progress.rate == 0 {
			progress.rate = recent
		}
		progress.rate += rateWeight * (recent - progress.rate)
		progress.finished = j.FinishedCount()
		secondsLeft := float64(j.Created.DueMs-now.UnixMilli()) / 1000
		progress.atRisk = float64(j.ItemCount()-j.FinishedCount()) > progress.rate*secondsLeft
	})
	for id := range o.progress {
		if !seen[id] {
			delete(o.progress, id)
		}
	}
}

// publishBacklog stores the backlog by model for readers in other goroutines.
func (o *partitionOwner) publishBacklog() {
	models := map[string]*Backlog{}
	o.state.ForEachActiveJob(func(j *partition.Job) {
		b := models[j.Created.Model]
		if b == nil {
			b = &Backlog{Model: j.Created.Model, EarliestDueMs: j.Created.DueMs}
			models[j.Created.Model] = b
		}
		b.Items += int(j.ItemCount() - j.FinishedCount())
		b.EarliestDueMs = min(b.EarliestDueMs, j.Created.DueMs)
		if progress := o.progress[j.Created.JobId]; progress != nil {
			b.ItemsPerSecond += progress.rate
			if progress.atRisk {
				b.JobsAtRisk++
			}
		}
	})
	list := make([]Backlog, 0, len(models))
	for _, b := range models {
		list = append(list, *b)
	}
	o.backlog.Store(&list)
}

// moveStale appends the entries again that are still needed and older than cutoff,
// so that they outlive the log's retention.
func (o *partitionOwner) moveStale(cutoff time.Time) {
	cutoffOffset, err := findOffset(o.ctx, o.opts.Log, o.stream, cutoff.UnixMilli())
	for err == nil {
		ctx, cancel := context.WithTimeout(o.ctx, maxWait)
		stale, r := query(ctx, o, func() ([]partition.StaleRange, *peerpb.Refusal) {
			return o.state.StaleBefore(cutoffOffset, maxMoveEntries), nil
		})
		moved := 0
		if r == nil && len(stale) > 0 {
			moved = o.copyStale(ctx, stale)
		}
		cancel()
		if moved == 0 {
			if r == nil && len(stale) > 0 && o.ctx.Err() == nil {
				klog.InfoS("moving expiring entries failed, retrying", "partition", o.number, "entries", len(stale))
			}
			return
		}
		entriesMoved.Add(int64(moved))
		err = (stream.WallClock{}).Sleep(o.ctx, movePause+jitter(movePause))
	}
}

// copyStale appends copies of stale entries up to maxMoveBytes. It returns the number
// of entries whose copies were read back.
func (o *partitionOwner) copyStale(ctx context.Context, stale []partition.StaleRange) int {
	var copies []*recordpb.Entry
	for size := 0; len(stale) > 0 && size < maxMoveBytes; stale = stale[1:] {
		staleRange := stale[0]
		b, err := o.manager.reader.batchAt(ctx, o.number, staleRange.Range.Offset, true)
		if err != nil || int(staleRange.Range.Entry) >= len(b.Entries) {
			continue
		}
		if e := staleRange.Copy(b.Entries[staleRange.Range.Entry], time.Now().UnixMilli()); e != nil {
			copies, size = append(copies, e), size+entrySize(e)
		}
	}
	if len(copies) == 0 {
		return 0
	}
	deadline := replyDeadline(ctx, maxWait.Milliseconds())
	ok, _ := ask(ctx, o, func(reply func(bool, *peerpb.Refusal)) {
		if o.queueSize >= leaseCutoffBytes {
			reply(false, nil)
			return
		}
		if r := o.add(addOptions{deadline: deadline, batched: true, done: func(r *peerpb.Refusal) { reply(r == nil, r) }}, copies...); r != nil {
			reply(false, r)
		}
	})
	if !ok {
		return 0
	}
	return len(copies)
}

// findOffset returns the offset of the first record that is not older than atMs. It
// does a binary search over the times in the records.
func findOffset(ctx context.Context, log port.Log, name string, atMs int64) (int64, error) {
	page, err := readPage(ctx, log, name, 0, 1)
	if expired := (*port.ExpiredError)(nil); errors.As(err, &expired) {
		page, err = readPage(ctx, log, name, expired.First, 1)
	}
	if err != nil {
		return 0, err
	}
	low, high := page.First, page.End
	for low < high {
		mid := low + (high-low)/2
		at, next, err := recordTimeFrom(ctx, log, name, mid, high)
		if err != nil {
			return 0, err
		}
		if at >= 0 && at < atMs {
			low = next
		} else {
			high = mid
		}
	}
	return low, nil
}

// recordTimeFrom returns the time of the first record at or after offset that has one,
// and the offset after that record. The time is -1 if there is none below end.
func recordTimeFrom(ctx context.Context, log port.Log, name string, offset, end int64) (atMs, next int64, err error) {
	for offset < end {
		page, err := readPage(ctx, log, name, offset, 1)
		if err != nil || len(page.Records) == 0 {
			return -1, offset, err
		}
		for _, r := range page.Records {
			offset = r.Offset + 1
			if at := firstEntryTime(r.Payload); at > 0 && r.Offset < end {
				return at, offset, nil
			}
		}
	}
	return -1, offset, nil
}
