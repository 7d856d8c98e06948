package leastslack_test

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
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
	"github.com/jacinthnotch/jacinthnotch/policy/leastslack"
)

// The load is a square wave of online requests, as usual in production, with batch jobs
// beside it: 3.4 s at 0.383 and 2.4 s at 1.87 times the mean rate, on 9 servers of the
// speeds 0.62, 1 and 1.65, and a steady rate of jobs of ten items of unequal length that
// are due in 18 s. At the peaks the online requests take the slots of the items. Once, at
// the start of a peak, all instances lose their items, as after a power loss.
const (
	lowDuration, highDuration = 3400 * time.Millisecond, 2400 * time.Millisecond
	lowFactor, highFactor     = 0.383, 1.87
	meanOnlineRate            = 41.0 // per second
	meanOnlineTime            = 700 * time.Millisecond
	jobRate                   = 0.52 // per second
	itemsPerJob               = 10
	// meanItemTime is the mean time of an item on a server of speed 1.
	meanItemTime     = 5 * time.Second
	meanItemTokens   = 1000
	dueAfter         = 18 * time.Second
	scheduleInterval = 40 * time.Millisecond
	startOverhead    = 30 * time.Millisecond
	slots            = 8
	instances        = 12
	powerLossAt      = 34 * time.Second
	loadDuration     = 90 * time.Second
)

var (
	epoch        = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	serverSpeeds = []float64{0.62, 1, 1.65}
)

// item is one item of a job in the model.
type item struct {
	leastslack.Item
	instance string
	// total is the item's run time on a server of speed 1, and remaining the part of it
	// whose output is not produced or was lost.
	remaining time.Duration
	total     time.Duration
	// server is where the item runs; "" if it does not.
	server    string
	startedAt time.Time
	notBefore time.Time
	starts    int
	doneAt    time.Time
	// runNumber tells the end of the current run from that of an earlier, stopped one.
	runNumber int
}

