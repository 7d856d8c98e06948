// Package quarantine maintains an instance's replica of the quarantined requests.
// It reads the control stream, reports crashes of servers, and serves the
// operators' requests to list and release quarantined requests. The documentation
// of package domain/quarantine explains the rules, incidents and verdicts.
//
// Verdicts are read under a read lock. Updates hold the lock for microseconds only.
package quarantine

import (
	"context"
	"encoding/hex"
	"errors"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
	"github.com/jacinthnotch/jacinthnotch/domain/quarantine"
	"github.com/jacinthnotch/jacinthnotch/domain/record"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/ring"
	"github.com/jacinthnotch/jacinthnotch/node/stream"
	"github.com/jacinthnotch/jacinthnotch/policy/suspect"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// Stream is the stream of quarantine records on the log.
const Stream = "control"

const (
	// queueCapacity is the number of records that can wait to be appended.
	queueCapacity = 256
	// advanceInterval is the interval between calls of advance.
	advanceInterval = 250 * time.Millisecond
	// restateInterval is the minimum time between two checks by the preferred instance
	// for quarantines whose records are about to expire. A random delay of up to the
	// same length is added.
	restateInterval = time.Minute
	appendTimeout   = 3 * time.Second
	// maxAppendAttempts limits the attempts to append a queued record.
	maxAppendAttempts = 5
)

var (
	reportsSent     = expvar.NewInt("quarantine_reports_total")
	setsAppended    = expvar.NewInt("quarantine_sets_appended_total")
	releases        = expvar.NewInt("quarantine_releases_total")
	ranAlone        = expvar.NewInt("quarantine_ran_alone_total")
	appendFailures  = expvar.NewInt("quarantine_append_failures_total")
	recordsRejected = expvar.NewInt("quarantine_records_rejected_total")
	recordsSkipped  = expvar.NewInt("quarantine_records_skipped_total")
)

// Options configures a Manager. Instance and Log are required.
type Options struct {
	Instance string
	Log      port.Log
	// Document returns the configuration in effect, or nil if there is none yet.
	// The field may be nil.
	Document func() *config.Document
	// IsPreferred reports whether this instance writes the records of quarantines. All
	// instances derive the same ones, so one writer is enough. If it is nil, the
	// instance always writes them.
	IsPreferred func() bool
	// Audit may be nil.
	Audit api.AuditSink
}

// Manager maintains the quarantine on one instance. It is safe for concurrent use.
type Manager struct {
	opts Options
	// queue holds records whose producers do not wait until they are appended.
	queue *ring.Ring[*recordpb.Entry]

	mu      sync.RWMutex
	tracker *quarantine.Tracker
	// waiters maps the ID of a published batch to a channel that is closed when the
	// batch has been read back from the stream.
	waiters map[string]chan struct{}
}

// New returns a Manager, which is inactive until Run is called.
func New(o Options) *Manager {
	return &Manager{opts: o, queue: ring.New[*recordpb.Entry](queueCapacity, recordsRejected),
		tracker: quarantine.New(quarantine.DefaultConfig()), waiters: map[string]chan struct{}{}}
}

// Run reads the stream, evaluates settled incidents and appends queued records until
// ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	tail := &stream.Tail{Log: m.opts.Log, Clock: stream.WallClock{}, Stream: Stream}
	wg.Go(func() { _ = tail.Run(ctx, (*streamHandler)(m)) })
	wg.Go(func() { m.appendQueued(ctx) })
	tick := time.NewTicker(advanceInterval)
	defer tick.Stop()
	restate := time.Now().Add(restateInterval + rand.N(restateInterval))
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			m.advance(now)
			if now.After(restate) {
				restate = now.Add(restateInterval + rand.N(restateInterval))
				m.restate(now)
			}
		}
	}
}

func (m *Manager) isPreferred() bool { return m.opts.IsPreferred == nil || m.opts.IsPreferred() }

// advance evaluates the incidents that have settled. Every instance derives the same
// quarantines, so only the preferred instance writes their records.
func (m *Manager) advance(now time.Time) {
	m.mu.Lock()
	if doc := m.document(); doc != nil {
		m.tracker.SetQuarantineDuration(time.Duration(doc.Fleet.QuarantineMinutes) * time.Minute)
	}
	sets := m.tracker.Advance(now.UnixMilli())
	m.mu.Unlock()
	for _, s := range sets {
		klog.InfoS("request quarantined", "instance", m.opts.Instance, "fingerprint", hex.EncodeToString(s.Fingerprint),
			"servers", s.Servers, "until", time.UnixMilli(s.UntilMs).UTC())
		if m.isPreferred() {
			m.enqueueSet(now, s)
			m.audit("quarantine", s.Reason, "system", s.Fingerprint, "suspect", "quarantined")
		}
	}
}

func (m *Manager) document() *config.Document {
	if m.opts.Document == nil {
		return nil
	}
	return m.opts.Document()
}

