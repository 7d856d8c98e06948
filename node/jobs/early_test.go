package jobs_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/jobs"
)

// longItemBytes is the size of an item that does not fit into the buffers of a loopback connection to a
// server that does not read.
const longItemBytes = 512 << 10

// Guards against an item that is listed as completed with a part of its text, because a server answers
// without a length while the item is still being written and ends the connection.
func TestEarlyAnswerIsNoCompletedItem(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn, done <-chan struct{}){
		"closed":      func(*net.TCPConn, <-chan struct{}) {},
		"reset":       func(c *net.TCPConn, _ <-chan struct{}) { _ = c.SetLinger(0) },
		"half closed": func(c *net.TCPConn, done <-chan struct{}) { _ = c.CloseWrite(); <-done },
		"half closed, then reset": func(c *net.TCPConn, _ <-chan struct{}) {
			_ = c.CloseWrite()
			_ = c.SetLinger(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			done := make(chan struct{})
			defer close(done)
			c.server.respond = func(conn net.Conn, r *http.Request, run int) bool {
				if run > 0 {
					return false
				}
				id := r.Header.Get("Id")
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\n\r\nid: 1\ndata: %s-1\n\n", id, id)
				end(conn.(*net.TCPConn), done)
				return true
			}
			i := c.start("a", 1)
			item := jobs.Item{ID: "a", Path: "/b/a", Body: make([]byte, longItemBytes), Tokens: tokensPerItem}
			submission, err := json.Marshal([]jobs.Item{item})
			if err != nil {
				t.Fatal(err)
			}
			// A busy store may not take that much in time, which promises that nothing was accepted.
			code, raw := i.call(jobs.Submit, "job", submission)
			for end := time.Now().Add(testTimeout); code == http.StatusServiceUnavailable && time.Now().Before(end); {
				code, raw = i.call(jobs.Submit, "job", submission)
			}
			if code != http.StatusAccepted {
				t.Fatalf("submission: %d %s", code, raw)
			}
			checkResults(t, i.awaitResults("job", 1), "a")
		})
	}
}
