package port

import (
	"context"
	"time"
)

// Log is the platform's append-only log service.
type Log interface {
	// Append adds payload to the end of stream and returns its offset.
	// ErrUnavailable means that nothing was appended; ErrOutcomeUnknown means
	// that the payload may stand on the stream now or later.
	Append(ctx context.Context, stream string, payload []byte) (offset int64, err error)

	// Read returns records of stream from offset from on, at most about
	// maxBytes and at least one record where there is one. Without any it waits
	// up to wait for the next. A read below the retained range returns an
	// *ExpiredError. An unknown stream is empty.
	Read(ctx context.Context, stream string, from int64, maxBytes int, wait time.Duration) (Page, error)
}

// Record is one payload on a stream.
type Record struct {
	Offset  int64
	Payload []byte
}

// Page is the answer to a read.
type Page struct {
	Records []Record
	// First is the lowest retained offset of the stream.
	First int64
	// End is the offset that the next append will get.
	End int64
}
