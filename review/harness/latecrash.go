package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["late-crash"] = lateCrash }

// lateCrash sends a request that crashes each server that runs it, 0.2 s after its first event,
// again and again, beside requests of other callers that may run once at most. It reports whether
// the request reaches servers more than three times later than stableWindowMs after the third
// crash.
func lateCrash(w *world, trouble bool) bool {
	const (
		kvTokens     = 147261
		stableWindow = 3 * time.Second
		backAfter    = 3 * time.Second
		playTime     = 45 * time.Second
	)
	once := streamRoute("r-once", "/once7/")
	once["resumable"], once["maxAttempts"] = false, 1
	w.configure(3, kvTokens, streamRoute("r-stream", "/stream4/"), once, batchRoute())
	var mu sync.Mutex
	var crashes []time.Time
	var runs []time.Time
	next := 0
	var start func()
	start = func() {
		mu.Lock()
		next++
		id := fmt.Sprintf("i-%08x", next)
		mu.Unlock()
		s := w.startServer(id, engineName, 8, 20*time.Millisecond, kvTokens)
		if trouble {
			s.crashAt = 11
		}
		s.onRun = func() {
			mu.Lock()
			runs = append(runs, time.Now())
			mu.Unlock()
		}
		s.onCrash = func() {
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			// The server is back after some seconds, with a new id.
			time.AfterFunc(backAfter, start)
			// Its entry goes after three heartbeat intervals of silence.
			time.AfterFunc(3600*time.Millisecond, func() { w.store.put("servers", s.id, nil) })
		}
	}
	for range 6 {
		start()
	}
	w.startInstances(3)
	var over atomic.Bool
	var served, failed atomic.Int64
	var clients sync.WaitGroup
	for c := range 8 {
		clients.Go(func() {
			for n := 0; !over.Load(); n++ {
				if w.stream(w.instances[(c+n)%3], fmt.Sprintf("%02x%06x", c, n), "/once7/2f", 25) {
					served.Add(1)
				} else {
					failed.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for begin, n := time.Now(), 0; time.Since(begin) < playTime; n++ {
		id := fmt.Sprintf("dead%04x", n)
		ok := w.stream(w.instances[n%3], id, deadlyPath, 25)
		w.logf("client: %s %s at %s: served %v", id, deadlyPath, w.instances[n%3].name, ok)
		time.Sleep(1500 * time.Millisecond)
	}
	over.Store(true)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 3 {
		for _, at := range runs {
			if at.After(crashes[2].Add(stableWindow)) {
				late++
			}
		}
	}
	w.logf("the request ran %d times and crashed %d servers; it reached servers %d times later than 3 s after the third crash; of the requests of other callers %d were served and %d were not",
		len(runs), len(crashes), late, served.Load(), failed.Load())
	return late > 3
}

// stream sends a stream request and reports whether it was served in full.
func (w *world) stream(i *instance, id, path string, events int) bool {
	// Requests of one path have the same body.
	r, _ := http.NewRequest(http.MethodPost, "http://"+i.callers+path, strings.NewReader("draft a letter "+path))
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Model", "m")
	r.Header.Set("X-Token-Counts", fmt.Sprintf("350,%d", events))
	r.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:100,%x:250", path))
	r.Header.Set("X-Deadline-Ms", "5000")
	response, err := w.client.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && strings.Count(string(body), "data:") == events
}
