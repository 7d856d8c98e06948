package relay_test

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"storj.io/drpc"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/node/internal/clock"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/relay"
	"github.com/jacinthnotch/jacinthnotch/policy/pathselect"
)

const (
	// Bounds of the users' platform: a store that was silent counts as stable after stableAfter,
	// and a change must be in force within applyWithin, both after the store's return or
	// acknowledgement, not after an instance's first read.
	stableAfter = 3 * time.Second
	applyWithin = 2 * time.Second
	// clientTimeout is the time after which the client of the store gives a call up, without
	// the time for which the store may delay its response.
	clientTimeout = 1500 * time.Millisecond
	callLatency   = 4 * time.Millisecond
)

// silentStore is a store that is silent for a time. A call that it gets meanwhile, or whose
// response is due meanwhile, gets no response.
type silentStore struct {
	port.Store
	from, until time.Time

	mu      sync.Mutex
	changed chan struct{}
	values  []int
}

func (s *silentStore) silent(now time.Time) bool { return !now.Before(s.from) && now.Before(s.until) }

func (s *silentStore) write(value int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values = append(s.values, value)
	close(s.changed)
	s.changed = make(chan struct{})
}

// respond waits until the response to a call is due, after ready is closed or wait is over.
func (s *silentStore) respond(ctx context.Context, ready <-chan struct{}, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout+wait)
	defer cancel()
	lost := s.silent(time.Now())
	select {
	case <-ready:
	case <-time.After(wait):
	case <-ctx.Done():
	}
	time.Sleep(callLatency)
	if lost || s.silent(time.Now()) {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", port.ErrOutcomeUnknown, ctx.Err())
	}
	return nil
}

func (s *silentStore) Newest(ctx context.Context, _, _ string) (port.NewestPage, error) {
	return port.NewestPage{}, s.respond(ctx, nil, 0)
}

func (s *silentStore) Read(ctx context.Context, _ port.Partition, from int64, _ int, wait time.Duration) (port.Page, error) {
	s.mu.Lock()
	changed := s.changed
	if int64(len(s.values)) > from {
		wait = 0
	}
	s.mu.Unlock()
	if err := s.respond(ctx, changed, wait); err != nil {
		return port.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	page := port.Page{End: int64(len(s.values))}
	for offset := from; offset < page.End; offset++ {
		page.Records = append(page.Records, port.Record{Offset: offset, Payload: []byte{byte(s.values[offset])}})
	}
	return page, nil
}

// storeFeed is the feed of the values of a store as entries. It is never listed as a whole.
type storeFeed[T any] struct {
	port.Feed[T]
	store *relay.Store
	entry func(value int) port.Entry[T]
	first []port.Entry[T]
}

func (f storeFeed[T]) Newest(context.Context) ([]port.Entry[T], int64, error) { return f.first, 0, nil }

func (f storeFeed[T]) Changes(ctx context.Context, from int64, wait time.Duration) (port.Changes[T], error) {
	page, err := f.store.Read(ctx, partition, from, 1000, wait)
	var entries []port.Entry[T]
	for _, r := range page.Records {
		entries = append(entries, f.entry(int(r.Payload[0])))
	}
	return port.Changes[T]{Entries: entries, Next: from + int64(len(entries)), End: page.End}, err
}

// forOutages runs a test with outages of many lengths that begin at any point of a read.
func forOutages(t *testing.T, test func(t *testing.T, store *silentStore)) {
	t.Helper()
	for outage := 200 * time.Millisecond; outage <= 8*time.Second; outage += 300 * time.Millisecond {
		for begin := time.Duration(0); begin < 2400*time.Millisecond; begin += 160 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				now := time.Now()
				store := &silentStore{changed: make(chan struct{}), from: now.Add(time.Second + begin)}
				store.until = store.from.Add(outage)
				test(t, store)
				if t.Failed() {
					t.Fatalf("outage of %v after %v", outage, time.Second+begin)
				}
			})
		}
	}
}

// Guards against a read that was sent to a silent store, or whose response was lost there, and that
// delays the next one past the store's return: configurations were in force too late.
func TestChangesAfterASilentStoreAreReadInTime(t *testing.T) {
	forOutages(t, func(t *testing.T, store *silentStore) {
		if late := readsTooLate(t, store); late > 0 {
			t.Errorf("the last change is read %v too late", late)
		}
	})
}

