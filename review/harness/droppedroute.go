package main

import "time"

// retention is the retentionS of the batch route, and finish the bound finishS of the site.
const (
	retention = 60 * time.Second
	finish    = 18 * time.Second
)

func init() { cases["dropped-route"] = droppedRoute }

// droppedRoute removes the route of a batch job that was accepted, and looks whether all its
// items are listed finishS after the job's retentionS.
func droppedRoute(w *world, trouble bool) bool {
	const kvTokens = 147261
	streams := streamRoute("r-stream", "/stream4/")
	w.configure(3, kvTokens, streams, batchRoute())
	for _, id := range []string{"i-0000000a", "i-0000000b"} {
		w.startServer(id, engineName, 8, 15*time.Millisecond, kvTokens)
	}
	w.startInstances(3)
	const job = "7c41e09b52d6a3f8"
	var items []item
	for n := range 24 {
		items = append(items, newItem(job, n, 350, 173))
	}
	w.submit(job, items)
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		w.configure(9, kvTokens, streams)
	} else {
		w.configure(9, kvTokens, streams, batchRoute(), streamRoute("r-new", "/stream5/"))
	}
	time.Sleep(retention)
	return w.checkListed(job, items, finish)
}

// checkListed waits for finishS and checks at each instance that all items of a job are listed
// as completed with their whole output, or as dead_letter. It reports whether an item is not
// listed, although the last 5 s were calm and no server had an item in them.
func (w *world) checkListed(job string, items []item, wait time.Duration) (broken bool) {
	time.Sleep(wait)
	w.logf("finishS is over; no server had a request for %.1f s", w.idleFor().Seconds())
	for _, i := range w.instances {
		total, results, ok := w.read(i, job)
		w.logf("client: job %s at %s: %d of %d items listed: %v", job, i.name, len(results), total, countStates(results))
		if !ok || total != len(items) {
			cannotRun("the results cannot be read")
		}
		for k := range items {
			if !isListed(results, &items[k]) {
				w.logf("not listed: %s", items[k].ID)
				broken = broken || w.idleFor() > 5*time.Second
			}
		}
	}
	return broken
}

// isListed reports whether an item is listed as dead_letter, or as completed with its text.
func isListed(results []result, i *item) bool {
	for _, r := range results {
		if r.ID == i.ID {
			return r.State == "dead_letter" || r.State == "completed" && r.Text == i.text()
		}
	}
	return false
}
