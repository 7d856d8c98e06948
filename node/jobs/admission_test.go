package jobs_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
	"github.com/jacinthnotch/jacinthnotch/node/jobs"
	"github.com/jacinthnotch/jacinthnotch/platform"
	"github.com/jacinthnotch/jacinthnotch/standin/store"
)

// limitTokens is the limit of the tests: ten jobs of one item each.
const limitTokens = 10 * tokensPerItem

// newLimitedCluster returns a cluster whose servers hold all items back until release is
// called.
func newLimitedCluster(t *testing.T) (c *cluster, release func()) {
	t.Helper()
	c = newCluster(t)
	c.maxWaitingTokens = limitTokens
	held := make(chan struct{})
	c.server.respond = func(net.Conn, *http.Request, int) bool { <-held; return false }
	var once sync.Once
	release = func() { once.Do(func() { close(held) }) }
	t.Cleanup(release)
	return c, release
}

// waitingTokens returns the sum of the tokens that wait by the records of the store.
func waitingTokens(t *testing.T, i *instance) int64 {
	t.Helper()
	if err := i.index.CatchUp(t.Context()); err != nil {
		t.Fatal(err)
	}
	tokens := int64(0)
	i.index.Read(func(table *joblog.Table) { tokens = table.Waiting(joblog.WaitingKey{Route: "batch"}).Tokens })
	return tokens
}

// Guards against a sum of waiting tokens above the limit when several instances accept jobs
// at the same moment, against jobs that are refused although they fit, and against jobs
// that are refused for ever once items were finished.
func TestWaitingTokensStayBelowTheLimit(t *testing.T) {
	c, release := newLimitedCluster(t)
	instances := []*instance{c.start("a", 1), c.start("b", 2), c.start("c", 3)}
	var mu sync.Mutex
	codes := map[int]int{}
	var wait sync.WaitGroup
	for n := range 30 {
		wait.Go(func() {
			code, _ := instances[n%3].call(jobs.Submit, fmt.Sprint("j", n), submission(fmt.Sprint("x", n)))
			mu.Lock()
			defer mu.Unlock()
			codes[code]++
		})
	}
	wait.Wait()
	accepted := int64(codes[http.StatusAccepted])
	if got := waitingTokens(t, instances[0]); got != accepted*tokensPerItem || got > limitTokens {
		t.Fatalf("%d tokens wait after %v, limit %d", got, codes, limitTokens)
	}
	if accepted+int64(codes[http.StatusTooManyRequests]+codes[http.StatusServiceUnavailable]) != 30 {
		t.Fatalf("answers %v", codes)
	}
	// Once no instance uses a share any more, the whole limit is used.
	next, acceptedJob := 0, -1
	for end := time.Now().Add(testTimeout); waitingTokens(t, instances[0]) < limitTokens; next++ {
		code, _ := instances[next%3].call(jobs.Submit, fmt.Sprint("k", next), submission(fmt.Sprint("y", next)))
		if code == http.StatusAccepted {
			acceptedJob = next
		}
		if code == http.StatusTooManyRequests {
			t.Fatalf("a job that fits is refused with 429 while %d tokens wait", waitingTokens(t, instances[0]))
		}
		if time.Now().After(end) {
			t.Fatalf("%d tokens wait", waitingTokens(t, instances[0]))
		}
		time.Sleep(20 * time.Millisecond)
	}
	code, _ := instances[1].call(jobs.Submit, "over", submission("over"))
	if code != http.StatusTooManyRequests {
		t.Fatalf("a job above the limit: %d", code)
	}
	if acceptedJob < 0 {
		t.Fatal("no job is accepted after the burst")
	}
	again, _ := instances[2].call(jobs.Submit, fmt.Sprint("k", acceptedJob), submission(fmt.Sprint("y", acceptedJob)))
	if again != http.StatusAccepted {
		t.Fatalf("a job that was accepted comes again at the limit: %d", again)
	}
	release()
	for end := time.Now().Add(testTimeout); code != http.StatusAccepted; code, _ = instances[1].call(jobs.Submit, "over", submission("over")) {
		if time.Now().After(end) {
			t.Fatal("no job is accepted after the items were finished")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a job that is refused with a promise that it has not run although its
// record takes effect, and against a sum above the limit, while the store loses answers,
// applies appends late or resets connections.
func TestLimitWhileTheStoreHasFaults(t *testing.T) {
	for name, fault := range map[string]store.Fault{"lost answers": store.LoseResponse, "late appends": store.DelayAppend, "resets": store.ResetConnection} {
		t.Run(name, func(t *testing.T) {
			c, _ := newLimitedCluster(t)
			a, b := c.start("a", 1), c.start("b", 2)
			promised := map[string]bool{}
			submit := func(i *instance, job string) {
				code, _ := i.call(jobs.Submit, job, submission("item of "+job))
				promised[job] = code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable
			}
			for n := range 4 {
				submit(a, fmt.Sprint("before", n))
			}
			c.store.SetFault(fault, true)
			submit(a, "during a")
			submit(b, "during b")
			c.store.SetFault(store.NoFault, false)
			c.store.ApplyDelayed()
			for n := range 20 {
				submit(b, fmt.Sprint("after", n))
				if got := waitingTokens(t, a); got > limitTokens {
					t.Fatalf("%d tokens wait, limit %d", got, limitTokens)
				}
			}
			a.index.Read(func(table *joblog.Table) {
				for job, refused := range promised {
					if refused && table.Job(job) != nil {
						t.Errorf("job %s was refused as not run and is accepted", job)
					}
				}
			})
		})
	}
}

// Guards against an instance that accepts jobs above the limit because it was started after
// the jobs that wait had been accepted.
func TestLimitAfterLossOfAllInstances(t *testing.T) {
	c, _ := newLimitedCluster(t)
	a := c.start("a", 1)
	ids := make([]string, 9)
	for n := range ids {
		ids[n] = fmt.Sprint("x", n)
	}
	submitJob(t, a, "j", ids...)
	a.kill()
	b := c.start("b", 2)
	if code, _ := b.call(jobs.Submit, "k", submission("y", "z")); code != http.StatusTooManyRequests {
		t.Fatalf("a job above the limit after the loss of all instances: %d", code)
	}
	before := c.store.CallCount(platform.PathAppend)
	if code, _ := b.call(jobs.Submit, "l", submission("y", "z")); code != http.StatusTooManyRequests {
		t.Fatalf("the same again: %d", code)
	}
	if n := c.store.CallCount(platform.PathAppend) - before; n > 0 {
		t.Errorf("%d appends for a job that is refused", n)
	}
	// For a few seconds another instance might still use a share that it took before.
	for end := time.Now().Add(testTimeout); ; time.Sleep(50 * time.Millisecond) {
		code, _ := b.call(jobs.Submit, "m", submission("y"))
		if code == http.StatusAccepted {
			break
		}
		if code != http.StatusServiceUnavailable || time.Now().After(end) {
			t.Fatalf("a job that fits: %d", code)
		}
	}
}
