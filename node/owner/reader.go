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
	// pageBytes bounds one read; it holds at least one full payload of 512 KiB.
	pageBytes = 1 << 20
	// tailRecords is how many of the last records are looked at for the base.
	tailRecords = 32
	// readTimeout bounds a read that does not wait for new records.
	readTimeout = 5 * time.Second
	// unfolded is the assumed growth of a payload when it is decoded.
	unfolded = 4
)

// errMissing reports a record that the log no longer has or never had.
var errMissing = errors.New("owner: no such record")

func readPage(ctx context.Context, log port.Log, name string, from int64, maxBytes int) (port.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return log.Read(ctx, name, from, maxBytes, 0)
}

type place struct {
	partition int
	offset    int64
}

type cached struct {
	place place
	batch *recordpb.Batch
	size  int64
}

// reader reads records back and keeps the latest used ones that hold bulk data.
// It is safe for concurrent use. The batches are shared and never changed.
type reader struct {
	log   port.Log
	limit int64

	mu     sync.Mutex
	used   int64
	recent *list.List // of *cached, latest used first
	places map[place]*list.Element
}

func newReader(log port.Log, limit int64) *reader {
	return &reader{log: log, limit: limit, recent: list.New(), places: map[place]*list.Element{}}
}

// put keeps a batch if it holds lines or results.
func (r *reader) put(number int, offset int64, b *recordpb.Batch, payload int) {
	if !bulk(b) {
		return
	}
	c := &cached{place: place{number, offset}, batch: b, size: int64(payload) * unfolded}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.places[c.place]; ok {
		r.recent.MoveToFront(e)
		return
	}
	r.places[c.place] = r.recent.PushFront(c)
	r.used += c.size
	for r.used > r.limit && r.recent.Len() > 1 {
		last := r.recent.Remove(r.recent.Back()).(*cached)
		delete(r.places, last.place)
		r.used -= last.size
	}
	cacheBytesUsed.Set(r.used)
}

func (r *reader) get(p place) (*recordpb.Batch, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.places[p]
	if !ok {
		cacheMisses.Add(1)
		return nil, false
	}
	cacheHits.Add(1)
	r.recent.MoveToFront(e)
	return e.Value.(*cached).batch, true
}

// record returns the batch at an offset. ahead also keeps the records that
// follow, for readers that go on there.
func (r *reader) record(ctx context.Context, number int, offset int64, ahead bool) (*recordpb.Batch, error) {
	if b, ok := r.get(place{number, offset}); ok {
		return b, nil
	}
	size := 1
	if ahead {
		size = pageBytes
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

func bulk(b *recordpb.Batch) bool {
	for _, e := range b.GetEntries() {
		switch e.Kind.(type) {
		case *recordpb.Entry_FileChunk, *recordpb.Entry_ItemResults, *recordpb.Entry_CallFinished:
			return true
		}
	}
	return false
}

func entrySize(e *recordpb.Entry) int { return proto.Size(e) }

// recordTime returns the time of the first entry that carries one, or zero.
// Restated aggregates carry none.
func recordTime(payload []byte) int64 {
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
