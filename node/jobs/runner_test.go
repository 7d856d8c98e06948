package jobs

import (
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func openJob(id, instance string, items int) joblog.Job {
	return joblog.Job{Accepted: joblog.Accepted{Job: id, Items: items, Instance: instance, Incarnation: 1}, Items: make([]joblog.Item, items), Seen: epoch}
}

func testRunner(name string) *Runner {
	r := &Runner{Instance: name, Incarnation: 1, Metrics: &Metrics{}}
	r.Start()
	r.started = epoch
	return r
}

// Guards against the duty that schedules items being ended by an item that another
// instance lists while it does not run here. The bench showed it as items left lying
// after the loss of all instances (kme-confirm and swanline-ops, trouble-1).
func TestItemListedElsewhereWhileItDoesNotRunHere(t *testing.T) {
	r := testRunner("a")
	j := openJob("j", "a", 2)
	r.update(epoch, []joblog.Job{j}, nil)
	r.work["j"].items[0] = &run{job: "j"}
	j.Items[0].Listed = true
	r.update(epoch, []joblog.Job{j}, nil)
	if r.work["j"] == nil {
		t.Fatal("the job is dropped with an item left")
	}
}

// Guards against a job that nobody or everybody runs: the instance that accepted it
// does while it lives; after its loss exactly one of the others does, and only once
// the loss has lasted.
func TestOneInstanceRunsAJob(t *testing.T) {
	alive := map[string]uint32{"a": 1, "b": 1, "c": 1, "d": 1}
	runners := map[string]*Runner{}
	for name := range alive {
		runners[name] = testRunner(name)
	}
	holders := func(now time.Time) (names []string) {
		for name, r := range runners {
			others := map[string]uint32{}
			for n, i := range alive {
				if n != name {
					others[n] = i
				}
			}
			j := openJob("j", "a", 1)
			if _, here := alive[name]; here && r.mine(now, &j, others) {
				names = append(names, name)
			}
		}
		return names
	}
	later := epoch.Add(time.Minute)
	if got := holders(later); len(got) != 1 || got[0] != "a" {
		t.Fatalf("run by %v", got)
	}
	delete(alive, "a")
	if got := holders(later); len(got) != 0 {
		t.Fatalf("taken over at once by %v", got)
	}
	if got := holders(later.Add(lostAfter)); len(got) != 1 {
		t.Fatalf("taken over by %v", got)
	}
	// The instance that comes back under its name has forgotten the job.
	alive["a"] = 2
	runners["a"] = testRunner("a")
	runners["a"].Incarnation = 2
	runners["a"].absent["j"] = later
	if got := holders(later.Add(2 * lostAfter)); len(got) != 1 {
		t.Fatalf("after its return run by %v", got)
	}
}

// Guards against a run that goes on after the slot was asked for, and against the one
// with most work being stopped.
func TestYieldStopsTheLatestRun(t *testing.T) {
	r := testRunner("a")
	stopped := map[int]bool{}
	w := &work{items: map[int]*run{}}
	for i := range 3 {
		w.items[i] = &run{busy: true, server: "s", began: epoch.Add(time.Duration(i) * time.Second), stop: func(error) { stopped[i] = true }}
	}
	w.items[2].saving = true // its output is whole
	r.work["j"] = w
	if !r.Yield("s") || !stopped[1] || len(stopped) != 1 {
		t.Fatalf("stopped %v", stopped)
	}
	if r.Yield("other") {
		t.Fatal("a slot on a server that has none")
	}
}
