package admit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Verdict is what happens to an arriving request.
type Verdict uint8

// The verdicts. A refused request has not run.
const (
	Run Verdict = iota
	Wait
	Refuse
)

// Reason says why a request was refused.
type Reason uint8

// The reasons of a refusal.
const (
	NoReason Reason = iota
	// QueueFull: the queue holds as many requests as the instance may hold.
	QueueFull
	// DeadlineTooShort: the request would not be answered by its deadline.
	DeadlineTooShort
)

// Request is a request that asks to run.
type Request struct {
	ID        uint64
	Workspace string
	// Cost is the work of the request, for example its expected tokens; at
	// least 1. Workspaces share in proportion to weight in units of cost.
	Cost float64
	// Deadline is zero when there is none.
	Deadline time.Time
	// ExpectedDuration is the expected run time once it has started.
	ExpectedDuration time.Duration
}

// Decision is the answer to an arrival.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter is at least one second, in whole seconds, on a refusal.
	RetryAfter time.Duration
	// ExpectedWait is the expected time in the queue.
	ExpectedWait time.Duration
}

// DequeueResult is a change for a request that was waiting: it starts, or it is
// refused as not run.
type DequeueResult struct {
	ID         uint64
	Started    bool
	RetryAfter time.Duration
}

// Queue admits requests for one group of servers, fair between workspaces by
// start-time fair queueing.
type Queue struct {
	limit    int
	maxQueue int
	running  int
	queued   int
	virtual  float64
	flows    map[string]*flow
	weights  map[string]float64
	meanRun  float64 // seconds
}

type flow struct {
	weight  float64
	finish  float64
	waiting []waiting
}

type waiting struct {
	Request
	start float64
}

