package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// whole returns a complete response with a signature.
func whole(status int, contentType, body string) string {
	return fullResponse(status, body, "Signature", "s2", "Content-Type", contentType)
}

// foreignAnswers are answers to a stream that goes on at another server, of which nothing belongs to it.
var foreignAnswers = map[string]string{
	"error":                       whole(http.StatusInternalServerError, "text/plain", "failed"),
	"error like events":           whole(http.StatusInternalServerError, "text/event-stream", event(4)+event(5)),
	"error without length":        "HTTP/1.1 500 X\r\nId: id-1\r\nSignature: s2\r\n\r\n" + event(4),
	"long error":                  whole(http.StatusInternalServerError, "text/event-stream", event(4)+strings.Repeat("x", maxBufferedResponseBytes)),
	"not found":                   whole(http.StatusNotFound, "application/json", "{\"error\":\"none\"}\n\n"),
	"another success":             whole(http.StatusAccepted, "text/event-stream", event(4)),
	"partial content":             whole(http.StatusPartialContent, "text/event-stream", event(4)),
	"no content":                  "HTTP/1.1 204 X\r\nId: id-1\r\nSignature: s2\r\n\r\n",
	"text":                        whole(http.StatusOK, "text/plain", "the model has failed"),
	"text with blank lines":       whole(http.StatusOK, "text/plain", "the model has failed\n\nsee the log\n\n"),
	"text that looks like events": whole(http.StatusOK, "text/plain", event(4)),
	"JSON with blank lines":       whole(http.StatusOK, "application/json", "{\n\n\"error\": \"the model has failed\"\n\n}\n\n"),
	"text without a type":         fullResponse(http.StatusOK, "the model has failed\n\n", "Signature", "s2"),
	"events without ids":          whole(http.StatusOK, "text/event-stream", "data: the model has failed\n\ndata: see the log\n\n"),
	"error event":                 whole(http.StatusOK, "text/event-stream", "event: error\ndata: the model has failed\n\n"),
	"head in an event stream":     whole(http.StatusOK, "text/event-stream", "HTTP/1.1 500 X\r\nContent-Length: 6\r\n\r\nfailed\n\n"),
	"unsigned":                    fullResponse(http.StatusOK, event(4), "Content-Type", "text/event-stream"),
}

// Guards against the text, the head or the end of a server's answer in the middle of a stream that another
// server has begun, and against a stream that looks complete because of it.
func TestForeignAnswerToAStreamThatGoesOn(t *testing.T) {
	for name, answer := range foreignAnswers {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3, streamRoute(true), func(c net.Conn, _ *http.Request, n int) {
				if n == 0 {
					sendTruncatedStream(c, 3)
					return
				}
				fmt.Fprint(c, answer)
			})
			response, body, err := f.send(t)
			if want := event(1) + event(2) + event(3); response == nil || err == nil || body != want {
				t.Errorf("body %q, error %v; want %q and an end that is not complete", body, err, want)
			}
		})
	}
}

// Guards against a stream whose events have no IDs, and that begins again at another server after it broke.
func TestStreamWithoutIDsDoesNotGoOn(t *testing.T) {
	f := newFleet(t, 3, streamRoute(true), func(c net.Conn, _ *http.Request, n int) {
		if n == 0 {
			fmt.Fprintf(c, streamHead, "first")
			fmt.Fprint(c, chunk("data: e1\n\n"))
			return
		}
		fmt.Fprintf(c, streamHead, "second")
		fmt.Fprint(c, chunk(event(1)), chunk(event(2)), endOfStream)
	})
	if _, body, err := f.send(t); err == nil || body != "data: e1\n\n" {
		t.Errorf("body %q, error %v", body, err)
	}
}

// Guards against foreign text in the answer to a stream that the caller itself takes up.
func TestForeignAnswerToAStreamThatIsTakenUp(t *testing.T) {
	for name, answer := range foreignAnswers {
		if !strings.HasPrefix(answer, "HTTP/1.1 200") {
			continue // errors are passed on whole, with their status
		}
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3, streamRoute(true), func(c net.Conn, _ *http.Request, _ int) { fmt.Fprint(c, answer) })
			response, body, err := f.send(t, "After", "3", "Resumes", "id-0")
			if err == nil && response.StatusCode == http.StatusOK {
				t.Errorf("a success with body %q", body)
			}
		})
	}
}

// brokenAnswers are answers that end before they are whole, or that hold more than one.
func brokenAnswers() map[string]string {
	const body = "the whole answer"
	head := "HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\n"
	sized := head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body[:5]) + chunk(body[5:]) + "0\r\nX-Trailer: a\r\n\r\n"
	interim := "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + sized
	answers := map[string]string{
		"length too large":       head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)+1) + body,
		"two lengths":            head + "Content-Length: 3\r\nContent-Length: 5\r\n\r\n" + body,
		"negative length":        head + "Content-Length: -1\r\n\r\n" + body,
		"length not a number":    head + "Content-Length: 5x\r\n\r\n" + body,
		"chunk too large":        head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n" + body,
		"chunk without end":      head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcdef\r\n0\r\n\r\n",
		"head within a head":     head + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + body,
		"only interim responses": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n",
	}
	for name, answer := range map[string]string{"with length": sized, "chunked": chunked, "after an interim head": interim} {
		for n := range len(answer) {
			answers[fmt.Sprintf("%s, cut after %d bytes", name, n)] = answer[:n]
		}
	}
	return answers
}

// Guards against an answer that is cut in its head, its framing or its trailers, and reaches the caller as a
// success with an empty or short body that looks whole.
func TestBrokenAnswerIsNoSuccess(t *testing.T) {
	for name, answer := range brokenAnswers() {
		f := newFleet(t, 1, safeRoute(), func(c net.Conn, _ *http.Request, _ int) { fmt.Fprint(c, answer) })
		response, body, err := f.send(t)
		if err == nil && response.StatusCode < http.StatusMultipleChoices {
			t.Errorf("%s: status %d, body %q", name, response.StatusCode, body)
		}
	}
}

// Guards against the same for streams: the head of the caller's answer must not be written before there is an event.
func TestBrokenStreamHeadIsNoSuccess(t *testing.T) {
	answer := fmt.Sprintf(streamHead, "s") + chunk(event(1)) + chunk(event(2)) + endOfStream
	for n := range len(answer) {
		f := newFleet(t, 1, streamRoute(false), func(c net.Conn, _ *http.Request, _ int) { fmt.Fprint(c, answer[:n]) })
		response, body, err := f.send(t)
		begun := err != nil && response != nil && strings.HasPrefix(event(1)+event(2), body)
		refused := err == nil && response.StatusCode >= http.StatusBadGateway
		if !begun && !refused {
			t.Errorf("cut after %d bytes: %v, body %q, error %v", n, response, body, err)
		}
	}
}
