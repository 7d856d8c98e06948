package takeover

import (
	"fmt"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

const (
	tick = 40 * time.Millisecond
	// readLag is the time until all instances have read a record.
	readLag = 800 * time.Millisecond
)

// fleet plays instances that decide at each tick and read each other's claims.
type fleet struct {
	t      *testing.T
	now    time.Time
	tables map[string]*Table
	alive  map[string]uint32
	holder joblog.Holder
	// shown is what the instances have read of the holder, from which time on.
	shown   joblog.Holder
	showsAt time.Time
	claims  int
}

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{t: t, now: epoch, tables: map[string]*Table{}, alive: map[string]uint32{}}
	for i := range size {
		f.start(fmt.Sprint("i", i), 1)
	}
	f.hold("i0", 1)
	f.run(2 * startDelay)
	return f
}

func (f *fleet) start(name string, incarnation uint32) {
	f.alive[name] = incarnation
	f.tables[name] = NewTable(joblog.Holder{Instance: name, Incarnation: incarnation}, f.now)
}

func (f *fleet) kill(name string) {
	delete(f.alive, name)
	delete(f.tables, name)
}

func (f *fleet) hold(name string, incarnation uint32) {
	f.holder = joblog.Holder{Instance: name, Incarnation: incarnation}
	f.shown, f.claims = f.holder, 0
}

// run plays for d and returns when the job was claimed with success, or d.
func (f *fleet) run(d time.Duration) time.Duration {
	began, took := f.now, d
	for ; f.now.Sub(began) < d; f.now = f.now.Add(tick) {
		if !f.showsAt.IsZero() && !f.now.Before(f.showsAt) {
			f.shown, f.showsAt = f.holder, time.Time{}
		}
		for name, table := range f.tables {
			others := map[string]uint32{}
			for n, i := range f.alive {
				if n != name {
					others[n] = i
				}
			}
			if table.Decide(f.now, "j", f.shown, others) != Claim {
				continue
			}
			f.claims++
			if f.holder == f.shown { // the first claim stands
				f.holder, f.showsAt, took = table.self, f.now.Add(readLag), f.now.Sub(began)
			}
		}
	}
	return took
}

// Guards against a job that is taken from an instance that runs it.
func TestHolderKeepsItsJob(t *testing.T) {
	f := newFleet(t, 5)
	f.run(time.Minute)
	if f.claims != 0 {
		t.Fatalf("%d claims", f.claims)
	}
}

// Guards against items that lie for seconds, while the fleet is nearly idle, after all
// instances lost power: each of them knows at once that its earlier incarnation is lost.
func TestRestartedInstanceClaimsItsJobsAtOnce(t *testing.T) {
	f := newFleet(t, 5)
	for name := range f.alive {
		f.start(name, 2)
	}
	if took := f.run(time.Minute); took > tick || f.holder != (joblog.Holder{Instance: "i0", Incarnation: 2}) || f.claims != 1 {
		t.Fatalf("claimed after %v by %+v, %d claims", took, f.holder, f.claims)
	}
}

// Guards against a job that nobody or everybody claims after the loss of its holder,
// and against a holder that is lost for a moment losing its jobs.
func TestLostHolder(t *testing.T) {
	f := newFleet(t, 5)
	f.kill("i0")
	if took := f.run(lostAfter - tick); f.claims != 0 {
		t.Fatalf("claimed after %v", took)
	}
	f.run(time.Minute)
	if f.claims != 1 || f.holder.Instance == "i0" {
		t.Fatalf("%d claims, held by %+v", f.claims, f.holder)
	}
}

// Guards against a job that waits for ever for an instance that ranks first and cannot
// claim, such as one that does not reach the store.
func TestNextInstanceClaims(t *testing.T) {
	f := newFleet(t, 3)
	f.kill("i0")
	f.run(lostAfter - tick)
	for name, table := range f.tables {
		if table.position("j", map[string]uint32{"i1": 1, "i2": 1}) == 0 {
			delete(f.tables, name) // it is heard, but does nothing
		}
	}
	if f.run(time.Minute); f.claims != 1 {
		t.Fatalf("%d claims", f.claims)
	}
}

// Guards against a job that a draining instance gave back waiting as if its holder were
// lost.
func TestReleasedJobIsClaimedAtOnce(t *testing.T) {
	f := newFleet(t, 5)
	f.kill("i0")
	f.hold("", 0)
	if took := f.run(time.Minute); took > tick || f.claims != 1 {
		t.Fatalf("claimed after %v, %d claims", took, f.claims)
	}
}

// Guards against an instance that has just started and hears nobody yet claiming the
// jobs of all others.
func TestNewInstanceWaitsBeforeItClaims(t *testing.T) {
	f := newFleet(t, 3)
	table := NewTable(joblog.Holder{Instance: "new", Incarnation: 1}, f.now)
	for at := time.Duration(0); at < startDelay; at += tick {
		if d := table.Decide(f.now.Add(at), "j", f.holder, nil); d != Skip {
			t.Fatalf("decision %v after %v", d, at)
		}
	}
}

// Guards against an instance that claims a job with each look until the claim shows.
func TestClaimIsMadeAgainOnlyAfterAWhile(t *testing.T) {
	table := NewTable(joblog.Holder{Instance: "a", Incarnation: 2}, epoch)
	old := joblog.Holder{Instance: "a", Incarnation: 1}
	claims := 0
	for at := time.Duration(0); at < 2*claimRetry; at += tick {
		if table.Decide(epoch.Add(at), "j", old, nil) == Claim {
			claims++
		}
	}
	if claims != 2 {
		t.Fatalf("%d claims", claims)
	}
}
