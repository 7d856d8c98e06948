// Package follower maintains an instance's replica of the configuration: it reads the
// config stream, publishes the document in effect, applies edits, and restates the
// sections before their records expire.
//
// The event loop, one goroutine, owns the replica. Readers get the published view and
// document without a lock.
package follower

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"
	"storj.io/drpc"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
	"github.com/jacinthnotch/jacinthnotch/domain/member"
	"github.com/jacinthnotch/jacinthnotch/domain/record"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/peer"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/ring"
	"github.com/jacinthnotch/jacinthnotch/node/stream"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// Stream is the name of the config stream on the log.
const Stream = "config"

const (
	// eventQueueCapacity limits the records and requests that wait for the event loop.
	eventQueueCapacity = 256
	// checkInterval is how often the event loop checks which tasks are due.
	checkInterval = 250 * time.Millisecond
	// peerFetchDelay is how long a newer revision that a member has reported may take to
	// arrive through the log before it is fetched from that member. A revision has to
	// be in effect on all instances within 2 s.
	peerFetchDelay = 300 * time.Millisecond
	// joinDelay is how long a new instance waits for the log before it fetches the whole
	// document from its peers.
	joinDelay = time.Second
	// eventTimeout limits how long a request waits for the event loop.
	eventTimeout = time.Second
	// restateInterval is the minimum time between two checks by the preferred instance
	// for sections that are about to expire. Up to the same time is added at random.
	restateInterval = time.Minute
	// maxRestateBytes limits one record of a restatement before compression.
	maxRestateBytes = 256 << 10
	appendTimeout   = 5 * time.Second
	hourMs          = int64(time.Hour / time.Millisecond)
)

var (
	revisionsAccepted = expvar.NewInt("config_revisions_accepted_total")
	revisionsRefused  = expvar.NewMap("config_revisions_refused_total")
	recordsSkipped    = expvar.NewInt("config_records_skipped_total")
	merges            = expvar.NewInt("config_merges_total")
	mergeFailures     = expvar.NewInt("config_merge_failures_total")
	fetchFailures     = expvar.NewInt("config_fetch_failures_total")
	restatements      = expvar.NewInt("config_restatements_total")
	restateFailures   = expvar.NewInt("config_restatement_failures_total")
	eventsRejected    = expvar.NewInt("config_events_rejected_total")
	editsPublished    = expvar.NewInt("config_edits_total")
	editsUnknown      = expvar.NewInt("config_edits_unknown_total")
)

// Options configure a Follower. Instance, Log, Peers and Members are required.
type Options struct {
	Instance string
	Log      port.Log
	Peers    peer.Connector
	// Members returns the live members, including this instance.
	Members func() []member.Member
	// IsPreferred reports whether this instance is the one that restates expiring
	// sections. If it is nil, the instance always restates them.
	IsPreferred func() bool
	// OnNewRevision is called with each newer revision that is in effect. It must not
	// block. It may be nil.
	OnNewRevision func(revision int64)
	// Audit may be nil.
	Audit api.AuditSink
}

// Follower maintains the configuration of one instance. Its methods are safe for
// concurrent use.
type Follower struct {
	opts           Options
	events         *ring.Ring[func(now time.Time)]
	view           atomic.Pointer[api.View]
	doc            atomic.Pointer[config.Document]
	ready          atomic.Bool
	notReadyReason atomic.Pointer[string]

	// The fields below belong to the event loop.
	replica       *config.Replica
	hasLogStart   bool // SetLogStartOffset was called with the first retained offset
	caughtUp      bool
	logAnsweredAt time.Time // when the log last answered
	startedAt     time.Time
	newestSeen    newestSeen
	fetching      bool
	nextJoinAt    time.Time                       // when the whole document may next be fetched from peers
	waiters       map[string]chan config.Decision // calls of Apply by edit id
	nextRestateAt time.Time
	restating     bool
}

// newestSeen is the newest revision that a member has reported.
type newestSeen struct {
	instance, address string // of the member that reported it last
	revision          int64
	since             time.Time // when it was first reported, or when the last fetch ended
}

