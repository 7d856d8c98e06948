package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

func safeRoute() serving.Route {
	return serving.Route{Kind: serving.Safe, MaxAttempts: 2, Timeout: 5 * time.Second}
}

// Guards against an unsafe request that may have run being retried, or rejected as not
// run.
func TestUnsafeRequestRunsOnce(t *testing.T) {
	f := newFleet(t, 3, serving.Route{Kind: serving.Unsafe, MaxAttempts: 3, Timeout: 5 * time.Second}, func(c net.Conn, _ *http.Request, _ int) {})
	response, _, err := f.send(t)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusBadGateway || f.count() != 1 {
		t.Fatalf("status %d after %d sends", response.StatusCode, f.count())
	}
}

// Guards against a request that no server ran being given up: when a server states that
// it did not run a request, even an unsafe one is sent to another server.
func TestNotRunGoesToAnotherServer(t *testing.T) {
	f := newFleet(t, 3, serving.Route{Kind: serving.Unsafe, MaxAttempts: 1, Timeout: 5 * time.Second}, func(c net.Conn, _ *http.Request, n int) {
		if n < 2 {
			fmt.Fprint(c, fullResponse(http.StatusServiceUnavailable, "full", "Refused", "1"))
			return
		}
		fmt.Fprint(c, fullResponse(http.StatusOK, "done", "Signature", "s"))
	})
	response, body, err := f.send(t)
	if err != nil || response.StatusCode != http.StatusOK || body != "done" {
		t.Fatalf("%v %q %v", response, body, err)
	}
}

// Guards against a response that does not state that the request has not run, when all
// servers refused it.
func TestAllServersRefuse(t *testing.T) {
	f := newFleet(t, 2, serving.Route{Kind: serving.Unsafe, MaxAttempts: 1, Timeout: 5 * time.Second}, func(c net.Conn, _ *http.Request, _ int) {
		fmt.Fprint(c, fullResponse(http.StatusServiceUnavailable, "full", "Refused", "1"))
	})
	response, _, err := f.send(t)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Come-Back") == "" {
		t.Fatalf("%v %v", response, err)
	}
}

// Guards against a response that is truncated, unsigned, missing or an error of the
// server reaching the caller of a safe request while another server can respond.
func TestSafeRequestIsRetried(t *testing.T) {
	first := map[string]string{
		"truncated": "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 100\r\n\r\nshort",
		"unsigned":  fullResponse(http.StatusOK, "not the server's"),
		"failed":    fullResponse(http.StatusInternalServerError, "oops", "Signature", "s"),
		"silent":    "",
	}
	for name, bad := range first {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3, safeRoute(), func(c net.Conn, _ *http.Request, n int) {
				if n == 0 {
					fmt.Fprint(c, bad)
					return
				}
				fmt.Fprint(c, fullResponse(http.StatusOK, "done", "Signature", "s2"))
			})
			response, body, err := f.send(t)
			if err != nil || response.StatusCode != http.StatusOK || body != "done" || response.Header.Get("Signature") != "s2" {
				t.Fatalf("%v %q %v", response, body, err)
			}
		})
	}
}

// Guards against more runs than the route allows, and against a server's error response
// being replaced by one of the gateway.
func TestMaxAttempts(t *testing.T) {
	f := newFleet(t, 4, safeRoute(), func(c net.Conn, _ *http.Request, _ int) {
		fmt.Fprint(c, fullResponse(http.StatusInternalServerError, "oops", "Signature", "s"))
	})
	response, body, err := f.send(t)
	if err != nil || response.StatusCode != http.StatusInternalServerError || body != "oops" || f.count() != 2 {
		t.Fatalf("%v %q %v after %d runs", response, body, err, f.count())
	}
}

func streamRoute(resumable bool) serving.Route {
	return serving.Route{Kind: serving.Stream, Resumable: resumable, MaxAttempts: 2, Timeout: 5 * time.Second, LatencyObjective: time.Second, GapObjective: time.Second}
}

// sendTruncatedStream sends events up to n and half of the next one, and returns.
func sendTruncatedStream(c net.Conn, n int) {
	fmt.Fprintf(c, streamHead, "first")
	for id := 1; id <= n; id++ {
		fmt.Fprint(c, chunk(event(id)))
	}
	next := event(n + 1)
	fmt.Fprint(c, chunk(next[:len(next)/2]))
}

