package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/node/internal/guard"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
	"github.com/jacinthnotch/jacinthnotch/standin/faulty"
)

// The tests of this file look for faults that operators of similar systems met. See
// docs/incidents/operators-lessons.md.

// newFaultyFleet starts servers that answer in the given ways and a gateway before them.
func newFaultyFleet(t *testing.T, route serving.Route, servers ...faulty.Options) *fakeFleet {
	t.Helper()
	f := &fakeFleet{}
	var addresses []string
	for _, o := range servers {
		o.IDHeader, o.Header = "Id", "Signature: s\r\n"
		if o.Interval == 0 {
			o.Interval = 20 * time.Millisecond
		}
		s := faulty.New(o)
		if err := s.Start("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Kill)
		addresses = append(addresses, s.Addr())
		f.faulty = append(f.faulty, s)
	}
	f.start(t, addresses, route)
	return f
}

// runs returns how often the faulty servers ran a request.
func (f *fakeFleet) runs(id string) int {
	n := 0
	for _, s := range f.faulty {
		n += s.Runs(id)
	}
	return n
}

var endlessAnswers = []faulty.Answer{
	faulty.EndlessLine, faulty.EndlessHeaders, faulty.EndlessInterim, faulty.EndlessChunks, faulty.ChunkExtension,
	faulty.EndlessTrailers, faulty.EndlessEvent, faulty.BeyondLength, faulty.SlowBytes,
}

// Guards against a request whose server sends bytes without end: it must get a whole answer
// from another server, or a failure, and never what looks like a success and is none.
func TestBytesWithoutEnd(t *testing.T) {
	for _, kind := range []serving.Kind{serving.Safe, serving.Stream} {
		route := serving.Route{Kind: kind, Resumable: true, MaxAttempts: 2, Timeout: 5 * time.Second, LatencyObjective: 300 * time.Millisecond, GapObjective: 50 * time.Millisecond}
		for _, answer := range endlessAnswers {
			t.Run(kind.String()+"/"+string(answer), func(t *testing.T) {
				f := newFaultyFleet(t, route, faulty.Options{Answer: answer, Stream: kind == serving.Stream}, faulty.Options{Stream: kind == serving.Stream})
				for range 4 {
					response, body, err := f.send(t, "Patience", "1500")
					if err != nil || response.StatusCode != http.StatusOK {
						continue // a failure is visible to the caller
					}
					want := faulty.Body("id-1")
					if kind == serving.Stream {
						want = faulty.Events
					}
					if body != want {
						t.Errorf("success with %.80q (%d bytes), want %q", body, len(body), want)
					}
				}
			})
		}
	}
}

// Guards against memory that grows with the bytes that faulty servers send, and against
// harmless requests that notice them. The bound on memory is 0.5 MB for each request that is
// sent to such a server: the limits of an event and of a head, and twice as much.
func TestManyServersThatSendWithoutEnd(t *testing.T) {
	const faultyServers, rounds = 50, 2
	var servers []faulty.Options
	for i := range faultyServers {
		servers = append(servers, faulty.Options{Answer: endlessAnswers[i%len(endlessAnswers)], Stream: true})
	}
	route := serving.Route{Kind: serving.Stream, MaxAttempts: 1, Timeout: 5 * time.Second, LatencyObjective: 300 * time.Millisecond, GapObjective: 50 * time.Millisecond}
	f := newFaultyFleet(t, route, servers...)
	harmless := newFaultyFleet(t, route, faulty.Options{Stream: true})
	harmless.gateway.Pool = f.gateway.Pool
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	peak := before.HeapAlloc
	var wait sync.WaitGroup
	for range faultyServers * rounds {
		wait.Go(func() { _, _, _ = f.send(t, "Patience", "1000") })
	}
	var latencies []time.Duration
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		start := time.Now()
		if response, body, err := harmless.send(t, "Patience", "1000"); err != nil || response.StatusCode != http.StatusOK || body != faulty.Events {
			t.Fatalf("a harmless request: %v %v", response, err)
		}
		latencies = append(latencies, time.Since(start))
		runtime.ReadMemStats(&during)
		peak = max(peak, during.HeapInuse)
		time.Sleep(5 * time.Millisecond)
	}
	wait.Wait()
	slices.Sort(latencies)
	grown := int64(peak) - int64(before.HeapAlloc)
	t.Logf("%d faulty servers, %d requests: heap grew by %.1f MB, %d harmless requests, middle %v, 95 in 100 within %v",
		faultyServers, faultyServers*rounds, float64(grown)/1e6, len(latencies), latencies[len(latencies)/2], latencies[len(latencies)*95/100])
	if limit := int64(faultyServers * rounds * (maxEventBytes + 64<<10) * 3 / 2); grown > limit {
		t.Errorf("the heap grew by %d bytes, want at most %d", grown, limit)
	}
}

