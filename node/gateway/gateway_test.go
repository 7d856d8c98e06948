package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

func safe() serving.Route {
	return serving.Route{Kind: serving.Safe, MaxAttempts: 2, Timeout: 5 * time.Second}
}

// Guards against a request that may have run being repeated, or refused as not run.
func TestUnsafeRunsOnce(t *testing.T) {
	f := newFleet(t, 3, serving.Route{Kind: serving.Unsafe, MaxAttempts: 3, Timeout: 5 * time.Second}, func(c net.Conn, _ *http.Request, _ int) {})
	answer, _, err := f.send(t)
	if err != nil {
		t.Fatal(err)
	}
	if answer.StatusCode != http.StatusBadGateway || f.count() != 1 {
		t.Fatalf("status %d after %d sends", answer.StatusCode, f.count())
	}
}

// Guards against a request that no server ran being lost: a server's statement that
// it did not run a request sends even an unsafe one on.
func TestNotRunGoesToAnotherServer(t *testing.T) {
	f := newFleet(t, 3, serving.Route{Kind: serving.Unsafe, MaxAttempts: 1, Timeout: 5 * time.Second}, func(c net.Conn, _ *http.Request, n int) {
		if n < 2 {
			fmt.Fprint(c, whole(http.StatusServiceUnavailable, "full", "Refused", "1"))
			return
		}
		fmt.Fprint(c, whole(http.StatusOK, "done", "Signature", "s"))
	})
	answer, body, err := f.send(t)
	if err != nil || answer.StatusCode != http.StatusOK || body != "done" {
		t.Fatalf("%v %q %v", answer, body, err)
	}
}

// Guards against a refusal without the promise that the request has not run, when
// all servers refused it.
func TestAllServersRefuse(t *testing.T) {
	f := newFleet(t, 2, serving.Route{Kind: serving.Unsafe, MaxAttempts: 1, Timeout: 5 * time.Second}, func(c net.Conn, _ *http.Request, _ int) {
		fmt.Fprint(c, whole(http.StatusServiceUnavailable, "full", "Refused", "1"))
	})
	answer, _, err := f.send(t)
	if err != nil || answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Come-Back") == "" {
		t.Fatalf("%v %v", answer, err)
	}
}

// Guards against a success that is truncated, unsigned or of a failed server reaching
// the caller of a safe request while another server can answer.
func TestSafeIsRepeated(t *testing.T) {
	first := map[string]string{
		"truncated": "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 100\r\n\r\nshort",
		"unsigned":  whole(http.StatusOK, "not the server's"),
		"failed":    whole(http.StatusInternalServerError, "oops", "Signature", "s"),
		"silent":    "",
	}
	for name, bad := range first {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3, safe(), func(c net.Conn, _ *http.Request, n int) {
				if n == 0 {
					fmt.Fprint(c, bad)
					return
				}
				fmt.Fprint(c, whole(http.StatusOK, "done", "Signature", "s2"))
			})
			answer, body, err := f.send(t)
			if err != nil || answer.StatusCode != http.StatusOK || body != "done" || answer.Header.Get("Signature") != "s2" {
				t.Fatalf("%v %q %v", answer, body, err)
			}
		})
	}
}

// Guards against more runs than the route allows, and against a server's failure
// being replaced by one of the system's own.
func TestMaxAttempts(t *testing.T) {
	f := newFleet(t, 4, safe(), func(c net.Conn, _ *http.Request, _ int) {
		fmt.Fprint(c, whole(http.StatusInternalServerError, "oops", "Signature", "s"))
	})
	answer, body, err := f.send(t)
	if err != nil || answer.StatusCode != http.StatusInternalServerError || body != "oops" || f.count() != 2 {
		t.Fatalf("%v %q %v after %d runs", answer, body, err, f.count())
	}
}

func stream(resumable bool) serving.Route {
	return serving.Route{Kind: serving.Stream, Resumable: resumable, MaxAttempts: 2, Timeout: 5 * time.Second, LatencyObjective: time.Second, GapObjective: time.Second}
}

// torn sends events up to n and half of the next one, and breaks off.
func torn(c net.Conn, n int) {
	fmt.Fprintf(c, streamHead, "first")
	for id := 1; id <= n; id++ {
		fmt.Fprint(c, chunk(event(id)))
	}
	next := event(n + 1)
	fmt.Fprint(c, chunk(next[:len(next)/2]))
}

