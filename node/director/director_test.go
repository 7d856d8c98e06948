package director

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/servers"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

func (e *fakeEngine) runningNow() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

func (env *testEnv) generated() int {
	n := 0
	for _, e := range env.engines {
		e.mu.Lock()
		n += e.generated
		e.mu.Unlock()
	}
	return n
}

// Guards against idle slots, and against items that are lost or run twice.
func TestCompletesAllItems(t *testing.T) {
	const n = 100
	runInBubble(t, 2, newSource(prompts(n)...), func(t *testing.T, env *testEnv) {
		time.Sleep(time.Minute)
		env.checkResults(t)
		if got := env.generated(); got != n*answerTokens {
			t.Errorf("%d tokens generated, want %d", got, n*answerTokens)
		}
		if env.engines[0].maxRunning < slots-1 {
			t.Errorf("at most %d streams at once on %d slots", env.engines[0].maxRunning, slots)
		}
	})
}

// Guards against online requests that wait behind batch streams, against tokens
// that are generated again after a preemption, and against slots that stay empty
// after the online requests have ended.
func TestPreemptionKeepsTokens(t *testing.T) {
	const n = 100
	runInBubble(t, 1, newSource(prompts(n)...), func(t *testing.T, env *testEnv) {
		e := env.engines[0]
		time.Sleep(2 * time.Second)
		before := e.runningNow()
		var dispatches []*servers.Dispatch
		for range 4 {
			dispatches = append(dispatches, env.sendOnline(t))
		}
		synctest.Wait() // the fake clock does not advance
		if free := slots - e.runningNow(); free < 4 {
			t.Errorf("%d of %d slots free for 4 online requests, %d streams before", free, slots, before)
		}
		if env.pool.Metrics().Preemptions.Value() == 0 {
			t.Error("no stream was preempted")
		}
		for _, d := range dispatches {
			d.Finish(servers.AttemptResult{OK: true})
		}
		time.Sleep(2 * time.Minute)
		env.checkResults(t)
		if got := env.generated(); got > n*answerTokens*105/100 {
			t.Errorf("%d tokens generated for %d, want at most 5%% more", got, n*answerTokens)
		}
	})
}

// Guards against lost tokens and items without a result after a server dies.
func TestItemsResumeAfterServerDeath(t *testing.T) {
	const n = 40
	runInBubble(t, 3, newSource(prompts(n)...), func(t *testing.T, env *testEnv) {
		time.Sleep(time.Second + 250*time.Millisecond)
		close(env.engines[0].dead)
		time.Sleep(2 * time.Minute)
		env.checkResults(t)
	})
}

// Guards against streams of a cancelled job that keep running.
func TestStopJob(t *testing.T) {
	src := newSource(prompts(100)...)
	runInBubble(t, 1, src, func(t *testing.T, env *testEnv) {
		time.Sleep(time.Second)
		src.mu.Lock()
		src.cancel, src.pending = true, nil
		src.mu.Unlock()
		s := &Server{Director: env.director}
		if out, err := s.StopJob(t.Context(), &peerpb.StopJobRequest{JobId: "job"}); err != nil || out.Cancelled == 0 {
			t.Errorf("StopJob = %v, %v", out, err)
		}
		synctest.Wait()
		if n := env.engines[0].runningNow(); n != 0 {
			t.Errorf("%d streams run after the job was cancelled", n)
		}
		before := src.count()
		time.Sleep(10 * time.Second)
		if env.engines[0].runningNow() != 0 || src.count() > before+slots {
			t.Errorf("%d streams run, %d results, %d before", env.engines[0].runningNow(), src.count(), before)
		}
	})
}

// Guards against items that stay leased to an instance that shuts down.
func TestDrainReturnsItems(t *testing.T) {
	src := newSource(prompts(100)...)
	runInBubble(t, 1, src, func(t *testing.T, env *testEnv) {
		time.Sleep(time.Second)
		if err := env.director.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		if n := env.engines[0].runningNow(); n != 0 {
			t.Errorf("%d streams run after the drain", n)
		}
		src.mu.Lock()
		defer src.mu.Unlock()
		if got := len(src.results) + len(src.pending); got != 100 {
			t.Errorf("%d results and %d pending, want 100 together", len(src.results), len(src.pending))
		}
		for _, r := range src.returned {
			if !r.NotRun && !r.Preempted {
				t.Errorf("item %d was returned as a failed attempt", r.Index)
			}
		}
	})
}

// Guards against retries after a permanent refusal, and against failed attempts
// that are returned as not run or preempted.
func TestRefusals(t *testing.T) {
	src := newSource("never", "later")
	runInBubble(t, 1, src, func(t *testing.T, env *testEnv) {
		e := env.engines[0]
		time.Sleep(3 * time.Second)
		src.mu.Lock()
		r := src.results[0]
		attempts := 0
		for _, x := range src.returned {
			if x.Index == 1 && !x.NotRun && !x.Preempted {
				attempts++
			}
		}
		src.mu.Unlock()
		e.mu.Lock()
		runs := maps.Clone(e.runs)
		e.mu.Unlock()
		if r == nil || r.Outcome != recordpb.Outcome_OUTCOME_FAILED || r.Code != "content_refused" || r.Status != 422 || runs["never"] != 1 {
			t.Errorf("refused item: %v after %d runs", r, runs["never"])
		}
		if attempts == 0 {
			t.Errorf("a refusal with 503 was not returned as an attempt: %v, runs %v", src.returned, runs)
		}
	})
}

// Guards against a non-idempotent item that runs twice, after a preemption or the
// death of its server.
func TestNonIdempotentItemsRunOnce(t *testing.T) {
	src := newSource(prompts(8)...)
	src.modify = func(it *peerpb.Item) { it.NonIdempotent = true }
	runInBubble(t, 2, src, func(t *testing.T, env *testEnv) {
		time.Sleep(600 * time.Millisecond)
		for range 2 * slots {
			env.sendOnline(t)
		}
		time.Sleep(50 * time.Millisecond)
		close(env.engines[0].dead)
		time.Sleep(time.Minute)
		for i, p := range src.prompts {
			runs := 0
			for _, e := range env.engines {
				runs += e.runs[p]
			}
			if runs > 1 {
				t.Errorf("item %d ran %d times", i, runs)
			}
		}
		for _, r := range src.results {
			if r.Outcome == recordpb.Outcome_OUTCOME_FAILED {
				t.Errorf("item %d: %v, want done or unknown", r.Item, r.Outcome)
			}
		}
	})
}

// Guards against results that are lost while an owner does not answer.
func TestResultsKeptWhileOwnerUnavailable(t *testing.T) {
	src := newSource(prompts(20)...)
	runInBubble(t, 1, src, func(t *testing.T, env *testEnv) {
		src.mu.Lock()
		src.fail = true
		src.mu.Unlock()
		time.Sleep(20 * time.Second)
		src.mu.Lock()
		src.fail = false
		src.mu.Unlock()
		time.Sleep(time.Minute)
		env.checkResults(t)
	})
}
