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

// The model of a server: a prompt has two shared segments and one of its own; the times of a run, of
// the first step and of reading a token; each request beside it slows a run by slowdownBeside.
const (
	segmentTokens, ownTokens = 100, 250
	modelRun, modelFirst     = 650 * time.Millisecond, 13 * time.Millisecond
	modelReading             = 18 * time.Microsecond
	slowdownBeside           = 0.03
	promptModelTime          = 40 * time.Second
	// maxReadAgain is the share of the prompt tokens that may be read again at calm load, and
	// busiestToMean the ratio to the mean that the requests of no server may exceed for a
	// segment for which half of the requests ask.
	maxReadAgain, busiestToMean = 0.1, 1.3
)

// promptLoad is a load of requests on servers with 8 slots. A prompt is that of a leaf, which has one
// of the roots.
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

// promptResult is what a load brought: the share of the prompt tokens that were read again, the mean
// time to the first event, and the requests of the busiest server in relation to the mean.
type promptResult struct {
	readAgain float64
	first     time.Duration
	busiest   float64
}

// modelCache holds the sequence numbers of the last uses of segments, and the total of tokens.
type modelCache struct {
	used map[PromptSegment]int
	now  int
	sum  int64
}

// read returns the tokens of the shared segments that were not kept, and keeps all segments.
func (m *modelCache) read(capacity int64, prompt []PromptSegment) (shared int64) {
	kept := true
	for i, s := range prompt {
		_, ok := m.used[s]
		if kept = kept && ok; !kept && i < len(prompt)-1 {
			shared += s.Tokens
		}
		if !ok {
			m.sum += s.Tokens
		}
		m.now++
		m.used[s] = m.now
	}
	for m.sum > capacity {
		oldest := prompt[0]
		for s, at := range m.used {
			if at < m.used[oldest] {
				oldest = s
			}
		}
		m.sum -= oldest.Tokens
		delete(m.used, oldest)
	}
	return shared
}

// run runs the load, with the KV caches known to the tables or not.
func (l promptLoad) run(seed uint64, known bool) (r promptResult) {
	random := rand.New(rand.NewPCG(seed, 5))
	list, caches, inFlight, placed := map[string]*serving.Server{}, map[string]*modelCache{}, map[string]int{}, map[string]int{}
	start := func(i int, at time.Time) {
		id := fmt.Sprintf("s%03d", i)
		list[id], caches[id] = &serving.Server{ID: id, Service: "svc", Slots: 8, Started: at.UnixMilli()}, &modelCache{used: map[PromptSegment]int{}}
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
		tables[i].SetServers(epoch, list)
	}
	popularity, sum := make([]float64, l.leaves), 0.0
	for i := range popularity {
		sum += math.Pow(float64(i+1), -l.skew)
		popularity[i] = sum
	}
	queue := &eventQueue{{at: epoch}}
	seen := map[int]bool{}
	arrivals, restarts, reported := 0, 0, epoch
	for {
		e := heap.Pop(queue).(event)
		since := e.at.Sub(epoch)
		if since > promptModelTime {
			break
		}
		if l.restartEvery > 0 && since > time.Duration(restarts+1)*l.restartEvery {
			start(restarts%l.servers, e.at)
			restarts++
			tables[0].SetServers(epoch, list)
		}
		if l.instances > 0 && e.at.Sub(reported) > 300*time.Millisecond {
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
		q := Query{Service: "svc", CompleteView: l.instances == 0, Prompt: []PromptSegment{
			{Segment: uint32(leaf % l.roots), Tokens: segmentTokens}, {Segment: 1<<16 + uint32(leaf), Tokens: segmentTokens}, {Segment: 1<<24 + uint32(arrivals), Tokens: ownTokens},
		}}
		instance := random.IntN(len(tables))
		c, _ := tables[instance].Pick(e.at, q)
		id := c.Server.ID
		tables[instance].RequestStarted(id, Online)
		read := caches[id].read(l.capacity, q.Prompt)
		if seen[leaf] {
			r.readAgain += float64(read)
		}
		seen[leaf] = true
		slowdown := 1 + slowdownBeside*float64(inFlight[id])
		first := time.Duration(float64(modelFirst)*slowdown) + time.Duration(read+ownTokens)*modelReading
		first += modelRun / time.Duration(c.Slots) * time.Duration(max(0, inFlight[id]+1-c.Slots))
		r.first += first
		inFlight[id]++
		placed[id]++
		took := first + time.Duration(float64(modelRun)*slowdown*(0.5+random.Float64()))
		heap.Push(queue, event{at: e.at.Add(took), server: id, instance: instance})
	}
	for _, n := range placed {
		r.busiest = max(r.busiest, float64(n*l.servers)/float64(arrivals))
	}
	r.readAgain /= float64(arrivals * (2*segmentTokens + ownTokens))
	r.first /= time.Duration(arrivals)
	return r
}

// Guards against shared segments that are read again by servers while others keep them, against
// later first events than with a choice that ignores prompts, and against segments that make the
// servers that keep them busier than others.
func TestSharedSegmentsAreReadOnce(t *testing.T) {
	calm := promptLoad{servers: 45, inFlight: 3.2, roots: 40, leaves: 398, skew: 0.3, capacity: 147_261}
	low, full, skewed, restarts, short, hot, few := calm, calm, calm, calm, calm, calm, calm
	low.inFlight, full.inFlight, skewed.skew, few.servers = 1, 5.5, 1, 22
	restarts.restartEvery, short.capacity, hot.hotShare = time.Second, 8_000, 0.5
	hubless := hot
	// Instances that choose by reports make requests queue at higher load, whose random waits hide the rest.
	hubless.instances, hubless.inFlight = 40, 2
	seeds := uint64(3)
	if testing.Short() {
		seeds = 1
	}
	for name, c := range map[string]struct {
		promptLoad
		maxReadAgain float64
	}{
		"calm": {calm, maxReadAgain}, "low": {low, maxReadAgain}, "full": {full, maxReadAgain}, "skewed": {skewed, maxReadAgain},
		"few servers": {few, maxReadAgain}, "hot": {hot, maxReadAgain}, "restarts": {restarts, 1}, "short memory": {short, 1}, "hot without a hub": {hubless, 1},
	} {
		for seed := range seeds {
			before, after := c.run(seed, false), c.run(seed, true)
			t.Logf("%s: before %+v, after %+v", name, before, after)
			if after.readAgain > min(c.maxReadAgain, before.readAgain) || after.first > before.first || after.busiest > max(busiestToMean, before.busiest) ||
				c.hotShare > 0 && after.busiest > busiestToMean {
				t.Errorf("%s, seed %d: %+v, before %+v", name, seed, after, before)
			}
		}
	}
}

// Guards against a choice of servers that depends on more than the reports and the given random
// numbers, such as the order of a map: figures of a load could not be reproduced from its seed.
func TestChoiceIsAFunctionOfTheSeed(t *testing.T) {
	hub := promptLoad{servers: 45, inFlight: 3.2, roots: 40, leaves: 398, skew: 0.3, hotShare: 0.5, capacity: 147_261, restartEvery: time.Second}
	hubless := hub
	hubless.instances, hubless.inFlight = 40, 2
	for name, load := range map[string]promptLoad{"with a hub": hub, "without a hub": hubless} {
		for _, known := range []bool{false, true} {
			if first, second := load.run(1, known), load.run(1, known); first != second {
				t.Errorf("%s, KV caches known %v: %+v, and %+v in the second run of the seed", name, known, first, second)
			}
		}
	}
}
