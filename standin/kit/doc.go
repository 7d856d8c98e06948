// Package kit holds what the stand-ins have in common: a clock, durations for
// flags and JSON, a server whose connections can be cut or made silent, and the
// counters that decide which request a fault hits.
package kit

import (
	"sync"
	"time"
)

// Duration is a time.Duration that is written as text, such as "250ms", in
// JSON and in flags.
type Duration time.Duration

// Std returns the duration as the standard type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText writes the duration as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads what time.ParseDuration accepts.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// FaultApplies decides whether a fault applies to the current request: to the next
// requests while *next is positive, and to every request whose running number
// is a multiple of every when every is positive. It decrements *next.
func FaultApplies(next *int, every int, number uint64) bool {
	if *next > 0 {
		*next--
		return true
	}
	return every > 0 && number%uint64(every) == 0
}

// TokenBucket is a token bucket. It is safe for concurrent use.
type TokenBucket struct {
	mu     sync.Mutex
	tokens float64
	last   time.Time
}

// Take takes one token of a bucket that refills at rate tokens per second up
// to burst. Without a token it returns the time until there is one. A rate of
// zero means no limit.
func (b *TokenBucket) Take(now time.Time, rate, burst float64) (bool, time.Duration) {
	if rate <= 0 {
		return true, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+rate*now.Sub(b.last).Seconds())
	}
	b.last = now
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	return false, time.Duration((1 - b.tokens) / rate * float64(time.Second))
}
