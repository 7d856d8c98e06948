package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/policy/pace"
)

// The servers of these tests share their machines: at any time 15 in 100 of them, in turn, take
// 2.5 times as long, for 0.6 s.
const (
	spellLength   = 600 * time.Millisecond
	spellShare    = 0.15
	spellSlowdown = 2.5
	// spellInstances is the number of instances that send the requests.
	spellServers, spellInstances = 45, 40
)

// sharedMachines are servers on shared machines.
type sharedMachines struct {
	speed []float64
	// slow[i][n] is set if server i is slow in its n-th spell; phase[i] shifts its spells.
	slow  [][]bool
	phase []time.Duration
}

func newSharedMachines(random *rand.Rand, servers int, speeds []float64, length time.Duration) *sharedMachines {
	m := &sharedMachines{}
	for i := range servers {
		m.speed = append(m.speed, speeds[i%len(speeds)])
		m.phase = append(m.phase, time.Duration(random.Int64N(int64(spellLength))))
		spells := make([]bool, length/spellLength+100)
		for n := range spells {
			spells[n] = random.Float64() < spellShare
		}
		m.slow = append(m.slow, spells)
	}
	return m
}

// slowdown returns how slow a server is at a time.
func (m *sharedMachines) slowdown(i int, at time.Time) float64 {
	if m.slow[i][(at.Sub(epoch)+m.phase[i])/spellLength] {
		return spellSlowdown
	}
	return 1
}

// duration returns the time for a piece of work that takes the usual time on a server of speed 1.
func (m *sharedMachines) duration(i int, at time.Time, usual time.Duration) time.Duration {
	left, took := float64(usual)/m.speed[i], time.Duration(0)
	for {
		t := at.Add(took)
		slowdown := m.slowdown(i, t)
		untilChange := spellLength - (t.Sub(epoch)+m.phase[i])%spellLength
		if left*slowdown <= float64(untilChange) {
			return took + time.Duration(left*slowdown)
		}
		left -= float64(untilChange) / slowdown
		took += untilChange
	}
}

// eventKind is the kind of an event of simulateSpells at a server.
type eventKind uint8

const (
	ended   eventKind = iota // a request ended
	began                    // the server began to answer
	stepped                  // the server made a step of an answer
	stated                   // a statement has reached the hub
)

// spellResult is what simulateSpells measures.
type spellResult struct {
	late  float64
	table *Table
}

// simulateSpells runs requests of a length on servers that are slow in turn. Each server states its
// pace when it begins to answer and when it ends, and the hub learns it after age; it is ignored if
// age is negative. Requests that take more than twice the usual time are late.
func simulateSpells(seed uint64, speeds []float64, rate float64, usual, age time.Duration) spellResult {
	const slots, length = 8, 20 * time.Second
	random := rand.New(rand.NewPCG(seed, 1))
	machines := newSharedMachines(random, spellServers, speeds, length)
	table := NewTable(random)
	list := map[string]*serving.Server{}
	for i := range spellServers {
		id := fmt.Sprintf("s%02d", i)
		list[id] = &serving.Server{ID: id, Service: "svc", Slots: slots}
	}
	table.SetServers(epoch, list)
	// Each instance measures the steps of its own requests and reports the mean.
	instances := make([]*Table, spellInstances)
	for i := range instances {
		instances[i] = NewTable(random)
		instances[i].SetServers(epoch, list)
	}
	index := func(id string) int { return int(id[1]-'0')*10 + int(id[2]-'0') }
	queue := &eventQueue{{at: epoch}}
	kinds := map[event]eventKind{}
	push := func(e event, k eventKind) {
		kinds[e] = k
		heap.Push(queue, e)
	}
	state := func(at time.Time, instance int, id string) {
		if age >= 0 {
			s := pace.Statement{Pace: int(100 * machines.slowdown(index(id), at)), At: at}
			instances[instance].RecordPace(id, s)
			push(event{at: at.Add(age), server: id, instance: instance}, stated)
		}
	}
	measure := func(at time.Time, instance int, id string) {
		i := index(id)
		step := time.Duration(float64(usual) / machines.speed[i] * machines.slowdown(i, at) / 20)
		instances[instance].RecordStep(at, id, step)
		if mean := instances[instance].servers[id].stepTime; mean > 0 {
			table.RecordStepTime(id, mean)
		}
	}
	arrivals, late := 0, 0
	for queue.Len() > 0 {
		e := heap.Pop(queue).(event)
		switch {
		case e.at.After(epoch.Add(length)):
			return spellResult{float64(late) / float64(arrivals), table}
		case e.server == "":
		case kinds[e] == stated:
			made := e.at.Add(-age)
			table.RecordPace(e.server, pace.Statement{Pace: int(100 * machines.slowdown(index(e.server), made)), At: made})
			continue
		case kinds[e] == began:
			state(e.at, e.instance, e.server)
			continue
		case kinds[e] == stepped:
			measure(e.at, e.instance, e.server)
			continue
		default:
			measure(e.at, e.instance, e.server)
			state(e.at, e.instance, e.server)
			table.RequestEnded(e.at, e.server, Online, Answered)
			continue
		}
		factor := highFactor
		if e.at.Sub(epoch)%(lowDuration+highDuration) < lowDuration {
			factor = lowFactor
		}
		heap.Push(queue, event{at: e.at.Add(time.Duration(random.ExpFloat64() / (rate * factor) * float64(time.Second)))})
		c, _ := table.Pick(e.at, Query{Service: "svc", CompleteView: true})
		table.RequestStarted(c.Server.ID, Online)
		took, instance := machines.duration(index(c.Server.ID), e.at, usual), random.IntN(spellInstances)
		push(event{at: e.at.Add(took / 20), server: c.Server.ID, instance: instance}, began)
		for n := range 3 {
			push(event{at: e.at.Add(time.Duration(n+1) * took / 5), server: c.Server.ID, instance: instance}, stepped)
		}
		arrivals++
		if float64(took) > 2*float64(usual) {
			late++
		}
		push(event{at: e.at.Add(took), server: c.Server.ID, instance: instance}, ended)
	}
	panic("no more events")
}

