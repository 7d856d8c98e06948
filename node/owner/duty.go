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
	// tickBusy and tickIdle are the periods of the duty's checks with and without waiting requests.
	tickBusy = 100 * time.Millisecond
	tickIdle = time.Second
	// patience is how long a live owner may take to release a partition that
	// this instance is to hold. It is above the time that two instances may
	// disagree about the members (docs/design.md 2.3).
	patience = 10 * time.Second
)

// phase is what a duty does, for the manager.
type phase int32

const (
	reading phase = iota
	waiting       // for the present owner to release
	claiming
	owning
	ended
)

// duty owns the state of one partition. All fields below events belong to its goroutine.
type duty struct {
	m      *Manager
	opts   *Options
	number int
	stream string
	phase  atomic.Int32
	asked  atomic.Bool // to release
	held   bool        // was owned; read after run
	events *ring.Ring[func()]

	ctx     context.Context
	cancel  context.CancelFunc
	workers conc.WaitGroup

	state     *partition.State
	writer    *partition.Writer
	calls     *partition.CallTracker
	leases    *partition.Leases
	caughtUp  bool
	patient   time.Time // until when a live owner is waited for
	over      bool
	reason    string
	releasing bool
	released  bool // the Release is queued
	nextTick  time.Time
	upkeep    upkeep

	appender  appender
	queue     []*queued
	queueSize int
	urgent    int
	waiters   int // for entries to be read back
	joins     int // for running calls
	callWaits map[partition.Ref][]*callWait
	finishing map[partition.Ref]bool // calls whose result is queued
	confirmed map[string][]partition.Lease
	clients   map[string]*client
	progress  map[string]*progress
	files     map[string]bool // identifiers of files, sealed or not
	summary   atomic.Pointer[[]Backlog]
}

func newDuty(ctx context.Context, m *Manager, number int, incarnation uint64) *duty {
	d := &duty{m: m, opts: &m.opts, number: number, stream: ident.PartitionStream(number),
		events:    ring.New[func()](m.opts.MaxQueuedEvents, eventsRejected),
		writer:    partition.NewWriter(m.opts.Instance, incarnation),
		callWaits: map[partition.Ref][]*callWait{}, confirmed: map[string][]partition.Lease{},
		clients: map[string]*client{}, progress: map[string]*progress{}, finishing: map[partition.Ref]bool{}, files: map[string]bool{}}
	d.ctx, d.cancel = context.WithCancel(ctx)
	return d
}

func (d *duty) setPhase(p phase) {
	if old := phase(d.phase.Swap(int32(p))); old != p {
		d.m.phaseChanged(old, p)
	}
}

func (d *duty) getPhase() phase { return phase(d.phase.Load()) }

// run serves the partition until it is released, another instance has claimed
// it or its context ends.
func (d *duty) run() {
	ctx := d.ctx
	defer d.close()
	from, err := d.open(ctx)
	if err != nil {
		d.reason = "stopped while reading"
		return
	}
	now := time.Now()
	d.patient, d.nextTick = now.Add(patience+jitter(patience/2)), now
	d.workers.Go(func() {
		tail := stream.Tail{Log: d.opts.Log, Clock: stream.WallClock{}, Stream: d.stream, From: from}
		_ = tail.Run(ctx, feed{d})
	})
	for !d.over {
		wake, stop := context.WithDeadline(ctx, d.wakeAt())
		event, err := d.events.Get(wake)
		stop()
		if err == nil {
			event()
		} else if ctx.Err() != nil {
			d.end("stopped")
		}
		if now = time.Now(); !d.over && !now.Before(d.nextTick) {
			d.tick(now)
		}
		if !d.over {
			d.pump(now)
		}
	}
}

// close answers everything that still waits and ends the duty's goroutines.
func (d *duty) close() {
	d.over = true
	d.setPhase(ended)
	d.cancel()
	for _, event := range d.events.Drain() {
		event()
	}
	d.failAll()
	d.leaveOutage()
	d.summary.Store(nil)
	d.workers.Wait()
}

// end has the loop stop.
func (d *duty) end(reason string) {
	if !d.over {
		d.over, d.reason = true, reason
	}
}

