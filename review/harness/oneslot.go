package main

import (
	"fmt"
	"time"
)

func init() { cases["one-slot"] = oneSlot }

// oneSlot loses the only server of a service that has more than one slot, one of seven, for good,
// and looks whether the items of a batch job are listed later. The other servers are idle.
func oneSlot(w *world, trouble bool) bool {
	const kvTokens = 147261
	w.configure(3, kvTokens, streamRoute("r-stream", "/stream4/"), batchRoute())
	large := w.startServer("i-00000001", engineName, 8, 15*time.Millisecond, kvTokens)
	for n := range 6 {
		w.startServer(fmt.Sprintf("i-%08x", n+2), engineName, 1, 15*time.Millisecond, kvTokens)
	}
	w.startInstances(3)
	const job = "7c41e09b52d6a3f8"
	var items []item
	for n := range 24 {
		items = append(items, newItem(job, n, 350, 173))
	}
	w.submit(job, items)
	time.Sleep(time.Second)
	if trouble {
		large.crash()
		w.logf("server %s has crashed for good", large.id)
		// Its entry goes after three heartbeat intervals of silence.
		time.Sleep(3600 * time.Millisecond)
		w.store.put("servers", large.id, nil)
	}
	// No item has failed at a server in the 20 s before the end.
	time.Sleep(22 * time.Second)
	return w.checkListed(job, items, finish)
}