// Guards against requests that go to servers which have just said that they are slow, and against
// figures that mislead when they arrive late: with figures that are up to 50 ms old, fewer requests
// are late than without them, of short requests at most two thirds; and older ones do no harm.
func TestSlowSpellsInTurn(t *testing.T) {
	seeds, ages := uint64(6), []time.Duration{-1, 0, 50 * time.Millisecond, 200 * time.Millisecond, time.Second}
	if testing.Short() {
		seeds, ages = 1, ages[:3]
	}
	for _, usual := range []time.Duration{60 * time.Millisecond, 300 * time.Millisecond} {
		// In the waves 6 of 10 slots are taken.
		rate := 0.6 * spellServers * 8 / highFactor / usual.Seconds() / (1 + spellShare*(spellSlowdown-1))
		var ignored float64
		for _, age := range ages {
			late := 0.0
			for seed := range seeds {
				late += simulateSpells(seed, []float64{1}, rate, usual, age).late / float64(seeds)
			}
			t.Logf("requests of %v, figures of age %v: %.3f late", usual, age, late)
			bound := 1.05
			switch {
			case age < 0:
				ignored = late
			case age <= 50*time.Millisecond && usual < 100*time.Millisecond:
				bound = 2.0 / 3
			case age <= 50*time.Millisecond:
				bound = 1
			}
			if late > bound*ignored {
				t.Errorf("requests of %v, figures of age %v: %.3f late, want at most %.2f of the %.3f without them", usual, age, late, bound, ignored)
			}
		}
	}
}

// Guards against servers that count as slow for good because they were slow at the moment, and the
// reverse: of the servers of the speeds 0.6, 1 and 1.6 on shared machines, 99 in 100 pairs of
// different speeds have mean step times in the order of their speeds.
func TestLastingSpeedsAreToldFromSlowSpells(t *testing.T) {
	pairs, wrong := 0, 0
	for seed := range uint64(5) {
		r := simulateSpells(seed, serverSpeeds, 300, 300*time.Millisecond, 20*time.Millisecond)
		var times [3][]time.Duration
		for id, s := range r.table.servers {
			i := (int(id[1]-'0')*10 + int(id[2]-'0')) % len(serverSpeeds)
			times[i] = append(times[i], s.stepTime)
		}
		for i := range 2 {
			for _, slower := range times[i] {
				for _, faster := range times[i+1] {
					pairs++
					if slower <= faster {
						wrong++
					}
				}
			}
		}
	}
	if wrong > pairs/100 {
		t.Errorf("%d of %d pairs of servers are out of order, want at most 1 in 100", wrong, pairs)
	}
}

// Guards against requests for servers whose slots are taken by requests that the hub does not know
// of, as those of an instance that it cannot hear.
func TestSlotsTakenByUnknownRequests(t *testing.T) {
	tb := newTestTable(2, 8)
	tb.RecordPace("s00", pace.Statement{Pace: pace.Usual, Requests: 12, Waiting: 4, At: epoch})
	for range 6 {
		c, ok := tb.Pick(epoch, Query{Service: "svc", CompleteView: true})
		if !ok || c.Server.ID != "s01" {
			t.Fatalf("picked %+v, want s01", c)
		}
		tb.RequestStarted(c.Server.ID, Online)
	}
}

// Guards against reports that tell nothing: a server at its usual pace is reported only after it
// was reported to be slow.
func TestOnlyUnusualPacesAreReported(t *testing.T) {
	tb := newTestTable(1, 8)
	for i, c := range []struct {
		pace, waiting int
		after         time.Duration
		want          bool
	}{
		{100, 0, 0, false}, {250, 0, 0, true}, {100, 0, 0, true}, {100, 0, 0, false}, {104, 0, 0, false}, {100, 2, 0, true},
		{250, 0, 0, true}, {100, 0, 2 * pace.TTL, false},
	} {
		now := epoch.Add(time.Duration(i)*20*time.Millisecond + c.after)
		tb.RecordPace("s00", pace.Statement{Pace: c.pace, Requests: c.waiting, Waiting: c.waiting, At: now})
		if got := len(tb.TakePaces(now)) == 1; got != c.want {
			t.Errorf("statement %d: reported %v, want %v", i, got, c.want)
		}
	}
}
