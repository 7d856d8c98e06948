// Package ratelimit keeps what all instances together send to a server below the rate limit
// that the server states.
//
// A hub that grants the slots takes a token of a bucket for each request, and for each that
// others report to have sent without its grant. Instances that no hub answers send at random,
// so that all of them together use fallbackShare of the rate: permissions that they do not
// use are not kept, as those of many instances would add up to a burst.
//
// The package does no I/O and reads no clock. A Bucket is not safe for concurrent use.
package ratelimit

import "time"

const (
	// fallbackShare is the share of the rate that all instances together may use without a
	// grant of a hub. With the hub's grants it stays below the 1.5 times the limit that the
	// requirements allow.
	fallbackShare = 0.4
	// permissionTTL is how long a permission without a grant is kept.
	permissionTTL = 250 * time.Millisecond
	// burst is the time whose requests may be sent at once, beside one more.
	burst = 1500 * time.Millisecond
	// A bucket that was not used for maxGap has the tokens of maxGap at most, and no burst: an
	// instance that becomes a hub does not know what others have sent.
	maxGap = 250 * time.Millisecond
	// maxDebt limits how far requests without a grant delay later ones, in terms of the
	// largest number of tokens.
	maxDebt = 2
)

// Statement is what a server stated of its limit, and when.
type Statement struct {
	// Limit is in requests a second over all instances; zero means none.
	Limit float64
	At    time.Time
}

// Bucket is a token bucket for the requests to one server. The zero value has no limit.
type Bucket struct {
	statement Statement
	tokens    float64
	updatedAt time.Time
	// askedAt is the time of the last call of AllowsAlone.
	askedAt time.Time
}

// Record records a statement. The latest one counts. Record reports whether the limit has
// changed.
func (b *Bucket) Record(now time.Time, s Statement) bool {
	if !s.At.After(b.statement.At) {
		return false
	}
	changed := s.Limit != b.statement.Limit
	if b.statement.Limit <= 0 {
		b.tokens, b.updatedAt = 0, now
	}
	b.statement = s
	b.tokens = min(b.tokens, b.capacity())
	return changed
}

// Statement returns the latest statement.
func (b *Bucket) Statement() Statement { return b.statement }

// Limited reports whether the server states a limit.
func (b *Bucket) Limited() bool { return b.statement.Limit > 0 }

// capacity returns the largest number of tokens.
func (b *Bucket) capacity() float64 { return 1 + b.statement.Limit*burst.Seconds() }

// advance adds the tokens since the last call.
func (b *Bucket) advance(now time.Time) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		most := b.capacity()
		if elapsed > maxGap {
			most = max(1, b.statement.Limit*maxGap.Seconds())
		}
		b.tokens = min(most, b.tokens+b.statement.Limit*elapsed.Seconds())
		b.updatedAt = now
	}
}

// Allows reports whether a hub may grant a request. A request that can wait leaves the tokens
// to others while these use them.
func (b *Bucket) Allows(now time.Time, canWait bool) bool {
	if !b.Limited() {
		return true
	}
	b.advance(now)
	if canWait {
		return b.tokens >= b.capacity()
	}
	return b.tokens >= 1
}

// AllowsAlone reports whether one of so many instances may send a request that no hub granted;
// random is uniform in [0, 1).
func (b *Bucket) AllowsAlone(now time.Time, instances int, random float64) bool {
	if !b.Limited() {
		return true
	}
	elapsed := min(permissionTTL, now.Sub(b.askedAt))
	b.askedAt = now
	return random*float64(max(1, instances)) < fallbackShare*b.statement.Limit*elapsed.Seconds()
}

// Adjust adds tokens for grants that were not used, or removes those of requests that were
// granted or sent without a grant.
func (b *Bucket) Adjust(now time.Time, n float64) {
	if b.Limited() {
		b.advance(now)
		b.tokens = max(-maxDebt*b.capacity(), min(b.capacity(), b.tokens+n))
	}
}
