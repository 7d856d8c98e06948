package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["config-storm"] = configStorm }

// configStorm: the configuration has grown by 1,400 routes. 25 versions that change idle routes come
// in 1.5 s, and then one that moves the portal's route to another service.
func configStorm(record string, trouble bool) int {
	const (
		bigRoutes   = 1400
		storm       = 25
		gap         = 60 * time.Millisecond
		configApply = 3 * time.Second // configApplyMs of the grown sites
	)
	d := newDeployment(record, 0)
	idle := 0
	put := func(version int64, service string) {
		d.putConfig(version, func(config map[string]any) {
			routes := config["routes"].([]map[string]any)
			for _, r := range routes {
				if r["name"] == "safe" {
					r["service"] = service
				}
			}
			for n := range bigRoutes {
				name := fmt.Sprintf("r-%07d", n)
				timeout := 5000
				if n == idle {
					timeout = 4000
				}
				routes = append(routes, map[string]any{"name": name, "host": "idle.example", "pathPrefix": "/" + name + "/", "kind": "stream", "service": modelsName, "timeoutMs": timeout,
					"targetLatencyMs": 300, "priority": 0, "maxAttempts": 2, "gapTargetMs": 250, "sticky": true, "resumable": true})
			}
			config["routes"] = routes
			services := config["services"].([]map[string]any)
			config["services"] = append(services, map[string]any{"name": "portal-b", "healthPath": "/health", "maxConns": 110})
		})
	}
	put(1, appName)
	zones := []string{"bp-a", "bp-b", "bp-c"}
	for n := range 4 {
		newBackend(d.store, d.rec, fmt.Sprintf("i-%02d", n), modelsName, zones[n%3], 8, 10, 10*time.Millisecond)
		for _, service := range []string{appName, "portal-b"} {
			b := newBackend(d.store, d.rec, fmt.Sprintf("%s-%02d", service, n), service, zones[n%3], 6, 1, 0)
			b.onRun = func(w http.ResponseWriter, r *http.Request, body []byte) bool {
				time.Sleep(15 * time.Millisecond)
				fmt.Fprintf(w, "receipt for %s", r.Header.Get("X-Request-Id"))
				return true
			}
		}
	}
	for n := range 4 {
		d.start(d.addInstance(zones[n%3]))
	}
	for _, i := range d.instances {
		d.awaitReady(i, 15*time.Second)
	}
	time.Sleep(5 * time.Second)
	end := time.Now().Add(22 * time.Second)
	sent := map[string]time.Time{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	for c := range 6 {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("intake-%02d-%05d", c, n)
				i := d.instances[(c+n)%len(d.instances)]
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				a := d.send(i, "POST", host, safePath+"x", id, map[string]string{"X-Deadline-Ms": "1500"}, []byte("a signed reply"), 3*time.Second)
				d.rec.line("client: %s at %s is answered %d", id, i.name, a.status)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	version := int64(2)
	if trouble {
		for n := range storm {
			idle = n
			put(version, appName)
			version++
			time.Sleep(gap)
		}
	}
	put(version, "portal-b")
	acked := time.Now()
	d.rec.say("version %d moves the portal's route to portal-b; the store has accepted it", version)
	clients.Wait()
	late, judged := 0, 0
	var worst time.Duration
	for _, e := range d.rec.seen() {
		at := sent[e.id]
		if e.what != "runs" || !strings.HasPrefix(e.id, "intake-") || !at.After(acked.Add(configApply)) {
			continue
		}
		judged++
		if strings.HasPrefix(e.server, appName+"-0") {
			late++
			worst = max(worst, at.Sub(acked))
			if late <= 3 {
				d.rec.say("request %s was sent %.2f s after version %d was accepted, and server %s of the old service ran it", e.id, at.Sub(acked).Seconds(), version, e.server)
			}
		}
	}
	d.rec.say("%d requests were sent later than configApplyMs after the acknowledgement, %d run by the old service, the last one sent after %.2f s", judged, late, worst.Seconds())
	if judged < 100 {
		return unable
	}
	if late > 0 {
		return broken
	}
	return held
}
