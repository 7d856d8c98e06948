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

// balancer is the platform's load balancer: it sends requests in turn to the
// instances that it takes for ready.
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

// Guards against a rolling restart that cuts a request or stream, refuses some,
// loses items of a job or leaves partitions without an owner.
func TestRollingRestart(t *testing.T) {
	knownRed(t)
	t.Parallel()
	instances := 12
	if testing.Short() {
		instances = 4
	}
	f := start(t, development.Options{Instances: instances, Servers: 9, DrainLag: 500 * time.Millisecond})
	f.settled()
	b := &balancer{}
	for n := range f.Members() {
		b.add(f.callers(n))
	}
	j := submit(t, f.callers(0), "rolling", items("rolling", 300, 16))
	over := make(chan struct{})
	var mu sync.Mutex
	answered := 0
	var wg sync.WaitGroup
	for c := range 8 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-over:
					return
				default:
				}
				body := chat(fmt.Sprintf("rolling %d %d", c, n), 20, n%2 == 0)
				address := b.pick()
				r, err := try(t.Context(), "POST", address, chatPath, body)
				want, _ := engine.Expect([]byte(body), quick().OutputTokens)
				whole := err == nil && r.status == 200 && strings.Contains(textOf(r.body, n%2 == 0), strings.TrimSpace(want.Text))
				if !whole || n%2 == 0 && !strings.Contains(r.body, "data: [DONE]") {
					t.Errorf("request %d of caller %d at %s: %v %v", n, c, address, err, r)
				}
				mu.Lock()
				answered++
				mu.Unlock()
			}
		})
	}
	count := func() int { mu.Lock(); defer mu.Unlock(); return answered }
	var longest time.Duration
	for n := range instances {
		m := f.Members()[n]
		fresh, err := f.AddInstance("127.0.0.1:0", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		f.until("the new instance", func() bool { ok, _ := fresh.Ready(); return ok })
		b.add(fresh.CallersAddress())
		owned := f.owned(n)
		at := count()
		m.Drain()
		f.until("the end of readiness", func() bool {
			r, err := try(t.Context(), "GET", m.OperatorAddress(), "/readyz", "")
			return err != nil || r.status != 200
		})
		// The balancer learns of that late, so that requests still arrive.
		late := chat(fmt.Sprintf("late %d", n), 20, false)
		r, err := try(t.Context(), "POST", m.CallersAddress(), chatPath, late)
		check(t, late, r, err, quick().OutputTokens)
		b.remove(m.CallersAddress())
		var free time.Time // since when the instance gives partitions up
		f.until("owners of the partitions of "+m.Name, func() bool {
			held := map[int]bool{}
			for i := range f.Members() {
				if i != n {
					for _, p := range f.owned(i) {
						held[p] = true
					}
				}
			}
			left := 0
			for _, p := range owned {
				if !held[p] {
					left++
				}
			}
			if free.IsZero() && left < len(owned) {
				free = time.Now()
			}
			return left == 0
		})
		if !free.IsZero() {
			longest = max(longest, time.Since(free))
		}
		<-m.Done
		if m.Err != nil {
			t.Errorf("%s ended with %v", m.Name, m.Err)
		}
		f.until("requests after the drain", func() bool { return count() > at+10 })
	}
	close(over)
	wg.Wait()
	j.once(t, f.callers(len(f.Members())-1), "rolling")
	t.Logf("%d instances replaced under %d requests, none cut; partitions of a leaving instance were all owned again %v after the first of them, at most",
		instances, answered, longest.Round(time.Millisecond))
}