// open finds where to replay from; it reads again until it succeeds or ctx ends.
func (d *duty) open(ctx context.Context) (int64, error) {
	for failures := 1; ; failures++ {
		base, first, end, err := findBase(ctx, d.opts.Log, d.stream)
		// The tail reports an end only after a record or its longest wait.
		d.caughtUp = err == nil && first == end
		switch {
		case err != nil:
			if err := (stream.WallClock{}).Sleep(ctx, stream.Backoff(failures)); err != nil {
				return 0, err
			}
			continue
		case base >= first && base > 0:
			d.state = partition.NewFromSnapshot(base)
			return base, nil
		case base > 0:
			partitionsUnreach.Add(1)
			klog.ErrorS(nil, "Partition snapshot has expired on the log, older state is lost",
				"partition", d.number, "base", base, "first", first)
		}
		d.state = partition.New()
		return first, nil
	}
}

// feed passes the records of the tail to the duty. It waits for each, so that
// no more than one page of the log is in memory.
type feed struct{ d *duty }

func (f feed) Record(r port.Record) {
	f.do(func() { f.d.record(r) })
}

func (f feed) CaughtUp(end int64) {
	f.do(func() { f.d.reachedEnd() })
}

func (f feed) Skipped(from, first int64) {
	f.do(func() {
		if !f.d.over && from > 0 {
			klog.ErrorS(nil, "Partition records expired unread, reading again", "partition", f.d.number, "from", from, "first", first)
			f.d.end("records expired unread")
		}
	})
}

func (f feed) do(event func()) {
	done := make(chan struct{})
	if f.d.events.Put(f.d.ctx, func() { event(); close(done) }) != nil {
		return
	}
	select {
	case <-done:
	case <-f.d.ctx.Done():
	}
}

// record applies one record of the stream.
func (d *duty) record(r port.Record) {
	if d.over {
		return
	}
	a := d.state.Apply(r.Offset, r.Payload)
	if !a.Valid() {
		recordsVoid.Add(1)
	}
	d.noteFiles(&a)
	if d.state.SnapshotOpen() {
		d.upkeep.asked = false
	}
	p := d.writer.Observe(&a)
	switch {
	case p.SteppedDown:
		d.stepDown()
		return
	case p.Claimed:
		d.claimed()
	}
	if d.writer.Role() != partition.RoleOwner {
		recordsReplayed.Add(1)
		d.noteClients(&a)
		return
	}
	if a.Valid() {
		d.m.reader.put(d.number, r.Offset, a.Batch, len(r.Payload))
	}
	changed := d.observe(&a)
	d.settle(p.Committed)
	d.resolve(&a)
	if changed {
		d.publish()
	}
}

// observe has the owner's memory follow a record. It reports whether the list of
// active jobs has changed.
func (d *duty) observe(a *partition.Applied) (jobs bool) {
	for _, l := range d.leases.Confirm(a, time.Now().UnixMilli()) {
		d.confirmed[l.Director] = append(d.confirmed[l.Director], l)
	}
	for _, e := range a.Events {
		switch e := e.(type) {
		case *partition.JobCancelled:
			jobs = true
			d.jobEnded(e.JobID, "job-cancelled", cancelActor(a, e.JobID))
		case *partition.JobCompleted:
			jobs = true
			d.jobEnded(e.JobID, "job-completed", "")
		case *partition.JobCreated:
			jobs = true
			d.audit(&recordpb.Audit{Kind: "job-accepted", Job: e.JobID, Workspace: d.workspaceOf(e.JobID)})
		case *partition.ItemsFinished:
			resultsRecorded.Add(int64(len(e.Items)))
		case *partition.SnapshotCompleted:
			snapshotsDone.Add(1)
		}
	}
	d.calls.Observe(a)
	d.leases.Observe(a)
	return jobs
}

