package jobs

import (
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func openJob(id, instance string, items int) joblog.Job {
	return joblog.Job{Accepted: joblog.Accepted{Job: id, Items: items, Holder: joblog.Holder{Instance: instance, Incarnation: 1}}, Items: make([]joblog.Item, items), AcceptedAt: epoch}
}

func testRunner(name string) *Runner {
	r := &Runner{Self: joblog.Holder{Instance: name, Incarnation: 1}, Metrics: &Metrics{}}
	r.Init()
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
	j.Items[0].HasResult = true
	r.update(epoch, []joblog.Job{j}, nil)
	if r.work["j"] == nil {
		t.Fatal("the job is dropped with an item left")
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
	if !r.PreemptItem("s") || !stopped[1] || len(stopped) != 1 {
		t.Fatalf("stopped %v", stopped)
	}
	if r.PreemptItem("other") {
		t.Fatal("a slot on a server that has none")
	}
}
