package fill

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// Guards against batch work in the room kept for online requests.
func TestTargetLeavesHeadroom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Server{
			Slots: rapid.IntRange(1, 64).Draw(t, "slots"), Online: rapid.IntRange(0, 70).Draw(t, "online"),
			Batch: rapid.IntRange(0, 64).Draw(t, "batch"), Waiting: rapid.IntRange(0, 2).Draw(t, "waiting"),
			Headroom: rapid.IntRange(0, 20).Draw(t, "headroom"), MaxStreams: rapid.IntRange(0, 64).Draw(t, "max"),
			KVFree: rapid.Float64Range(0, 1).Draw(t, "kv"), KVPerStream: 0.02,
		}
		n := MaxBatchStreams(s)
		if n < 0 || n > 0 && n+s.Online+s.Headroom > s.Slots {
			t.Fatalf("target %d for %+v", n, s)
		}
		if start := StreamsToStart(epoch, s); start > 0 && (s.Waiting > 0 || s.Batch+start > n) {
			t.Fatalf("start %d at target %d for %+v", start, n, s)
		}
	})
}

// Guards against headroom that forgets bursts of the last minute or keeps old
// ones for ever.
func TestHeadroomFollowsBursts(t *testing.T) {
	var b BurstEstimator
	now := epoch
	at := func(n int, d time.Duration) { b.Observe(now, n); now = now.Add(d) }
	for range 30 {
		at(2, time.Second)
		at(8, time.Second)
	}
	if h := b.Headroom(now); h < 5 || h > 7 {
		t.Fatalf("headroom %d for rises of 6", h)
	}
	at(2, 70*time.Second)
	if h := b.Headroom(now); h != 0 {
		t.Fatalf("headroom %d after a calm minute", h)
	}
}

// Guards against a bound that gives up more of the fleet than its share, or any
// of it while the fleet is busy.
func TestCalmGivesUpItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, servers := rapid.IntRange(1, 64).Draw(t, "slots"), rapid.IntRange(1, 700).Draw(t, "servers")
		first := rapid.IntRange(0, servers).Draw(t, "first")
		n := OnlineFirstStreamLimit(slots, first, slots*servers, rapid.Float64Range(0, calmShare).Draw(t, "online"))
		if first == 0 {
			if n != 0 {
				t.Fatalf("bound %d without online servers", n)
			}
			return
		}
		// Rounding is to the nearest slot of each server.
		if given := float64((slots - n) * first); n < slots/3 || given > calmCost*float64(slots*servers)+float64(first)/2+1e-6 {
			t.Fatalf("bound %d gives up %v of %d", n, given, slots*servers)
		}
		if n := OnlineFirstStreamLimit(slots, first, slots*servers, 2*calmShare); n != 0 {
			t.Fatalf("bound %d in a busy fleet", n)
		}
	})
}

// Guards against an item given out twice or never, and a job that waits behind
// one that is due later.
func TestJobsEarliestDueFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := NewJobQueue()
		total := 0
		due := map[string]time.Time{}
		for i := range rapid.IntRange(1, 8).Draw(t, "jobs") {
			job := Job{ID: fmt.Sprint(i), Submitted: epoch, Pending: rapid.IntRange(0, 5).Draw(t, "items")}
			job.Due = epoch.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "due")) * time.Minute)
			total += job.Pending
			due[job.ID] = job.Due
			j.Upsert(job)
		}
		last := time.Time{}
		for range total {
			id, ok := j.Next()
			if !ok || due[id].Before(last) {
				t.Fatalf("job %q out of order", id)
			}
			last = due[id]
		}
		if id, ok := j.Next(); ok {
			t.Fatalf("an item too many of %q", id)
		}
	})
}

// Guards against a job that is noticed only when it is too late, and against
// raising one that cannot be saved.
func TestAssessRaisesInTime(t *testing.T) {
	j := NewJobQueue()
	hour := func(h int) time.Time { return epoch.Add(time.Duration(h) * time.Hour) }
	j.Upsert(Job{ID: "heavy", Submitted: epoch, Due: hour(8), Weight: 8, Pending: 10, TokensLeft: 6 * 3600 * 100})
	j.Upsert(Job{ID: "light", Submitted: epoch, Due: hour(4), Pending: 10, TokensLeft: 3600 * 100})
	j.Upsert(Job{ID: "lost", Submitted: epoch, Due: hour(1), Weight: 0.01, Pending: 10, TokensLeft: 2 * 3600 * 100})
	risks := j.AssessDeadlines(epoch, 100)
	got := map[string]bool{}
	for _, r := range risks {
		got[r.Job] = r.Infeasible
	}
	if hopeless, ok := got["light"]; !ok || hopeless {
		t.Fatalf("risks %v", risks)
	}
	if hopeless, ok := got["lost"]; !ok || !hopeless {
		t.Fatalf("risks %v", risks)
	}
	if id, _ := j.Next(); id != "light" {
		t.Fatalf("next is %q, want the job at risk", id)
	}
	if again := j.AssessDeadlines(epoch, 100); len(again) != 0 {
		t.Fatalf("reported again: %v", again)
	}
}

// Guards against fewer online streams than there are, with which an online
// request would find no slot: whatever the order of changes on their way to and
// from the server, the estimate is not below the truth.
func TestOccupancyIsNotTooLow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const way = 500 * time.Microsecond
		type change struct {
			at    time.Time // at the server
			by    int
			batch bool
		}
		var o Occupancy
		var log []change
		online, batch := 0, 0
		now := epoch
		count := func(at time.Time) (n, on int) {
			for _, c := range log {
				if !c.at.After(at) {
					n += c.by
					if !c.batch {
						on += c.by
					}
				}
			}
			return n, on
		}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "us")) * time.Microsecond)
			switch k := rapid.IntRange(0, 5).Draw(t, "event"); {
			case k == 0:
				o.OnlineStarted(now)
				log = append(log, change{now.Add(way), 1, false})
				online++
			case k == 1 && online > 0:
				o.OnlineEnded(now)
				log = append(log, change{now.Add(-way), -1, false})
				online--
			case k == 2:
				batch++
				o.BatchChanged(now, 1)
				log = append(log, change{now.Add(way), 1, true})
			case k == 3 && batch > 0:
				batch--
				o.BatchChanged(now, -1)
				log = append(log, change{now.Add(-way), -1, true})
			case k == 4:
				at := now.Add(-way)
				n, _ := count(at)
				o.LoadReported(at, max(0, n), batch)
			}
			if got := o.Online(); got < online {
				t.Fatalf("estimate %d, online %d", got, online)
			}
		}
	})
}
