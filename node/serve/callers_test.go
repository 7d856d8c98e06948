package serve

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/jacinthnotch/jacinthnotch/node/exchange"
)

// startCallers starts a caller server whose requests take a moment, on a port of its own.
func startCallers(t *testing.T, requestTime time.Duration) (s *callerServer, address string) {
	t.Helper()
	s = newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(requestTime)
		fmt.Fprintf(w, "%d bytes", len(body))
	}), nil)
	config := net.ListenConfig{KeepAliveConfig: exchange.KeepAlive}
	l, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() { defer close(served); _ = s.Serve(l.(*net.TCPListener)) }()
	t.Cleanup(func() { s.Close(); <-served })
	return s, l.Addr().String()
}

// request is what a client saw of one request.
type request struct {
	// connected is set if the connection was established, and sentAll once the last byte
	// was written.
	connected, sentAll bool
	answered           bool
	err                error
}

// send sends a request in two parts with a pause in between and reads the answer.
func send(conn net.Conn, reader *bufio.Reader, pause time.Duration) (r request, keep bool) {
	r.connected = true
	if _, r.err = fmt.Fprint(conn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Len"); r.err != nil {
		return r, false
	}
	time.Sleep(pause)
	if _, r.err = fmt.Fprint(conn, "gth: 4\r\n\r\nbody"); r.err != nil {
		return r, false
	}
	r.sentAll = true
	var response *http.Response
	if response, r.err = http.ReadResponse(reader, nil); r.err != nil {
		return r, false
	}
	var body []byte
	if body, r.err = io.ReadAll(response.Body); r.err == nil {
		r.answered = response.StatusCode == http.StatusOK && string(body) == "4 bytes"
	}
	return r, !response.Close
}

