package entry

import (
	"context"
	"expvar"
	"math/rand/v2"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/ring"
)

const (
	// recordBackoffMin and recordBackoffMax bound the exponential backoff with
	// full jitter, which keeps the instances from retrying at the same time when
	// the log returns.
	recordBackoffMin     = 100 * time.Millisecond
	recordBackoffMax     = 10 * time.Second
	recordAttemptTimeout = 10 * time.Second
)

var (
	callsUnrecorded = expvar.NewInt("edge_calls_begun_without_owner")
	callsReplayed   = expvar.NewInt("edge_calls_replayed")
	answersTooLong  = expvar.NewInt("edge_answers_too_long_to_keep")
	recordsDropped  = expvar.NewInt("edge_records_dropped")
	recordsLate     = expvar.NewInt("edge_records_late")
	recordsRefused  = expvar.NewInt("edge_records_refused")
)

// recorder records, in the background, answers that were sent to the caller
// before they could be recorded.
type recorder struct {
	calls api.Calls
	queue *ring.Ring[api.FinishRequest]
	// jitter returns a number from 0 to 1.
	jitter func() float64
}

func newRecorder(calls api.Calls, capacity int) *recorder {
	return &recorder{calls: calls, queue: ring.New[api.FinishRequest](capacity, recordsDropped), jitter: rand.Float64}
}

// enqueue adds a record to the queue. If the queue is full, the record is dropped and
// counted: the caller has been told that the answer is not recorded.
func (r *recorder) enqueue(req api.FinishRequest) { _ = r.queue.Offer(req) }

// run records until the queue is closed and empty or ctx ends. The records in
// the queue belong to many owners. A failed record goes to the end of the queue,
// so that an unavailable owner does not block the records of the others.
func (r *recorder) run(ctx context.Context) {
	backoff := recordBackoffMin
	for {
		req, err := r.queue.Get(ctx)
		if err != nil {
			return
		}
		if r.tryRecord(ctx, req) {
			backoff = recordBackoffMin
			continue
		}
		if r.queue.TryPut(req) != nil {
			if !r.recordWithRetry(ctx, req) {
				return
			}
			continue
		}
		if !sleep(ctx, time.Duration(r.jitter()*float64(backoff))) {
			return
		}
		backoff = min(2*backoff, recordBackoffMax)
	}
}

// tryRecord makes one attempt and reports whether the record is done: it was
// stored or failed permanently.
func (r *recorder) tryRecord(ctx context.Context, req api.FinishRequest) bool {
	attemptCtx, cancel := context.WithTimeout(ctx, recordAttemptTimeout)
	defer cancel()
	_, err := r.calls.Finish(attemptCtx, req)
	if err == nil {
		recordsLate.Add(1)
		return true
	}
	switch api.AsRefusal(err).Code {
	case api.CodeKeyConflict, api.CodeNotFound, api.CodeInvalidRequest, api.CodeTooLarge:
		// Permanent errors: a retry would fail again.
		recordsRefused.Add(1)
		return true
	}
	return false
}

// recordWithRetry retries one record that cannot return to the queue, because
// the queue is full or closed for a drain. It returns false when ctx ends first.
func (r *recorder) recordWithRetry(ctx context.Context, req api.FinishRequest) bool {
	for backoff := recordBackoffMin; ; backoff = min(2*backoff, recordBackoffMax) {
		if !sleep(ctx, time.Duration(r.jitter()*float64(backoff))) {
			return false
		}
		if r.tryRecord(ctx, req) {
			return true
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