type event struct {
	at time.Time
	do func(now time.Time)
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// model simulates the load on the table of a hub.
type model struct {
	random    *rand.Rand
	queue     eventQueue
	table     *balance.Table
	speed     map[string]float64
	inFlight  map[string]int
	items     []*item
	estimator leastslack.RunTimeEstimator
	// preemptionDelay is the time until a preempted item may start again.
	preemptionDelay                  time.Duration
	onlineRequests, sentToFullServer int
}

func newModel(preemptionDelay time.Duration) *model {
	m := &model{random: rand.New(rand.NewPCG(3, 5)), speed: map[string]float64{}, inFlight: map[string]int{}, preemptionDelay: preemptionDelay}
	m.table = balance.NewTable(m.random)
	list := map[string]*serving.Server{}
	for i := range 9 {
		id := fmt.Sprint("s", i)
		list[id] = &serving.Server{ID: id, Service: "svc", Slots: slots}
		m.speed[id] = serverSpeeds[i%len(serverSpeeds)]
	}
	m.table.SetServers(epoch, list)
	return m
}

func (m *model) schedule(t time.Time, do func(time.Time)) { heap.Push(&m.queue, event{t, do}) }

func (m *model) run() {
	m.schedule(epoch, m.arrive)
	m.schedule(epoch, m.submit)
	m.schedule(epoch, m.startItems)
	m.schedule(epoch.Add(powerLossAt), m.losePower)
	end := epoch.Add(loadDuration + dueAfter)
	for m.queue.Len() > 0 {
		e := heap.Pop(&m.queue).(event)
		if e.at.After(end) {
			return
		}
		e.do(e.at)
	}
}

// exponential returns a random interval between events of the given rate per second.
func (m *model) exponential(rate float64) time.Duration {
	return time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
}

// arrive places one online request.
func (m *model) arrive(now time.Time) {
	rate := meanOnlineRate * highFactor
	if now.Sub(epoch)%(lowDuration+highDuration) < lowDuration {
		rate = meanOnlineRate * lowFactor
	}
	if now.Sub(epoch) < loadDuration {
		m.schedule(now.Add(m.exponential(rate)), m.arrive)
	}
	c, _ := m.table.Pick(now, balance.Query{Service: "svc", CompleteView: true})
	id := c.Server.ID
	m.onlineRequests++
	if c.Preempt {
		m.preempt(now, id)
	}
	if m.inFlight[id] >= slots {
		m.sentToFullServer++
	}
	m.inFlight[id]++
	m.table.RequestStarted(id, balance.Online)
	duration := time.Duration(float64(meanOnlineTime) / m.speed[id] * (0.75 + m.random.Float64()/2))
	m.schedule(now.Add(duration), func(now time.Time) {
		m.inFlight[id]--
		m.table.RecordStepTime(id, time.Duration(float64(20*time.Millisecond)/m.speed[id]))
		m.table.RequestEnded(now, id, balance.Online, balance.Answered)
	})
}

// submit accepts a job at one of the instances.
func (m *model) submit(now time.Time) {
	if now.Sub(epoch) < loadDuration {
		m.schedule(now.Add(m.exponential(jobRate)), m.submit)
	}
	instance := fmt.Sprint("i", m.random.IntN(instances))
	for range itemsPerJob {
		size := math.Exp(0.4 * m.random.NormFloat64())
		work := time.Duration(size * float64(meanItemTime))
		m.items = append(m.items, &item{
			Item: leastslack.Item{Due: now.Add(dueAfter), Tokens: int64(size * meanItemTokens)}, instance: instance, remaining: work, total: work,
		})
	}
}

// startItems lets each instance start its items where slots are free.
func (m *model) startItems(now time.Time) {
	m.schedule(now.Add(scheduleInterval), m.startItems)
	for _, n := range m.random.Perm(instances) {
		m.startItemsOf(now, fmt.Sprint("i", n))
	}
}

// startItemsOf starts the items of an instance where slots are free, those with the least
// slack first.
func (m *model) startItemsOf(now time.Time, instance string) {
	var pending []*item
	for _, it := range m.items {
		if it.instance == instance && it.server == "" && it.doneAt.IsZero() && !now.Before(it.notBefore) {
			pending = append(pending, it)
		}
	}
	slices.SortStableFunc(pending, func(a, b *item) int {
		return cmp.Compare(m.estimator.Slack(now, a.Item), m.estimator.Slack(now, b.Item))
	})
	for _, it := range pending {
		slack := m.estimator.Slack(now, it.Item)
		c, ok := m.table.Pick(now, balance.Query{
			Service: "svc", Class: balance.Batch, Headroom: 1, CompleteView: true, Requester: instance, Slack: slack,
		})
		if !ok {
			return
		}
		m.start(now, it, c.Server.ID)
	}
}

func (m *model) start(now time.Time, it *item, server string) {
	it.server, it.startedAt = server, now
	it.starts++
	it.runNumber++
	run := it.runNumber
	m.inFlight[server]++
	m.table.RequestStarted(server, balance.Batch)
	took := startOverhead + time.Duration(float64(it.remaining)/m.speed[server])
	m.schedule(now.Add(took), func(now time.Time) {
		if it.runNumber != run || it.server == "" {
			return // the run was stopped before its end
		}
		m.stop(now, it, balance.Answered)
		it.doneAt = now
		if it.starts == 1 {
			m.estimator.RecordRun(took, it.Tokens)
		}
		// An instance looks for slots as soon as one of its items ends.
		m.startItemsOf(now, it.instance)
	})
}

// stop ends a run and keeps its output and its run time.
func (m *model) stop(now time.Time, it *item, outcome balance.Outcome) {
	ran := now.Sub(it.startedAt)
	if ran > startOverhead {
		it.remaining -= min(it.remaining, time.Duration(float64(ran-startOverhead)*m.speed[it.server]))
		it.Spent += ran
	}
	m.inFlight[it.server]--
	m.table.RequestEnded(now, it.server, balance.Batch, outcome)
	it.server = ""
}

// preempt stops the item that was started last on a server.
func (m *model) preempt(now time.Time, server string) {
	var last *item
	for _, it := range m.items {
		if it.server == server && (last == nil || it.startedAt.After(last.startedAt)) {
			last = it
		}
	}
	if last != nil {
		m.stop(now, last, balance.Abandoned)
		last.notBefore = now.Add(m.preemptionDelay)
	}
}

// losePower stops all items and drops the output of those that are not done; they can
// start again after a second.
func (m *model) losePower(now time.Time) {
	for _, it := range m.items {
		if it.server != "" {
			m.stop(now, it, balance.Abandoned)
		}
		it.remaining, it.Spent, it.notBefore = it.total, 0, now.Add(time.Second)
	}
}

// lateShares returns the shares of late items, among all and among the largest tenth, and
// the mean number of starts of an item.
func (m *model) lateShares() (all, largest, starts float64) {
	sorted := slices.Clone(m.items)
	slices.SortFunc(sorted, func(a, b *item) int { return int(b.Tokens - a.Tokens) })
	lateShare := func(items []*item) float64 {
		late := 0
		for _, it := range items {
			if it.doneAt.IsZero() || it.doneAt.After(it.Due) {
				late++
			}
		}
		return float64(late) / float64(len(items))
	}
	runs := 0
	for _, it := range sorted {
		runs += it.starts
	}
	return lateShare(sorted), lateShare(sorted[:len(sorted)/10]), float64(runs) / float64(len(sorted))
}

// Guards against late batch items, long ones above all, although the servers have the
// slots for them, and against items that are restarted again and again at the peaks
// without producing output. With more than a tenth of late requests in a class, the score
// of the benchmark ("worth") cannot reach 0.85, the target for a large site with failures.
func TestItemsAreDoneInTimeUnderSquareWave(t *testing.T) {
	m := newModel(200 * time.Millisecond)
	m.run()
	all, largest, starts := m.lateShares()
	t.Logf("%d items: late %.3f, of the largest tenth %.3f, starts per item %.2f; %d online requests, %.4f sent to a full server",
		len(m.items), all, largest, starts, m.onlineRequests, float64(m.sentToFullServer)/float64(m.onlineRequests))
	if all > 0.1 || largest > 0.1 {
		t.Errorf("late %.3f, of the largest tenth %.3f, want at most 0.1 of each", all, largest)
	}
	if full := float64(m.sentToFullServer) / float64(m.onlineRequests); full > 0.01 {
		t.Errorf("%.4f of the online requests were sent to a full server, want at most 0.01", full)
	}
}