// Guards against servers that leave once a store that was silent counts as stable, and are used for too
// long: their entries are taken for ones that expired in the outage. Ones that did expire are not dropped
// before they had time to return.
func TestServersThatLeaveAfterASilentStoreAreDroppedInTime(t *testing.T) {
	const (
		leaves      = 3030 * time.Millisecond
		drainTime   = 2 * time.Second
		returnsBy   = 2 * time.Second
		expiryCheck = 500 * time.Millisecond
	)
	forOutages(t, func(t *testing.T, store *silentStore) {
		ctx, cancel := context.WithCancel(t.Context())
		view := fleet.NewView(rand.New(rand.NewPCG(1, 2)))
		instance := relay.NewStore(store, &peers{}, nil, probeTopic)
		instance.OnRegained = func() { view.RecordServersRead(false) }
		names := []string{"leaves", "expires", "stays"}
		var first []port.Entry[serving.Server]
		for _, name := range names {
			first = append(first, port.Entry[serving.Server]{Key: name, Value: &serving.Server{ID: name, Service: "svc"}})
		}
		removal := func(value int) port.Entry[serving.Server] { return port.Entry[serving.Server]{Key: names[value]} }
		follower := &fleet.Follower[serving.Server]{
			Name: "test", Feed: storeFeed[serving.Server]{store: instance, entry: removal, first: first}, Apply: view.ApplyServers, OnRead: view.RecordServersRead,
		}
		var running sync.WaitGroup
		running.Go(func() { follower.Run(ctx) })
		running.Go(func() { instance.RunProbes(ctx) })
		running.Go(func() {
			for ; ctx.Err() == nil; clock.Sleep(ctx, expiryCheck) {
				view.Expire()
			}
		})
		if expires := store.until.Add(-200 * time.Millisecond); store.until.Sub(store.from) > 3*serving.DefaultHeartbeat {
			time.Sleep(time.Until(expires))
			store.write(1)
			time.Sleep(time.Until(store.until.Add(returnsBy)))
			if view.Server("expires") == nil {
				t.Error("a live server was dropped before its entry could return")
			}
		}
		time.Sleep(time.Until(store.until.Add(leaves)))
		store.write(0)
		time.Sleep(drainTime)
		if view.Server("leaves") != nil || view.Server("stays") == nil {
			t.Error("the server that left is in use, or the other one is not")
		}
		cancel()
		running.Wait()
	})
}

// readsTooLate runs an instance beside a store that is silent for a time, and returns by how much the
// worst change is applied too late.
func readsTooLate(t *testing.T, store *silentStore) time.Duration {
	ctx, cancel := context.WithCancel(t.Context())
	instance := relay.NewStore(store, &peers{}, nil, probeTopic)
	var mu sync.Mutex
	var written []time.Time
	worst, applied := time.Duration(0), 0
	value := func(value int) port.Entry[int] { return port.Entry[int]{Value: &value} }
	follower := &fleet.Follower[int]{Name: "test", Feed: storeFeed[int]{store: instance, entry: value}, Apply: func(entries []port.Entry[int], _ bool) {
		mu.Lock()
		defer mu.Unlock()
		for range entries {
			// A change counts from the time at which the store counts as stable.
			due := written[applied].Add(applyWithin)
			if stable := store.until.Add(stableAfter); due.Before(stable) {
				due = stable
			}
			worst = max(worst, time.Since(due))
			applied++
		}
	}}
	var running sync.WaitGroup
	running.Go(func() { follower.Run(ctx) })
	running.Go(func() { instance.RunProbes(ctx) })
	time.Sleep(time.Until(store.from.Add(-100 * time.Millisecond)))
	for time.Now().Before(store.until.Add(2 * time.Second)) {
		if !store.silent(time.Now()) {
			mu.Lock()
			written = append(written, time.Now())
			mu.Unlock()
			store.write(1)
		}
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(10 * time.Second)
	cancel()
	running.Wait()
	if applied != len(written) {
		t.Fatalf("%d of %d changes were applied", applied, len(written))
	}
	return worst
}

// busyStore answers reads after a second, and other calls at once.
type busyStore struct {
	silentStore
	reads atomic.Int64
}

func (s *busyStore) Read(ctx context.Context, _ port.Partition, _ int64, _ int, _ time.Duration) (port.Page, error) {
	s.reads.Add(1)
	clock.Sleep(ctx, time.Second)
	if ctx.Err() != nil {
		return port.Page{}, fmt.Errorf("%w: %w", port.ErrOutcomeUnknown, ctx.Err())
	}
	return port.Page{End: 1}, nil
}

// Guards against a large response on a busy store that never arrives, since the read is given up each time that
// a smaller one overtakes it.
func TestLargeReadIsNotGivenUpForSmallOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &busyStore{}
		instance := relay.NewStore(store, &peers{}, nil, probeTopic)
		var running sync.WaitGroup
		running.Go(func() { instance.RunProbes(ctx) })
		running.Go(func() {
			for ; ctx.Err() == nil; clock.Sleep(ctx, 100*time.Millisecond) {
				_, _ = instance.Newest(ctx, "n", "")
			}
		})
		if _, err := instance.Read(ctx, partition, 0, 1000, 0); err != nil || store.reads.Load() > 2 {
			t.Errorf("%d reads, error %v", store.reads.Load(), err)
		}
		cancel()
		running.Wait()
	})
}

