// Package retry implements the retry policy: whether and when a failed request is retried,
// resumed or hedged, within a retry budget.
//
// Only the instance that the caller is connected to retries, so that attempts do not
// multiply across layers. The package does no I/O and reads no clock.
package retry

import (
	"math/rand/v2"
	"time"
)

// Failure classifies how an attempt failed.
type Failure uint8

// Failures of an attempt.
const (
	// NotSent: no byte of the request was sent.
	NotSent Failure = iota
	// Rejected: the server answered that it did not accept the request, for example with
	// status 429 or 503.
	Rejected
	// ServerError: the server answered with an error of its own, such as status 500.
	ServerError
	// ConnectionLost: the connection broke or timed out after the request was sent.
	ConnectionLost
	// Permanent: the server answered that the request can never succeed.
	Permanent
)

// Attempt describes a failed attempt and its request.
type Attempt struct {
	// Number counts the attempts of the request, from 1.
	Number  int
	Failure Failure
	// MayHaveReachedServer is set if a server may have received a byte of the request, in
	// this attempt or an earlier one.
	MayHaveReachedServer bool
	Idempotent           bool
	// DeliveredTokens is the number of output tokens that the caller has received.
	DeliveredTokens int
	// Resumable is set for a stream that another server can continue after the last
	// delivered token.
	Resumable bool
	// Deadline is the caller's deadline, which all attempts share. Zero means none.
	Deadline time.Time
	// ExpectedDuration is the expected duration of the next attempt. The request is not
	// retried if that would end after the deadline.
	ExpectedDuration time.Duration
	// RetryAfter is the delay that the server asked for, zero if none.
	RetryAfter time.Duration
}

// Action is what to do after a failed attempt.
type Action uint8

// Actions after a failed attempt.
const (
	// Fail returns the failure to the caller.
	Fail Action = iota
	// OutcomeUnknown tells the caller that the request may have run.
	OutcomeUnknown
	// Retry repeats the request on another server after Decision.Delay.
	Retry
	// Resume continues the stream on another server after Decision.Delay.
	Resume
	// AwaitBudget calls Decide again after Decision.Delay, because the budget is used up.
	AwaitBudget
)

// Decision is the result of Decide.
type Decision struct {
	Action Action
	Delay  time.Duration
	// NotRun is set with Fail if no server can have received a byte of the request.
	NotRun bool
}

const (
	// MaxAttempts is the maximum number of attempts for one request, including the first.
	MaxAttempts = 4
	// The delay after attempt n is uniform between zero and
	// min(backoffBase*2^(n-1), backoffMax).
	backoffBase = 50 * time.Millisecond
	backoffMax  = 2 * time.Second
	// budgetRetryDelay is the mean delay before a withdrawal from an empty budget is
	// tried again.
	budgetRetryDelay = 200 * time.Millisecond
)

// Decide returns what to do after a failed attempt. Retry and Resume withdraw one attempt
// from the budget.
func Decide(now time.Time, a Attempt, b *Budget, rng *rand.Rand) Decision {
	if !a.Idempotent {
		// With NotSent, an earlier attempt may have reached a server.
		if a.MayHaveReachedServer && (a.Failure == ConnectionLost || a.Failure == NotSent) {
			return Decision{Action: OutcomeUnknown}
		}
		return Decision{Action: Fail, NotRun: !a.MayHaveReachedServer}
	}
	fail := Decision{Action: Fail, NotRun: !a.MayHaveReachedServer}
	if a.Failure == Permanent || a.Number >= MaxAttempts || a.DeliveredTokens > 0 && !a.Resumable {
		return fail
	}
	delay := max(Backoff(a.Number, rng), a.RetryAfter)
	if !meetsDeadline(now, delay, a) {
		return fail
	}
	if !b.Withdraw(now) {
		delay = budgetRetryDelay/2 + time.Duration(rng.Int64N(int64(budgetRetryDelay)))
		if !meetsDeadline(now, delay, a) {
			return fail
		}
		return Decision{Action: AwaitBudget, Delay: delay}
	}
	if a.DeliveredTokens > 0 {
		return Decision{Action: Resume, Delay: delay}
	}
	return Decision{Action: Retry, Delay: delay}
}

// meetsDeadline reports whether another attempt after the delay is expected to end by the
// deadline.
func meetsDeadline(now time.Time, delay time.Duration, a Attempt) bool {
	return a.Deadline.IsZero() || !now.Add(delay+a.ExpectedDuration).After(a.Deadline)
}

// Backoff returns the delay after the given attempt: exponential, with full jitter.
func Backoff(attempt int, rng *rand.Rand) time.Duration {
	limit := min(backoffBase<<min(max(attempt-1, 0), 10), backoffMax)
	return time.Duration(rng.Int64N(int64(limit) + 1))
}

const (
	// A first token is late after hedgeDelayFactor times the expected time, and after
	// minHedgeDelay at the earliest: the server has a longer queue than was known.
	hedgeDelayFactor = 3
	minHedgeDelay    = 150 * time.Millisecond
)

// HedgeDelay returns the value of PendingRequest.HedgeDelay for the expected time to the
// first token.
func HedgeDelay(expected time.Duration) time.Duration {
	return max(hedgeDelayFactor*expected, minHedgeDelay)
}

// PendingRequest describes a request that has not failed and may be hedged.
type PendingRequest struct {
	// Elapsed is the time since the request was sent to the server.
	Elapsed time.Duration
	// HedgeDelay is the elapsed time without a first token after which a hedge is sent.
	// Few requests of this size should exceed it; for example, the 95th percentile of
	// the time to the first token. No hedge is sent if it is zero.
	HedgeDelay         time.Duration
	Idempotent         bool
	FirstTokenReceived bool
	// Hedged is set if a second copy has been sent already.
	Hedged   bool
	Deadline time.Time
	// ExpectedWait is the expected time to the first token of the second copy, which is not
	// sent if its first token would come after the deadline.
	ExpectedWait time.Duration
}

// Hedge reports whether to send a second copy of a slow request to another server, and
// withdraws it from the budget that retries use too. The copy that answers first is used
// and the other is cancelled.
func Hedge(now time.Time, p PendingRequest, b *Budget) bool {
	if !p.Idempotent || p.FirstTokenReceived || p.Hedged || p.HedgeDelay <= 0 || p.Elapsed < p.HedgeDelay {
		return false
	}
	if !p.Deadline.IsZero() && now.Add(p.ExpectedWait).After(p.Deadline) {
		return false
	}
	return b.WithdrawEarned(now)
}
