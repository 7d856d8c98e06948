package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["grey-503"] = grey503 }

// grey503: one of nine model servers fails four tenths of its requests after it has begun to work
// on them, with status 503 and without X-Not-Run, for 6.5 s, while its health check is good.
func grey503(record string, trouble bool) int {
	d := newDeployment(record, 0)
	d.putConfig(1, nil)
	zones := []string{"bp-a", "bp-b", "bp-c"}
	var grey atomic.Bool
	for n := range 9 {
		b := newBackend(d.store, d.rec, fmt.Sprintf("i-%02d", n), modelsName, zones[n%3], 8, 10, 10*time.Millisecond)
		if n == 0 {
			count := 0
			var mu sync.Mutex
			b.onRun = func(w http.ResponseWriter, r *http.Request, body []byte) bool {
				if !grey.Load() {
					return false
				}
				mu.Lock()
				count++
				fails := count%5 < 2
				mu.Unlock()
				if !fails {
					return false
				}
				time.Sleep(30 * time.Millisecond)
				w.WriteHeader(http.StatusServiceUnavailable)
				fmt.Fprint(w, "the model failed while it wrote the answer")
				d.rec.line("server i-00 answers %s with 503, it has run", r.Header.Get("X-Request-Id"))
				return true
			}
		}
	}
	for n := range 3 {
		d.start(d.addInstance(zones[n%3]))
	}
	for _, i := range d.instances {
		d.awaitReady(i, 15*time.Second)
	}
	time.Sleep(4 * time.Second)
	end := time.Now().Add(20 * time.Second)
	type attempt struct {
		id     string
		status int
	}
	var mu sync.Mutex
	var attempts []attempt
	letters := map[string][]string{} // the attempts by letter
	var clients sync.WaitGroup
	for c := range 30 {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				letter := fmt.Sprintf("letter-%02d-%04d", c, n)
				for try := range 2 { // one retry, only after a promise
					id := fmt.Sprintf("%s-%d", letter, try)
					i := d.instances[(c+n+try)%len(d.instances)]
					a := d.send(i, "POST", host, oncePath+"x", id, map[string]string{"X-Deadline-Ms": "5000", "X-Model": "m", "X-Token-Counts": "200,100", "X-Prompt-Prefix": "aa:100,bb:100"}, []byte("prompt"), 6*time.Second)
					mu.Lock()
					attempts = append(attempts, attempt{id, a.status})
					letters[letter] = append(letters[letter], id)
					mu.Unlock()
					d.rec.line("client: %s at %s is answered %d", id, i.name, a.status)
					if a.status != 503 && a.status != 429 && a.status != 408 && a.status != 421 {
						break
					}
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	grey.Store(trouble)
	time.Sleep(6500 * time.Millisecond)
	grey.Store(false)
	clients.Wait()
	time.Sleep(time.Second)
	runs := map[string]int{}
	for _, e := range d.rec.seen() {
		if e.what == "runs" {
			runs[e.id]++
		}
	}
	refused, doubled := 0, 0
	for _, a := range attempts {
		if runs[a.id] > 0 && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) {
			refused++
			if refused <= 3 {
				d.rec.say("request %s was answered %d, and a server has run it", a.id, a.status)
			}
		}
	}
	for _, ids := range letters {
		ran := 0
		for _, id := range ids {
			ran += runs[id]
		}
		if ran > 1 {
			doubled++
		}
	}
	d.rec.say("%d attempts on the route that runs once, %d answered with a promise though they had run, %d letters run twice", len(attempts), refused, doubled)
	if len(attempts) < 100 {
		return unable
	}
	if refused > 0 {
		return broken
	}
	return held
}
