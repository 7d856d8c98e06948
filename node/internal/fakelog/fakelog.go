// Package fakelog provides an in-memory port.Log for tests that run under synctest.
package fakelog

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/record"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// init makes the shared encoder and decoder create their channels outside of any
// synctest bubble, because a channel created in one bubble cannot be used in another.
func init() {
	if payload, err := record.Encode(&recordpb.Batch{}); err == nil {
		_, _ = record.Decode(payload)
	}
}

// Log implements port.Log.
type Log struct {
	mu              sync.Mutex
	streams         map[string][]port.Record
	appended        chan struct{}
	down            bool
	responsesToLose int
}

// New returns an empty log.
func New() *Log { return &Log{streams: map[string][]port.Record{}, appended: make(chan struct{})} }

// SetDown starts or ends an outage, in which every call returns port.ErrUnavailable.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// LoseNext makes the next n appends take effect but return port.ErrOutcomeUnknown.
func (l *Log) LoseNext(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responsesToLose = n
}

// Len returns the number of records of a stream.
func (l *Log) Len(stream string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.streams[stream])
}

// Append implements port.Log.
func (l *Log) Append(_ context.Context, stream string, payload []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, port.ErrUnavailable
	}
	offset := int64(len(l.streams[stream]))
	l.streams[stream] = append(l.streams[stream], port.Record{Offset: offset, Payload: payload})
	close(l.appended)
	l.appended = make(chan struct{})
	if l.responsesToLose > 0 {
		l.responsesToLose--
		return 0, port.ErrOutcomeUnknown
	}
	return offset, nil
}

// Read implements port.Log.
func (l *Log) Read(ctx context.Context, stream string, from int64, _ int, wait time.Duration) (port.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		records, appended, down := l.streams[stream], l.appended, l.down
		l.mu.Unlock()
		if down {
			return port.Page{}, port.ErrUnavailable
		}
		page := port.Page{End: int64(len(records))}
		if from < page.End {
			page.Records = records[from:]
		}
		if len(page.Records) > 0 || wait == 0 {
			return page, nil
		}
		select {
		case <-appended:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return port.Page{}, ctx.Err()
		}
	}
}
