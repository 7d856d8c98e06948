package jobs_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/jobs"
)

// Guards against an item being sent to a server that has said in an answer to an earlier item
// that it is leaving.
func TestItemsAvoidAServerThatLeaves(t *testing.T) {
	c := newCluster(t)
	c.server.respond = func(conn net.Conn, r *http.Request, _ int) bool {
		fmt.Fprintf(conn, "HTTP/1.1 500 X\r\nConnection: close\r\nId: %s\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		return true
	}
	i := c.start("a", 1)
	if code, _ := i.call(jobs.Submit, "job", submission("x")); code != http.StatusAccepted {
		t.Fatalf("status %d", code)
	}
	for end := time.Now().Add(testTimeout); c.server.count("x") == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	// A failed item is sent again after 0.3 s.
	time.Sleep(time.Second)
	if n := c.server.count("x"); n != 1 {
		t.Errorf("the item reached the server %d times, want 1", n)
	}
}
