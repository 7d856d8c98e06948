package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["same-hash"] = sameHash }

// Two ids of the form that PROTOCOL.md shows. Of the first 62,349 ids that were tried, these are
// the two that the instances cannot tell apart: the low 32 bits of their xxhash are equal.
const (
	idOfModels = "i-740d091f"
	idOfApp    = "i-4c4b9b3f"
	otherID    = "i-4c4b9b40" // without the disruption the new server has this id
)

// sameHash: an empty server of the portal service is added (scale_out). Its id has the same 32-bit
// hash as that of a model server, which has been there all the time.
func sameHash(record string, trouble bool) int {
	d := newDeployment(record, 0)
	d.putConfig(1, nil)
	zones := []string{"bp-a", "bp-b", "bp-c"}
	models := map[string]bool{idOfModels: true}
	for n := range 8 {
		models[fmt.Sprintf("i-%08x", n+1)] = true
	}
	n := 0
	for id := range models {
		newBackend(d.store, d.rec, id, modelsName, zones[n%3], 8, 3, 5*time.Millisecond)
		n++
	}
	newApp := func(id, zone string) {
		b := newBackend(d.store, d.rec, id, appName, zone, 6, 1, 0)
		b.onRun = func(w http.ResponseWriter, r *http.Request, body []byte) bool {
			time.Sleep(30 * time.Millisecond)
			fmt.Fprintf(w, "receipt for %s", r.Header.Get("X-Request-Id"))
			return true
		}
	}
	newApp("i-00000011", zones[0])
	newApp("i-00000012", zones[1])
	newApp("i-00000013", zones[2])
	for n := range 10 {
		d.start(d.addInstance(zones[n%3]))
	}
	for _, i := range d.instances {
		d.awaitReady(i, 15*time.Second)
	}
	time.Sleep(4 * time.Second)
	end := time.Now().Add(20 * time.Second)
	var mu sync.Mutex
	sent, foreign := 0, 0
	var clients sync.WaitGroup
	for c := range 14 {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("intake-%02d-%05d", c, n)
				i := d.instances[(c+n)%len(d.instances)]
				a := d.send(i, "POST", host, safePath+"x", id, map[string]string{"X-Deadline-Ms": "1500"}, []byte("a signed reply"), 3*time.Second)
				mu.Lock()
				sent++
				if a.status == 200 && string(a.body) != "receipt for "+id {
					foreign++
					d.rec.line("client of %s got the answer of another service: %.60q, signature %s", id, a.body, a.header.Get("X-Response-Stamp"))
				}
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	time.Sleep(5 * time.Second)
	if trouble {
		newApp(idOfApp, zones[2])
	} else {
		newApp(otherID, zones[2])
	}
	d.rec.say("a server of the portal service is added")
	clients.Wait()
	wrong := 0
	for _, e := range d.rec.seen() {
		if e.what == "runs" && strings.HasPrefix(e.id, "intake-") && models[e.server] {
			wrong++
			if wrong <= 3 {
				d.rec.say("model server %s runs request %s of the route of the portal service", e.server, e.id)
			}
		}
	}
	d.rec.say("%d requests sent on the portal's route, %d run by model servers, %d clients got a foreign answer", sent, wrong, foreign)
	if sent < 100 {
		return unable
	}
	if wrong > 0 {
		return broken
	}
	return held
}
