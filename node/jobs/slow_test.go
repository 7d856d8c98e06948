package jobs_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// Guards against an item that never ends, because each server takes longer for an event than
// a run may wait: its time limit has to grow.
func TestItemEndsOnSlowServers(t *testing.T) {
	c := newCluster(t)
	c.server.respond = func(conn net.Conn, r *http.Request, _ int) bool {
		id := r.Header.Get("Id")
		from, _ := strconv.Atoi(r.Header.Get("After"))
		writeHead(conn, id)
		for n := from + 1; n <= events; n++ {
			time.Sleep(1700 * time.Millisecond) // above the limit of a first run
			writeEvent(conn, id, n)
		}
		fmt.Fprint(conn, "0\r\n\r\n")
		return true
	}
	a := c.start("a", 1)
	submitJob(t, a, "j", "x")
	checkResults(t, a.awaitResults("j", 1), "x")
	if n := c.server.count("x"); n > events+1 {
		t.Errorf("%d runs for %d events", n, events)
	}
}
