package workspacequota

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/workspace"
)

// The requirements: in any window of so long a workspace sends at most factor times what its
// quota allows and slack requests more.
const (
	window = 5 * time.Second
	factor = 1.1
	slack  = 20
	// lostAfter is the time after which an instance that is not heard is taken for lost.
	lostAfter = 1500 * time.Millisecond
	// silentAfter is the time after which a hub counts it as lost for the quotas, and
	// mostSilentAfter that if most are silent.
	silentAfter     = 700 * time.Millisecond
	mostSilentAfter = 400 * time.Millisecond
	testReport      = 200 * time.Millisecond
	step            = 10 * time.Millisecond
)

var seedCount = flag.Uint64("seeds", 20, "seeds of each scenario")

var epoch = time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)

// member is one instance of a fleet.
type member struct {
	table       *Table
	name        string
	incarnation uint32
	down        bool
	// part is the part of the network that it is in; frozen instances are in one of their own.
	part, partBefore int
	downBefore       bool
	changedAt        time.Time // of the two
	heardSince       time.Time // as a hub
	reportedAt       time.Time // to it, or when it was asked
	fullLeft         map[int]int
	unanswered       map[int]int
	suspended        map[int]time.Time
	nextReport       time.Time
	reports          int
}

// fleet is a number of instances that rank as hubs in their order.
type fleet struct {
	random   *rand.Rand
	now      time.Time
	members  []*member
	sequence uint64
	late     []lateReport
}

type lateReport struct {
	at time.Time
	to int
	r  Report
}

func newFleet(seed uint64, n int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 7)), now: epoch}
	f.grow(n)
	return f
}

func (f *fleet) grow(n int) {
	for range n {
		m := &member{name: fmt.Sprint("n", len(f.members)), changedAt: f.now}
		f.members = append(f.members, m)
		f.start(m)
	}
}

// start starts an instance, again if it was killed.
func (f *fleet) start(m *member) {
	f.change(m, false, m.part)
	m.incarnation++
	m.table = NewTable(f.now, f.random.Uint64())
	m.heardSince, m.reportedAt = time.Time{}, time.Time{}
	m.fullLeft, m.unanswered, m.suspended = map[int]int{}, map[int]int{}, map[int]time.Time{}
	m.nextReport = f.now.Add(time.Duration(f.random.IntN(200)) * time.Millisecond)
	for _, other := range f.members {
		for i := range f.members {
			if f.members[i] == m {
				delete(other.fullLeft, i)
			}
		}
	}
}

// change records that an instance is killed or started, or moves to a part of the network.
func (f *fleet) change(m *member, down bool, part int) {
	m.downBefore, m.partBefore, m.changedAt = m.down, m.part, f.now
	m.down, m.part = down, part
}

func (m *member) reaches(other *member) bool {
	return !m.down && !other.down && m.part == other.part
}

// believesIn reports whether an instance takes another one for live.
func (f *fleet) believesIn(m, other *member) bool { return f.heard(m, other, lostAfter) }

func (f *fleet) heard(m, other *member, within time.Duration) bool {
	if m == other || m.reaches(other) {
		return true
	}
	before := !other.downBefore && m.partBefore == other.partBefore
	return before && f.now.Sub(other.changedAt) < within || m.part != m.partBefore && f.now.Sub(m.changedAt) < within
}

// hubs returns the two hubs of an instance.
func (f *fleet) hubs(m *member) []int {
	var hubs []int
	for i := 0; i < len(f.members) && len(hubs) < 2; i++ {
		if f.believesIn(m, f.members[i]) {
			hubs = append(hubs, i)
		}
	}
	return hubs
}

