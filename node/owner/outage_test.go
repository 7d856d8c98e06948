package owner

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/partition"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// Guards against a request that is refused, or recorded twice, because the answer
// of its append was lost, and against a delayed append that reverts newer state.
func TestLostAndLateAppends(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a := c.startOwner("a")
		c.log.with(func() { c.log.loseAnswers = 3 })
		if out := c.begin(a, "lost", "1", true); !out.Run {
			t.Errorf("begin with a lost answer: %v", out)
		}
		if out := c.finish(a, "lost", "x", true); !out.Recorded {
			t.Errorf("finish with a lost answer: %v", out)
		}
		c.log.with(func() { c.log.delayAppends = 2 })
		if out := c.begin(a, "late", "1", true); !out.Run {
			t.Errorf("begin with a late append: %v", out)
		}
		if out := c.finish(a, "late", "y", true); !out.Recorded {
			t.Errorf("finish with a late append: %v", out)
		}
		c.log.with(func() {
			for _, put := range c.log.delayed {
				put()
			}
		})
		time.Sleep(time.Second)
		for key, body := range map[string]string{"lost": "x", "late": "y"} {
			if out := c.begin(a, key, "2", true); string(out.GetFinished().GetBody()) != body {
				t.Errorf("%s: %v", key, out)
			}
		}
		job := c.createJob(a, 3, false)
		c.log.with(func() { c.log.loseAnswers, c.log.delayAppends = 0, 1 })
		c.pushAll(a, job)
		c.log.with(func() { c.log.delayed[len(c.log.delayed)-1]() })
		if n := c.results(a, job); n != 3 {
			t.Errorf("%d results, want 3", n)
		}
	})
}

// Guards against the delayed claim of a stopped instance that takes the partition
// from its current owner.
func TestLateClaim(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.log.delayAppends = 1
		c.members.prefer("a")
		a := c.start("a")
		time.Sleep(20 * time.Millisecond)
		a.kill()
		c.members.prefer("b", "a")
		b := c.startOwner("b")
		c.log.with(func() {
			for _, put := range c.log.delayed {
				put()
			}
		})
		if out := c.finish(b, "k", "x", false); !out.Recorded {
			t.Errorf("finish after a late claim: %v", out)
		}
	})
}

