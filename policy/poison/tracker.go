package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// evidence is what is known against one request.
type evidence struct {
	Request
	// crashes holds the times of the crashes by server.
	crashes map[uint32]time.Time
	updated time.Time
}

// Tracker holds the evidence and the blocks that follow from it.
type Tracker struct {
	// spread is the share of half of a block's duration by which the block ends later here.
	spread   float64
	requests map[Subject]*evidence
	// explained holds the servers whose crash is explained by a block of parts.
	explained map[uint32]time.Time
	blocks    []*Block
	answers   answerLog
	// watched holds the subjects for which a hub asked for answers, until when.
	watched map[Subject]time.Time
}

// NewTracker returns an empty tracker. Instances differ in spread, from 0 to below 1, so that
// they do not all run the requests of a block at the moment in which it ends.
func NewTracker(spread float64) *Tracker {
	return &Tracker{spread: spread, requests: map[Subject]*evidence{}, explained: map[uint32]time.Time{}, watched: map[Subject]time.Time{}}
}

// RecordBreak records that a run of a request broke with its server before it can have shown
// that it crashes none. server identifies one start of a server. A request without parts stands
// for a run whose response was underway, which is evidence against the whole request only.
func (t *Tracker) RecordBreak(now time.Time, r Request, server uint32) Change {
	r.Parts = slices.DeleteFunc(slices.Clone(r.Parts), func(p Subject) bool { return t.answeredRecently(now, p) })
	e := t.getOrCreate(now, r)
	if _, known := e.crashes[server]; known {
		return Change{}
	}
	e.crashes[server] = now
	for _, b := range t.blocks {
		if b.covers(r) {
			return t.recordBlockedBreak(now, b, r, server)
		}
	}
	if b := t.blame(now, r); b != nil {
		return t.add(now, b)
	}
	return Change{}
}

// recordBlockedBreak records a crash under a request that a block covers: one that ran before
// the block was known, or after its end.
func (t *Tracker) recordBlockedBreak(now time.Time, b *Block, r Request, server uint32) Change {
	if b.Subjects[0] != r.Whole {
		t.explained[server] = now
	}
	if t.active(now, b) {
		return Change{}
	}
	b.Duration = min(maxBlock, 2*b.Duration)
	b.Until = now.Add(b.Duration)
	return Change{Added: []Block{*b}}
}

// blame returns the block that the evidence against a request and its parts justifies, or nil.
func (t *Tracker) blame(now time.Time, r Request) *Block {
	var best []Subject
	for _, p := range r.Parts {
		// The largest set is the one that blames the fewest requests.
		if set := t.commonSet(now, p); len(set) > len(best) {
			best = set
		}
	}
	if len(best) > 0 {
		return &Block{Subjects: best, Duration: minBlock}
	}
	crashes := t.unexplained(now, t.requests[r.Whole])
	own := append(slices.Clone(r.Parts), r.Whole)
	if len(crashes) < MaxServers {
		return nil
	}
	if unshared, _ := t.leastUnshared(crashes, own); unshared < minUnshared && len(crashes) < maxServersInDoubt {
		return nil
	}
	return &Block{Subjects: []Subject{r.Whole}, Duration: minBlock}
}

// commonSet returns the parts that all broken requests with a part have in common, the part
// itself included, or nil if the evidence does not suffice.
func (t *Tracker) commonSet(now time.Time, p Subject) []Subject {
	requests, unexplained := 0, 0
	set := t.commonParts(now, p)
	crashes := map[uint32]time.Time{}
	inSet := t.inBlockedSet(now, p)
	for _, e := range t.requests {
		if !slices.Contains(e.Parts, p) || now.Sub(e.updated) >= EvidenceTTL {
			continue
		}
		counted := t.unexplained(now, e)
		unexplained += len(counted)
		if len(counted) > 0 {
			requests++
		}
		if inSet {
			counted = e.crashes
		}
		maps.Copy(crashes, counted)
	}
	enough := requests >= minRequests && len(crashes) >= MaxServers
	if inSet {
		enough = unexplained >= minUnexplained
	}
	if !enough || countMoments(crashes) < minMoments {
		return nil
	}
	unshared, other := t.leastUnshared(crashes, set)
	switch {
	case unshared >= minUnshared:
	case len(crashes) < maxServersInDoubt:
		return nil
	default:
		// If the other one is a part of a larger set, that set blames fewer requests.
		if larger := t.commonParts(now, other); len(larger) > len(set) {
			set = larger
		}
	}
	slices.Sort(set)
	return set
}

