package jobs

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// Topics of the store that hold batch jobs.
const (
	// IndexTopic has a single partition. The order of its records resolves conflicts.
	IndexTopic = "jobs"
	// BulkTopic holds the items of submissions and the outputs of items.
	BulkTopic = "bulk"
)

const (
	// recordFramingBytes is the part of the maximum record size that is reserved for
	// framing.
	recordFramingBytes = 1 << 10
	// maxPartitionAttempts is the maximum number of partitions that one append tries.
	// Partial outages of the store affect a third of its partitions.
	maxPartitionAttempts = 3
	// partitionCooldown is the time after a failed append for which a partition is tried
	// only after the others.
	partitionCooldown = time.Second
)

// BlobStoreOptions are the limits of the store and of the cache.
type BlobStoreOptions struct {
	// RecordBytes is the maximum size of one record, and CallBytes that of all records of
	// one call.
	RecordBytes, CallBytes int
	// Partitions is the number of partitions of the bulk topic.
	Partitions int
	// CacheBytes is the maximum total size of the cached blobs.
	CacheBytes int
	// IsStoreAway reports whether no path to the store works, so that no other partition need
	// be tried; nil means that this is not known.
	IsStoreAway func() bool
}

// BlobStore writes blobs to the bulk topic and reads them. It is safe for concurrent use.
type BlobStore struct {
	store   port.Store
	options BlobStoreOptions
	cache   blobCache

	mu sync.Mutex
	// failedUntil holds, by partition, the end of the cooldown after a failed append.
	failedUntil map[int]time.Time
}

// NewBlobStore returns a blob store that uses the given store.
func NewBlobStore(store port.Store, options BlobStoreOptions) *BlobStore {
	return &BlobStore{store: store, options: options, failedUntil: map[int]time.Time{}, cache: blobCache{maxBytes: options.CacheBytes, blobs: map[string]*cachedBlob{}}}
}

// Write appends blobs to the preferred partition or, if that one fails, to others, and
// returns the extents of each blob. If it returns an error, some blobs may have been
// written. Nothing refers to them, and they expire.
func (b *BlobStore) Write(ctx context.Context, preferred int, blobs [][]byte) ([][]joblog.Extent, error) {
	w := blobWrite{blobStore: b, partitions: b.partitionOrder(time.Now(), preferred), extents: make([][]joblog.Extent, len(blobs))}
	for i, data := range blobs {
		for _, r := range splitRecords(data, b.options.RecordBytes-recordFramingBytes) {
			if w.bytes+len(r)+recordFramingBytes > b.options.CallBytes {
				if err := w.flush(ctx); err != nil {
					return nil, err
				}
			}
			w.records, w.blobIndexes, w.bytes = append(w.records, r), append(w.blobIndexes, i), w.bytes+len(r)+recordFramingBytes
		}
	}
	if err := w.flush(ctx); err != nil {
		return nil, err
	}
	for i, e := range w.extents {
		b.cache.put(cacheKey(e), blobs[i])
	}
	return w.extents, nil
}

// partitionOrder returns the partitions in the order in which to try them: from the
// preferred one on, with those in their cooldown at the end.
func (b *BlobStore) partitionOrder(now time.Time, preferred int) []int {
	n := max(1, b.options.Partitions)
	b.mu.Lock()
	defer b.mu.Unlock()
	var healthy, failed []int
	for i := range n {
		p := (preferred + i) % n
		if now.Before(b.failedUntil[p]) {
			failed = append(failed, p)
		} else {
			healthy = append(healthy, p)
		}
	}
	return append(healthy, failed...)
}

// recordAppend records whether an append to a partition succeeded.
func (b *BlobStore) recordAppend(partition int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		delete(b.failedUntil, partition)
	} else {
		b.failedUntil[partition] = time.Now().Add(partitionCooldown)
	}
}

// blobWrite is the state of one call of Write.
type blobWrite struct {
	blobStore *BlobStore
	// partitions are the partitions left to try. The first one is in use.
	partitions []int
	records    [][]byte
	// blobIndexes holds, by record, the index of its blob.
	blobIndexes []int
	bytes       int
	extents     [][]joblog.Extent
}

