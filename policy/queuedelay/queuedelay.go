// Package queuedelay tells a burst of requests, which a queue absorbs, from an overload, under
// which a queue stays and makes all requests late. Like the algorithm CoDel it looks at the least
// delay within an interval. It performs no I/O and never reads the clock.
package queuedelay

import "time"

// Interval is the time for which the delay must have been above its target without a break
// until the queue counts as standing.
const Interval = 500 * time.Millisecond

// Detector follows the delay of one queue. The zero value is ready to use. A Detector is not
// safe for concurrent use.
type Detector struct {
	// aboveSince is when the delay rose above its target, zero while it is not above it.
	aboveSince time.Time
	observedAt time.Time
}

// Observe records the delay that a request finds. It reports whether the queue is standing.
func (d *Detector) Observe(now time.Time, delay, target time.Duration) bool {
	unobserved := now.Sub(d.observedAt)
	d.observedAt = now
	switch {
	case delay <= target:
		d.aboveSince = time.Time{}
		return false
	case d.aboveSince.IsZero() || unobserved > Interval:
		d.aboveSince = now
	}
	return now.Sub(d.aboveSince) >= Interval
}
