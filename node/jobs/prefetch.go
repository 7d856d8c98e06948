package jobs

import (
	"cmp"
	"context"
	"slices"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

const (
	// maxPrefetchBytes is the maximum size of the records of one read of Prefetch, and
	// maxPrefetchSpan that of the offsets that one read covers. Records of other jobs may lie
	// between those of one job.
	maxPrefetchBytes = 256 << 10
	maxPrefetchSpan  = 128
	// prefetchFactor is the size of a read in relation to the blobs that are wanted of it.
	prefetchFactor = 2
)

// Prefetch reads blobs into the cache, many of them with one call to the store where they lie
// close together. Read returns those that it has not read.
func (b *BlobStore) Prefetch(ctx context.Context, blobs [][]joblog.Extent) {
	wanted := b.uncached(blobs)
	for len(wanted) > 1 {
		window, bytes := 1, wanted[0].Bytes
		for window < len(wanted) && wanted[window].Partition == wanted[0].Partition && wanted[window].Offset-wanted[0].Offset < maxPrefetchSpan && bytes < maxPrefetchBytes/prefetchFactor {
			bytes += wanted[window].Bytes
			window++
		}
		if window == 1 {
			wanted = wanted[1:] // no call is saved
			continue
		}
		partition := port.Partition{Topic: BulkTopic, Number: wanted[0].Partition}
		page, err := b.store.Read(ctx, partition, wanted[0].Offset, min(maxPrefetchBytes, prefetchFactor*bytes)+recordFramingBytes, 0)
		if err != nil || len(page.Records) == 0 {
			return
		}
		first, end := page.Records[0].Offset, page.Records[len(page.Records)-1].Offset+1
		read := 0
		for ; read < window && wanted[read].Offset >= first && wanted[read].Offset+int64(wanted[read].Records) <= end; read++ {
			b.cachePrefetched(page, wanted[read])
		}
		wanted = wanted[max(1, read):]
	}
}

// uncached returns the extents of the blobs that have one and are not in the cache, in the order
// in which they lie in the store.
func (b *BlobStore) uncached(blobs [][]joblog.Extent) []joblog.Extent {
	var list []joblog.Extent
	for _, extents := range blobs {
		if len(extents) != 1 || extents[0].Bytes > maxPrefetchBytes {
			continue
		}
		if _, ok := b.cache.get(cacheKey(extents)); !ok {
			list = append(list, extents[0])
		}
	}
	slices.SortFunc(list, func(a, b joblog.Extent) int {
		return cmp.Or(cmp.Compare(a.Partition, b.Partition), cmp.Compare(a.Offset, b.Offset))
	})
	return list
}

// cachePrefetched puts the blob at an extent that a page holds into the cache.
func (b *BlobStore) cachePrefetched(page port.Page, e joblog.Extent) {
	data := make([]byte, 0, e.Bytes)
	for i := range e.Records {
		data = append(data, page.Records[e.Offset-page.Records[0].Offset+int64(i)].Payload...)
	}
	b.cache.put(cacheKey([]joblog.Extent{e}), data)
}
