package fill

import (
	"cmp"
	"slices"
	"time"
)

// Job is a batch job with items that have not been given out.
type Job struct {
	ID        string
	Workspace string
	Submitted time.Time
	Due       time.Time
	// Weight above 1 brings a job forward, below 1 puts it back; zero is 1.
	Weight float64
	// Pending is the number of items not given out, and TokensLeft the expected
	// output tokens of all items that are not finished.
	Pending    int
	TokensLeft float64
}

// DeadlineRisk is a job that may miss its due time.
type DeadlineRisk struct {
	Job string
	// Expected is when it would end at the present rate.
	Expected time.Time
	Due      time.Time
	// Infeasible is set when the job would be late even with all capacity. Such
	// a job is reported and not raised, because raising it would only make
	// other jobs late.
	Infeasible bool
}

// JobQueue orders jobs. The zero value is not usable; see NewJobs.
type JobQueue struct {
	jobs  map[string]*entry
	order []*entry
}

type entry struct {
	Job
	raised bool
	risk   bool
}

// riskMargin is the part of the remaining time kept as reserve when a job is
// judged, so that it is raised and reported while it can still be saved.
const riskMargin = 0.2

// NewJobQueue returns an empty set of jobs.
func NewJobQueue() *JobQueue { return &JobQueue{jobs: map[string]*entry{}} }

// Upsert adds or replaces a job. A raised job stays raised until Assess.
func (j *JobQueue) Upsert(job Job) {
	if job.Weight <= 0 {
		job.Weight = 1
	}
	e := j.jobs[job.ID]
	if e == nil {
		e = &entry{}
		j.jobs[job.ID] = e
		j.order = append(j.order, e)
	}
	e.Job = job
	j.sort()
}

// Remove forgets a finished or cancelled job.
func (j *JobQueue) Remove(id string) {
	delete(j.jobs, id)
	j.order = slices.DeleteFunc(j.order, func(e *entry) bool { return e.ID == id })
}

// Next takes one item of the most urgent job; false when nothing is pending.
func (j *JobQueue) Next() (job string, ok bool) {
	for _, e := range j.order {
		if e.Pending > 0 {
			e.Pending--
			return e.ID, true
		}
	}
	return "", false
}

// Requeue gives back an item that did not run to its end.
func (j *JobQueue) Requeue(job string) {
	if e := j.jobs[job]; e != nil {
		e.Pending++
	}
}

// RecordOutput records output tokens of a job.
func (j *JobQueue) RecordOutput(job string, tokens float64) {
	if e := j.jobs[job]; e != nil {
		e.TokensLeft = max(0, e.TokensLeft-tokens)
	}
}

// Pending returns the number of items of all jobs not given out.
func (j *JobQueue) Pending() int {
	n := 0
	for _, e := range j.order {
		n += e.Pending
	}
	return n
}

// AssessDeadlines compares the work of the jobs with the rate at which batch tokens are
// produced, in tokens per second. Jobs that would miss their due time are
// raised above the others; the returned list holds those that were not at risk
// at the last call.
func (j *JobQueue) AssessDeadlines(now time.Time, rate float64) []DeadlineRisk {
	var out []DeadlineRisk
	for _, e := range j.order {
		e.raised = false
	}
	j.sort()
	ahead := 0.0
	for _, e := range j.order {
		ahead += e.TokensLeft
		end := finish(now, ahead, rate)
		alone := finish(now, e.TokensLeft, rate)
		left := e.Due.Sub(now)
		risk := end.After(now.Add(left - time.Duration(riskMargin*float64(left))))
		hopeless := alone.After(e.Due)
		e.raised = risk && !hopeless
		if risk && !e.risk {
			out = append(out, DeadlineRisk{Job: e.ID, Expected: end, Due: e.Due, Infeasible: hopeless})
		}
		e.risk = risk
	}
	j.sort()
	return out
}

const farFuture = 10 * 365 * 24 * time.Hour

func finish(now time.Time, tokens, rate float64) time.Time {
	if tokens <= 0 {
		return now
	}
	if rate <= 0 || tokens/rate > farFuture.Seconds() {
		return now.Add(farFuture)
	}
	return now.Add(time.Duration(tokens / rate * float64(time.Second)))
}

// sort puts raised jobs first by due time, and the others by the due time that
// the weight brings forward or puts back.
func (j *JobQueue) sort() {
	slices.SortFunc(j.order, func(a, b *entry) int {
		if a.raised != b.raised {
			if a.raised {
				return -1
			}
			return 1
		}
		x, y := a.virtualDue(), b.virtualDue()
		if a.raised {
			x, y = a.Due, b.Due
		}
		return cmp.Or(x.Compare(y), cmp.Compare(a.ID, b.ID))
	})
}

func (e *entry) virtualDue() time.Time {
	return e.Submitted.Add(time.Duration(float64(e.Due.Sub(e.Submitted)) / e.Weight))
}
