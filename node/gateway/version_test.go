package gateway

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/origin"
	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/standin/faulty"
)

// newVersionedFleet starts servers of the given versions whose new streams break after some events.
func newVersionedFleet(t *testing.T, o faulty.Options, versions ...string) *fakeFleet {
	t.Helper()
	o.Answer, o.ResumeHeader = faulty.Resumable, "After"
	route := serving.Route{Kind: serving.Stream, Resumable: true, MaxAttempts: 4, LatencyObjective: 300 * time.Millisecond, GapObjective: 50 * time.Millisecond}
	f := newFaultyFleet(t, route, slices.Repeat([]faulty.Options{o}, len(versions))...)
	for i, v := range versions {
		f.entries[i].Value.Version = v
	}
	f.view.ApplyServers(f.entries, true)
	return f
}

// requestsTo returns the number of requests to the servers of a version.
func (f *fakeFleet) requestsTo(version string) (n int) {
	for i, s := range f.faulty {
		if f.entries[i].Value.Version == version {
			n += int(s.Requests())
		}
	}
	return n
}

// Guards against one answer that joins the events of two versions of the servers' software, and
// against a stream that is cut off and looks complete or is given up without need.
func TestStreamKeepsItsVersion(t *testing.T) {
	for name, c := range map[string]struct {
		options   faulty.Options
		versions  []string
		uncertain bool
		requests  int
		complete  bool
	}{
		"breaks":                    {faulty.Options{BreakAfter: 1}, []string{"v1", "v2", "v1", "v2"}, false, 2, true},
		"no server left":            {faulty.Options{BreakAfter: 1}, []string{"v1", "v2"}, false, 1, false},
		"version not certain":       {faulty.Options{BreakAfter: 1}, []string{"v1", "v1"}, true, 1, false},
		"slow, no server to go to":  {faulty.Options{Interval: minGapTimeout * 5 / 4}, []string{"v1", "v2"}, false, 1, true},
		"slow before other servers": {faulty.Options{Interval: minGapTimeout * 5 / 4}, []string{"v1", "v1"}, false, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newVersionedFleet(t, c.options, c.versions...)
			f.origins.uncertain = c.uncertain
			_, body, err := f.send(t, "Patience", "5000")
			if complete := err == nil && body == faulty.Events; complete != c.complete {
				t.Errorf("%q, %v", body, err)
			}
			if v1, v2 := f.requestsTo("v1"), f.requestsTo("v2"); v1+v2 != c.requests || v1 > 0 && v2 > 0 {
				t.Errorf("%d requests to v1, %d to v2, want %d to one of them", v1, v2, c.requests)
			}
		})
	}
}

// Guards against a stream that a caller takes up going on at another version than the one that
// began it, and against a guess where that version is not known.
func TestTakeUpGoesOnAtItsVersion(t *testing.T) {
	f := newVersionedFleet(t, faulty.Options{Interval: time.Millisecond}, "v1", "v2", "v2")
	f.origins.origins = map[string]origin.Origin{"v1": {Service: "svc", Version: "v1"}, "v0": {Service: "svc", Version: "v0"}, "elsewhere": {Service: "other", Version: "v1"}}
	for _, resumes := range []string{"v0", "elsewhere", "never seen", ""} {
		response, _, err := f.send(t, "After", "1", "Resumes", resumes)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Come-Back") != "" {
			t.Errorf("%q: %v %v, want a refusal without a time to return", resumes, response, err)
		}
	}
	for range 20 {
		if response, body, err := f.send(t, "After", "1", "Resumes", "v1"); err != nil || response.StatusCode != http.StatusOK || event(1)+body != faulty.Events {
			t.Fatalf("%v %q %v", response, body, err)
		}
	}
	if v1, v2 := f.requestsTo("v1"), f.requestsTo("v2"); v1 != 20 || v2 != 0 {
		t.Errorf("%d requests to v1, %d to v2, want 20 and none", v1, v2)
	}
}
