// Package follower keeps an instance's configuration: it follows the stream
// config, publishes the document in force, carries out edits and states the
// sections again before their records expire.
//
// One duty (goroutine) owns the history. Readers take the published view and
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

// Stream is the stream of the configuration on the log.
const Stream = "config"

const (
	// ringEvents bounds the records and requests that wait for the duty.
	ringEvents = 256
	// reviewPeriod is how often the duty looks at what is due.
	reviewPeriod = 250 * time.Millisecond
	// logGrace is how long a record may take to arrive by the log before a newer
	// revision is asked of a peer. A revision has to be in force within 2 s.
	logGrace = 300 * time.Millisecond
	// joinGrace is how long a new instance waits for the log before it asks its
	// peers for the whole document.
	joinGrace = time.Second
	// askWait bounds the wait of a request for the duty.
	askWait = time.Second
	// restatePeriod is how often the preferred instance looks for sections that
	// expire; up to as much is added at random.
	restatePeriod = time.Minute
	// restateBytes bounds one record of a restatement before compression.
	restateBytes  = 256 << 10
	appendTimeout = 5 * time.Second
	hourMs        = int64(time.Hour / time.Millisecond)
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

// Options configure the duty. Instance, Log, Peers and Members are required.
type Options struct {
	Instance string
	Log      port.Log
	Peers    peer.Connector
	// Members returns the live members, this instance included.
	Members func() []member.Member
	// Preferred reports whether this instance states expiring sections again;
	// nil for always.
	Preferred func() bool
	// OnHead is told of a newer revision in force. It must not block.
	OnHead func(revision int64)
	// Audit may be nil.
	Audit api.AuditSink
}

// Follower is the configuration duty of one instance.
type Follower struct {
	opts   Options
	events *ring.Ring[func(now time.Time)]
	view   atomic.Pointer[api.View]
	doc    atomic.Pointer[config.Document]
	ready  atomic.Bool
	state  atomic.Pointer[string] // why the instance is not ready

	// The duty alone uses what follows.
	history   *config.Replica
	started   bool // SetLogStartOffset was called with the first retained offset
	caughtUp  bool
	heard     time.Time // of the last answer of the log
	began     time.Time
	ahead     ahead
	fetching  bool
	joinAt    time.Time // of the next question to the peers for a whole document
	wanted    map[string]chan config.Decision
	restateAt time.Time
	restating bool
}

// ahead is the newest revision that a member was heard to hold.
type ahead struct {
	instance, address string
	revision          int64
	since             time.Time
}

// New returns the duty; it does nothing until Run.
func New(o Options) *Follower {
	f := &Follower{opts: o, events: ring.New[func(time.Time)](ringEvents, eventsRejected),
		history: config.NewReplica(), wanted: map[string]chan config.Decision{}}
	f.setReason("the configuration has not been read yet")
	return f
}

// View implements api.Config.
func (f *Follower) View() *api.View { return f.view.Load() }

// Document returns the document in force, nil before there is one.
func (f *Follower) Document() *config.Document { return f.doc.Load() }

// Ready reports whether the instance has the configuration, and otherwise why not.
func (f *Follower) Ready() (bool, string) {
	if f.ready.Load() {
		return true, ""
	}
	return false, *f.state.Load()
}

func (f *Follower) setReason(reason string) { f.state.Store(&reason) }

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	f.began = time.Now()
	f.restateAt = f.began.Add(restatePeriod + rand.N(restatePeriod))
	tail := &stream.Tail{Log: f.opts.Log, Clock: stream.WallClock{}, Stream: Stream}
	wg.Go(func() { _ = tail.Run(ctx, &records{ctx: ctx, f: f}) })
	for ctx.Err() == nil {
		f.review(ctx, &wg, time.Now())
		wait, cancel := context.WithTimeout(ctx, reviewPeriod)
		handle, err := f.events.Get(wait)
		cancel()
		if err == nil {
			handle(time.Now())
		}
	}
}

// ask runs fn on the duty and waits until it was run.
func (f *Follower) ask(ctx context.Context, fn func(now time.Time)) error {
	ctx, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	return ring.Do(ctx, f.events, fn)
}

// records passes what the tail reads on to the duty. A full ring holds the tail
// back, since no record may be lost.
type records struct {
	ctx context.Context
	f   *Follower
}

func (r *records) put(fn func(now time.Time)) { _ = r.f.events.Put(r.ctx, fn) }

// Record implements stream.Handler.
func (r *records) Record(rec port.Record) {
	batch, err := record.Decode(rec.Payload)
	if err != nil {
		// A record of a newer version or a corrupt one: every reader of this
		// version skips it alike.
		recordsSkipped.Add(1)
		klog.InfoS("Record of the configuration skipped", "offset", rec.Offset, "err", err)
		batch = &recordpb.Batch{}
	}
	r.put(func(now time.Time) { r.f.apply(now, rec.Offset, batch) })
}

