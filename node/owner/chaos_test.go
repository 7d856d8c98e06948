package owner

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

var chaosSeed = flag.Uint64("chaos.seed", 0, "seed of TestChaos; zero runs seeds 1 to 6")

// Guards against combinations of faults that run a non-idempotent call twice, lose
// an acknowledged result or record two results of a call or item. The faults are
// kills, pauses, changes of preference, outages, lost answers and delayed appends.
func TestChaos(t *testing.T) {
	seeds := []uint64{1, 2, 3, 4, 5, 6}
	if *chaosSeed != 0 {
		seeds = []uint64{*chaosSeed}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runCluster(t, func(t *testing.T, c *cluster) { (&chaos{cluster: c, random: rand.New(rand.NewPCG(seed, 0))}).run(t) })
		})
	}
}

type chaos struct {
	*cluster
	mu           sync.Mutex
	random       *rand.Rand
	instances    [3]*instance
	runs         map[string]int    // dispatches by the key of the call
	acknowledged map[string]string // acknowledged results by the key of the call
	items        map[uint32]string // lines of the items with an acknowledged result
	attempts     int
}

func (c *chaos) intN(n int) int { c.mu.Lock(); defer c.mu.Unlock(); return c.random.IntN(n) }

func (c *chaos) instanceAt(i int) *instance { c.mu.Lock(); defer c.mu.Unlock(); return c.instances[i] }

func (c *chaos) run(t *testing.T) {
	c.runs, c.acknowledged, c.items = map[string]int{}, map[string]string{}, map[uint32]string{}
	names := []string{"a", "b", "c"}
	c.instances[0] = c.startOwner("a")
	c.instances[1], c.instances[2] = c.start("b"), c.start("c")
	job := c.createJob(c.instances[0], 400, false)
	var workers sync.WaitGroup
	deadline := time.Now().Add(5 * time.Minute)
	for range 6 {
		workers.Go(func() {
			for time.Now().Before(deadline) {
				c.call(t)
				time.Sleep(time.Duration(c.intN(1000)) * time.Millisecond)
			}
		})
	}
	workers.Go(func() {
		for time.Now().Before(deadline) {
			c.runItems(t, job)
			time.Sleep(time.Duration(c.intN(2000)) * time.Millisecond)
		}
	})
	for time.Now().Before(deadline) {
		c.injectFault(names)
		time.Sleep(time.Duration(c.intN(4000)) * time.Millisecond)
	}
	c.log.with(func() { c.log.down, c.log.loseAnswers, c.log.delayAppends = false, 0, 0 })
	workers.Wait()
	c.members.mu.Lock()
	clear(c.members.views)
	clear(c.members.lost)
	c.members.preferred = "b"
	c.members.mu.Unlock()
	b := c.instanceAt(1)
	time.Sleep(time.Minute)
	c.waitOwned(b, time.Minute)
	c.checkResults(t, b, job)
}

func (c *chaos) injectFault(names []string) {
	i := c.intN(3)
	target := c.instanceAt(i)
	switch c.intN(8) {
	case 0:
		target.kill()
		restarted := c.start(names[i])
		c.mu.Lock()
		c.instances[i] = restarted
		c.mu.Unlock()
	case 1:
		target.log.pause()
		time.Sleep(time.Duration(c.intN(15000)) * time.Millisecond)
		target.log.resume()
	case 2, 3:
		c.members.prefer(names[i])
	case 4:
		other := names[c.intN(3)]
		c.members.mu.Lock()
		c.members.views = map[string]string{names[i]: names[i], other: other}
		c.members.mu.Unlock()
		time.Sleep(time.Duration(c.intN(30000)) * time.Millisecond)
		c.members.mu.Lock()
		clear(c.members.views)
		c.members.mu.Unlock()
	case 5:
		c.log.with(func() { c.log.down = true })
		time.Sleep(time.Duration(c.intN(10000)) * time.Millisecond)
		c.log.with(func() { c.log.down = false })
	case 6:
		lostAnswers := c.intN(4)
		c.log.with(func() { c.log.loseAnswers, c.log.delayAppends = lostAnswers, 3-lostAnswers })
	case 7:
		c.log.with(func() {
			for _, put := range c.log.delayed {
				put()
			}
			c.log.delayed = nil
		})
	}
}

