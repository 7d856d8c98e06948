package owner

import (
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

// Guards against an acknowledged job or result that is lost with its owner, and
// against a takeover that takes longer than 2 s after the loss is noticed.
func TestJobSurvivesItsOwner(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a := c.startOwner("a")
		job := c.createJob(a, 40, false)
		if r := c.push(a, job, c.pull(a, 10)); r.Refusal != nil {
			t.Fatalf("push: %v", r.Refusal)
		}
		c.pull(a, 10) // leases that are lost with a
		a.kill()
		b := c.start("b")
		c.members.prefer("b", "a")
		if took := c.waitOwned(b, 2*time.Second); took > 2*time.Second {
			t.Errorf("takeover took %v", took)
		}
		time.Sleep(maintenancePeriod + busyTickPeriod)
		if n := c.results(b, job); n != 10 {
			t.Errorf("%d results after the takeover, want 10", n)
		}
		for len(c.pushAll(b, job)) > 0 {
		}
		if got := c.getJob(b, job); got.Status != string(api.JobCompleted) || got.Completed != 40 || c.results(b, job) != 40 {
			t.Errorf("job after the takeover: %v", got)
		}
	})
}

func (c *cluster) pushAll(i *instance, job string) []*peerpb.Item {
	items := c.pull(i, 16)
	if len(items) > 0 {
		if r := c.push(i, job, items); r.Refusal != nil {
			c.t.Fatalf("push: %v", r.Refusal)
		}
	}
	return items
}

// Guards against a drain that does not release a partition, and against a successor
// that waits for a lease or the failure detector although it was released.
func TestTakeoverAfterDrain(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a := c.startOwner("a")
		job := c.createJob(a, 5, false)
		b := c.start("b")
		c.members.prefer("b")
		start := time.Now()
		if err := a.Drain(shortContext(t)); err != nil {
			t.Fatal(err)
		}
		c.waitOwned(b, 2*time.Second)
		if took := time.Since(start); took > 2*time.Second {
			t.Errorf("takeover took %v", took)
		}
		if got := c.getJob(b, job); got.Job.Items != 5 {
			t.Errorf("job: %v", got)
		}
		out := c.begin(a, "k", "1", false)
		if out.Refusal.GetCode() != string(api.CodeOwnerUnavailable) || out.Refusal.OwnerHint != "b" || !out.Refusal.NotRun {
			t.Errorf("request to the former owner: %v", out)
		}
	})
}

// Guards against two instances that both consider themselves the preferred owner
// and record different results for a key: the other must see what one acknowledged.
func TestTwoBelieveTheyOwn(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.members.views = map[string]string{"a": "a", "b": "b"}
		a := c.startOwner("a")
		b := c.start("b")
		bodies := map[string]string{}
		for k := range 300 {
			key, i := string(rune('A'+k%40)), a
			if k%2 == 1 {
				i = b
			}
			if out := c.begin(i, key, "x", false); out.Refusal == nil && out.Run {
				if f := c.finish(i, key, i.opts.Instance, false); f.Refusal == nil {
					if body, ok := bodies[key]; ok && body != string(f.Stands.Body) {
						t.Errorf("key %s has two results", key)
					}
					bodies[key] = string(f.Stands.Body)
				}
			}
			time.Sleep(400 * time.Millisecond)
		}
		if len(bodies) != 40 {
			t.Errorf("%d keys have results, want 40", len(bodies))
		}
		for key, body := range bodies {
			out := c.begin(b, key, "y", false)
			if out.Refusal != nil {
				out = c.begin(a, key, "y", false)
			}
			if string(out.GetFinished().GetBody()) != body {
				t.Errorf("key %s: %v, want %s", key, out, body)
			}
		}
	})
}

// Guards against a paused owner whose writes take effect after it resumes, or that
// acknowledges what the new owner does not have.
func TestPausedOwner(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a := c.startOwner("a")
		a.log.pause()
		late := make(chan *peerpb.BeginResponse, 1)
		go func() { late <- c.begin(a, "k", "a1", true) }()
		time.Sleep(time.Second)
		b := c.start("b")
		c.members.prefer("b", "a")
		c.waitOwned(b, 2*time.Second)
		if out := c.begin(b, "k", "b1", true); !out.Run {
			t.Fatalf("begin at the new owner: %v", out)
		}
		a.log.resume()
		if out := <-late; out.Run || out.Refusal == nil {
			t.Errorf("the paused owner answered %v", out)
		}
		if f := c.finish(b, "k", "once", true); !f.Recorded {
			t.Errorf("finish: %v", f)
		}
		if n := len(a.Owned()); n != 0 {
			t.Errorf("the resumed instance still owns %d partitions", n)
		}
	})
}

