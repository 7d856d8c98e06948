package agenda_test

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
	"github.com/jacinthnotch/jacinthnotch/policy/agenda"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
)

// The pattern is the everyday load of the users' sites with batch jobs beneath it: a
// square wave of online requests of 3.4 s at 0.383 and 2.4 s at 1.87 times the mean, on
// 9 servers of the speeds 0.62, 1 and 1.65, and steady jobs of about ten items of unequal
// length that are due in 18 s. At the crest the online requests take the slots of the
// items. All instances lose their items once, at the start of a crest, as after a loss
// of power.
const (
	lowFor, highFor   = 3400 * time.Millisecond, 2400 * time.Millisecond
	lowRate, highRate = 0.383, 1.87
	onlineRate        = 41.0
	onlineWork        = 700 * time.Millisecond
	jobRate           = 0.52
	itemsOfAJob       = 10
	// itemWork is the mean time of an item on a server of speed 1.
	itemWork    = 5 * time.Second
	itemTokens  = 1000
	due         = 18 * time.Second
	look        = 40 * time.Millisecond
	restartCost = 30 * time.Millisecond
	slots       = 8
	instances   = 12
	lossAt      = 34 * time.Second
	playFor     = 90 * time.Second
)

var (
	epoch  = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	speeds = []float64{0.62, 1, 1.65}
)

// item is one item of a job in the model.
type item struct {
	agenda.Item
	instance string
	// left is the work that is left, on a server of speed 1.
	left      time.Duration
	whole     time.Duration
	server    string
	began     time.Time
	notBefore time.Time
	starts    int
	doneAt    time.Time
	run       int
}

type event struct {
	at time.Time
	do func(now time.Time)
}

type line []event

func (l line) Len() int           { return len(l) }
func (l line) Less(i, j int) bool { return l[i].at.Before(l[j].at) }
func (l line) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }
func (l *line) Push(x any)        { *l = append(*l, x.(event)) }
func (l *line) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

// model plays the load through one table, as a hub keeps it.
type model struct {
	random *rand.Rand
	line   line
	table  *balance.Table
	speed  map[string]float64
	busy   map[string]int
	items  []*item
	pace   agenda.RunTimeEstimator
	// pause is that of an item that had to yield.
	pause       time.Duration
	online, met int
}

func newModel(pause time.Duration) *model {
	m := &model{random: rand.New(rand.NewPCG(3, 5)), speed: map[string]float64{}, busy: map[string]int{}, pause: pause}
	m.table = balance.NewTable(m.random)
	list := map[string]*serving.Server{}
	for i := range 9 {
		id := fmt.Sprint("s", i)
		list[id] = &serving.Server{ID: id, Service: "svc", Slots: slots}
		m.speed[id] = speeds[i%len(speeds)]
	}
	m.table.SetServers(list)
	return m
}

func (m *model) at(t time.Time, do func(time.Time)) { heap.Push(&m.line, event{t, do}) }

func (m *model) play() {
	m.at(epoch, m.arrive)
	m.at(epoch, m.submit)
	m.at(epoch, m.look)
	m.at(epoch.Add(lossAt), m.lose)
	end := epoch.Add(playFor + due)
	for m.line.Len() > 0 {
		e := heap.Pop(&m.line).(event)
		if e.at.After(end) {
			return
		}
		e.do(e.at)
	}
}

func (m *model) exponential(rate float64) time.Duration {
	return time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
}

// arrive places one online request.
func (m *model) arrive(now time.Time) {
	rate := onlineRate * highRate
	if now.Sub(epoch)%(lowFor+highFor) < lowFor {
		rate = onlineRate * lowRate
	}
	if now.Sub(epoch) < playFor {
		m.at(now.Add(m.exponential(rate)), m.arrive)
	}
	c, _ := m.table.Pick(now, balance.Query{Service: "svc", CompleteView: true})
	id := c.Server.ID
	m.online++
	if c.Preempt {
		m.yield(now, id)
	}
	if m.busy[id] >= slots {
		m.met++
	}
	m.busy[id]++
	m.table.RequestStarted(id, balance.Online)
	work := time.Duration(float64(onlineWork) / m.speed[id] * (0.75 + m.random.Float64()/2))
	m.at(now.Add(work), func(now time.Time) {
		m.busy[id]--
		m.table.RecordStepTime(id, time.Duration(float64(20*time.Millisecond)/m.speed[id]))
		m.table.RequestEnded(now, id, balance.Online, balance.Answered)
	})
}

