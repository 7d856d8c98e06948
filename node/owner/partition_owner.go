package owner

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/ident"
	"github.com/jacinthnotch/jacinthnotch/domain/partition"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/ring"
	"github.com/jacinthnotch/jacinthnotch/node/stream"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	// busyTickPeriod and idleTickPeriod are the periods of an owner's checks with
	// and without waiting requests.
	busyTickPeriod = 100 * time.Millisecond
	idleTickPeriod = time.Second
	// releaseWait is how long a live owner may take to release a partition before
	// this instance claims it anyway. It exceeds the time for which two instances
	// may disagree about the members (docs/design.md 2.3).
	releaseWait = 10 * time.Second
)

// phase is the state of a partitionOwner as its manager sees it.
type phase int32

const (
	phaseReplaying phase = iota
	phaseWaiting         // for the current owner to release the partition
	phaseClaiming
	phaseOwning
	phaseEnded
)

// partitionOwner owns the state of one partition. The fields after workers are
// accessed only by its goroutine, except for backlog.
type partitionOwner struct {
	manager          *Manager
	opts             *Options
	number           int
	stream           string
	phase            atomic.Int32
	releaseRequested atomic.Bool // set by the manager
	wasOwner         bool        // the partition was owned; read after run
	events           *ring.Ring[func()]

	ctx     context.Context
	cancel  context.CancelFunc
	workers conc.WaitGroup

	state           *partition.State
	writer          *partition.Writer
	calls           *partition.CallTracker
	leases          *partition.Leases
	caughtUp        bool
	releaseDeadline time.Time // when to claim although another owner is alive
	stopped         bool
	stopReason      string
	releasing       bool
	releaseQueued   bool // the Release entry is queued
	nextTick        time.Time
	maintenance     maintenance

	appends         appendState
	queue           []*queuedEntries
	queueSize       int
	urgentCount     int
	commitWaiters   int // requests that wait for their entries to be read back
	callWaiters     int // requests that wait for running calls
	callWaits       map[partition.Ref][]*callWait
	finishQueued    map[partition.Ref]bool       // calls whose result is queued
	confirmedLeases map[string][]partition.Lease // by director: items whose start was read back, to be delivered
	executors       map[string]*executor         // by instance
	progress        map[string]*jobProgress      // by job
	fileIDs         map[string]bool              // sealed or not
	backlog         atomic.Pointer[[]Backlog]
}

func newPartitionOwner(ctx context.Context, m *Manager, number int, incarnation uint64) *partitionOwner {
	o := &partitionOwner{manager: m, opts: &m.opts, number: number, stream: ident.PartitionStream(number),
		events:    ring.New[func()](m.opts.MaxQueuedEvents, eventsRejected),
		writer:    partition.NewWriter(m.opts.Instance, incarnation),
		callWaits: map[partition.Ref][]*callWait{}, confirmedLeases: map[string][]partition.Lease{},
		executors: map[string]*executor{}, progress: map[string]*jobProgress{}, finishQueued: map[partition.Ref]bool{}, fileIDs: map[string]bool{}}
	o.ctx, o.cancel = context.WithCancel(ctx)
	return o
}

func (o *partitionOwner) setPhase(p phase) {
	if old := phase(o.phase.Swap(int32(p))); old != p {
		o.manager.phaseChanged(old, p)
	}
}

func (o *partitionOwner) currentPhase() phase { return phase(o.phase.Load()) }

// run replays, claims and serves the partition until it is released, another
// instance claims it or the context ends.
func (o *partitionOwner) run() {
	ctx := o.ctx
	defer o.close()
	from, err := o.replayStart(ctx)
	if err != nil {
		o.stopReason = "stopped while finding the start of the replay"
		return
	}
	now := time.Now()
	o.releaseDeadline, o.nextTick = now.Add(releaseWait+jitter(releaseWait/2)), now
	o.workers.Go(func() {
		tail := stream.Tail{Log: o.opts.Log, Clock: stream.WallClock{}, Stream: o.stream, From: from}
		_ = tail.Run(ctx, tailHandler{o})
	})
	for !o.stopped {
		wake, stop := context.WithDeadline(ctx, o.wakeAt())
		event, err := o.events.Get(wake)
		stop()
		if err == nil {
			event()
		} else if ctx.Err() != nil {
			o.stop("stopped")
		}
		if now = time.Now(); !o.stopped && !now.Before(o.nextTick) {
			o.tick(now)
		}
		if !o.stopped {
			o.appendNext(now)
		}
	}
}

