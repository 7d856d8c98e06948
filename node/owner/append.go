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
	// appendTimeout bounds one append. An append that takes longer is assumed to be
	// on a dead connection.
	appendTimeout = 5 * time.Second
	// readBackTimeout is how long an acknowledged append may take to be read back
	// before it is repeated. Repeating is safe, because a duplicate of a batch has
	// no effect, and costs one append.
	readBackTimeout = 3 * time.Second
	// batchDelay is how long item results and entries without a waiting request are
	// collected into a batch. The log takes a few hundred appends a second from all
	// its users; 64 partitions use at most 64 of them for batch results.
	batchDelay = time.Second
	// batchBytes is the queue size that ends batchDelay early, half of a payload.
	batchBytes = 256 << 10
	// minAppendInterval and maxAppendInterval bound the time between two appends.
	// The interval doubles when the log answers that its rate limit is reached and
	// shrinks by an eighth with each success.
	minAppendInterval = 10 * time.Millisecond
	maxAppendInterval = 500 * time.Millisecond
	// appendStallTime is how long an append may go unanswered before the log counts
	// as down for requests that must be recorded before they run.
	appendStallTime = 2 * time.Second
	// outageThreshold is how long appends must fail in a row to count as an outage.
	outageThreshold = time.Second
)

// appendState is the state of the appends of one partition, of which at most one
// runs at a time.
type appendState struct {
	running      bool
	started      time.Time
	retryAt      time.Time // of the batch in flight or, after a refused append, of the next batch
	refused      bool      // the last append had no effect
	interval     time.Duration
	failures     int
	failingSince time.Time // start of the first of the failures in a row
	logDown      bool
	batchSince   time.Time // start of the current batchDelay
}

// queuedEntries are the entries of one add, or a barrier without entries (size 0),
// that wait to be read back.
type queuedEntries struct {
	ticket   partition.Ticket
	size     int
	urgent   bool
	deadline time.Time
	rollback func()
	done     func(*peerpb.Refusal)
}

// addOptions holds the options of add. With the zero value the entries are batched
// and no one waits for them.
type addOptions struct {
	// deadline is the latest time of the call of done; zero for no limit.
	deadline time.Time
	// rollback reverts the decision behind a single entry that was withdrawn from
	// the queue. Without it the entries stay queued after the deadline.
	rollback func()
	// done is called once, with nil after the entries were read back.
	done func(*peerpb.Refusal)
	// batched allows batchDelay although a request waits.
	batched bool
}

// add queues entries for the log. If it returns a refusal, no entry is queued and
// done is not called.
func (o *partitionOwner) add(opts addOptions, entries ...*recordpb.Entry) *peerpb.Refusal {
	if opts.done != nil && o.commitWaiters >= o.opts.MaxWaiters {
		waitersRefused.Add(1)
		return refuseBusy("too many requests wait for the log")
	}
	ticket, err := o.writer.Add(entries...)
	if err != nil {
		entriesRefused.Add(int64(len(entries)))
		return refusalOf(err)
	}
	q := &queuedEntries{ticket: ticket, urgent: opts.done != nil && !opts.batched, deadline: opts.deadline, done: opts.done}
	if len(entries) == 1 {
		q.rollback = opts.rollback
	}
	for _, e := range entries {
		q.size += entrySize(e)
	}
	if len(o.queue) == 0 || o.appends.batchSince.IsZero() {
		o.appends.batchSince = time.Now()
	}
	o.queue = append(o.queue, q)
	o.addToCounts(q, 1)
	if opts.done != nil && !opts.deadline.IsZero() {
		o.tickBy(opts.deadline)
	}
	return nil
}

// barrier calls done after the entries queued so far were read back.
func (o *partitionOwner) barrier(opts addOptions) {
	if len(o.queue) == 0 {
		opts.done(nil)
		return
	}
	if o.commitWaiters >= o.opts.MaxWaiters {
		waitersRefused.Add(1)
		opts.done(refuseBusy("too many requests wait for the log"))
		return
	}
	last := o.queue[len(o.queue)-1]
	q := &queuedEntries{ticket: last.ticket, urgent: !opts.batched, deadline: opts.deadline, done: opts.done}
	o.queue = append(o.queue, q)
	o.addToCounts(q, 1)
	o.tickBy(opts.deadline)
}