// submit accepts a job at one of the instances.
func (m *model) submit(now time.Time) {
	if now.Sub(epoch) < playFor {
		m.at(now.Add(m.exponential(jobRate)), m.submit)
	}
	instance := fmt.Sprint("i", m.random.IntN(instances))
	for range itemsOfAJob {
		size := math.Exp(0.4 * m.random.NormFloat64())
		work := time.Duration(size * float64(itemWork))
		m.items = append(m.items, &item{
			Item: agenda.Item{Due: now.Add(due), Tokens: int64(size * itemTokens)}, instance: instance, left: work, whole: work,
		})
	}
}

// look lets each instance start its items where slots are free.
func (m *model) look(now time.Time) {
	m.at(now.Add(look), m.look)
	for _, n := range m.random.Perm(instances) {
		m.place(now, fmt.Sprint("i", n))
	}
}

// place starts the items of an instance where slots are free, the most urgent first.
func (m *model) place(now time.Time, instance string) {
	var pending []*item
	for _, it := range m.items {
		if it.instance == instance && it.server == "" && it.doneAt.IsZero() && !now.Before(it.notBefore) {
			pending = append(pending, it)
		}
	}
	slices.SortStableFunc(pending, func(a, b *item) int { return cmp.Compare(m.pace.Slack(now, a.Item), m.pace.Slack(now, b.Item)) })
	for _, it := range pending {
		slack := m.pace.Slack(now, it.Item)
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
	it.server, it.began = server, now
	it.starts++
	it.run++
	run := it.run
	m.busy[server]++
	m.table.RequestStarted(server, balance.Batch)
	took := restartCost + time.Duration(float64(it.left)/m.speed[server])
	m.at(now.Add(took), func(now time.Time) {
		if it.run != run || it.server == "" {
			return // it was stopped
		}
		m.stop(now, it, balance.Answered)
		it.doneAt = now
		if it.starts == 1 {
			m.pace.RecordRun(took, it.Tokens)
		}
		// An instance looks for slots as soon as one of its items ends.
		m.place(now, it.instance)
	})
}

// stop ends a run and keeps its output.
func (m *model) stop(now time.Time, it *item, outcome balance.Outcome) {
	ran := now.Sub(it.began)
	if ran > restartCost {
		it.left -= min(it.left, time.Duration(float64(ran-restartCost)*m.speed[it.server]))
		it.Spent += ran
	}
	m.busy[it.server]--
	m.table.RequestEnded(now, it.server, balance.Batch, outcome)
	it.server = ""
}

// yield stops the item that began last on a server.
func (m *model) yield(now time.Time, server string) {
	var last *item
	for _, it := range m.items {
		if it.server == server && (last == nil || it.began.After(last.began)) {
			last = it
		}
	}
	if last != nil {
		m.stop(now, last, balance.Abandoned)
		last.notBefore = now.Add(m.pause)
	}
}

// lose takes the output of all items that are not done.
func (m *model) lose(now time.Time) {
	for _, it := range m.items {
		if it.server != "" {
			m.stop(now, it, balance.Abandoned)
		}
		it.left, it.Spent, it.notBefore = it.whole, 0, now.Add(time.Second)
	}
}

// late returns the share of items that are late, of all and of the largest tenth, and
// the mean number of starts.
func (m *model) late() (all, largest, starts float64) {
	sorted := slices.Clone(m.items)
	slices.SortFunc(sorted, func(a, b *item) int { return int(b.Tokens - a.Tokens) })
	count := func(items []*item) float64 {
		n := 0
		for _, it := range items {
			if it.doneAt.IsZero() || it.doneAt.After(it.Due) {
				n++
			}
		}
		return float64(n) / float64(len(items))
	}
	sum := 0
	for _, it := range sorted {
		sum += it.starts
	}
	return count(sorted), count(sorted[:len(sorted)/10]), float64(sum) / float64(len(sorted))
}

// Guards against batch items that are late, above all long ones, although the servers
// have the slots for them, and against items that start again and again at the crest
// without making output. The stated target of the users is the worth of grown KME on days
// with trouble, 0.85; a class that is late by more than a tenth cannot reach it.
func TestItemsAreDoneWhenDueUnderASquareWave(t *testing.T) {
	m := newModel(200 * time.Millisecond)
	m.play()
	all, largest, starts := m.late()
	t.Logf("%d items: late %.3f, of the largest tenth %.3f, starts an item %.2f; %d online requests, %.4f met a full server",
		len(m.items), all, largest, starts, m.online, float64(m.met)/float64(m.online))
	if all > 0.1 || largest > 0.1 {
		t.Errorf("late %.3f, of the largest tenth %.3f", all, largest)
	}
	if met := float64(m.met) / float64(m.online); met > 0.01 {
		t.Errorf("%.4f of the online requests met a full server", met)
	}
}
