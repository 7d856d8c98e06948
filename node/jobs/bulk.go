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

// Topics of the system in the store.
const (
	// IndexTopic has one partition, whose order decides.
	IndexTopic = "jobs"
	// BulkTopic holds submissions and outputs.
	BulkTopic = "bulk"
)

const (
	// recordOverhead is kept from the largest record for framing, in bytes.
	recordOverhead = 1 << 10
	// partitionTries bounds the partitions that one append tries. Outages of a part of
	// the store take a third of its partitions.
	partitionTries = 3
	// partitionPause is the time for which a partition that failed is tried last.
	partitionPause = time.Second
)

// BlobStoreOptions of the store.
type BlobStoreOptions struct {
	// RecordBytes and CallBytes bound one record and the records of one call.
	RecordBytes, CallBytes int
	// Partitions is the number of partitions of the bulk topic.
	Partitions int
	// CacheBytes bounds the cached blobs.
	CacheBytes int
}

// BlobStore writes and reads blobs. It is safe for concurrent use.
type BlobStore struct {
	store  port.Store
	limits BlobStoreOptions
	cache  blobCache

	mu sync.Mutex
	// failed holds, by partition, until when it is tried last.
	failed map[int]time.Time
}

// NewBlobStore returns the blobs of a store.
func NewBlobStore(store port.Store, limits BlobStoreOptions) *BlobStore {
	return &BlobStore{store: store, limits: limits, failed: map[int]time.Time{}, cache: blobCache{limit: limits.CacheBytes, blobs: map[string]*blob{}}}
}

// Write appends blobs to the preferred partition or, while that one fails, to others,
// and returns the extents of each. Either all of them are written or an error is
// returned; blobs of a failed write are garbage that expires.
func (b *BlobStore) Write(ctx context.Context, preferred int, blobs [][]byte) ([][]joblog.Extent, error) {
	w := bulkWrite{bulk: b, order: b.order(time.Now(), preferred), extents: make([][]joblog.Extent, len(blobs))}
	for i, data := range blobs {
		for _, r := range split(data, b.limits.RecordBytes-recordOverhead) {
			if w.size+len(r)+recordOverhead > b.limits.CallBytes {
				if err := w.flush(ctx); err != nil {
					return nil, err
				}
			}
			w.records, w.owners, w.size = append(w.records, r), append(w.owners, i), w.size+len(r)+recordOverhead
		}
	}
	if err := w.flush(ctx); err != nil {
		return nil, err
	}
	for i, e := range w.extents {
		b.cache.put(key(e), blobs[i])
	}
	return w.extents, nil
}

// order returns the partitions to try: the preferred one first, those that have failed
// lately last.
func (b *BlobStore) order(now time.Time, preferred int) []int {
	n := max(1, b.limits.Partitions)
	b.mu.Lock()
	defer b.mu.Unlock()
	var good, bad []int
	for i := range n {
		p := (preferred + i) % n
		if now.Before(b.failed[p]) {
			bad = append(bad, p)
		} else {
			good = append(good, p)
		}
	}
	return append(good, bad...)
}

// note records whether a partition took an append.
func (b *BlobStore) note(partition int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		delete(b.failed, partition)
	} else {
		b.failed[partition] = time.Now().Add(partitionPause)
	}
}

// bulkWrite is one write of blobs.
type bulkWrite struct {
	bulk *BlobStore
	// order are the partitions that are left to try.
	order   []int
	records [][]byte
	// owners holds the index of each record's blob.
	owners  []int
	size    int
	extents [][]joblog.Extent
}

// flush appends the collected records in one call. The store may refuse some of its
// partitions while it serves the others.
func (w *bulkWrite) flush(ctx context.Context) error {
	if len(w.records) == 0 {
		return nil
	}
	for tries := 1; ; tries++ {
		partition := w.order[0]
		first, err := w.bulk.store.Append(ctx, port.Partition{Topic: BulkTopic, Number: partition}, w.records)
		if ctx.Err() == nil || err == nil {
			w.bulk.note(partition, err == nil)
		}
		if err == nil {
			for i, r := range w.records {
				w.extents[w.owners[i]] = addRecord(w.extents[w.owners[i]], partition, first+int64(i), len(r))
			}
			w.records, w.owners, w.size = w.records[:0], w.owners[:0], 0
			return nil
		}
		if ctx.Err() != nil || tries == partitionTries || len(w.order) == 1 {
			return err
		}
		klog.InfoS("partition left out", "topic", BulkTopic, "partition", partition, "for", partitionPause, "err", err)
		w.order = w.order[1:]
	}
}

// addRecord extends the last extent by a record that follows it, or adds one.
func addRecord(list []joblog.Extent, partition int, offset int64, size int) []joblog.Extent {
	if n := len(list); n > 0 && list[n-1].Partition == partition && list[n-1].Offset+int64(list[n-1].Records) == offset {
		list[n-1].Records++
		list[n-1].Bytes += size
		return list
	}
	return append(list, joblog.Extent{Partition: partition, Offset: offset, Records: 1, Bytes: size})
}

// split cuts data into records; an empty blob is one empty record.
func split(data []byte, size int) [][]byte {
	var records [][]byte
	for len(data) > size {
		records, data = append(records, data[:size]), data[size:]
	}
	return append(records, data)
}

// Read returns the blob that the extents name.
func (b *BlobStore) Read(ctx context.Context, extents []joblog.Extent) ([]byte, error) {
	if data, ok := b.cache.get(key(extents)); ok {
		return data, nil
	}
	var data []byte
	for _, e := range extents {
		next, end := e.Offset, e.Offset+int64(e.Records)
		left := e.Bytes
		for next < end {
			page, err := b.store.Read(ctx, port.Partition{Topic: BulkTopic, Number: e.Partition}, next, left+recordOverhead, 0)
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
	b.cache.put(key(extents), data)
	return data, nil
}

// key names a blob by the place of its first record.
func key(extents []joblog.Extent) string {
	if len(extents) == 0 {
		return ""
	}
	return fmt.Sprintf("%d/%d", extents[0].Partition, extents[0].Offset)
}

type blob struct {
	data []byte
	used time.Time
}

// blobCache drops the blobs that were used least recently.
type blobCache struct {
	mu    sync.Mutex
	limit int
	size  int
	blobs map[string]*blob
}

func (c *blobCache) get(key string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.blobs[key]
	if b == nil {
		return nil, false
	}
	b.used = time.Now()
	return b.data, true
}

func (c *blobCache) put(key string, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if key == "" || len(data) > c.limit/2 || c.blobs[key] != nil {
		return
	}
	c.blobs[key] = &blob{data: data, used: time.Now()}
	c.size += len(data)
	for c.size > c.limit {
		oldest := ""
		for k, b := range c.blobs {
			if oldest == "" || b.used.Before(c.blobs[oldest].used) {
				oldest = k
			}
		}
		c.size -= len(c.blobs[oldest].data)
		delete(c.blobs, oldest)
	}
}

// noEffect reports whether a failed call is known to have done nothing.
func noEffect(err error) bool { return errors.Is(err, port.ErrUnavailable) }
