package jobs

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

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

// recordOverhead is kept from the largest record for framing, in bytes.
const recordOverhead = 1 << 10

// Limits of the store.
type Limits struct {
	// RecordBytes and CallBytes bound one record and the records of one call.
	RecordBytes, CallBytes int
	// Partitions is the number of partitions of the bulk topic.
	Partitions int
	// CacheBytes bounds the cached blobs.
	CacheBytes int
}

// Bulk writes and reads blobs. It is safe for concurrent use.
type Bulk struct {
	store  port.Store
	limits Limits
	cache  blobCache
}

// NewBulk returns the blobs of a store.
func NewBulk(store port.Store, limits Limits) *Bulk {
	return &Bulk{store: store, limits: limits, cache: blobCache{limit: limits.CacheBytes, blobs: map[string]*blob{}}}
}

// Write appends blobs to a partition and returns the extents of each. Either all of
// them are written or an error is returned; blobs of a failed write are garbage that
// expires.
func (b *Bulk) Write(ctx context.Context, partition int, blobs [][]byte) ([][]joblog.Extent, error) {
	partition %= max(1, b.limits.Partitions)
	extents := make([][]joblog.Extent, len(blobs))
	var records [][]byte
	var owners []int
	size := 0
	flush := func() error {
		if len(records) == 0 {
			return nil
		}
		first, err := b.store.Append(ctx, port.Partition{Topic: BulkTopic, Number: partition}, records)
		if err != nil {
			return err
		}
		for i, r := range records {
			extents[owners[i]] = addRecord(extents[owners[i]], partition, first+int64(i), len(r))
		}
		records, owners, size = records[:0], owners[:0], 0
		return nil
	}
	for i, data := range blobs {
		for _, r := range split(data, b.limits.RecordBytes-recordOverhead) {
			if size+len(r)+recordOverhead > b.limits.CallBytes {
				if err := flush(); err != nil {
					return nil, err
				}
			}
			records, owners, size = append(records, r), append(owners, i), size+len(r)+recordOverhead
		}
	}
	if err := flush(); err != nil {
		return nil, err
	}
	for i, e := range extents {
		b.cache.put(key(e), blobs[i])
	}
	return extents, nil
}

// addRecord extends the last extent by a record that follows it, or adds one.
func addRecord(list []joblog.Extent, partition int, offset int64, size int) []joblog.Extent {
	if n := len(list); n > 0 && list[n-1].Offset+int64(list[n-1].Records) == offset {
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
func (b *Bulk) Read(ctx context.Context, extents []joblog.Extent) ([]byte, error) {
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
