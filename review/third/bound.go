package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// bound crashes one server that has run an item with a body somewhat larger than usual. From then on each
// server gets one item at a time, so that jobs wait though the servers are nearly idle.
func bound(trouble bool) int {
	ctx, cancel := context.WithCancel(context.Background())
	closers = append(closers, cancel)
	st := newStore()
	st.put("keyed.op", "config", configuration(1, 8))
	log := &runLog{}
	var mu sync.Mutex
	ranAt := map[string]*server{}
	var servers []*server
	add := func(i int) {
		s := newServer(st, fmt.Sprintf("i-%08x", 0x7f3a91c2+i), modelService, 8)
		s.events, s.batchEvents, s.gap, s.batchGap, s.batchPrefix, s.log = 4, 60, 25*time.Millisecond, 50*time.Millisecond, batchPrefix, log
		s.onItem = func(s *server, item string) { mu.Lock(); ranAt[item] = s; mu.Unlock() }
		s.start(ctx)
		servers = append(servers, s)
	}
	for i := range 9 {
		add(i)
	}
	f := newFleet(12, st.addr)
	closers = append(closers, f.stop)
	f.startAll()
	rec.add("%d instances are ready before %d servers with 8 slots", len(f.list), len(servers))
	traffic := startTraffic(f, 1500)
	time.Sleep(10 * time.Second)
	in := f.list[0]
	const small = 12000
	first := newJobOf(batchPrefix, 9, func(i int) int {
		if i == 8 {
			return 16000
		}
		return small
	})
	if first.submit(in, batchPrefix) != http.StatusAccepted {
		return noOutcome
	}
	time.Sleep(5 * time.Second)
	_, results := first.read(f.list[1], 0)
	rec.add("job %s: %d of %d items are listed", first.id, len(results), len(first.items))
	mu.Lock()
	largest := ranAt[first.items[8]]
	mu.Unlock()
	if largest == nil {
		return noOutcome
	}
	if trouble {
		largest.crash()
		servers = slices.DeleteFunc(servers, func(s *server) bool { return s == largest })
		rec.add("server %s crashes; it ran the item with the largest body", largest.id)
		time.Sleep(4500 * time.Millisecond)
		add(9)
		rec.add("a server is started in its place")
	} else {
		time.Sleep(4500 * time.Millisecond)
	}
	time.Sleep(time.Second)
	var jobs []*job
	for _, n := range []int{200, 8, 8, 8, 8, 8, 8, 8, 8, 8, 8} {
		j := newJobOf(batchPrefix, n, func(int) int { return small })
		if j.submit(in, batchPrefix) != http.StatusAccepted {
			return noOutcome
		}
		jobs = append(jobs, j)
	}
	traffic.end()
	return judgeFinish(f, servers, jobs, log)
}