// Guards against a gap, a doubled event or half an event where a stream goes on at
// another server, and against a second head within one answer.
func TestStreamResumesWithinOneAnswer(t *testing.T) {
	f := newFleet(t, 3, stream(true), func(c net.Conn, r *http.Request, n int) {
		if n == 0 {
			torn(c, 3)
			return
		}
		if r.Header.Get("After") != "3" {
			fmt.Fprint(c, whole(http.StatusBadRequest, "resumed after "+r.Header.Get("After")))
			return
		}
		fmt.Fprintf(c, streamHead, "second")
		fmt.Fprint(c, chunk(event(4)), chunk(event(5)), endOfStream)
	})
	answer, body, err := f.send(t)
	want := event(1) + event(2) + event(3) + event(4) + event(5)
	if err != nil || body != want || answer.Header.Get("Signature") != "first" {
		t.Fatalf("%v %q %v", answer, body, err)
	}
}

// Guards against a broken stream that cannot go on looking complete to its caller.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	f := newFleet(t, 3, stream(false), func(c net.Conn, _ *http.Request, _ int) { torn(c, 2) })
	_, body, err := f.send(t)
	if err == nil || body != event(1)+event(2) || f.count() != 1 {
		t.Fatalf("%q %v after %d sends", body, err, f.count())
	}
}

// Guards against events of a run that does not follow on being joined to a stream.
func TestResumedStreamMustFollowOn(t *testing.T) {
	f := newFleet(t, 3, stream(true), func(c net.Conn, _ *http.Request, n int) {
		if n == 0 {
			torn(c, 2)
			return
		}
		fmt.Fprintf(c, streamHead, "second")
		fmt.Fprint(c, chunk(event(1)), chunk(event(2)), endOfStream)
	})
	if _, body, err := f.send(t); err == nil || body != event(1)+event(2) {
		t.Fatalf("%q %v", body, err)
	}
}

// Guards against events being held back until the stream ends.
func TestEventsArePassedOnAsTheyArrive(t *testing.T) {
	second := make(chan struct{})
	f := newFleet(t, 1, stream(false), func(c net.Conn, _ *http.Request, _ int) {
		fmt.Fprintf(c, streamHead, "s")
		fmt.Fprint(c, chunk(event(1)))
		<-second
		fmt.Fprint(c, chunk(event(2)), endOfStream)
	})
	r, _ := http.NewRequest(http.MethodPost, f.url+"/p/x", nil)
	r.Host = testHost
	answer, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	one := make([]byte, len(event(1)))
	if _, err := io.ReadFull(answer.Body, one); err != nil || string(one) != event(1) {
		t.Fatalf("%q %v", one, err)
	}
	close(second)
	if rest, err := io.ReadAll(answer.Body); err != nil || string(rest) != event(2) {
		t.Fatalf("%q %v", rest, err)
	}
}

