package suspect

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var startTime = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// Guards against a request that crashes more than two servers, and against a
// harmless request that is reported as the certain cause. Of many requests, one
// crashes each server on which it produces its fifth token.
func TestOneRequestCrashesTwoServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := NewTracker()
		now := startTime
		n := rapid.IntRange(1, 30).Draw(t, "requests")
		crashing := fmt.Sprint(rapid.IntRange(0, n-1).Draw(t, "crashing"))
		type run struct {
			id     uint64
			server string
			tokens int
		}
		waiting := map[string]bool{}
		for i := range n {
			waiting[fmt.Sprint(i)] = true
		}
		running := map[string]*run{}
		deaths, id := 0, uint64(0)
		for step := 0; len(waiting)+len(running) > 0; step++ {
			if step > 3000 {
				t.Fatalf("%d requests did not run", len(waiting))
			}
			now = now.Add(30 * time.Millisecond)
			for f := range waiting {
				server := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "server"))
				if tr.CanRun(now, server, f) {
					id++
					tr.Started(id, server, f, 0)
					running[f] = &run{id: id, server: server}
					delete(waiting, f)
				}
			}
			for f, r := range running {
				r.tokens++
				tr.Progress(now, r.id, r.tokens)
				if r.tokens == 30 {
					tr.Finished(r.id, true)
					delete(running, f)
				}
			}
			r := running[crashing]
			if r == nil || r.tokens < 5 {
				continue
			}
			deaths++
			rep, _ := tr.ServerDied(now, r.server)
			if rep.Certain && (len(rep.Candidates) != 1 || rep.Candidates[0] != crashing) {
				t.Fatalf("certain candidates %v, want %s", rep.Candidates, crashing)
			}
			for f, o := range running {
				if o.server == r.server {
					delete(running, f)
					if f != crashing || !rep.Certain {
						waiting[f] = true
					}
				}
			}
		}
		if deaths != 2 {
			t.Fatalf("%d servers crashed, want 2", deaths)
		}
	})
}

// Guards against suspects of two instances on one server.
func TestLeaseIsExclusive(t *testing.T) {
	var l Lease
	if !l.Acquire(startTime, "a", time.Minute) || l.Acquire(startTime, "b", time.Minute) || !l.Acquire(startTime, "a", time.Minute) {
		t.Fatal("a second suspect got the lease, or the holder could not renew it")
	}
	l.Release("b")
	if l.Acquire(startTime, "b", time.Minute) {
		t.Fatal("another suspect's release freed the lease")
	}
	if !l.Acquire(startTime.Add(2*time.Minute), "b", time.Minute) {
		t.Fatal("the lease did not expire after its holder was lost")
	}
}

// Guards against harmless requests that stay suspect after a rack or the whole
// service has failed, and against clearing a request that was in flight on several
// of the servers that died together.
func TestMassFailureWithdrawsSuspicions(t *testing.T) {
	tr := NewTracker()
	for i := range 4 {
		tr.Started(uint64(2*i), fmt.Sprint(i), fmt.Sprint("harmless", i), 0)
		tr.Started(uint64(2*i+1), fmt.Sprint(i), "everywhere", 0)
	}
	var last CrashReport
	for i := range 4 {
		last, _ = tr.ServerDied(startTime.Add(time.Duration(i)*time.Millisecond), fmt.Sprint(i))
	}
	for i := range 4 {
		if tr.IsSuspect(startTime, fmt.Sprint("harmless", i)) {
			t.Fatalf("harmless%d is suspect, withdrawn %v", i, last.Withdrawn)
		}
	}
	if !tr.IsSuspect(startTime, "everywhere") {
		t.Fatal("a request on all dead servers is not suspect")
	}
}

// Guards against a report that shows a harmless suspect as the only request in
// flight when a copy of the crashing request, new to this instance, ran beside it.
func TestReportNamesAllInFlight(t *testing.T) {
	tr := NewTracker()
	now := time.Unix(0, 0)
	tr.Started(1, "a", "harmless", 0)
	tr.ServerDied(now, "a")
	now = now.Add(time.Minute)
	tr.Started(2, "b", "harmless", 0)
	tr.Started(3, "b", "new", 0)
	r, ok := tr.ServerDied(now, "b")
	if !ok || !slices.Equal(r.InFlight, []string{"harmless", "new"}) || !slices.Equal(r.Candidates, []string{"harmless"}) {
		t.Fatalf("report %+v", r)
	}
}
