package jobs_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against the text, the head or the end of a server's answer in the middle of an item's text that
// another server has begun, and against a text that looks complete because of it.
func TestForeignAnswerToAnItemThatGoesOn(t *testing.T) {
	response := func(status int, contentType, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nId: %%s\r\nSignature: s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", status, contentType, len(body), body)
	}
	for name, answer := range map[string]string{
		"error like events":     response(http.StatusServiceUnavailable, "text/event-stream", "id: 3\ndata: x\n\n"),
		"another success":       response(http.StatusAccepted, "text/event-stream", "id: 3\ndata: x\n\n"),
		"text":                  response(http.StatusOK, "text/plain", "failed"),
		"text with blank lines": response(http.StatusOK, "text/plain", "data: failed\n\nsee the log\n\n"),
		"empty text":            response(http.StatusOK, "text/plain", ""),
		"JSON":                  response(http.StatusOK, "application/json", "{\n\n\"error\": \"failed\"\n\n}\n\n"),
		"events without ids":    response(http.StatusOK, "text/event-stream", "data: failed\n\ndata: see the log\n\n"),
		"a head":                response(http.StatusOK, "text/event-stream", "HTTP/1.1 500 X\r\nContent-Length: 6\r\n\r\nfailed\n\n"),
		"cut in its head":       "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: 0\r\n",
		"cut in a chunk":        "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nid: 3\nda",
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			c.server.respond = func(conn net.Conn, r *http.Request, run int) bool {
				id := r.Header.Get("Id")
				switch run {
				case 0:
					writeHead(conn, id)
					writeEvent(conn, id, 1)
					writeEvent(conn, id, 2)
				case 1:
					fmt.Fprint(conn, strings.Replace(answer, "%s", id, 1))
				default:
					return false
				}
				return true
			}
			i := c.start("a", 1)
			submitJob(t, i, "job", "a")
			checkResults(t, i.awaitResults("job", 1), "a")
		})
	}
}