// Guards against a missing, repeated or incomplete event where a stream is continued on
// another server, and against a second header within one response.
func TestStreamResumesWithinOneResponse(t *testing.T) {
	f := newFleet(t, 3, streamRoute(true), func(c net.Conn, r *http.Request, n int) {
		if n == 0 {
			sendTruncatedStream(c, 3)
			return
		}
		if r.Header.Get("After") != "3" {
			fmt.Fprint(c, fullResponse(http.StatusBadRequest, "resumed after "+r.Header.Get("After")))
			return
		}
		fmt.Fprintf(c, streamHead, "second")
		fmt.Fprint(c, chunk(event(4)), chunk(event(5)), endOfStream)
	})
	response, body, err := f.send(t)
	want := event(1) + event(2) + event(3) + event(4) + event(5)
	if err != nil || body != want || response.Header.Get("Signature") != "first" {
		t.Fatalf("%v %q %v", response, body, err)
	}
}

// Guards against a stream that has begun being broken off because the other servers are full for
// a moment, though its caller has time left.
func TestBegunStreamOutlastsRefusals(t *testing.T) {
	const refusals = 12
	f := newFleet(t, 3, streamRoute(true), func(c net.Conn, r *http.Request, n int) {
		switch {
		case n == 0:
			sendTruncatedStream(c, 3)
		case n <= refusals:
			fmt.Fprint(c, fullResponse(http.StatusServiceUnavailable, "full", "Refused", "1"))
		default:
			fmt.Fprintf(c, streamHead, "second")
			fmt.Fprint(c, chunk(event(4)), endOfStream)
		}
	})
	if _, body, err := f.send(t); err != nil || body != event(1)+event(2)+event(3)+event(4) {
		t.Fatalf("%q %v after %d sends", body, err, f.count())
	}
}

// Guards against a begun stream that asks all servers of a large service as fast as they refuse.
func TestBegunStreamAsksManyServersSlowly(t *testing.T) {
	const patience = 1200 * time.Millisecond
	f := newFleet(t, 60, streamRoute(true), func(c net.Conn, _ *http.Request, n int) {
		if n == 0 {
			sendTruncatedStream(c, 3)
			return
		}
		fmt.Fprint(c, fullResponse(http.StatusServiceUnavailable, "full", "Refused", "1"))
	})
	_, _, err := f.send(t, "Patience", fmt.Sprint(patience.Milliseconds()))
	if most := maxServersTried + int(patience/begunRetryDelay); err == nil || f.count() > most {
		t.Errorf("%d sends, want at most %d; error %v", f.count(), most, err)
	}
}

// Guards against a stream that is broken off since its sound server was silent for a moment and no other
// server has room.
func TestBegunStreamReturnsToItsSilentServer(t *testing.T) {
	var first atomic.Value
	route := streamRoute(true)
	route.GapObjective = 50 * time.Millisecond
	f := newFleet(t, 2, route, func(c net.Conn, r *http.Request, n int) {
		server := r.Header.Get("Expect-Server")
		switch {
		case n == 0:
			first.Store(server)
			fmt.Fprintf(c, streamHead, "first")
			fmt.Fprint(c, chunk(event(1)))
			time.Sleep(2 * minGapTimeout)
			fmt.Fprint(c, chunk(event(2)), endOfStream)
		case server != first.Load():
			fmt.Fprint(c, fullResponse(http.StatusServiceUnavailable, "full", "Refused", "1"))
		default:
			fmt.Fprintf(c, streamHead, "second")
			fmt.Fprint(c, chunk(event(2)), endOfStream)
		}
	})
	if _, body, err := f.send(t, "Patience", "3000"); err != nil || body != event(1)+event(2) {
		t.Fatalf("%q %v after %d sends", body, err, f.count())
	}
}

// Guards against a broken stream that cannot be continued looking complete to its caller.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	f := newFleet(t, 3, streamRoute(false), func(c net.Conn, _ *http.Request, _ int) { sendTruncatedStream(c, 2) })
	_, body, err := f.send(t)
	if err == nil || body != event(1)+event(2) || f.count() != 1 {
		t.Fatalf("%q %v after %d sends", body, err, f.count())
	}
}

