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

// Guards against a crash of the scheduler when an item that is not running on this
// instance gets a result from another one. The crash left items unfinished after the loss
// of all instances.
func TestInactiveItemGetsResultFromOtherInstance(t *testing.T) {
	r := testRunner("a")
	j := openJob("j", "a", 2)
	r.update(epoch, []joblog.Job{j}, nil)
	r.jobs["j"].items[0] = &itemRun{job: "j"}
	j.Items[0].HasResult = true
	r.update(epoch, []joblog.Job{j}, nil)
	if r.jobs["j"] == nil {
		t.Fatal("the job was removed although an item has no result")
	}
}

// Guards against a run that continues after a preemption, and against preempting the run
// that would lose the most work.
func TestPreemptItemStopsLatestRun(t *testing.T) {
	r := testRunner("a")
	stopped := map[int]bool{}
	js := &jobState{items: map[int]*itemRun{}}
	for i := range 3 {
		js.items[i] = &itemRun{active: true, server: "s", startedAt: epoch.Add(time.Duration(i) * time.Second), cancel: func(error) { stopped[i] = true }}
	}
	js.items[2].saving = true // its output is complete
	r.jobs["j"] = js
	if !r.PreemptItem("s") || !stopped[1] || len(stopped) != 1 {
		t.Fatalf("stopped %v, want only 1", stopped)
	}
	if r.PreemptItem("other") {
		t.Fatal("preempted an item on a server that runs none")
	}
}