// commonParts returns the parts that all broken requests with a part have in common.
func (t *Tracker) commonParts(now time.Time, p Subject) []Subject {
	var set []Subject
	for _, e := range t.requests {
		switch {
		case !slices.Contains(e.Parts, p) || now.Sub(e.updated) >= EvidenceTTL:
		case set == nil:
			set = slices.Clone(e.Parts)
		default:
			set = slices.DeleteFunc(set, func(s Subject) bool { return !slices.Contains(e.Parts, s) })
		}
	}
	return set
}

// leastUnshared compares a set with every other subject, each of which may be the cause of the
// crashes as well. It returns the one that explains the most of them, and the number of those
// that it does not explain.
func (t *Tracker) leastUnshared(crashes map[uint32]time.Time, set []Subject) (unshared int, other Subject) {
	shared := map[Subject]map[uint32]bool{}
	most := 0
	record := func(s Subject, server uint32) {
		if slices.Contains(set, s) {
			return
		}
		if shared[s] == nil {
			shared[s] = map[uint32]bool{}
		}
		shared[s][server] = true
		if len(shared[s]) > most {
			most, other = len(shared[s]), s
		}
	}
	for _, e := range t.requests {
		for server := range e.crashes {
			if _, ok := crashes[server]; !ok {
				continue
			}
			record(e.Whole, server)
			for _, p := range e.Parts {
				record(p, server)
			}
		}
	}
	return len(crashes) - most, other
}

// inBlockedSet reports whether a part belongs to a blocked set of several parts.
func (t *Tracker) inBlockedSet(now time.Time, p Subject) bool {
	return slices.ContainsFunc(t.blocks, func(b *Block) bool {
		return len(b.Subjects) > 1 && t.active(now, b) && slices.Contains(b.Subjects, p)
	})
}

// unexplained returns the crashes that still count against a request.
func (t *Tracker) unexplained(now time.Time, e *evidence) map[uint32]time.Time {
	crashes := map[uint32]time.Time{}
	for server, at := range e.crashes {
		if _, explained := t.explained[server]; !explained && now.Sub(at) < EvidenceTTL {
			crashes[server] = at
		}
	}
	return crashes
}

// countMoments returns the number of times that differ by more than sameMoment.
func countMoments(crashes map[uint32]time.Time) int {
	count := 0
	var last time.Time
	for _, at := range slices.SortedFunc(maps.Values(crashes), time.Time.Compare) {
		if count == 0 || at.Sub(last) > sameMoment {
			count, last = count+1, at
		}
	}
	return count
}

// add puts a block into force. It ends the blocks whose crashes the new one explains.
func (t *Tracker) add(now time.Time, b *Block) Change {
	b.Until = now.Add(b.Duration)
	change := Change{}
	crashes := t.crashesUnder(b)
	t.blocks = slices.DeleteFunc(t.blocks, func(old *Block) bool {
		left := t.crashesUnder(old)
		known := len(left) > 0
		maps.DeleteFunc(left, func(server uint32, _ time.Time) bool { _, explained := crashes[server]; return explained })
		if !known || len(left) >= minUnshared {
			return false
		}
		change.Released = append(change.Released, old.Subjects)
		return true
	})
	t.insert(now, b)
	change.Added = []Block{*b}
	return change
}

// crashesUnder returns the crashes under the requests that a block covers.
func (t *Tracker) crashesUnder(b *Block) map[uint32]time.Time {
	crashes := map[uint32]time.Time{}
	for _, e := range t.requests {
		if b.covers(e.Request) {
			maps.Copy(crashes, e.crashes)
		}
	}
	return crashes
}

