package owner

import (
	"container/list"
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthnotch/jacinthnotch/domain/ident"
	"github.com/jacinthnotch/jacinthnotch/domain/record"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	// readPageBytes bounds one read, above the largest payload of 512 KiB.
	readPageBytes = 1 << 20
	// baseSearchRecords is how many of the last records are searched for the base.
	baseSearchRecords = 32
	// readTimeout bounds a read that does not wait for new records.
	readTimeout = 5 * time.Second
	// decodedSizeFactor is the assumed ratio of the decoded to the encoded size.
	decodedSizeFactor = 4
)

// errMissing reports a record that the log no longer has or never had.
var errMissing = errors.New("owner: no such record")

func readPage(ctx context.Context, log port.Log, name string, from int64, maxBytes int) (port.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return log.Read(ctx, name, from, maxBytes, 0)
}

type cacheKey struct {
	partition int
	offset    int64
}

type cacheEntry struct {
	key   cacheKey
	batch *recordpb.Batch
	size  int64
}

// reader reads records by offset and keeps an LRU cache of those with bulk data.
// It is safe for concurrent use. The batches are shared and must not be changed.
type reader struct {
	log      port.Log
	maxBytes int64

	mu        sync.Mutex
	usedBytes int64
	lru       *list.List // of *cacheEntry, most recently used first
	entries   map[cacheKey]*list.Element
}

func newReader(log port.Log, limit int64) *reader {
	return &reader{log: log, maxBytes: limit, lru: list.New(), entries: map[cacheKey]*list.Element{}}
}

// put caches a batch if it holds bulk data.
func (r *reader) put(number int, offset int64, b *recordpb.Batch, payload int) {
	if !hasBulkData(b) {
		return
	}
	c := &cacheEntry{key: cacheKey{number, offset}, batch: b, size: int64(payload) * decodedSizeFactor}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.entries[c.key]; ok {
		r.lru.MoveToFront(e)
		return
	}
	r.entries[c.key] = r.lru.PushFront(c)
	r.usedBytes += c.size
	for r.usedBytes > r.maxBytes && r.lru.Len() > 1 {
		last := r.lru.Remove(r.lru.Back()).(*cacheEntry)
		delete(r.entries, last.key)
		r.usedBytes -= last.size
	}
	cacheBytesUsed.Set(r.usedBytes)
}

func (r *reader) get(key cacheKey) (*recordpb.Batch, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[key]
	if !ok {
		cacheMisses.Add(1)
		return nil, false
	}
	cacheHits.Add(1)
	r.lru.MoveToFront(e)
	return e.Value.(*cacheEntry).batch, true
}

// batchAt returns the batch at an offset. readAhead also reads and caches the records
// that follow, for sequential readers.
func (r *reader) batchAt(ctx context.Context, number int, offset int64, readAhead bool) (*recordpb.Batch, error) {
	if b, ok := r.get(cacheKey{number, offset}); ok {
		return b, nil
	}
	size := 1
	if readAhead {
		size = readPageBytes
	}
	page, err := readPage(ctx, r.log, ident.PartitionStream(number), offset, size)
	if err != nil {
		return nil, err
	}
	var found *recordpb.Batch
	for _, rec := range page.Records {
		b, err := record.Decode(rec.Payload)
		if err != nil {
			continue
		}
		if rec.Offset == offset {
			found = b
		}
		r.put(number, rec.Offset, b, len(rec.Payload))
	}
	if found == nil {
		return nil, errMissing
	}
	return found, nil
}

// hasBulkData reports whether a batch holds file lines, item results or a call result.
func hasBulkData(b *recordpb.Batch) bool {
	for _, e := range b.GetEntries() {
		switch e.Kind.(type) {
		case *recordpb.Entry_FileChunk, *recordpb.Entry_ItemResults, *recordpb.Entry_CallFinished:
			return true
		}
	}
	return false
}

func entrySize(e *recordpb.Entry) int { return proto.Size(e) }

// firstEntryTime returns the time of the first entry of a record that has one, or
// zero. Entries that restate aggregates for a snapshot have none.
func firstEntryTime(payload []byte) int64 {
	b, err := record.Decode(payload)
	if err != nil {
		return 0
	}
	for _, e := range b.Entries {
		if e.AtMs > 0 {
			return e.AtMs
		}
	}
	return 0
}