// tickBy schedules the next tick within busyTickPeriod, or at the deadline if that
// is earlier.
func (o *partitionOwner) tickBy(deadline time.Time) {
	o.nextTick = earlier(o.nextTick, earlier(deadline, time.Now().Add(busyTickPeriod)))
}

func (o *partitionOwner) addToCounts(q *queuedEntries, sign int) {
	o.queueSize += sign * q.size
	if q.urgent {
		o.urgentCount += sign
	}
	if q.done != nil {
		o.commitWaiters += sign
	}
}

// completeCommitted answers the requests whose entries were read back.
func (o *partitionOwner) completeCommitted(committed partition.Ticket) {
	n := 0
	// A barrier at the front of the queue is complete, even if the entry that it
	// waited for was withdrawn.
	for ; n < len(o.queue) && (o.queue[n].ticket <= committed || o.queue[n].size == 0); n++ {
		q := o.queue[n]
		o.addToCounts(q, -1)
		if q.done != nil {
			q.done(nil)
		}
		entriesCommitted.Add(1)
	}
	if n == 0 {
		return
	}
	clear(o.queue[:n])
	if o.queue = o.queue[n:]; len(o.queue) == 0 {
		o.queue = nil
	}
	o.appends.batchSince = time.Now()
	o.logAvailable()
}

// expireQueue answers requests whose deadline has passed and, with withdrawAll, all
// requests whose entry can be withdrawn. An entry that Writer.Withdraw removes was
// not recorded and never will be.
func (o *partitionOwner) expireQueue(now time.Time, withdrawAll bool) {
	var kept []*queuedEntries
	var answers []func()
	for _, q := range o.queue {
		expired := !q.deadline.IsZero() && !now.Before(q.deadline)
		switch {
		case q.done == nil && q.size == 0:
			// a barrier whose request was answered is dropped
		case q.done == nil || !expired && (!withdrawAll || q.rollback == nil):
			kept = append(kept, q)
		case q.rollback != nil && o.writer.Withdraw(q.ticket):
			o.addToCounts(q, -1)
			answers = append(answers, func() { q.rollback(); q.done(refuseLog()) })
		case expired:
			o.addToCounts(q, -1)
			done := q.done
			q.done, q.rollback, q.urgent = nil, nil, false
			o.addToCounts(q, 1)
			kept = append(kept, q)
			answers = append(answers, func() { done(refuseUnknown()) })
		default:
			kept = append(kept, q)
		}
	}
	o.queue = kept
	// Answering may queue further entries, so the queue is updated first.
	for _, answer := range answers {
		answer()
	}
}

// failAll answers all waiting requests after the ownership has ended. Entries that
// were not read back by then are not in force and never will be.
func (o *partitionOwner) failAll() {
	r := refuseOwner(o.ownerHint(), "the partition has moved; nothing was recorded")
	queue := o.queue
	o.queue, o.queueSize, o.urgentCount, o.commitWaiters, o.callWaiters = nil, 0, 0, 0, 0
	inDoubt := o.writer.Role() == partition.RoleOwner && o.writer.InDoubt()
	for _, q := range queue {
		if q.done == nil {
			continue
		}
		if inDoubt {
			// The owner was stopped without a successor's claim, so that the append
			// in flight may still take effect.
			q.done(refuseUnknown())
		} else {
			q.done(r)
		}
	}
	for ref, waiters := range o.callWaits {
		for _, w := range waiters {
			w.reply(nil, r)
		}
		delete(o.callWaits, ref)
	}
}

// appendDue reports whether a new batch is to be appended now, and otherwise when
// to check again.
func (o *partitionOwner) appendDue(now time.Time) (bool, time.Time) {
	a := &o.appends
	if o.writer.Role() == partition.RoleClaiming {
		return true, now
	}
	snapshot := o.maintenance.snapshotRequested || o.state.SnapshotOpen()
	if len(o.queue) == 0 && !snapshot && !o.releaseQueued {
		return false, now.Add(idleTickPeriod)
	}
	due := a.started.Add(max(a.interval, minAppendInterval))
	if o.urgentCount == 0 && !snapshot && !o.releaseQueued && o.queueSize < batchBytes {
		if batchEnd := a.batchSince.Add(batchDelay); batchEnd.After(due) {
			due = batchEnd
		}
	}
	return !now.Before(due), due
}

