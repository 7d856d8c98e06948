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
// time, 1 MiB, so that eight uploads fit into the pending entries of a partition.
const uploadWindow = 8

// itemPlace is where the result of an item stands.
type itemPlace struct {
	item  uint32
	at    uint32 // index of the range
	index uint32 // within the range
}

// order reads the results once to find the item of each and sorts them by item.
func (d *duty) order(ctx context.Context, jobID string, ranges []partition.Range) ([]itemPlace, *peerpb.Refusal) {
	var places []itemPlace
	for i, r := range ranges {
		results, refusal := d.resultsAt(ctx, jobID, r)
		if refusal != nil {
			return nil, refusal
		}
		for k, res := range results {
			places = append(places, itemPlace{item: res.Item, at: uint32(i), index: uint32(k)})
		}
	}
	slices.SortFunc(places, func(a, b itemPlace) int { return cmp.Compare(a.item, b.item) })
	return places, nil
}

// newest returns at most limit elements, newest first.
func newest[T any](list []T, limit int, at func(T) (int64, string)) []T {
	slices.SortFunc(list, func(a, b T) int {
		ams, aid := at(a)
		bms, bid := at(b)
		if c := cmp.Compare(bms, ams); c != 0 {
			return c
		}
		return cmp.Compare(bid, aid)
	})
	return list[:min(limit, len(list))]
}

// upload stores a file chunk by chunk.
type upload struct {
	d      *duty
	seal   *recordpb.FileSealed
	chunk  *recordpb.FileChunk // being filled
	size   int
	window []*recordpb.FileChunk
	chunks uint32
	lines  uint32
}

// putFile records the lines and the seal of a file and returns the file that stands.
func (d *duty) putFile(ctx context.Context, seal *recordpb.FileSealed, lines iter.Seq2[[]byte, error]) (*peerpb.FileInfo, error) {
	if seal == nil {
		return &peerpb.FileInfo{Refusal: refuse(api.CodeInvalidRequest, "no file named")}, nil
	}
	info, refusal := d.fileInfo(ctx, seal.Workspace, seal.FileId)
	if refusal == nil || refusal.Code != string(api.CodeNotFound) {
		return fileOr(info, refusal), nil
	}
	u := &upload{d: d, seal: seal}
	for line, err := range lines {
		if err != nil {
			return nil, err
		}
		if refusal := u.line(ctx, line); refusal != nil {
			return fileOr(nil, refusal), nil
		}
	}
	if refusal := u.flush(ctx, true); refusal != nil {
		return fileOr(nil, refusal), nil
	}
	return fileOr(d.fileInfo(ctx, seal.Workspace, seal.FileId)), nil
}

func fileOr(info *peerpb.FileInfo, r *peerpb.Refusal) *peerpb.FileInfo {
	if r != nil {
		return &peerpb.FileInfo{Refusal: r}
	}
	return info
}

// line adds a line with the boundaries of partition.SplitChunks.
func (u *upload) line(ctx context.Context, line []byte) *peerpb.Refusal {
	if len(line) > partition.MaxLineBytes {
		return refusalOf(partition.ErrLineTooLarge)
	}
	if u.chunk != nil && u.size+len(line) > partition.MaxChunkBytes {
		u.cut()
		if len(u.window) >= uploadWindow {
			if r := u.flush(ctx, false); r != nil {
				return r
			}
		}
	}
	if u.chunk == nil {
		u.chunk = &recordpb.FileChunk{FileId: u.seal.FileId, Index: u.chunks, FirstLine: u.lines}
		u.chunks++
	}
	u.chunk.Lines = append(u.chunk.Lines, append([]byte(nil), line...))
	u.size += len(line)
	u.lines++
	return nil
}

func (u *upload) cut() {
	if u.chunk != nil {
		u.window, u.chunk, u.size = append(u.window, u.chunk), nil, 0
	}
}

// flush records the window, with the seal at the end, and waits for it.
func (u *upload) flush(ctx context.Context, last bool) *peerpb.Refusal {
	if last {
		u.cut()
		u.seal.Chunks, u.seal.Lines = u.chunks, u.lines
	}
	window := u.window
	u.window = nil
	until := waitUntil(ctx, maxWait.Milliseconds())
	_, refusal := ask(ctx, u.d, func(reply func(bool, *peerpb.Refusal)) {
		if u.d.appender.down {
			reply(false, refuseLog())
			return
		}
		entries := u.missing(window, last)
		if len(entries) == 0 {
			reply(true, nil)
			return
		}
		if r := u.d.add(request{deadline: until, done: func(r *peerpb.Refusal) { reply(r == nil, r) }}, entries...); r != nil {
			reply(false, r)
		}
	})
	return refusal
}

