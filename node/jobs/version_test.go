package jobs_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// Guards against a text of a batch item that is joined from two versions of the servers' software:
// after a break it goes on at the version that began it, or from the start if that is gone.
func TestItemGoesOnAtItsVersion(t *testing.T) {
	version := map[string]string{"s0": "v1", "s1": "v2", "s2": "v1", "s3": "v2"}
	for name, leaves := range map[string]bool{"version stays": false, "version leaves": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			c.versions = []string{"v1", "v2", "v1", "v2"}
			var mu sync.Mutex
			var i *instance
			// origins holds the server of each event that is kept, by item.
			origins := map[string][events + 1]string{}
			c.server.respond = func(conn net.Conn, r *http.Request, run int) bool {
				id := r.Header.Get("Id")
				after, _ := strconv.Atoi(r.Header.Get("After"))
				writeHead(conn, id)
				for n := after + 1; n <= events; n++ {
					mu.Lock()
					kept := origins[id]
					kept[n] = r.Header.Get("Expect-Server")
					origins[id] = kept
					mu.Unlock()
					writeEvent(conn, id, n)
					if run > 0 || n != 2 {
						continue
					}
					if leaves {
						i.view.ApplyServers([]port.Entry[serving.Server]{{Key: "s0"}, {Key: "s2"}}, false)
					}
					return true // the first run breaks
				}
				fmt.Fprint(conn, "0\r\n\r\n")
				return true
			}
			i = c.start("a", 1)
			ids := []string{"a", "b", "c", "d", "e", "f"}
			submitJob(t, i, "job", ids...)
			checkResults(t, i.awaitResults("job", len(ids)), ids...)
			for id, servers := range origins {
				for n := 2; n <= events; n++ {
					if version[servers[n]] != version[servers[1]] {
						t.Errorf("item %s: event %d comes from %s, the first from %s", id, n, servers[n], servers[1])
					}
				}
			}
		})
	}
}

// Guards against an item being sent to a server that has said in an answer to an earlier item
// that it is leaving.
func TestItemsAvoidAServerThatLeaves(t *testing.T) {
	c := newCluster(t)
	c.server.respond = func(conn net.Conn, r *http.Request, _ int) bool {
		fmt.Fprintf(conn, "HTTP/1.1 500 X\r\nConnection: close\r\nId: %s\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		return true
	}
	submitJob(t, c.start("a", 1), "job", "x")
	time.Sleep(time.Second) // a failed item is sent again after 0.3 s
	if n := c.server.count("x"); n != 1 {
		t.Errorf("the item reached the server %d times, want 1", n)
	}
}
