package owner

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/partition"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/stream"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	// appendTimeout bounds one append; a longer one is on a silent connection.
	appendTimeout = 5 * time.Second
	// readBackWait is how long an acknowledged append may take to be read back
	// before it is repeated. Repeating is safe and costs one append.
	readBackWait = 3 * time.Second
	// resultDelay is how long item results and entries that nobody waits for are
	// gathered. The log takes a few hundred appends a second from all its users;
	// with 64 partitions this leaves at most 64 of them to batch results.
	resultDelay = time.Second
	// gatherBytes ends the gathering early, at half of a payload.
	gatherBytes = 256 << 10
	// minGap and maxGap bound the time between two appends. The gap doubles when
	// the log is at its rate limit and shrinks by an eighth with each success.
	minGap = 10 * time.Millisecond
	maxGap = 500 * time.Millisecond
	// slowAppend is the time after which a log that does not answer or only
	// fails counts as down for requests that need it first.
	slowAppend = 2 * time.Second
	// failingFor is the shortest time of failures in a row that counts as an outage.
	failingFor = time.Second
)

// appender is the state of the one append in flight.
type appender struct {
	running  bool
	started  time.Time
	retryAt  time.Time // of the batch in flight or, after a refused append, of the next
	refused  bool      // the last append had no effect
	gap      time.Duration
	failures int
	since    time.Time // of the first failure in a row
	down     bool
	gather   time.Time // since when lazy entries wait
}

// queued is an entry on its way to the log.
type queued struct {
	ticket   partition.Ticket
	size     int
	urgent   bool
	deadline time.Time
	undo     func()
	done     func(*peerpb.Refusal)
}

// request says how entries are added. The zero value gathers them with others
// and has nobody wait.
type request struct {
	// deadline is when done is called at the latest; zero for no one waiting.
	deadline time.Time
	// undo takes the decision back when a single entry was withdrawn. Without
	// it the entries stay queued when the deadline passes.
	undo func()
	// done is called once: with nil after the entries were read back.
	done func(*peerpb.Refusal)
	// lazy lets entries be gathered although somebody waits.
	lazy bool
}

// add queues entries. On a refusal none is queued and done is not called.
func (d *duty) add(r request, entries ...*recordpb.Entry) *peerpb.Refusal {
	if r.done != nil && d.waiters >= d.opts.MaxWaiters {
		waitersRefused.Add(1)
		return refuseBusy("too many requests wait for the log")
	}
	ticket, err := d.writer.Add(entries...)
	if err != nil {
		entriesRefused.Add(int64(len(entries)))
		return refusalOf(err)
	}
	q := &queued{ticket: ticket, urgent: r.done != nil && !r.lazy, deadline: r.deadline, done: r.done}
	if len(entries) == 1 {
		q.undo = r.undo
	}
	for _, e := range entries {
		q.size += entrySize(e)
	}
	if len(d.queue) == 0 || d.appender.gather.IsZero() {
		d.appender.gather = time.Now()
	}
	d.queue = append(d.queue, q)
	d.count(q, 1)
	if r.done != nil && !r.deadline.IsZero() {
		d.tickBy(r.deadline)
	}
	return nil
}

// barrier waits for the entries that are queued already.
func (d *duty) barrier(r request) {
	if len(d.queue) == 0 {
		r.done(nil)
		return
	}
	if d.waiters >= d.opts.MaxWaiters {
		waitersRefused.Add(1)
		r.done(refuseBusy("too many requests wait for the log"))
		return
	}
	last := d.queue[len(d.queue)-1]
	q := &queued{ticket: last.ticket, urgent: !r.lazy, deadline: r.deadline, done: r.done}
	d.queue = append(d.queue, q)
	d.count(q, 1)
	d.tickBy(r.deadline)
}

// tickBy has the duty check its waiting requests soon, at the latest at a deadline.
func (d *duty) tickBy(deadline time.Time) {
	d.nextTick = earlier(d.nextTick, earlier(deadline, time.Now().Add(tickBusy)))
}

func (d *duty) count(q *queued, n int) {
	d.queueSize += n * q.size
	if q.urgent {
		d.urgent += n
	}
	if q.done != nil {
		d.waiters += n
	}
}

// settle answers what was read back.
func (d *duty) settle(committed partition.Ticket) {
	n := 0
	// A barrier at the front has nothing left to wait for, even if the entry
	// before it was withdrawn.
	for ; n < len(d.queue) && (d.queue[n].ticket <= committed || d.queue[n].size == 0); n++ {
		q := d.queue[n]
		d.count(q, -1)
		if q.done != nil {
			q.done(nil)
		}
		entriesCommitted.Add(1)
	}
	if n == 0 {
		return
	}
	clear(d.queue[:n])
	if d.queue = d.queue[n:]; len(d.queue) == 0 {
		d.queue = nil
	}
	d.appender.gather = time.Now()
	d.logWorks()
}

// expire answers requests whose time is over, or with all set those that can be
// withdrawn. What Writer.Withdraw removes was not recorded and never will be.
func (d *duty) expire(now time.Time, all bool) {
	var kept []*queued
	var answers []func()
	for _, q := range d.queue {
		late := !q.deadline.IsZero() && !now.Before(q.deadline)
		switch {
		case q.done == nil && q.size == 0:
			// the rest of a barrier
		case q.done == nil || !late && (!all || q.undo == nil):
			kept = append(kept, q)
		case q.undo != nil && d.writer.Withdraw(q.ticket):
			d.count(q, -1)
			answers = append(answers, func() { q.undo(); q.done(refuseLog()) })
		case late:
			d.count(q, -1)
			done := q.done
			q.done, q.undo, q.urgent = nil, nil, false
			d.count(q, 1)
			kept = append(kept, q)
			answers = append(answers, func() { done(refuseUnknown()) })
		default:
			kept = append(kept, q)
		}
	}
	d.queue = kept
	// An answer may queue entries of its own.
	for _, answer := range answers {
		answer()
	}
}