// Guards against an outage of the log that stops accepted work, lets buffers grow
// without bound, runs a non-idempotent call without a record, or ends with a burst
// of appends from all partitions at once.
func TestOutageOfAnHour(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		var audit auditLog
		c.opts.Audit = &audit
		a := c.startOwner("a")
		job := c.createJob(a, 5000, false)
		c.push(a, job, c.pull(a, 100)) // caches the lines
		c.log.with(func() { c.log.down, c.log.appends = true, 0 })

		first := c.begin(a, "n0", "1", true) // first request after the start of the outage
		if first.Run || first.Refusal.GetCode() != string(api.CodeLogUnavailable) || !first.Refusal.NotRun || first.Refusal.Unknown {
			t.Errorf("non-idempotent call at the start of the outage: %v", first)
		}
		if again := c.begin(a, "n0", "2", true); again.Run || again.Running || !again.Refusal.GetNotRun() {
			t.Errorf("the same call in the outage: %v", again)
		}
		body := make([]byte, 32<<10)
		refused, most := 0, 0
		for k := range 360 {
			time.Sleep(10 * time.Second)
			if out := c.begin(a, fmt.Sprint("n", k+1), "1", true); out.Run || !out.Refusal.GetNotRun() {
				t.Fatalf("non-idempotent call in the outage: %v", out)
			}
			if out := c.begin(a, fmt.Sprint("i", k), "1", false); !out.Run {
				t.Fatalf("idempotent call in the outage: %v", out)
			}
			in := &peerpb.PushResultsRequest{Director: "a", JobId: job, WaitMs: 1}
			for _, it := range c.pull(a, 16) {
				in.Results = append(in.Results, &recordpb.ItemResult{Item: it.Index, Outcome: recordpb.Outcome_OUTCOME_DONE, Body: body})
			}
			out, err := a.PushResults(shortContext(t), in)
			if err != nil {
				t.Fatal(err)
			}
			if len(in.Results) == 0 || out.Refusal.GetNotRun() {
				refused++
			}
			size, _ := query(shortContext(t), a.owners[0], func() (int, *peerpb.Refusal) { return a.owners[0].queueSize, nil })
			most = max(most, size)
		}
		if most > partition.MaxPendingBytes || refused == 0 {
			t.Errorf("%d bytes pending, at most %d allowed; %d rounds without items", most, partition.MaxPendingBytes, refused)
		}
		// A backoff with full jitter below 2 s makes about one append a second.
		c.log.with(func() {
			if c.log.appends > 2*3600 {
				t.Errorf("%d appends during the outage", c.log.appends)
			}
		})
		if _, err := a.Create(shortContext(t), &peerpb.CreateJobRequest{Job: &recordpb.JobCreated{JobId: job, Workspace: workspace}}); err != nil {
			t.Error(err)
		}
		c.log.with(func() { c.log.down = false })
		time.Sleep(5 * time.Second)
		if out := c.begin(a, "n1", "2", true); !out.Run {
			t.Errorf("non-idempotent call after the outage: %v", out)
		}
		if got := c.getJob(a, job); got.Completed <= 100 {
			t.Errorf("job after the outage: %v", got)
		}
		if n := audit.countOf("job without its workspace"); n != 0 {
			t.Errorf("%d audit entries of jobs without their workspace", n)
		}
		for _, kind := range []string{"partition-claimed", "job-accepted", "log-outage-entered", "log-outage-left"} {
			if n := audit.countOf(kind); n != 1 {
				t.Errorf("%d audit entries %q, want 1", n, kind)
			}
		}
		if out := c.begin(a, "n0", "3", true); !out.Run {
			t.Errorf("the first call of the outage does not run after it: %v", out)
		}
		if out := c.begin(a, "n0", "4", true); out.Run {
			t.Errorf("the first call of the outage runs twice: %v", out)
		}
		starts := 0
		for _, b := range c.batches() {
			for _, e := range b.Entries {
				if started := e.GetCallStarted(); started.GetKey() == "n0" {
					starts++
				}
			}
		}
		if starts != 1 {
			t.Errorf("the first call of the outage is recorded as started %d times", starts)
		}
	})
}

// Guards against a call that is refused as not run, or runs again, after one append
// of its start had an unknown outcome and the later ones failed.
func TestOutageAfterLostAnswer(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a := c.startOwner("a")
		c.log.with(func() { c.log.delayAppends = 1 })
		go func() {
			for first := false; !first; time.Sleep(time.Millisecond) {
				c.log.with(func() { first = len(c.log.delayed) == 1; c.log.down = first })
			}
		}()
		if out := c.begin(a, "k", "1", true); out.Run || !out.Refusal.GetUnknown() || out.Refusal.GetNotRun() {
			t.Errorf("call whose start may be recorded: %v", out)
		}
		c.log.with(func() {
			if len(c.log.delayed) != 1 || c.log.appends < 3 {
				t.Fatalf("%d late of %d appends", len(c.log.delayed), c.log.appends)
			}
			c.log.down = false
			c.log.delayed[0]()
		})
		time.Sleep(5 * time.Second)
		if out := c.begin(a, "k", "2", true); out.Run {
			t.Errorf("call whose start is recorded: %v", out)
		}
	})
}

// Guards against an idle owner that never notices the end of an outage and from
// then on refuses every call that must be recorded before it runs.
func TestOutageWithoutWork(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a := c.startOwner("a")
		c.log.with(func() { c.log.down = true })
		if out := c.begin(a, "k", "1", true); out.Run || !out.Refusal.GetNotRun() {
			t.Fatalf("call in the outage: %v", out)
		}
		time.Sleep(time.Minute)
		c.log.with(func() { c.log.down = false })
		time.Sleep(5 * time.Second)
		if out := c.begin(a, "k", "2", true); !out.Run {
			t.Errorf("the same call after the outage: %v", out)
		}
	})
}

