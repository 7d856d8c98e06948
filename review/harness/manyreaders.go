package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["many-readers"] = manyReaders }

// manyReaders lets clients read the results of complete batch jobs, so that the instances make more
// read calls than the store answers. Meanwhile a server leaves that never reports draining: its
// entry is removed, it serves for a little longer than drainMs, and exits. manyReaders reports
// whether a request reaches the server later than drainMs after its entry was removed.
func manyReaders(w *world, trouble bool) bool {
	const (
		kvTokens   = 147261
		drainMs    = 2 * time.Second
		lingerTime = drainMs + 1500*time.Millisecond
		instances  = 8
		// Each job has as many items as the platform allows.
		itemsPerJob, readersPerJob = 200, 4
	)
	// In 3 s come as many jobs as usual, or six times as many.
	jobs := 2
	if trouble {
		jobs = 9
	}
	once := streamRoute("r-once", "/once7/")
	once["resumable"], once["maxAttempts"] = false, 1
	w.configure(3, kvTokens, once, batchRoute())
	w.store.limitReads(2000, 4*time.Millisecond)
	for n := range 9 {
		w.startServer(fmt.Sprintf("i-%08x", n+1), engineName, 8, 15*time.Millisecond, kvTokens)
	}
	w.startInstances(instances)
	var ids []string
	for j := range jobs {
		job := fmt.Sprintf("7c41e09b52d6a3%02x", j)
		ids = append(ids, job)
		var items []item
		for n := range itemsPerJob {
			items = append(items, newItem(job, n, 350, 5))
		}
		w.submit(job, items)
		time.Sleep(3 * time.Second / time.Duration(jobs))
	}
	for _, job := range ids {
		w.await("job "+job+" is complete", 60*time.Second, func() bool { return w.countListed(w.instances[0], job, itemsPerJob-1) > 0 })
	}
	var over atomic.Bool
	var clients sync.WaitGroup
	var served, failed atomic.Int64
	for c := range 30 {
		clients.Go(func() {
			for n := 0; !over.Load(); n++ {
				id := fmt.Sprintf("%02x%06x", c, n)
				if w.stream(w.instances[(c+n)%instances], id, "/once7/2f", 25) {
					served.Add(1)
				} else {
					failed.Add(1)
					w.logf("client: %s is not served in full", id)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	w.logf("%d clients begin to read results twice a second, from the first position, at the instances in turn", jobs*readersPerJob)
	for c := range jobs * readersPerJob {
		clients.Go(func() {
			for n := 0; !over.Load(); n++ {
				w.countListed(w.instances[(c+n)%instances], ids[c%jobs], 0)
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	s := w.servers[0]
	s.stop()
	w.store.put("servers", s.id, nil)
	acknowledged := time.Now()
	w.logf("server %s: its entry is removed, which the store acknowledges", s.id)
	var late atomic.Int64
	s.setOnRequest(func(id string) {
		if after := time.Since(acknowledged); after > drainMs {
			late.Add(1)
			w.logf("server %s: %s reaches it %.2f s after the acknowledgement", s.id, id, after.Seconds())
		}
	})
	time.Sleep(lingerTime)
	s.crash()
	w.logf("server %s has left", s.id)
	time.Sleep(2 * time.Second)
	over.Store(true)
	clients.Wait()
	w.logf("%d requests reached the server later than drainMs after the acknowledgement; of all requests %d were served and %d were not", late.Load(), served.Load(), failed.Load())
	return late.Load() > 0
}
