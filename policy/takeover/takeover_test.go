package takeover

import (
	"fmt"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

const (
	tickInterval = 40 * time.Millisecond
	// defaultReadDelay is the time until all instances have read a new record in calm, and
	// maxReadDelay the one above which they know that they are behind.
	defaultReadDelay = 800 * time.Millisecond
	maxReadDelay     = 2 * time.Second
)

// fleet simulates instances that decide at each tick about one job and read each other's
// claims.
type fleet struct {
	t      *testing.T
	now    time.Time
	tables map[string]*Table
	alive  map[string]uint32
	// holder is the job's holder in the store. The instances still read visibleHolder, and
	// from visibleAt on the holder; visibleAt is zero when both are the same.
	holder        joblog.Holder
	visibleHolder joblog.Holder
	visibleAt     time.Time
	// readDelay is the time until all instances have read a new record.
	readDelay time.Duration
	// claims counts all claims, also those that came too late.
	claims int
}

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{t: t, now: epoch, tables: map[string]*Table{}, alive: map[string]uint32{}, readDelay: defaultReadDelay}
	for i := range size {
		f.start(fmt.Sprint("i", i), 1)
	}
	f.setHolder("i0", 1)
	f.run(2 * startupDelay)
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

func (f *fleet) setHolder(name string, incarnation uint32) {
	f.holder = joblog.Holder{Instance: name, Incarnation: incarnation}
	f.visibleHolder, f.claims = f.holder, 0
}

// run simulates the time d and returns after which time the job got a new holder, or d.
func (f *fleet) run(d time.Duration) time.Duration {
	began, took := f.now, d
	for ; f.now.Sub(began) < d; f.now = f.now.Add(tickInterval) {
		if !f.visibleAt.IsZero() && !f.now.Before(f.visibleAt) {
			f.visibleHolder, f.visibleAt = f.holder, time.Time{}
		}
		for name, table := range f.tables {
			others := map[string]uint32{}
			for n, i := range f.alive {
				if n != name {
					others[n] = i
				}
			}
			// An instance reads the records before the ones that it waits for until then.
			sinceClaim := f.now.Add(f.readDelay).Sub(f.visibleAt)
			table.SetBehind(f.now, !f.visibleAt.IsZero() && sinceClaim > maxReadDelay)
			if table.Decide(f.now, "j", f.visibleHolder, others) != Claim {
				continue
			}
			f.claims++
			if f.holder == f.visibleHolder { // the first claim wins
				f.holder, f.visibleAt, took = table.self, f.now.Add(f.readDelay), f.now.Sub(began)
			}
		}
	}
	return took
}

// Guards against a job that is taken over from a live holder.
func TestHolderKeepsItsJob(t *testing.T) {
	f := newFleet(t, 5)
	f.run(time.Minute)
	if f.claims != 0 {
		t.Fatalf("%d claims, want none", f.claims)
	}
}

// Guards against items that are not run for seconds, while the fleet is nearly idle, after
// a power loss of all instances: each instance knows at once that its earlier incarnation
// is lost.
func TestRestartedInstanceClaimsItsJobsAtOnce(t *testing.T) {
	f := newFleet(t, 5)
	for name := range f.alive {
		f.start(name, 2)
	}
	if took := f.run(time.Minute); took > tickInterval || f.holder != (joblog.Holder{Instance: "i0", Incarnation: 2}) || f.claims != 1 {
		t.Fatalf("claimed after %v by %+v, %d claims; want one at once by the restarted holder", took, f.holder, f.claims)
	}
}

// Guards against a job that no instance or several instances claim after the loss of its
// holder, and against claims of the jobs of a holder that is unreachable only briefly.
func TestJobOfLostHolderIsClaimedOnce(t *testing.T) {
	f := newFleet(t, 5)
	f.kill("i0")
	if took := f.run(lostHolderDelay - tickInterval); f.claims != 0 {
		t.Fatalf("claimed after %v, before the delay for a lost holder is over", took)
	}
	f.run(time.Minute)
	if f.claims != 1 || f.holder.Instance == "i0" {
		t.Fatalf("%d claims, held by %+v; want one claim by another instance", f.claims, f.holder)
	}
}

// Guards against instances that all claim a job one after the other, while the store is too busy for them to
// read the first claim: their claims keep it busy.
func TestInstancesThatAreBehindDoNotClaim(t *testing.T) {
	f := newFleet(t, 50)
	f.kill("i0")
	f.readDelay = 15 * time.Second
	f.run(time.Minute)
	// Those that rank next, and the first one again, may claim before they know that they are behind.
	const most = 1 + int(maxReadDelay/rankDelay) + int(maxReadDelay/claimRetryInterval)
	if f.claims > most || f.holder.Instance == "i0" {
		t.Fatalf("%d claims, held by %+v; want at most %d, by other instances", f.claims, f.holder, most)
	}
}

// Guards against a job that no instance claims for as long as the store is so slow that all of them are behind
// time and again.
func TestInstancesThatAreOftenBehindClaim(t *testing.T) {
	const current, behind, within = 800 * time.Millisecond, 600 * time.Millisecond, 5 * time.Second
	lost := joblog.Holder{Instance: "lost", Incarnation: 1}
	table := NewTable(joblog.Holder{Instance: "a", Incarnation: 1}, epoch)
	now := epoch.Add(startupDelay)
	for end := now.Add(within); now.Before(end); now = now.Add(tickInterval) {
		table.SetBehind(now, now.Sub(epoch)%(current+behind) >= current)
		if table.Decide(now, "j", lost, nil) == Claim {
			return
		}
	}
	t.Errorf("no claim within %v", within)
}

// Guards against a job that is never claimed because the instance that ranks first cannot
// claim, such as one that does not reach the store.
func TestNextInRankingClaims(t *testing.T) {
	f := newFleet(t, 3)
	f.kill("i0")
	f.run(lostHolderDelay - tickInterval)
	for name, table := range f.tables {
		if table.rankPosition("j", map[string]uint32{"i1": 1, "i2": 1}) == 0 {
			delete(f.tables, name) // stays alive, but makes no claims
		}
	}
	if f.run(time.Minute); f.claims != 1 {
		t.Fatalf("%d claims, want 1", f.claims)
	}
}

// Guards against a job that a draining instance released and that waits as long as after
// the loss of its holder.
func TestReleasedJobIsClaimedAtOnce(t *testing.T) {
	f := newFleet(t, 5)
	f.kill("i0")
	f.setHolder("", 0)
	if took := f.run(time.Minute); took > tickInterval || f.claims != 1 {
		t.Fatalf("claimed after %v, %d claims; want one claim at once", took, f.claims)
	}
}

// Guards against an instance that claims the jobs of all others because it has just
// started and has not heard from them yet.
func TestNewInstanceWaitsBeforeItClaims(t *testing.T) {
	f := newFleet(t, 3)
	table := NewTable(joblog.Holder{Instance: "new", Incarnation: 1}, f.now)
	for at := time.Duration(0); at < startupDelay; at += tickInterval {
		if d := table.Decide(f.now.Add(at), "j", f.holder, nil); d != Skip {
			t.Fatalf("decision %v after %v, want Skip", d, at)
		}
	}
}

// Guards against an instance that repeats its claim at each tick until it reads the claim
// back.
func TestClaimIsRepeatedOnlyAfterInterval(t *testing.T) {
	table := NewTable(joblog.Holder{Instance: "a", Incarnation: 2}, epoch)
	old := joblog.Holder{Instance: "a", Incarnation: 1}
	claims := 0
	for at := time.Duration(0); at < 2*claimRetryInterval; at += tickInterval {
		if table.Decide(epoch.Add(at), "j", old, nil) == Claim {
			claims++
		}
	}
	if claims != 2 {
		t.Fatalf("%d claims, want 2", claims)
	}
}
