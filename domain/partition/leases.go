package partition

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	// MaxAttempts is the maximum number of attempts of an item (docs/design.md 2.5).
	MaxAttempts = 4
	// CodeAttemptsExhausted is the error code of an item that failed MaxAttempts times.
	CodeAttemptsExhausted = "attempts_exhausted"
	// CodeOutcomeUnknown is the error code of a non-idempotent item whose outcome is unknown.
	CodeOutcomeUnknown = "outcome_unknown"
	// CodeResultTooLarge is the error code of an item whose result is larger than MaxLineBytes.
	CodeResultTooLarge = "result_too_large"
	// DueWindowMs is how long before its due time a job starts to count as due. One
	// hour is much longer than one item runs and much shorter than a large job.
	DueWindowMs = 3_600_000
)

// Lease is the right of a director to run one item until UntilMs.
type Lease struct {
	JobID    string
	Item     uint32
	Director string
	UntilMs  int64
	// Attempt starts at 1. Only failed attempts count, not those that were preempted
	// or not dispatched.
	Attempt int
}

// ReturnReason is the reason why a director returns an item without a result.
type ReturnReason uint8

// Reasons.
const (
	// ReturnNotDispatched means that no byte of the item reached a backend server.
	ReturnNotDispatched ReturnReason = iota
	// ReturnPreempted means that the item was stopped in favour of online requests
	// and may have run in part.
	ReturnPreempted
	// ReturnFailed means that the attempt failed and another one may succeed.
	ReturnFailed
)

// LeaseRequest is a request of a director for items.
type LeaseRequest struct {
	Director string
	// Models that the director can run; empty for any.
	Models []string
	// Max is the maximum number of items.
	Max int
	// DurationMs is the duration of the leases.
	DurationMs int64
}

// heldItem is an item that is leased to a director, or whose start is queued for it.
type heldItem struct {
	director    string
	untilMs     int64
	attempt     int
	durationMs  int64
	startQueued bool // ItemsStarted is queued
}

// jobLeases are the leases and queued results of one job.
type jobLeases struct {
	job           *Job
	held          map[uint32]*heldItem
	attempts      map[uint32]int // failed attempts of items that are not held
	resultQueued  bitmap         // a result is queued in the writer
	undispatched  []uint32       // recorded as started and returned without a dispatch
	leased        bitmap         // keys of held
	firstFreeWord int            // no item in an earlier word of the bitmaps is free
	pass          uint64         // stride scheduling: grows by strideScale/weight with each leased item
}

// strideScale divided by the weight is the stride of a job, the step of its pass for
// one item.
const strideScale = 1 << 16

// Leases tracks the items that directors run, in the memory of the owner. Leases are
// not on the stream: a new owner starts without those of the previous one and leases
// its idempotent items again. It is not safe for concurrent use.
type Leases struct {
	jobs map[string]*jobLeases
	// pass is the pass of the due job that was chosen last, and a lower bound for
	// all due jobs. A job thus gains no credit while it has no free items or is not
	// due yet.
	pass uint64
}

// NewLeases returns the leases at the start of an ownership. Items that an earlier
// owner recorded as started are held for graceMs, so that their director can still
// push the result; then they end with an unknown outcome.
func NewLeases(s *State, nowMs, graceMs int64) *Leases {
	l := &Leases{jobs: map[string]*jobLeases{}}
	s.ForEachActiveJob(func(j *Job) {
		for w, word := range j.started {
			for ; word != 0; word &= word - 1 {
				i := uint32(w*64 + bits.TrailingZeros64(word))
				l.forJob(j).add(i, &heldItem{untilMs: nowMs + graceMs, attempt: 1})
			}
		}
	})
	return l
}

func (l *Leases) forJob(j *Job) *jobLeases {
	jl, ok := l.jobs[j.Created.JobId]
	if !ok {
		jl = &jobLeases{job: j, held: map[uint32]*heldItem{}, attempts: map[uint32]int{}}
		l.jobs[j.Created.JobId] = jl
	}
	return jl
}

func (jl *jobLeases) add(i uint32, h *heldItem) {
	jl.held[i] = h
	jl.leased.set(i, jl.job.ItemCount())
}

