// Package memlog is a stand-in for the platform's store that holds one partition in memory, for
// tests in virtual time. It supports appends and reads only.
package memlog

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// callTime is the time that a call takes.
const callTime = 4 * time.Millisecond

// Log is the stand-in. All methods are safe for concurrent use.
type Log struct {
	port.Store
	mu      sync.Mutex
	records [][]byte
	first   int64
	down    bool
}

// SetDown makes all calls fail while down is set.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Len returns the number of records.
func (l *Log) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// Prepend puts records before the others, of which the first ones have expired.
func (l *Log) Prepend(record []byte, count int, expired int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(slices.Repeat([][]byte{record}, count), l.records...)
	l.first = expired
}

// Append implements port.Store.
func (l *Log) Append(_ context.Context, _ port.Partition, records [][]byte) (int64, error) {
	time.Sleep(callTime)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, port.ErrUnavailable
	}
	l.records = append(l.records, records...)
	return int64(len(l.records) - len(records)), nil
}

// Read implements port.Store. It does not wait for records.
func (l *Log) Read(_ context.Context, p port.Partition, from int64, maxBytes int, _ time.Duration) (port.Page, error) {
	time.Sleep(callTime)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.down:
		return port.Page{}, port.ErrUnavailable
	case from < l.first:
		return port.Page{}, &port.ExpiredError{Stream: p.Topic, First: l.first}
	}
	page := port.Page{First: l.first, End: int64(len(l.records))}
	for size := 0; from < page.End && size < maxBytes; from++ {
		size += len(l.records[from])
		page.Records = append(page.Records, port.Record{Offset: from, Payload: l.records[from]})
	}
	return page, nil
}
