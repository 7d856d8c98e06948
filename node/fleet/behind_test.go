package fleet

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/internal/clock"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// pagedFeed is the feed of versions of one key. A read takes entryTime for each entry, and returns
// pageEntries at most.
type pagedFeed struct {
	port.Feed[serving.Revision]
	pageEntries int
	entryTime   time.Duration

	mu      sync.Mutex
	written []time.Time
	read    int
}

func (f *pagedFeed) write() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.written = append(f.written, time.Now())
}

// entries returns the entries from an offset up to another one, after the time that it takes to read them.
func (f *pagedFeed) entries(ctx context.Context, from, to int) []port.Entry[serving.Revision] {
	clock.Sleep(ctx, time.Duration(to-from)*f.entryTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.read += to - from
	var list []port.Entry[serving.Revision]
	for i := from; i < to; i++ {
		list = append(list, revision(int64(i+1))...)
	}
	return list
}

func (f *pagedFeed) end() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.written)
}

func (f *pagedFeed) Newest(ctx context.Context) ([]port.Entry[serving.Revision], int64, error) {
	end := f.end()
	return f.entries(ctx, max(0, end-1), end), int64(end), ctx.Err()
}

func (f *pagedFeed) Changes(ctx context.Context, from int64, wait time.Duration) (port.Changes[serving.Revision], error) {
	for begin := time.Now(); f.end() <= int(from) && time.Since(begin) < wait && ctx.Err() == nil; {
		clock.Sleep(ctx, 5*time.Millisecond)
	}
	end := f.end()
	to := min(end, int(from)+f.pageEntries)
	return port.Changes[serving.Revision]{Entries: f.entries(ctx, int(from), to), Next: int64(to), End: int64(end)}, ctx.Err()
}

// worstDelay runs a follower while versions are written, count in steps of gap and one more, and returns the
// greatest time from the write of a version until it, or a later one, is in force.
func (f *pagedFeed) worstDelay(t *testing.T, newestOnly bool, count int, gap time.Duration) time.Duration {
	ctx, cancel := context.WithCancel(t.Context())
	worst, applied := time.Duration(0), 0
	follower := &Follower[serving.Revision]{Name: "test", Feed: f, NewestOnly: newestOnly, Apply: func(entries []port.Entry[serving.Revision], _ bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, e := range entries {
			for ; applied < int(e.Value.Version); applied++ {
				worst = max(worst, time.Since(f.written[applied]))
			}
		}
	}}
	f.write()
	var running sync.WaitGroup
	running.Go(func() { follower.Run(ctx) })
	time.Sleep(5 * time.Second)
	for range count + 1 {
		f.write()
		time.Sleep(gap)
	}
	time.Sleep(30 * time.Second)
	cancel()
	running.Wait()
	if applied != len(f.written) {
		t.Fatalf("%d of %d versions were applied", applied, len(f.written))
	}
	return worst
}

// Guards against configurations in quick succession that are in force late, since a follower that is behind
// reads them all, and pauses between the pages. The bound is that of the users' platform.
func TestConfigurationsInQuickSuccessionAreInForceInTime(t *testing.T) {
	const applyWithin = 2 * time.Second
	for _, gap := range []time.Duration{time.Millisecond, 20 * time.Millisecond, 60 * time.Millisecond, 300 * time.Millisecond} {
		for _, pageEntries := range []int{1, 3} {
			synctest.Test(t, func(t *testing.T) {
				f := &pagedFeed{pageEntries: pageEntries, entryTime: 30 * time.Millisecond}
				if worst := f.worstDelay(t, true, 100, gap); worst > applyWithin {
					t.Errorf("every %v, pages of %d: in force after %v", gap, pageEntries, worst)
				}
				// Without a bound on what is read, a fleet shares the store's bytes a second among all versions.
				if reads := 35*time.Second + 100*gap; f.read > 10+int(reads/readPause)*(pageEntries+1) {
					t.Errorf("every %v, pages of %d: %d versions were read", gap, pageEntries, f.read)
				}
			})
		}
	}
}

// Guards against a follower of a feed of which each change counts that pauses between pages while it is behind.
func TestChangesOfManyPagesAreAppliedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &pagedFeed{pageEntries: 100, entryTime: 100 * time.Microsecond}
		if worst := f.worstDelay(t, false, 5000, 100*time.Microsecond); worst > 2*time.Second {
			t.Errorf("applied after %v", worst)
		}
	})
}
