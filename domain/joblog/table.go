package joblog

import "time"

// Item is the state of one item.
type Item struct {
	HasResult bool
	// Progress is the output kept of a run that was stopped; nil when there is none.
	Progress *Progress
}

// Job is the state of one job. The holder in Accepted is the one that holds it now.
type Job struct {
	Accepted
	Items []Item
	// Results are the listed items by position.
	Results []*Result
	Ended   bool
	// AcceptedAt is when the job was accepted, by this instance's steady clock.
	AcceptedAt time.Time
	// UpdatedAt is when it folded the last record of the job.
	UpdatedAt time.Time
}

// Open reports whether items of the job have still to be done.
func (j *Job) Open() bool { return !j.Ended && len(j.Results) < len(j.Items) }

// ItemTokens returns the size of an item in tokens, 0 when the submission does not state it.
func (a *Accepted) ItemTokens(item int) int64 {
	if item >= len(a.Tokens) {
		return 0
	}
	return a.Tokens[item]
}

// Table holds the jobs that the records state. It is not safe for concurrent use.
type Table struct {
	jobs map[string]*Job
	// Ignored counts the records that changed nothing.
	Ignored int64
	next    int64
}

// NewTable returns a book that has folded nothing.
func NewTable() *Table { return &Table{jobs: map[string]*Job{}} }

// Next returns the offset of the next record to fold.
func (b *Table) Next() int64 { return b.next }

// SkipTo moves to a later offset, when the records before it have expired.
func (b *Table) SkipTo(to int64) { b.next = max(b.next, to) }

// Job returns a job, or nil.
func (b *Table) Job(id string) *Job { return b.jobs[id] }

// ForEach calls f for each job.
func (b *Table) ForEach(f func(*Job)) {
	for _, j := range b.jobs {
		f(j)
	}
}

// Apply takes the record at offset. A record before Next was folded already. A
// record that cannot be decoded is void. It returns the job that changed, or nil.
func (b *Table) Apply(now time.Time, offset int64, raw []byte) *Job {
	if offset < b.next {
		return nil
	}
	b.next = offset + 1
	r, err := Decode(raw)
	if err != nil {
		b.Ignored++
		return nil
	}
	j := b.applyRecord(now, r)
	if j == nil {
		b.Ignored++
		return nil
	}
	j.UpdatedAt = now
	return j
}

func (b *Table) applyRecord(now time.Time, r *Record) *Job {
	switch {
	case r.Accepted != nil:
		return b.accept(now, r.Accepted)
	case r.Result != nil:
		return b.list(r.Result)
	case r.Progress != nil:
		return b.progress(r.Progress)
	case r.Claimed != nil:
		j := b.jobs[r.Claimed.Job]
		if j == nil || j.Holder != r.Claimed.From || r.Claimed.To == r.Claimed.From {
			return nil
		}
		j.Holder = r.Claimed.To
		return j
	case r.Ended != nil:
		j := b.jobs[r.Ended.Job]
		if j == nil || j.Ended {
			return nil
		}
		j.Ended = true
		return j
	}
	return nil
}

func (b *Table) accept(now time.Time, a *Accepted) *Job {
	if a.Job == "" || a.Items < 1 || a.Items > MaxItems || b.jobs[a.Job] != nil {
		return nil
	}
	j := &Job{Accepted: *a, Items: make([]Item, a.Items), AcceptedAt: now.Add(-a.age(now))}
	b.jobs[a.Job] = j
	return j
}

// ageMost bounds the age of a job that is taken from the time of day: items are due
// within it.
const ageMost = time.Minute

// age returns the time since the acceptance, as far as the time of day can be believed.
func (a *Accepted) age(now time.Time) time.Duration {
	if a.At == 0 {
		return 0
	}
	return min(ageMost, max(0, now.Sub(time.UnixMilli(a.At))))
}

func (b *Table) list(r *Result) *Job {
	j := b.jobs[r.Job]
	if j == nil || r.Item < 0 || r.Item >= len(j.Items) || j.Items[r.Item].HasResult {
		return nil
	}
	j.Items[r.Item] = Item{HasResult: true}
	j.Results = append(j.Results, r)
	return j
}

func (b *Table) progress(p *Progress) *Job {
	j := b.jobs[p.Job]
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

// Purge forgets the jobs that are not open and were not touched since before the
// given time. Their records expire in the store as well.
func (b *Table) Purge(before time.Time) int {
	n := 0
	for id, j := range b.jobs {
		if !j.Open() && j.UpdatedAt.Before(before) {
			delete(b.jobs, id)
			n++
		}
	}
	return n
}