// appendNext appends the next batch, or repeats the batch in flight, when it is due.
func (o *partitionOwner) appendNext(now time.Time) {
	a := &o.appends
	if a.running || o.writer.Role() == partition.RoleIdle {
		return
	}
	if (o.writer.InFlight() || a.refused) && now.Before(a.retryAt) {
		return
	}
	if !o.writer.InFlight() {
		if ok, _ := o.appendDue(now); !ok {
			return
		}
	}
	payload, err := o.writer.Next(o.state, now.UnixMilli())
	if err != nil {
		klog.ErrorS(err, "encoding batch failed", "partition", o.number)
		o.stop("batch cannot be encoded")
		return
	}
	if payload == nil {
		a.started = now // check again after the interval
		return
	}
	a.running, a.started = true, now
	o.workers.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, appendTimeout)
		defer cancel()
		_, err := o.opts.Log.Append(ctx, o.stream, payload)
		_ = o.events.Put(o.ctx, func() { o.appendDone(payload, err) })
	})
}

// appendDone handles the result of an append and schedules the next attempt.
func (o *partitionOwner) appendDone(payload []byte, err error) {
	if o.stopped {
		return
	}
	a, now := &o.appends, time.Now()
	a.running, a.refused = false, errors.Is(err, port.ErrUnavailable)
	if err == nil {
		appendsOK.Add(1)
		appendBytes.Add(int64(len(payload)))
		a.interval = max(minAppendInterval, a.interval-a.interval/8)
		a.retryAt = now.Add(readBackTimeout + jitter(readBackTimeout/2))
		o.logAvailable()
		return
	}
	if a.refused {
		appendsFailed.Add(1)
		o.writer.NotAppended(payload)
	} else {
		appendsUnknown.Add(1)
	}
	if a.failures++; a.failures == 1 {
		a.failingSince = a.started
	}
	a.retryAt = now.Add(stream.Backoff(a.failures))
	if status := (*port.StatusError)(nil); errors.As(err, &status) && status.Status == http.StatusTooManyRequests {
		a.failures = 0
		a.interval = min(maxAppendInterval, 2*max(a.interval, minAppendInterval))
		a.retryAt = now.Add(max(min(status.RetryAfter, maxAppendInterval), minAppendInterval) + jitter(maxAppendInterval))
		return // a log at its rate limit is not down
	}
	if now.Sub(a.failingSince) >= outageThreshold {
		o.enterOutage(now)
	}
	if a.logDown && a.refused {
		// If the outage began while this append was unanswered, the requests of
		// its batch could not be withdrawn then. Now they can.
		o.expireQueue(now, true)
	}
}

// enterOutage marks the log as down and refuses the requests that must be recorded
// before they run.
func (o *partitionOwner) enterOutage(now time.Time) {
	a := &o.appends
	if a.logDown || o.writer.Role() != partition.RoleOwner {
		return
	}
	a.logDown = true
	outages.Add(1)
	partitionsDown.Add(1)
	klog.InfoS("log stopped accepting appends", "partition", o.number, "since", a.started, "pendingBytes", o.queueSize)
	o.audit(&recordpb.Audit{Kind: "log-outage-entered", After: o.stream})
	o.expireQueue(now, true)
}

func (o *partitionOwner) logAvailable() {
	o.appends.failures, o.appends.refused = 0, false
	o.leaveOutage()
}

func (o *partitionOwner) leaveOutage() {
	if a := &o.appends; a.logDown {
		a.logDown = false
		partitionsDown.Add(-1)
		klog.InfoS("log accepts appends again", "partition", o.number, "pendingBytes", o.queueSize)
		o.audit(&recordpb.Audit{Kind: "log-outage-left", After: o.stream})
	}
}

// wakeAt returns when the owner has to act next if no event arrives.
func (o *partitionOwner) wakeAt() time.Time {
	next := o.nextTick
	if o.appends.running || o.writer.Role() == partition.RoleIdle {
		return next
	}
	if o.writer.InFlight() {
		return earlier(next, o.appends.retryAt)
	}
	_, due := o.appendDue(time.Now())
	if o.appends.refused && due.Before(o.appends.retryAt) {
		due = o.appends.retryAt // the backoff also applies to a rebuilt batch
	}
	return earlier(next, due)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// jitter returns a random duration below limit.
func jitter(limit time.Duration) time.Duration { return time.Duration(rand.Int64N(int64(limit))) }