// tick delivers and sends reports.
func (f *fleet) tick(quotas map[uint32]workspace.Quota) {
	f.now = f.now.Add(step)
	kept := f.late[:0]
	for _, l := range f.late {
		to := f.members[l.to]
		switch {
		case f.now.Before(l.at):
			kept = append(kept, l)
		case !to.down:
			if f.now.Sub(to.reportedAt) > lostAfter {
				to.heardSince = f.now
			}
			to.reportedAt = f.now
			to.table.Apply(f.now, &l.r)
		}
	}
	f.late = kept
	for _, m := range f.members {
		if m.down || f.now.Before(m.nextReport) {
			continue
		}
		m.nextReport = f.now.Add(testReport)
		heard, heardLately := 0, 0
		for _, other := range f.members {
			if f.heard(m, other, silentAfter) {
				heard++
			}
			if f.heard(m, other, mostSilentAfter) {
				heardLately++
			}
		}
		if 2*heardLately < heard {
			heard = heardLately
		}
		m.table.SetReach(f.now, heard, len(f.members)-heard)
		for w, q := range quotas {
			m.table.SetQuota(f.now, w, q)
		}
		m.reports++
		for rank, h := range f.hubs(m) {
			hub := f.members[h]
			if left, ok := m.fullLeft[h]; rank == 0 && m.reports%2 != 0 && ok && left == 0 {
				continue // it counts its grants itself
			}
			if hub == m || !m.reaches(hub) {
				delete(m.fullLeft, h)
				continue
			}
			if _, ok := m.fullLeft[h]; !ok {
				m.fullLeft[h] = 3
			}
			full := m.fullLeft[h] > 0
			m.fullLeft[h] = max(0, m.fullLeft[h]-1)
			if f.random.IntN(50) == 0 {
				continue // lost
			}
			r := Report{
				Instance: m.name, Incarnation: m.incarnation, IncludedGrants: f.sequence, Uptime: m.table.Uptime(f.now), Full: full,
				Counts: m.table.Counts(f.now, full, testReport*time.Duration(4-2*rank)+50*time.Millisecond),
			}
			f.late = append(f.late, lateReport{f.now.Add(time.Duration(1+f.random.IntN(30)) * time.Millisecond), h, r})
		}
	}
}

// place reports whether an instance sends a request.
func (f *fleet) place(m *member, w uint32, q workspace.Quota) bool {
	asked := false
	for _, h := range f.hubs(m) {
		hub := f.members[h]
		if f.now.Before(m.suspended[h]) {
			continue
		}
		if hub == m || m.reaches(hub) {
			if f.now.Sub(hub.reportedAt) > lostAfter {
				hub.heardSince = f.now
			}
			hub.reportedAt = f.now
			since := hub.heardSince
			if f.now.Sub(since) > 500*time.Millisecond {
				since = time.Time{}
			}
			v := hub.table.Decide(f.now, w, q, Role{HeardSince: since, Standby: f.hubs(hub)[0] != h})
			if !v.Allowed {
				return false
			}
			if hub != m {
				f.sequence++
				hub.table.RecordGrant(f.now, m.name, f.sequence, w)
			}
			m.table.RecordReply(f.now, w, v.Recent)
			m.table.RecordSent(f.now, w, 1)
			return true
		}
		if m.unanswered[h]++; m.unanswered[h]%2 == 0 {
			m.suspended[h] = f.now.Add(500 * time.Millisecond)
		}
		if !asked {
			asked = true
			if f.alone(m, w, q) {
				return true
			}
		}
	}
	return !asked && f.alone(m, w, q)
}

func (f *fleet) alone(m *member, w uint32, q workspace.Quota) bool {
	if !m.table.DecideAlone(f.now, w, q, len(f.members)).Allowed {
		return false
	}
	m.table.RecordSent(f.now, w, 1)
	return true
}

// load is one workspace in a test.
type load struct {
	quota workspace.Quota
	// hot is the factor of its usual rate that it sends in the middle of the test.
	hot float64
	// callers are the instances of its callers.
	callers        []int
	asked, refused int
	sent           []time.Time
	// allowed is the largest quota in force in the last window.
	allowed []workspace.Quota
}

// usualShare is the share of its quota that a workspace usually sends.
const usualShare = 1 / 1.6