// insert adds a block and records the crashes that it explains.
func (t *Tracker) insert(now time.Time, b *Block) {
	t.blocks = slices.DeleteFunc(t.blocks, func(old *Block) bool { return t.expired(now, old) })
	if len(t.blocks) >= maxBlocks {
		t.blocks = slices.Delete(t.blocks, 0, 1)
	}
	t.blocks = append(t.blocks, b)
	for whole, e := range t.requests {
		if b.Subjects[0] == whole || !b.covers(e.Request) {
			continue
		}
		for server := range e.crashes {
			t.explained[server] = now
		}
	}
	maps.DeleteFunc(t.explained, func(_ uint32, at time.Time) bool { return now.Sub(at) >= EvidenceTTL })
}

// RecordAnswer records a complete answer to a request. Parts are spoken for, and the request
// itself, if it was suspected. reportable are the subjects for which other instances need to
// know of the answer.
func (t *Tracker) RecordAnswer(now time.Time, r Request) (change Change, reportable []Subject) {
	for _, p := range r.Parts {
		reportable = t.speakFor(now, now, p, &change, reportable)
	}
	if t.requests[r.Whole] != nil || t.blamed(r.Whole) {
		reportable = t.speakFor(now, now, r.Whole, &change, reportable)
	}
	return change, reportable
}

// RecordAnswerFor records that another instance got a complete answer at a time to a request
// that holds a subject.
func (t *Tracker) RecordAnswerFor(now, at time.Time, s Subject) Change {
	var change Change
	t.speakFor(now, at, s, &change, nil)
	return change
}

func (t *Tracker) speakFor(now, at time.Time, s Subject, change *Change, reportable []Subject) []Subject {
	t.answers.record(at, s)
	if now.Sub(at) >= AnswerTTL {
		return reportable
	}
	until, watched := t.watched[s]
	delete(t.watched, s)
	suspected, blamed := t.clear(s)
	if blamed {
		change.Cleared = append(change.Cleared, s)
	}
	if suspected || blamed || watched && now.Before(until) {
		return append(reportable, s)
	}
	return reportable
}

// clear removes a subject from the evidence and from the blocks. It reports whether it was
// in either.
func (t *Tracker) clear(s Subject) (suspected, blamed bool) {
	suspected = t.requests[s] != nil
	delete(t.requests, s)
	for _, e := range t.requests {
		if i := slices.Index(e.Parts, s); i >= 0 {
			e.Parts, suspected = slices.Delete(e.Parts, i, i+1), true
		}
	}
	t.blocks = slices.DeleteFunc(t.blocks, func(b *Block) bool {
		if i := slices.Index(b.Subjects, s); i >= 0 {
			b.Subjects, blamed = slices.Delete(slices.Clone(b.Subjects), i, i+1), true
		}
		return len(b.Subjects) == 0
	})
	return suspected, blamed
}

func (t *Tracker) blamed(s Subject) bool {
	return slices.ContainsFunc(t.blocks, func(b *Block) bool { return slices.Contains(b.Subjects, s) })
}

// answeredRecently reports whether an answer speaks for a subject.
func (t *Tracker) answeredRecently(now time.Time, s Subject) bool {
	at, ok := t.answers.latest(s)
	return ok && now.Sub(at) < AnswerTTL
}

// AnswerAge returns the time since the latest answer that speaks for a subject.
func (t *Tracker) AnswerAge(now time.Time, s Subject) (time.Duration, bool) {
	at, _ := t.answers.latest(s)
	return now.Sub(at), t.answeredRecently(now, s)
}

// Blocked reports whether a request is blocked.
func (t *Tracker) Blocked(now time.Time, r Request) bool {
	return slices.ContainsFunc(t.blocks, func(b *Block) bool { return t.active(now, b) && b.covers(r) })
}

// active reports whether a block is in force.
func (t *Tracker) active(now time.Time, b *Block) bool {
	return now.Before(b.Until.Add(time.Duration(t.spread * float64(b.Duration) / 2)))
}

