package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
)

// promptLoad is a load of requests on servers with 8 slots. A prompt has two shared segments, a
// leaf and its root, and one of its own.
type promptLoad struct {
	servers       int
	inFlight      float64 // the mean on a server
	roots, leaves int
	skew          float64 // the exponent of Zipf's law for the popularity of the leaves
	hotShare      float64 // the share of the requests with the first leaf
	capacity      int64
	restartEvery  time.Duration // the interval at which a server restarts; zero for none
	instances     int           // they choose without a hub; zero for a hub
}

// promptResult is what a load brought: the share of the prompt tokens that were of shared segments
// and read again, the mean time to the first event, and the requests of the busiest server in
// relation to the mean.
type promptResult struct {
	readAgain float64
	first     time.Duration
	busiest   float64
}

// The model of a server: 200 shared prompt tokens, 250 others, and the times of a run, of the
// first step and of reading a token; each request beside it slows a run by slowdownBeside.
const (
	segmentTokens, ownTokens      = 100, 250
	modelRun, modelFirst          = 650 * time.Millisecond, 13 * time.Millisecond
	modelReading                  = 18 * time.Microsecond
	slowdownBeside                = 0.03
	promptModelTime, promptReport = 40 * time.Second, 300 * time.Millisecond
)

// modelCache holds the sequence numbers of the last uses of chains, and the total of tokens.
type modelCache struct {
	used map[string]int
	now  int
	sum  int64
}

func modelTokens(chain string) int64 {
	if chain[0] == 'o' {
		return ownTokens
	}
	return segmentTokens
}

// read returns the tokens of the shared chains that were not kept, and keeps all chains.
func (m *modelCache) read(capacity int64, chains []string) (shared int64) {
	kept := true
	for i, c := range chains {
		at, ok := m.used[c]
		if kept = kept && ok && at > 0; !kept && i < len(chains)-1 {
			shared += modelTokens(c)
		}
		if !ok {
			m.sum += modelTokens(c)
		}
		m.now++
		m.used[c] = m.now
	}
	for m.sum > capacity {
		oldest := chains[0]
		for c, at := range m.used {
			if at < m.used[oldest] {
				oldest = c
			}
		}
		m.sum -= modelTokens(oldest)
		delete(m.used, oldest)
	}
	return shared
}

// run runs the load, with the prompts known to the tables or not.
func (l promptLoad) run(seed uint64, known bool) (r promptResult) {
	random := rand.New(rand.NewPCG(seed, 5))
	list, caches, inFlight, placed := map[string]*serving.Server{}, map[string]*modelCache{}, map[string]int{}, map[string]int{}
	start := func(i int, at time.Time) {
		id := fmt.Sprintf("s%03d", i)
		list[id], caches[id] = &serving.Server{ID: id, Service: "svc", Slots: 8, Started: at.UnixMilli()}, &modelCache{used: map[string]int{}}
	}
	for i := range l.servers {
		start(i, epoch)
	}
	tables := make([]*Table, max(1, l.instances))
	for i := range tables {
		tables[i] = NewTable(rand.New(rand.NewPCG(seed, uint64(i))))
		if known {
			tables[i].SetKVCaches(map[string]int64{"svc": l.capacity})
		}
		tables[i].SetServers(list)
	}
	var popularity []float64
	sum := 0.0
	for i := range l.leaves {
		sum += math.Pow(float64(i+1), -l.skew)
		popularity = append(popularity, sum)
	}
	queue := &eventQueue{{at: epoch}}
	seen := map[string]bool{}
	arrivals, restarts, reported := 0, 0, epoch
	var first time.Duration
	for queue.Len() > 0 {
		e := heap.Pop(queue).(event)
		since := e.at.Sub(epoch)
		if since > promptModelTime {
			break
		}
		if l.restartEvery > 0 && since > time.Duration(restarts+1)*l.restartEvery {
			start(restarts%l.servers, e.at)
			restarts++
			tables[0].SetServers(list)
		}
		if l.instances > 0 && e.at.Sub(reported) > promptReport {
			reported = e.at
			exchangeReports(e.at, tables)
		}
		if e.server != "" {
			inFlight[e.server]--
			tables[e.instance].RequestEnded(e.at, e.server, Online, Answered)
			continue
		}
		gap := random.ExpFloat64() * float64(modelRun) / l.inFlight / float64(l.servers)
		heap.Push(queue, event{at: e.at.Add(time.Duration(gap))})
		leaf, _ := slices.BinarySearch(popularity, random.Float64()*sum)
		if random.Float64() < l.hotShare {
			leaf = 0
		}
		arrivals++
		chains := []string{fmt.Sprint("r", leaf%l.roots), fmt.Sprint("l", leaf), fmt.Sprint("o", arrivals)}
		q := Query{Service: "svc", CompleteView: l.instances == 0}
		for _, c := range chains {
			q.Prompt = append(q.Prompt, PromptSegment{Segment: hashOf(c), Tokens: modelTokens(c)})
		}
		instance := random.IntN(len(tables))
		c, _ := tables[instance].Pick(e.at, q)
		id := c.Server.ID
		tables[instance].RequestStarted(id, Online)
		read := caches[id].read(l.capacity, chains)
		if seen[chains[1]] {
			r.readAgain += float64(read)
		}
		seen[chains[1]] = true
		slowdown := 1 + slowdownBeside*float64(inFlight[id])
		ownFirst := time.Duration(float64(modelFirst)*slowdown) + time.Duration(read+ownTokens)*modelReading
		if inFlight[id] >= c.Slots {
			ownFirst += modelRun / time.Duration(c.Slots) * time.Duration(inFlight[id]+1-c.Slots)
		}
		first += ownFirst
		inFlight[id]++
		placed[id]++
		took := ownFirst + time.Duration(float64(modelRun)*slowdown*(0.5+random.Float64()))
		heap.Push(queue, event{at: e.at.Add(took), server: id, instance: instance})
	}
	for _, n := range placed {
		r.busiest = max(r.busiest, float64(n*l.servers)/float64(arrivals))
	}
	r.readAgain /= float64(arrivals * (2*segmentTokens + ownTokens))
	r.first = first / time.Duration(arrivals)
	return r
}