// Guards against an answer that broke off and reaches the caller as a complete success, at
// every byte of a short answer, ended by a close and by a reset, to callers of both versions
// of the protocol. A route that allows one attempt shows the answer as it is.
func TestTruncatedAnswersAreNoSuccess(t *testing.T) {
	for _, kind := range []serving.Kind{serving.Safe, serving.Stream} {
		whole := faulty.Body("id-1")
		if kind == serving.Stream {
			whole = faulty.Events
		}
		route := serving.Route{Kind: kind, MaxAttempts: 1, Timeout: 2 * time.Second}
		for _, reset := range []bool{false, true} {
			for _, version := range []string{"1.0", "1.1"} {
				t.Run(fmt.Sprint(kind, " reset ", reset, " HTTP/", version), func(t *testing.T) {
					checkTruncations(t, route, version, whole, reset)
				})
			}
		}
	}
}

func checkTruncations(t *testing.T, route serving.Route, version, whole string, reset bool) {
	complete := false
	for n := 1; !complete; n++ {
		f := newFaultyFleet(t, route, faulty.Options{Answer: faulty.Truncated, Bytes: n, Reset: reset, Stream: route.Kind == serving.Stream, Interval: 2 * time.Millisecond})
		status, body, err := f.sendRaw(t, version)
		complete = err == nil && status == http.StatusOK && body == whole
		if err == nil && status == http.StatusOK && body != whole {
			t.Fatalf("an answer of %d bytes reached the caller as a success: %q", n, body)
		}
		if n > 1000 {
			t.Fatal("no answer is complete")
		}
	}
}

// sendRaw sends a request in a version of the protocol on a connection of its own.
func (f *fakeFleet) sendRaw(t *testing.T, version string) (status int, body string, err error) {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(conn, "POST /p/x HTTP/%s\r\nHost: %s\r\nId: id-1\r\nContent-Length: 0\r\n\r\n", version, testHost)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, string(raw), err
}

// Guards against slow but sound streams that are cut, and against stalled ones that send a
// byte now and then and never end: only complete events count as progress.
func TestStalledStreamsEndAndSlowOnesDoNot(t *testing.T) {
	const stall = 150 * time.Millisecond
	route := serving.Route{Kind: serving.Stream, MaxAttempts: 1}
	slow := newFleet(t, 1, route, func(c net.Conn, _ *http.Request, _ int) {
		fmt.Fprintf(c, streamHead, "s")
		for n := 1; n <= 5; n++ {
			time.Sleep(stall / 2)
			fmt.Fprint(c, chunk(event(n)))
		}
		fmt.Fprint(c, endOfStream)
	})
	slow.gateway.Timeouts.Stall = stall
	if response, body, err := slow.send(t); err != nil || response.StatusCode != http.StatusOK || strings.Count(body, "data:") != 5 {
		t.Errorf("a slow stream: %v, %q, %v", response, body, err)
	}
	stalled := newFaultyFleet(t, route, faulty.Options{Answer: faulty.SlowBytes, Stream: true, Interval: 10 * time.Millisecond})
	stalled.gateway.Timeouts.Stall = stall
	start := time.Now()
	response, _, err := stalled.send(t)
	if err == nil && response.StatusCode == http.StatusOK {
		t.Error("a stalled stream is a success")
	}
	if took := time.Since(start); took < stall || took > 20*stall {
		t.Errorf("a stalled stream ended after %v, want about %v", took, stall)
	}
}

