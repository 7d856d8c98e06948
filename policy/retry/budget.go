package retry

import (
	"slices"
	"time"
)

const (
	// RetryRatio is the number of retries and hedges allowed per successful request.
	RetryRatio = 0.1
	// successWindow is the sliding window of successes that sets the capacity of the
	// budget. A short window limits the balance that is left when a total outage
	// starts, relative to the load offered during the outage.
	successWindow  = 2 * time.Second
	windowBuckets  = 8
	bucketDuration = successWindow / windowBuckets
	// outageThreshold is the number of different servers that have to fail, with no
	// answer in between, for an outage. No retries are allowed during an outage: they
	// would fail too, and first attempts and probes detect its end.
	outageThreshold = 3
	// outageTrialInterval is the time between first attempts that are let through
	// during an outage.
	outageTrialInterval = 10 * time.Second
	// minCapacity is the capacity in attempts at low load. It covers the few requests
	// that an instance with little load has on one server when that server dies.
	minCapacity = 3
	// initialCredit is the number of attempts that a new instance can spend before its
	// first successes, to retry or resume the few requests on a server that dies. It
	// does not refill, which bounds the extra load of a total outage from the start.
	// Hedges cannot spend it, because they would use it up before a server dies.
	initialCredit = minCapacity
	// idleAttemptsPerSecond is earned, up to minCapacity, while a server is known to be
	// alive. Without it the requests of a server that died could not be retried when
	// no other traffic earns attempts.
	idleAttemptsPerSecond = 1.0
	// livenessTimeout is how long a server counts as alive after RecordLiveness.
	livenessTimeout = 2 * time.Second
	// roundingError is the tolerance with which ten additions of 0.1 count as one attempt.
	roundingError = 1e-9
)

// Budget limits the retries and hedges of one instance. Each success earns RetryRatio
// of an attempt. The balance is capped at RetryRatio times the successes within
// successWindow, or at minCapacity if that is more, so that in a total outage nothing is
// earned and little is left. The zero value is ready to use and holds initialCredit.
type Budget struct {
	earned        float64
	initialSpent  int // part of initialCredit that is no longer available
	successes     [windowBuckets]int
	bucket        int
	bucketStart   time.Time
	failedServers []string // different servers that failed since the last answer
	lastTrial     time.Time
	lastAlive     time.Time // the last RecordLiveness
}

// RecordSuccess records an answered request, which earns RetryRatio of an attempt and ends
// an outage.
func (b *Budget) RecordSuccess(now time.Time) {
	b.advanceWindow(now)
	b.failedServers = b.failedServers[:0]
	b.successes[b.bucket]++
	b.earned = min(b.earned+RetryRatio, b.capacity())
	// Earned attempts replace the initial credit, so that both together do not exceed
	// minCapacity at low load.
	b.initialSpent = max(b.initialSpent, min(initialCredit, int(b.earned+roundingError)))
}

// RecordProbe records that a server answered a probe. It earns nothing, but ends an
// outage.
func (b *Budget) RecordProbe() { b.failedServers = b.failedServers[:0] }

// RecordLiveness records evidence that a server is alive, other than an answer to a request
// or a probe: for example, a load report.
func (b *Budget) RecordLiveness(now time.Time) {
	b.advanceWindow(now)
	b.lastAlive = now
}

// RecordFailure records that an online request, batch work or a probe failed on a server.
func (b *Budget) RecordFailure(now time.Time, server string) {
	if b.InOutage() || slices.Contains(b.failedServers, server) {
		return
	}
	b.failedServers = append(b.failedServers, server)
	if b.InOutage() {
		b.lastTrial = now
	}
}

// InOutage reports whether at least outageThreshold servers have failed since the last
// answer.
func (b *Budget) InOutage() bool { return len(b.failedServers) >= outageThreshold }

// DelayFirstAttempt reports whether a first attempt should wait because of an outage. The
// delay does no harm as long as the deadline allows it. One request is let through every
// outageTrialInterval, because probes are sent only to ejected servers and there may be
// none.
func (b *Budget) DelayFirstAttempt(now time.Time) bool {
	if !b.InOutage() {
		return false
	}
	if now.Sub(b.lastTrial) >= outageTrialInterval {
		b.lastTrial = now
		return false
	}
	return true
}

// Withdraw spends one attempt on a retry, from the earned attempts or else from the initial
// credit. It returns false if both are used up, and during an outage.
func (b *Budget) Withdraw(now time.Time) bool {
	if b.WithdrawEarned(now) {
		return true
	}
	if b.InOutage() || b.initialSpent == initialCredit {
		return false
	}
	b.initialSpent++
	return true
}

// WithdrawEarned spends one earned attempt on a hedge. It returns false if there is none,
// and during an outage.
func (b *Budget) WithdrawEarned(now time.Time) bool {
	b.advanceWindow(now)
	if b.InOutage() {
		return false
	}
	if b.earned < 1-roundingError {
		return false
	}
	b.earned = max(0, b.earned-1)
	return true
}

// Balance returns the number of attempts available, earned and initial, regardless of an
// outage.
func (b *Budget) Balance(now time.Time) float64 {
	b.advanceWindow(now)
	return b.earned + float64(initialCredit-b.initialSpent)
}

// capacity returns the most attempts that the balance may hold.
func (b *Budget) capacity() float64 {
	n := 0
	for _, s := range b.successes {
		n += s
	}
	return max(minCapacity, RetryRatio*float64(n))
}

// advanceWindow moves the window of successes to now and applies the new capacity.
func (b *Budget) advanceWindow(now time.Time) {
	if b.bucketStart.IsZero() {
		b.bucketStart = now
	}
	steps := int(now.Sub(b.bucketStart) / bucketDuration)
	if steps <= 0 {
		return
	}
	b.earnWhileIdle(now, time.Duration(steps)*bucketDuration)
	for range min(steps, windowBuckets) {
		b.bucket = (b.bucket + 1) % windowBuckets
		b.successes[b.bucket] = 0
	}
	b.bucketStart = b.bucketStart.Add(time.Duration(steps) * bucketDuration)
	b.earned = min(b.earned, b.capacity())
}

// earnWhileIdle earns idleAttemptsPerSecond for the elapsed time if a server is known to be
// alive and there is no outage.
func (b *Budget) earnWhileIdle(now time.Time, elapsed time.Duration) {
	if b.lastAlive.IsZero() || now.Sub(b.lastAlive) >= livenessTimeout || b.InOutage() {
		return
	}
	room := minCapacity - float64(initialCredit-b.initialSpent) - b.earned
	b.earned += max(0, min(room, idleAttemptsPerSecond*elapsed.Seconds()))
}