// Guards against shared segments that are read again by servers while others keep them, against
// later first events than with a choice that ignores prompts, and against segments that make the
// servers that keep them busier than others. With calm load, less than a tenth of the prompt tokens
// may be read again.
func TestSharedSegmentsAreReadOnce(t *testing.T) {
	calm := promptLoad{servers: 45, inFlight: 3.2, roots: 40, leaves: 398, skew: 0.3, capacity: 147_261}
	low, full, skewed, restarts, short, hot, few := calm, calm, calm, calm, calm, calm, calm
	low.inFlight, full.inFlight, skewed.skew, few.servers = 1, 5.5, 1, 22
	restarts.restartEvery, short.capacity, hot.hotShare = time.Second, 8_000, 0.5
	hubless := hot
	hubless.instances = 40
	for name, c := range map[string]struct {
		promptLoad
		maxReadAgain float64
	}{
		"calm": {calm, 0.1}, "low": {low, 0.1}, "full": {full, 0.1}, "skewed": {skewed, 0.1}, "few servers": {few, 0.1}, "hot": {hot, 0.1},
		"restarts": {restarts, 1}, "short memory": {short, 1}, "hot without a hub": {hubless, 1},
	} {
		seeds := uint64(3)
		if testing.Short() {
			seeds = 1
		}
		for seed := range seeds {
			before, after := c.run(seed, false), c.run(seed, true)
			t.Logf("%s: before %+v, after %+v", name, before, after)
			if after.readAgain > min(c.maxReadAgain, before.readAgain) || after.first > before.first || after.busiest > max(busiestToMean, before.busiest) {
				t.Errorf("%s, seed %d: %+v, before %+v", name, seed, after, before)
			}
			if c.hotShare > 0 && after.busiest > busiestToMean {
				t.Errorf("%s, seed %d: the busiest server gets %.2f times the mean", name, seed, after.busiest)
			}
		}
	}
}

// busiestToMean is the ratio to the mean that the requests of no server may exceed for a segment
// for which half of the requests ask.
const busiestToMean = 1.3

// BenchmarkPickByPrompt measures one decision of a hub about a prompt whose segments many servers
// keep.
func BenchmarkPickByPrompt(b *testing.B) {
	for _, servers := range serverCounts {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			tb := newLoadedTable(servers)
			tb.SetKVCaches(map[string]int64{"svc": 147_261})
			q := Query{Service: "svc", DataCentre: "dc1", CompleteView: true, Prompt: make([]PromptSegment, 3)}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				for j, n := range []int{80, 796, 1 << 30} {
					q.Prompt[j] = PromptSegment{Segment: uint32(j<<30 + i%n), Tokens: segmentTokens}
				}
				tb.Pick(epoch, q)
			}
		})
	}
}