// failAll answers everything that waits after the ownership has ended. What was
// not read back by then is not in force and never will be.
func (d *duty) failAll() {
	r := refuseOwner(d.hint(), "the partition has moved; nothing was recorded")
	queue := d.queue
	d.queue, d.queueSize, d.urgent, d.waiters, d.joins = nil, 0, 0, 0, 0
	lost := d.writer.Role() == partition.RoleOwner && d.writer.InDoubt()
	for _, q := range queue {
		if q.done == nil {
			continue
		}
		if lost {
			// The duty was stopped, so that the append in flight may still stand.
			q.done(refuseUnknown())
		} else {
			q.done(r)
		}
	}
	for ref, waits := range d.callWaits {
		for _, w := range waits {
			w.reply(nil, r)
		}
		delete(d.callWaits, ref)
	}
}

// due reports whether a new batch is to be appended now, and otherwise when to look again.
func (d *duty) due(now time.Time) (bool, time.Time) {
	a := &d.appender
	if d.writer.Role() == partition.RoleClaiming {
		return true, now
	}
	snapshot := d.upkeep.asked || d.state.SnapshotOpen()
	if len(d.queue) == 0 && !snapshot && !d.released {
		return false, now.Add(tickIdle)
	}
	at := a.started.Add(max(a.gap, minGap))
	if d.urgent == 0 && !snapshot && !d.released && d.queueSize < gatherBytes {
		if g := a.gather.Add(resultDelay); g.After(at) {
			at = g
		}
	}
	return !now.Before(at), at
}

// pump starts the next append or repeats the one in flight.
func (d *duty) pump(now time.Time) {
	a := &d.appender
	if a.running || d.writer.Role() == partition.RoleIdle {
		return
	}
	if (d.writer.InFlight() || a.refused) && now.Before(a.retryAt) {
		return
	}
	if !d.writer.InFlight() {
		if ok, _ := d.due(now); !ok {
			return
		}
	}
	payload, err := d.writer.Next(d.state, now.UnixMilli())
	if err != nil {
		klog.ErrorS(err, "Batch cannot be encoded", "partition", d.number)
		d.end("batch cannot be encoded")
		return
	}
	if payload == nil {
		a.started = now // looks again after the gap
		return
	}
	a.running, a.started = true, now
	d.workers.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, appendTimeout)
		defer cancel()
		_, err := d.opts.Log.Append(ctx, d.stream, payload)
		_ = d.events.Put(d.ctx, func() { d.appended(payload, err) })
	})
}

func (d *duty) appended(payload []byte, err error) {
	if d.over {
		return
	}
	a, now := &d.appender, time.Now()
	a.running, a.refused = false, errors.Is(err, port.ErrUnavailable)
	if err == nil {
		appendsOK.Add(1)
		appendBytes.Add(int64(len(payload)))
		a.gap = max(minGap, a.gap-a.gap/8)
		a.retryAt = now.Add(readBackWait + jitter(readBackWait/2))
		d.logWorks()
		return
	}
	if a.refused {
		appendsFailed.Add(1)
		d.writer.NotAppended(payload)
	} else {
		appendsUnknown.Add(1)
	}
	if a.failures++; a.failures == 1 {
		a.since = a.started
	}
	a.retryAt = now.Add(stream.Backoff(a.failures))
	if status := (*port.StatusError)(nil); errors.As(err, &status) && status.Status == http.StatusTooManyRequests {
		a.failures = 0
		a.gap = min(maxGap, 2*max(a.gap, minGap))
		a.retryAt = now.Add(max(min(status.RetryAfter, maxGap), minGap) + jitter(maxGap))
		return // at its rate limit the log is not down
	}
	if now.Sub(a.since) >= failingFor {
		d.enterOutage(now)
	}
	if a.down && a.refused {
		// The outage may have begun while this append was not answered.
		d.expire(now, true)
	}
}

// enterOutage refuses what waits to be recorded before it may run.
func (d *duty) enterOutage(now time.Time) {
	a := &d.appender
	if a.down || d.writer.Role() != partition.RoleOwner {
		return
	}
	a.down = true
	outages.Add(1)
	partitionsDown.Add(1)
	klog.InfoS("Log does not take appends", "partition", d.number, "since", a.started, "pendingBytes", d.queueSize)
	d.audit(&recordpb.Audit{Kind: "log-outage-entered", After: d.stream})
	d.expire(now, true)
}

func (d *duty) logWorks() {
	d.appender.failures, d.appender.refused = 0, false
	d.leaveOutage()
}

func (d *duty) leaveOutage() {
	if a := &d.appender; a.down {
		a.down = false
		partitionsDown.Add(-1)
		klog.InfoS("Log takes appends again", "partition", d.number, "pendingBytes", d.queueSize)
		d.audit(&recordpb.Audit{Kind: "log-outage-left", After: d.stream})
	}
}

// wakeAt returns when the duty has to act without an event.
func (d *duty) wakeAt() time.Time {
	at := d.nextTick
	if d.appender.running || d.writer.Role() == partition.RoleIdle {
		return at
	}
	if d.writer.InFlight() {
		return earlier(at, d.appender.retryAt)
	}
	_, due := d.due(time.Now())
	if d.appender.refused && due.Before(d.appender.retryAt) {
		due = d.appender.retryAt // a batch built anew waits like the one before it
	}
	return earlier(at, due)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// jitter returns a random time below limit.
func jitter(limit time.Duration) time.Duration { return time.Duration(rand.Int64N(int64(limit))) }
