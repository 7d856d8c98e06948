package jobs

import (
	"context"
	"expvar"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
)

const (
	// defaultContentCacheBytes is the size of the cache of decoded jobs of a Runner that states
	// none.
	defaultContentCacheBytes = 16 << 20
	// maxDecodingBytes limits the encoded size of the jobs that are being read and decoded at
	// once, which takes a multiple of it.
	maxDecodingBytes = 8 << 20
	// itemOverheadBytes is the memory of an item besides its strings and its body.
	itemOverheadBytes = 256
)

// contentCache holds the decoded items of jobs up to a total size. It evicts the job that was
// used least recently. It is safe for concurrent use.
type contentCache struct {
	// decodings limits the jobs that are being read and decoded, by their encoded sizes.
	decodings *semaphore.Weighted

	mu       sync.Mutex
	maxBytes int
	size     int
	jobs     map[string]*cachedContent
}

type cachedContent struct {
	items    []Item
	bytes    int
	lastUsed time.Time
}

func newContentCache(maxBytes int) *contentCache {
	return &contentCache{decodings: semaphore.NewWeighted(maxDecodingBytes), maxBytes: maxBytes, jobs: map[string]*cachedContent{}}
}

// get returns the items of a job, or nil.
func (c *contentCache) get(job string) []Item {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := c.jobs[job]
	if cached == nil {
		return nil
	}
	cached.lastUsed = time.Now()
	return cached.items
}

// put caches the items of a job, unless they take more than the whole cache.
func (c *contentCache) put(job string, items []Item) {
	bytes := contentBytes(items)
	c.mu.Lock()
	defer c.mu.Unlock()
	if bytes > c.maxBytes || c.jobs[job] != nil {
		return
	}
	for c.size+bytes > c.maxBytes {
		oldest := ""
		for j, cached := range c.jobs {
			if oldest == "" || cached.lastUsed.Before(c.jobs[oldest].lastUsed) {
				oldest = j
			}
		}
		c.removeLocked(oldest)
	}
	c.jobs[job] = &cachedContent{items: items, bytes: bytes, lastUsed: time.Now()}
	c.size += bytes
}

func (c *contentCache) remove(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeLocked(job)
}

func (c *contentCache) removeLocked(job string) {
	if cached := c.jobs[job]; cached != nil {
		c.size -= cached.bytes
		delete(c.jobs, job)
	}
}

// bytes returns the size of the cached items for the metrics.
func (c *contentCache) bytes() expvar.Func {
	return func() any {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.size
	}
}

// contentBytes returns the memory that items take, in bytes.
func contentBytes(items []Item) int {
	size := 0
	for i := range items {
		size += itemOverheadBytes + len(items[i].ID) + len(items[i].Path) + len(items[i].Body)
		for name, value := range items[i].Header {
			size += len(name) + len(value)
		}
	}
	return size
}

// content returns the decoded items of a job, from the cache or the store.
func (r *Runner) content(ctx context.Context, accepted *joblog.Accepted) ([]Item, error) {
	if items := r.contents.get(accepted.Job); items != nil {
		return items, nil
	}
	weight := int64(min(joblog.TotalBytes(accepted.Content), maxDecodingBytes))
	if err := r.contents.decodings.Acquire(ctx, weight); err != nil {
		return nil, err
	}
	defer r.contents.decodings.Release(weight)
	if items := r.contents.get(accepted.Job); items != nil {
		return items, nil
	}
	raw, err := r.Blobs.Read(ctx, accepted.Content)
	if err != nil {
		return nil, err
	}
	items, err := decodeItems(raw)
	if err != nil {
		return nil, err
	}
	r.contents.put(accepted.Job, items)
	return items, nil
}
