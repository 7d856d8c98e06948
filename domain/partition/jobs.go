package partition

import (
	"errors"
	"fmt"

	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	// MaxChunkBytes bounds the lines of one chunk, so that a chunk leaves room for
	// other entries in its batch.
	MaxChunkBytes = 128 << 10
	// MaxLineBytes bounds one line of a file; it fits into a payload uncompressed.
	MaxLineBytes = 384 << 10
)

var (
	// ErrLineTooLarge reports a line above MaxLineBytes.
	ErrLineTooLarge = errors.New("partition: line too large")
	// ErrKeyConflict reports a key that is bound to another content.
	ErrKeyConflict = errors.New("partition: key is bound to another content")
	// ErrNoFile reports a file that does not exist or is not sealed.
	ErrNoFile = errors.New("partition: no such file")
	// ErrNoJob reports a job that does not exist.
	ErrNoJob = errors.New("partition: no such job")
	// ErrItemCount reports a file without lines or with more than MaxItems.
	ErrItemCount = errors.New("partition: number of items out of range")
	// ErrJobCompleted reports the cancellation of a job that is already complete.
	ErrJobCompleted = errors.New("partition: job is complete")
)

// BindKey binds a job key. The first binding in stream order stands: without an
// entry the answer is final, with one it is once the entry is read back.
func BindKey(s *State, b *recordpb.KeyBound, nowMs int64) (jobID string, e *recordpb.Entry, err error) {
	if k, ok := s.Key(Ref{Workspace: b.Workspace, Key: b.Key}); ok {
		if k.Content != string(b.Content) {
			return "", nil, ErrKeyConflict
		}
		return k.JobID, nil, nil
	}
	return b.JobId, &recordpb.Entry{AtMs: nowMs, Kind: &recordpb.Entry_KeyBound{KeyBound: b}}, nil
}

// SplitChunks cuts the lines of a file into chunks. Equal lines give equal
// chunks, so that an upload that is sent again meets its own chunks.
func SplitChunks(fileID string, lines [][]byte) ([]*recordpb.FileChunk, error) {
	var out []*recordpb.FileChunk
	size := 0
	for i, l := range lines {
		if len(l) > MaxLineBytes {
			return nil, fmt.Errorf("%w: line %d has %d bytes", ErrLineTooLarge, i+1, len(l))
		}
		if n := len(out); n == 0 || size+len(l) > MaxChunkBytes {
			out = append(out, &recordpb.FileChunk{FileId: fileID, Index: uint32(n), FirstLine: uint32(i)})
			size = 0
		}
		c := out[len(out)-1]
		c.Lines = append(c.Lines, l)
		size += len(l)
	}
	return out, nil
}

// StoreFile returns the entries that a file still needs, none once it is
// sealed. An upload that stopped in the middle goes on where it stopped.
func StoreFile(s *State, seal *recordpb.FileSealed, chunks []*recordpb.FileChunk, nowMs int64) []*recordpb.Entry {
	f, ok := s.File(seal.FileId)
	if ok && f.Sealed != nil {
		return nil
	}
	have := 0
	if ok {
		have = len(f.Chunks)
	}
	var out []*recordpb.Entry
	for _, c := range chunks[min(have, len(chunks)):] {
		out = append(out, &recordpb.Entry{AtMs: nowMs, Kind: &recordpb.Entry_FileChunk{FileChunk: c}})
	}
	return append(out, &recordpb.Entry{AtMs: nowMs, Kind: &recordpb.Entry_FileSealed{FileSealed: seal}})
}

// CreateJob returns the entry that creates a job, nil if it exists: a resend is
// the same job. The number of items is that of the file's lines. The job exists
// if the state has it once the entry is read back.
func CreateJob(s *State, c *recordpb.JobCreated, nowMs int64) (*recordpb.Entry, error) {
	if _, ok := s.Job(c.JobId); ok {
		return nil, nil
	}
	f, ok := s.File(c.FileId)
	if !ok || f.Sealed == nil {
		return nil, ErrNoFile
	}
	c.Items = f.LineCount()
	if c.Items == 0 || c.Items > MaxItems {
		return nil, fmt.Errorf("%w: %d", ErrItemCount, c.Items)
	}
	c.Weight = max(c.Weight, 1)
	return &recordpb.Entry{AtMs: nowMs, Kind: &recordpb.Entry_JobCreated{JobCreated: c}}, nil
}

// CancelJob returns the entry that cancels a job, nil if it is cancelled already.
func CancelJob(s *State, jobID, actor string, nowMs int64) (*recordpb.Entry, error) {
	j, ok := s.Job(jobID)
	switch {
	case !ok:
		return nil, ErrNoJob
	case j.Cancelled:
		return nil, nil
	case j.Terminal():
		return nil, ErrJobCompleted
	}
	return &recordpb.Entry{AtMs: nowMs, Kind: &recordpb.Entry_JobCancelled{
		JobCancelled: &recordpb.JobCancelled{JobId: jobID, Actor: actor}}}, nil
}
