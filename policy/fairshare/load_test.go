package fairshare

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	slots     = 100
	runTime   = 200 * time.Millisecond // so that 500 requests a second are finished
	objective = 300 * time.Millisecond
	// firstEvent is the time from the start of a request until its first event while all slots
	// are taken.
	firstEvent = 120 * time.Millisecond
	deadline   = 5 * time.Second
	dayLength  = 30 * time.Second
	step       = time.Millisecond
	sessions   = 50 // of each workspace
)

// source sends requests of one workspace and priority.
type source struct {
	group, workspace string
	priority         int
	// size is the work of each request, with respect to the others.
	size float64
	// rate returns the requests a second at a time.
	rate func(at time.Duration) float64
	// sessions is the number of sessions.
	sessions uint32

	asked, served, inTime         float64
	askedSessions, servedSessions map[uint32]int
}

type attempt struct {
	source        *source
	session       uint32
	sent, arrives time.Duration
	again         bool
}

// play plays a day with one queue before all slots. Without a controller, requests are refused
// that are expected to wait for more than half of their time; callers return once, after
// Retry-After, if it is up to a third of their time.
func play(seed uint64, c *Controller, sources ...*source) {
	random := rand.New(rand.NewPCG(seed, 1))
	free := make([]time.Duration, slots) // when each slot is free again
	var running []time.Duration
	meanRun := runTime // as instances measure it, with the time in the queue
	var retries []attempt
	start := time.Unix(1000, 0)
	offer := func(a attempt) {
		running = slices.DeleteFunc(running, func(end time.Duration) bool { return end <= a.arrives })
		room := Room{Waiting: max(0, len(running)-slots), Slots: slots, RunTime: runTime}
		left, wait := a.sent+deadline-a.arrives, meanRun*time.Duration(room.Waiting)/slots
		refused, retryAfter := wait > left/2, max(200*time.Millisecond, wait)
		if c != nil && !refused {
			d := c.Admit(start.Add(a.arrives), Request{Workspace: a.source.workspace, Priority: a.source.priority, Work: a.source.size, Session: a.session, Objective: objective}, room)
			refused, retryAfter = !d.Admitted, d.RetryAfter
		}
		if refused {
			if !a.again && retryAfter <= left/3 {
				retries = append(retries, attempt{a.source, a.session, a.sent, a.arrives + retryAfter, true})
			}
			return
		}
		slot := 0
		for i := range free {
			if free[i] < free[slot] {
				slot = i
			}
		}
		begins := max(free[slot], a.arrives)
		free[slot] = begins + time.Duration(a.source.size*random.ExpFloat64()*float64(runTime))
		running = append(running, free[slot])
		meanRun += (free[slot] - a.arrives - meanRun) / 200
		if free[slot] > a.sent+deadline {
			return
		}
		a.source.served++
		a.source.servedSessions[a.session]++
		if first := begins + firstEvent; first-a.arrives <= objective && (first-a.sent <= objective || a.again) {
			a.source.inTime++
		}
	}
	for _, s := range sources {
		s.asked, s.served, s.inTime, s.askedSessions, s.servedSessions = 0, 0, 0, map[uint32]int{}, map[uint32]int{}
	}
	for at := time.Duration(0); at < dayLength; at += step {
		due := retries
		retries = nil
		for _, a := range due {
			if a.arrives > at {
				retries = append(retries, a)
				continue
			}
			offer(a)
		}
		for _, s := range sources {
			for p := s.rate(at) * step.Seconds(); random.Float64() < p; p-- {
				s.asked++
				session := 1 + random.Uint32N(s.sessions)
				s.askedSessions[session]++
				offer(attempt{s, session, at, at, false})
			}
		}
	}
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// during multiplies a rate from a time on, for a time.
func during(rate, factor float64, from, length time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < from+length {
			return rate * factor
		}
		return rate
	}
}

func many(n int, group string, priority int, size float64, rate func(time.Duration) float64) (list []*source) {
	for i := range n {
		list = append(list, &source{group: group, workspace: fmt.Sprint(group, i), priority: priority, size: size, rate: rate, sessions: sessions})
	}
	return list
}