// rate returns how many requests a second the workspace sends; usual load comes in waves.
func (l *load) rate(since time.Duration, usual workspace.Quota) float64 {
	rate := usual.Rate * usualShare
	if l.hot > 1 && since > 8*time.Second && since < 22*time.Second {
		return rate * l.hot
	}
	if since%(5800*time.Millisecond) < 2400*time.Millisecond {
		return rate * 1.5
	}
	return rate * 0.65
}

// scenario is a failure; act is called once in each step.
type scenario struct {
	name      string
	instances func(r *rand.Rand) int
	act       func(f *fleet, since time.Duration)
	// quota changes the quota of the hot workspaces; nil for none.
	quota func(q workspace.Quota, since time.Duration) workspace.Quota
	// maxRefused is the largest share of the usual requests that may be refused.
	maxRefused float64
}

func some(r *rand.Rand) int             { return 5 + r.IntN(90) }
func many(*rand.Rand) int               { return 390 }
func at(since, when time.Duration) bool { return since >= when && since < when+step }

func parts(f *fleet, share float64) {
	for _, m := range f.members {
		if f.random.Float64() < share {
			f.change(m, m.down, 1)
		}
	}
}

func heal(f *fleet) {
	for _, m := range f.members {
		if m.part != 0 {
			f.change(m, m.down, 0)
		}
	}
}

func changed(factor float64) func(workspace.Quota, time.Duration) workspace.Quota {
	return func(q workspace.Quota, since time.Duration) workspace.Quota {
		if since > 12*time.Second {
			return workspace.Quota{Rate: q.Rate * factor, Burst: q.Burst * factor}
		}
		return q
	}
}

var scenarios = []scenario{
	{name: "calm", instances: some, act: func(*fleet, time.Duration) {}, maxRefused: 0.0005},
	{name: "many instances", instances: many, act: func(*fleet, time.Duration) {}, maxRefused: 0.0005},
	{name: "first hub killed", instances: some, maxRefused: 0.005, act: func(f *fleet, since time.Duration) {
		if at(since, 11*time.Second) {
			f.change(f.members[0], true, 0)
		}
		if at(since, 15*time.Second) {
			f.start(f.members[0])
		}
	}},
	{name: "both hubs killed", instances: some, maxRefused: 0.02, act: func(f *fleet, since time.Duration) {
		for _, m := range f.members[:2] {
			if at(since, 11*time.Second) {
				f.change(m, true, 0)
			}
			if at(since, 14*time.Second) {
				f.start(m)
			}
		}
	}},
	{name: "hub frozen", instances: some, maxRefused: 0.02, act: func(f *fleet, since time.Duration) {
		if at(since, 11*time.Second) {
			f.change(f.members[0], false, 9)
		}
		if at(since, 14*time.Second) {
			heal(f)
			f.members[0].heardSince = f.now
		}
	}},
	{name: "two instances cut off", instances: func(r *rand.Rand) int { return 30 + r.IntN(60) }, maxRefused: 0.02, act: func(f *fleet, since time.Duration) {
		if at(since, 10*time.Second) {
			f.change(f.members[0], false, 1)
			f.change(f.members[7], false, 2)
		}
		if at(since, 18*time.Second) {
			heal(f)
		}
	}},
	{name: "two halves", instances: some, maxRefused: 0.25, act: func(f *fleet, since time.Duration) {
		if at(since, 10*time.Second) {
			parts(f, 0.5)
		}
		if at(since, 18*time.Second) {
			heal(f)
		}
	}},
	{name: "all killed", instances: some, maxRefused: 0.05, act: func(f *fleet, since time.Duration) {
		for _, m := range f.members {
			if at(since, 11*time.Second) {
				f.change(m, true, 0)
			}
			if m.down && since > 12500*time.Millisecond && f.random.IntN(50) == 0 {
				f.start(m)
			}
		}
	}},
	{name: "lowered", instances: some, act: func(*fleet, time.Duration) {}, quota: changed(0.2), maxRefused: 0.0005},
	{name: "raised", instances: some, act: func(*fleet, time.Duration) {}, quota: changed(3), maxRefused: 0.0005},
	{name: "instances added", instances: some, maxRefused: 0.005, act: func(f *fleet, since time.Duration) {
		if at(since, 11*time.Second) {
			f.grow(len(f.members) * 3 / 4)
		}
	}},
}