// flush appends the collected records in one call. If a partition fails, it tries the
// next one, because the store may reject calls to some partitions and serve the others.
func (w *blobWrite) flush(ctx context.Context) error {
	if len(w.records) == 0 {
		return nil
	}
	for tries := 1; ; tries++ {
		partition := w.partitions[0]
		first, err := w.blobStore.store.Append(ctx, port.Partition{Topic: BulkTopic, Number: partition}, w.records)
		if ctx.Err() == nil || err == nil {
			w.blobStore.recordAppend(partition, err == nil)
		}
		if err == nil {
			for i, r := range w.records {
				w.extents[w.blobIndexes[i]] = addRecord(w.extents[w.blobIndexes[i]], partition, first+int64(i), len(r))
			}
			w.records, w.blobIndexes, w.bytes = w.records[:0], w.blobIndexes[:0], 0
			return nil
		}
		away := w.blobStore.options.IsStoreAway != nil && w.blobStore.options.IsStoreAway()
		if away || ctx.Err() != nil || tries == maxPartitionAttempts || len(w.partitions) == 1 {
			return err
		}
		klog.InfoS("append to a bulk partition failed", "topic", BulkTopic, "partition", partition, "for", partitionCooldown, "err", err)
		w.partitions = w.partitions[1:]
	}
}

// addRecord adds a record to the last extent if it directly follows it, and else appends
// a new extent.
func addRecord(list []joblog.Extent, partition int, offset int64, size int) []joblog.Extent {
	if n := len(list); n > 0 && list[n-1].Partition == partition && list[n-1].Offset+int64(list[n-1].Records) == offset {
		list[n-1].Records++
		list[n-1].Bytes += size
		return list
	}
	return append(list, joblog.Extent{Partition: partition, Offset: offset, Records: 1, Bytes: size})
}

// splitRecords splits a blob into records of at most size bytes. An empty blob is one
// empty record.
func splitRecords(data []byte, size int) [][]byte {
	var records [][]byte
	for len(data) > size {
		records, data = append(records, data[:size]), data[size:]
	}
	return append(records, data)
}

// Read returns the blob that is stored at the extents.
func (b *BlobStore) Read(ctx context.Context, extents []joblog.Extent) ([]byte, error) {
	if data, ok := b.cache.get(cacheKey(extents)); ok {
		return data, nil
	}
	var data []byte
	for _, e := range extents {
		next, end := e.Offset, e.Offset+int64(e.Records)
		left := e.Bytes
		for next < end {
			page, err := b.store.Read(ctx, port.Partition{Topic: BulkTopic, Number: e.Partition}, next, left+recordFramingBytes, 0)
			if err != nil {
				return nil, err
			}
			if len(page.Records) == 0 {
				return nil, fmt.Errorf("%w: record %d of partition %d is missing", port.ErrUnavailable, next, e.Partition)
			}
			for _, r := range page.Records {
				if r.Offset >= next && r.Offset < end {
					data, next, left = append(data, r.Payload...), r.Offset+1, left-len(r.Payload)
				}
			}
		}
	}
	b.cache.put(cacheKey(extents), data)
	return data, nil
}

// cacheKey returns the key of a blob in the cache: the position of its first record.
func cacheKey(extents []joblog.Extent) string {
	if len(extents) == 0 {
		return ""
	}
	return fmt.Sprintf("%d/%d", extents[0].Partition, extents[0].Offset)
}

type cachedBlob struct {
	data     []byte
	lastUsed time.Time
}

// blobCache is a cache with a limited total size that evicts the least recently used
// blobs.
type blobCache struct {
	mu       sync.Mutex
	maxBytes int
	size     int
	blobs    map[string]*cachedBlob
}

func (c *blobCache) get(key string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.blobs[key]
	if b == nil {
		return nil, false
	}
	b.lastUsed = time.Now()
	return b.data, true
}

func (c *blobCache) put(key string, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if key == "" || len(data) > c.maxBytes/2 || c.blobs[key] != nil {
		return
	}
	c.blobs[key] = &cachedBlob{data: data, lastUsed: time.Now()}
	c.size += len(data)
	for c.size > c.maxBytes {
		oldest := ""
		for k, b := range c.blobs {
			if oldest == "" || b.lastUsed.Before(c.blobs[oldest].lastUsed) {
				oldest = k
			}
		}
		c.size -= len(c.blobs[oldest].data)
		delete(c.blobs, oldest)
	}
}

// noEffect reports whether a failed call is known to have had no effect.
func noEffect(err error) bool { return errors.Is(err, port.ErrUnavailable) }
