package proof

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/development"
	"github.com/jacinthnotch/jacinthnotch/standin/engine"
)

// balancer simulates the platform's load balancer: it distributes requests in turn
// over the instances that it knows as ready.
type balancer struct {
	mu      sync.Mutex
	next    int
	targets []string
}

func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.targets[b.next%len(b.targets)]
}

func (b *balancer) add(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targets = append(b.targets, address)
}

func (b *balancer) remove(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targets = slices.DeleteFunc(b.targets, func(a string) bool { return a == address })
}

// Guards against a rolling restart that aborts or refuses requests or streams, loses
// items of a job or leaves partitions without an owner.
func TestRollingRestart(t *testing.T) {
	skipIfKnownRed(t)
	t.Parallel()
	instances := 12
	if testing.Short() {
		instances = 4
	}
	f := startFleet(t, development.Options{Instances: instances, Servers: 9, DrainLag: 500 * time.Millisecond})
	f.waitUntilSettled()
	b := &balancer{}
	for n := range f.Members() {
		b.add(f.callersAddress(n))
	}
	j := submit(t, f.callersAddress(0), "rolling", itemBodies("rolling", 300, 16))
	stop := make(chan struct{})
	var mu sync.Mutex
	answered := 0
	var wg sync.WaitGroup
	for caller := range 8 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				body := chatBody(fmt.Sprintf("rolling %d %d", caller, n), 20, n%2 == 0)
				address := b.pick()
				r, err := trySend(t.Context(), "POST", address, chatPath, body)
				want, _ := engine.ExpectedAnswer([]byte(body), fastEngine().OutputTokens)
				complete := err == nil && r.status == 200 && strings.Contains(responseText(r.body, n%2 == 0), strings.TrimSpace(want.Text))
				if !complete || n%2 == 0 && !strings.Contains(r.body, "data: [DONE]") {
					t.Errorf("request %d of caller %d at %s: %v %v", n, caller, address, err, r)
				}
				mu.Lock()
				answered++
				mu.Unlock()
			}
		})
	}
	countAnswered := func() int { mu.Lock(); defer mu.Unlock(); return answered }
	var longestHandover time.Duration
	for n := range instances {
		m := f.Members()[n]
		replacement, err := f.AddInstance("127.0.0.1:0", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		f.waitFor("the new instance", func() bool { ok, _ := replacement.Ready(); return ok })
		b.add(replacement.CallersAddress())
		owned := f.ownedPartitions(n)
		answeredBefore := countAnswered()
		m.Drain()
		f.waitFor("the end of readiness", func() bool {
			r, err := trySend(t.Context(), "GET", m.OperatorAddress(), "/readyz", "")
			return err != nil || r.status != 200
		})
		// The load balancer notices that late, so that requests still arrive.
		lateBody := chatBody(fmt.Sprintf("late %d", n), 20, false)
		r, err := trySend(t.Context(), "POST", m.CallersAddress(), chatPath, lateBody)
		checkResponse(t, lateBody, r, err, fastEngine().OutputTokens)
		b.remove(m.CallersAddress())
		var releasedAt time.Time // when the first of the partitions was released
		f.waitFor("owners of the partitions of "+m.Name, func() bool {
			ownedByOthers := map[int]bool{}
			for i := range f.Members() {
				if i != n {
					for _, p := range f.ownedPartitions(i) {
						ownedByOthers[p] = true
					}
				}
			}
			unowned := 0
			for _, p := range owned {
				if !ownedByOthers[p] {
					unowned++
				}
			}
			if releasedAt.IsZero() && unowned < len(owned) {
				releasedAt = time.Now()
			}
			return unowned == 0
		})
		if !releasedAt.IsZero() {
			longestHandover = max(longestHandover, time.Since(releasedAt))
		}
		<-m.Done
		if m.Err != nil {
			t.Errorf("%s ended with %v", m.Name, m.Err)
		}
		f.waitFor("requests after the drain", func() bool { return countAnswered() > answeredBefore+10 })
	}
	close(stop)
	wg.Wait()
	j.checkExactlyOnce(t, f.callersAddress(len(f.Members())-1), "rolling")
	t.Logf("%d instances replaced during %d requests; all partitions of a leaving instance were owned again at most %v after the first of them was released",
		instances, answered, longestHandover.Round(time.Millisecond))
}
