package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Verdict is what happens to an arriving request.
type Verdict uint8

// Verdicts on an arriving request.
const (
	// Run: the request starts now.
	Run Verdict = iota
	// Wait: the request is queued.
	Wait
	// Refuse: the request is refused and has not run.
	Refuse
)

// Reason is why a request was refused.
type Reason uint8

// Reasons for a refusal.
const (
	// NoReason: the request was not refused.
	NoReason Reason = iota
	// QueueFull: the queue has reached its maximum length.
	QueueFull
	// DeadlineTooShort: the request is not expected to be answered by its deadline.
	DeadlineTooShort
)

// Request is an arriving request.
type Request struct {
	ID        uint64
	Workspace string
	// Cost is the work of the request, for example its expected tokens; at least 1.
	// Workspaces get shares of the cost in proportion to their weights.
	Cost float64
	// Deadline is zero if there is none.
	Deadline time.Time
	// ExpectedDuration is the expected run time of the request after its start.
	ExpectedDuration time.Duration
}

// Decision is the result of Queue.Offer.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter is the delay after which a refused request may be retried. It is a whole
	// number of seconds, at least one.
	RetryAfter time.Duration
	// ExpectedWait is the expected time in the queue, zero if the request runs at once.
	ExpectedWait time.Duration
}

// DequeueResult describes a request that has left the queue: it starts, or it is refused
// without having run.
type DequeueResult struct {
	ID uint64
	// Started is set if the request starts, and not set if it is refused.
	Started bool
	// RetryAfter is set for a refused request, see Decision.RetryAfter.
	RetryAfter time.Duration
}

// Queue admits requests to one group of servers. It shares the capacity among workspaces
// with start-time fair queueing (SFQ).
type Queue struct {
	limit          int
	maxQueue       int
	running        int
	queued         int
	virtualTime    float64
	flows          map[string]*flow
	weights        map[string]float64
	meanRunSeconds float64
}

// flow holds the queued requests of one workspace.
type flow struct {
	weight    float64
	finishTag float64 // of the last request that arrived
	waiting   []queuedRequest
}

type queuedRequest struct {
	Request
	startTag float64
}

const (
	defaultWeight = 1
	// runTimeWeight is the weight of one request in the moving average of run times.
	runTimeWeight = 0.05
	// initialRunSeconds is the mean run time assumed before the first request finishes.
	initialRunSeconds = 1.0
	minRetryAfter     = time.Second
	maxRetryAfter     = 30 * time.Second
)

// NewQueue returns a queue in which at most limit requests run and maxQueue wait.
func NewQueue(limit, maxQueue int) *Queue {
	return &Queue{
		limit: limit, maxQueue: maxQueue, meanRunSeconds: initialRunSeconds,
		flows: map[string]*flow{}, weights: map[string]float64{},
	}
}

// SetWeight sets the weight of a workspace; the default is 1.
func (q *Queue) SetWeight(workspace string, weight float64) {
	q.weights[workspace] = weight
	if f, ok := q.flows[workspace]; ok {
		f.weight = weight
	}
}

// SetLimit sets the maximum number of running requests, usually the sum of the servers'
// limits. After an increase, Dequeue starts the requests that fit.
func (q *Queue) SetLimit(limit int) { q.limit = max(0, limit) }

// Running returns the number of running requests.
func (q *Queue) Running() int { return q.running }

// Queued returns the number of queued requests.
func (q *Queue) Queued() int { return q.queued }

// Offer starts, queues or refuses an arriving request. Call Finished when a request that
// was started ends.
func (q *Queue) Offer(now time.Time, r Request) Decision {
	if q.queued == 0 && q.running < q.limit {
		if missesDeadline(now, 0, r) {
			return Decision{Verdict: Refuse, Reason: DeadlineTooShort, RetryAfter: minRetryAfter}
		}
		q.assignTags(r)
		q.running++
		return Decision{Verdict: Run}
	}
	wait := q.expectedWait(r.Workspace)
	if missesDeadline(now, wait, r) {
		return Decision{Verdict: Refuse, Reason: DeadlineTooShort, RetryAfter: retryAfter(wait), ExpectedWait: wait}
	}
	if q.queued >= q.maxQueue {
		return Decision{Verdict: Refuse, Reason: QueueFull, RetryAfter: retryAfter(wait), ExpectedWait: wait}
	}
	start := q.assignTags(r)
	f := q.flows[r.Workspace]
	f.waiting = append(f.waiting, queuedRequest{r, start})
	q.queued++
	return Decision{Verdict: Wait, ExpectedWait: wait}
}

