package proof

import (
	"fmt"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/ident"
	"github.com/jacinthnotch/jacinthnotch/node/development"
	"github.com/jacinthnotch/jacinthnotch/standin/engine"
	"github.com/jacinthnotch/jacinthnotch/standin/log"
)

// Guards against an acknowledged job that is lost or created twice when an owner dies
// right after the acknowledgement or the response to an append is lost.
func TestAcknowledgedJob(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// victim returns the partition whose owner is killed. lost is the number of
		// appends whose responses are lost during the creation.
		victim func(j job, key string) int
		lost   int
	}{
		{"job's owner killed", func(j job, _ string) int { p, _ := ident.JobPartition(j.id); return p }, 0},
		{"key's owner killed", func(_ job, key string) int { return ident.KeyPartition(workspace, key, partitions) }, 0},
		{"answers lost and job's owner killed", func(j job, _ string) int { p, _ := ident.JobPartition(j.id); return p }, 3},
	}
	for n, c := range cases {
		if n > 0 && testing.Short() {
			break
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, development.Options{Instances: 4, Servers: 4})
			f.waitUntilSettled()
			key := fmt.Sprintf("acknowledged-%d", n)
			j := upload(t, f.callersAddress(0), key, itemBodies(key, 60, 16))
			f.Standins.Log.SetFaults(log.Faults{LoseNext: c.lost})
			r, err := j.create(t.Context(), f.callersAddress(0), key)
			if j.id = idOf(r); err != nil || j.id == "" {
				t.Fatalf("create: %v %v", r, err)
			}
			victim := f.waitForOwner(c.victim(j, key))
			f.kill(victim)
			live := f.instancesExcept(victim)
			var again response
			f.waitFor("the response to the repeated request", func() bool {
				again, err = j.create(t.Context(), f.callersAddress(live[1]), key)
				return err == nil && again.status < 500
			})
			if idOf(again) != j.id {
				t.Fatalf("job %s, after the repeated request: %v", j.id, again)
			}
			other := upload(t, f.callersAddress(live[2]), "other", itemBodies("other "+key, 3, 16))
			if r, err = other.create(t.Context(), f.callersAddress(live[2]), key); err != nil || r.status != 409 || r.outcome() != "not-run" {
				t.Fatalf("other content with the same key: %v %v", r, err)
			}
			j.checkExactlyOnce(t, f.callersAddress(live[0]), key)
			jobs := send(t, "GET", f.callersAddress(live[2]), "/v1/batches?limit=100", "")
			if n := countJobs(t, jobs.body); n != 1 {
				t.Errorf("%d jobs, want one: %v", n, jobs)
			}
		})
	}
}

// Guards against a cancelled job that starts items, leaves streams running or loses
// the results that it already had, also if the owner dies right after it has
// acknowledged the cancellation.
func TestCancel(t *testing.T) {
	t.Parallel()
	for _, kill := range []bool{false, true} {
		if kill && testing.Short() {
			break
		}
		t.Run(fmt.Sprintf("owner killed %v", kill), func(t *testing.T) {
			t.Parallel()
			o := fastEngine()
			o.OutputTokens, o.Slots = 400, 8
			f := startFleet(t, development.Options{Instances: 4, Servers: 4, Engine: o})
			f.waitUntilSettled()
			bodies := itemBodies("cancelled", 20, 16)
			bodies = append(bodies, itemBodies("cancelled long", 200, 400)...)
			j := submit(t, f.callersAddress(0), "cancelled", bodies)
			f.waitFor("some results and streams", func() bool {
				_, running := f.startedAndRunning(bodies)
				return running >= 4 && j.state(t, f.callersAddress(0)).Counts.Completed >= 5
			})
			before := j.state(t, f.callersAddress(0)).Counts.Completed
			p, _ := ident.JobPartition(j.id)
			owner := f.waitForOwner(p)
			live := f.instancesExcept(owner)
			if r := send(t, "POST", f.callersAddress(live[0]), "/v1/batches/"+j.id+"/cancel", ""); r.status != 200 {
				t.Fatalf("cancel: %v", r)
			}
			began := time.Now()
			if kill {
				f.kill(owner)
			}
			var lastStart, allEnded time.Duration
			started, _ := f.startedAndRunning(bodies)
			f.waitFor("the end of all streams", func() bool {
				s, running := f.startedAndRunning(bodies)
				if s > started {
					started, lastStart = s, time.Since(began)
				}
				allEnded = time.Since(began)
				return running == 0
			})
			out := j.waitForOutcomes(t, f.callersAddress(live[1]), "cancelled")
			// A second job that the same directors run to its end shows that they start no
			// further item of the cancelled job.
			submit(t, f.callersAddress(live[2]), "after", itemBodies("after", 100, 16)).checkExactlyOnce(t, f.callersAddress(live[1]), "after")
			if s, _ := f.startedAndRunning(bodies); s != started {
				t.Errorf("%d items started after the last stream had ended", s-started)
			}
			var sum engine.RunCount
			for _, b := range bodies {
				c := f.runCount(b)
				sum.Completed += c.Completed
				sum.Cancelled += c.Cancelled
			}
			if sum.Cancelled == 0 || sum.Completed == len(bodies) {
				t.Errorf("no stream was cancelled on an engine: %+v", sum)
			}
			readable := 0
			for _, line := range out {
				if isSuccess(line) {
					readable++
				}
			}
			if readable < before {
				t.Errorf("%d results are readable, %d were before the cancellation", readable, before)
			}
			t.Logf("last start of an item %v after the acknowledgement, last stream ended after %v; %d results before, %d readable",
				lastStart.Round(time.Millisecond), allEnded.Round(time.Millisecond), before, readable)
		})
	}
}

// startedAndRunning returns how often the engines have started the given requests and how
// many of these runs are still in progress.
func (f *fleet) startedAndRunning(bodies []string) (started, running int) {
	for _, e := range f.Engines {
		runs := e.Runs()
		for _, body := range bodies {
			fingerprint, _ := engine.Fingerprint([]byte(body))
			c := runs[fingerprint]
			started += c.Runs
			running += c.Runs - c.Completed - c.Cancelled
		}
	}
	return started, running
}