// Guards against a cancellation after which results are still recorded, or that
// removes results recorded before.
func TestCancelCutsOffResults(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a := c.startOwner("a")
		job := c.createJob(a, 20, false)
		items := c.pull(a, 20)
		c.push(a, job, items[:5])
		out, err := a.Cancel(shortContext(t), &peerpb.CancelJobRequest{Workspace: workspace, JobId: job, Actor: "op"})
		if err != nil || out.Status != string(api.JobCancelled) {
			t.Fatalf("Cancel: %v, %v", out, err)
		}
		if r := c.push(a, job, items[5:]); !r.Cancelled {
			t.Errorf("push after the cancel: %v", r)
		}
		if n := c.results(a, job); n != 5 {
			t.Errorf("%d results, want 5", n)
		}
		if left := c.pull(a, 20); len(left) != 0 {
			t.Errorf("%d items of a cancelled job were leased", len(left))
		}
	})
}

// Guards against calls that never end after their entry instance is lost: the
// idempotent one runs again, the started non-idempotent one ends as unknown.
func TestLostEntryInstance(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a := c.startOwner("a")
		for _, nonIdempotent := range []bool{false, true} {
			key := map[bool]string{false: "i", true: "n"}[nonIdempotent]
			in := &peerpb.BeginRequest{Workspace: workspace, Key: key, Fingerprint: []byte("f"), NonIdempotent: nonIdempotent,
				EntryInstance: "e", Attempt: "1", DeadlineMs: time.Now().Add(time.Hour).UnixMilli()}
			if out, _ := a.Begin(shortContext(t), in); !out.Run {
				t.Fatalf("%s: %v", key, out)
			}
		}
		time.Sleep(2 * time.Second)
		c.members.prefer("a", "e")
		if out := c.begin(a, "i", "2", false); !out.Run {
			t.Errorf("idempotent call: %v", out)
		}
		if out := c.begin(a, "n", "2", true); out.GetFinished().GetOutcome().String() != "OUTCOME_UNKNOWN" {
			t.Errorf("non-idempotent call: %v", out)
		}
	})
}

// Guards against a partition that can no longer be claimed after all instances were
// down for longer than the log keeps records.
func TestExpiredStream(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.log.retention, c.opts.LogRetention = time.Hour, time.Hour
		a := c.startOwner("a")
		c.finish(a, "old", "x", false)
		a.kill()
		time.Sleep(2 * time.Hour)
		c.members.prefer("b", "a")
		b := c.startOwner("b")
		if out := c.finish(b, "new", "y", false); !out.Recorded {
			t.Errorf("finish: %v", out)
		}
		b.kill()
		c.members.prefer("c", "b")
		third := c.startOwner("c")
		if out := c.begin(third, "new", "1", false); string(out.GetFinished().GetBody()) != "y" {
			t.Errorf("call recorded after the gap: %v", out)
		}
	})
}

// Guards against data that expires while it is needed, and against a snapshot that
// a new owner cannot read, over many times the log's retention.
func TestShortRetention(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.log.retention = 2 * time.Hour
		c.opts.LogRetention = 2 * time.Hour
		c.opts.Retention.JobMs = (36 * time.Hour).Milliseconds()
		a := c.startOwner("a")
		job := c.createJob(a, 300, false)
		c.push(a, job, c.pull(a, 100))
		c.finish(a, "kept", "body", false)
		for range 30 {
			time.Sleep(time.Hour)
		}
		if n := c.results(a, job); n != 100 {
			t.Errorf("%d results after 30 h, want 100", n)
		}
		if n := len(c.batches()); n > 200 {
			t.Errorf("%d records within the retention", n)
		}
		a.kill()
		b := c.start("b")
		c.members.prefer("b", "a")
		c.waitOwned(b, 2*time.Second)
		time.Sleep(maintenancePeriod + busyTickPeriod)
		for len(c.pushAll(b, job)) > 0 {
		}
		if n := c.results(b, job); n != 300 {
			t.Errorf("%d results at the new owner, want 300", n)
		}
		// Calls expire after a day, jobs after 36 h here.
		if out := c.begin(b, "kept", "1", false); !out.Run {
			t.Errorf("expired call: %v", out)
		}
		time.Sleep(37 * time.Hour)
		if out, _ := b.Get(shortContext(t), &peerpb.JobRequest{Workspace: workspace, JobId: job}); out.Refusal.GetCode() != string(api.CodeNotFound) {
			t.Errorf("job after its retention: %v", out)
		}
	})
}