// noConns is a connector to instances that do not answer.
type noConns struct{}

func (noConns) Conn(context.Context, string) drpc.Conn { return noConn{} }

type noConn struct{ drpc.Conn }

func (noConn) Close() error { return nil }

func (noConn) Invoke(ctx context.Context, _ string, _ drpc.Encoding, _, _ drpc.Message) error {
	<-ctx.Done()
	return errors.New("no answer")
}

// Guards against a store that is slow under load and gets each call three times for that, since all
// instances make calls through others that only wait for it.
func TestSlowStoreIsNotAskedAgainForEachCall(t *testing.T) {
	const reads, again = 60, 6
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		others := &peers{list: []pathselect.Peer{{Name: "b", Address: "b:1", ReachesStore: true}, {Name: "c", Address: "c:1", ReachesStore: true}}}
		instance := relay.NewStore(&busyStore{}, others, noConns{}, probeTopic)
		var running sync.WaitGroup
		running.Go(func() { instance.RunProbes(ctx) })
		var waiting sync.WaitGroup
		for range reads {
			waiting.Go(func() {
				if _, err := instance.Read(ctx, partition, 0, 1000, 0); err != nil {
					t.Errorf("read: %v", err)
				}
			})
		}
		waiting.Wait()
		if n, _ := instance.Map().Get("through_peer").(*expvar.Int); n != nil && n.Value() > again {
			t.Errorf("%d calls through instances for %d reads", n.Value(), reads)
		}
		cancel()
		running.Wait()
	})
}

// slowStore answers all calls late, reads most of all.
type slowStore struct{ busyStore }

func (s *slowStore) Newest(ctx context.Context, _, _ string) (port.NewestPage, error) {
	clock.Sleep(ctx, 240*time.Millisecond)
	if ctx.Err() != nil {
		return port.NewestPage{}, fmt.Errorf("%w: %w", port.ErrOutcomeUnknown, ctx.Err())
	}
	return port.NewestPage{}, nil
}

// Guards against a store that turns slow, counts as down since a probe takes long, and so gets each call in flight
// three times and each read once more.
func TestStoreThatTurnsSlowDoesNotCountAsDown(t *testing.T) {
	const reads, again = 20, 8
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		others := &peers{list: []pathselect.Peer{{Name: "b", Address: "b:1", ReachesStore: true}, {Name: "c", Address: "c:1", ReachesStore: true}}}
		instance := relay.NewStore(&slowStore{}, others, noConns{}, probeTopic)
		var running sync.WaitGroup
		running.Go(func() { instance.RunProbes(ctx) })
		running.Go(func() {
			for ; ctx.Err() == nil; clock.Sleep(ctx, 100*time.Millisecond) {
				_, _ = instance.Newest(ctx, "n", "")
			}
		})
		var waiting sync.WaitGroup
		for range reads {
			waiting.Go(func() {
				if _, err := instance.Read(ctx, partition, 0, 1000, 0); err != nil {
					t.Errorf("read: %v", err)
				}
			})
		}
		waiting.Wait()
		counts := instance.Map()
		for name, most := range map[string]int64{"through_peer": again, "reads_lost": 0} {
			if n, _ := counts.Get(name).(*expvar.Int); n != nil && n.Value() > most {
				t.Errorf("%s: %d calls, want at most %d", name, n.Value(), most)
			}
		}
		cancel()
		running.Wait()
	})
}
