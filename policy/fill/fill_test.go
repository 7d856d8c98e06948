package fill

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var startTime = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// Guards against batch streams in the slots kept free for online requests.
func TestBatchStreamsLeaveHeadroom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Server{
			Slots: rapid.IntRange(1, 64).Draw(t, "slots"), Online: rapid.IntRange(0, 70).Draw(t, "online"),
			Batch: rapid.IntRange(0, 64).Draw(t, "batch"), Waiting: rapid.IntRange(0, 2).Draw(t, "waiting"),
			Headroom: rapid.IntRange(0, 20).Draw(t, "headroom"), MaxStreams: rapid.IntRange(0, 64).Draw(t, "max"),
			KVFree: rapid.Float64Range(0, 1).Draw(t, "kv"), KVPerStream: 0.02,
		}
		n := MaxBatchStreams(s)
		if n < 0 || n > 0 && n+s.Online+s.Headroom > s.Slots {
			t.Fatalf("MaxBatchStreams %d for %+v", n, s)
		}
		if toStart := StreamsToStart(startTime, s); toStart > 0 && (s.Waiting > 0 || s.Batch+toStart > n) {
			t.Fatalf("StreamsToStart %d with MaxBatchStreams %d for %+v", toStart, n, s)
		}
	})
}

// Guards against a headroom that ignores bursts of the last minute or never
// shrinks after older ones.
func TestHeadroomFollowsBursts(t *testing.T) {
	var b BurstEstimator
	now := startTime
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
		t.Fatalf("headroom %d after a minute without bursts", h)
	}
}

// Guards against a stream limit that keeps more than its share of the fleet's
// slots free, or any of them while the fleet is busy.
func TestOnlineFirstStreamLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, servers := rapid.IntRange(1, 64).Draw(t, "slots"), rapid.IntRange(1, 700).Draw(t, "servers")
		onlineFirst := rapid.IntRange(0, servers).Draw(t, "first")
		n := OnlineFirstStreamLimit(slots, onlineFirst, slots*servers, rapid.Float64Range(0, lowOnlineShare).Draw(t, "online"))
		if onlineFirst == 0 {
			if n != 0 {
				t.Fatalf("limit %d without online-first servers", n)
			}
			return
		}
		// Rounding is to the nearest slot of each server.
		if free := float64((slots - n) * onlineFirst); n < slots/3 || free > maxReservedShare*float64(slots*servers)+float64(onlineFirst)/2+1e-6 {
			t.Fatalf("limit %d keeps %v of %d slots free", n, free, slots*servers)
		}
		if n := OnlineFirstStreamLimit(slots, onlineFirst, slots*servers, 2*lowOnlineShare); n != 0 {
			t.Fatalf("limit %d in a busy fleet", n)
		}
	})
}

// Guards against an item that is dispatched twice or never, and against a job
// that waits behind one with a later due time.
func TestJobsEarliestDueFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := NewJobQueue()
		total := 0
		due := map[string]time.Time{}
		for i := range rapid.IntRange(1, 8).Draw(t, "jobs") {
			job := Job{ID: fmt.Sprint(i), Submitted: startTime, Pending: rapid.IntRange(0, 5).Draw(t, "items")}
			job.Due = startTime.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "due")) * time.Minute)
			total += job.Pending
			due[job.ID] = job.Due
			j.Upsert(job)
		}
		last := time.Time{}
		for range total {
			id, ok := j.Next()
			if !ok || due[id].Before(last) {
				t.Fatalf("item of job %q out of order", id)
			}
			last = due[id]
		}
		if id, ok := j.Next(); ok {
			t.Fatalf("one item too many, of job %q", id)
		}
	})
}

// Guards against a job at risk that is found only when it is too late, and
// against prioritizing a job that cannot meet its due time.
func TestAssessDeadlinesInTime(t *testing.T) {
	j := NewJobQueue()
	hour := func(h int) time.Time { return startTime.Add(time.Duration(h) * time.Hour) }
	j.Upsert(Job{ID: "heavy", Submitted: startTime, Due: hour(8), Weight: 8, Pending: 10, TokensLeft: 6 * 3600 * 100})
	j.Upsert(Job{ID: "light", Submitted: startTime, Due: hour(4), Pending: 10, TokensLeft: 3600 * 100})
	j.Upsert(Job{ID: "lost", Submitted: startTime, Due: hour(1), Weight: 0.01, Pending: 10, TokensLeft: 2 * 3600 * 100})
	risks := j.AssessDeadlines(startTime, 100)
	got := map[string]bool{}
	for _, r := range risks {
		got[r.Job] = r.Infeasible
	}
	if infeasible, ok := got["light"]; !ok || infeasible {
		t.Fatalf("risks %v", risks)
	}
	if infeasible, ok := got["lost"]; !ok || !infeasible {
		t.Fatalf("risks %v", risks)
	}
	if id, _ := j.Next(); id != "light" {
		t.Fatalf("next is %q, want the job at risk", id)
	}
	if again := j.AssessDeadlines(startTime, 100); len(again) != 0 {
		t.Fatalf("jobs reported again: %v", again)
	}
}

// Guards against an estimate below the number of online streams, with which an
// online request finds no free slot. It must hold for any order in which changes
// and load reports reach the server and the director.
func TestOccupancyIsNotTooLow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const transit = 500 * time.Microsecond
		type change struct {
			at    time.Time // at which it reaches or left the server
			by    int
			batch bool
		}
		var o Occupancy
		var log []change
		online, batch := 0, 0
		now := startTime
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
				log = append(log, change{now.Add(transit), 1, false})
				online++
			case k == 1 && online > 0:
				o.OnlineEnded(now)
				log = append(log, change{now.Add(-transit), -1, false})
				online--
			case k == 2:
				batch++
				o.BatchChanged(now, 1)
				log = append(log, change{now.Add(transit), 1, true})
			case k == 3 && batch > 0:
				batch--
				o.BatchChanged(now, -1)
				log = append(log, change{now.Add(-transit), -1, true})
			case k == 4:
				at := now.Add(-transit)
				n, _ := count(at)
				o.LoadReported(at, max(0, n), batch)
			}
			if got := o.Online(); got < online {
				t.Fatalf("estimate %d, online %d", got, online)
			}
		}
	})
}
