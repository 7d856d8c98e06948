package sim

import (
	"container/heap"
	"time"
)

// startTime is the wall-clock time at virtual time zero.
var startTime = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// event is a function that runs at a virtual time.
type event struct {
	at  time.Duration
	seq uint64
	fn  func()
}

// eventHeap is a heap.Interface with the earliest event first.
type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// clock is virtual time and the queue of future events. Events at the same time run in
// the order in which they were added.
type clock struct {
	now    time.Duration
	seq    uint64
	events eventHeap
}

// after runs do after the duration d.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{c.now + max(d, 0), c.seq, do})
}

// every runs do at each interval d, until the end of the replay.
func (c *clock) every(d time.Duration, do func()) {
	c.after(d, func() {
		do()
		c.every(d, do)
	})
}

// runUntil runs the events up to the end and sets the clock to it.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.fn()
	}
	c.now = end
}

func (c *clock) wallTime() time.Time { return startTime.Add(c.now) }
