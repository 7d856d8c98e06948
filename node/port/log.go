package port

import (
	"context"
	"time"
)

// Log is the platform's append-only log service.
type Log interface {
	// Append adds payload to the end of stream and returns its offset.
	// ErrUnavailable means that nothing was appended; ErrOutcomeUnknown means
	// that the payload may be on the stream already or may still be appended.
	Append(ctx context.Context, stream string, payload []byte) (offset int64, err error)

	// Read returns records of stream, starting at offset from: about maxBytes at
	// most, but at least one record if there is one. At the end of the stream it
	// waits up to wait for the next record. A read below the retained range
	// returns an *ExpiredError. An unknown stream is empty.
	Read(ctx context.Context, stream string, from int64, maxBytes int, wait time.Duration) (Page, error)
}

// Record is one payload on a stream.
type Record struct {
	Offset  int64
	Payload []byte
}

// Page is the result of a read.
type Page struct {
	Records []Record
	// First is the lowest retained offset of the stream.
	First int64
	// End is the offset that the next append will get.
	End int64
}
