package sim

import (
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/fill"
	"github.com/jacinthnotch/jacinthnotch/policy/trace"
)

type traceEvent = *trace.Event

// jobSource stands in for the partition owners, which hold the jobs: it gives out batch items
// in the order of fill.JobQueue.
type jobSource struct {
	sim                   *simulation
	queue                 *fill.JobQueue
	newItems              map[string][]*item   // not started yet, by job
	returnedItems         map[string][]*item   // preempted or failed, by job; given out before new ones
	jobInfo               map[string]*fill.Job // by job
	names                 []string             // of the jobs, in order of submission
	finishedOutputTokens  int                  // of finished items
	finishedPromptTokens  int                  // of finished items
	finishedItems         int
	tokensSinceAssessment int // output tokens of items finished since the last assessment
	risks                 []fill.DeadlineRisk
}

func newJobSource(s *simulation) *jobSource {
	j := &jobSource{
		sim: s, queue: fill.NewJobQueue(),
		newItems: map[string][]*item{}, returnedItems: map[string][]*item{}, jobInfo: map[string]*fill.Job{},
	}
	s.every(assessInterval, j.assessDeadlines)
	return j
}

// addItem adds the batch item of event i to its job.
func (j *jobSource) addItem(i int, e *trace.Event) {
	if j.sim.cfg.Mode == NoBatch {
		return
	}
	info := j.jobInfo[e.Job]
	if info == nil {
		info = &fill.Job{
			ID: e.Job, Workspace: e.Workspace, Submitted: j.sim.wallTime(), Due: j.sim.wallTime().Add(e.Deadline),
		}
		j.jobInfo[e.Job] = info
		j.names = append(j.names, e.Job)
		// All items of a job arrive at the same virtual time, so the job is complete
		// 1 ns later.
		j.sim.after(time.Nanosecond, func() { j.queue.Upsert(*info) })
	}
	info.Pending++
	info.TokensLeft += float64(e.OutputTokens)
	j.newItems[e.Job] = append(j.newItems[e.Job], &item{eventIndex: i, job: e.Job, template: attempt{event: e}})
}

// nextItem takes the next item of the most urgent job; nil if none is pending.
func (j *jobSource) nextItem() *item {
	name, ok := j.queue.Next()
	if !ok {
		return nil
	}
	from := j.returnedItems
	if len(from[name]) == 0 {
		from = j.newItems
	}
	it := from[name][0]
	from[name] = from[name][1:]
	return it
}

// requeue takes back an item with the output tokens of its attempt, which the next
// attempt continues. a is nil if the item was not started.
func (j *jobSource) requeue(it *item, a *attempt) {
	if a != nil {
		it.template.outputTokens = a.outputTokens
		it.prefilled = it.prefilled || a.hasFirstToken
	}
	j.returnedItems[it.job] = append(j.returnedItems[it.job], it)
	j.queue.Requeue(it.job)
}

// recordFinished counts the tokens of a finished item.
func (j *jobSource) recordFinished(it *item, a *attempt) {
	j.queue.RecordOutput(it.job, float64(a.event.OutputTokens))
	j.finishedOutputTokens += a.event.OutputTokens
	j.finishedPromptTokens += a.event.PromptTokens
	j.tokensSinceAssessment += a.event.OutputTokens
	j.finishedItems++
	if it.template.event == nil {
		j.sim.stats.answeredTwice++
	}
	it.template.event = nil
}

// assessDeadlines records the jobs that would miss their deadline at the rate of output
// tokens since the last assessment.
func (j *jobSource) assessDeadlines() {
	rate := float64(j.tokensSinceAssessment) / assessInterval.Seconds()
	j.tokensSinceAssessment = 0
	if rate > 0 {
		j.risks = append(j.risks, j.queue.AssessDeadlines(j.sim.wallTime(), rate)...)
	}
}
