package jobs_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// versionedRuns records which server each event of an item that is kept came from. The first run
// of each item breaks after two events.
type versionedRuns struct {
	mu      sync.Mutex
	origins map[string][events + 1]string
	// onBreak is called before a first run breaks.
	onBreak func()
}

func (v *versionedRuns) respond(c net.Conn, r *http.Request, run int) bool {
	id, server := r.Header.Get("Id"), r.Header.Get("Expect-Server")
	after, _ := strconv.Atoi(r.Header.Get("After"))
	v.mu.Lock()
	kept := v.origins[id]
	for n := after + 1; n <= events; n++ {
		kept[n] = server
	}
	v.origins[id] = kept
	v.mu.Unlock()
	writeHead(c, id)
	for n := after + 1; n <= events; n++ {
		writeEvent(c, id, n)
		if run == 0 && n == 2 {
			v.onBreak()
			return true
		}
	}
	fmt.Fprint(c, "0\r\n\r\n")
	return true
}

// Guards against a text of a batch item that is joined from two versions of the servers' software:
// after a break it goes on at the version that began it, or from the start if that is gone.
func TestItemGoesOnAtItsVersion(t *testing.T) {
	for name, leaves := range map[string]bool{"version stays": false, "version leaves": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			c.versions = []string{"v1", "v2", "v1", "v2"}
			runs := &versionedRuns{origins: map[string][events + 1]string{}}
			c.server.respond = runs.respond
			var i *instance
			runs.onBreak = func() {
				if leaves {
					i.view.ApplyServers([]port.Entry[serving.Server]{{Key: "s0"}, {Key: "s2"}}, false)
				}
			}
			i = c.start("a", 1)
			ids := []string{"a", "b", "c", "d", "e", "f"}
			submitJob(t, i, "job", ids...)
			checkResults(t, i.awaitResults("job", len(ids)), ids...)
			version := map[string]string{"s0": "v1", "s1": "v2", "s2": "v1", "s3": "v2"}
			for _, id := range ids {
				for n, server := range runs.origins[id] {
					if n > 1 && version[server] != version[runs.origins[id][1]] {
						t.Errorf("item %s: event %d comes from %s, the first from %s", id, n, server, runs.origins[id][1])
					}
				}
			}
		})
	}
}