func (jl *jobLeases) remove(i uint32) {
	delete(jl.held, i)
	jl.leased.clear(i)
	jl.firstFreeWord = min(jl.firstFreeWord, int(i/64))
}

// nextFree returns the first free item.
func (jl *jobLeases) nextFree() (uint32, bool) {
	words := int(jl.job.ItemCount()+63) / 64
	for w := jl.firstFreeWord; w < words; w++ {
		free := ^(jl.job.finishedOrStarted(w) | jl.leased.word(w) | jl.resultQueued.word(w))
		if i := uint32(w*64 + bits.TrailingZeros64(free)); free != 0 && i < jl.job.ItemCount() {
			jl.firstFreeWord = w
			return i, true
		}
	}
	jl.firstFreeWord = words
	return 0, false
}

// nextItem returns the next item to lease and whether its start is already recorded.
func (jl *jobLeases) nextItem() (i uint32, started, ok bool) {
	for n := len(jl.undispatched); n > 0; n = len(jl.undispatched) {
		i, jl.undispatched = jl.undispatched[n-1], jl.undispatched[:n-1]
		if jl.job.Started(i) && !jl.resultQueued.get(i) {
			return i, true, true
		}
	}
	i, ok = jl.nextFree()
	return i, false, ok
}

// Lease leases items to a director. Items of idempotent jobs are returned in out and
// may be dispatched at once. For those of other jobs it returns entries that record
// their start; they may be dispatched when Confirm returns them.
//
// Jobs that are due within DueWindowMs come first and share the items by weight, so
// that a large job never starves a small one. The others follow by due time.
func (l *Leases) Lease(s *State, req LeaseRequest, nowMs int64) (out []Lease, entries []*recordpb.Entry) {
	jobs := l.candidateJobs(s, req)
	startedByJob := map[string]*recordpb.ItemsStarted{}
	for n := 0; n < req.Max && len(jobs) > 0; {
		k, due := l.nextJob(jobs, nowMs)
		jl := jobs[k]
		i, started, ok := jl.nextItem()
		if !ok {
			jobs = slices.Delete(jobs, k, k+1)
			continue
		}
		n++
		if due {
			l.pass = max(jl.pass, l.pass)
			jl.pass = l.pass + max(strideScale/uint64(max(jl.job.Created.Weight, 1)), 1)
		}
		h := &heldItem{director: req.Director, untilMs: nowMs + req.DurationMs, durationMs: req.DurationMs, attempt: jl.attempts[i] + 1}
		delete(jl.attempts, i)
		jl.add(i, h)
		id := jl.job.Created.JobId
		if started || !jl.job.Created.NonIdempotent {
			out = append(out, Lease{JobID: id, Item: i, Director: req.Director, UntilMs: h.untilMs, Attempt: h.attempt})
			continue
		}
		h.startQueued = true
		e, ok := startedByJob[id]
		if !ok {
			e = &recordpb.ItemsStarted{JobId: id, Director: req.Director}
			startedByJob[id] = e
			entries = append(entries, &recordpb.Entry{AtMs: nowMs, Kind: &recordpb.Entry_ItemsStarted{ItemsStarted: e}})
		}
		e.Items = append(e.Items, i)
	}
	return out, entries
}

func (l *Leases) candidateJobs(s *State, req LeaseRequest) []*jobLeases {
	var jobs []*jobLeases
	s.ForEachActiveJob(func(j *Job) {
		if len(req.Models) == 0 || slices.Contains(req.Models, j.Created.Model) {
			jobs = append(jobs, l.forJob(j))
		}
	})
	slices.SortFunc(jobs, func(a, b *jobLeases) int {
		if c := cmp.Compare(a.job.Created.DueMs, b.job.Created.DueMs); c != 0 {
			return c
		}
		return strings.Compare(a.job.Created.JobId, b.job.Created.JobId)
	})
	return jobs
}

// nextJob returns the index of the job to serve next among jobs sorted by due time,
// and whether it is due: the due job with the lowest pass, or the first job if none
// is due.
func (l *Leases) nextJob(jobs []*jobLeases, nowMs int64) (best int, due bool) {
	for k, jl := range jobs {
		if jl.job.Created.DueMs > nowMs+DueWindowMs {
			break
		}
		if due = true; max(jl.pass, l.pass) < max(jobs[best].pass, l.pass) {
			best = k
		}
	}
	return best, due
}

