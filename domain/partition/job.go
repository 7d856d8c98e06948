package partition

import (
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// MaxItems is the maximum number of items of a job. Its four bitmaps (400 KB) fit
// into one payload even if they cannot be compressed.
const MaxItems = 800_000

// bitmap has one bit per item. It is nil until a bit is set.
type bitmap []uint64

func (b bitmap) get(i uint32) bool { return b != nil && b[i/64]&(1<<(i%64)) != 0 }

func (b *bitmap) set(i, n uint32) {
	if *b == nil {
		*b = make(bitmap, (n+63)/64)
	}
	(*b)[i/64] |= 1 << (i % 64)
}

func (b bitmap) clear(i uint32) {
	if b != nil {
		b[i/64] &^= 1 << (i % 64)
	}
}

func (b bitmap) count() (n int) {
	for _, w := range b {
		n += bits.OnesCount64(w)
	}
	return n
}

func (b bitmap) word(i int) uint64 {
	if b == nil {
		return 0
	}
	return b[i]
}

func (b bitmap) encode() []byte {
	if b.count() == 0 {
		return nil
	}
	out := make([]byte, 0, len(b)*8)
	for _, w := range b {
		out = binary.LittleEndian.AppendUint64(out, w)
	}
	return out
}

func decodeBitmap(p []byte, n uint32) bitmap {
	if len(p) == 0 {
		return nil
	}
	b := make(bitmap, (n+63)/64)
	var word [8]byte
	for i := range b {
		clear(word[:])
		copy(word[:], p[min(i*8, len(p)):])
		b[i] = binary.LittleEndian.Uint64(word[:])
	}
	if r := n % 64; r != 0 {
		b[len(b)-1] &= 1<<r - 1
	}
	return b
}

// Job is a batch job. Its items are the lines of its file, with the same numbers.
type Job struct {
	Created     *recordpb.JobCreated
	CreatedMs   int64
	Cancelled   bool
	CancelledMs int64
	CompletedMs int64
	// Results are the positions of the valid results, in stream order.
	Results      []Range
	OutputTokens uint64

	done, failed, unknown bitmap // an item is in at most one of them
	started               bitmap // started and not finished; non-idempotent jobs only
	finished              uint32
}

// ItemCount returns the number of items.
func (j *Job) ItemCount() uint32 { return j.Created.Items }

// Terminal reports whether the job is completed or cancelled, so that further
// results are void.
func (j *Job) Terminal() bool { return j.Cancelled || j.CompletedMs != 0 }

// OutcomeCounts returns the numbers of items that are done, have failed and have an
// unknown outcome.
func (j *Job) OutcomeCounts() (done, failed, unknown int) {
	return j.done.count(), j.failed.count(), j.unknown.count()
}

// FinishedCount returns the number of items with an outcome.
func (j *Job) FinishedCount() uint32 { return j.finished }

// Outcome returns the outcome of an item, OUTCOME_UNSPECIFIED for none.
func (j *Job) Outcome(i uint32) recordpb.Outcome {
	switch {
	case i >= j.ItemCount():
	case j.done.get(i):
		return recordpb.Outcome_OUTCOME_DONE
	case j.failed.get(i):
		return recordpb.Outcome_OUTCOME_FAILED
	case j.unknown.get(i):
		return recordpb.Outcome_OUTCOME_UNKNOWN
	}
	return recordpb.Outcome_OUTCOME_UNSPECIFIED
}

// Started reports whether an item of a non-idempotent job may have been
// dispatched and has no outcome.
func (j *Job) Started(i uint32) bool { return i < j.ItemCount() && j.started.get(i) }

// finishedOrStarted returns the finished and started items among the 64 from 64*w on.
func (j *Job) finishedOrStarted(w int) uint64 {
	return j.done.word(w) | j.failed.word(w) | j.unknown.word(w) | j.started.word(w)
}

// jobCreated applies the first creation of a job. It is void unless the file is
// sealed at this point of the stream, because the file may have been removed after
// the owner checked it.
func (s *State) jobCreated(a *Applied, atMs int64, e *recordpb.JobCreated) bool {
	if _, ok := s.jobs[e.JobId]; ok || e.Items == 0 || e.Items > MaxItems {
		return false
	}
	if f, ok := s.files[e.FileId]; !ok || f.Sealed == nil || f.LineCount() != e.Items {
		return false
	}
	if !s.registerNew(aggregateID{kind: kindJob, id: e.JobId}) {
		return false
	}
	j := &Job{Created: e, CreatedMs: atMs}
	s.jobs[e.JobId], s.activeJobs[e.JobId] = j, j
	a.addEvent(&JobCreated{JobID: e.JobId})
	return true
}

// itemsStarted marks items without a start or outcome as started, which allows
// their dispatch.
func (s *State) itemsStarted(a *Applied, e *recordpb.ItemsStarted) bool {
	j, ok := s.jobs[e.JobId]
	if !ok || j.Terminal() {
		return false
	}
	var items []uint32
	for _, i := range e.Items {
		if i < j.ItemCount() && !j.started.get(i) && j.Outcome(i) == recordpb.Outcome_OUTCOME_UNSPECIFIED {
			j.started.set(i, j.ItemCount())
			items = append(items, i)
		}
	}
	if len(items) > 0 {
		a.addEvent(&ItemsStarted{JobID: e.JobId, Items: items, Director: e.Director})
	}
	return len(items) > 0
}

// itemResults applies the first result of each item of a job that is not cancelled,
// or a copy of results at a new location.
func (s *State) itemResults(a *Applied, at Location, atMs int64, e *recordpb.ItemResults) bool {
	j, ok := s.jobs[e.JobId]
	if !ok {
		return false
	}
	if e.MovedFrom != nil {
		return j.replaceRange(at, e)
	}
	ev := &ItemsFinished{JobID: e.JobId}
	for k, r := range e.Results {
		if j.Terminal() || !j.setOutcome(r) {
			ev.Void++
			continue
		}
		ev.Items = append(ev.Items, r.Item)
		j.appendResult(at, uint32(k))
	}
	a.addEvent(ev)
	if j.finished == j.ItemCount() && !j.Terminal() {
		j.CompletedMs = max(atMs, 1)
		delete(s.activeJobs, e.JobId)
		a.addEvent(&JobCompleted{JobID: e.JobId})
	}
	return len(ev.Items) > 0
}

func (j *Job) setOutcome(r *recordpb.ItemResult) bool {
	if r.Item >= j.ItemCount() || j.Outcome(r.Item) != recordpb.Outcome_OUTCOME_UNSPECIFIED {
		return false
	}
	switch r.Outcome {
	case recordpb.Outcome_OUTCOME_DONE:
		j.done.set(r.Item, j.ItemCount())
	case recordpb.Outcome_OUTCOME_FAILED:
		j.failed.set(r.Item, j.ItemCount())
	case recordpb.Outcome_OUTCOME_UNKNOWN:
		j.unknown.set(r.Item, j.ItemCount())
	default:
		return false
	}
	j.started.clear(r.Item)
	j.finished++
	j.OutputTokens += uint64(r.OutputTokens)
	return true
}

// appendResult adds result k of the entry to the last range or starts a new range.
func (j *Job) appendResult(at Location, k uint32) {
	if n := len(j.Results); n > 0 {
		if l := &j.Results[n-1]; l.Location() == at && l.First+l.Count == k {
			l.Count++
			return
		}
	}
	j.Results = append(j.Results, Range{Offset: at.Offset, Entry: at.Entry, First: k, Count: 1})
}

// replaceRange replaces a range by its copy at a newer location.
func (j *Job) replaceRange(at Location, e *recordpb.ItemResults) bool {
	from := rangeOf(e.MovedFrom)
	i, found := slices.BinarySearchFunc(j.Results, from, Range.compare)
	if !found || j.Results[i] != from || int(from.Count) != len(e.Results) {
		return false
	}
	j.Results = slices.Delete(j.Results, i, i+1)
	j.Results = insertRange(j.Results, Range{Offset: at.Offset, Entry: at.Entry, Count: from.Count})
	return true
}

// jobCancelled cancels a job. Results after this point of the stream are void.
func (s *State) jobCancelled(a *Applied, atMs int64, e *recordpb.JobCancelled) bool {
	j, ok := s.jobs[e.JobId]
	if !ok || j.Terminal() {
		return false
	}
	j.Cancelled, j.CancelledMs = true, max(atMs, 1)
	delete(s.activeJobs, e.JobId)
	a.addEvent(&JobCancelled{JobID: e.JobId})
	return true
}

func (s *State) jobRestated(e *recordpb.JobRestated) bool {
	id := e.GetJob().GetJobId()
	if e.GetJob().GetItems() > MaxItems {
		return false
	}
	var last Range
	if n := len(e.Results); n > 0 {
		last = rangeOf(e.Results[n-1])
	}
	if !s.admitRestatement(aggregateID{kind: kindJob, id: id}, last, e.More) {
		return true
	}
	j, ok := s.jobs[id]
	if e.Part == 0 {
		j = jobFromRestated(e)
		s.jobs[id] = j
		delete(s.activeJobs, id)
		if !j.Terminal() {
			s.activeJobs[id] = j
		}
	} else if !ok {
		return true
	}
	for _, r := range e.Results {
		j.Results = insertRange(j.Results, rangeOf(r))
	}
	return true
}

func jobFromRestated(e *recordpb.JobRestated) *Job {
	created := e.Job
	if created == nil {
		created = &recordpb.JobCreated{}
	}
	n := created.Items
	j := &Job{Created: created, CreatedMs: e.CreatedMs, Cancelled: e.Cancelled, CancelledMs: e.CancelledMs,
		CompletedMs: e.CompletedMs, OutputTokens: e.OutputTokens,
		done: decodeBitmap(e.Done, n), failed: decodeBitmap(e.Failed, n), unknown: decodeBitmap(e.Unknown, n),
		started: decodeBitmap(e.Started, n)}
	j.finished = uint32(j.done.count() + j.failed.count() + j.unknown.count())
	return j
}

// restate returns the part of the restatement that follows the range from, with at
// most about budget bytes, and its last range. Part zero holds the bitmaps, so that
// entries between two parts are applied as usual.
func (j *Job) restate(from Range, budget int) (e *recordpb.Entry, last Range, more bool) {
	p := &recordpb.JobRestated{Job: &recordpb.JobCreated{JobId: j.Created.JobId}, Part: 1}
	i := 0
	if from == (Range{}) {
		p = &recordpb.JobRestated{Job: j.Created, CreatedMs: j.CreatedMs, Cancelled: j.Cancelled,
			CancelledMs: j.CancelledMs, CompletedMs: j.CompletedMs, OutputTokens: j.OutputTokens,
			Done: j.done.encode(), Failed: j.failed.encode(), Unknown: j.unknown.encode(), Started: j.started.encode()}
		budget -= len(p.Done) + len(p.Failed) + len(p.Unknown) + len(p.Started)
	} else {
		var found bool
		if i, found = slices.BinarySearchFunc(j.Results, from, Range.compare); found {
			i++
		}
	}
	n := min(len(j.Results)-i, max(1, budget/maxRangeBytes))
	for _, r := range j.Results[i : i+n] {
		p.Results = append(p.Results, r.proto())
		last = r
	}
	p.More = i+n < len(j.Results)
	return &recordpb.Entry{Kind: &recordpb.Entry_JobRestated{JobRestated: p}}, last, p.More
}