// Guards against requests that are cut off in a planned stop under load: on new connections,
// also those that wait in the listen queue, on connections that are kept, and requests that
// have been read in part. Only a request on a connection that was idle when it closed may
// go without an answer, since it was not read.
func TestDrainUnderLoadCutsNothing(t *testing.T) {
	for _, pause := range []time.Duration{0, 3 * time.Millisecond} {
		s, address := startCallers(t, 5*time.Millisecond)
		var mu sync.Mutex
		var fresh, kept []request
		// removed is closed when the load balancer sends no new connections any more.
		removed := make(chan struct{})
		var wait sync.WaitGroup
		for range 40 {
			wait.Go(func() {
				for {
					select {
					case <-removed:
						return
					default:
					}
					conn, err := net.DialTimeout("tcp", address, time.Second)
					if err != nil {
						return // the listener is closed
					}
					reader := bufio.NewReader(conn)
					r, keep := send(conn, reader, pause)
					mu.Lock()
					fresh = append(fresh, r)
					mu.Unlock()
					for n := 0; keep && n < 3; n++ {
						r, keep = send(conn, reader, pause)
						mu.Lock()
						kept = append(kept, r)
						mu.Unlock()
					}
					_ = conn.Close()
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		s.Leave()
		time.Sleep(50 * time.Millisecond)
		// Connections that were opened at the last moment may still wait in the queue.
		close(removed)
		for range 20 {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			wait.Go(func() {
				defer conn.Close()
				r, _ := send(conn, bufio.NewReader(conn), pause)
				mu.Lock()
				defer mu.Unlock()
				fresh = append(fresh, r)
			})
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		if err := s.Drain(ctx); err != nil {
			t.Errorf("drain: %v", err)
		}
		cancel()
		wait.Wait()
		for _, r := range fresh {
			if !r.answered {
				t.Errorf("pause %v: a request on a new connection was cut off: %+v: %v", pause, r, r.err)
			}
		}
		for _, r := range kept {
			if !r.answered && r.sentAll && pause > 0 {
				t.Errorf("pause %v: a request that was read in part on a kept connection was cut off: %+v: %v", pause, r, r.err)
			}
		}
		if len(fresh) < 50 || len(kept) < 50 {
			t.Errorf("%d and %d requests are too few for the test", len(fresh), len(kept))
		}
	}
}

// Guards against connections that go on while the instance is leaving: each of them ends
// with its next response.
func TestLeavingInstanceEndsConnections(t *testing.T) {
	s, address := startCallers(t, 0)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if r, keep := send(conn, reader, 0); !r.answered || !keep {
		t.Fatalf("first request: %+v, kept %v", r, keep)
	}
	s.Leave()
	if r, keep := send(conn, reader, 0); !r.answered || keep {
		t.Fatalf("request while leaving: %+v, kept %v", r, keep)
	}
}

// Guards against a panic in one background task that ends the process or the other tasks,
// and against a task that does not run any more after it.
func TestPanicRestartsTask(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var runs atomic.Int64
	runTask(ctx, backgroundTask{"test task", func(context.Context) {
		if runs.Add(1) < 3 {
			panic("unexpected error")
		}
	}})
	if n := runs.Load(); n != 3 {
		t.Errorf("%d runs, want two with a panic and one without", n)
	}
}

// panicHandler panics in each call.
type panicHandler struct{}

func (panicHandler) HandleRPC(drpc.Stream, string) error { panic("unexpected message") }

// Guards against a malformed call of another instance that ends the process.
func TestPanicInCallOfInstance(t *testing.T) {
	if err := (guardedHandler{panicHandler{}}).HandleRPC(nil, "rpc"); err == nil {
		t.Error("a call that panicked succeeds")
	}
}

// exchangeOnce sends raw and returns the status of the next response, or zero without one.
func exchangeOnce(conn net.Conn, reader *bufio.Reader, raw string) int {
	if _, err := io.WriteString(conn, raw); err != nil {
		return 0
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func dialCallers(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn, bufio.NewReader(conn)
}

const getRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against a request that was read and is dropped without an answer, since the drain takes its
// connection for an idle one while the reader waits for a processor.
func TestDrainSparesARequestThatWasJustRead(t *testing.T) {
	s, address := startCallers(t, 0)
	conn, reader := dialCallers(t, address)
	if code := exchangeOnce(conn, reader, getRequest); code != http.StatusOK {
		t.Fatalf("first request: %d", code)
	}
	time.Sleep(50 * time.Millisecond) // the reader waits for the next request
	read, goOn := make(chan struct{}), make(chan struct{})
	afterRead := func() { read <- struct{}{}; <-goOn }
	s.listener.afterRead.Store(&afterRead)
	answer, drained := make(chan int, 1), make(chan error, 1)
	go func() { answer <- exchangeOnce(conn, reader, getRequest) }()
	<-read
	s.listener.afterRead.Store(nil)
	go func() { drained <- s.Drain(t.Context()) }()
	<-s.listener.closed
	time.Sleep(5 * drainPollInterval)
	close(goOn)
	if code := <-answer; code != http.StatusOK {
		t.Errorf("the request that was read got status %d", code)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// Guards against a request that is dropped since its first bytes came before the connection was idle: net/http
// reads a byte of the next request while the response to the one before is written.
func TestDrainSparesARequestThatBeganEarly(t *testing.T) {
	s, address := startCallers(t, 100*time.Millisecond)
	conn, reader := dialCallers(t, address)
	if _, err := io.WriteString(conn, getRequest); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // the request runs
	if _, err := io.WriteString(conn, getRequest[:1]); err != nil {
		t.Fatal(err)
	}
	if code := exchangeOnce(conn, reader, ""); code != http.StatusOK {
		t.Fatalf("first request: %d", code)
	}
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(t.Context()) }()
	<-s.listener.closed
	time.Sleep(5 * drainPollInterval)
	if code := exchangeOnce(conn, reader, getRequest[1:]); code != http.StatusOK {
		t.Errorf("the request whose first byte was read early got status %d", code)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// Guards against connections that are reset in the listen queue, since the instance got no processor while
// the listener waited for another one.
func TestCloseListenerEmptiesItsQueue(t *testing.T) {
	const queued = 3
	s := newCallerServer(http.NotFoundHandler(), nil)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.listener.set(l.(*net.TCPListener))
	for range queued {
		dialCallers(t, l.Addr().String())
	}
	closed := make(chan struct{})
	go func() { defer close(closed); s.CloseListener() }()
	time.Sleep(4 * backlogPause) // nothing is accepted
	accepted := 0
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			break
		}
		accepted++
		_ = conn.Close()
	}
	<-closed
	if accepted != queued {
		t.Errorf("%d of %d connections were accepted", accepted, queued)
	}
}
