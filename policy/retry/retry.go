// Package retry decides whether and when a failed request is sent again.
//
// Only the instance that the caller talks to retries, so that attempts do not
// multiply between layers. Nothing here does I/O or reads a clock.
package retry

import (
	"math/rand/v2"
	"time"
)

// Failure says how an attempt ended.
type Failure uint8

// The failures of an attempt.
const (
	// NotSent: no byte of the request was sent.
	NotSent Failure = iota
	// Rejected: the server answered that it did not take the request.
	Rejected
	// ServerError: the server answered with an error of its own.
	ServerError
	// ConnectionLost: the connection broke, or went silent, after the request was sent.
	ConnectionLost
	// Permanent: the server answered that the request can never succeed.
	Permanent
)

// Attempt is a failed attempt and what is known about its request.
type Attempt struct {
	// Number is 1 for the first attempt.
	Number  int
	Failure Failure
	// MayHaveReachedServer is set when any attempt, this one included, may have brought a
	// byte of the request to a server.
	MayHaveReachedServer bool
	Idempotent           bool
	// DeliveredTokens are the output tokens that the caller has received.
	DeliveredTokens int
	// Resumable is set for a stream that a server can continue from the last
	// token.
	Resumable bool
	// Deadline is the caller's; zero when there is none. It is carried on to
	// the next attempt unchanged.
	Deadline time.Time
	// ExpectedDuration is the expected run time of another attempt.
	ExpectedDuration time.Duration
	// RetryAfter is what the server asked for.
	RetryAfter time.Duration
}

// Action is what to do after a failed attempt.
type Action uint8

// The actions. Retry and Resume are to be done after Decision.After on another
// server. AwaitBudget asks for the decision again after Decision.After, because the
// budget is used up for now. Fail passes the failure on. OutcomeUnknown tells the
// caller that the request may have run.
const (
	Fail Action = iota
	OutcomeUnknown
	Retry
	Resume
	AwaitBudget
)

// Decision is the answer for a failed attempt.
type Decision struct {
	Action Action
	Delay  time.Duration
	// NotRun is set with Fail when no byte of the request can have reached a
	// server.
	NotRun bool
}

const (
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts = 4
	// The wait before attempt n+1 is uniform between zero and
	// backoffBase*2^(n-1), at most backoffMax.
	backoffBase = 50 * time.Millisecond
	backoffMax  = 2 * time.Second
	// holdTime is the mean wait until the budget is asked again.
	holdTime = 200 * time.Millisecond
)

// Decide decides about a failed attempt. It takes from the budget when the
// action is Retry or Resume.
func Decide(now time.Time, a Attempt, b *Budget, rng *rand.Rand) Decision {
	if !a.Idempotent {
		if a.MayHaveReachedServer && (a.Failure == ConnectionLost || a.Failure == NotSent) {
			return Decision{Action: OutcomeUnknown}
		}
		return Decision{Action: Fail, NotRun: !a.MayHaveReachedServer}
	}
	fail := Decision{Action: Fail, NotRun: !a.MayHaveReachedServer}
	if a.Failure == Permanent || a.Number >= MaxAttempts || a.DeliveredTokens > 0 && !a.Resumable {
		return fail
	}
	after := max(Backoff(a.Number, rng), a.RetryAfter)
	if !inTime(now, after, a) {
		return fail
	}
	if !b.Withdraw(now) {
		after = holdTime/2 + time.Duration(rng.Int64N(int64(holdTime)))
		if !inTime(now, after, a) {
			return fail
		}
		return Decision{Action: AwaitBudget, Delay: after}
	}
	if a.DeliveredTokens > 0 {
		return Decision{Action: Resume, Delay: after}
	}
	return Decision{Action: Retry, Delay: after}
}

func inTime(now time.Time, after time.Duration, a Attempt) bool {
	return a.Deadline.IsZero() || !now.Add(after+a.ExpectedDuration).After(a.Deadline)
}

// Backoff returns the wait after the given attempt with full jitter.
func Backoff(attempt int, rng *rand.Rand) time.Duration {
	limit := min(backoffBase<<min(max(attempt-1, 0), 10), backoffMax)
	return time.Duration(rng.Int64N(int64(limit) + 1))
}

const (
	// A first token that takes slowFactor times what is expected, and at least
	// slowMin, is slow: the server has more in its queue than was known.
	slowFactor = 3
	slowMin    = 150 * time.Millisecond
)

// HedgeDelay returns Pending.Slow for a request whose first token is expected
// after the given time.
func HedgeDelay(expected time.Duration) time.Duration { return max(slowFactor*expected, slowMin) }

// PendingRequest is a request that waits for its first token.
type PendingRequest struct {
	Elapsed time.Duration
	// HedgeDelay is the time to the first token that few requests of this size
	// exceed, for example the 95th percentile.
	HedgeDelay         time.Duration
	Idempotent         bool
	FirstTokenReceived bool
	Hedged             bool
	Deadline           time.Time
	ExpectedWait       time.Duration
}

// Hedge decides whether to send a second copy of a slow request to another
// server. It takes from the same budget as retries. Whichever answers first is
// used and the other is cancelled.
func Hedge(now time.Time, p PendingRequest, b *Budget) bool {
	if !p.Idempotent || p.FirstTokenReceived || p.Hedged || p.HedgeDelay <= 0 || p.Elapsed < p.HedgeDelay {
		return false
	}
	if !p.Deadline.IsZero() && now.Add(p.ExpectedWait).After(p.Deadline) {
		return false
	}
	return b.WithdrawEarned(now)
}
