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
	// busyTickPeriod and tickIdle are the periods of the duty's checks with and without waiting requests.
	busyTickPeriod = 100 * time.Millisecond
	idleTickPeriod = time.Second
	// releaseWait is how long a live owner may take to release a partition that
	// this instance is to hold. It is above the time that two instances may
	// disagree about the members (docs/design.md 2.3).
	releaseWait = 10 * time.Second
)

// phase is what a duty does, for the manager.
type phase int32

const (
	phaseReplaying phase = iota
	phaseWaiting         // for the present owner to release
	phaseClaiming
	phaseOwning
	phaseEnded
)

// partitionOwner owns the state of one partition. All fields below events belong to its goroutine.
type partitionOwner struct {
	manager          *Manager
	opts             *Options
	number           int
	stream           string
	phase            atomic.Int32
	releaseRequested atomic.Bool // to release
	wasOwner         bool        // was owned; read after run
	events           *ring.Ring[func()]

	ctx     context.Context
	cancel  context.CancelFunc
	workers conc.WaitGroup

	state           *partition.State
	writer          *partition.Writer
	calls           *partition.CallTracker
	leases          *partition.Leases
	caughtUp        bool
	releaseDeadline time.Time // until when a live owner is waited for
	stopped         bool
	stopReason      string
	releasing       bool
	releaseQueued   bool // the Release is queued
	nextTick        time.Time
	maintenance     maintenance

	appends         appendState
	queue           []*queuedEntries
	queueSize       int
	urgentCount     int
	commitWaiters   int // for entries to be read back
	callWaiters     int // for running calls
	callWaits       map[partition.Ref][]*callWait
	finishQueued    map[partition.Ref]bool // calls whose result is queued
	confirmedLeases map[string][]partition.Lease
	executors       map[string]*executor
	progress        map[string]*jobProgress
	fileIDs         map[string]bool // identifiers of files, sealed or not
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

func (o *partitionOwner) getPhase() phase { return phase(o.phase.Load()) }

// run serves the partition until it is released, another instance has claimed
// it or its context ends.
func (o *partitionOwner) run() {
	ctx := o.ctx
	defer o.close()
	from, err := o.replayStart(ctx)
	if err != nil {
		o.stopReason = "stopped while reading"
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

// close answers everything that still waits and ends the duty's goroutines.
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

// stop has the loop stop.
func (o *partitionOwner) stop(reason string) {
	if !o.stopped {
		o.stopped, o.stopReason = true, reason
	}
}

// replayStart finds where to replay from; it reads again until it succeeds or ctx ends.
func (o *partitionOwner) replayStart(ctx context.Context) (int64, error) {
	for failures := 1; ; failures++ {
		base, first, end, err := findBase(ctx, o.opts.Log, o.stream)
		// The tail reports an end only after a record or its longest wait.
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
			klog.ErrorS(nil, "Partition snapshot has expired on the log, older state is lost",
				"partition", o.number, "base", base, "first", first)
		}
		o.state = partition.New()
		return first, nil
	}
}

// tailHandler passes the records of the tail to the duty. It waits for each, so that
// no more than one page of the log is in memory.
type tailHandler struct{ owner *partitionOwner }

func (f tailHandler) Record(r port.Record) {
	f.runEvent(func() { f.owner.applyRecord(r) })
}

func (f tailHandler) CaughtUp(end int64) {
	f.runEvent(func() { f.owner.tailCaughtUp() })
}

func (f tailHandler) Skipped(from, first int64) {
	f.runEvent(func() {
		if !f.owner.stopped && from > 0 {
			klog.ErrorS(nil, "Partition records expired unread, reading again", "partition", f.owner.number, "from", from, "first", first)
			f.owner.stop("records expired unread")
		}
	})
}

func (f tailHandler) runEvent(event func()) {
	processed := make(chan struct{})
	if f.owner.events.Put(f.owner.ctx, func() { event(); close(processed) }) != nil {
		return
	}
	select {
	case <-processed:
	case <-f.owner.ctx.Done():
	}
}

// applyRecord applies one applyRecord of the stream.
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
	p := o.writer.Observe(&a)
	switch {
	case p.SteppedDown:
		o.stepDown()
		return
	case p.Claimed:
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
	changed := o.trackRecord(&a)
	o.completeCommitted(p.Committed)
	o.retryChangedCalls(&a)
	if changed {
		o.publishBacklog()
	}
}

// trackRecord has the owner's memory follow a record. It reports whether the list of
// active jobs has changed.
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

// cancelActor returns who cancelled a job with a record.
func cancelActor(a *partition.Applied, jobID string) string {
	for _, e := range a.Batch.Entries {
		if c := e.GetJobCancelled(); c.GetJobId() == jobID {
			return c.GetActor()
		}
	}
	return ""
}

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

// tryClaim claims the partition once all of its stream is known and its present
// owner has given it up, is gone, or has had its time.
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
		// The stream ends within a snapshot that is named as the base.
		klog.ErrorS(err, "Partition cannot be claimed", "partition", o.number)
		o.stop("state is not whole")
		return
	}
	o.setPhase(phaseClaiming)
}

func (o *partitionOwner) claimConfirmed() {
	now := time.Now()
	o.calls = partition.NewCallTracker()
	o.leases = partition.NewLeases(o.state, now.UnixMilli(), o.opts.LeaseDuration.Milliseconds())
	o.maintenance = maintenance{}
	claimsWon.Add(1)
	o.wasOwner = true
	o.setPhase(phaseOwning)
	klog.InfoS("Partition claimed", "partition", o.number, "epoch", o.writer.Epoch())
	o.audit(&recordpb.Audit{Kind: "partition-claimed", After: o.stream})
	if o.releasing {
		o.queueRelease()
	}
}

func (o *partitionOwner) stepDown() {
	phaseBefore := o.getPhase()
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
	klog.InfoS("Partition no longer held", "partition", o.number, "reason", o.stopReason)
}

// release gives the partition up after what is already queued.
func (o *partitionOwner) release(cause string) {
	if o.getPhase() == phaseReplaying {
		o.cancel() // the log may be down for long
		return
	}
	_ = o.events.Put(o.ctx, func() {
		if o.stopped || o.releasing {
			return
		}
		o.releasing = true
		klog.InfoS("Releasing partition", "partition", o.number, "cause", cause)
		o.queueRelease()
	})
}

func (o *partitionOwner) queueRelease() {
	if o.releaseQueued {
		return
	}
	switch o.writer.Role() {
	case partition.RoleIdle:
		o.stop("released before the claim")
		return
	case partition.RoleClaiming:
		return // a claim that arrives unreleased would make the successor wait
	}
	// A full queue is tried again at the next tick.
	o.releaseQueued = o.writer.Release(time.Now().UnixMilli()) == nil
}

// ownershipRefusal returns why the duty does not answer requests, or nil.
func (o *partitionOwner) ownershipRefusal() *peerpb.Refusal {
	if !o.stopped && !o.releasing && o.writer.Role() == partition.RoleOwner {
		return nil
	}
	return refuseOwner(o.ownerHint(), "this instance does not hold the partition")
}

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

// findBase returns the base that the newest records of a stream name, its first
// offset and its end.
func findBase(ctx context.Context, log port.Log, name string) (base, first, end int64, err error) {
	page, err := readPage(ctx, log, name, 0, 1)
	if expired := (*port.ExpiredError)(nil); errors.As(err, &expired) {
		page, err = readPage(ctx, log, name, expired.First, 1)
	}
	if err != nil {
		return 0, 0, 0, err
	}
	first, end = page.First, page.End
	// A late copy of an old record may stand last and name an older base.
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
