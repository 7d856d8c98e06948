package port

import (
	"context"
	"time"
)

// Partition identifies one partition of a topic in the platform's store.
type Partition struct {
	Topic  string
	Number int
}

// Store is the platform's store: an append-only log of topics and partitions.
//
// All methods return ErrUnavailable when the call had no effect and
// ErrOutcomeUnknown when its response was lost.
type Store interface {
	// Append adds all records, or none, to the end of a partition and returns the
	// offset of the first one.
	Append(ctx context.Context, p Partition, records [][]byte) (first int64, err error)

	// AppendAt is Append on the condition that the partition ends at the given offset.
	// Otherwise it fails with ErrOffsetMismatch.
	AppendAt(ctx context.Context, p Partition, offset int64, records [][]byte) error

	// Read returns records of a partition, starting at offset from: about maxBytes
	// at most, but at least one record if there is one. At the end of the partition
	// it waits up to wait for the next record. A read below the retained range
	// returns an *ExpiredError.
	Read(ctx context.Context, p Partition, from int64, maxBytes int, wait time.Duration) (Page, error)

	// Newest returns a page of the newest record of each key of a compacted topic, in
	// a fixed order of the keys; after is the last key of the previous page, or "" for
	// the first page.
	Newest(ctx context.Context, topic string, after string) (NewestPage, error)
}

// NewestPage is a page of the newest record of each key. The pages of a topic are
// not a consistent snapshot.
type NewestPage struct {
	Records []KeyedRecord
	// More reports whether another page follows.
	More bool
	// End is the offset that the next append will get.
	End int64
}

// KeyedRecord is the newest record of a key. Unreadable reports that the store's
// encoding of the value cannot be decoded.
type KeyedRecord struct {
	Key        string
	Value      []byte
	Unreadable bool
}

// Entry is the newest record of one key.
type Entry[T any] struct {
	Key string
	// Value is nil when the key was deleted or its value is invalid; Invalid then
	// holds the reason in the second case.
	Value   *T
	Invalid error
}

// Changes are successive records of a compacted topic.
type Changes[T any] struct {
	Entries []Entry[T]
	// Next is the offset of the record that follows them, and End the offset that the
	// next record of the topic will get.
	Next, End int64
}

// Feed is a compacted topic: only the newest record of each key is in force.
type Feed[T any] interface {
	// Newest returns the newest record of each key and the offset at which Changes
	// continues without a gap.
	Newest(ctx context.Context) (entries []Entry[T], next int64, err error)
	// Changes returns the records starting at offset from, in order, as many as fit into
	// a page. If there are none it waits up to wait for one. A read below the
	// retained range returns an *ExpiredError.
	Changes(ctx context.Context, from int64, wait time.Duration) (Changes[T], error)
	// Put writes the newest record of a key.
	Put(ctx context.Context, key string, value *T) error
}