// Confirm returns the leases whose items may be dispatched because the record starts
// them. Their duration counts from nowMs.
func (l *Leases) Confirm(a *Applied, nowMs int64) (out []Lease) {
	for _, e := range a.Events {
		ev, ok := e.(*ItemsStarted)
		if !ok || l.jobs[ev.JobID] == nil {
			continue
		}
		for _, i := range ev.Items {
			if h := l.jobs[ev.JobID].held[i]; h != nil && h.startQueued && h.director == ev.Director {
				h.startQueued, h.untilMs = false, nowMs+h.durationMs
				out = append(out, Lease{JobID: ev.JobID, Item: i, Director: h.director, UntilMs: h.untilMs, Attempt: h.attempt})
			}
		}
	}
	return out
}

// Renew extends the leases of a director on items of a job. It returns the items that
// the director does not hold and must stop.
func (l *Leases) Renew(director, jobID string, items []uint32, untilMs int64) (stop []uint32) {
	jl := l.jobs[jobID]
	for _, i := range items {
		if jl == nil || jl.held[i] == nil || jl.held[i].director != director || jl.job.Terminal() {
			stop = append(stop, i)
			continue
		}
		jl.held[i].untilMs = max(jl.held[i].untilMs, untilMs)
	}
	return stop
}

// Return ends the lease of an item that its director returns. Only ReturnFailed
// counts as an attempt. Return returns an entry if the item ends without a result:
// when its attempts are exhausted, or when it is non-idempotent and may have run.
func (l *Leases) Return(director, jobID string, i uint32, reason ReturnReason, nowMs int64) *recordpb.Entry {
	jl := l.jobs[jobID]
	if jl == nil || jl.held[i] == nil || jl.held[i].director != director || jl.held[i].startQueued {
		return nil
	}
	return jl.endLease(i, reason, nowMs)
}

func (jl *jobLeases) endLease(i uint32, reason ReturnReason, nowMs int64) *recordpb.Entry {
	h := jl.held[i]
	jl.remove(i)
	failed := h.attempt - 1
	if reason == ReturnFailed {
		failed++
	}
	switch {
	case jl.job.Terminal() || jl.job.Outcome(i) != recordpb.Outcome_OUTCOME_UNSPECIFIED || jl.resultQueued.get(i):
		return nil
	case jl.job.Created.NonIdempotent && reason != ReturnNotDispatched:
		return jl.queueResult(nowMs, &recordpb.ItemResult{Item: i, Outcome: recordpb.Outcome_OUTCOME_UNKNOWN, Code: CodeOutcomeUnknown,
			Message: "the item was dispatched and its director did not report a result"})
	case jl.job.Created.NonIdempotent:
		jl.undispatched = append(jl.undispatched, i)
		return nil
	case failed >= MaxAttempts:
		return jl.queueResult(nowMs, &recordpb.ItemResult{Item: i, Outcome: recordpb.Outcome_OUTCOME_FAILED, Code: CodeAttemptsExhausted,
			Message: "each attempt failed or its director was lost"})
	}
	if failed > 0 {
		jl.attempts[i] = failed
	}
	return nil
}

func (jl *jobLeases) queueResult(nowMs int64, r *recordpb.ItemResult) *recordpb.Entry {
	jl.resultQueued.set(r.Item, jl.job.ItemCount())
	return resultsEntry(jl.job.Created.JobId, nowMs, r)
}

func resultsEntry(jobID string, nowMs int64, r ...*recordpb.ItemResult) *recordpb.Entry {
	return &recordpb.Entry{AtMs: nowMs, Kind: &recordpb.Entry_ItemResults{
		ItemResults: &recordpb.ItemResults{JobId: jobID, Results: r}}}
}

// EndExpired ends the leases that have expired, as failed attempts.
func (l *Leases) EndExpired(nowMs int64) []*recordpb.Entry {
	return l.endLeases(nowMs, func(h *heldItem) bool { return h.untilMs <= nowMs })
}

