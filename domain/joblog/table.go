package joblog

import "time"

// Item is the state of one item of a job.
type Item struct {
	HasResult bool
	// Progress is the saved output of a run that was stopped; nil if there is none.
	Progress *Progress
	// Failures is the number of failures that servers have answered.
	Failures int
}

// Job is the state of one job. The embedded Holder is the current holder.
type Job struct {
	Accepted
	Items []Item
	// Results are the results in the order in which they were recorded.
	Results []*Result
	Ended   bool
	// AcceptedAt is the time of acceptance on this instance's monotonic clock.
	AcceptedAt time.Time
	// UpdatedAt is when this instance last applied a record that changed the job.
	UpdatedAt time.Time
}

// Open reports whether the job has unfinished items.
func (j *Job) Open() bool { return !j.Ended && len(j.Results) < len(j.Items) }

// AccessibleTo reports whether callers of a workspace may know of the job.
func (a *Accepted) AccessibleTo(workspace string) bool {
	return a.Workspace == "" || a.Workspace == workspace
}

// ItemTokens returns the size of an item in tokens, or zero if the submission did not
// state it.
func (a *Accepted) ItemTokens(item int) int64 {
	if item >= len(a.Tokens) {
		return 0
	}
	return max(0, a.Tokens[item])
}

// Table holds the jobs that the applied records describe. It is not safe for concurrent
// use.
type Table struct {
	jobs map[string]*Job
	// open holds the jobs with unfinished items.
	open map[string]*Job
	// waiting holds the sums of tokens.
	waiting map[WaitingKey]*Waiting
	// Ignored counts the records that had no effect.
	Ignored int64
	next    int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{jobs: map[string]*Job{}, open: map[string]*Job{}, waiting: map[WaitingKey]*Waiting{}}
}

// Next returns the offset of the next record to apply.
func (t *Table) Next() int64 { return t.next }

// SkipTo advances to a later offset after the records before it have expired.
func (t *Table) SkipTo(offset int64) { t.next = max(t.next, offset) }

// Job returns a job, or nil if it is unknown.
func (t *Table) Job(id string) *Job { return t.jobs[id] }

// ForEach calls f for each job.
func (t *Table) ForEach(f func(*Job)) {
	for _, j := range t.jobs {
		f(j)
	}
}

// ForEachOpen calls f for each open job.
func (t *Table) ForEachOpen(f func(*Job)) {
	for _, j := range t.open {
		f(j)
	}
}

// Apply applies the record at offset and returns the job that changed, or nil. It skips
// a record before Next, which has been applied already, and ignores a record that
// cannot be decoded.
func (t *Table) Apply(now time.Time, offset int64, raw []byte) *Job {
	if offset < t.next {
		return nil
	}
	t.next = offset + 1
	r, err := Decode(raw)
	if err != nil {
		t.Ignored++
		return nil
	}
	j := t.applyRecord(now, r)
	if j == nil {
		t.Ignored++
		return nil
	}
	j.UpdatedAt = now
	if j.Open() {
		t.open[j.Job] = j
	} else {
		delete(t.open, j.Job)
	}
	return j
}

func (t *Table) applyRecord(now time.Time, r *Record) *Job {
	switch {
	case r.Accepted != nil:
		return t.addJob(now, r.Accepted)
	case r.Result != nil:
		return t.addResult(r.Result)
	case r.Progress != nil:
		return t.saveProgress(r.Progress)
	case r.Failed != nil:
		return t.addFailure(r.Failed)
	case r.Claimed != nil:
		j := t.jobs[r.Claimed.Job]
		if j == nil || j.Holder != r.Claimed.From || r.Claimed.To == r.Claimed.From {
			return nil
		}
		j.Holder = r.Claimed.To
		return j
	case r.Ended != nil:
		j := t.jobs[r.Ended.Job]
		if j == nil || j.Ended {
			return nil
		}
		j.Ended = true
		for i := range j.Items {
			if !j.Items[i].HasResult {
				t.removeWaiting(j, i)
			}
		}
		return j
	}
	return nil
}

