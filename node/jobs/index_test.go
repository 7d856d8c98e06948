package jobs

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
	"github.com/jacinthnotch/jacinthnotch/node/internal/clock"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// longIndex is a store with many records of the index, of which a read returns a page.
type longIndex struct {
	port.Store
	// first is the offset of the first record that has not expired.
	first, records, pageRecords int64
}

func (s longIndex) Read(ctx context.Context, _ port.Partition, from int64, _ int, wait time.Duration) (port.Page, error) {
	clock.Sleep(ctx, 5*time.Millisecond)
	if from < s.first {
		return port.Page{}, &port.ExpiredError{Stream: IndexTopic, First: s.first}
	}
	page := port.Page{End: s.records}
	for offset := from; offset < min(s.records, from+s.pageRecords); offset++ {
		page.Records = append(page.Records, port.Record{Offset: offset, Payload: []byte("unreadable")})
	}
	if len(page.Records) == 0 {
		clock.Sleep(ctx, wait)
	}
	return page, ctx.Err()
}

// Guards against an instance that refuses calls about jobs for seconds after its start, since it pauses
// between the pages of the index.
func TestLongIndexIsReadWithoutPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := NewIndex(longIndex{records: 40_000, pageRecords: 2000})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go x.Follow(ctx)
		time.Sleep(maxStaleness)
		if _, current := x.Read(func(*joblog.Table) {}); !current {
			t.Errorf("the index is not current %v after the start", maxStaleness)
		}
	})
}

// busyStore is a store whose readers share its bandwidth evenly and give up a read after a time.
type busyStore struct {
	port.Store
	readBytes int // a second
	timeout   time.Duration
	records   int64
	payload   []byte

	mu      sync.Mutex
	readers int
}

func (s *busyStore) addReaders(n int) (readers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers += n
	return s.readers
}

func (s *busyStore) Read(ctx context.Context, _ port.Partition, from int64, maxBytes int, wait time.Duration) (port.Page, error) {
	const tick = 10 * time.Millisecond
	page := port.Page{End: s.records}
	for offset := from; offset < min(s.records, from+int64(maxBytes/len(s.payload))); offset++ {
		page.Records = append(page.Records, port.Record{Offset: offset, Payload: s.payload})
	}
	if len(page.Records) == 0 {
		clock.Sleep(ctx, wait)
	}
	s.addReaders(1)
	defer s.addReaders(-1)
	for left, began := len(page.Records)*len(s.payload), time.Now(); left > 0; left -= int(float64(s.readBytes)*tick.Seconds()) / s.addReaders(0) {
		if time.Since(began) > s.timeout {
			return port.Page{}, port.ErrOutcomeUnknown
		}
		clock.Sleep(ctx, tick)
	}
	return page, ctx.Err()
}

// Guards against instances that all start at once, after a loss of power, and never learn the jobs: the
// store's bandwidth, shared by all, let no page arrive in time, and each was asked for again.
func TestAllInstancesReadTheIndexAtOnce(t *testing.T) {
	const (
		instances    = 300
		recoveryTime = 15 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		s := &busyStore{readBytes: 80 << 20, timeout: time.Second, records: 10_000, payload: bytes.Repeat([]byte{'x'}, 200)}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		indexes := make([]*Index, instances)
		for i := range indexes {
			indexes[i] = NewIndex(s)
			go indexes[i].Follow(ctx)
		}
		time.Sleep(recoveryTime)
		behind := 0
		for _, x := range indexes {
			x.Read(func(table *joblog.Table) {
				if table.Next() < s.records {
					behind++
				}
			})
		}
		if behind > 0 {
			t.Errorf("%d of %d instances have not read the index after %v", behind, instances, recoveryTime)
		}
	})
}

// countedIndex counts the reads that are sent from each offset.
type countedIndex struct {
	longIndex
	mu    sync.Mutex
	reads map[int64]int
}