// New returns a Follower that does nothing until Run is called.
func New(o Options) *Follower {
	f := &Follower{opts: o, events: ring.New[func(time.Time)](eventQueueCapacity, eventsRejected),
		replica: config.NewReplica(), waiters: map[string]chan config.Decision{}}
	f.setReason("the configuration has not been read yet")
	return f
}

// View implements api.Config.
func (f *Follower) View() *api.View { return f.view.Load() }

// Document returns the document in effect, or nil if there is none yet.
func (f *Follower) Document() *config.Document { return f.doc.Load() }

// Ready reports whether the instance has a configuration, and if not, the reason.
func (f *Follower) Ready() (bool, string) {
	if f.ready.Load() {
		return true, ""
	}
	return false, *f.notReadyReason.Load()
}

func (f *Follower) setReason(reason string) { f.notReadyReason.Store(&reason) }

// Run reads the stream and handles requests until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	f.startedAt = time.Now()
	f.nextRestateAt = f.startedAt.Add(restateInterval + rand.N(restateInterval))
	tail := &stream.Tail{Log: f.opts.Log, Clock: stream.WallClock{}, Stream: Stream}
	wg.Go(func() { _ = tail.Run(ctx, &recordHandler{ctx: ctx, f: f}) })
	for ctx.Err() == nil {
		f.startDueTasks(ctx, &wg, time.Now())
		wait, cancel := context.WithTimeout(ctx, checkInterval)
		handle, err := f.events.Get(wait)
		cancel()
		if err == nil {
			handle(time.Now())
		}
	}
}

// do has the event loop run fn and waits until it has done so.
func (f *Follower) do(ctx context.Context, fn func(now time.Time)) error {
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	return ring.Do(ctx, f.events, fn)
}

// recordHandler passes the records of the stream to the event loop. If the ring is full,
// it blocks the tail, because no record may be lost.
type recordHandler struct {
	ctx context.Context
	f   *Follower
}

func (r *recordHandler) enqueue(fn func(now time.Time)) { _ = r.f.events.Put(r.ctx, fn) }

// Record implements stream.Handler.
func (r *recordHandler) Record(rec port.Record) {
	batch, err := record.Decode(rec.Payload)
	if err != nil {
		// The record is corrupt or of a newer version. Every reader of this version
		// skips it.
		recordsSkipped.Add(1)
		klog.InfoS("configuration record skipped", "offset", rec.Offset, "err", err)
		batch = &recordpb.Batch{}
	}
	r.enqueue(func(now time.Time) { r.f.apply(now, rec.Offset, batch) })
}

// CaughtUp implements stream.Handler.
func (r *recordHandler) CaughtUp(int64) {
	r.enqueue(func(now time.Time) {
		r.f.logAnsweredAt, r.f.caughtUp = now, true
		r.f.setLogStart(0)
		r.f.publish()
	})
}

// Skipped implements stream.Handler.
func (r *recordHandler) Skipped(_, first int64) {
	r.enqueue(func(time.Time) {
		r.f.hasLogStart = true
		r.f.replica.SetLogStartOffset(first)
	})
}

// setLogStart sets the offset at which the stream begins if it is not known yet.
func (f *Follower) setLogStart(first int64) {
	if !f.hasLogStart {
		f.hasLogStart = true
		f.replica.SetLogStartOffset(first)
	}
}

func (f *Follower) apply(now time.Time, offset int64, batch *recordpb.Batch) {
	f.logAnsweredAt = now
	f.setLogStart(0)
	for _, d := range f.replica.Apply(offset, batch.Instance, batch.Entries) {
		f.handleDecision(d)
	}
	if f.caughtUp {
		f.publish()
	}
}

// handleDecision counts the verdict on an edit and passes it to a waiting Apply.
func (f *Follower) handleDecision(d config.Decision) {
	switch d.Verdict {
	case config.Accepted:
		revisionsAccepted.Add(1)
		klog.InfoS("configuration revision accepted", "instance", f.opts.Instance, "revision", d.Offset+1, "sections", d.Sections)
	case config.Duplicate:
	default:
		revisionsRefused.Add(d.Verdict.String(), 1)
		klog.InfoS("configuration revision refused", "instance", f.opts.Instance, "offset", d.Offset,
			"sections", d.Sections, "verdict", d.Verdict.String(), "err", d.Err)
	}
	if w := f.waiters[d.EditID]; w != nil {
		delete(f.waiters, d.EditID)
		w <- d
	}
}

