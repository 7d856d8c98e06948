// Package quota decides whether a batch job fits under the limit on the tokens that may
// wait on a route, over all instances.
//
// The order of the job records in the store is the only arbiter. An instance knows the sum
// of the waiting tokens as of its last read of the records, which is up to a second old.
// Far below the limit each instance may accept jobs on that knowledge, within its share of
// the distance to a soft limit, so that all instances together stay below it. Above the soft
// limit a job's record is appended on the condition that no other record came in between,
// so that the sum is exact. For a while after the sum was below the soft limit, other
// instances may still use shares that they took then; conditional acceptances leave room
// for them. The sum therefore never exceeds the limit, provided that unconditional appends
// take effect within MaxAppendDelay.
//
// The package does no I/O and reads no clock. A Table is not safe for concurrent use.
package quota

import "time"

const (
	// softShare is the share of the limit up to which jobs are accepted without a condition.
	softShare = 0.3
	// MaxAge is the age up to which the known sum counts for such an acceptance.
	MaxAge = 900 * time.Millisecond
	// MaxAppendDelay is the time within which its record is appended.
	MaxAppendDelay = 2500 * time.Millisecond
	// settleTime is the time after which no instance uses a share any more that it took
	// before. It exceeds the sum of the two by the time that a read may take.
	settleTime = MaxAge + MaxAppendDelay + 600*time.Millisecond
	// minRetryAfter and maxRetryAfter bound the delay after which a refused job may return.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// finishRateWeight is the weight of a measurement in the mean rate at which tokens are
	// finished.
	finishRateWeight = 0.2
)

// Key identifies what a limit applies to. Workspace is empty in a fleet without workspaces.
type Key struct{ Route, Workspace string }

// Sum is the sum of the tokens of items that wait, as derived from the job records.
type Sum struct {
	// Waiting is the sum at the end of the records, and Lowest the lowest one since the
	// last observation.
	Waiting, Lowest int64
	// Finished is the sum of the tokens of all items that waited and do not any more.
	Finished int64
}

// Decision is what an instance does with a job.
type Decision uint8

// The decisions.
const (
	// Accept appends the job's record.
	Accept Decision = iota
	// AcceptAt appends the record on the condition that none follows those that the sum was
	// derived from.
	AcceptAt
	// Refuse refuses the job, which does not fit.
	Refuse
	// Postpone refuses the job for a moment: it fits, unless other instances use their
	// shares.
	Postpone
)

// String returns the name of the decision in logs.
func (d Decision) String() string {
	return [...]string{"accept", "accept at position", "refuse", "postpone"}[d]
}

// Verdict is a decision on a job.
type Verdict struct {
	Decision
	// RetryAfter is the delay after which a job that is not accepted is likely to fit.
	RetryAfter time.Duration
	// Waiting is the known sum with this instance's pending jobs, ReadAt when it was read.
	Waiting int64
	ReadAt  time.Time
}

// Table is what one instance knows about the sums.
type Table struct{ states map[Key]*state }

// state is the state of one key.
type state struct {
	sum    Sum
	readAt time.Time
	// low holds the observations below the soft limit of the last settleTime.
	low []observation
	// pending holds the jobs that this instance accepts and whose records it has not read
	// yet.
	pending map[string]pendingJob
	// finishRate is the mean rate at which tokens are finished, per second.
	finishRate float64
}

type observation struct {
	at     time.Time
	lowest int64
}

type pendingJob struct {
	tokens int64
	since  time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{states: map[Key]*state{}} }

func (t *Table) state(key Key) *state {
	s := t.states[key]
	if s == nil {
		s = &state{pending: map[string]pendingJob{}}
		t.states[key] = s
	}
	return s
}

// Observe records a sum that a read up to the end of the records yields; now is when the
// read was answered. The function isKnown reports whether a job's record was read.
func (t *Table) Observe(now time.Time, key Key, sum Sum, isKnown func(job string) bool) {
	s := t.state(key)
	if elapsed := now.Sub(s.readAt).Seconds(); !s.readAt.IsZero() && elapsed > 0 {
		rate := float64(sum.Finished-s.sum.Finished) / elapsed
		s.finishRate += min(1, finishRateWeight*elapsed) * (rate - s.finishRate)
	}
	s.sum, s.readAt = sum, now
	s.low = append(s.low, observation{now, min(sum.Lowest, sum.Waiting)})
	for len(s.low) > 0 && now.Sub(s.low[0].at) > settleTime {
		s.low = s.low[1:]
	}
	for job, p := range s.pending {
		if isKnown(job) || now.Sub(p.since) > 2*settleTime {
			delete(s.pending, job)
		}
	}
}

// Decide decides on a job of the given size under a limit, which is above zero, in a fleet of
// the given number of instances.
func (t *Table) Decide(now time.Time, key Key, limit, tokens int64, instances int) Verdict {
	s := t.state(key)
	own := int64(0)
	for _, p := range s.pending {
		own += p.tokens
	}
	total := s.sum.Waiting + own + tokens
	verdict := Verdict{Waiting: s.sum.Waiting + own, ReadAt: s.readAt}
	if total > limit {
		verdict.Decision, verdict.RetryAfter = Refuse, s.retryAfter(total-limit)
		return verdict
	}
	soft := int64(softShare * float64(limit))
	share := (soft - s.sum.Waiting) / int64(max(1, instances))
	if !s.readAt.IsZero() && now.Sub(s.readAt) <= MaxAge && own+tokens <= share {
		return verdict
	}
	if total > limit-s.sharesOfOthers(now, soft) {
		verdict.Decision, verdict.RetryAfter = Postpone, minRetryAfter
		return verdict
	}
	verdict.Decision = AcceptAt
	return verdict
}

// sharesOfOthers returns the largest sum that the others may still accept on shares that
// they took within settleTime.
func (s *state) sharesOfOthers(now time.Time, soft int64) int64 {
	shares := int64(0)
	for _, o := range s.low {
		if now.Sub(o.at) <= settleTime {
			shares = max(shares, soft-o.lowest)
		}
	}
	return shares
}

// retryAfter returns the time in which the excess is likely to be finished.
func (s *state) retryAfter(excess int64) time.Duration {
	if s.finishRate <= 0 {
		return maxRetryAfter
	}
	seconds := min(maxRetryAfter.Seconds(), float64(excess)/s.finishRate)
	return max(minRetryAfter, time.Duration(seconds*float64(time.Second)))
}

// Begin records that this instance appends the record of a job.
func (t *Table) Begin(now time.Time, key Key, job string, tokens int64) {
	t.state(key).pending[job] = pendingJob{tokens, now}
}

// Cancel records that the record of a job was not appended and never will be.
func (t *Table) Cancel(key Key, job string) { delete(t.state(key).pending, job) }