// Finished records the end of a started request and its run time.
func (q *Queue) Finished(ran time.Duration) {
	q.running = max(0, q.running-1)
	q.meanRunSeconds += runTimeWeight * (ran.Seconds() - q.meanRunSeconds)
}

// Dequeue removes the requests that start or are refused now and appends them to dst. Call
// it after Finished and SetLimit, and periodically, so that requests that can no longer
// meet their deadline are refused early.
func (q *Queue) Dequeue(now time.Time, dst []DequeueResult) []DequeueResult {
	firstNew := len(dst)
	for _, f := range q.flows {
		f.waiting = slices.DeleteFunc(f.waiting, func(w queuedRequest) bool {
			if !missesDeadline(now, 0, w.Request) {
				return false
			}
			q.queued--
			dst = append(dst, DequeueResult{ID: w.ID, RetryAfter: retryAfter(q.expectedWait(w.Workspace))})
			return true
		})
	}
	slices.SortFunc(dst[firstNew:], func(a, b DequeueResult) int { return cmp.Compare(a.ID, b.ID) })
	for q.running < q.limit && q.queued > 0 {
		f := q.nextFlow()
		w := f.waiting[0]
		f.waiting = slices.Delete(f.waiting, 0, 1)
		q.virtualTime = max(q.virtualTime, w.startTag)
		q.queued--
		q.running++
		dst = append(dst, DequeueResult{ID: w.ID, Started: true})
	}
	q.removeIdleFlows()
	return dst
}

// Cancel removes a queued request, for example because its caller has disconnected. It
// returns false if the request is not queued.
func (q *Queue) Cancel(id uint64) bool {
	for _, f := range q.flows {
		i := slices.IndexFunc(f.waiting, func(w queuedRequest) bool { return w.ID == id })
		if i >= 0 {
			f.waiting = slices.Delete(f.waiting, i, i+1)
			q.queued--
			return true
		}
	}
	return false
}

// assignTags computes the start and finish tags of a request, charges its cost to its
// workspace and returns the start tag.
func (q *Queue) assignTags(r Request) float64 {
	f := q.flows[r.Workspace]
	if f == nil {
		f = &flow{weight: q.weight(r.Workspace)}
		q.flows[r.Workspace] = f
	}
	start := max(q.virtualTime, f.finishTag)
	f.finishTag = start + max(1, r.Cost)/f.weight
	if q.queued == 0 {
		q.virtualTime = start
	}
	return start
}

func (q *Queue) weight(workspace string) float64 {
	if w, ok := q.weights[workspace]; ok && w > 0 {
		return w
	}
	return defaultWeight
}

// nextFlow returns the flow whose first request has the smallest start tag. Ties are
// resolved by the lower request id, so that the order does not depend on the map.
func (q *Queue) nextFlow() *flow {
	var best *flow
	for _, f := range q.flows {
		if len(f.waiting) == 0 {
			continue
		}
		if best == nil || startsBefore(f.waiting[0], best.waiting[0]) {
			best = f
		}
	}
	return best
}

func startsBefore(a, b queuedRequest) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.ID < b.ID
}

// removeIdleFlows removes the flows without queued requests whose finish tag is not ahead of
// the virtual time, so that removal does not reset what their workspaces were charged.
func (q *Queue) removeIdleFlows() {
	for name, f := range q.flows {
		if len(f.waiting) == 0 && f.finishTag <= q.virtualTime {
			delete(q.flows, name)
		}
	}
}

// expectedWait estimates the time until a new request of the workspace starts. The request
// waits for all queued requests or, if that takes less time, for those of its workspace at
// the workspace's share of the capacity.
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
	return time.Duration((ahead + 1) * q.meanRunSeconds / float64(q.limit) * float64(time.Second))
}

// missesDeadline reports whether the request, started after the wait, is expected to end
// after its deadline.
func missesDeadline(now time.Time, wait time.Duration, r Request) bool {
	return !r.Deadline.IsZero() && now.Add(wait+r.ExpectedDuration).After(r.Deadline)
}

// retryAfter returns the RetryAfter of a refusal for the expected wait.
func retryAfter(wait time.Duration) time.Duration {
	s := time.Duration(math.Ceil(wait.Seconds())) * time.Second
	return min(max(s, minRetryAfter), maxRetryAfter)
}
