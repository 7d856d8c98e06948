package partition

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// maxExpiredPerEntry is the maximum number of aggregates that one Expired entry
// removes; the entry then has about 100 KB.
const maxExpiredPerEntry = 1000

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// Retention is the time in milliseconds for which aggregates are kept: calls from
// their outcome, keys from their binding, jobs from their end, and files from the
// time when they were sealed or got their last chunk. A file is kept at least as long
// as the jobs that use it.
type Retention struct{ CallMs, KeyMs, JobMs, FileMs int64 }

// Expire returns an entry that removes aggregates whose retention is over, at most
// maxExpiredPerEntry, or nil for none. It removes files only if nothing is queued in
// w, because a queued JobCreated could use one of them. A JobCreated that is queued
// later is void, since the file is removed before it.
func Expire(s *State, w *Writer, r Retention, nowMs int64) *recordpb.Entry {
	e := &recordpb.Expired{}
	remaining := maxExpiredPerEntry
	// expire reports whether the retention of an aggregate is over and there is room for
	// it in the entry, and takes that room.
	expire := func(sinceMs, keepMs int64) bool {
		if sinceMs == 0 || nowMs-sinceMs < keepMs || remaining == 0 {
			return false
		}
		remaining--
		return true
	}
	usedFiles := map[string]bool{}
	for _, id := range sortedKeys(s.jobs) {
		j := s.jobs[id]
		if expire(max(j.CompletedMs, j.CancelledMs), r.JobMs) {
			e.JobIds = append(e.JobIds, id)
		} else {
			usedFiles[j.Created.FileId] = true
		}
	}
	for _, id := range sortedKeys(s.files) {
		if f := s.files[id]; w.Empty() && !usedFiles[id] && expire(max(f.SealedMs, f.LastChunkMs), r.FileMs) {
			e.FileIds = append(e.FileIds, id)
		}
	}
	for ref, c := range s.calls {
		if c.Finished() && expire(c.FinishedMs, r.CallMs) {
			e.Calls = append(e.Calls, &recordpb.CallRef{Workspace: ref.Workspace, Key: ref.Key})
		}
	}
	for ref, k := range s.keys {
		if expire(k.BoundMs, r.KeyMs) {
			e.Keys = append(e.Keys, &recordpb.CallRef{Workspace: ref.Workspace, Key: ref.Key})
		}
	}
	if remaining == maxExpiredPerEntry {
		return nil
	}
	return &recordpb.Entry{AtMs: nowMs, Kind: &recordpb.Entry_Expired{Expired: e}}
}

// StaleRange is the position of data that is still needed in a record that the log
// will soon delete. Exactly one of FileID, JobID and Call is set.
type StaleRange struct {
	Range  Range
	FileID string
	JobID  string
	Call   Ref
}

// StaleBefore returns at most limit positions of needed data below an offset, lowest
// first. The owner reads the entries there and appends what Copy returns.
func (s *State) StaleBefore(offset int64, limit int) []StaleRange {
	var out []StaleRange
	for id, f := range s.files {
		for _, r := range f.Chunks {
			if r.Offset < offset {
				out = append(out, StaleRange{Range: r, FileID: id})
			}
		}
	}
	for id, j := range s.jobs {
		for _, r := range j.Results {
			if r.Offset >= offset {
				break
			}
			out = append(out, StaleRange{Range: r, JobID: id})
		}
	}
	for ref, c := range s.calls {
		if c.Finished() && c.At.Offset < offset {
			out = append(out, StaleRange{Range: Range{Offset: c.At.Offset, Entry: c.At.Entry}, Call: ref})
		}
	}
	slices.SortFunc(out, func(a, b StaleRange) int { return a.Range.compare(b.Range) })
	return out[:min(limit, len(out))]
}

// Copy returns the entry that moves stale data to the end of the stream. It is made
// from the entry e at the stale position. Copy returns nil if e is not the expected
// entry.
func (stale StaleRange) Copy(e *recordpb.Entry, nowMs int64) *recordpb.Entry {
	out := &recordpb.Entry{AtMs: nowMs}
	switch k := e.GetKind().(type) {
	case *recordpb.Entry_FileChunk:
		if k.FileChunk.FileId != stale.FileID || k.FileChunk.FirstLine != stale.Range.First {
			return nil
		}
		out.Kind = k
	case *recordpb.Entry_ItemResults:
		r, end := k.ItemResults, int(stale.Range.First)+int(stale.Range.Count)
		if r.JobId != stale.JobID || end > len(r.Results) {
			return nil
		}
		out.Kind = &recordpb.Entry_ItemResults{ItemResults: &recordpb.ItemResults{
			JobId: r.JobId, Results: r.Results[stale.Range.First:end], MovedFrom: stale.Range.proto()}}
	case *recordpb.Entry_CallFinished:
		c := k.CallFinished
		if (Ref{Workspace: c.Workspace, Key: c.Key}) != stale.Call {
			return nil
		}
		out.Kind = &recordpb.Entry_CallFinished{CallFinished: &recordpb.CallFinished{
			Workspace: c.Workspace, Key: c.Key, Fingerprint: c.Fingerprint, Outcome: c.Outcome, Status: c.Status,
			Headers: c.Headers, Body: c.Body, NonIdempotent: c.NonIdempotent, FinishedMs: c.FinishedMs,
			MovedFrom: stale.Range.proto()}}
	default:
		return nil
	}
	return out
}

// ItemResultsAt returns the results of a job at r in the decoded record b, nil if the
// entry there is not of this job or has too few results.
func ItemResultsAt(jobID string, r Range, b *recordpb.Batch) []*recordpb.ItemResult {
	if int(r.Entry) >= len(b.GetEntries()) {
		return nil
	}
	e := b.Entries[r.Entry].GetItemResults()
	end := int(r.First) + int(r.Count)
	if e.GetJobId() != jobID || end > len(e.GetResults()) {
		return nil
	}
	return e.Results[r.First:end]
}

// LinesAt returns the lines of a file's chunk at r in the decoded record b, nil if the
// entry there is not this chunk.
func LinesAt(fileID string, r Range, b *recordpb.Batch) [][]byte {
	if int(r.Entry) >= len(b.GetEntries()) {
		return nil
	}
	c := b.Entries[r.Entry].GetFileChunk()
	if c.GetFileId() != fileID || c.FirstLine != r.First || len(c.Lines) != int(r.Count) {
		return nil
	}
	return c.Lines
}

// CallResultAt returns the outcome of a call at a location in the decoded record b,
// nil if the entry there is not of this call.
func CallResultAt(call Ref, at Location, b *recordpb.Batch) *recordpb.CallFinished {
	if int(at.Entry) >= len(b.GetEntries()) {
		return nil
	}
	c := b.Entries[at.Entry].GetCallFinished()
	if c == nil || (Ref{Workspace: c.Workspace, Key: c.Key}) != call {
		return nil
	}
	return c
}