func (s *countedIndex) Read(ctx context.Context, p port.Partition, from int64, maxBytes int, wait time.Duration) (port.Page, error) {
	s.mu.Lock()
	s.reads[from]++
	s.mu.Unlock()
	return s.longIndex.Read(ctx, p, from, maxBytes, wait)
}

// Guards against callers that multiply the reads of a long index after a restart: each question about a job that is
// not known yet reads the same records beside the others.
func TestCallersDoNotMultiplyTheReadsOfALongIndex(t *testing.T) {
	const callers = 20
	synctest.Test(t, func(t *testing.T) {
		store := &countedIndex{longIndex: longIndex{records: 2000, pageRecords: 20}, reads: map[int64]int{}}
		x := NewIndex(store)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go x.Follow(ctx)
		service := &Service{Index: x}
		var running sync.WaitGroup
		for range callers {
			running.Go(func() {
				if job, err := service.confirmJob(ctx, "unknown"); job != nil || err != nil {
					t.Errorf("job %v, error %v", job, err)
				}
			})
		}
		running.Wait()
		store.mu.Lock()
		defer store.mu.Unlock()
		most := 0
		for from, n := range store.reads {
			if from < store.records {
				most = max(most, n)
			}
		}
		if most > 1 {
			t.Errorf("records are read %d times", most)
		}
	})
}

// Guards against an instance that answers 404 for a job that exists, since it takes the expiry of the first
// records of the index for the end of it.
func TestCatchUpReadsBeyondExpiredRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := NewIndex(longIndex{first: 300, records: 1000, pageRecords: 200})
		if err := x.CatchUp(t.Context()); err != nil {
			t.Fatal(err)
		}
		var next int64
		if x.Read(func(table *joblog.Table) { next = table.Next() }); next != 1000 {
			t.Errorf("read up to record %d of 1000", next)
		}
	})
}

// slowLink is a store that gets a record of the index every 150 ms and whose responses arrive a delay
// after they were made.
type slowLink struct {
	port.Store
	began time.Time
	delay time.Duration
}

const slowLinkInterval = 150 * time.Millisecond

func (s slowLink) recordsAt(t time.Time) int64 { return int64(t.Sub(s.began) / slowLinkInterval) }

func (s slowLink) Read(ctx context.Context, _ port.Partition, from int64, _ int, wait time.Duration) (port.Page, error) {
	for end := time.Now().Add(wait); s.recordsAt(time.Now()) <= from && time.Now().Before(end); {
		clock.Sleep(ctx, time.Millisecond)
	}
	page := port.Page{End: s.recordsAt(time.Now())}
	for offset := from; offset < page.End; offset++ {
		page.Records = append(page.Records, port.Record{Offset: offset, Payload: []byte("unreadable")})
	}
	clock.Sleep(ctx, s.delay)
	return page, ctx.Err()
}

// Guards against an instance that answers that a job has no result although another instance has shown
// it more than a second ago, since it takes the arrival of a page for the time at which the page was made.
func TestLatePagesDoNotCountAsCurrent(t *testing.T) {
	const settleTime = time.Second
	for _, delay := range []time.Duration{5 * time.Millisecond, 400 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			s := slowLink{began: time.Now(), delay: delay}
			x := NewIndex(s)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go x.Follow(ctx)
			time.Sleep(2 * time.Second)
			stale, currentFor := 0, 0
			for range 1000 {
				time.Sleep(5 * time.Millisecond)
				var next int64
				_, current := x.Read(func(table *joblog.Table) { next = table.Next() })
				if current {
					currentFor++
				}
				if current && next < s.recordsAt(time.Now().Add(-settleTime)) {
					stale++
				}
			}
			if stale > 0 {
				t.Errorf("delay %v: state older than %v counts as current in %d of %d samples", delay, settleTime, stale, currentFor)
			}
			if delay < 100*time.Millisecond && currentFor < 900 {
				t.Errorf("delay %v: current in %d of 1000 samples only", delay, currentFor)
			}
		})
	}
}