func (d *duty) workspaceOf(jobID string) string {
	if j, ok := d.state.Job(jobID); ok {
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

func (d *duty) jobEnded(jobID, kind, actor string) {
	directors := map[string]bool{}
	for _, l := range d.leases.Held(jobID) {
		if l.Director != "" && !directors[l.Director] {
			directors[l.Director] = true
			d.m.notices.stopJob(l.Director, jobID)
		}
	}
	delete(d.progress, jobID)
	d.audit(&recordpb.Audit{Kind: kind, Job: jobID, Actor: actor, Workspace: d.workspaceOf(jobID)})
}

func (d *duty) reachedEnd() {
	d.caughtUp = true
	d.tryClaim(time.Now())
}

// tryClaim claims the partition once all of its stream is known and its present
// owner has given it up, is gone, or has had its time.
func (d *duty) tryClaim(now time.Time) {
	if d.over || !d.caughtUp || d.writer.Role() != partition.RoleIdle {
		return
	}
	if d.releasing {
		d.end("released before the claim")
		return
	}
	o := d.state.Owner()
	free := d.state.Epoch() == 0 || o.Released || o.Instance == d.opts.Instance ||
		!d.opts.Preference.Alive(o.Instance) || !now.Before(d.patient)
	if !free {
		d.setPhase(waiting)
		return
	}
	if err := d.writer.Claim(d.state); err != nil {
		// The stream ends within a snapshot that is named as the base.
		klog.ErrorS(err, "Partition cannot be claimed", "partition", d.number)
		d.end("state is not whole")
		return
	}
	d.setPhase(claiming)
}

func (d *duty) claimed() {
	now := time.Now()
	d.calls = partition.NewCallTracker()
	d.leases = partition.NewLeases(d.state, now.UnixMilli(), d.opts.LeaseDuration.Milliseconds())
	d.upkeep = upkeep{}
	claimsWon.Add(1)
	d.held = true
	d.setPhase(owning)
	klog.InfoS("Partition claimed", "partition", d.number, "epoch", d.writer.Epoch())
	d.audit(&recordpb.Audit{Kind: "partition-claimed", After: d.stream})
	if d.releasing {
		d.queueRelease()
	}
}

func (d *duty) stepDown() {
	was := d.getPhase()
	owner := d.state.Owner()
	switch {
	case owner.Released:
		releases.Add(1)
		d.end("released")
		d.audit(&recordpb.Audit{Kind: "partition-released", Before: d.stream})
	case was == owning:
		stepDowns.Add(1)
		d.end("claimed by " + owner.Instance)
		d.audit(&recordpb.Audit{Kind: "partition-lost", Cause: "claimed by " + owner.Instance, Before: d.stream})
	default:
		claimsLost.Add(1)
		d.end("claim lost to " + owner.Instance)
	}
	klog.InfoS("Partition no longer held", "partition", d.number, "reason", d.reason)
}

// release gives the partition up after what is already queued.
func (d *duty) release(cause string) {
	if d.getPhase() == reading {
		d.cancel() // the log may be down for long
		return
	}
	_ = d.events.Put(d.ctx, func() {
		if d.over || d.releasing {
			return
		}
		d.releasing = true
		klog.InfoS("Releasing partition", "partition", d.number, "cause", cause)
		d.queueRelease()
	})
}

func (d *duty) queueRelease() {
	if d.released {
		return
	}
	switch d.writer.Role() {
	case partition.RoleIdle:
		d.end("released before the claim")
		return
	case partition.RoleClaiming:
		return // a claim that arrives unreleased would make the successor wait
	}
	// A full queue is tried again at the next tick.
	d.released = d.writer.Release(time.Now().UnixMilli()) == nil
}

// refusal returns why the duty does not answer requests, or nil.
func (d *duty) refusal() *peerpb.Refusal {
	if !d.over && !d.releasing && d.writer.Role() == partition.RoleOwner {
		return nil
	}
	return refuseOwner(d.hint(), "this instance does not hold the partition")
}

func (d *duty) hint() string {
	if d.state != nil {
		if o := d.state.Owner(); !o.Released && o.Instance != "" && o.Instance != d.opts.Instance {
			return o.Instance
		}
	}
	return d.m.preferredOther(d.number)
}

func (d *duty) audit(e *recordpb.Audit) {
	if d.opts.Audit != nil {
		e.Instance = d.opts.Instance
		d.opts.Audit.Record(e)
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
	for next := max(first, end-tailRecords); next < end; {
		tail, err := readPage(ctx, log, name, next, pageBytes)
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
