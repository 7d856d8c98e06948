package main

import "time"

func init() { cases["oversized-item"] = oversizedItem }

// oversizedItem hands in a job of which one item of 20 is larger than the memory of each server,
// and looks whether all its items are listed finishS after the job's retentionS.
func oversizedItem(w *world, trouble bool) bool {
	const kvTokens = 147261
	w.configure(3, kvTokens, streamRoute("r-stream", "/stream4/"), batchRoute())
	for _, id := range []string{"i-0000000a", "i-0000000b"} {
		w.startServer(id, engineName, 8, 15*time.Millisecond, kvTokens)
	}
	w.startInstances(3)
	const job = "7c41e09b52d6a3f8"
	var items []item
	for n := range 20 {
		items = append(items, newItem(job, n, 350, 173))
	}
	if trouble {
		items[7] = newItem(job, 7, kvTokens, 173)
	}
	w.submit(job, items)
	time.Sleep(retention)
	return w.checkListed(job, items, finish)
}
