package sim

import (
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/fill"
	"github.com/jacinthnotch/jacinthnotch/policy/trace"
)

type eventRef = *trace.Event

// jobSource stands for the partition owners: it gives out items by the order
// of fill.JobQueue.
type jobSource struct {
	sim    *simulation
	jobs   *fill.JobQueue
	fresh  map[string][]*item
	back   map[string][]*item // preempted items, which have made progress
	info   map[string]*fill.Job
	names  []string
	tokens int // finished output tokens
	prompt int // prompt tokens of finished items
	items  int
	recent int
	risks  []fill.DeadlineRisk
}

func newJobSource(s *simulation) *jobSource {
	j := &jobSource{sim: s, jobs: fill.NewJobQueue(), fresh: map[string][]*item{}, back: map[string][]*item{}, info: map[string]*fill.Job{}}
	s.every(assessEvery, j.assess)
	return j
}

func (j *jobSource) add(i int, e *trace.Event) {
	if j.sim.cfg.Mode == NoBatch {
		return
	}
	info := j.info[e.Job]
	if info == nil {
		info = &fill.Job{
			ID: e.Job, Workspace: e.Workspace, Submitted: j.sim.time(), Due: j.sim.time().Add(e.Deadline),
		}
		j.info[e.Job] = info
		j.names = append(j.names, e.Job)
		// All items of a job arrive at one time; it is complete after that.
		j.sim.after(time.Nanosecond, func() { j.jobs.Upsert(*info) })
	}
	info.Pending++
	info.TokensLeft += float64(e.OutputTokens)
	j.fresh[e.Job] = append(j.fresh[e.Job], &item{event: i, job: e.Job, work: run{ev: e}})
}

func (j *jobSource) next() *item {
	name, ok := j.jobs.Next()
	if !ok {
		return nil
	}
	from := j.back
	if len(from[name]) == 0 {
		from = j.fresh
	}
	it := from[name][0]
	from[name] = from[name][1:]
	return it
}

// giveBack takes an item back with the tokens of its run.
func (j *jobSource) giveBack(it *item, r *run) {
	if r != nil {
		it.work.produced = r.produced
		it.warm = it.warm || r.first
	}
	j.back[it.job] = append(j.back[it.job], it)
	j.jobs.Requeue(it.job)
}

func (j *jobSource) done(it *item, r *run) {
	j.jobs.RecordOutput(it.job, float64(r.ev.OutputTokens))
	j.tokens += r.ev.OutputTokens
	j.prompt += r.ev.PromptTokens
	j.recent += r.ev.OutputTokens
	j.items++
	if it.work.ev == nil {
		j.sim.stats.doubled++
	}
	it.work.ev = nil
}

func (j *jobSource) assess() {
	rate := float64(j.recent) / assessEvery.Seconds()
	j.recent = 0
	if rate > 0 {
		j.risks = append(j.risks, j.jobs.AssessDeadlines(j.sim.time(), rate)...)
	}
}