// Guards against events of a second run that does not continue after the last event being
// appended to a stream.
func TestResumedStreamMustContinueAfterTheLastEvent(t *testing.T) {
	f := newFleet(t, 3, streamRoute(true), func(c net.Conn, _ *http.Request, n int) {
		if n == 0 {
			sendTruncatedStream(c, 2)
			return
		}
		fmt.Fprintf(c, streamHead, "second")
		fmt.Fprint(c, chunk(event(1)), chunk(event(2)), endOfStream)
	})
	if _, body, err := f.send(t); err == nil || body != event(1)+event(2) {
		t.Fatalf("%q %v", body, err)
	}
}

// Guards against events being buffered until the stream ends.
func TestEventsAreForwardedAsTheyArrive(t *testing.T) {
	second := make(chan struct{})
	f := newFleet(t, 1, streamRoute(false), func(c net.Conn, _ *http.Request, _ int) {
		fmt.Fprintf(c, streamHead, "s")
		fmt.Fprint(c, chunk(event(1)))
		<-second
		fmt.Fprint(c, chunk(event(2)), endOfStream)
	})
	r, _ := http.NewRequest(http.MethodPost, f.url+"/p/x", nil)
	r.Host = testHost
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	first := make([]byte, len(event(1)))
	if _, err := io.ReadFull(response.Body, first); err != nil || string(first) != event(1) {
		t.Fatalf("%q %v", first, err)
	}
	close(second)
	if rest, err := io.ReadAll(response.Body); err != nil || string(rest) != event(2) {
		t.Fatalf("%q %v", rest, err)
	}
}