// Guards against callers that hold a request up for ever, because they send a byte of the
// body now and then, or do not read the response.
func TestCallersThatMakeNoProgress(t *testing.T) {
	f := newFaultyFleet(t, serving.Route{Kind: serving.Safe, MaxAttempts: 1, Timeout: 200 * time.Millisecond}, faulty.Options{})
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /p/x HTTP/1.1\r\nHost: %s\r\nId: id-1\r\nContent-Length: 100000\r\n\r\n", testHost)
	go func() {
		for _, err := conn.Write([]byte("x")); err == nil; _, err = conn.Write([]byte("x")) {
			time.Sleep(10 * time.Millisecond)
		}
	}()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusRequestTimeout {
		t.Errorf("a body that does not arrive: %v, %v", response, err)
	}

	endless := newFaultyFleet(t, serving.Route{Kind: serving.Safe, MaxAttempts: 1}, faulty.Options{Answer: faulty.EndlessBody})
	endless.gateway.Timeouts.Write = 200 * time.Millisecond
	reader, err := net.Dial("tcp", strings.TrimPrefix(endless.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	fmt.Fprintf(reader, "POST /p/x HTTP/1.1\r\nHost: %s\r\nId: id-1\r\nContent-Length: 0\r\n\r\n", testHost)
	waitForCapacity(t, endless, false)
	waitForCapacity(t, endless, true)
}

// waitForCapacity waits until all slots of the service are free, or are not.
func waitForCapacity(t *testing.T, f *fakeFleet, allFree bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if free, slots, _ := f.view.Capacity("svc"); (free == slots) == allFree {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("all slots free: not %v in time", allFree)
		}
	}
}

// panicPlacer panics for each second request, before or after it has counted the request.
type panicPlacer struct {
	localPlacer
	mu    sync.Mutex
	count int
}

func (p *panicPlacer) Place(q balance.Query) (*fleet.Lease, *balance.Rejection) {
	p.mu.Lock()
	p.count++
	n := p.count
	p.mu.Unlock()
	if n%2 == 0 {
		panic("unexpected error")
	}
	return p.localPlacer.Place(q)
}

// panicProtocol panics when it parses a response.
type panicProtocol struct{ protocol }

func (panicProtocol) ParseResponse(int, http.Header) serving.Response { panic("unexpected header") }

// Guards against an unexpected error in one request that ends the process or other requests,
// or that leaves its slot counted for ever.
func TestPanicEndsOneRequest(t *testing.T) {
	f := newFaultyFleet(t, safeRoute(), faulty.Options{})
	f.gateway.Placer = &panicPlacer{localPlacer: localPlacer{f.view}}
	for n := range 10 {
		response, body, err := f.send(t)
		if n%2 == 0 && (err != nil || response.StatusCode != http.StatusOK || body != faulty.Body("id-1")) {
			t.Errorf("request %d: %v, %v", n, response, err)
		}
		if n%2 == 1 && err == nil && response.StatusCode == http.StatusOK {
			t.Errorf("request %d, which panicked, is a success", n)
		}
	}
	f.gateway.Placer, f.gateway.Protocol = localPlacer{f.view}, panicProtocol{}
	_, _, _ = f.send(t)
	if free, slots, _ := f.view.Capacity("svc"); free != slots {
		t.Errorf("%d of %d slots are free after a panic", free, slots)
	}
	if guard.Metrics().Get("request") == nil {
		t.Error("panics are not counted")
	}
}

// Guards against an answer that is passed to another caller: second copies of answers, at
// once and late, with and without the id of their request, on connections that are kept.
func TestSecondCopiesReachNobody(t *testing.T) {
	for _, answer := range []faulty.Answer{faulty.Copy, faulty.LateCopy, faulty.CopyWithoutID} {
		t.Run(string(answer), func(t *testing.T) {
			f := newFaultyFleet(t, serving.Route{Kind: serving.Safe, MaxAttempts: 2, Timeout: 5 * time.Second}, faulty.Options{Answer: answer, Interval: time.Millisecond})
			for n := range 60 {
				id := fmt.Sprint("id-", n)
				response, body, err := f.send(t, "Id", id)
				if err != nil {
					t.Fatal(err)
				}
				if response.StatusCode == http.StatusOK && body != faulty.Body(id) {
					t.Fatalf("%s got %q", id, body)
				}
				if response.StatusCode != http.StatusOK {
					t.Logf("%s: status %d", id, response.StatusCode)
				}
			}
			faults := f.gateway.Pool.Faults()
			if faults.Get("stale_response") == nil && faults.Get("bytes_after_response") == nil && faults.Get("unidentified_response") == nil {
				t.Error("the fault of the server is not counted")
			}
		})
	}
}

// Guards against a refusal that a server sent earlier and writes again being taken for the answer
// to a request that the server runs: the caller would be told that it was not run, or another
// server would run it as well.
func TestRepeatedRefusalIsNoAnswer(t *testing.T) {
	for _, answer := range []faulty.Answer{faulty.RepeatedRefusal, faulty.RepeatedRefusalWithoutID} {
		for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusBadRequest} {
			t.Run(fmt.Sprint(answer, "/", status), func(t *testing.T) {
				f := newFaultyFleet(t, serving.Route{Kind: serving.Unsafe, MaxAttempts: 3, Timeout: 5 * time.Second},
					faulty.Options{Answer: answer, Refusal: status, RefusalHeader: "Refused: 1\r\n"}, faulty.Options{Answer: answer, Refusal: status, RefusalHeader: "Refused: 1\r\n"})
				ran := 0
				for n := range 40 {
					id := fmt.Sprint("id-", n)
					response, _, err := f.send(t, "Id", id)
					runs := f.runs(id)
					ran += runs
					refused := err == nil && slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusBadRequest}, response.StatusCode)
					if runs > 1 || refused && runs > 0 {
						t.Errorf("%s ran %d times: %v, %v", id, runs, response, err)
					}
				}
				if ran == 0 {
					t.Error("no request ran")
				}
			})
		}
	}
}

var errTest = errors.New("test")

// Guards against a panic of the handler that is reported for a caller that disconnects.
func TestAbortIsNoPanic(t *testing.T) {
	f := newFaultyFleet(t, serving.Route{Kind: serving.Safe, MaxAttempts: 1, Timeout: 5 * time.Second}, faulty.Options{Answer: faulty.SlowBytes, Stream: true})
	ctx, cancel := context.WithCancelCause(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/p/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = testHost
	r.Header.Set("Id", "id-1")
	before := fmt.Sprint(guard.Metrics().Get("request"))
	time.AfterFunc(50*time.Millisecond, func() { cancel(errTest) })
	if _, err := http.DefaultTransport.RoundTrip(r); err == nil {
		t.Fatal("no error")
	}
	waitForCapacity(t, f, true)
	if after := fmt.Sprint(guard.Metrics().Get("request")); after != before {
		t.Errorf("%s panics, before %s", after, before)
	}
}
