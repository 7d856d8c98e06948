package balance

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/policy/pace"
)

// The load of these tests: online requests in waves of 2.4 s in each 5.8 s, which take 3 of 4 slots
// at their height, and jobs of ten items, each of which runs for 5 s or so and is due 18 s after its
// job. An online request that finds no free slot stops an item, which goes on later.
const (
	itemDue, itemTime = 18 * time.Second, 5 * time.Second
	itemsPerJob       = 10
	onlineTime        = 750 * time.Millisecond
)

// batchItem is an item of a job.
type batchItem struct {
	due               time.Time
	left              time.Duration
	server            string
	started, notStart time.Time
	run               int
}

// itemEvent is an event of a simulation with items: an arrival, the end of an online request, or
// the end of a run of an item.
type itemEvent struct {
	at     time.Time
	server string
	item   *batchItem
	run    int
}

type itemQueue []itemEvent

func (q itemQueue) Len() int           { return len(q) }
func (q itemQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q itemQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *itemQueue) Push(x any)        { *q = append(*q, x.(itemEvent)) }
func (q *itemQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// waveResult is what simulateWaves measures.
type waveResult struct {
	done, stopped, late int
	// online counts the online requests, and full those that found neither a free slot nor an item
	// to stop.
	online, full int
}

func (r *waveResult) add(other waveResult) {
	r.done += other.done
	r.stopped += other.stopped
	r.late += other.late
	r.online += other.online
	r.full += other.full
}

// waveLoad is the load of a simulation.
type waveLoad struct {
	length time.Duration
	// itemLoad is the share of the slots that the items take on average.
	itemLoad float64
	// stated is set if the servers state their pace, so that slots are reserved.
	stated bool
	// hubLostAt is when a new hub takes over that knows the load alone, if it is set.
	hubLostAt time.Duration
	even      bool
}

// simulateWaves runs the load and then the rest of the items.
func simulateWaves(seed uint64, load waveLoad) (r waveResult) {
	const servers, slots = 30, 8
	random := rand.New(rand.NewPCG(seed, 2))
	list := map[string]*serving.Server{}
	for i := range servers {
		id := fmt.Sprintf("s%02d", i)
		list[id] = &serving.Server{ID: id, Service: "svc", Slots: slots}
	}
	newHub := func() *Table {
		t := NewTable(random)
		t.SetServers(epoch, list)
		if load.stated {
			t.RecordPace("s00", pace.Statement{Pace: pace.Usual, At: epoch})
		}
		return t
	}
	table := newHub()
	onlineRate := 0.75 * servers * slots / highFactor / onlineTime.Seconds()
	jobRate := load.itemLoad * servers * slots / itemTime.Seconds() / itemsPerJob
	exponential := func(rate float64) time.Duration {
		return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	}
	online := map[string]int{}
	var items []*batchItem
	nextJob, nextPass, lost := epoch, epoch, false
	queue := &itemQueue{{at: epoch}}
	end := epoch.Add(load.length)
	for now := epoch; now.Before(end.Add(2 * itemDue)); {
		e := itemEvent{at: nextPass}
		if queue.Len() > 0 && (*queue)[0].at.Before(nextPass) {
			e = heap.Pop(queue).(itemEvent)
		}
		now = e.at
		if load.hubLostAt > 0 && !lost && now.Sub(epoch) >= load.hubLostAt {
			lost = true
			table = newHub()
			for id, n := range online {
				for range n {
					table.RequestStarted(id, Online)
				}
			}
			for _, i := range items {
				if i.server != "" {
					table.RequestStarted(i.server, Batch)
				}
			}
		}
		switch {
		case e.item != nil:
			if e.item.run != e.run {
				continue // the run was stopped
			}
			table.RequestEnded(now, e.server, Batch, Answered)
			r.done++
			if now.After(e.item.due) {
				r.late++
			}
			items = slices.DeleteFunc(items, func(i *batchItem) bool { return i == e.item })
		case e.server != "":
			online[e.server]--
			table.RequestEnded(now, e.server, Online, Answered)
		case e.at.Equal(nextPass):
			nextPass = now.Add(40 * time.Millisecond)
			for ; !nextJob.After(now) && nextJob.Before(end); nextJob = nextJob.Add(exponential(jobRate)) {
				for range itemsPerJob {
					items = append(items, &batchItem{due: nextJob.Add(itemDue), left: time.Duration(float64(itemTime) * math.Exp(0.4*random.NormFloat64()-0.08))})
				}
			}
			slack := func(i *batchItem) time.Duration { return i.due.Sub(now) - i.left }
			slices.SortStableFunc(items, func(a, b *batchItem) int { return cmp.Compare(slack(a), slack(b)) })
			waiting := 0
			for _, i := range items {
				if i.server == "" {
					waiting++
				}
			}
			for _, i := range items {
				if i.server != "" || now.Before(i.notStart) {
					continue
				}
				c, ok := table.Pick(now, Query{Service: "svc", Class: Batch, CompleteView: true, Headroom: 1, Slack: slack(i), RunTime: i.left, Waiting: waiting})
				if !ok {
					break
				}
				table.RequestStarted(c.Server.ID, Batch)
				waiting--
				i.server, i.started = c.Server.ID, now
				i.run++
				heap.Push(queue, itemEvent{now.Add(i.left), i.server, i, i.run})
			}
		case now.Before(end):
			factor := highFactor
			if load.even {
				factor = 1
			} else if now.Sub(epoch)%(lowDuration+highDuration) < lowDuration {
				factor = lowFactor
			}
			heap.Push(queue, itemEvent{at: now.Add(exponential(onlineRate * factor))})
			c, _ := table.Pick(now, Query{Service: "svc", CompleteView: true})
			table.RequestStarted(c.Server.ID, Online)
			online[c.Server.ID]++
			r.online++
			heap.Push(queue, itemEvent{at: now.Add(time.Duration(float64(onlineTime) * (0.75 + random.Float64()/2))), server: c.Server.ID})
			if c.QueuePosition > 0 {
				r.full++
			}
			if c.Preempt {
				var last *batchItem
				for _, i := range items {
					if i.server == c.Server.ID && (last == nil || i.started.After(last.started)) {
						last = i
					}
				}
				if last != nil {
					r.stopped++
					table.RequestEnded(now, last.server, Batch, Abandoned)
					last.left -= now.Sub(last.started)
					last.server, last.notStart = "", now.Add(200*time.Millisecond)
					last.run++
				}
			}
		}
	}
	return r
}

// simulateSeeds adds up the results of the load for several seeds.
func simulateSeeds(t *testing.T, load waveLoad) (r waveResult) {
	seeds := uint64(4)
	if testing.Short() {
		seeds = 1
	}
	for seed := range seeds {
		r.add(simulateWaves(seed, load))
	}
	t.Logf("items on %.2f of the slots, reserve %v, even %v: %.3f runs stopped for each item, %.4f late of %d; of %d online requests %d without a slot",
		load.itemLoad, load.stated, load.even, float64(r.stopped)/float64(r.done), float64(r.late)/float64(r.done), r.done, r.online, r.full)
	return r
}

// Guards against items that are started just before a wave of online requests and stopped by it,
// and against a reserve that makes items late or takes slots from online requests. Without waves, or
// with more items than fit beside them, all is as without a reserve.
func TestItemsStartSoThatFewAreStoppedByWaves(t *testing.T) {
	for _, c := range []struct {
		name      string
		load      waveLoad
		stopShare float64
	}{
		{"calm", waveLoad{itemLoad: 0.28}, 0.95},
		{"as many as fit", waveLoad{itemLoad: 0.33}, 0.85},
		{"more than fit", waveLoad{itemLoad: 0.55}, 1.02},
		{"no waves", waveLoad{itemLoad: 0.33, even: true}, 1},
	} {
		c.load.length = time.Minute
		without := simulateSeeds(t, c.load)
		c.load.stated = true
		with := simulateSeeds(t, c.load)
		if float64(with.stopped) > c.stopShare*float64(without.stopped) {
			t.Errorf("%s: %d runs were stopped, want at most %.2f of the %d without a reserve", c.name, with.stopped, c.stopShare, without.stopped)
		}
		if with.done != without.done || with.late > without.late+with.done/1000 || with.full > without.full {
			t.Errorf("%s: %+v, without a reserve %+v", c.name, with, without)
		}
	}
}

// Guards against a new hub that holds items back, or starts too many, because it has no history: it
// starts as without a reserve, no item is late by it, and no online request waits.
func TestNewHubWithoutHistoryOfWaves(t *testing.T) {
	load := waveLoad{itemLoad: 0.33, length: 40 * time.Second, hubLostAt: 21 * time.Second}
	without := simulateSeeds(t, load)
	load.stated = true
	with := simulateSeeds(t, load)
	if with.done != without.done || with.late > without.late+with.done/1000 || with.full > without.full || with.stopped > without.stopped {
		t.Errorf("with a reserve %+v, without %+v", with, without)
	}
}

// Guards against slots that stay reserved for waves of online requests which have ended: batch requests, by then the only
// ones, would be held back by what only their own placement lets the hub observe.
func TestReserveEndsWithTheWaves(t *testing.T) {
	const servers, slots, height, items = 4, 8, 24, 14
	for name, silence := range map[string]time.Duration{"at once": 0, "after a silence": time.Minute} {
		t.Run(name, func(t *testing.T) {
			tb := newTestTable(servers, slots)
			tb.RecordPace("s00", pace.Statement{Pace: pace.Usual, At: epoch})
			now := epoch
			var online []string
			for i := 0; now.Sub(epoch) < 24*time.Second; i, now = i+1, now.Add(50*time.Millisecond) {
				tb.Pick(now, Query{Service: "svc", CompleteView: true})
				if i%100 < 50 { // half of each period of 5 s
					for len(online) < height {
						c := mustPick(t, tb, Query{CompleteView: true})
						tb.RequestStarted(c.Server.ID, Online)
						online = append(online, c.Server.ID)
					}
					continue
				}
				for _, id := range online {
					tb.RequestEnded(now, id, Online, Answered)
				}
				online = online[:0]
			}
			if tb.ReserveStats()["svc"].Peak == 0 {
				t.Fatal("no waves were seen")
			}
			for _, id := range online {
				tb.RequestEnded(now, id, Online, Answered)
			}
			now = now.Add(silence)
			running := 0
			for end := now.Add(15 * time.Second); now.Before(end) && running < items; now = now.Add(120 * time.Millisecond) {
				c, ok := tb.Pick(now, Query{Service: "svc", Class: Batch, CompleteView: true, Headroom: 1, Slack: time.Hour, RunTime: 5 * time.Second, Waiting: 1})
				if ok {
					tb.RequestStarted(c.Server.ID, Batch)
					running++
				}
			}
			if running < items {
				t.Errorf("%d of %d items run on %d idle slots", running, items, servers*slots)
			}
		})
	}
}
