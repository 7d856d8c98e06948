package queuedelay

import (
	"testing"
	"time"
)

// queue is a queue that serves perSecond requests. It refuses requests while it is standing.
type queue struct {
	Detector
	waiting float64
	now     time.Time
}

const (
	perSecond = 40.0
	target    = 150 * time.Millisecond
)

// run offers requests at a rate for a time. It returns how many were refused, and the longest delay.
func (q *queue) run(rate float64, d time.Duration) (refused float64, longest time.Duration) {
	const tick = 10 * time.Millisecond
	for end := q.now.Add(d); q.now.Before(end); q.now = q.now.Add(tick) {
		arrivals := rate * tick.Seconds()
		delay := time.Duration(q.waiting / perSecond * float64(time.Second))
		longest = max(longest, delay)
		if q.Observe(q.now, delay, target) {
			refused += arrivals
			arrivals = 0
		}
		q.waiting = max(0, q.waiting+arrivals-perSecond*tick.Seconds())
	}
	return refused, longest
}

// Guards against requests that are refused in a burst that is served within Interval, and against
// a queue that stays long, so that all requests are late, while there are more than can be served.
func TestBurstAndOverload(t *testing.T) {
	q := &queue{now: time.Unix(1e9, 0)}
	for range 20 {
		inBurst, _ := q.run(120, 150*time.Millisecond)
		if after, _ := q.run(10, 2*time.Second); inBurst+after > 0 {
			t.Fatalf("%.0f requests refused in a burst, %.0f after it", inBurst, after)
		}
	}
	refused, longest := q.run(60, time.Minute)
	if excess := 20 * time.Minute.Seconds(); refused < excess*0.9 || refused > excess*1.1 {
		t.Errorf("%.0f requests refused, %.0f are too many", refused, excess)
	}
	// The queue grows by half of what it serves within Interval, after it rose above the target.
	if limit := target + Interval/2 + 50*time.Millisecond; longest > limit {
		t.Errorf("a delay of %v in a lasting overload, want at most %v", longest, limit)
	}
	// The queue that is left is short after Interval at most.
	if refused, _ = q.run(30, 10*time.Second); refused > 30*Interval.Seconds() {
		t.Errorf("%.0f requests refused after the overload", refused)
	}
	q.now = q.now.Add(time.Hour)
	if q.Observe(q.now, 2*target, target) {
		t.Error("standing after an hour without requests")
	}
}