// close answers all waiting requests and ends the owner's goroutines.
func (o *partitionOwner) close() {
	o.stopped = true
	o.setPhase(phaseEnded)
	o.cancel()
	for _, event := range o.events.Drain() {
		event()
	}
	o.failAll()
	o.leaveOutage()
	o.backlog.Store(nil)
	o.workers.Wait()
}

// stop makes run return. The first reason is kept.
func (o *partitionOwner) stop(reason string) {
	if !o.stopped {
		o.stopped, o.stopReason = true, reason
	}
}

// replayStart returns the offset to replay from and initializes the state. It
// retries with backoff until it succeeds or ctx ends.
func (o *partitionOwner) replayStart(ctx context.Context) (int64, error) {
	for failures := 1; ; failures++ {
		base, first, end, err := findBase(ctx, o.opts.Log, o.stream)
		// An empty stream counts as read: the tail reports its end only after a
		// record or its longest wait.
		o.caughtUp = err == nil && first == end
		switch {
		case err != nil:
			if err := (stream.WallClock{}).Sleep(ctx, stream.Backoff(failures)); err != nil {
				return 0, err
			}
			continue
		case base >= first && base > 0:
			o.state = partition.NewFromSnapshot(base)
			return base, nil
		case base > 0:
			partitionsIncomplete.Add(1)
			klog.ErrorS(nil, "partition snapshot expired on the log, older state lost",
				"partition", o.number, "base", base, "first", first)
		}
		o.state = partition.New()
		return first, nil
	}
}

// tailHandler passes the records of the tail to the owner's goroutine. It waits for
// each to be processed, so that no more than one page of the log is in memory.
type tailHandler struct{ owner *partitionOwner }

func (h tailHandler) Record(r port.Record) {
	h.runEvent(func() { h.owner.applyRecord(r) })
}

func (h tailHandler) CaughtUp(end int64) {
	h.runEvent(func() { h.owner.tailCaughtUp() })
}

func (h tailHandler) Skipped(from, first int64) {
	h.runEvent(func() {
		if !h.owner.stopped && from > 0 {
			klog.ErrorS(nil, "partition records expired before they were read, replaying again", "partition", h.owner.number, "from", from, "first", first)
			h.owner.stop("records expired before they were read")
		}
	})
}

func (h tailHandler) runEvent(event func()) {
	processed := make(chan struct{})
	if h.owner.events.Put(h.owner.ctx, func() { event(); close(processed) }) != nil {
		return
	}
	select {
	case <-processed:
	case <-h.owner.ctx.Done():
	}
}

// applyRecord applies one record of the stream to the state and handles its effects.
func (o *partitionOwner) applyRecord(r port.Record) {
	if o.stopped {
		return
	}
	a := o.state.Apply(r.Offset, r.Payload)
	if !a.Valid() {
		recordsVoid.Add(1)
	}
	o.trackFiles(&a)
	if o.state.SnapshotOpen() {
		o.maintenance.snapshotRequested = false
	}
	progress := o.writer.Observe(&a)
	switch {
	case progress.SteppedDown:
		o.stepDown()
		return
	case progress.Claimed:
		o.claimConfirmed()
	}
	if o.writer.Role() != partition.RoleOwner {
		recordsReplayed.Add(1)
		o.trackExecutors(&a)
		return
	}
	if a.Valid() {
		o.manager.reader.put(o.number, r.Offset, a.Batch, len(r.Payload))
	}
	if o.trackRecord(&a) {
		// A caller that is answered below must find the new state.
		o.publishBacklog()
	}
	o.completeCommitted(progress.Committed)
	o.retryChangedCalls(&a)
}