// play plays a scenario and returns its workspaces. Four of them are hot.
func play(s *scenario, seed uint64) []*load {
	random := rand.New(rand.NewPCG(seed, 3))
	f := newFleet(seed, s.instances(random))
	var loads []*load
	for i := range 12 {
		l := &load{quota: workspace.Quota{Rate: []float64{2, 10, 80, 380}[i%4], Burst: []float64{4, 10, 60, 380}[i%4]}, hot: 1}
		if i < 4 {
			l.hot = 3 + 6*random.Float64()
		}
		for range 1 + random.IntN(8) {
			l.callers = append(l.callers, random.IntN(len(f.members)))
		}
		loads = append(loads, l)
	}
	quotas := map[uint32]workspace.Quota{}
	for f.now.Sub(epoch) < 30*time.Second {
		since := f.now.Sub(epoch)
		for i, l := range loads {
			quotas[uint32(i)] = l.quota
			if s.quota != nil && l.hot > 1 {
				quotas[uint32(i)] = s.quota(l.quota, since)
			}
		}
		f.tick(quotas)
		s.act(f, since)
		for i, l := range loads {
			for p := l.rate(since, l.quota) * step.Seconds(); random.Float64() < p; p-- {
				// The first callers send most.
				m := f.members[l.callers[min(random.IntN(len(l.callers)), random.IntN(len(l.callers)))]]
				if m.down || m.part == 9 {
					m = f.members[random.IntN(len(f.members))]
				}
				if m.down || m.part == 9 {
					continue
				}
				l.asked++
				if f.place(m, uint32(i), quotas[uint32(i)]) {
					l.sent = append(l.sent, f.now)
					l.allowed = append(l.allowed, quotas[uint32(i)])
				} else {
					l.refused++
				}
			}
		}
	}
	return loads
}

// busiest returns the largest ratio of the requests in a window to what the requirements allow.
func (l *load) busiest() float64 {
	worst, first := 0.0, 0
	for i, at := range l.sent {
		for at.Sub(l.sent[first]) >= window {
			first++
		}
		q := larger(l.allowed[first], l.allowed[i])
		worst = max(worst, float64(i-first+1)/(perWindow(q)*factor+slack))
	}
	return worst
}

// Guards against a workspace that sends more than its quota over all instances, and against
// requests within it that are refused, while hubs are killed or frozen, instances are cut off,
// all are killed, and quotas change.
func TestQuotaOverAllInstances(t *testing.T) {
	seeds := *seedCount
	if testing.Short() {
		seeds = 2
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			worst, asked, refused, hotSent, hotAllowed := 0.0, 0, 0, 0, 0.0
			for seed := range seeds {
				for i, l := range play(&s, seed) {
					over := l.busiest()
					worst = max(worst, over)
					if over > 1 {
						t.Errorf("seed %d: workspace %d sends %.2f times what is allowed", seed, i, over)
					}
					if l.hot > 1 {
						for _, at := range l.sent {
							if d := at.Sub(epoch); d > 8*time.Second && d < 22*time.Second {
								hotSent++
							}
						}
						hotAllowed += l.quota.Rate * 14
						continue
					}
					asked += l.asked
					refused += l.refused
				}
			}
			share := float64(refused) / float64(asked)
			t.Logf("busiest window %.3f of what is allowed, %.5f of the usual requests refused, hot workspaces served %.3f of their rate", worst, share, float64(hotSent)/hotAllowed)
			if share > s.maxRefused {
				t.Errorf("%.5f of the usual requests refused, want at most %.5f", share, s.maxRefused)
			}
		})
	}
}
