package partition

import (
	"flag"
	"fmt"
	"math/rand/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/record"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

var (
	simSeeds     = flag.Uint64("partition.seeds", 400, "number of seeds of TestSchedule")
	simFirstSeed = flag.Uint64("partition.first", 1, "first seed of TestSchedule")
)

const simSteps = 700

// failer is implemented by testing.T, testing.F and rapid.T.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// sim runs one seeded schedule in virtual time: owners, entry instances and directors
// on a simulated log, and a model of what was acknowledged to callers and directors.
type sim struct {
	t           failer
	faults      []byte // see injectRecord
	rng         *rand.Rand
	now         int64
	log         [][]byte
	scheduled   map[int64][]func() // callbacks by step
	step        int64
	outageUntil int64 // step until which the log is down
	bases       map[int64]bool
	owners      []*simOwner
	jobs        []*recordpb.JobCreated
	lines       map[string][][]byte
	serial      int

	// Model of the acknowledgements.
	callRuns       map[Ref]int       // dispatches of calls
	acked          map[Ref]string    // results of calls acknowledged as recorded
	refused        map[string]bool   // attempts that must not be started any more
	itemRuns       map[string]int    // dispatches of items
	itemAcked      map[string]string // set of items whose results were acknowledged as recorded
	created        map[string]bool   // jobs acknowledged as created
	cancelOutcomes map[string][]byte // outcomes of a job when its cancellation was acknowledged
	counts         map[string]int
}

type simOwner struct {
	name        string
	incarnation uint64
	state       *State
	writer      *Writer
	calls       *CallTracker
	leases      *Leases
	waiters     map[Ticket]func(recorded bool)
	pausedUntil int64 // step until which the instance does nothing
}

// attempt is the state that an entry instance keeps of an attempt.
type attempt struct {
	dispatched, closed bool
	queued             int // CallStarted entries of this attempt queued at any owner
}

// refuse closes an attempt. If its CallStarted was queued only once, and the owner that
// queued it reports that it will not be applied, no start of the attempt may be valid
// later.
func (m *sim) refuse(req BeginRequest, a *attempt) {
	a.closed = true
	if a.queued == 1 {
		m.refused[req.Attempt] = true
	}
}

func (m *sim) fail(format string, args ...any) {
	m.t.Helper()
	m.t.Fatalf("step %d: %s", m.step, fmt.Sprintf(format, args...))
}

func (m *sim) chance(percent int) bool { return m.rng.IntN(100) < percent }

func (m *sim) schedule(steps int, f func()) {
	at := m.step + 1 + int64(steps)
	m.scheduled[at] = append(m.scheduled[at], f)
}

// append adds a payload to the log now, later or never. The writer repeats it in each
// case until it is read back. append reports whether the response says that nothing
// was appended, which is the usual case in an outage.
func (m *sim) append(p []byte) (noEffect bool) {
	write := func() { m.log = append(m.log, p) }
	if m.step < m.outageUntil {
		if m.chance(10) {
			m.schedule(m.rng.IntN(300), write)
			return false
		}
		return m.chance(90)
	}
	switch k := m.rng.IntN(10); {
	case k < 7:
		write()
	case k < 9:
		m.schedule(m.rng.IntN(200), write)
	default:
		return m.chance(50)
	}
	return false
}

func (o *simOwner) restart(m *sim) {
	o.incarnation++
	o.state = New()
	if n := len(m.log); n > 0 && m.chance(80) {
		if base, ok := DecodeBase(m.log[n-1]); ok {
			o.state = NewFromSnapshot(base)
		}
	}
	o.writer = NewWriter(o.name, o.incarnation)
	o.resetTrackers(m)
}

func (o *simOwner) resetTrackers(m *sim) {
	o.calls, o.leases, o.waiters = NewCallTracker(), NewLeases(o.state, m.now, 300), map[Ticket]func(bool){}
}

// tick reads some records and starts or repeats an append.
func (o *simOwner) tick(m *sim) {
	if m.step >= m.outageUntil || m.chance(20) {
		for n := m.rng.IntN(6); n > 0 && o.state.NextOffset() < int64(len(m.log)); n-- {
			o.observe(m, o.state.NextOffset())
		}
	}
	if o.writer.Role() == RoleIdle && o.state.Ready() && o.state.NextOffset() == int64(len(m.log)) && m.chance(o.claimPercent()) {
		if err := o.writer.Claim(o.state); err != nil {
			m.fail("claim: %v", err)
		}
	}
	if o.state.SnapshotDue(m.now, 2000) && m.chance(30) {
		o.writer.BeginSnapshot()
	}
	p, err := o.writer.Next(o.state, m.now)
	if err != nil {
		m.fail("next: %v", err)
	}
	if p != nil && m.append(p) {
		o.writer.NotAppended(p)
	}
}

// claimPercent returns the probability of a claim in percent: higher without an owner,
// low while there is one, as when an instance wrongly considers the owner lost.
func (o *simOwner) claimPercent() int {
	if o.state.Epoch() == 0 || o.state.Owner().Released {
		return 15
	}
	return 1
}

func (o *simOwner) observe(m *sim, offset int64) {
	a := o.state.Apply(offset, m.log[offset])
	p := o.writer.Observe(&a)
	o.notifyWaiters(p.Committed, true)
	if p.Claimed {
		m.counts["claims"]++
	}
	if p.SteppedDown || p.Claimed {
		o.notifyWaiters(o.writer.nextTicket, false)
		o.resetTrackers(m)
	}
	leases := o.leases.Confirm(&a, m.now)
	o.calls.Observe(&a)
	o.leases.Observe(&a)
	if o.writer.Role() == RoleOwner {
		m.dispatchItems(leases)
	}
}

// notifyWaiters calls and removes the waiters up to a ticket, in order.
func (o *simOwner) notifyWaiters(upTo Ticket, recorded bool) {
	for _, t := range sortedKeys(o.waiters) {
		if f := o.waiters[t]; t <= upTo {
			delete(o.waiters, t)
			f(recorded)
		}
	}
}

func (o *simOwner) add(m *sim, done func(bool), entries ...*recordpb.Entry) bool {
	if len(entries) == 0 {
		return true
	}
	t, err := o.writer.Add(entries...)
	if err != nil {
		o.leases.Rollback(entries...)
		return false
	}
	if done != nil {
		o.waiters[t] = done
	}
	return true
}

// randomOwner returns a random instance that considers itself the owner, or nil.
func (m *sim) randomOwner() *simOwner {
	for range 4 {
		o := m.owners[m.rng.IntN(len(m.owners))]
		if o.writer.Role() == RoleOwner && o.pausedUntil <= m.step {
			return o
		}
	}
	return nil
}

func (m *sim) readResult(r Ref, at Location) string {
	b, err := record.Decode(m.log[at.Offset])
	if err != nil {
		m.fail("result of %v: %v", r, err)
	}
	c := CallResultAt(r, at, b)
	if c == nil {
		m.fail("no result of %v at %v", r, at)
	}
	return string(c.Body)
}

// beginCall sends a request with a random key through a random entry instance.
func (m *sim) beginCall() {
	m.serial++
	k := m.rng.IntN(12) + 12*int(m.step/100) // new keys every 100 steps, because most calls end soon
	req := BeginRequest{Ref: Ref{"w", fmt.Sprint("k", k)}, Fingerprint: "f", NonIdempotent: k%2 == 0,
		DeadlineMs: m.now + int64(100+m.rng.IntN(2000)), Instance: fmt.Sprint("e", m.rng.IntN(3)), Attempt: fmt.Sprint("a", m.serial)}
	if m.chance(5) {
		req.Fingerprint = "g"
	}
	m.sendBegin(req, 4, new(attempt))
}

func (m *sim) sendBegin(req BeginRequest, left int, a *attempt) {
	o := m.randomOwner()
	if o == nil || left == 0 || a.closed {
		return
	}
	retry := func(bool) { m.schedule(m.rng.IntN(10), func() { m.sendBegin(req, left-1, a) }) }
	ans := o.calls.Begin(o.state, req, m.now)
	switch ans.Decision {
	case DecisionRun:
		m.schedule(m.rng.IntN(20), func() { m.runCall(req, a) })
		if m.chance(30) {
			retry(true)
		}
	case DecisionDone:
		got := m.readResult(req.Ref, ans.At)
		if want, ok := m.acked[req.Ref]; ok && got != want {
			m.fail("%v is answered with %q after %q was acknowledged", req.Ref, got, want)
		}
		m.acked[req.Ref] = got
	case DecisionNotRun:
		// The answer of a former owner does not exclude that a later owner starts
		// the attempt. The entry instance excludes a run by closing the attempt.
		a.closed = true
	case DecisionWait:
		if len(ans.Entries) == 0 {
			retry(true)
			return
		}
		a.queued++
		o.add(m, func(recorded bool) {
			if recorded {
				retry(true)
			} else {
				m.refuse(req, a) // see Progress.SteppedDown
			}
		}, ans.Entries...)
		if t, w := o.writer.nextTicket-1, o.writer; m.chance(30) || m.step < m.outageUntil {
			m.schedule(m.rng.IntN(6), func() {
				inFlight := w.InFlight()
				if o.writer == w && w.Withdraw(t) {
					if inFlight && !w.InFlight() {
						m.counts["withdrawn in flight"]++
					}
					delete(o.waiters, t)
					o.calls.Forget(req.Ref)
					m.refuse(req, a)
				}
			})
		}
	}
}

func (m *sim) runCall(req BeginRequest, a *attempt) {
	if a.dispatched || a.closed || m.now >= req.DeadlineMs || m.chance(5) {
		return
	}
	a.dispatched = true
	m.counts["call runs"]++
	if m.refused[req.Attempt] {
		m.fail("%v: attempt %s runs after it was refused as not run", req.Ref, req.Attempt)
	}
	if m.callRuns[req.Ref]++; req.NonIdempotent && m.callRuns[req.Ref] > 1 {
		m.fail("non-idempotent call %v dispatched twice", req.Ref)
	}
	m.schedule(m.rng.IntN(60), func() { m.finishCall(req, 6) })
}

func (m *sim) finishCall(req BeginRequest, left int) {
	o := m.randomOwner()
	if o == nil {
		if left > 0 {
			m.schedule(m.rng.IntN(30), func() { m.finishCall(req, left-1) })
		}
		return
	}
	e := o.calls.Finish(o.state, &recordpb.CallFinished{Workspace: req.Ref.Workspace, Key: req.Ref.Key, Body: []byte(req.Attempt),
		Fingerprint: []byte(req.Fingerprint), NonIdempotent: req.NonIdempotent, Outcome: recordpb.Outcome_OUTCOME_DONE}, m.now)
	if e == nil {
		return
	}
	o.add(m, func(recorded bool) {
		c, ok := o.state.Call(req.Ref)
		if !recorded || !ok || c.Fingerprint != req.Fingerprint {
			return
		}
		got := m.readResult(req.Ref, c.At)
		if want, ok := m.acked[req.Ref]; ok && got != want {
			m.fail("%v is recorded as %q after %q was acknowledged", req.Ref, got, want)
		}
		m.acked[req.Ref] = got
		m.counts["results acknowledged"]++
	}, e)
}

func (m *sim) injectFault() {
	o := m.owners[m.rng.IntN(len(m.owners))]
	switch m.rng.IntN(5) {
	case 0:
		m.outageUntil = m.step + int64(m.rng.IntN(60))
	case 1:
		o.pausedUntil = m.step + int64(m.rng.IntN(150))
	case 2:
		o.restart(m)
	case 3:
		if o.writer.Role() == RoleOwner {
			_ = o.writer.Release(m.now) // fails if a release is already queued
		}
	case 4:
		if len(m.log) > 0 { // delayed duplicate of an earlier append
			m.log = append(m.log, m.log[m.rng.IntN(len(m.log))])
		}
	}
}

func newSim(t failer, seed uint64) *sim {
	m := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 1)), scheduled: map[int64][]func(){}, bases: map[int64]bool{},
		lines: map[string][][]byte{}, callRuns: map[Ref]int{}, acked: map[Ref]string{}, refused: map[string]bool{},
		itemRuns: map[string]int{}, itemAcked: map[string]string{}, created: map[string]bool{}, cancelOutcomes: map[string][]byte{}, counts: map[string]int{}}
	for i := range 3 {
		o := &simOwner{name: fmt.Sprint("o", i)}
		o.restart(m)
		m.owners = append(m.owners, o)
		c := &recordpb.JobCreated{JobId: fmt.Sprint("j", i), FileId: fmt.Sprint("f", i), Weight: 1, NonIdempotent: i == 1}
		for n := range 3 + m.rng.IntN(80) {
			m.lines[c.FileId] = append(m.lines[c.FileId], []byte(fmt.Sprint(n)))
		}
		m.jobs = append(m.jobs, c)
	}
	return m
}

func (m *sim) run() {
	for m.step = 0; m.step < simSteps; m.step++ {
		m.now += 10
		for _, f := range m.scheduled[m.step] {
			f()
		}
		delete(m.scheduled, m.step)
		if m.step%16 == 0 {
			m.injectRecord()
		}
		for _, o := range m.owners {
			if o.pausedUntil <= m.step {
				o.tick(m)
			}
		}
		for _, a := range []struct {
			percent int
			f       func()
		}{{25, m.beginCall}, {15, m.advanceJob}, {30, m.leaseItems}, {5, m.copyStale}, {4, m.injectFault}} {
			if m.chance(a.percent) {
				a.f()
			}
		}
	}
}
