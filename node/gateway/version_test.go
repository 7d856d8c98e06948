package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/origin"
	"github.com/jacinthnotch/jacinthnotch/domain/serving"
)

// resumableStream is a route whose streams may go on at other servers.
var resumableStream = serving.Route{
	Kind: serving.Stream, Resumable: true, MaxAttempts: 4, Timeout: 5 * time.Second, LatencyObjective: 300 * time.Millisecond, GapObjective: 50 * time.Millisecond,
}

// streamLength is the number of events of a stream in these tests.
const streamLength = 3

// newVersionedFleet starts servers with the given versions; breakAfter says after which event
// the n-th request breaks, or 0 if it does not.
func newVersionedFleet(t *testing.T, versions []string, breakAfter func(server string, n int) int) *fakeFleet {
	t.Helper()
	f := newFleet(t, len(versions), resumableStream, func(c net.Conn, r *http.Request, n int) {
		after, _ := strconv.Atoi(r.Header.Get("After"))
		last := breakAfter(r.Header.Get("Expect-Server"), n)
		fmt.Fprintf(c, streamHead, "s\r\nConnection: close")
		for e := after + 1; e <= streamLength; e++ {
			fmt.Fprint(c, chunk(event(e)))
			if e == last {
				return
			}
		}
		fmt.Fprint(c, endOfStream)
	})
	for i, v := range versions {
		f.entries[i].Value.Version = v
	}
	f.view.ApplyServers(f.entries, true)
	return f
}

// versionsUsed returns the versions of the servers that got requests, in their order.
func (f *fakeFleet) versionsUsed() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var versions []string
	for _, r := range f.requests {
		i, _ := strconv.Atoi(r.Header.Get("Expect-Server")[1:])
		versions = append(versions, f.entries[i].Value.Version)
	}
	return versions
}

// Guards against one answer that joins the events of two versions of the servers' software.
func TestBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	for range 20 {
		f := newVersionedFleet(t, []string{"v1", "v2", "v1", "v2"}, func(_ string, n int) int { return map[int]int{0: 1}[n] })
		response, body, err := f.send(t)
		if err != nil || response.StatusCode != http.StatusOK || body != event(1)+event(2)+event(3) {
			t.Fatalf("%v %q %v", response, body, err)
		}
		if v := f.versionsUsed(); len(v) != 2 || v[0] != v[1] {
			t.Fatalf("events of the versions %v", v)
		}
	}
}

// Guards against a stream that goes on at another version because no server of its own is left,
// and against a broken stream that looks complete.
func TestStreamEndsWithItsVersion(t *testing.T) {
	for name, uncertain := range map[string]bool{"no server left": false, "version not certain": true} {
		t.Run(name, func(t *testing.T) {
			versions := []string{"v1", "v2"}
			if uncertain {
				versions = []string{"v1", "v1"}
			}
			f := newVersionedFleet(t, versions, func(_ string, n int) int { return map[int]int{0: 1}[n] })
			f.origins.uncertain = uncertain
			if _, body, err := f.send(t); err == nil || f.count() != 1 {
				t.Fatalf("%q looks complete after %d requests", body, f.count())
			}
		})
	}
}

// Guards against a stream that is given up because it is slow, while no other server could go on
// with it.
func TestSlowStreamIsKeptWithoutAnotherServerOfItsVersion(t *testing.T) {
	f := newFleet(t, 2, resumableStream, func(c net.Conn, _ *http.Request, _ int) {
		fmt.Fprintf(c, streamHead, "s\r\nConnection: close")
		fmt.Fprint(c, chunk(event(1)))
		time.Sleep(2 * minGapTimeout)
		fmt.Fprint(c, chunk(event(2)), endOfStream)
	})
	for i, v := range []string{"v1", "v2"} {
		f.entries[i].Value.Version = v
	}
	f.view.ApplyServers(f.entries, true)
	if _, body, err := f.send(t, "Patience", "5000"); err != nil || body != event(1)+event(2) || f.count() != 1 {
		t.Fatalf("%q, %v after %d requests", body, err, f.count())
	}
}

// Guards against a stream that a caller takes up going on at another version than the one that
// began it, and against a guess where that version is not known.
func TestTakeUpGoesOnAtItsVersion(t *testing.T) {
	f := newVersionedFleet(t, []string{"v1", "v2", "v2"}, func(string, int) int { return 0 })
	f.origins.origins["began-at-v1"] = origin.Origin{Service: "svc", Version: "v1"}
	f.origins.origins["began-at-v0"] = origin.Origin{Service: "svc", Version: "v0"}
	f.origins.origins["began elsewhere"] = origin.Origin{Service: "other", Version: "v1"}
	for range 20 {
		if response, body, err := f.send(t, "After", "1", "Resumes", "began-at-v1"); err != nil || response.StatusCode != http.StatusOK || body != event(2)+event(3) {
			t.Fatalf("%v %q %v", response, body, err)
		}
	}
	for _, v := range f.versionsUsed() {
		if v != "v1" {
			t.Fatalf("the stream goes on at %s", v)
		}
	}
	served := f.count()
	for _, resumes := range []string{"began-at-v0", "began elsewhere", "never seen", ""} {
		response, _, err := f.send(t, "After", "1", "Resumes", resumes)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Come-Back") != "" {
			t.Errorf("%q: %v %v, want a refusal without a time to return", resumes, response, err)
		}
	}
	if f.count() != served {
		t.Error("a refused request reached a server")
	}
}