// CaughtUp implements stream.Handler.
func (r *records) CaughtUp(int64) {
	r.put(func(now time.Time) {
		r.f.heard, r.f.caughtUp = now, true
		r.f.start(0)
		r.f.publish()
	})
}

// Skipped implements stream.Handler.
func (r *records) Skipped(_, first int64) {
	r.put(func(time.Time) {
		r.f.started = true
		r.f.history.SetLogStartOffset(first)
	})
}

// start tells the history where the stream begins, unless that is known.
func (f *Follower) start(first int64) {
	if !f.started {
		f.started = true
		f.history.SetLogStartOffset(first)
	}
}

func (f *Follower) apply(now time.Time, offset int64, batch *recordpb.Batch) {
	f.heard = now
	f.start(0)
	for _, d := range f.history.Apply(offset, batch.Instance, batch.Entries) {
		f.decided(d)
	}
	if f.caughtUp {
		f.publish()
	}
}

// decided counts a verdict and tells the editor.
func (f *Follower) decided(d config.Decision) {
	switch d.Verdict {
	case config.Accepted:
		revisionsAccepted.Add(1)
		klog.InfoS("Configuration revision accepted", "instance", f.opts.Instance, "revision", d.Offset+1, "sections", d.Sections)
	case config.Duplicate:
	default:
		revisionsRefused.Add(d.Verdict.String(), 1)
		klog.InfoS("Configuration revision refused", "instance", f.opts.Instance, "offset", d.Offset,
			"sections", d.Sections, "verdict", d.Verdict.String(), "err", d.Err)
	}
	if w := f.wanted[d.EditID]; w != nil {
		delete(f.wanted, d.EditID)
		w <- d
	}
}

// publish puts the history's document in force on this instance. Before the end
// of the stream was read there is none, so that an old document is not served.
func (f *Follower) publish() {
	doc, err := f.history.Document()
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
	f.view.Store(viewOf(doc, f.history))
	f.doc.Store(doc)
	f.ready.Store(true)
	if f.opts.OnHead != nil {
		f.opts.OnHead(doc.Revision)
	}
}

// review starts what is due: fetches from peers and restatements.
func (f *Follower) review(ctx context.Context, wg *conc.WaitGroup, now time.Time) {
	if a := f.ahead; !f.fetching && a.revision > f.history.HeadRevision() && now.Sub(a.since) >= logGrace {
		f.fetching = true
		after := f.history.HeadRevision()
		wg.Go(func() { f.fetchFrom(ctx, a.address, after) })
	}
	if !f.fetching && now.Sub(f.began) >= joinGrace && !now.Before(f.joinAt) && f.needsPeers(now) {
		f.fetching, f.joinAt = true, now.Add(joinGrace/2+rand.N(joinGrace/2))
		wg.Go(func() { f.join(ctx) })
	}
	if now.Before(f.restateAt) {
		return
	}
	f.restateAt = now.Add(restatePeriod + rand.N(restatePeriod))
	if doc := f.doc.Load(); doc != nil && !f.restating && (f.opts.Preferred == nil || f.opts.Preferred()) {
		retention := int64(doc.Fleet.LogRetentionHours) * hourMs
		if due := f.history.DueForRestatement(now.UnixMilli(), retention); len(due) > 0 {
			records := f.history.Restatement(now.UnixMilli(), restateBytes)
			f.restating = true
			wg.Go(func() { f.restate(ctx, records) })
		}
	}
}

// needsPeers reports whether a new instance cannot get the document from the
// log: it does not answer, or the records have expired without a restatement.
func (f *Follower) needsPeers(now time.Time) bool {
	if f.ready.Load() {
		return false
	}
	if !f.caughtUp {
		return now.Sub(f.heard) >= joinGrace
	}
	_, err := f.history.Document()
	return err != nil
}

// restate appends a restatement. After a failure all of it is written again later.
func (f *Follower) restate(ctx context.Context, entries [][]*recordpb.Entry) {
	defer func() { _ = f.events.Put(ctx, func(time.Time) { f.restating = false }) }()
	for _, list := range entries {
		if err := f.append(ctx, list); err != nil {
			restateFailures.Add(1)
			klog.InfoS("Configuration not stated again", "instance", f.opts.Instance, "err", err)
			return
		}
	}
	restatements.Add(1)
	klog.InfoS("Configuration stated again", "instance", f.opts.Instance, "records", len(entries))
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

// Register adds the service Config to the peer listener.
func (f *Follower) Register(mux drpc.Mux) error { return peerpb.DRPCRegisterConfig(mux, f) }