// Guards against a server that works on after the caller has left.
func TestCallerLeavesAndTheServerIsCancelled(t *testing.T) {
	started, closed := make(chan struct{}), make(chan struct{})
	f := newFleet(t, 1, safe(), func(c net.Conn, _ *http.Request, _ int) {
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
		t.Fatal("an answer without a server's")
	}
	<-closed
	if f.count() != 1 {
		t.Fatalf("%d sends for a caller that left", f.count())
	}
}

// Guards against a request being held past its route's timeout, and against the
// statement that it has not run once a server had it.
func TestTimeoutGivesAFinalAnswer(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	route := serving.Route{Kind: serving.Unsafe, MaxAttempts: 1, Timeout: 60 * time.Millisecond}
	f := newFleet(t, 1, route, func(net.Conn, *http.Request, int) { <-hold })
	answer, _, err := f.send(t, "Patience", "60000")
	if err != nil || answer.StatusCode != http.StatusGatewayTimeout {
		t.Fatalf("%v %v", answer, err)
	}
}

// Guards against headers of one connection, and against changes of the path and the
// query, on the way to the server and back.
func TestHeadersAndTargetPassUnchanged(t *testing.T) {
	f := newFleet(t, 1, safe(), func(c net.Conn, r *http.Request, _ int) {
		fmt.Fprint(c, whole(http.StatusOK, r.RequestURI+" "+r.Host+" "+r.Header.Get("Other")+r.Header.Get("Hop")+r.Header.Get("Expect-Server"),
			"Signature", "s", "Keep-Alive", "timeout=5", "Extra", "kept"))
	})
	answer, body, err := f.send(t, "Other", "o", "Hop", "h", "Connection", "Hop")
	if err != nil || body != "/p/x?q=1 "+testHost+" os0" || answer.Header.Get("Extra") != "kept" || answer.Header.Get("Keep-Alive") != "" {
		t.Fatalf("%v %q %v", answer, body, err)
	}
}

// Guards against 404 for a route that the configuration may have: an instance that
// knows none answers 503, and only one that does answers 404.
func TestUnknownRoutes(t *testing.T) {
	f := newFleet(t, 1, safe(), func(net.Conn, *http.Request, int) {})
	r, _ := http.NewRequest(http.MethodGet, f.url+"/other/", nil)
	r.Host = testHost
	answer, err := http.DefaultTransport.RoundTrip(r)
	if err != nil || answer.StatusCode != http.StatusNotFound {
		t.Fatalf("%v %v", answer, err)
	}
	answer.Body.Close()
}

// Guards against an event being taken apart, or two being joined, whatever the pieces
// in which the bytes arrive; and against half an event at the end.
func TestEventsAreWhole(t *testing.T) {
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

// pieces reads a text in pieces of one size.
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

// Guards against a server being avoided because a request was longer than its limit.
func TestServersTimeoutAtTheLimitIsNoFault(t *testing.T) {
	route := serving.Route{Kind: serving.Unsafe, MaxAttempts: 1, Timeout: 50 * time.Millisecond}
	f := newFleet(t, 1, route, func(c net.Conn, _ *http.Request, _ int) {
		time.Sleep(40 * time.Millisecond) // the server works until the deadline that it was given
		fmt.Fprint(c, whole(http.StatusGatewayTimeout, "late", "Signature", "s"))
	})
	if answer, _, err := f.send(t); err != nil || answer.StatusCode != http.StatusGatewayTimeout {
		t.Fatalf("%v %v", answer, err)
	}
	if own := f.view.Own(); own["s0"].Failed != 0 {
		t.Fatalf("the server's failures: %+v", own["s0"])
	}
}

// Guards against a request that crashes the servers that run it reaching a fourth one,
// when its caller sends it again under other ids.
func TestCrashingRequestReachesThreeServers(t *testing.T) {
	f := newFleet(t, 6, safe(), func(net.Conn, *http.Request, int) {})
	last := 0
	for i := range 4 {
		answer, _, err := f.send(t, "Id", fmt.Sprint("id-", i))
		if err != nil {
			t.Fatal(err)
		}
		last = answer.StatusCode
	}
	// The third crash falls into the second request, whose last run is the fourth.
	if n := f.count(); n > 4 || last != http.StatusServiceUnavailable {
		t.Fatalf("%d servers reached, last status %d", n, last)
	}
}

// Guards against callers being refused by instances that will know the configuration
// a moment later: after the loss of all instances each of them has callers waiting
// (grown Swanline, trouble-3: 295 refusals within 0.2 s of the starts).
func TestRequestWaitsForAnInstanceThatHasJustStarted(t *testing.T) {
	f := newFleet(t, 1, safe(), func(c net.Conn, _ *http.Request, _ int) {
		fmt.Fprint(c, whole(http.StatusOK, "done", "Signature", "s"))
	})
	known := f.view
	f.gateway.View = fleet.NewView(rand.New(rand.NewPCG(1, 2)))
	f.gateway.Placer = localPlacer{f.gateway.View}
	done := make(chan string, 1)
	go func() {
		answer, body, err := f.send(t, "Patience", "60000")
		done <- fmt.Sprint(answer.StatusCode, body, err)
	}()
	f.gateway.View.ApplyServers(f.entries, true)
	f.gateway.View.ApplyConfig([]port.Entry[serving.Revision]{{Key: "c", Value: known.Revision()}}, true)
	if got := <-done; got != "200done<nil>" {
		t.Fatal(got)
	}
	f.gateway.View = fleet.NewView(rand.New(rand.NewPCG(1, 2)))
	if answer, _, err := f.send(t, "Patience", "100"); err != nil || answer.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("%v %v", answer, err)
	}
}