// Guards against a server that continues to run a request whose caller has disconnected.
func TestRequestIsCancelledWhenTheCallerDisconnects(t *testing.T) {
	started, closed := make(chan struct{}), make(chan struct{})
	f := newFleet(t, 1, safeRoute(), func(c net.Conn, _ *http.Request, _ int) {
		close(started)
		var b [1]byte
		_, _ = c.Read(b[:])
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/p/x", nil)
	r.Host = testHost
	go func() { <-started; cancel() }()
	if _, err := http.DefaultTransport.RoundTrip(r); err == nil {
		t.Fatal("got a response although the server sent none")
	}
	<-closed
	if f.count() != 1 {
		t.Fatalf("%d sends after the caller disconnected", f.count())
	}
}

// Guards against a request that is kept waiting beyond its route's timeout, and against
// the statement that it has not run after a server has received it.
func TestTimeoutReturnsAFinalResponse(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	route := serving.Route{Kind: serving.Unsafe, MaxAttempts: 1, Timeout: 60 * time.Millisecond}
	f := newFleet(t, 1, route, func(net.Conn, *http.Request, int) { <-hold })
	response, _, err := f.send(t, "Patience", "60000")
	if err != nil || response.StatusCode != http.StatusGatewayTimeout {
		t.Fatalf("%v %v", response, err)
	}
}

// Guards against hop-by-hop headers being forwarded in either direction, and against
// changes of the path, the query and the other headers.
func TestHeadersAndTargetPassUnchanged(t *testing.T) {
	f := newFleet(t, 1, safeRoute(), func(c net.Conn, r *http.Request, _ int) {
		fmt.Fprint(c, fullResponse(http.StatusOK, r.RequestURI+" "+r.Host+" "+r.Header.Get("Other")+r.Header.Get("Hop")+r.Header.Get("Expect-Server"),
			"Signature", "s", "Keep-Alive", "timeout=5", "Extra", "kept"))
	})
	response, body, err := f.send(t, "Other", "o", "Hop", "h", "Connection", "Hop")
	if err != nil || body != "/p/x?q=1 "+testHost+" os0" || response.Header.Get("Extra") != "kept" || response.Header.Get("Keep-Alive") != "" {
		t.Fatalf("%v %q %v", response, body, err)
	}
}

// Guards against another status than 404 for a request that matches no route of a known
// configuration. Only an instance without a configuration responds with 503, because the
// route may exist.
func TestUnknownRoutes(t *testing.T) {
	f := newFleet(t, 1, safeRoute(), func(net.Conn, *http.Request, int) {})
	r, _ := http.NewRequest(http.MethodGet, f.url+"/other/", nil)
	r.Host = testHost
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil || response.StatusCode != http.StatusNotFound {
		t.Fatalf("%v %v", response, err)
	}
	response.Body.Close()
}

// Guards against an event being split, or two being joined, depending on how the bytes
// are divided among reads, and against an incomplete event at the end.
func TestEventsAreSplitAtBlankLines(t *testing.T) {
	text := event(1) + "data: a\ndata: b\nid: 2\n\n" + "id: 3\r\ndata: c\r\n\r\n" + "id: 4\ndata: ha"
	for size := 1; size <= len(text); size++ {
		events := NewEventReader(&pieces{text, size})
		var got []string
		for {
			e, err := events.Next()
			if err != nil {
				if err != io.ErrUnexpectedEOF {
					t.Fatalf("size %d: %v", size, err)
				}
				break
			}
			got = append(got, fmt.Sprintf("%d=%s", e.ID, e.Data()))
		}
		if s := strings.Join(got, " "); s != "1=e1 2=a\nb 3=c" {
			t.Fatalf("size %d: %q", size, s)
		}
	}
}

// pieces is a reader that returns a text in pieces of one size.
type pieces struct {
	rest string
	size int
}

func (p *pieces) Read(b []byte) (int, error) {
	if p.rest == "" {
		return 0, io.EOF
	}
	n := copy(b, p.rest[:min(p.size, len(p.rest))])
	p.rest = p.rest[n:]
	return n, nil
}

// Guards against a server being avoided because a request took longer than its deadline.
func TestServerTimeoutAtTheDeadlineIsNotAFailure(t *testing.T) {
	route := serving.Route{Kind: serving.Unsafe, MaxAttempts: 1, Timeout: 50 * time.Millisecond}
	f := newFleet(t, 1, route, func(c net.Conn, _ *http.Request, _ int) {
		time.Sleep(40 * time.Millisecond) // the server runs the request until its deadline
		fmt.Fprint(c, fullResponse(http.StatusGatewayTimeout, "late", "Signature", "s"))
	})
	if response, _, err := f.send(t); err != nil || response.StatusCode != http.StatusGatewayTimeout {
		t.Fatalf("%v %v", response, err)
	}
	if own := f.view.OwnLoad(); own["s0"].Failed != 0 {
		t.Fatalf("the server's failures: %+v", own["s0"])
	}
}

// Guards against a request that crashes the servers that run it being sent to a fourth
// server when its caller sends it again with other ids.
func TestCrashingRequestReachesThreeServers(t *testing.T) {
	f := newFleet(t, 6, safeRoute(), func(net.Conn, *http.Request, int) {})
	last := 0
	for i := range 4 {
		response, _, err := f.send(t, "Id", fmt.Sprint("id-", i))
		if err != nil {
			t.Fatal(err)
		}
		last = response.StatusCode
	}
	// The third crash occurs during the second request, whose last run is the fourth.
	if n := f.count(); n > 4 || last != http.StatusServiceUnavailable {
		t.Fatalf("%d servers reached, last status %d", n, last)
	}
}

// Guards against callers being rejected by an instance that is about to become ready.
// When all instances are restarted, callers are waiting already, which without the wait
// gave 295 rejections within 0.2 s of the starts.
func TestRequestWaitsForAnInstanceThatHasJustStarted(t *testing.T) {
	f := newFleet(t, 1, safeRoute(), func(c net.Conn, _ *http.Request, _ int) {
		fmt.Fprint(c, fullResponse(http.StatusOK, "done", "Signature", "s"))
	})
	known := f.view
	f.gateway.View = fleet.NewView(rand.New(rand.NewPCG(1, 2)))
	f.gateway.Placer = localPlacer{f.gateway.View}
	done := make(chan string, 1)
	go func() {
		response, body, err := f.send(t, "Patience", "60000")
		done <- fmt.Sprint(response.StatusCode, body, err)
	}()
	f.gateway.View.ApplyServers(f.entries, true)
	f.gateway.View.ApplyConfig([]port.Entry[serving.Revision]{{Key: "c", Value: known.Revision()}}, true)
	if got := <-done; got != "200done<nil>" {
		t.Fatal(got)
	}
	f.gateway.View = fleet.NewView(rand.New(rand.NewPCG(1, 2)))
	if response, _, err := f.send(t, "Patience", "100"); err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("%v %v", response, err)
	}
}
