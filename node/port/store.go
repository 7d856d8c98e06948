package port

import (
	"context"
	"time"
)

// Partition names one partition of a topic on the platform's store.
type Partition struct {
	Topic  string
	Number int
}

// Store is the platform's store: an append-only log in topics and partitions.
//
// All calls return ErrUnavailable when nothing was done and ErrOutcomeUnknown when
// the answer was lost.
type Store interface {
	// Append adds all records, or none, to the end of a partition and returns the
	// offset of the first one.
	Append(ctx context.Context, p Partition, records [][]byte) (first int64, err error)

	// Read returns records from offset from on, at most about maxBytes and at least
	// one record where there is one. Without any it waits up to wait for the next.
	// A read below the retained range returns an *ExpiredError.
	Read(ctx context.Context, p Partition, from int64, maxBytes int, wait time.Duration) (Page, error)

	// Newest returns a page of the newest record of each key of a topic that keeps
	// them, in an order of the keys; after is the last key of the page before, or "".
	Newest(ctx context.Context, topic string, after string) (NewestPage, error)
}

// NewestPage is a page of the newest records of each key. Pages are no snapshot.
type NewestPage struct {
	Records []KeyedRecord
	// More is set when further keys follow.
	More bool
	// End is the offset that the next append will get.
	End int64
}

// KeyedRecord is the newest record of a key. Unreadable is set when the store's form
// of the value cannot be decoded.
type KeyedRecord struct {
	Key        string
	Value      []byte
	Unreadable bool
}

// Entry is the newest record of one key.
type Entry[T any] struct {
	Key string
	// Value is nil when the key was dropped or when its record names no usable
	// value; Invalid then says what is wrong with it.
	Value   *T
	Invalid error
}

// Feed is a topic of which the newest record of each key counts.
type Feed[T any] interface {
	// Newest lists the newest record of each key and the offset from which Changes
	// goes on without a gap.
	Newest(ctx context.Context) (entries []Entry[T], next int64, err error)
	// Changes returns the records from offset from on, in order, and the next
	// offset. Without any it waits up to wait. A read below the retained range
	// returns an *ExpiredError.
	Changes(ctx context.Context, from int64, wait time.Duration) (entries []Entry[T], next int64, err error)
	// Put writes the newest record of a key.
	Put(ctx context.Context, key string, value *T) error
}
