package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	key   = Key{Route: "batch"}
)

const limit = 1000

// record is a record of the log: the acceptance of a job, or its end.
type record struct {
	job    string
	tokens int64
	end    bool
}

// fleet simulates instances that accept jobs and read each other's records from a log.
type fleet struct {
	now       time.Time
	log       []record
	waiting   int64
	instances []*simInstance
	jobs      int
	// appends are the unconditional appends that have not taken effect yet.
	appends []delayedAppend
}

type delayedAppend struct {
	from   *simInstance
	record record
	due    time.Time
}

// simInstance is one instance with its copy of the state.
type simInstance struct {
	fleet *fleet
	table *Table
	next  int
	sum   Sum
	known map[string]bool
}

func newFleet(size int) *fleet {
	f := &fleet{now: epoch}
	for range size {
		f.instances = append(f.instances, &simInstance{fleet: f, table: NewTable(), known: map[string]bool{}})
	}
	return f
}

// append adds a record to the log.
func (f *fleet) append(r record) {
	f.log = append(f.log, r)
	if r.end {
		f.waiting -= r.tokens
	} else {
		f.waiting += r.tokens
	}
}

// read makes the instance read the log to its end.
func (i *simInstance) read() {
	i.sum.Lowest = i.sum.Waiting
	for _, r := range i.fleet.log[i.next:] {
		if r.end {
			i.sum.Waiting -= r.tokens
			i.sum.Finished += r.tokens
		} else {
			i.sum.Waiting += r.tokens
			i.known[r.job] = true
		}
		i.sum.Lowest = min(i.sum.Lowest, i.sum.Waiting)
	}
	i.next = len(i.fleet.log)
	i.table.Observe(i.fleet.now, key, i.sum, func(job string) bool { return i.known[job] })
}

// submit submits a job and returns the decision. An unconditional append takes effect after
// a delay, a conditional one at once: it would fail if anything came in between.
func (i *simInstance) submit(tokens int64, delay time.Duration) Verdict {
	f := i.fleet
	v := i.table.Decide(f.now, key, limit, tokens, len(f.instances))
	if v.Decision != Accept {
		i.read()
		v = i.table.Decide(f.now, key, limit, tokens, len(f.instances))
	}
	f.jobs++
	r := record{job: fmt.Sprint("j", f.jobs), tokens: tokens}
	switch v.Decision {
	case Accept:
		i.table.Begin(f.now, key, r.job, tokens)
		f.appends = append(f.appends, delayedAppend{i, r, f.now.Add(delay)})
	case AcceptAt:
		f.append(r)
	}
	return v
}

// advance lets time pass and applies the appends that are due.
func (f *fleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	var left []delayedAppend
	for _, a := range f.appends {
		if a.due.After(f.now) {
			left = append(left, a)
			continue
		}
		f.append(a.record)
	}
	f.appends = left
}

// Guards against a sum of waiting tokens above the limit, whatever the instances know when
// they accept jobs at the same moment and however late their records are appended: bursts
// of jobs after calm times, at many instances or at a few of them.
func TestSumStaysBelowTheLimit(t *testing.T) {
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 1))
		f := newFleet(1 + random.IntN(6))
		var open []record
		for range 150 {
			i := f.instances[min(random.IntN(len(f.instances)), random.IntN(len(f.instances)))]
			switch step := random.IntN(20); {
			case step < 2:
				i.read()
			case step < 4:
				f.advance(time.Duration(random.IntN(300)) * time.Millisecond)
			case step == 4:
				// The items of some jobs are finished, so that the sum is low for a moment.
				for _, r := range open[:random.IntN(len(open)+1)] {
					f.append(record{job: r.job, tokens: r.tokens, end: true})
					open = open[1:]
				}
			default:
				before := len(f.log)
				delay := time.Duration(random.Int64N(int64(MaxAppendDelay)))
				i.submit(1+random.Int64N(limit/10), delay)
				open = append(open, f.log[before:]...)
			}
			if f.waiting > limit {
				t.Fatalf("seed %d: %d tokens wait, limit %d", seed, f.waiting, limit)
			}
		}
		f.advance(MaxAppendDelay)
		if f.waiting > limit {
			t.Fatalf("seed %d: %d tokens wait in the end, limit %d", seed, f.waiting, limit)
		}
	}
}

// Guards against jobs that are refused although they fit: one after the other, the limit can
// be used up to the last token once the shares of the others are settled.
func TestTheWholeLimitCanBeUsed(t *testing.T) {
	f := newFleet(5)
	for _, i := range f.instances {
		i.read()
	}
	refused := 0
	for n := 0; f.waiting < limit; n++ {
		i := f.instances[n%len(f.instances)]
		v := i.submit(50, 0)
		f.advance(100 * time.Millisecond)
		switch {
		case v.Decision == Refuse:
			t.Fatalf("a job of 50 tokens is refused while %d of %d wait", f.waiting, limit)
		case v.Decision == Postpone:
			refused++
			f.advance(v.RetryAfter)
		}
		if n > 200 {
			t.Fatalf("%d tokens wait after %d jobs", f.waiting, n)
		}
	}
	if latest := int(settleTime/minRetryAfter) + 1; refused > latest {
		t.Errorf("%d jobs are postponed, want at most %d while shares are settled", refused, latest)
	}
	v := f.instances[0].submit(1, 0)
	if v.Decision != Refuse || v.RetryAfter != maxRetryAfter {
		t.Errorf("a job above the limit: %+v", v)
	}
}

// Guards against a burst of jobs that waits for conditional appends, which exclude each
// other, although the limit is far away.
func TestFarBelowTheLimitNoConditionIsNeeded(t *testing.T) {
	f := newFleet(3)
	for _, i := range f.instances {
		i.read()
	}
	for n, i := range f.instances {
		if v := i.submit(90, time.Second); v.Decision != Accept {
			t.Errorf("job %d: %v", n, v.Decision)
		}
	}
	if v := f.instances[0].submit(90, 0); v.Decision != AcceptAt {
		t.Errorf("a second job at an instance that has used its share: %v", v.Decision)
	}
	i := f.instances[1]
	if v := i.table.Decide(f.now.Add(MaxAge+1), key, limit, 1, 3); v.Decision != AcceptAt {
		t.Errorf("an acceptance on a sum that is too old: %v", v.Decision)
	}
}

// Guards against a retry delay that does not follow the rate at which items are finished.
func TestRetryDelayFollowsTheFinishedItems(t *testing.T) {
	table := NewTable()
	now := epoch
	for n := range int64(60) {
		now = now.Add(time.Second)
		table.Observe(now, key, Sum{Waiting: limit, Lowest: limit, Finished: 200 * n}, func(string) bool { return false })
	}
	v := table.Decide(now, key, limit, 400, 3)
	if want := 2 * time.Second; v.Decision != Refuse || v.RetryAfter < want*9/10 || v.RetryAfter > want*11/10 {
		t.Errorf("400 tokens too many, of which 200 a second are finished: %v after %v, want about %v", v.Decision, v.RetryAfter, want)
	}
}

// BenchmarkDecide measures one decision.
func BenchmarkDecide(b *testing.B) {
	f := newFleet(1)
	f.instances[0].read()
	b.ReportAllocs()
	for b.Loop() {
		f.instances[0].table.Decide(f.now, key, limit, 10, 86)
	}
}
