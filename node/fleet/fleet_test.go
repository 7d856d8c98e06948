package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/internal/clock"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
)

func newView() *View { return NewView(rand.New(rand.NewPCG(1, 2))) }

func revision(version int64) []port.Entry[serving.Revision] {
	return []port.Entry[serving.Revision]{{Key: "c", Value: &serving.Revision{Version: version}}}
}

// Guards against an older configuration, as from a stale read or after expired history,
// replacing a newer one.
func TestConfigurationNeverReverts(t *testing.T) {
	v := newView()
	for _, step := range []struct{ offered, want int64 }{{3, 3}, {7, 7}, {5, 7}, {7, 7}, {8, 8}} {
		v.ApplyConfig(revision(step.offered), true)
		if got := v.Revision().Version; got != step.want {
			t.Fatalf("version %d after %d was offered, want %d", got, step.offered, step.want)
		}
	}
	v.ApplyConfig([]port.Entry[serving.Revision]{{Key: "c"}, {Key: "c", Invalid: errors.New("not JSON")}}, true)
	if v.Revision().Version != 8 {
		t.Fatal("an invalid entry replaces the configuration")
	}
}

// Guards against an instance that reports itself ready before it can serve.
func TestReadyNeedsConfigurationAndServers(t *testing.T) {
	v := newView()
	if v.Ready() {
		t.Fatal("ready without configuration and servers")
	}
	v.ApplyConfig(revision(1), true)
	if v.Ready() {
		t.Fatal("ready without servers")
	}
	v.ApplyServers(nil, true)
	if !v.Ready() {
		t.Fatal("not ready with both")
	}
}

// Guards against requests that stay counted on a server after they have ended.
func TestLeasesAreCounted(t *testing.T) {
	v := newView()
	v.ApplyServers([]port.Entry[serving.Server]{{Key: "s", Value: &serving.Server{ID: "s", Service: "svc", Slots: 2}}}, true)
	var leases []*Lease
	for range 3 {
		l, ok := v.Pick(balance.Query{Service: "svc"})
		if !ok {
			t.Fatal("no server")
		}
		leases = append(leases, l)
	}
	if free, slots, servers := v.Capacity("svc"); free != -1 || slots != 2 || servers != 1 {
		t.Fatalf("free %d of %d on %d", free, slots, servers)
	}
	for _, l := range leases {
		l.End(balance.Answered)
	}
	if free, _, _ := v.Capacity("svc"); free != 2 {
		t.Fatalf("free %d after all ended", free)
	}
}

// scriptedFeed is a feed whose reads return scripted results. It calls onEnd after the
// last one.
type scriptedFeed struct {
	mu           sync.Mutex
	reads        []read
	newestCalls  int
	changesCalls int
	onEnd        context.CancelFunc
}

type read struct {
	entries []port.Entry[serving.Revision]
	next    int64
	err     error
}

func (f *scriptedFeed) step() read {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.reads) == 0 {
		f.onEnd()
		return read{err: context.Canceled}
	}
	r := f.reads[0]
	f.reads = f.reads[1:]
	return r
}

func (f *scriptedFeed) Newest(context.Context) ([]port.Entry[serving.Revision], int64, error) {
	f.newestCalls++
	r := f.step()
	return r.entries, r.next, r.err
}

func (f *scriptedFeed) Changes(context.Context, int64, time.Duration) (port.Changes[serving.Revision], error) {
	f.changesCalls++
	r := f.step()
	return port.Changes[serving.Revision]{Entries: r.entries, Next: r.next, End: r.next}, r.err
}

func (f *scriptedFeed) Put(context.Context, string, *serving.Revision) error { return nil }

// Guards against a change that is missed because the store was unavailable or its history
// has expired, and against the store's recovery going unnoticed.
func TestFollowerContinuesAfterOutageAndExpiredHistory(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &scriptedFeed{onEnd: cancel, reads: []read{
		{entries: revision(1), next: 1},
		{err: port.ErrUnavailable},
		{err: port.ErrOutcomeUnknown},
		{entries: revision(2), next: 2},
		{err: &port.ExpiredError{First: 9}},
		{entries: revision(4), next: 10},
	}}
	var versions []int64
	var readOutcomes []bool
	follower := &Follower[serving.Revision]{
		Name: "test", Feed: f,
		Apply: func(entries []port.Entry[serving.Revision], _ bool) {
			versions = append(versions, entries[0].Value.Version)
		},
		OnRead: func(ok bool) { readOutcomes = append(readOutcomes, ok) },
	}
	follower.Run(ctx)
	if len(versions) != 3 || versions[0] != 1 || versions[1] != 2 || versions[2] != 4 {
		t.Fatalf("versions %v", versions)
	}
	want := []bool{true, false, false, true, true}
	if len(readOutcomes) != len(want) {
		t.Fatalf("outcomes of the reads %v", readOutcomes)
	}
	for i := range want {
		if readOutcomes[i] != want[i] {
			t.Fatalf("outcomes of the reads %v", readOutcomes)
		}
	}
	if f.newestCalls != 2 {
		t.Fatalf("%d calls of Newest, want one at the start and one after the expired history", f.newestCalls)
	}
}

// logFeed is a feed whose entries are added by the test. A read takes readTime.
type logFeed struct {
	port.Feed[serving.Revision]
	mu      sync.Mutex
	entries []port.Entry[serving.Revision]
}

const readTime = 50 * time.Millisecond

func (f *logFeed) Newest(ctx context.Context) ([]port.Entry[serving.Revision], int64, error) {
	changes, err := f.Changes(ctx, 0, 0)
	return changes.Entries, changes.Next, err
}

func (f *logFeed) Changes(ctx context.Context, from int64, wait time.Duration) (port.Changes[serving.Revision], error) {
	f.mu.Lock()
	entries := f.entries[from:]
	f.mu.Unlock()
	clock.Sleep(ctx, readTime+wait)
	end := from + int64(len(entries))
	return port.Changes[serving.Revision]{Entries: entries, Next: end, End: end}, ctx.Err()
}

// Guards against a decision on entries that are older than the question, and against a late read
// that takes back what a refresh has applied.
func TestRefreshAppliesWhatWasWrittenBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed, applied := &logFeed{entries: revision(1)}, int64(0)
		var mu sync.Mutex
		follower := &Follower[serving.Revision]{Name: "test", Feed: feed, Apply: func(entries []port.Entry[serving.Revision], _ bool) {
			mu.Lock()
			defer mu.Unlock()
			last := entries[len(entries)-1].Value.Version
			if last < applied {
				t.Errorf("version %d applied after %d", last, applied)
			}
			applied = last
		}}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { follower.Run(ctx) })
		time.Sleep(time.Second)
		for version := int64(2); version < 50; version++ {
			feed.mu.Lock()
			feed.entries = append(feed.entries, revision(version)...)
			feed.mu.Unlock()
			running.Go(func() {
				err := follower.Refresh(ctx)
				mu.Lock()
				defer mu.Unlock()
				if err != nil || applied < version {
					t.Errorf("version %d applied, %d was written before: %v", applied, version, err)
				}
			})
			time.Sleep(time.Duration(version) * 7 * time.Millisecond)
		}
		time.Sleep(time.Second)
		cancel()
		running.Wait()
	})
}