// publish puts the replica's document into effect on this instance if it is newer. It
// is not called for records of the stream before the end of the stream was reached, so
// that an old document does not take effect.
func (f *Follower) publish() {
	doc, err := f.replica.Document()
	if err != nil {
		f.setReason("the configuration's records have expired; waiting for a restatement or a peer")
		return
	}
	if doc.Fleet == nil || doc.Revision == 0 {
		f.setReason("the configuration is empty; apply one with: jnctl config apply FILE")
		return
	}
	if old := f.doc.Load(); old != nil && old.Revision >= doc.Revision {
		f.ready.Store(true)
		return
	}
	f.view.Store(viewOf(doc, f.replica))
	f.doc.Store(doc)
	f.ready.Store(true)
	if f.opts.OnNewRevision != nil {
		f.opts.OnNewRevision(doc.Revision)
	}
}

// startDueTasks starts the fetches from peers and restatements that are due.
func (f *Follower) startDueTasks(ctx context.Context, wg *conc.WaitGroup, now time.Time) {
	if seen := f.newestSeen; !f.fetching && seen.revision > f.replica.HeadRevision() && now.Sub(seen.since) >= peerFetchDelay {
		f.fetching = true
		after := f.replica.HeadRevision()
		wg.Go(func() { f.fetchFrom(ctx, seen.address, after) })
	}
	if !f.fetching && now.Sub(f.startedAt) >= joinDelay && !now.Before(f.nextJoinAt) && f.needsPeers(now) {
		f.fetching, f.nextJoinAt = true, now.Add(joinDelay/2+rand.N(joinDelay/2))
		wg.Go(func() { f.join(ctx) })
	}
	if now.Before(f.nextRestateAt) {
		return
	}
	f.nextRestateAt = now.Add(restateInterval + rand.N(restateInterval))
	if doc := f.doc.Load(); doc != nil && !f.restating && (f.opts.IsPreferred == nil || f.opts.IsPreferred()) {
		retention := int64(doc.Fleet.LogRetentionHours) * hourMs
		if due := f.replica.DueForRestatement(now.UnixMilli(), retention); len(due) > 0 {
			records := f.replica.Restatement(now.UnixMilli(), maxRestateBytes)
			f.restating = true
			wg.Go(func() { f.restate(ctx, records) })
		}
	}
}

// needsPeers reports whether a new instance cannot get the document from the log,
// because the log does not answer or the records have expired without a restatement.
func (f *Follower) needsPeers(now time.Time) bool {
	if f.ready.Load() {
		return false
	}
	if !f.caughtUp {
		return now.Sub(f.logAnsweredAt) >= joinDelay
	}
	_, err := f.replica.Document()
	return err != nil
}

// restate appends the records of a restatement. After a failure, the whole restatement
// is repeated later.
func (f *Follower) restate(ctx context.Context, records [][]*recordpb.Entry) {
	defer func() { _ = f.events.Put(ctx, func(time.Time) { f.restating = false }) }()
	for _, entries := range records {
		if err := f.append(ctx, entries); err != nil {
			restateFailures.Add(1)
			klog.InfoS("restating configuration failed", "instance", f.opts.Instance, "err", err)
			return
		}
	}
	restatements.Add(1)
	klog.InfoS("configuration restated", "instance", f.opts.Instance, "records", len(records))
}

func (f *Follower) append(ctx context.Context, entries []*recordpb.Entry) error {
	payload, err := record.Encode(&recordpb.Batch{Instance: f.opts.Instance, Entries: entries})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = f.opts.Log.Append(ctx, Stream, payload)
	return err
}

// Register registers the service Config on the mux of the peer listener.
func (f *Follower) Register(mux drpc.Mux) error { return peerpb.DRPCRegisterConfig(mux, f) }
