package partition

import (
	"errors"
	"fmt"

	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	// MaxChunkBytes is the size to which the lines of a chunk or the results of an
	// entry are filled. It leaves room for other entries in the batch. A single line
	// or result may be larger.
	MaxChunkBytes = 128 << 10
	// MaxLineBytes is the maximum size of a line of a file and of an encoded item
	// result. It fits into a payload even if it cannot be compressed.
	MaxLineBytes = 384 << 10
)

var (
	// ErrLineTooLarge reports a line above MaxLineBytes.
	ErrLineTooLarge = errors.New("partition: line too large")
	// ErrKeyConflict reports a key that is bound to other content.
	ErrKeyConflict = errors.New("partition: key is bound to other content")
	// ErrNoFile reports a file that does not exist or is not sealed.
	ErrNoFile = errors.New("partition: no such file")
	// ErrNoJob reports a job that does not exist.
	ErrNoJob = errors.New("partition: no such job")
	// ErrItemCount reports a file without lines or with more than MaxItems.
	ErrItemCount = errors.New("partition: number of items out of range")
	// ErrJobCompleted reports the cancellation of a job that is already complete.
	ErrJobCompleted = errors.New("partition: job is complete")
)

// BindKey binds a job key to a job. The first binding in stream order is final: if
// no entry is returned the job is the one already bound, otherwise the caller looks
// the binding up once the entry is read back.
func BindKey(s *State, b *recordpb.KeyBound, nowMs int64) (jobID string, e *recordpb.Entry, err error) {
	if k, ok := s.Key(Ref{Workspace: b.Workspace, Key: b.Key}); ok {
		if k.Content != string(b.Content) {
			return "", nil, ErrKeyConflict
		}
		return k.JobID, nil, nil
	}
	return b.JobId, &recordpb.Entry{AtMs: nowMs, Kind: &recordpb.Entry_KeyBound{KeyBound: b}}, nil
}

// SplitChunks splits the lines of a file into chunks. The same lines always give the
// same chunks, so that a repeated upload can continue after those already stored.
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

// StoreFile returns the entries that are missing to complete a file, none if it is
// sealed. An interrupted upload continues after the last stored chunk.
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

// CreateJob returns the entry that creates a job, nil if the job exists, so that a
// repeated request does not create another one. It sets the number of items to the
// number of lines of the file. The job was created if the state has it once the
// entry is read back.
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

// CancelJob returns the entry that cancels a job, nil if the job is already cancelled.
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
