package fill

import (
	"cmp"
	"slices"
	"time"
)

// Job is a batch job with items that are not yet dispatched.
type Job struct {
	ID        string
	Workspace string
	Submitted time.Time
	Due       time.Time
	// Weight above 1 makes a job more urgent, below 1 less urgent. Zero means 1.
	Weight float64
	// Pending is the number of items not yet dispatched. TokensLeft is the
	// expected number of output tokens of all unfinished items.
	Pending    int
	TokensLeft float64
}

// DeadlineRisk is a job that may miss its due time.
type DeadlineRisk struct {
	Job string
	// Expected is when the job would end at the current rate.
	Expected time.Time
	Due      time.Time
	// Infeasible is set when the job would be late even with all capacity. Such
	// a job is reported but not prioritized, because that would only make other
	// jobs late.
	Infeasible bool
}

// JobQueue orders jobs by urgency. NewJobQueue creates one; the zero value is not
// usable.
type JobQueue struct {
	jobs   map[string]*queuedJob // by job ID
	sorted []*queuedJob          // most urgent first
}

type queuedJob struct {
	Job
	prioritized bool
	atRisk      bool // at the last call of AssessDeadlines
}

// deadlineMargin is the share of the remaining time that is kept in reserve, so
// that a job is prioritized and reported while it can still be on time.
const deadlineMargin = 0.2

// NewJobQueue returns an empty queue.
func NewJobQueue() *JobQueue { return &JobQueue{jobs: map[string]*queuedJob{}} }

// Upsert adds or replaces a job. A prioritized job stays so until the next call of
// AssessDeadlines.
func (j *JobQueue) Upsert(job Job) {
	if job.Weight <= 0 {
		job.Weight = 1
	}
	e := j.jobs[job.ID]
	if e == nil {
		e = &queuedJob{}
		j.jobs[job.ID] = e
		j.sorted = append(j.sorted, e)
	}
	e.Job = job
	j.sort()
}

// Remove removes a finished or cancelled job.
func (j *JobQueue) Remove(id string) {
	delete(j.jobs, id)
	j.sorted = slices.DeleteFunc(j.sorted, func(e *queuedJob) bool { return e.ID == id })
}

// Next takes one item of the most urgent job and returns the job's ID. It returns
// false when no item is pending.
func (j *JobQueue) Next() (job string, ok bool) {
	for _, e := range j.sorted {
		if e.Pending > 0 {
			e.Pending--
			return e.ID, true
		}
	}
	return "", false
}

// Requeue returns an item to its job, for an item that did not run to its end.
func (j *JobQueue) Requeue(job string) {
	if e := j.jobs[job]; e != nil {
		e.Pending++
	}
}

// RecordOutput subtracts output tokens from the job's remaining work.
func (j *JobQueue) RecordOutput(job string, tokens float64) {
	if e := j.jobs[job]; e != nil {
		e.TokensLeft = max(0, e.TokensLeft-tokens)
	}
}

// Pending returns the number of items of all jobs that are not yet dispatched.
func (j *JobQueue) Pending() int {
	n := 0
	for _, e := range j.sorted {
		n += e.Pending
	}
	return n
}

// AssessDeadlines compares the remaining work of the jobs with the rate at which
// batch tokens are produced, in tokens per second. Jobs that would miss their due
// time are prioritized over the others. It returns those that were not at risk at
// the last call.
func (j *JobQueue) AssessDeadlines(now time.Time, rate float64) []DeadlineRisk {
	var out []DeadlineRisk
	for _, e := range j.sorted {
		e.prioritized = false
	}
	j.sort()
	tokensAhead := 0.0
	for _, e := range j.sorted {
		tokensAhead += e.TokensLeft
		expected := completionTime(now, tokensAhead, rate)
		alone := completionTime(now, e.TokensLeft, rate)
		left := e.Due.Sub(now)
		risk := expected.After(now.Add(left - time.Duration(deadlineMargin*float64(left))))
		infeasible := alone.After(e.Due)
		e.prioritized = risk && !infeasible
		if risk && !e.atRisk {
			out = append(out, DeadlineRisk{Job: e.ID, Expected: expected, Due: e.Due, Infeasible: infeasible})
		}
		e.atRisk = risk
	}
	j.sort()
	return out
}

// maxCompletionTime bounds the result of completionTime, which would overflow
// time.Duration at a very low rate.
const maxCompletionTime = 10 * 365 * 24 * time.Hour

// completionTime returns when the tokens are produced at the rate.
func completionTime(now time.Time, tokens, rate float64) time.Time {
	if tokens <= 0 {
		return now
	}
	if rate <= 0 || tokens/rate > maxCompletionTime.Seconds() {
		return now.Add(maxCompletionTime)
	}
	return now.Add(time.Duration(tokens / rate * float64(time.Second)))
}

// sort orders prioritized jobs by due time, and after them the others by weighted
// due time.
func (j *JobQueue) sort() {
	slices.SortFunc(j.sorted, func(a, b *queuedJob) int {
		if a.prioritized != b.prioritized {
			if a.prioritized {
				return -1
			}
			return 1
		}
		x, y := a.weightedDue(), b.weightedDue()
		if a.prioritized {
			x, y = a.Due, b.Due
		}
		return cmp.Or(x.Compare(y), cmp.Compare(a.ID, b.ID))
	})
}

// weightedDue returns the due time with the time allowed for the job divided by
// its weight.
func (e *queuedJob) weightedDue() time.Time {
	return e.Submitted.Add(time.Duration(float64(e.Due.Sub(e.Submitted)) / e.Weight))
}
