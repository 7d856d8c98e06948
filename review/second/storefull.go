package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["store-full"] = storeFull }

// storeFull: clients hand in batch jobs until the store holds its 400 MB and answers appends with
// 507. All jobs that got a 202 have to be finished all the same.
func storeFull(record string, trouble bool) int {
	limit := int64(0)
	if trouble {
		limit = storeTotalBytes
	}
	const (
		events   = 40
		gap      = 50 * time.Millisecond
		bodySize = 285_000 // under the 570,000 of the sheet
		lots     = 115
		pause    = 400 * time.Millisecond
		finish   = 18 * time.Second // finishS
	)
	d := newDeployment(record, limit)
	d.putConfig(1, nil)
	for n := range 9 {
		newBackend(d.store, d.rec, fmt.Sprintf("i-%02d", n), modelsName, []string{"bp-a", "bp-b", "bp-c"}[n%3], 8, events, gap)
	}
	for _, zone := range []string{"bp-a", "bp-b", "bp-c"} {
		d.start(d.addInstance(zone))
	}
	for _, i := range d.instances {
		d.awaitReady(i, 10*time.Second)
	}
	time.Sleep(3 * time.Second)
	var all []*lot
	var clients sync.WaitGroup
	for n := range lots {
		l := newLot(fmt.Sprintf("lot%03d", n), 10, bodySize)
		all = append(all, l)
		clients.Go(func() { d.submit(l, n, 2); l.body = nil })
		time.Sleep(pause)
		if _, full := d.store.stats(); full > 0 {
			break
		}
	}
	clients.Wait()
	bytes, full := d.store.stats()
	d.rec.say("%d jobs handed in, the store holds %d MB and has answered %d appends with 507", len(all), bytes>>20, full)
	time.Sleep(finish + 2*time.Second)
	accepted, open, unlisted := 0, 0, 0
	for _, l := range all {
		if l.accepted.IsZero() {
			continue
		}
		accepted++
		status := 0
		for n := 0; n < 3 && status != 200; n++ {
			status = d.readLot(l, d.instances[n%len(d.instances)])
		}
		if missing := l.unlisted(); len(missing) > 0 {
			open++
			unlisted += len(missing)
			d.rec.say("job %s got 202 %.1f s ago: %d of %d items are not listed (last read: %d)", l.id, time.Since(l.accepted).Seconds(), len(missing), len(l.items), status)
		}
	}
	lastRun := lastEvent(d.rec.seen())
	_, full = d.store.stats()
	d.rec.say("%d jobs accepted, %d of them not finished, %d items not listed; the servers were last seen at work %.1f s ago; %d appends got 507", accepted, open, unlisted, time.Since(lastRun).Seconds(), full)
	if accepted == 0 {
		return unable
	}
	if unlisted > 0 && time.Since(lastRun) > 5*time.Second {
		return broken
	}
	if unlisted > 0 {
		return unable
	}
	return held
}

// lastEvent returns when a server was last reached by a request or finished one.
func lastEvent(events []serverEvent) (last time.Time) {
	for _, e := range events {
		if e.at.After(last) {
			last = e.at
		}
	}
	return last
}