// trackRecord updates the owner's leases, calls and audit trail from a record. It
// reports whether the list of active jobs has changed.
func (o *partitionOwner) trackRecord(a *partition.Applied) (jobsChanged bool) {
	for _, l := range o.leases.Confirm(a, time.Now().UnixMilli()) {
		o.confirmedLeases[l.Director] = append(o.confirmedLeases[l.Director], l)
	}
	for _, e := range a.Events {
		switch e := e.(type) {
		case *partition.JobCancelled:
			jobsChanged = true
			o.jobEnded(e.JobID, "job-cancelled", cancelActor(a, e.JobID))
		case *partition.JobCompleted:
			jobsChanged = true
			o.jobEnded(e.JobID, "job-completed", "")
		case *partition.JobCreated:
			jobsChanged = true
			o.audit(&recordpb.Audit{Kind: "job-accepted", Job: e.JobID, Workspace: o.workspaceOf(e.JobID)})
		case *partition.ItemsFinished:
			resultsRecorded.Add(int64(len(e.Items)))
		case *partition.SnapshotCompleted:
			snapshotsDone.Add(1)
		}
	}
	o.calls.Observe(a)
	o.leases.Observe(a)
	return jobsChanged
}

func (o *partitionOwner) workspaceOf(jobID string) string {
	if j, ok := o.state.Job(jobID); ok {
		return j.Created.Workspace
	}
	return ""
}

// cancelActor returns the actor of the record's cancellation of a job.
func cancelActor(a *partition.Applied, jobID string) string {
	for _, e := range a.Batch.Entries {
		if c := e.GetJobCancelled(); c.GetJobId() == jobID {
			return c.GetActor()
		}
	}
	return ""
}

// jobEnded notifies the directors that hold items of an ended job, and audits the end.
func (o *partitionOwner) jobEnded(jobID, kind, actor string) {
	directors := map[string]bool{}
	for _, l := range o.leases.Held(jobID) {
		if l.Director != "" && !directors[l.Director] {
			directors[l.Director] = true
			o.manager.notifier.enqueue(l.Director, jobID)
		}
	}
	delete(o.progress, jobID)
	o.audit(&recordpb.Audit{Kind: kind, Job: jobID, Actor: actor, Workspace: o.workspaceOf(jobID)})
}

func (o *partitionOwner) tailCaughtUp() {
	o.caughtUp = true
	o.tryClaim(time.Now())
}

// tryClaim claims the partition once its stream is read to the end and the current
// owner has released it, is no longer alive, or has exceeded releaseWait.
func (o *partitionOwner) tryClaim(now time.Time) {
	if o.stopped || !o.caughtUp || o.writer.Role() != partition.RoleIdle {
		return
	}
	if o.releasing {
		o.stop("released before the claim")
		return
	}
	current := o.state.Owner()
	free := o.state.Epoch() == 0 || current.Released || current.Instance == o.opts.Instance ||
		!o.opts.Preference.Alive(current.Instance) || !now.Before(o.releaseDeadline)
	if !free {
		o.setPhase(phaseWaiting)
		return
	}
	if err := o.writer.Claim(o.state); err != nil {
		// The stream ends within the snapshot that its records name as their base.
		klog.ErrorS(err, "claiming partition failed", "partition", o.number)
		o.stop("state is incomplete")
		return
	}
	o.setPhase(phaseClaiming)
}

// claimConfirmed starts to serve the partition after its claim was read back.
func (o *partitionOwner) claimConfirmed() {
	now := time.Now()
	o.calls = partition.NewCallTracker()
	o.leases = partition.NewLeases(o.state, now.UnixMilli(), o.opts.LeaseDuration.Milliseconds())
	o.maintenance = maintenance{}
	claimsWon.Add(1)
	o.wasOwner = true
	o.setPhase(phaseOwning)
	klog.InfoS("partition claimed", "partition", o.number, "epoch", o.writer.Epoch())
	o.audit(&recordpb.Audit{Kind: "partition-claimed", After: o.stream})
	if o.releasing {
		o.queueRelease()
	}
}