// missing returns the entries that the stream does not have yet.
func (u *upload) missing(window []*recordpb.FileChunk, last bool) []*recordpb.Entry {
	f, ok := u.d.state.File(u.seal.FileId)
	if ok && f.Sealed != nil {
		return nil
	}
	var out []*recordpb.Entry
	now := time.Now().UnixMilli()
	for _, c := range window {
		if !ok || c.FirstLine >= f.LineCount() {
			out = append(out, &recordpb.Entry{AtMs: now, Kind: &recordpb.Entry_FileChunk{FileChunk: c}})
		}
	}
	if last {
		out = append(out, &recordpb.Entry{AtMs: now, Kind: &recordpb.Entry_FileSealed{FileSealed: u.seal}})
	}
	return out
}

func (d *duty) fileInfo(ctx context.Context, workspace, id string) (*peerpb.FileInfo, *peerpb.Refusal) {
	return look(ctx, d, func() (*peerpb.FileInfo, *peerpb.Refusal) {
		f, ok := d.state.File(id)
		if !ok || f.Sealed == nil || f.Sealed.Workspace != workspace {
			return nil, refusalOf(partition.ErrNoFile)
		}
		return &peerpb.FileInfo{File: f.Sealed, CreatedMs: f.SealedMs}, nil
	})
}

// noteFiles keeps the identifiers of files, for lists.
func (d *duty) noteFiles(a *partition.Applied) {
	if !a.Valid() {
		return
	}
	for _, e := range a.Batch.Entries {
		switch k := e.Kind.(type) {
		case *recordpb.Entry_FileSealed:
			d.files[k.FileSealed.FileId] = true
		case *recordpb.Entry_FileRestated:
			d.files[k.FileRestated.GetFile().GetFileId()] = true
		case *recordpb.Entry_Expired:
			for _, id := range k.Expired.FileIds {
				delete(d.files, id)
			}
		}
	}
}

// listFiles returns up to limit sealed files of the workspace.
func (d *duty) listFiles(ctx context.Context, in *peerpb.ListFilesRequest) ([]*peerpb.FileInfo, *peerpb.Refusal) {
	return look(ctx, d, func() ([]*peerpb.FileInfo, *peerpb.Refusal) {
		var out []*peerpb.FileInfo
		for id := range d.files {
			if f, ok := d.state.File(id); ok && f.Sealed != nil && f.Sealed.Workspace == in.Workspace && before(f.SealedMs, f.ID, in.BeforeMs, in.BeforeId) {
				out = append(out, &peerpb.FileInfo{File: f.Sealed, CreatedMs: f.SealedMs})
			}
		}
		return newest(out, int(in.Limit), func(f *peerpb.FileInfo) (int64, string) { return f.CreatedMs, f.File.FileId }), nil
	})
}

// content calls fn with runs of lines from line first on.
func (d *duty) content(ctx context.Context, workspace, id string, first uint32, fn func(first uint32, lines [][]byte) error) (*peerpb.Refusal, error) {
	info, refusal := d.fileInfo(ctx, workspace, id)
	if refusal != nil {
		return refusal, nil
	}
	for next := first; next < info.File.Lines; {
		lines, from, refusal := d.lines(ctx, id, next)
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

// lines returns the chunk that holds a line, and its first line.
func (d *duty) lines(ctx context.Context, id string, line uint32) ([][]byte, uint32, *peerpb.Refusal) {
	for range 2 { // the chunk may move between the look-up and the read
		r, refusal := look(ctx, d, func() (partition.Range, *peerpb.Refusal) {
			if f, ok := d.state.File(id); ok {
				if r, ok := f.Chunk(line); ok {
					return r, nil
				}
			}
			return partition.Range{}, refusalOf(partition.ErrNoFile)
		})
		if refusal != nil {
			return nil, 0, refusal
		}
		b, err := d.m.reader.record(ctx, d.number, r.Offset, true)
		if err != nil {
			continue
		}
		if lines := partition.LinesAt(id, r, b); lines != nil {
			return lines, r.First, nil
		}
	}
	return nil, 0, readRefusal()
}

// partitionOfFile and partitionOfJob return -1 for an identifier of another form.
func partitionOfFile(id string) int {
	p, err := ident.FilePartition(id)
	if err != nil {
		return -1
	}
	return p
}

func partitionOfJob(id string) int {
	p, err := ident.JobPartition(id)
	if err != nil {
		return -1
	}
	return p
}