// Guards against results that are acknowledged when they are pushed again while
// their first copy still waits for the log, and against resent call results that
// fill the queue.
func TestResentInAnOutage(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a := c.startOwner("a")
		job := c.createJob(a, 10, false)
		items := c.pull(a, 10)
		c.log.with(func() { c.log.down = true })
		for range 100 {
			if r := c.push(a, job, items); r.Refusal == nil {
				t.Fatal("results were acknowledged without a record")
			}
			if f := c.finish(a, "k", string(make([]byte, 100<<10)), false); f.Recorded || f.Refusal.GetCode() != string(api.CodeLogUnavailable) {
				t.Fatalf("finish: %v", f.Refusal)
			}
		}
		again := make(chan *peerpb.PushResultsResponse, 1)
		go func() { again <- c.push(a, job, items) }()
		time.Sleep(time.Second)
		c.log.with(func() { c.log.down = false })
		if r := <-again; r.Refusal != nil || c.results(a, job) != 10 {
			t.Errorf("push at the end of the outage: %v", r)
		}
		if f := c.finish(a, "k", "", false); !f.Recorded || len(f.Stands.Body) != 100<<10 {
			t.Errorf("finish after the outage: %v", f.Refusal)
		}
	})
}

type auditLog struct {
	mu    sync.Mutex
	kinds map[string]int
}

func (l *auditLog) Record(e *recordpb.Audit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.kinds == nil {
		l.kinds = map[string]int{}
	}
	l.kinds[e.Kind]++
	if e.Job != "" && e.Workspace != workspace {
		l.kinds["job without its workspace"]++
	}
}

func (l *auditLog) countOf(kind string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.kinds[kind]
}

// Guards against a non-idempotent item that runs twice: its start is recorded
// before it is delivered, and its outcome is unknown after its director is lost.
func TestNonIdempotentItems(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a := c.startOwner("a")
		job := c.createJob(a, 8, true)
		items := c.pull(a, 4)
		started := 0
		for _, b := range c.batches() {
			for _, e := range b.Entries {
				started += len(e.GetItemsStarted().GetItems())
			}
		}
		if len(items) != 4 || started != 4 {
			t.Fatalf("%d items went out, %d are recorded as started", len(items), started)
		}
		c.push(a, job, items[:2])
		a.kill()
		b := c.start("b")
		c.members.prefer("b", "a")
		c.waitOwned(b, 2*time.Second)
		time.Sleep(2 * defaultLeaseDuration)
		if out := c.getJob(b, job); out.Completed != 2 || out.Unknown != 2 {
			t.Errorf("after the loss of the director: %v", out)
		}
		for len(c.pushAll(b, job)) > 0 {
		}
		if out := c.getJob(b, job); out.Completed != 6 || out.Unknown != 2 || out.Status != string(api.JobCompleted) {
			t.Errorf("at the end: %v", out)
		}
	})
}

// Guards against requests that wait for a running call past their deadline, that
// are not answered when the call ends, or whose number is not bounded.
func TestJoinsAreBounded(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.opts.MaxWaiters = 8
		a := c.startOwner("a")
		if out := c.begin(a, "k", "1", false); !out.Run {
			t.Fatal(out)
		}
		answers := make(chan *peerpb.BeginResponse, 10)
		for k := range 10 {
			go func() { answers <- c.begin(a, "k", fmt.Sprint("join", k), false) }()
		}
		time.Sleep(100 * time.Millisecond)
		for range 2 {
			if out := <-answers; out.Refusal.GetCode() != string(api.CodeOverloaded) {
				t.Errorf("join beyond the bound: %v", out)
			}
		}
		time.Sleep(time.Second)
		c.finish(a, "k", "x", false)
		for range 8 {
			if out := <-answers; string(out.GetFinished().GetBody()) != "x" {
				t.Errorf("join: %v", out)
			}
		}
		if out := c.begin(a, "k2", "1", false); !out.Run {
			t.Fatal(out)
		}
		if out := c.begin(a, "k2", "2", false); !out.Running {
			t.Errorf("join of a call that does not end: %v", out)
		}
	})
}
