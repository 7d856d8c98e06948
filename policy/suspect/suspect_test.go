package suspect

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// Guards against a crashing request that takes down more than two servers, and
// against a harmless request that is named as certain. Many requests run, one
// crashes each server on which it produces its fifth token.
func TestOneRequestTakesTwoServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := NewTracker()
		now := epoch
		n := rapid.IntRange(1, 30).Draw(t, "requests")
		bad := fmt.Sprint(rapid.IntRange(0, n-1).Draw(t, "crashing"))
		type run struct {
			id     uint64
			server string
			tokens int
		}
		todo := map[string]bool{}
		for i := range n {
			todo[fmt.Sprint(i)] = true
		}
		running := map[string]*run{}
		deaths, id := 0, uint64(0)
		for step := 0; len(todo)+len(running) > 0; step++ {
			if step > 3000 {
				t.Fatalf("%d requests never ran", len(todo))
			}
			now = now.Add(30 * time.Millisecond)
			for f := range todo {
				server := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "server"))
				if tr.CanRun(now, server, f) {
					id++
					tr.Started(id, server, f, 0)
					running[f] = &run{id: id, server: server}
					delete(todo, f)
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
			r := running[bad]
			if r == nil || r.tokens < 5 {
				continue
			}
			deaths++
			rep, _ := tr.ServerDied(now, r.server)
			if rep.Certain && (len(rep.Candidates) != 1 || rep.Candidates[0] != bad) {
				t.Fatalf("named %v, want %s", rep.Candidates, bad)
			}
			for f, o := range running {
				if o.server == r.server {
					delete(running, f)
					if f != bad || !rep.Certain {
						todo[f] = true
					}
				}
			}
		}
		if deaths != 2 {
			t.Fatalf("%d servers lost", deaths)
		}
	})
}

// Guards against two suspects of different instances on one server.
func TestGateLetsOneIn(t *testing.T) {
	var g Lease
	if !g.Acquire(epoch, "a", time.Minute) || g.Acquire(epoch, "b", time.Minute) || !g.Acquire(epoch, "a", time.Minute) {
		t.Fatal("the gate let a second suspect in or the first not again")
	}
	g.Release("b")
	if g.Acquire(epoch, "b", time.Minute) {
		t.Fatal("a release by another suspect opened the gate")
	}
	if !g.Acquire(epoch.Add(2*time.Minute), "b", time.Minute) {
		t.Fatal("the gate stays closed after its holder was lost")
	}
}

// Guards against harmless requests that stay suspect after a rack or the whole
// service has failed, and against a request that escapes because it was in
// flight on several of the servers.
func TestMassDeathWithdrawsSuspicion(t *testing.T) {
	tr := NewTracker()
	for i := range 4 {
		tr.Started(uint64(2*i), fmt.Sprint(i), fmt.Sprint("harmless", i), 0)
		tr.Started(uint64(2*i+1), fmt.Sprint(i), "everywhere", 0)
	}
	var last CrashReport
	for i := range 4 {
		last, _ = tr.ServerDied(epoch.Add(time.Duration(i)*time.Millisecond), fmt.Sprint(i))
	}
	for i := range 4 {
		if tr.IsSuspect(epoch, fmt.Sprint("harmless", i)) {
			t.Fatalf("harmless%d is suspect, withdrawn %v", i, last.Withdrawn)
		}
	}
	if !tr.IsSuspect(epoch, "everywhere") {
		t.Fatal("a request on all dead servers is not suspect")
	}
}

// Guards against a harmless suspect that is reported as the only request on a
// server, when a copy of the crashing one that is new here ran beside it.
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
