package owner

import (
	"cmp"
	"context"
	"iter"
	"slices"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/ident"
	"github.com/jacinthnotch/jacinthnotch/domain/partition"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// uploadWindow is the number of chunks of one upload that wait for the log at a
// time. They take 1 MiB, so that eight uploads fit into the pending entries of a
// partition.
const uploadWindow = 8

// resultLocation is the location of an item's result.
type resultLocation struct {
	item       uint32
	rangeIndex uint32 // index into the ranges of the job
	offset     uint32 // index within the range
}

// sortedResults reads all results to learn the item of each and returns their
// locations, sorted by item.
func (o *partitionOwner) sortedResults(ctx context.Context, jobID string, ranges []partition.Range) ([]resultLocation, *peerpb.Refusal) {
	var locations []resultLocation
	for i, r := range ranges {
		results, refusal := o.readResultRange(ctx, jobID, r)
		if refusal != nil {
			return nil, refusal
		}
		for k, res := range results {
			locations = append(locations, resultLocation{item: res.Item, rangeIndex: uint32(i), offset: uint32(k)})
		}
	}
	slices.SortFunc(locations, func(a, b resultLocation) int { return cmp.Compare(a.item, b.item) })
	return locations, nil
}

// newest sorts elements, newest first, and returns at most limit elements.
func newest[T any](elements []T, limit int, position func(T) (int64, string)) []T {
	slices.SortFunc(elements, func(a, b T) int {
		ams, aid := position(a)
		bms, bid := position(b)
		if c := cmp.Compare(bms, ams); c != 0 {
			return c
		}
		return cmp.Compare(bid, aid)
	})
	return elements[:min(limit, len(elements))]
}

// upload records a file chunk by chunk.
type upload struct {
	owner      *partitionOwner
	seal       *recordpb.FileSealed
	chunk      *recordpb.FileChunk // the one being filled
	size       int
	pending    []*recordpb.FileChunk
	chunkCount uint32
	lineCount  uint32
}

// putFile records the lines and the seal of a file and returns the recorded file. A
// file that is already recorded is returned without reading lines.
func (o *partitionOwner) putFile(ctx context.Context, seal *recordpb.FileSealed, lines iter.Seq2[[]byte, error]) (*peerpb.FileInfo, error) {
	if seal == nil {
		return &peerpb.FileInfo{Refusal: refuse(api.CodeInvalidRequest, "no file named")}, nil
	}
	info, refusal := o.fileInfo(ctx, seal.Workspace, seal.FileId)
	if refusal == nil || refusal.Code != string(api.CodeNotFound) {
		return fileOrRefusal(info, refusal), nil
	}
	u := &upload{owner: o, seal: seal}
	for line, err := range lines {
		if err != nil {
			return nil, err
		}
		if refusal := u.line(ctx, line); refusal != nil {
			return fileOrRefusal(nil, refusal), nil
		}
	}
	if refusal := u.flush(ctx, true); refusal != nil {
		return fileOrRefusal(nil, refusal), nil
	}
	return fileOrRefusal(o.fileInfo(ctx, seal.Workspace, seal.FileId)), nil
}

func fileOrRefusal(info *peerpb.FileInfo, r *peerpb.Refusal) *peerpb.FileInfo {
	if r != nil {
		return &peerpb.FileInfo{Refusal: r}
	}
	return info
}

// line adds a line. It splits chunks at the same boundaries as partition.SplitChunks.
func (u *upload) line(ctx context.Context, line []byte) *peerpb.Refusal {
	if len(line) > partition.MaxLineBytes {
		return refusalOf(partition.ErrLineTooLarge)
	}
	if u.chunk != nil && u.size+len(line) > partition.MaxChunkBytes {
		u.finishChunk()
		if len(u.pending) >= uploadWindow {
			if r := u.flush(ctx, false); r != nil {
				return r
			}
		}
	}
	if u.chunk == nil {
		u.chunk = &recordpb.FileChunk{FileId: u.seal.FileId, Index: u.chunkCount, FirstLine: u.lineCount}
		u.chunkCount++
	}
	u.chunk.Lines = append(u.chunk.Lines, append([]byte(nil), line...))
	u.size += len(line)
	u.lineCount++
	return nil
}

func (u *upload) finishChunk() {
	if u.chunk != nil {
		u.pending, u.chunk, u.size = append(u.pending, u.chunk), nil, 0
	}
}

// flush records the pending chunks, and with withSeal the seal of the file, and waits
// until they were read back.
func (u *upload) flush(ctx context.Context, withSeal bool) *peerpb.Refusal {
	if withSeal {
		u.finishChunk()
		u.seal.Chunks, u.seal.Lines = u.chunkCount, u.lineCount
	}
	chunks := u.pending
	u.pending = nil
	deadline := replyDeadline(ctx, maxWait.Milliseconds())
	_, refusal := ask(ctx, u.owner, func(reply func(bool, *peerpb.Refusal)) {
		if u.owner.appends.logDown {
			reply(false, refuseLog())
			return
		}
		entries := u.missing(chunks, withSeal)
		if len(entries) == 0 {
			reply(true, nil)
			return
		}
		if r := u.owner.add(addOptions{deadline: deadline, done: func(r *peerpb.Refusal) { reply(r == nil, r) }}, entries...); r != nil {
			reply(false, r)
		}
	})
	return refusal
}

// missing returns the entries for chunks, and with withSeal for the seal, that are not
// on the stream yet.
func (u *upload) missing(chunks []*recordpb.FileChunk, withSeal bool) []*recordpb.Entry {
	f, ok := u.owner.state.File(u.seal.FileId)
	if ok && f.Sealed != nil {
		return nil
	}
	var out []*recordpb.Entry
	now := time.Now().UnixMilli()
	for _, c := range chunks {
		if !ok || c.FirstLine >= f.LineCount() {
			out = append(out, &recordpb.Entry{AtMs: now, Kind: &recordpb.Entry_FileChunk{FileChunk: c}})
		}
	}
	if withSeal {
		out = append(out, &recordpb.Entry{AtMs: now, Kind: &recordpb.Entry_FileSealed{FileSealed: u.seal}})
	}
	return out
}

func (o *partitionOwner) fileInfo(ctx context.Context, workspace, id string) (*peerpb.FileInfo, *peerpb.Refusal) {
	return query(ctx, o, func() (*peerpb.FileInfo, *peerpb.Refusal) {
		f, ok := o.state.File(id)
		if !ok || f.Sealed == nil || f.Sealed.Workspace != workspace {
			return nil, refusalOf(partition.ErrNoFile)
		}
		return &peerpb.FileInfo{File: f.Sealed, CreatedMs: f.SealedMs}, nil
	})
}

// trackFiles updates the identifiers of files, which listFiles uses.
func (o *partitionOwner) trackFiles(a *partition.Applied) {
	if !a.Valid() {
		return
	}
	for _, e := range a.Batch.Entries {
		switch k := e.Kind.(type) {
		case *recordpb.Entry_FileSealed:
			o.fileIDs[k.FileSealed.FileId] = true
		case *recordpb.Entry_FileRestated:
			o.fileIDs[k.FileRestated.GetFile().GetFileId()] = true
		case *recordpb.Entry_Expired:
			for _, id := range k.Expired.FileIds {
				delete(o.fileIDs, id)
			}
		}
	}
}

// listFiles returns the newest sealed files of the workspace after the cursor, up to
// in.Limit.
func (o *partitionOwner) listFiles(ctx context.Context, in *peerpb.ListFilesRequest) ([]*peerpb.FileInfo, *peerpb.Refusal) {
	return query(ctx, o, func() ([]*peerpb.FileInfo, *peerpb.Refusal) {
		var out []*peerpb.FileInfo
		for id := range o.fileIDs {
			if f, ok := o.state.File(id); ok && f.Sealed != nil && f.Sealed.Workspace == in.Workspace && pastCursor(f.SealedMs, f.ID, in.BeforeMs, in.BeforeId) {
				out = append(out, &peerpb.FileInfo{File: f.Sealed, CreatedMs: f.SealedMs})
			}
		}
		return newest(out, int(in.Limit), func(f *peerpb.FileInfo) (int64, string) { return f.CreatedMs, f.File.FileId }), nil
	})
}

// readLines calls fn with consecutive groups of lines, starting at line first.
func (o *partitionOwner) readLines(ctx context.Context, workspace, id string, first uint32, fn func(first uint32, lines [][]byte) error) (*peerpb.Refusal, error) {
	info, refusal := o.fileInfo(ctx, workspace, id)
	if refusal != nil {
		return refusal, nil
	}
	for next := first; next < info.File.Lines; {
		lines, from, refusal := o.readChunk(ctx, id, next)
		if refusal != nil {
			return refusal, nil
		}
		lines = lines[next-from:]
		if err := fn(next, lines); err != nil {
			return nil, err
		}
		next += uint32(len(lines))
	}
	return nil, nil
}

// readChunk returns the lines of the chunk that holds a line, and the number of its
// first line.
func (o *partitionOwner) readChunk(ctx context.Context, id string, line uint32) ([][]byte, uint32, *peerpb.Refusal) {
	for range 2 { // the chunk may move between the lookup and the read
		r, refusal := query(ctx, o, func() (partition.Range, *peerpb.Refusal) {
			if f, ok := o.state.File(id); ok {
				if r, ok := f.Chunk(line); ok {
					return r, nil
				}
			}
			return partition.Range{}, refusalOf(partition.ErrNoFile)
		})
		if refusal != nil {
			return nil, 0, refusal
		}
		b, err := o.manager.reader.batchAt(ctx, o.number, r.Offset, true)
		if err != nil {
			continue
		}
		if lines := partition.LinesAt(id, r, b); lines != nil {
			return lines, r.First, nil
		}
	}
	return nil, 0, refuseUnreadable()
}

// partitionOfFile returns the partition of a file, or -1 for an invalid identifier.
func partitionOfFile(id string) int {
	p, err := ident.FilePartition(id)
	if err != nil {
		return -1
	}
	return p
}

// partitionOfJob returns the partition of a job, or -1 for an invalid identifier.
func partitionOfJob(id string) int {
	p, err := ident.JobPartition(id)
	if err != nil {
		return -1
	}
	return p
}
