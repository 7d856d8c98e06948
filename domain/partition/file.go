package partition

import (
	"cmp"
	"slices"

	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// File is an uploaded file. Callers can use it only once it is sealed.
type File struct {
	ID string
	// Sealed is nil until the FileSealed entry of the file is applied.
	Sealed *recordpb.FileSealed
	// Chunks are the positions of the lines, in line order without gaps.
	Chunks   []Range
	SealedMs int64
	// LastChunkMs is the time of the last chunk, or copy of one, before the seal.
	LastChunkMs int64
}

// LineCount returns the number of lines stored so far.
func (f *File) LineCount() uint32 {
	if n := len(f.Chunks); n > 0 {
		return f.Chunks[n-1].First + f.Chunks[n-1].Count
	}
	return 0
}

// Chunk returns the position of the chunk that holds a line.
func (f *File) Chunk(line uint32) (Range, bool) {
	i, found := f.searchChunk(line)
	if !found && i > 0 {
		i--
	}
	if i >= len(f.Chunks) || line < f.Chunks[i].First || line-f.Chunks[i].First >= f.Chunks[i].Count {
		return Range{}, false
	}
	return f.Chunks[i], true
}

func (f *File) searchChunk(first uint32) (int, bool) {
	return slices.BinarySearchFunc(f.Chunks, first, func(r Range, l uint32) int { return cmp.Compare(r.First, l) })
}

// putChunk adds the next chunk or moves a known one to a newer position. The id of
// a file is the digest of its content. A chunk of the same lines is therefore the
// same chunk, whether a caller sent it again or the owner appended a copy.
func (f *File) putChunk(r Range) bool {
	if r.Count == 0 {
		return false
	}
	if r.First == f.LineCount() {
		f.Chunks = append(f.Chunks, r)
		return true
	}
	i, found := f.searchChunk(r.First)
	if !found || f.Chunks[i].Count != r.Count {
		return false
	}
	f.Chunks[i] = r
	return true
}

func (s *State) fileChunk(at Location, atMs int64, e *recordpb.FileChunk) bool {
	f, ok := s.files[e.FileId]
	if !ok {
		if e.FirstLine != 0 || len(e.Lines) == 0 || !s.registerNew(aggregateID{kind: kindFile, id: e.FileId}) {
			return false
		}
		f = &File{ID: e.FileId}
		s.files[e.FileId] = f
	}
	r := Range{Offset: at.Offset, Entry: at.Entry, First: e.FirstLine, Count: uint32(len(e.Lines))}
	if !f.putChunk(r) {
		return false
	}
	if f.Sealed == nil {
		f.LastChunkMs = atMs
	}
	return true
}

func (s *State) fileSealed(a *Applied, atMs int64, e *recordpb.FileSealed) bool {
	f, ok := s.files[e.FileId]
	if !ok || f.Sealed != nil || int(e.Chunks) != len(f.Chunks) || e.Lines != f.LineCount() {
		return false
	}
	f.Sealed, f.SealedMs = e, max(atMs, 1) // zero means not sealed
	a.addEvent(&FileSealed{FileID: e.FileId})
	return true
}

// fileRestated applies one part of a restatement. Each part has the seal, because
// the file may be sealed between two parts.
func (s *State) fileRestated(e *recordpb.FileRestated) bool {
	id := e.GetFile().GetFileId()
	var last Range
	if n := len(e.Chunks); n > 0 {
		r := rangeOf(e.Chunks[n-1])
		last.First = r.First + r.Count
	}
	if !s.admitRestatement(aggregateID{kind: kindFile, id: id}, last, e.More) {
		return true
	}
	f, ok := s.files[id]
	if e.Part == 0 {
		f = &File{ID: id}
		s.files[id] = f
	} else if !ok {
		return true
	}
	for _, c := range e.Chunks {
		f.putChunk(rangeOf(c))
	}
	f.LastChunkMs = e.TouchedMs
	if e.SealedMs != 0 {
		f.Sealed, f.SealedMs = e.File, e.SealedMs
	}
	return true
}

// restate returns the part of the restatement that starts at line from.First, with
// at most about budget bytes, and the position from which the next part continues.
func (f *File) restate(from Range, budget int) (e *recordpb.Entry, last Range, more bool) {
	p := &recordpb.FileRestated{SealedMs: f.SealedMs, TouchedMs: f.LastChunkMs, File: f.Sealed}
	if f.Sealed == nil {
		p.File = &recordpb.FileSealed{FileId: f.ID}
	}
	if from.First > 0 {
		p.Part = 1
	}
	i, _ := f.searchChunk(from.First)
	n := min(len(f.Chunks)-i, max(1, budget/maxRangeBytes))
	for _, r := range f.Chunks[i : i+n] {
		p.Chunks = append(p.Chunks, r.proto())
		last.First = r.First + r.Count
	}
	p.More = i+n < len(f.Chunks)
	return &recordpb.Entry{Kind: &recordpb.Entry_FileRestated{FileRestated: p}}, last, p.More
}