// EndByDirector ends the leases of a director that has failed or left, as failed
// attempts.
func (l *Leases) EndByDirector(director string, nowMs int64) []*recordpb.Entry {
	return l.endLeases(nowMs, func(h *heldItem) bool { return h.director == director })
}

func (l *Leases) endLeases(nowMs int64, ended func(*heldItem) bool) (out []*recordpb.Entry) {
	for _, id := range sortedKeys(l.jobs) {
		jl := l.jobs[id]
		for _, i := range sortedKeys(jl.held) {
			// An item whose start is queued is not dispatched yet; Confirm sets its expiry.
			if h := jl.held[i]; !h.startQueued && ended(h) {
				if e := jl.endLease(i, ReturnFailed, nowMs); e != nil {
					out = append(out, e)
				}
			}
		}
	}
	return out
}

// RecordResults returns the entries that record results of a director, none if all
// would be void. Results of expired leases are recorded too, because the first result
// on the stream is the valid one. A result above MaxLineBytes is replaced by a
// failure.
func (l *Leases) RecordResults(s *State, jobID string, results []*recordpb.ItemResult, nowMs int64) (out []*recordpb.Entry) {
	j, ok := s.Job(jobID)
	if !ok || j.Terminal() {
		return nil
	}
	jl := l.forJob(j)
	var group []*recordpb.ItemResult
	size := 0
	for _, r := range results {
		if r.Item >= j.ItemCount() || r.Outcome == recordpb.Outcome_OUTCOME_UNSPECIFIED ||
			j.Outcome(r.Item) != recordpb.Outcome_OUTCOME_UNSPECIFIED || jl.resultQueued.get(r.Item) {
			continue
		}
		jl.resultQueued.set(r.Item, j.ItemCount())
		n := proto.Size(r)
		if n > MaxLineBytes {
			r = &recordpb.ItemResult{Item: r.Item, Outcome: recordpb.Outcome_OUTCOME_FAILED, CustomId: r.CustomId,
				Code: CodeResultTooLarge, Message: fmt.Sprintf("the result has %d bytes, the limit is %d", n, MaxLineBytes)}
		}
		if len(group) > 0 && size+n > MaxChunkBytes {
			out, group, size = append(out, resultsEntry(jobID, nowMs, group...)), nil, 0
		}
		group, size = append(group, r), size+n
	}
	if len(group) > 0 {
		out = append(out, resultsEntry(jobID, nowMs, group...))
	}
	return out
}

// Rollback is called for entries that the writer refused or that are not queued. It
// marks their results as not queued and removes the leases of their starts. It does
// not restore leases that have ended.
func (l *Leases) Rollback(entries ...*recordpb.Entry) {
	for _, e := range entries {
		if r := e.GetItemResults(); r != nil && l.jobs[r.JobId] != nil {
			for _, x := range r.Results {
				l.jobs[r.JobId].resultQueued.clear(x.Item)
			}
		}
		if st := e.GetItemsStarted(); st != nil && l.jobs[st.JobId] != nil {
			for _, i := range st.Items {
				l.jobs[st.JobId].remove(i)
			}
		}
	}
}

// Observe removes finished items and jobs after a record was applied.
func (l *Leases) Observe(a *Applied) {
	for _, e := range a.Events {
		switch e := e.(type) {
		case *ItemsFinished:
			if jl := l.jobs[e.JobID]; jl != nil {
				for _, i := range e.Items {
					delete(jl.held, i)
					delete(jl.attempts, i)
					jl.leased.clear(i)
					jl.resultQueued.clear(i)
				}
			}
		case *JobCompleted:
			delete(l.jobs, e.JobID)
		case *JobCancelled:
			delete(l.jobs, e.JobID)
		}
	}
}

// Held returns the leases of a job, for example to notify their directors of its
// cancellation.
func (l *Leases) Held(jobID string) (out []Lease) {
	if jl := l.jobs[jobID]; jl != nil {
		for _, i := range sortedKeys(jl.held) {
			h := jl.held[i]
			out = append(out, Lease{JobID: jobID, Item: i, Director: h.director, UntilMs: h.untilMs, Attempt: h.attempt})
		}
	}
	return out
}