// expired reports whether a block is of no more use.
func (t *Tracker) expired(now time.Time, b *Block) bool {
	return !now.Before(b.Until.Add(probation * b.Duration))
}

// Blocks returns the blocks that have not ended, the newest first, at most limit.
func (t *Tracker) Blocks(now time.Time, limit int) []Block {
	var list []Block
	for _, b := range slices.Backward(t.blocks) {
		if now.Before(b.Until) && len(list) < limit {
			list = append(list, *b)
		}
	}
	return list
}

// Adopt puts a block of another instance into force until its end there, without the subjects
// that answers here speak for.
func (t *Tracker) Adopt(now time.Time, b Block) Change {
	b.Subjects = slices.DeleteFunc(slices.Clone(b.Subjects), func(s Subject) bool { return t.answeredRecently(now, s) })
	if len(b.Subjects) == 0 || b.Duration <= 0 || b.Duration > maxBlock || !now.Before(b.Until) {
		return Change{}
	}
	for _, old := range t.blocks {
		if slices.Equal(old.Subjects, b.Subjects) {
			if b.Until.Sub(old.Until) <= adoptMargin {
				return Change{}
			}
			*old = b
			return Change{Added: []Block{b}}
		}
	}
	t.insert(now, &b)
	return Change{Added: []Block{b}}
}

// Release ends the block of a set of subjects, because another instance found another cause.
func (t *Tracker) Release(subjects []Subject) Change {
	before := len(t.blocks)
	t.blocks = slices.DeleteFunc(t.blocks, func(b *Block) bool { return slices.Equal(b.Subjects, subjects) })
	if len(t.blocks) == before {
		return Change{}
	}
	return Change{Released: [][]Subject{subjects}}
}

// Suspected returns the subjects for which answers are wanted, at most limit: those that are
// blamed, and the parts of requests that broke most recently.
func (t *Tracker) Suspected(now time.Time, limit int) []Subject {
	var list []Subject
	for _, b := range t.Blocks(now, maxBlocks) {
		list = append(list, b.Subjects...)
	}
	recent := slices.SortedFunc(maps.Values(t.requests), func(a, b *evidence) int {
		return cmp.Or(b.updated.Compare(a.updated), cmp.Compare(a.Whole, b.Whole))
	})
	for _, e := range recent {
		if now.Sub(e.updated) >= watchTTL || len(list) >= limit {
			break
		}
		for _, p := range e.Parts {
			if !slices.Contains(list, p) {
				list = append(list, p)
			}
		}
	}
	return list[:min(limit, len(list))]
}

// Watch records that a hub wants to know of answers for a subject.
func (t *Tracker) Watch(now time.Time, s Subject) {
	if len(t.watched) >= maxWatched {
		maps.DeleteFunc(t.watched, func(_ Subject, until time.Time) bool { return !now.Before(until) })
	}
	if len(t.watched) < maxWatched {
		t.watched[s] = now.Add(watchTTL)
	}
}

// getOrCreate returns the evidence against a request and marks it as updated.
func (t *Tracker) getOrCreate(now time.Time, r Request) *evidence {
	e := t.requests[r.Whole]
	if e == nil || now.Sub(e.updated) >= EvidenceTTL {
		t.evict(now)
		e = &evidence{crashes: map[uint32]time.Time{}}
		t.requests[r.Whole] = e
	}
	if len(r.Parts) == 0 {
		r.Parts = e.Parts // of a run that broke earlier in its response
	}
	e.Request, e.updated = r, now
	return e
}

// evict makes room for the evidence against another request.
func (t *Tracker) evict(now time.Time) {
	if len(t.requests) < maxRequests {
		return
	}
	maps.DeleteFunc(t.requests, func(_ Subject, e *evidence) bool { return now.Sub(e.updated) >= EvidenceTTL })
	if len(t.requests) < maxRequests {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(t.requests)), func(a, b *evidence) int { return a.updated.Compare(b.updated) })
	delete(t.requests, oldest.Whole)
}
