// Package quarantine keeps an instance's copy of the fleet's quarantine: it
// follows the stream control, reports crashes of servers and carries out the
// operators' releases.
//
// One duty (goroutine) writes; the verdict on a request is read under a shared
// lock that the duty holds for microseconds.
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
	// ringRecords bounds the records that wait to be appended.
	ringRecords = 256
	// advancePeriod is how often incidents are settled.
	advancePeriod = 250 * time.Millisecond
	// restatePeriod is how often the preferred instance looks for quarantines
	// whose records expire.
	restatePeriod = time.Minute
	appendTimeout = 3 * time.Second
	// appendTries bounds the appends of a record that nobody waits for.
	appendTries = 5
)

var (
	reportsSent     = expvar.NewInt("quarantine_reports_total")
	setsAppended    = expvar.NewInt("quarantine_sets_appended_total")
	releases        = expvar.NewInt("quarantine_releases_total")
	clearedAlone    = expvar.NewInt("quarantine_ran_alone_total")
	appendFailures  = expvar.NewInt("quarantine_append_failures_total")
	recordsRejected = expvar.NewInt("quarantine_records_rejected_total")
	recordsSkipped  = expvar.NewInt("quarantine_records_skipped_total")
)

// Options configure the duty. Instance and Log are required.
type Options struct {
	Instance string
	Log      port.Log
	// Document returns the configuration in effect, or nil.
	Document func() *config.Document
	// Preferred reports whether this instance writes what every instance could
	// write; nil for always.
	Preferred func() bool
	// Audit may be nil.
	Audit api.AuditSink
}

// Manager is the quarantine duty of one instance. It is safe for concurrent use.
type Manager struct {
	opts Options
	lazy *ring.Ring[*recordpb.Entry]

	mu     sync.RWMutex
	ledger *quarantine.Tracker
	// waiting holds who waits for a record, by the record's name.
	waiting map[string]chan struct{}
}

// New returns the duty; it does nothing until Run.
func New(o Options) *Manager {
	return &Manager{opts: o, lazy: ring.New[*recordpb.Entry](ringRecords, recordsRejected),
		ledger: quarantine.New(quarantine.DefaultConfig()), waiting: map[string]chan struct{}{}}
}

// Run follows the stream until ctx ends.
func (d *Manager) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	tail := &stream.Tail{Log: d.opts.Log, Clock: stream.WallClock{}, Stream: Stream}
	wg.Go(func() { _ = tail.Run(ctx, (*records)(d)) })
	wg.Go(func() { d.write(ctx) })
	tick := time.NewTicker(advancePeriod)
	defer tick.Stop()
	restate := time.Now().Add(restatePeriod + rand.N(restatePeriod))
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			d.advance(now)
			if now.After(restate) {
				restate = now.Add(restatePeriod + rand.N(restatePeriod))
				d.restate(now)
			}
		}
	}
}

func (d *Manager) preferred() bool { return d.opts.Preferred == nil || d.opts.Preferred() }

// advance settles incidents. Every instance comes to the same quarantines, so
// that the record of the preferred one is enough.
func (d *Manager) advance(now time.Time) {
	d.mu.Lock()
	if doc := d.document(); doc != nil {
		d.ledger.SetQuarantineDuration(time.Duration(doc.Fleet.QuarantineMinutes) * time.Minute)
	}
	sets := d.ledger.Advance(now.UnixMilli())
	d.mu.Unlock()
	for _, s := range sets {
		klog.InfoS("Request quarantined", "instance", d.opts.Instance, "fingerprint", hex.EncodeToString(s.Fingerprint),
			"servers", s.Servers, "until", time.UnixMilli(s.UntilMs).UTC())
		if d.preferred() {
			d.state(now, s)
			d.audit("quarantine", s.Reason, "system", s.Fingerprint, "suspect", "quarantined")
		}
	}
}

func (d *Manager) document() *config.Document {
	if d.opts.Document == nil {
		return nil
	}
	return d.opts.Document()
}

// restate writes quarantines again before their records expire.
func (d *Manager) restate(now time.Time) {
	doc := d.document()
	if doc == nil || !d.preferred() {
		return
	}
	d.mu.Lock()
	due := d.ledger.DueForRestatement(now.UnixMilli(), int64(doc.Fleet.LogRetentionHours)*time.Hour.Milliseconds())
	d.mu.Unlock()
	for _, s := range due {
		d.state(now, s)
	}
}

