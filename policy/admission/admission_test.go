package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// Guards against a limit that keeps rising on a saturated server, or stays low on a server
// with free capacity. The server runs 20 requests at once and queues any others.
func TestLimiterFindsCapacity(t *testing.T) {
	l := NewLimiter(LimiterOptions{Initial: 4})
	for range 2000 {
		n := l.Limit()
		latency := 100 * time.Millisecond
		if n > 20 {
			latency = latency * time.Duration(n) / 20
		}
		l.Observe(Sample{Latency: latency, InFlight: n})
	}
	if n := l.Limit(); n < 18 || n > 60 {
		t.Fatalf("limit %d for a server that runs 20 requests at once", n)
	}
	for range 50 {
		l.Observe(Sample{Failed: true})
	}
	if n := l.Limit(); n != 1 {
		t.Fatalf("limit %d after failures, want the minimum", n)
	}
}

// Guards against requests that get no decision or two, and against more running or queued
// requests than allowed.
func TestQueueAnswersOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, maxQueue := rapid.IntRange(0, 5).Draw(t, "limit"), rapid.IntRange(0, 10).Draw(t, "queue")
		q := NewQueue(limit, maxQueue)
		now, id := epoch, uint64(0)
		queued := map[uint64]bool{}
		running := 0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				id++
				r := Request{ID: id, Workspace: fmt.Sprint(id % 3), Cost: float64(id % 7), ExpectedDuration: time.Second}
				if id%2 == 0 {
					r.Deadline = now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "deadline")) * time.Second)
				}
				d := q.Offer(now, r)
				switch d.Verdict {
				case Run:
					running++
				case Wait:
					queued[id] = true
				case Refuse:
					if d.RetryAfter < time.Second || d.Reason == NoReason {
						t.Fatalf("refusal %+v", d)
					}
				}
			case 2:
				if running > 0 {
					running--
					q.Finished(time.Second)
				}
			case 3:
				if q.Cancel(id) != queued[id] {
					t.Fatalf("cancel of %d", id)
				}
				delete(queued, id)
			}
			for _, r := range q.Dequeue(now, nil) {
				if !queued[r.ID] {
					t.Fatalf("dequeued %d, which is not queued", r.ID)
				}
				delete(queued, r.ID)
				if r.Started {
					running++
				}
			}
			if q.Running() != running || q.Queued() != len(queued) || running > limit || len(queued) > maxQueue {
				t.Fatalf("running %d/%d queued %d/%d", q.Running(), running, q.Queued(), len(queued))
			}
		}
	})
}

// Guards against a workspace that gets more than its share: while two workspaces have a
// backlog, requests start in proportion to the weights.
func TestQueueIsFair(t *testing.T) {
	q := NewQueue(1, 1000)
	q.SetWeight("b", 3)
	workspace := map[uint64]string{}
	q.Offer(epoch, Request{ID: 9999, Workspace: "x"})
	for i := range uint64(400) {
		w := "a"
		if i >= 200 {
			w = "b"
		}
		workspace[i] = w
		q.Offer(epoch, Request{ID: i, Workspace: w, Cost: 100})
	}
	starts := map[string]int{}
	for range 100 {
		q.Finished(time.Second)
		for _, r := range q.Dequeue(epoch, nil) {
			starts[workspace[r.ID]]++
		}
	}
	if starts["a"] < 23 || starts["a"] > 27 {
		t.Fatalf("starts %v, want 25 and 75", starts)
	}
}

// Guards against a request that is queued although it cannot meet its deadline.
func TestQueueRefusesAtOnce(t *testing.T) {
	q := NewQueue(1, 100)
	q.Offer(epoch, Request{ID: 1})
	for i := range uint64(20) {
		q.Offer(epoch, Request{ID: 2 + i, Workspace: "a"})
	}
	d := q.Offer(epoch, Request{ID: 50, Workspace: "a", Deadline: epoch.Add(5 * time.Second), ExpectedDuration: time.Second})
	if d.Verdict != Refuse || d.Reason != DeadlineTooShort || d.RetryAfter < 10*time.Second {
		t.Fatalf("decision %+v", d)
	}
}

// Guards against limits that do not depend on the cores and memory of the instance.
func TestInstanceLimitsScale(t *testing.T) {
	small, large := InstanceLimits(0.5, 256<<20), InstanceLimits(4, 4<<30)
	if small.InFlight >= large.InFlight || small.Queued >= large.Queued || small.BodyBytes > 64<<20 {
		t.Fatalf("small %+v large %+v", small, large)
	}
}
