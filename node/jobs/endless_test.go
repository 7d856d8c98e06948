package jobs_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against an instance that keeps everything that a faulty server sends, when it sends
// sound events without end, and against items that wait for such a server without end.
func TestServerThatSendsEventsWithoutEnd(t *testing.T) {
	for name, event := range map[string]string{
		"long events": "data: " + strings.Repeat("x", 4<<10) + "\n\n", "short events": "data: x\n\n", "empty events": "data:\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newCluster(t)
			s.versions = []string{"", ""} // s0 and s1
			var longest atomic.Int64
			s.server.respond = func(c net.Conn, r *http.Request, _ int) bool {
				if r.Header.Get("Expect-Server") != "s0" {
					return false
				}
				writeHead(c, r.Header.Get("Id"))
				chunk := []byte(fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
				sent := int64(0)
				for {
					n, err := c.Write(chunk)
					sent += int64(n)
					longest.Store(max(longest.Load(), sent))
					if err != nil {
						return true
					}
				}
			}
			a := s.start("a", 1)
			var ids []string
			for n := range 20 {
				ids = append(ids, fmt.Sprint("i", n))
			}
			submitJob(t, a, "j", ids...)
			checkResults(t, a.awaitResults("j", len(ids)), ids...)
			// What the sockets hold comes on top of what the instance reads.
			if limit := int64(16 << 20); longest.Load() > limit {
				t.Errorf("the instance took %d bytes of one output, want at most %d", longest.Load(), limit)
			}
		})
	}
}
