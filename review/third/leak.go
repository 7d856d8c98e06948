package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	streamPrefix = "/lohu930/"
	batchPrefix  = "/pule252/"
	modelService = "huvo11a"
)

// configuration is a configuration with a stream route and a batch route, with the figures of the KME sheet.
func configuration(version, slots int) []byte {
	raw, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-stream", "host": host, "pathPrefix": streamPrefix, "kind": "stream", "timeoutMs": 5000, "targetLatencyMs": 300, "priority": 0,
				"service": modelService, "maxAttempts": 2, "sticky": true, "resumable": true, "gapTargetMs": 250},
			map[string]any{"name": "r-batch", "host": host, "pathPrefix": batchPrefix, "kind": "batch", "timeoutMs": 15000, "targetLatencyMs": 400, "priority": 2,
				"service": modelService, "maxAttempts": 3, "sticky": true, "resumable": true, "gapTargetMs": 250, "dueMs": 18000, "retentionS": 60},
		},
		"services": []any{map[string]any{"name": modelService, "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": slots, "kvCapTokens": 147261}}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return raw
}

const (
	// finish is finishS, and calm the time before its end that has to be calm.
	finish = 18 * time.Second
	calm   = 5 * time.Second
)

// leak kills instances that have just accepted a batch job and have begun to run its items, one after the
// other, and starts them again after a short delay. The jobs that come after that wait though the servers
// are idle.
func leak(trouble bool) int {
	ctx, cancel := context.WithCancel(context.Background())
	closers = append(closers, cancel)
	st := newStore()
	st.put("keyed.op", "config", configuration(1, 8))
	log := &runLog{}
	begun := make(chan struct{}, 10000)
	var servers []*server
	for i := range 9 {
		s := newServer(st, fmt.Sprintf("i-%08x", 0x7f3a91c2+i), modelService, 8)
		s.events, s.batchEvents, s.gap, s.batchGap, s.batchPrefix, s.log = 4, 60, 25*time.Millisecond, 50*time.Millisecond, batchPrefix, log
		s.onItem = func(*server, string) { begun <- struct{}{} }
		s.start(ctx)
		servers = append(servers, s)
	}
	f := newFleet(12, st.addr)
	closers = append(closers, f.stop)
	f.startAll()
	rec.add("%d instances are ready before %d servers with 8 slots", len(f.list), len(servers))

	// The traffic of the KME sheet is 54.5 online requests a second on average.
	traffic := startTraffic(f, 1500)
	time.Sleep(45 * time.Second)

	// The hubs of this fleet are front-b-1 and front-c-1, the second and the third one.
	for _, v := range []int{3, 4, 5, 6, 7, 8, 9, 10} {
		in := f.list[v]
		for len(begun) > 0 {
			<-begun
		}
		j := newJob(batchPrefix, 24)
		if j.submit(in, batchPrefix) != http.StatusAccepted {
			return noOutcome
		}
		select {
		case <-begun:
		case <-time.After(2 * time.Second):
			rec.add("no item of job %s has begun", j.id)
		}
		time.Sleep(45 * time.Millisecond)
		if trouble {
			in.kill()
			rec.add("%s was killed", in.name)
			time.Sleep(500 * time.Millisecond)
			in.start()
			rec.add("%s was started again", in.name)
			in.awaitReady(5 * time.Second)
		}
		if j.end(f.list[(v+1)%len(f.list)]) != http.StatusOK {
			return noOutcome
		}
		time.Sleep(1500 * time.Millisecond)
	}

	// Many jobs at once, at instances that were never killed, and the end of the traffic.
	var jobs []*job
	for i := range 20 {
		j := newJob(batchPrefix, 10)
		if j.submit(f.list[[]int{0, 1, 2, 11}[i%4]], batchPrefix) != http.StatusAccepted {
			return noOutcome
		}
		jobs = append(jobs, j)
	}
	traffic.end()
	return judgeFinish(f, servers, jobs, log)
}

// judgeFinish waits for finishS after the end of the traffic and applies the rule LOST to the open jobs.
func judgeFinish(f *fleet, servers []*server, jobs []*job, log *runLog) int {
	end := time.Now().Add(finish)
	most, slots := 0, 0
	for time.Now().Before(end) {
		time.Sleep(100 * time.Millisecond)
		load := 0
		slots = 0
		for _, s := range servers {
			load += s.load()
			slots += s.slots
		}
		if time.Now().After(end.Add(-calm)) {
			most = max(most, load)
		}
	}
	now := time.Now()
	waiting, idleJobs := 0, 0
	for _, j := range jobs {
		status, results := j.read(f.list[0], 0)
		if status != http.StatusOK {
			return noOutcome
		}
		unlisted := map[string]bool{}
		for _, i := range j.items {
			unlisted[i] = true
		}
		for _, r := range results {
			delete(unlisted, r.ID)
		}
		had := log.hadSince(unlisted, now.Add(-calm))
		rec.add("job %s: %d of %d items are listed; a server had an unlisted one in the last 5 s: %v", j.id, len(results), len(j.items), had)
		waiting += len(unlisted)
		if len(unlisted) > 0 && !had {
			idleJobs++
		}
	}
	last3, last5 := log.finishedSince(now.Add(-3*time.Second)), log.finishedSince(now.Add(-calm))
	rec.add("finishS is over: %d items wait; in the last 5 s the servers ran %d requests at most on %d slots and finished %d items, %d of them in the last 3 s", waiting, most, slots, last5, last3)
	excused := last3 > 0 && 10*last5 >= waiting
	if idleJobs == 0 || 2*most >= slots || excused {
		fmt.Printf("held: %d items wait, %d jobs without one at a server\n", waiting, idleJobs)
		return held
	}
	fmt.Printf("broken: %d items of %d jobs wait when finishS is over, though the servers ran %d requests at most on %d slots and finished %d items in the last 5 s\n", waiting, idleJobs, most, slots, last5)
	return broken
}
