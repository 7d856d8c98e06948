package owner

import (
	"context"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// Guards against a restart of the fleet in which an instance replays and claims
// all partitions at once.
func TestClaimsAreBounded(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.opts.Partitions = 64
		c.members.prefer("a")
		a := c.start("a")
		for start := time.Now(); len(a.Owned()) < 64; time.Sleep(time.Millisecond) {
			if time.Since(start) > 10*time.Second {
				t.Fatalf("%d partitions owned after 10 s", len(a.Owned()))
			}
		}
		if c.log.maxRunning > defaultMaxClaims {
			t.Errorf("%d claims at a time, want at most %d", c.log.maxRunning, defaultMaxClaims)
		}
		if err := a.Drain(shortContext(t)); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a drain during a claim that leaves the partition claimed, so that
// the successor waits for an owner that has stopped.
func TestDrainDuringClaim(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.log.latency = 500 * time.Millisecond
		c.members.prefer("a")
		a, b := c.start("a"), c.start("b")
		time.Sleep(100 * time.Millisecond)
		c.members.prefer("b")
		if err := a.Drain(shortContext(t)); err != nil {
			t.Fatal(err)
		}
		c.waitOwned(b, 2*time.Second)
	})
}

// Guards against a job that will miss its due time and is not reported as at risk,
// and against a backlog that does not reflect the jobs.
func TestBacklogAndRisk(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a := c.startOwner("a")
		job := c.createJob(a, 5000, false) // due in an hour
		for range 30 {
			c.push(a, job, c.pull(a, 1))
			time.Sleep(time.Second)
		}
		info, list := c.getJob(a, job), a.Backlog()
		if !info.AtRisk || info.ItemsPerSecond < 0.3 || info.ItemsPerSecond > 1 {
			t.Errorf("at half an item a second: at risk %v, %.2f items/s", info.AtRisk, info.ItemsPerSecond)
		}
		if len(list) != 1 || list[0].Model != model || list[0].Items != 4970 || list[0].JobsAtRisk != 1 {
			t.Errorf("backlog: %v", list)
		}
		for range 30 {
			c.push(a, job, c.pull(a, 20))
			time.Sleep(time.Second)
		}
		if info = c.getJob(a, job); info.AtRisk {
			t.Errorf("at ten items a second: at risk with %.2f items/s", info.ItemsPerSecond)
		}
		if _, err := a.Cancel(shortContext(t), &peerpb.CancelJobRequest{Workspace: workspace, JobId: job}); err != nil {
			t.Error(err)
		}
		if list = a.Backlog(); len(list) != 0 {
			t.Errorf("backlog after the cancel: %v", list)
		}
	})
}

// Guards against a non-idempotent call that ends as unknown although its caller
// left before its start was appended.
func TestCallerLeaves(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a := c.startOwner("a")
		c.log.with(func() { c.log.latency = time.Second })
		go c.begin(a, "first", "1", true) // keeps the log busy
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithCancel(context.Background())
		left := make(chan *peerpb.BeginResponse, 1)
		go func() {
			out, err := a.Begin(ctx, &peerpb.BeginRequest{Workspace: workspace, Key: "k", Fingerprint: []byte("f"), Attempt: "1",
				NonIdempotent: true, EntryInstance: "a", DeadlineMs: time.Now().Add(time.Minute).UnixMilli()})
			if err != nil {
				t.Error(err)
			}
			left <- out
		}()
		time.Sleep(100 * time.Millisecond)
		cancel()
		if out := <-left; out.Run || out.Refusal == nil {
			t.Errorf("begin of a caller that left: %v", out)
		}
		if out := c.begin(a, "k", "2", true); !out.Run {
			t.Errorf("begin again: %v", out)
		}
		out, err := a.Lookup(shortContext(t), &peerpb.LookupRequest{Workspace: workspace, Key: "unused"})
		if err != nil || out.Refusal.GetCode() != string(api.CodeNotFound) {
			t.Errorf("lookup of an unused key: %v, %v", out, err)
		}
		if _, held := a.Epoch(shortContext(t), 0); !held {
			t.Error("no epoch for the partition held")
		}
	})
}

// Guards against a delayed duplicate of the abandon request of one attempt that
// removes the start of a later attempt, so that the call runs a second time.
func TestLateAbandon(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a := c.startOwner("a")
		for k, want := range []struct {
			attempt string
			run     bool
		}{{"1", true}, {"2", true}, {"3", false}} {
			if out := c.begin(a, "k", want.attempt, true); out.Run != want.run {
				t.Errorf("attempt %s: %v", want.attempt, out)
			}
			if k < 2 {
				if out, err := a.Finish(shortContext(t), &peerpb.FinishRequest{Abandoned: true, Attempt: "1",
					Finished: &recordpb.CallFinished{Workspace: workspace, Key: "k", NonIdempotent: true}}); err != nil || out.Refusal != nil {
					t.Errorf("abandon: %v, %v", out, err)
				}
			}
		}
	})
}
