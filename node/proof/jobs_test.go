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

// Guards against an acknowledged job that is lost or made twice when an owner
// dies right after the acknowledgement or the answer to an append is lost.
func TestAcknowledgedJob(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// victim returns the partition whose owner dies; lost is the number of
		// appends whose answers are lost during the creation.
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
			f := start(t, development.Options{Instances: 4, Servers: 4})
			f.settled()
			key := fmt.Sprintf("acknowledged-%d", n)
			j := upload(t, f.callers(0), key, items(key, 60, 16))
			f.Standins.Log.SetFaults(log.Faults{LoseNext: c.lost})
			r, err := j.create(t.Context(), f.callers(0), key)
			if j.id = idOf(r); err != nil || j.id == "" {
				t.Fatalf("create: %v %v", r, err)
			}
			victim := f.owner(c.victim(j, key))
			f.kill(victim)
			live := f.others(victim)
			var again reply
			f.until("the answer to the resend", func() bool {
				again, err = j.create(t.Context(), f.callers(live[1]), key)
				return err == nil && again.status < 500
			})
			if idOf(again) != j.id {
				t.Fatalf("job %s, after the resend: %v", j.id, again)
			}
			other := upload(t, f.callers(live[2]), "other", items("other "+key, 3, 16))
			if r, err = other.create(t.Context(), f.callers(live[2]), key); err != nil || r.status != 409 || r.outcome() != "not-run" {
				t.Fatalf("other content under the key: %v %v", r, err)
			}
			j.once(t, f.callers(live[0]), key)
			jobs := send(t, "GET", f.callers(live[2]), "/v1/batches?limit=100", "")
			if n := countJobs(t, jobs.body); n != 1 {
				t.Errorf("%d jobs, want one: %v", n, jobs)
			}
		})
	}
}

// Guards against a cancelled job that goes on: items that start, streams that run
// on, results of before that are lost, also when the owner dies right after the
// acknowledgement of the cancellation.
func TestCancel(t *testing.T) {
	t.Parallel()
	for _, kill := range []bool{false, true} {
		if kill && testing.Short() {
			break
		}
		t.Run(fmt.Sprintf("owner killed %v", kill), func(t *testing.T) {
			t.Parallel()
			o := quick()
			o.OutputTokens, o.Slots = 400, 8
			f := start(t, development.Options{Instances: 4, Servers: 4, Engine: o})
			f.settled()
			bodies := items("cancelled", 20, 16)
			bodies = append(bodies, items("cancelled long", 200, 400)...)
			j := submit(t, f.callers(0), "cancelled", bodies)
			f.until("some results and streams", func() bool {
				_, running := f.work(bodies)
				return running >= 4 && j.state(t, f.callers(0)).Counts.Completed >= 5
			})
			before := j.state(t, f.callers(0)).Counts.Completed
			p, _ := ident.JobPartition(j.id)
			owner := f.owner(p)
			live := f.others(owner)
			if r := send(t, "POST", f.callers(live[0]), "/v1/batches/"+j.id+"/cancel", ""); r.status != 200 {
				t.Fatalf("cancel: %v", r)
			}
			began := time.Now()
			if kill {
				f.kill(owner)
			}
			var last, idle time.Duration
			started, _ := f.work(bodies)
			f.until("the end of all streams", func() bool {
				s, running := f.work(bodies)
				if s > started {
					started, last = s, time.Since(began)
				}
				idle = time.Since(began)
				return running == 0
			})
			out := j.outcomes(t, f.callers(live[1]), "cancelled")
			// Work that is pulled and completed after the cancellation by the same
			// directors shows that they take up no item of the cancelled job.
			submit(t, f.callers(live[2]), "after", items("after", 100, 16)).once(t, f.callers(live[1]), "after")
			if s, _ := f.work(bodies); s != started {
				t.Errorf("%d items started after the last stream had ended", s-started)
			}
			var sum engine.RunCount
			for _, b := range bodies {
				c := f.runs(b)
				sum.Completed += c.Completed
				sum.Cancelled += c.Cancelled
			}
			if sum.Cancelled == 0 || sum.Completed == len(bodies) {
				t.Errorf("no stream was cancelled on an engine: %+v", sum)
			}
			read := 0
			for _, line := range out {
				if isSuccess(line) {
					read++
				}
			}
			if read < before {
				t.Errorf("%d results are readable, %d were before the cancellation", read, before)
			}
			t.Logf("last start of an item %v after the acknowledgement, last stream ended after %v; %d results before, %d readable",
				last.Round(time.Millisecond), idle.Round(time.Millisecond), before, read)
		})
	}
}

// work returns the runs of some requests and how many of them still run.
func (f *fleet) work(bodies []string) (started, running int) {
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
