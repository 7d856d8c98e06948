package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const host = "ficu95.example"

var lastID atomic.Int64

func newID(kind string) string { return fmt.Sprintf("%s%012x", kind, lastID.Add(1)) }

// call makes one call on a new connection and returns the status, or 0 without an answer.
func call(in *instance, method, path string, header map[string]string, body []byte, limit time.Duration) (int, []byte) {
	r, err := http.NewRequest(method, "http://"+in.callers+path, bytes.NewReader(body))
	check(err)
	r.Host, r.Close = host, true
	for k, v := range header {
		r.Header.Set(k, v)
	}
	c := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	defer c.CloseIdleConnections()
	response, err := c.Do(r)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, raw
}

// job is a batch job of a client.
type job struct {
	id    string
	items []string
	raw   []byte
	at    time.Time
}

func newJob(prefix string, items int) *job {
	return newJobOf(prefix, items, func(int) int { return 1000 })
}

// newJobOf returns a job whose items have bodies of the given sizes.
func newJobOf(prefix string, items int, bytes func(item int) int) *job {
	j := &job{id: newID("j")}
	var list []map[string]any
	for i := range items {
		id := newID("i")
		j.items = append(j.items, id)
		list = append(list, map[string]any{
			"id": id, "path": fmt.Sprintf("%s%d/%s", prefix, i, id), "tokens": 300,
			"headers": map[string]string{"X-Model": "m", "X-Token-Counts": "250,50"},
			"body":    base64.StdEncoding.EncodeToString([]byte(strings.Repeat("b", bytes(i)))),
		})
	}
	j.raw, _ = json.Marshal(map[string]any{"items": list})
	return j
}

// submit hands the job in at an instance once.
func (j *job) submit(in *instance, prefix string) int {
	if j.at.IsZero() {
		j.at = time.Now()
	}
	status, _ := call(in, http.MethodPost, prefix+j.id, map[string]string{"X-Request-Id": j.id, "Content-Type": "application/json", "X-Deadline-Ms": "4000"}, j.raw, 4*time.Second)
	rec.add("client submits job %s with %d items at %s: %d", j.id, len(j.items), in.name, status)
	return status
}

// end ends the job at an instance.
func (j *job) end(in *instance) int {
	status, _ := call(in, http.MethodDelete, "/lots/"+j.id, nil, nil, 4*time.Second)
	rec.add("client ends job %s at %s: %d", j.id, in.name, status)
	return status
}

// result is one result of a job.
type result struct {
	ID, State, Text string
}

// read reads all results from a position on.
func (j *job) read(in *instance, after int) (status int, results []result) {
	for {
		status, raw := call(in, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", j.id, after), nil, nil, 3*time.Second)
		if status != http.StatusOK {
			return status, results
		}
		var page struct {
			Total, Next int
			Results     []result
		}
		if json.Unmarshal(raw, &page) != nil || len(page.Results) == 0 {
			return status, results
		}
		results, after = append(results, page.Results...), page.Next
	}
}

// traffic is online traffic: one stream after the other at each instance.
type traffic struct {
	over           atomic.Bool
	clients        sync.WaitGroup
	served, failed atomic.Int64
}

// startTraffic starts a client at each instance, whose requests have bodies of the given size.
func startTraffic(f *fleet, bytes int) *traffic {
	t, body := &traffic{}, make([]byte, bytes)
	for _, in := range f.list {
		t.clients.Go(func() {
			for !t.over.Load() {
				id := newID("o")
				status, _ := call(in, http.MethodPost, streamPrefix+id, map[string]string{"X-Request-Id": id, "X-Model": "m", "X-Token-Counts": "250,24", "X-Deadline-Ms": "5000"}, body, 5*time.Second)
				if status == http.StatusOK {
					t.served.Add(1)
				} else {
					t.failed.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	return t
}

// end ends the traffic and waits for the last answers.
func (t *traffic) end() {
	t.over.Store(true)
	t.clients.Wait()
	rec.add("the traffic has ended: %d online requests served, %d not", t.served.Load(), t.failed.Load())
}
