package retry

import (
	"slices"
	"time"
)

const (
	// RetryRatio is the extra load that retries and hedges may add, as a share of
	// successes.
	RetryRatio = 0.1
	// window is the time over which successes count for the size of the
	// reserve. A short window keeps what is left over at the start of a total
	// outage small against the load offered during the outage.
	window = 2 * time.Second
	slots  = 8
	slot   = window / slots
	// While outageServers different servers have failed since the last answer,
	// nothing is spent: a retry would fail as well, and first attempts and
	// probes show when the outage ends.
	outageServers = 3
	// trialInterval is the time between first attempts during an outage.
	trialInterval = 10 * time.Second
	// minReserve lets an instance with little load save up for the few
	// requests that it has on one server when that server dies.
	minReserve = 3
	// initialReserve lets a fresh instance, which has no successes yet, repeat or
	// resume the few requests of one server that dies. It is there once and does
	// not refill, so that a total outage from the start adds no more than this.
	// Hedges do not use it: it would be gone before a server dies.
	initialReserve = minReserve
	// idleEarned attempts a second are earned up to minReserve while servers are known to
	// live, so that the requests of a server that died are repeated although no other
	// traffic earns attempts. aliveFor is the time for which a sign of life counts.
	idleEarned = 1.0
	aliveFor   = 2 * time.Second
	// rounding makes ten shares of a tenth one attempt.
	rounding = 1e-9
)

// Budget is what one instance may spend on retries and hedges. Each success
// earns Share of an attempt. The reserve is at most Share of the successes of
// the last two seconds or minReserve, so that nothing is earned and little is
// left in a total outage. The zero value has initialReserve and is ready to use.
type Budget struct {
	credit    float64
	initial   int // spent of initialReserve
	successes [slots]int
	pos       int
	start     time.Time
	failed    []string // servers that failed since the last answer
	trial     time.Time
	alive     time.Time // when a server gave a sign of life other than an answer
}

// RecordSuccess earns credit for an answered request.
func (b *Budget) RecordSuccess(now time.Time) {
	b.advance(now)
	b.failed = b.failed[:0]
	b.successes[b.pos]++
	b.credit = min(b.credit+RetryRatio, b.reserve())
	// Earned credit takes the place of the initial reserve, so that both together
	// are no more than the reserve of an instance with little load.
	b.initial = max(b.initial, min(initialReserve, int(b.credit+rounding)))
}

// RecordProbe records that a server answered a probe. It earns nothing, but shows
// that an outage is over.
func (b *Budget) RecordProbe() { b.failed = b.failed[:0] }

// RecordLiveness records that a server gave a sign of life other than the answer to a request or a
// probe, such as a report of its load.
func (b *Budget) RecordLiveness(now time.Time) {
	b.advance(now)
	b.alive = now
}

// RecordFailure records that a server failed, by an online request, batch work or a
// probe.
func (b *Budget) RecordFailure(now time.Time, server string) {
	if b.InOutage() || slices.Contains(b.failed, server) {
		return
	}
	b.failed = append(b.failed, server)
	if b.InOutage() {
		b.trial = now
	}
}

// InOutage reports whether so many servers have failed since the last answer that
// nothing is spent.
func (b *Budget) InOutage() bool { return len(b.failed) >= outageServers }

// DelayFirstAttempt reports whether a first attempt should wait, which costs it nothing
// while the deadline allows. During an outage one request in trialInterval is
// let through, since a fleet of which no server is ejected has no probes.
func (b *Budget) DelayFirstAttempt(now time.Time) bool {
	if !b.InOutage() {
		return false
	}
	if now.Sub(b.trial) >= trialInterval {
		b.trial = now
		return false
	}
	return true
}

// Withdraw spends one attempt for a retry, earned or of the initial reserve; false
// when there is neither, or during an outage.
func (b *Budget) Withdraw(now time.Time) bool {
	if b.WithdrawEarned(now) {
		return true
	}
	if b.InOutage() || b.initial == initialReserve {
		return false
	}
	b.initial++
	return true
}

// WithdrawEarned spends one earned attempt, for a hedge; false when there is not
// enough credit, or during an outage.
func (b *Budget) WithdrawEarned(now time.Time) bool {
	b.advance(now)
	if b.InOutage() {
		return false
	}
	if b.credit < 1-rounding {
		return false
	}
	b.credit = max(0, b.credit-1)
	return true
}

// Balance returns the attempts that can be made now.
func (b *Budget) Balance(now time.Time) float64 {
	b.advance(now)
	return b.credit + float64(initialReserve-b.initial)
}

func (b *Budget) reserve() float64 {
	n := 0
	for _, s := range b.successes {
		n += s
	}
	return max(minReserve, RetryRatio*float64(n))
}

func (b *Budget) advance(now time.Time) {
	if b.start.IsZero() {
		b.start = now
	}
	steps := int(now.Sub(b.start) / slot)
	if steps <= 0 {
		return
	}
	b.earnIdle(now, time.Duration(steps)*slot)
	for range min(steps, slots) {
		b.pos = (b.pos + 1) % slots
		b.successes[b.pos] = 0
	}
	b.start = b.start.Add(time.Duration(steps) * slot)
	b.credit = min(b.credit, b.reserve())
}

// earnIdle earns attempts for the time since the last call, if a server was known to live
// in it and there is no outage.
func (b *Budget) earnIdle(now time.Time, passed time.Duration) {
	if b.alive.IsZero() || now.Sub(b.alive) >= aliveFor || b.InOutage() {
		return
	}
	room := minReserve - float64(initialReserve-b.initial) - b.credit
	b.credit += max(0, min(room, idleEarned*passed.Seconds()))
}