const (
	defaultWeight = 1
	runShare      = 0.05
	initialRun    = 1.0 // seconds, before anything is measured
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// NewQueue returns a queue that lets limit requests run and maxQueue wait.
func NewQueue(limit, maxQueue int) *Queue {
	return &Queue{
		limit: limit, maxQueue: maxQueue, meanRun: initialRun,
		flows: map[string]*flow{}, weights: map[string]float64{},
	}
}

// SetWeight sets a workspace's share; the default is 1.
func (q *Queue) SetWeight(workspace string, weight float64) {
	q.weights[workspace] = weight
	if f, ok := q.flows[workspace]; ok {
		f.weight = weight
	}
}

// SetLimit sets how many requests may run at once, usually the sum of the
// servers' limits. Next starts those that a higher limit lets in.
func (q *Queue) SetLimit(limit int) { q.limit = max(0, limit) }

// Running and Queued return the numbers of requests.
func (q *Queue) Running() int { return q.running }

// Queued returns the number of waiting requests.
func (q *Queue) Queued() int { return q.queued }

// Offer decides about an arriving request. A request that runs must be ended
// with Finished.
func (q *Queue) Offer(now time.Time, a Request) Decision {
	if q.queued == 0 && q.running < q.limit {
		if late(now, 0, a) {
			return Decision{Verdict: Refuse, Reason: DeadlineTooShort, RetryAfter: minRetryAfter}
		}
		q.charge(a)
		q.running++
		return Decision{Verdict: Run}
	}
	wait := q.expectedWait(a.Workspace)
	if late(now, wait, a) {
		return Decision{Verdict: Refuse, Reason: DeadlineTooShort, RetryAfter: retryAfter(wait), ExpectedWait: wait}
	}
	if q.queued >= q.maxQueue {
		return Decision{Verdict: Refuse, Reason: QueueFull, RetryAfter: retryAfter(wait), ExpectedWait: wait}
	}
	start := q.charge(a)
	f := q.flows[a.Workspace]
	f.waiting = append(f.waiting, waiting{a, start})
	q.queued++
	return Decision{Verdict: Wait, ExpectedWait: wait}
}

// Finished records the end of a request that ran for the given time.
func (q *Queue) Finished(ran time.Duration) {
	q.running = max(0, q.running-1)
	q.meanRun += runShare * (ran.Seconds() - q.meanRun)
}

// Dequeue appends to dst the waiting requests that start or are refused now. It
// is called after Finished and SetLimit, and at intervals so that a request
// whose deadline can no longer be met is refused early.
func (q *Queue) Dequeue(now time.Time, dst []DequeueResult) []DequeueResult {
	begin := len(dst)
	for _, f := range q.flows {
		f.waiting = slices.DeleteFunc(f.waiting, func(w waiting) bool {
			if !late(now, 0, w.Request) {
				return false
			}
			q.queued--
			dst = append(dst, DequeueResult{ID: w.ID, RetryAfter: retryAfter(q.expectedWait(w.Workspace))})
			return true
		})
	}
	slices.SortFunc(dst[begin:], func(a, b DequeueResult) int { return cmp.Compare(a.ID, b.ID) })
	for q.running < q.limit && q.queued > 0 {
		f := q.first()
		w := f.waiting[0]
		f.waiting = slices.Delete(f.waiting, 0, 1)
		q.virtual = max(q.virtual, w.start)
		q.queued--
		q.running++
		dst = append(dst, DequeueResult{ID: w.ID, Started: true})
	}
	q.forget()
	return dst
}

// Cancel removes a waiting request whose caller has gone. It returns false
// when the request does not wait.
func (q *Queue) Cancel(id uint64) bool {
	for _, f := range q.flows {
		i := slices.IndexFunc(f.waiting, func(w waiting) bool { return w.ID == id })
		if i >= 0 {
			f.waiting = slices.Delete(f.waiting, i, i+1)
			q.queued--
			return true
		}
	}
	return false
}

// charge adds the request's cost to its workspace and returns its start tag.
func (q *Queue) charge(a Request) float64 {
	f := q.flows[a.Workspace]
	if f == nil {
		f = &flow{weight: q.weight(a.Workspace)}
		q.flows[a.Workspace] = f
	}
	start := max(q.virtual, f.finish)
	f.finish = start + max(1, a.Cost)/f.weight
	if q.queued == 0 {
		q.virtual = start
	}
	return start
}

func (q *Queue) weight(workspace string) float64 {
	if w, ok := q.weights[workspace]; ok && w > 0 {
		return w
	}
	return defaultWeight
}

// first returns the flow whose head has the smallest start tag; ties go to the
// lower request number, so that the order does not depend on the map.
func (q *Queue) first() *flow {
	var best *flow
	for _, f := range q.flows {
		if len(f.waiting) == 0 {
			continue
		}
		if best == nil || before(f.waiting[0], best.waiting[0]) {
			best = f
		}
	}
	return best
}

func before(a, b waiting) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	return a.ID < b.ID
}

// forget drops workspaces that have nothing waiting and no debt.
func (q *Queue) forget() {
	for name, f := range q.flows {
		if len(f.waiting) == 0 && f.finish <= q.virtual {
			delete(q.flows, name)
		}
	}
}

// expectedWait estimates the time until a new request of the workspace starts.
// It waits for all that is queued, or for its own backlog at the workspace's
// share if that is less.
func (q *Queue) expectedWait(workspace string) time.Duration {
	if q.limit <= 0 {
		return maxRetryAfter
	}
	total, own := 0.0, 0
	weight := q.weight(workspace)
	for name, f := range q.flows {
		if name == workspace {
			own = len(f.waiting)
		} else if len(f.waiting) > 0 {
			total += f.weight
		}
	}
	ahead := min(float64(q.queued), float64(own)+(float64(own)+1)*total/weight)
	return time.Duration((ahead + 1) * q.meanRun / float64(q.limit) * float64(time.Second))
}

func late(now time.Time, wait time.Duration, a Request) bool {
	return !a.Deadline.IsZero() && now.Add(wait+a.ExpectedDuration).After(a.Deadline)
}

func retryAfter(wait time.Duration) time.Duration {
	s := time.Duration(math.Ceil(wait.Seconds())) * time.Second
	return min(max(s, minRetryAfter), maxRetryAfter)
}
