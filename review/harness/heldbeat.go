package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["held-beat"] = heldBeat }

// heldBeat cuts a server off from the store. The heartbeat that it sends at the beginning of the
// cut is held up and arrives after the cut, when the server has reported that it is draining. The
// server serves for a little longer than drainMs and exits then. heldBeat reports whether a request
// reaches the server later than drainMs after its report was acknowledged.
func heldBeat(w *world, trouble bool) bool {
	const (
		kvTokens = 147261
		drainMs  = 2 * time.Second
		beats    = 1200 * time.Millisecond
		// The server is cut off for cutTime, and exits lingerTime after its report.
		cutTime    = 4 * time.Second
		lingerTime = drainMs + 2500*time.Millisecond
		// Bytes that are sent 0.9 s after the beginning of the cut are sent again 0.2, 0.6, 1.4, 3.0
		// and 6.2 s later, as TCP does from a timeout of 0.2 s on. The last time is the first one
		// after the cut.
		heldFor = 6200 * time.Millisecond
	)
	once := streamRoute("r-once", "/once7/")
	once["resumable"], once["maxAttempts"] = false, 1
	w.configure(3, kvTokens, once, batchRoute())
	for n := range 5 {
		w.startServer(fmt.Sprintf("i-%08x", n+1), engineName, 8, 20*time.Millisecond, kvTokens)
	}
	w.startInstances(3)
	var over atomic.Bool
	var clients sync.WaitGroup
	for c := range 30 {
		clients.Go(func() {
			for n := 0; !over.Load(); n++ {
				id := fmt.Sprintf("%02x%06x", c, n)
				if !w.stream(w.instances[(c+n)%3], id, "/once7/2f", 25) {
					w.logf("client: %s is not served in full", id)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	// From here on the heartbeats of this server are written below.
	s := w.servers[0]
	s.stop()
	time.Sleep(beats)
	s.prepareBeat()()
	time.Sleep(300 * time.Millisecond)
	begin := time.Now()
	at := func(after time.Duration) { time.Sleep(time.Until(begin.Add(after))) }
	if trouble {
		w.logf("server %s is cut off from the store", s.id)
		s.setCut(true)
	}
	at(beats - 300*time.Millisecond)
	held := s.prepareBeat()
	if trouble {
		w.logf("server %s: heartbeat %d, state ready, is held up", s.id, s.sequence)
		time.AfterFunc(heldFor, func() {
			held()
			w.logf("the heartbeat of %s that was held up arrives at the store", s.id)
		})
		at(3*beats - 300*time.Millisecond)
		w.store.put("servers", s.id, nil)
		w.logf("the store removes the entry of %s after three heartbeat intervals of silence", s.id)
	} else {
		held()
	}
	at(cutTime)
	s.setCut(false)
	s.beat()
	w.logf("server %s: heartbeat %d, state ready, is acknowledged", s.id, s.sequence)
	reported := cutTime + 600*time.Millisecond
	at(reported)
	s.drain()
	acknowledged := time.Now()
	w.logf("server %s: heartbeat %d, state draining, is acknowledged", s.id, s.sequence)
	var late atomic.Int64
	s.setOnRequest(func(id string) {
		if after := time.Since(acknowledged); after > drainMs {
			late.Add(1)
			w.logf("server %s: %s reaches it %.2f s after the acknowledgement", s.id, id, after.Seconds())
		}
	})
	for n := time.Duration(1); n*beats < lingerTime; n++ {
		at(reported + n*beats)
		s.beat()
		w.logf("server %s: heartbeat %d, state draining, is acknowledged", s.id, s.sequence)
	}
	at(reported + lingerTime)
	s.crash()
	w.store.put("servers", s.id, nil)
	w.logf("server %s has left", s.id)
	time.Sleep(2 * time.Second)
	over.Store(true)
	clients.Wait()
	w.logf("%d requests reached the server later than drainMs after the acknowledgement", late.Load())
	return late.Load() > 0
}