// share returns the shares that are served, and in time, of the sources of a group, and the
// lowest share in time of one of them. All sources are in the group "".
func share(list []*source, group string) (served, inTime, lowest float64) {
	asked := 0.0
	lowest = 1
	for _, s := range list {
		if (group == "" || s.group == group) && s.asked > 0 {
			asked += s.asked
			served += s.served
			inTime += s.inTime
			lowest = min(lowest, s.inTime/s.asked)
		}
	}
	return served / asked, inTime / asked, lowest
}

// sharedBy gives the sources of two groups the same workspaces.
func sharedBy(a, b []*source) []*source {
	for i := range a {
		b[i].workspace = a[i].workspace
	}
	return append(a, b...)
}

// starvedSessions returns the number of sessions that asked several times and were never served,
// and of all that asked so often.
func starvedSessions(list []*source) (starved, asked int) {
	for _, s := range list {
		for session, n := range s.askedSessions {
			if n < 4 {
				continue
			}
			asked++
			if s.servedSessions[session] == 0 {
				starved++
			}
		}
	}
	return starved, asked
}

func between(rate float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%(5800*time.Millisecond) < 2400*time.Millisecond {
			return 1.9 * rate
		}
		return 0.4 * rate
	}
}

// patterns are loads for which a service has too little room. wantInTime is the share in time
// that each workspace of a group has to get, because it asks for less than its share.
var patterns = []struct {
	name       string
	sources    []*source
	groups     []string // the most urgent first
	wantInTime float64
}{
	{"one workspace sends 9 times its usual for 6 s", append(many(40, "other", 0, 1, steady(10)), many(1, "hot", 0, 1, during(40, 9, 5*time.Second, 6*time.Second))...), []string{"other", "hot"}, 0.9},
	{"many small workspaces and a large one", append(many(100, "small", 0, 1, steady(3)), many(1, "large", 0, 1, steady(600))...), []string{"small", "large"}, 0.9},
	{"two priorities at 1.5 times the room", append(many(20, "urgent", 0, 1, steady(18)), many(20, "less", 1, 1, steady(18))...), []string{"urgent", "less"}, 0.9},
	{"large prompts among small", sharedBy(many(20, "small", 0, 1, steady(20)), many(20, "large", 0, 6, steady(3))), []string{"small", "large"}, 0.3},
	{"waves of 0.4 to 1.9 times the mean", many(40, "w", 0, 1, between(11)), []string{"w"}, 0.6},
}

// Guards against workspaces that are late or starve because another one sends more than its
// share, against urgent requests that fare worse than others, against large requests and single
// sessions that starve, and against rejections that cost more callers than they help.
func TestSharesUnderLoad(t *testing.T) {
	seeds := uint64(5)
	if testing.Short() {
		seeds = 1
	}
	for _, p := range patterns {
		t.Run(p.name, func(t *testing.T) {
			for seed := uint64(1); seed <= seeds; seed++ {
				var totals [2]float64
				for i, c := range []*Controller{nil, {}} {
					play(seed, c, p.sources...)
					_, totals[i], _ = share(p.sources, "")
					all, _, _ := share(p.sources, "")
					moreUrgent := 1.0
					for n, group := range p.groups {
						served, inTime, lowest := share(p.sources, group)
						t.Logf("seed %d, with shares %t, %s: served %.3f, in time %.3f, lowest in time %.3f", seed, c != nil, group, served, inTime, lowest)
						if c == nil {
							continue
						}
						if n == 0 && lowest < p.wantInTime {
							t.Errorf("seed %d: %.3f of a workspace's requests in time, want %.2f", seed, lowest, p.wantInTime)
						}
						if served < all/2 {
							t.Errorf("seed %d: group %s is served %.3f, all %.3f", seed, group, served, all)
						}
						if group == "less" && served > moreUrgent {
							t.Errorf("seed %d: group %s is served %.3f, the more urgent one %.3f", seed, group, served, moreUrgent)
						}
						moreUrgent = served
					}
					if starved, asked := starvedSessions(p.sources); c != nil && starved > asked/25 {
						t.Errorf("seed %d: %d of %d sessions are never served", seed, starved, asked)
					}
				}
				if totals[1] < totals[0] {
					t.Errorf("seed %d: %.3f of all in time, without shares %.3f", seed, totals[1], totals[0])
				}
			}
		})
	}
}
