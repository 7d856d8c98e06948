package batchapi

import (
	"bytes"
	"fmt"
	"iter"
	"sync/atomic"
	"time"

	"github.com/klauspost/compress/zstd"

	"github.com/jacinthnotch/jacinthnotch/node/api"
)

const (
	// spoolBlockBytes is the size of an uncompressed block.
	spoolBlockBytes = 256 << 10
	// spoolFixedBytes is the memory of one upload apart from its content: the current
	// block, the encoder's window and the reader's buffers.
	spoolFixedBytes = 1 << 20
	// spoolLineBytes is the memory of one entry of checker.ids: digest and line number
	// at the usual load factor of a map.
	spoolLineBytes = 64
	// uploadRetryAfter is the delay after which a refused upload may be retried.
	uploadRetryAfter = 5 * time.Second
)

// memoryBudget limits the memory of all uploads in progress, in bytes.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve reserves n bytes, or refuses the upload if that would exceed the limit.
func (b *memoryBudget) reserve(n int64) error {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		uploadsRefused.Add(1)
		return api.Unavailable(api.CodeOverloaded, uploadRetryAfter, "too many uploads are in progress")
	}
	return nil
}

// spool buffers the lines of one upload, compressed, until all of them have been
// validated. The buffer is necessary because the identifier of a file depends on its
// whole content, and because no part of a file may be recorded before all of it is
// known to be valid. It is in memory because an instance has no disk.
type spool struct {
	budget *memoryBudget
	enc    *zstd.Encoder
	// block holds the lines that are not compressed yet; pendingLines is their number.
	block        bytes.Buffer
	pendingLines int
	// blocks are the compressed blocks.
	blocks [][]byte
	// reserved is the memory reserved from the budget, in bytes.
	reserved int64
}

func newSpool(b *memoryBudget) (*spool, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(spoolBlockBytes))
	if err != nil {
		return nil, fmt.Errorf("batchapi: zstd encoder: %w", err)
	}
	s := &spool{budget: b, enc: enc}
	if err := s.reserve(spoolFixedBytes); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *spool) reserve(n int64) error {
	if err := s.budget.reserve(n); err != nil {
		return err
	}
	s.reserved += n
	return nil
}

// add appends one line, which must not contain a line break.
func (s *spool) add(line []byte) error {
	s.block.Write(line)
	s.block.WriteByte('\n')
	s.pendingLines++
	if s.block.Len() < spoolBlockBytes {
		return nil
	}
	return s.flush()
}

// flush compresses the current block.
func (s *spool) flush() error {
	if s.block.Len() == 0 {
		return nil
	}
	compressed := bytes.Clone(s.enc.EncodeAll(s.block.Bytes(), nil))
	s.block.Reset()
	if err := s.reserve(int64(len(compressed) + s.pendingLines*spoolLineBytes)); err != nil {
		return err
	}
	s.pendingLines = 0
	s.blocks = append(s.blocks, compressed)
	return nil
}

// lines returns an iterator over the lines, which may be used several times. flush
// must have been called. A decoding error ends the iteration and is stored in *decodeErr.
func (s *spool) lines(decodeErr *error) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1))
		if err != nil {
			*decodeErr = fmt.Errorf("batchapi: zstd decoder: %w", err)
			return
		}
		defer dec.Close()
		for _, compressed := range s.blocks {
			block, err := dec.DecodeAll(compressed, nil)
			if err != nil {
				*decodeErr = fmt.Errorf("batchapi: zstd block: %w", err)
				return
			}
			for line := range bytes.Lines(block) {
				if !yield(line[:len(line)-1]) {
					return
				}
			}
		}
	}
}

// release discards the lines and returns their memory to the budget.
func (s *spool) release() {
	s.budget.used.Add(-s.reserved)
	s.reserved, s.blocks = 0, nil
	// Close cannot fail, because an encoder without a writer has nothing to flush.
	_ = s.enc.Close()
}
