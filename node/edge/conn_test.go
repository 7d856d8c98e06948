package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// startServer starts a server whose connections count in the account. Its handler answers with
// the length of the body, and waits before that while release is not nil and not closed.
func startServer(t *testing.T, account *Account, limits func() Limits, release <-chan struct{}) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnState: RecordState, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, MaxHeaderBytes: 1 << 20, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		if release != nil {
			<-release
		}
		fmt.Fprint(w, len(body))
	})}
	go func() { _ = server.Serve(NewListener(l.(*net.TCPListener), account, true, limits)) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// dial opens a connection and sends raw on it.
func dial(t *testing.T, address, raw string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(conn, raw); err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

// status returns the status of the next response, or zero if there is none.
func status(r *bufio.Reader) int {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func waitFor(t *testing.T, failure string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatal(failure)
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n"

func headOf(lineBytes int) string {
	return get + "A: " + strings.Repeat("v", lineBytes-len("Host: h\r\nA: \r\n\r\n")) + "\r\n\r\n"
}

// Guards against a limit of the configuration that is not in force as it is stated, or that
// stays in force after another one has replaced it.
func TestHeaderLimitFollowsConfiguration(t *testing.T) {
	var limit atomic.Int64
	address := startServer(t, NewAccount("test", 1<<20, 10), func() Limits { return Limits{HeaderBytes: limit.Load()} }, nil)
	for _, l := range []int64{500, 9000, 300} {
		limit.Store(l)
		if _, r := dial(t, address, headOf(int(l))); status(r) != http.StatusOK {
			t.Errorf("limit %d: a head of this length is refused", l)
		}
		if _, r := dial(t, address, headOf(int(l)+1)); status(r) != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("limit %d: a longer head is not refused with 431", l)
		}
	}
}

// Guards against heads that come too slowly, and against a head timeout that ends connections that
// are idle within their limit, or requests that are served.
func TestTimeouts(t *testing.T) {
	release := make(chan struct{})
	limits := func() Limits { return Limits{HeaderTimeout: 50 * time.Millisecond, IdleTimeout: time.Minute} }
	address := startServer(t, NewAccount("test", 1<<20, 10), limits, release)
	served, servedReader := dial(t, address, get+"\r\n")
	idle, idleReader := dial(t, address, "")
	_, slowReader := dial(t, address, get)
	if _, err := slowReader.ReadByte(); err == nil {
		t.Error("a head that stops is answered")
	}
	close(release)
	for range 2 {
		if status(servedReader) != http.StatusOK {
			t.Error("a request is cut off by the head timeout")
		}
		time.Sleep(60 * time.Millisecond)
		_, _ = io.WriteString(served, get+"\r\n")
	}
	_, _ = io.WriteString(idle, get+"\r\n")
	if status(idleReader) != http.StatusOK {
		t.Error("an idle connection is closed by the head timeout")
	}
}

// Guards against a full account that refuses ordinary requests while connections that hold more
// and have stopped go on, and against memory that is not free after them.
func TestPressureEndsTheLargest(t *testing.T) {
	account := NewAccount("test", 100<<10, 100)
	address := startServer(t, account, func() Limits { return Limits{} }, nil)
	var readers []*bufio.Reader
	for range 4 {
		_, r := dial(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n"+strings.Repeat("b", 10000))
		readers = append(readers, r)
	}
	_, headReader := dial(t, address, get+strings.Repeat("a:\r\n", 250))
	waitFor(t, "nothing is refused", func() bool {
		_, r := dial(t, address, get+"\r\n")
		return status(r) == http.StatusOK && account.counts.Get("memory") != nil
	})
	statuses := make(chan int, len(readers)+1)
	for _, r := range append(readers, headReader) {
		go func() { statuses <- status(r) }()
	}
	if got := <-statuses; got != http.StatusServiceUnavailable && got != 0 {
		t.Errorf("a stopped request got %d, want 503 or a closed connection", got)
	}
}

// Guards against a limit on connections that refuses new callers while others are idle, and
// against one that ends requests that are served.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	release := make(chan struct{})
	account := NewAccount("test", 1<<20, 3)
	address := startServer(t, account, func() Limits { return Limits{} }, release)
	var served []*bufio.Reader
	for range 2 {
		_, r := dial(t, address, get+"\r\n")
		served = append(served, r)
	}
	waitFor(t, "the requests do not arrive", func() bool { used, _ := account.state(); return used > 0 })
	time.Sleep(50 * time.Millisecond)
	for range 10 {
		dial(t, address, "")
	}
	_, last := dial(t, address, get+"\r\n")
	time.Sleep(50 * time.Millisecond)
	close(release)
	for _, r := range append(served, last) {
		if status(r) != http.StatusOK {
			t.Error("a request was not answered")
		}
	}
	if _, conns := account.state(); conns > 3 {
		t.Errorf("%d connections, want at most 3", conns)
	}
}

// Guards against memory of requests that stays counted after their connections have closed, until
// the account is full for good.
func TestAccountIsEmptyAfterwards(t *testing.T) {
	account := NewAccount("test", 200<<10, 50)
	address := startServer(t, account, func() Limits { return Limits{} }, nil)
	for n := range 100 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		switch n % 3 {
		case 0:
			_, _ = io.WriteString(conn, get+strings.Repeat("a:\r\n", 200))
		case 1:
			_, _ = io.WriteString(conn, get+"\r\n"+get+"\r\n"+get)
		default:
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\n"+strings.Repeat("b", 20000))
		}
		_ = conn.Close()
	}
	waitFor(t, "connections stay counted", func() bool {
		used, conns := account.state()
		account.mu.Lock()
		defer account.mu.Unlock()
		return used == 0 && conns == 0 && account.ending == 0
	})
}

// readHere returns the account's connection to a client that has sent raw, once it has been read here, as
// by a server that is not told yet that the request is complete.
func readHere(t *testing.T, account *Account, raw string) (*Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, _ := dial(t, l.Addr().String(), raw)
	tcp, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := account.Open(tcp.(*net.TCPConn), true, func() Limits { return Limits{} })
	if c == nil {
		t.Fatal("the connection is not taken")
	}
	t.Cleanup(func() { _ = c.Close() })
	for n := 0; n < len(raw); {
		read, err := c.Read(make([]byte, len(raw)))
		if err != nil {
			t.Fatal(err)
		}
		n += read
	}
	return c, client
}

// Guards against a request that is passed on and gets no answer, since its connection is ended to make room
// after the request was read and before its handler began.
func TestPressureSparesCompleteRequests(t *testing.T) {
	for name, raw := range map[string]string{"without body": get + "\r\n", "with body": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"} {
		t.Run(name, func(t *testing.T) {
			account := NewAccount("test", 1<<20, 1)
			c, _ := readHere(t, account, raw)
			account.mu.Lock()
			mayEnd := c.mayEnd(time.Now())
			account.mu.Unlock()
			if mayEnd {
				t.Error("a connection with a complete request may be ended")
			}
			c.Record(http.StateActive)
			c.Record(http.StateIdle)
			account.mu.Lock()
			mayEnd = c.mayEnd(time.Now())
			account.mu.Unlock()
			if !mayEnd {
				t.Error("a connection without a request may not be ended")
			}
		})
	}
}

// Guards against a request that was read in full and gets no answer, since its connection was chosen to end
// while it was read.
func TestPressureRefusesWhatItEnds(t *testing.T) {
	account := NewAccount("test", 1<<20, 1)
	c, client := readHere(t, account, get+"\r\n")
	c.Record(http.StateActive)
	c.Record(http.StateIdle)
	// Pending bytes are read whatever the deadline, as those are that a reader has just received.
	c.pending = []byte(get + "\r\n")
	account.mu.Lock()
	account.end(c)
	account.mu.Unlock()
	if n, err := c.Read(make([]byte, 1<<10)); err == nil {
		t.Errorf("%d bytes are served", n)
	}
	_ = c.Close()
	if got := status(bufio.NewReader(client)); got != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", got)
	}
}

// Guards against a request that is cancelled while it is served, since its connection is chosen to end when two
// handlers ask for the last memory of the account at the same time.
func TestHoldEndsNoServedRequest(t *testing.T) {
	const conns, rounds, limit = 8, 20_000, 1 << 20
	account := NewAccount("test", limit, conns)
	var served []*Conn
	for range conns {
		c, _ := readHere(t, account, get+"\r\n")
		c.Record(http.StateActive)
		served = append(served, c)
	}
	for range rounds {
		var wait sync.WaitGroup
		start := make(chan struct{})
		for _, c := range served {
			wait.Go(func() { <-start; c.Hold(limit / 2) })
		}
		close(start)
		wait.Wait()
		for _, c := range served {
			if c.isEnding() {
				t.Fatal("a connection whose request is served ends")
			}
			c.Record(http.StateIdle)
			c.Record(http.StateActive)
		}
	}
}

// Guards against a request that is served on a connection that was chosen to end while its last bytes were
// read, so that it is cancelled at its server.
func TestEndingConnectionServesNoRequest(t *testing.T) {
	account := NewAccount("test", 1<<20, 1)
	c, client := readHere(t, account, get)
	c.pending = []byte("\r\n")
	account.mu.Lock()
	account.end(c)
	account.mu.Unlock()
	if n, err := c.Read(make([]byte, 1<<10)); err == nil {
		t.Errorf("%d bytes are served", n)
	}
	_ = c.Close()
	if got := status(bufio.NewReader(client)); got != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", got)
	}
}