// restate writes the quarantines again whose records are about to expire.
func (m *Manager) restate(now time.Time) {
	doc := m.document()
	if doc == nil || !m.isPreferred() {
		return
	}
	m.mu.Lock()
	expiring := m.tracker.DueForRestatement(now.UnixMilli(), int64(doc.Fleet.LogRetentionHours)*time.Hour.Milliseconds())
	m.mu.Unlock()
	for _, s := range expiring {
		m.enqueueSet(now, s)
	}
}

func (m *Manager) enqueueSet(now time.Time, s *recordpb.QuarantineSet) {
	setsAppended.Add(1)
	_ = m.queue.Offer(&recordpb.Entry{AtMs: now.UnixMilli(), Kind: &recordpb.Entry_QuarantineSet{QuarantineSet: s}})
}

// appendQueued appends the queued records until ctx ends. A record whose append has
// failed maxAppendAttempts times is dropped.
func (m *Manager) appendQueued(ctx context.Context) {
	for {
		e, err := m.queue.Get(ctx)
		if err != nil {
			return
		}
		for failures := 1; failures <= maxAppendAttempts; failures++ {
			if m.append(ctx, "", e) == nil || (stream.WallClock{}).Sleep(ctx, stream.Backoff(failures)) != nil {
				break
			}
		}
	}
}

// append appends the entries as one batch, with id as the ID of the batch.
func (m *Manager) append(ctx context.Context, id string, entries ...*recordpb.Entry) error {
	// Readers of this stream do not use the epoch and the sequence number of a
	// batch. The instance field carries the ID by which publish recognizes the batch.
	payload, err := record.Encode(&recordpb.Batch{Instance: id, Entries: entries})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err = m.opts.Log.Append(ctx, Stream, payload); err != nil {
		appendFailures.Add(1)
	}
	return err
}

// publish appends entries and waits until they have been read back or ctx ends. An
// append whose outcome is unknown is repeated; a duplicate record has no effect.
func (m *Manager) publish(ctx context.Context, entries ...*recordpb.Entry) error {
	id, readBack := uuid.NewString(), make(chan struct{})
	m.mu.Lock()
	m.waiters[id] = readBack
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.waiters, id)
		m.mu.Unlock()
	}()
	for failures := 1; ; failures++ {
		err := m.append(ctx, id, entries...)
		if err == nil {
			select {
			case <-readBack:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if !errors.Is(err, port.ErrUnavailable) && !errors.Is(err, port.ErrOutcomeUnknown) {
			return err
		}
		if (stream.WallClock{}).Sleep(ctx, stream.Backoff(failures)) != nil {
			return err
		}
		select {
		case <-readBack:
			return nil
		default:
		}
	}
}

// Verdict returns the restriction under which a request may run.
func (m *Manager) Verdict(fingerprint []byte) quarantine.Verdict {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.tracker.Verdict(fingerprint, time.Now().UnixMilli())
}

// Report records a server's death. It returns after the record has been read back,
// so that later verdicts of this instance take it into account.
func (m *Manager) Report(ctx context.Context, r suspect.CrashReport) error {
	reportsSent.Add(1)
	at, incident := r.At.UnixMilli(), uuid.NewString()
	var entries []*recordpb.Entry
	for _, fingerprint := range r.InFlight {
		entries = append(entries, &recordpb.Entry{AtMs: at, Kind: &recordpb.Entry_CrashReported{CrashReported: &recordpb.CrashReported{
			Fingerprint: []byte(fingerprint), Server: r.Server, Incident: incident}}})
	}
	if len(entries) == 0 {
		return nil
	}
	return m.publish(ctx, entries...)
}

// RanAlone records that a suspect ran alone to completion. It does not block.
func (m *Manager) RanAlone(fingerprint []byte) {
	ranAlone.Add(1)
	_ = m.queue.Offer(clearedEntry(fingerprint, quarantine.ActorRanAlone, time.Now().UnixMilli()))
}

func clearedEntry(fingerprint []byte, actor string, atMs int64) *recordpb.Entry {
	return &recordpb.Entry{AtMs: atMs, Kind: &recordpb.Entry_QuarantineCleared{QuarantineCleared: &recordpb.QuarantineCleared{
		Fingerprint: fingerprint, Actor: actor}}}
}

func (m *Manager) audit(kind, cause, actor string, fingerprint []byte, before, after string) {
	if m.opts.Audit != nil {
		m.opts.Audit.Record(&recordpb.Audit{Kind: kind, Cause: cause, Actor: actor, Before: before,
			After: after + " " + hex.EncodeToString(fingerprint)})
	}
}

// streamHandler handles the records of the control stream.
type streamHandler Manager

// Record implements stream.Handler.
func (h *streamHandler) Record(rec port.Record) {
	batch, err := record.Decode(rec.Payload)
	if err != nil {
		recordsSkipped.Add(1)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range batch.Entries {
		h.tracker.Apply(e, time.Now().UnixMilli())
	}
	if readBack := h.waiters[batch.Instance]; readBack != nil {
		delete(h.waiters, batch.Instance)
		close(readBack)
	}
}

// CaughtUp implements stream.Handler.
func (h *streamHandler) CaughtUp(int64) {}

// Skipped implements stream.Handler. It has nothing to do, because quarantines that
// are in force are restated before their records expire.
func (h *streamHandler) Skipped(int64, int64) {}