// stepDown stops the owner after its release was read back or another instance has
// claimed the partition.
func (o *partitionOwner) stepDown() {
	phaseBefore := o.currentPhase()
	owner := o.state.Owner()
	switch {
	case owner.Released:
		releases.Add(1)
		o.stop("released")
		o.audit(&recordpb.Audit{Kind: "partition-released", Before: o.stream})
	case phaseBefore == phaseOwning:
		stepDowns.Add(1)
		o.stop("claimed by " + owner.Instance)
		o.audit(&recordpb.Audit{Kind: "partition-lost", Cause: "claimed by " + owner.Instance, Before: o.stream})
	default:
		claimsLost.Add(1)
		o.stop("claim lost to " + owner.Instance)
	}
	klog.InfoS("partition no longer owned", "partition", o.number, "reason", o.stopReason)
}

// release releases the partition after the entries that are already queued.
func (o *partitionOwner) release(cause string) {
	if o.currentPhase() == phaseReplaying {
		o.cancel() // the replay may take long while the log is unavailable
		return
	}
	_ = o.events.Put(o.ctx, func() {
		if o.stopped || o.releasing {
			return
		}
		o.releasing = true
		klog.InfoS("releasing partition", "partition", o.number, "cause", cause)
		o.queueRelease()
	})
}

// queueRelease queues the Release entry, or stops an owner that has not claimed yet.
func (o *partitionOwner) queueRelease() {
	if o.releaseQueued {
		return
	}
	switch o.writer.Role() {
	case partition.RoleIdle:
		o.stop("released before the claim")
		return
	case partition.RoleClaiming:
		return // released once the claim is read back; a claim without a release would make the successor wait
	}
	// If the queue is full, the next tick tries again.
	o.releaseQueued = o.writer.Release(time.Now().UnixMilli()) == nil
}

// ownershipRefusal returns the refusal of requests while this instance does not own
// the partition, or nil if it does.
func (o *partitionOwner) ownershipRefusal() *peerpb.Refusal {
	if !o.stopped && !o.releasing && o.writer.Role() == partition.RoleOwner {
		return nil
	}
	return refuseOwner(o.ownerHint(), "this instance does not hold the partition")
}

// ownerHint returns the instance that probably owns the partition, for callers to try
// next.
func (o *partitionOwner) ownerHint() string {
	if o.state != nil {
		if current := o.state.Owner(); !current.Released && current.Instance != "" && current.Instance != o.opts.Instance {
			return current.Instance
		}
	}
	return o.manager.preferredOther(o.number)
}

func (o *partitionOwner) audit(e *recordpb.Audit) {
	if o.opts.Audit != nil {
		e.Instance = o.opts.Instance
		o.opts.Audit.Record(e)
	}
}

// findBase returns the snapshot offset (base) named by the newest records of a
// stream, the stream's first offset and its end.
func findBase(ctx context.Context, log port.Log, name string) (base, first, end int64, err error) {
	page, err := readPage(ctx, log, name, 0, 1)
	if expired := (*port.ExpiredError)(nil); errors.As(err, &expired) {
		page, err = readPage(ctx, log, name, expired.First, 1)
	}
	if err != nil {
		return 0, 0, 0, err
	}
	first, end = page.First, page.End
	// The last record may be a delayed duplicate that names an older base.
	for next := max(first, end-baseSearchRecords); next < end; {
		tail, err := readPage(ctx, log, name, next, readPageBytes)
		if err != nil {
			return 0, 0, 0, err
		}
		if len(tail.Records) == 0 {
			break
		}
		for _, r := range tail.Records {
			if b, ok := partition.DecodeBase(r.Payload); ok {
				base = max(base, b)
			}
			next = r.Offset + 1
		}
	}
	return base, first, end, nil
}
