// Package kit contains what the stand-ins share: a clock, durations for flags and JSON, a
// token bucket, a server whose connections can be reset or made silent, and the handlers
// and counters of injected faults.
package kit

import (
	"sync"
	"time"
)

// Duration is a time.Duration with a text form, such as "250ms", for JSON and flags.
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// FaultApplies reports whether a fault applies to the request with the given sequence
// number. It applies while *next, which FaultApplies then decrements, is positive, and
// to each request whose number is a multiple of every if that is positive.
func FaultApplies(next *int, every int, number uint64) bool {
	if *next > 0 {
		*next--
		return true
	}
	return every > 0 && number%uint64(every) == 0
}

// TokenBucket is a token bucket. It is safe for concurrent use.
type TokenBucket struct {
	mu       sync.Mutex
	tokens   float64
	refilled time.Time // zero before the first Take
}

// Take takes one token from the bucket, which is refilled with rate tokens per second up to
// burst. If there is no token, it returns false and the time until the next one. A rate of
// zero means no limit.
func (b *TokenBucket) Take(now time.Time, rate, burst float64) (bool, time.Duration) {
	if rate <= 0 {
		return true, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.refilled.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+rate*now.Sub(b.refilled).Seconds())
	}
	b.refilled = now
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	return false, time.Duration((1 - b.tokens) / rate * float64(time.Second))
}