func (d *Manager) state(now time.Time, s *recordpb.QuarantineSet) {
	setsAppended.Add(1)
	_ = d.lazy.Offer(&recordpb.Entry{AtMs: now.UnixMilli(), Kind: &recordpb.Entry_QuarantineSet{QuarantineSet: s}})
}

// write appends the records that nobody waits for.
func (d *Manager) write(ctx context.Context) {
	for {
		e, err := d.lazy.Get(ctx)
		if err != nil {
			return
		}
		for failures := 1; failures <= appendTries; failures++ {
			if d.append(ctx, "", e) == nil || (stream.WallClock{}).Sleep(ctx, stream.Backoff(failures)) != nil {
				break
			}
		}
	}
}

// append writes one record. name is that of the wait for its reading back.
func (d *Manager) append(ctx context.Context, name string, entries ...*recordpb.Entry) error {
	// Readers of the stream take entries from a batch whatever its numbers are;
	// the instance field carries the name of the wait.
	payload, err := record.Encode(&recordpb.Batch{Instance: name, Entries: entries})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err = d.opts.Log.Append(ctx, Stream, payload); err != nil {
		appendFailures.Add(1)
	}
	return err
}

// publish appends entries and waits until they were read back, or until ctx
// ends. A record whose answer was lost is written again, which changes nothing.
func (d *Manager) publish(ctx context.Context, entries ...*recordpb.Entry) error {
	name, read := uuid.NewString(), make(chan struct{})
	d.mu.Lock()
	d.waiting[name] = read
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.waiting, name)
		d.mu.Unlock()
	}()
	for failures := 1; ; failures++ {
		err := d.append(ctx, name, entries...)
		if err == nil {
			select {
			case <-read:
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
		case <-read:
			return nil
		default:
		}
	}
}

// Verdict says how a request may run.
func (d *Manager) Verdict(fingerprint []byte) quarantine.Verdict {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.ledger.Verdict(fingerprint, time.Now().UnixMilli())
}

// Report records a server's death and returns after the record was read back.
func (d *Manager) Report(ctx context.Context, r suspect.CrashReport) error {
	reportsSent.Add(1)
	at, incident := r.At.UnixMilli(), uuid.NewString()
	var entries []*recordpb.Entry
	for _, c := range r.InFlight {
		entries = append(entries, &recordpb.Entry{AtMs: at, Kind: &recordpb.Entry_CrashReported{CrashReported: &recordpb.CrashReported{
			Fingerprint: []byte(c), Server: r.Server, Incident: incident}}})
	}
	if len(entries) == 0 {
		return nil
	}
	return d.publish(ctx, entries...)
}

// RanAlone records that a suspect ran alone to its end. It does not block.
func (d *Manager) RanAlone(fingerprint []byte) {
	clearedAlone.Add(1)
	_ = d.lazy.Offer(cleared(fingerprint, quarantine.ActorRanAlone, time.Now().UnixMilli()))
}

func cleared(fingerprint []byte, actor string, atMs int64) *recordpb.Entry {
	return &recordpb.Entry{AtMs: atMs, Kind: &recordpb.Entry_QuarantineCleared{QuarantineCleared: &recordpb.QuarantineCleared{
		Fingerprint: fingerprint, Actor: actor}}}
}

func (d *Manager) audit(kind, cause, actor string, fingerprint []byte, before, after string) {
	if d.opts.Audit != nil {
		d.opts.Audit.Record(&recordpb.Audit{Kind: kind, Cause: cause, Actor: actor, Before: before,
			After: after + " " + hex.EncodeToString(fingerprint)})
	}
}

// records is the handler of the stream.
type records Manager

// Record implements stream.Handler.
func (r *records) Record(rec port.Record) {
	batch, err := record.Decode(rec.Payload)
	if err != nil {
		recordsSkipped.Add(1)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range batch.Entries {
		r.ledger.Apply(e, time.Now().UnixMilli())
	}
	if read := r.waiting[batch.Instance]; read != nil {
		delete(r.waiting, batch.Instance)
		close(read)
	}
}

// CaughtUp implements stream.Handler.
func (r *records) CaughtUp(int64) {}

// Skipped implements stream.Handler. Quarantines that count still are restated
// before their records expire.
func (r *records) Skipped(int64, int64) {}