// call begins a call at a random instance. If it has to run, call abandons it or sends
// its result to random instances, several times in both cases.
func (c *chaos) call(t *testing.T) {
	nonIdempotent := c.intN(2) == 0
	key := fmt.Sprint(nonIdempotent, c.intN(60))
	c.mu.Lock()
	c.attempts++
	attempt := fmt.Sprint("attempt ", c.attempts)
	c.mu.Unlock()
	out := c.begin(c.instanceAt(c.intN(3)), key, attempt, nonIdempotent)
	if f := out.Finished; f != nil && f.Outcome == recordpb.Outcome_OUTCOME_DONE {
		c.recordAck(t, key, string(f.Body))
	}
	if !out.Run {
		return
	}
	if c.intN(6) == 0 { // not dispatched
		for range 1 + c.intN(2) {
			if _, err := c.instanceAt(c.intN(3)).Finish(shortContext(t), &peerpb.FinishRequest{Abandoned: true, Attempt: attempt, Finished: &recordpb.CallFinished{
				Workspace: workspace, Key: key, NonIdempotent: nonIdempotent}}); err != nil {
				t.Error(err)
			}
			time.Sleep(time.Duration(c.intN(3000)) * time.Millisecond) // the second is a delayed duplicate
		}
		return
	}
	c.mu.Lock()
	if c.runs[key]++; nonIdempotent && c.runs[key] > 1 {
		t.Errorf("non-idempotent call %s runs %d times", key, c.runs[key])
	}
	c.mu.Unlock()
	time.Sleep(time.Duration(c.intN(3000)) * time.Millisecond)
	for range c.intN(6) {
		if f := c.finish(c.instanceAt(c.intN(3)), key, attempt, nonIdempotent); f.Recorded && f.Stands.Outcome == recordpb.Outcome_OUTCOME_DONE {
			c.recordAck(t, key, string(f.Stands.Body))
		}
	}
}

func (c *chaos) recordAck(t *testing.T, key, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if previous, ok := c.acknowledged[key]; ok && previous != body {
		t.Errorf("call %s has the results %q and %q", key, previous, body)
	}
	c.acknowledged[key] = body
}

// runItems pulls items from one random instance and pushes their results to another.
func (c *chaos) runItems(t *testing.T, job string) {
	items := c.pull(c.instanceAt(c.intN(3)), 1+c.intN(8))
	time.Sleep(time.Duration(c.intN(2000)) * time.Millisecond)
	if len(items) == 0 {
		return
	}
	if r := c.push(c.instanceAt(c.intN(3)), job, items); r.Refusal != nil {
		return
	}
	for _, item := range items {
		c.items[item.Index] = string(item.Line)
	}
}

func (c *chaos) checkResults(t *testing.T, owner *instance, job string) {
	for key, body := range c.acknowledged {
		out, err := owner.Lookup(shortContext(t), &peerpb.LookupRequest{Workspace: workspace, Key: key})
		if err != nil || string(out.GetFinished().GetBody()) != body {
			t.Errorf("acknowledged call %s: %v, %v, want %q", key, out, err, body)
		}
	}
	info := c.getJob(owner, job)
	if got := c.results(owner, job); got < len(c.items) || got != int(info.Completed) {
		t.Errorf("%d results, %d acknowledged, %d completed", got, len(c.items), info.Completed)
	}
	for range 200 {
		if c.getJob(owner, job).Status == string(api.JobCompleted) {
			break
		}
		c.pushAll(owner, job)
		time.Sleep(time.Second)
	}
	if got := c.getJob(owner, job); got.Completed != 400 || c.results(owner, job) != 400 {
		t.Errorf("job at the end: %v", got)
	}
	t.Logf("%d calls tried, %d acknowledged, %d items acknowledged under faults", c.attempts, len(c.acknowledged), len(c.items))
}