// WaitingKey is what the tokens of unfinished items are summed up by.
type WaitingKey struct{ Route, Workspace string }

func (a *Accepted) waitingKey() WaitingKey { return WaitingKey{a.Route, a.Workspace} }

// Waiting is the sum of the tokens of the unfinished items of a workspace's jobs on a route.
type Waiting struct {
	// Tokens is the sum now, and Lowest the lowest one since the last call of ResetLowest.
	Tokens, Lowest int64
	// Finished is the sum of the tokens of all items that do not wait any more.
	Finished int64
}

// ForEachWaiting calls f with the sum of each route and workspace that ever had a job.
func (t *Table) ForEachWaiting(f func(k WaitingKey, w Waiting)) {
	for k, w := range t.waiting {
		f(k, *w)
	}
}

// Waiting returns the sum of a route and workspace.
func (t *Table) Waiting(k WaitingKey) Waiting {
	if w := t.waiting[k]; w != nil {
		return *w
	}
	return Waiting{}
}

// ResetLowest makes all lowest sums begin at the present ones.
func (t *Table) ResetLowest() {
	for _, w := range t.waiting {
		w.Lowest = w.Tokens
	}
}

func (t *Table) addWaiting(j *Job) {
	w := t.waiting[j.waitingKey()]
	if w == nil {
		w = &Waiting{}
		t.waiting[j.waitingKey()] = w
	}
	for i := range j.Items {
		w.Tokens += j.ItemTokens(i)
	}
}

func (t *Table) removeWaiting(j *Job, item int) {
	w := t.waiting[j.waitingKey()]
	w.Tokens -= j.ItemTokens(item)
	w.Finished += j.ItemTokens(item)
	w.Lowest = min(w.Lowest, w.Tokens)
}

func (t *Table) addJob(now time.Time, a *Accepted) *Job {
	if a.Job == "" || a.Items < 1 || a.Items > MaxItems || t.jobs[a.Job] != nil {
		return nil
	}
	j := &Job{Accepted: *a, Items: make([]Item, a.Items), AcceptedAt: now.Add(-a.age(now))}
	t.jobs[a.Job] = j
	t.addWaiting(j)
	return j
}

// maxAge limits the age of a job that is derived from the wall clock. Items are due
// within it.
const maxAge = time.Minute

// age returns the time since the acceptance according to the wall clock, limited to
// the range from 0 to maxAge because clocks may be wrong.
func (a *Accepted) age(now time.Time) time.Duration {
	if a.At == 0 {
		return 0
	}
	return min(maxAge, max(0, now.Sub(time.UnixMilli(a.At))))
}

func (t *Table) addResult(r *Result) *Job {
	j := t.jobs[r.Job]
	if j == nil || r.Item < 0 || r.Item >= len(j.Items) || j.Items[r.Item].HasResult {
		return nil
	}
	j.Items[r.Item] = Item{HasResult: true}
	j.Results = append(j.Results, r)
	if !j.Ended {
		t.removeWaiting(j, r.Item)
	}
	return j
}

func (t *Table) saveProgress(p *Progress) *Job {
	j := t.jobs[p.Job]
	if j == nil || p.Item < 0 || p.Item >= len(j.Items) || j.Items[p.Item].HasResult {
		return nil
	}
	item := &j.Items[p.Item]
	if item.Progress != nil && item.Progress.LastEvent >= p.LastEvent {
		return nil
	}
	item.Progress = p
	return j
}

func (t *Table) addFailure(f *Failed) *Job {
	j := t.jobs[f.Job]
	if j == nil || f.Item < 0 || f.Item >= len(j.Items) || j.Items[f.Item].HasResult || j.Items[f.Item].Failures >= f.Count {
		return nil
	}
	j.Items[f.Item].Failures = f.Count
	return j
}

// Purge removes the jobs that are not open and were last updated before the given
// time, and returns their number. Their records expire in the store as well.
func (t *Table) Purge(before time.Time) int {
	n := 0
	for id, j := range t.jobs {
		if !j.Open() && j.UpdatedAt.Before(before) {
			delete(t.jobs, id)
			n++
		}
	}
	return n
}
