package jobs_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/jobs"
	"github.com/jacinthnotch/jacinthnotch/platform"
	"github.com/jacinthnotch/jacinthnotch/policy/reach"
	"github.com/jacinthnotch/jacinthnotch/standin/store"
)

func bodyReader(b []byte) io.Reader { return bytes.NewReader(b) }

// complete checks that the results hold the whole output of each item once.
func complete(t *testing.T, listed []jobs.ItemResult, ids ...string) {
	t.Helper()
	var got []string
	for _, l := range listed {
		if l.DeadLetter || string(l.Text) != output(l.ID) {
			t.Fatalf("result %+v, text %q", l, l.Text)
		}
		got = append(got, l.ID)
	}
	slices.Sort(got)
	slices.Sort(ids)
	if !slices.Equal(got, ids) {
		t.Fatalf("listed %v, want %v", got, ids)
	}
}

func accept(t *testing.T, i *instance, job string, ids ...string) {
	t.Helper()
	if code, raw := i.call(jobs.Submit, job, submission(ids...)); code != http.StatusAccepted {
		t.Fatalf("submission: %d %s", code, raw)
	}
}

// Guards against a job that is lost when every instance loses power right after its
// acceptance.
func TestAcceptedJobSurvivesTheLossOfAllInstances(t *testing.T) {
	s := newSite(t)
	a := s.start("a", 1)
	hold := make(chan struct{})
	s.server.answer = func(net.Conn, *http.Request, int) bool { <-hold; return true }
	accept(t, a, "j", "x", "y", "z")
	a.kill()
	close(hold)
	s.server.mu.Lock()
	s.server.answer = nil
	s.server.mu.Unlock()
	b := s.start("b", 2)
	complete(t, b.await("j", 3), "x", "y", "z")
}

// Guards against results that differ between instances, in position or content, and
// against a read at an instance that did not accept the job.
func TestEveryInstanceReadsTheSame(t *testing.T) {
	s := newSite(t)
	a, b := s.start("a", 1), s.start("b", 2)
	accept(t, a, "j", "x", "y", "z")
	one, two := a.await("j", 3), b.await("j", 3)
	complete(t, one, "x", "y", "z")
	for i := range one {
		if one[i].ID != two[i].ID || !bytes.Equal(one[i].Text, two[i].Text) {
			t.Fatalf("position %d: %+v and %+v", i, one[i], two[i])
		}
	}
	if code, raw := b.call(jobs.ReadItem, "j", nil, "Item", "y"); code != http.StatusOK || string(raw) != "body of y" {
		t.Fatalf("body of an item: %d %q", code, raw)
	}
}

// Guards against a job that is accepted twice when it comes again at another
// instance, and items that are listed twice when two instances work on it.
func TestResentJobAndTwoInstancesListOnce(t *testing.T) {
	s := newSite(t)
	a, b := s.start("a", 1), s.start("b", 2)
	// Each of the two believes that the other is lost.
	accept(t, a, "j", "x", "y")
	accept(t, b, "j", "x", "y")
	s.members.set("a", 0)
	s.members.set("b", 0)
	listed := b.await("j", 2)
	complete(t, listed, "x", "y")
	if code, raw := a.call(jobs.ReadResults, "j", nil, "From", "2"); code != http.StatusOK || !bytes.Contains(raw, []byte(`"Total":2`)) {
		t.Fatalf("after both: %d %s", code, raw)
	}
}

// Guards against a job that is reported as not accepted although the store took it,
// and against one that is reported as accepted although it did not.
func TestStoreFaultsAtSubmission(t *testing.T) {
	cases := map[string]struct {
		fault store.Fault
		code  int
	}{
		"busy": {store.Busy, http.StatusServiceUnavailable},
		// The items are written first; without them the job cannot run.
		"reset": {store.Reset, http.StatusServiceUnavailable},
		"lost":  {store.Lost, http.StatusServiceUnavailable},
		"late":  {store.Late, http.StatusServiceUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			a := s.start("a", 1)
			s.store.SetFault(c.fault, true)
			if code, raw := a.call(jobs.Submit, "j", submission("x")); code != c.code {
				t.Fatalf("%d %s", code, raw)
			}
			s.store.SetFault(store.None, false)
			s.store.Settle()
			if code, raw := a.call(jobs.ReadResults, "j", nil); code != http.StatusNotFound {
				t.Fatalf("a refused job is there: %d %s", code, raw)
			}
			if n := s.server.count("x"); n != 0 {
				t.Fatalf("an item of a refused job ran %d times", n)
			}
		})
	}
}

// Guards against submissions that wait for a store that is known to be away, and
// against calls to it for each of them.
func TestSubmissionIsRefusedAtOnceWhileTheStoreIsAway(t *testing.T) {
	for _, outlook := range []reach.Reachability{reach.Unreachable, reach.Isolated} {
		s := newSite(t)
		a := s.start("a", 1)
		s.store.SetFault(store.Busy, true)
		a.believes(outlook)
		if code, raw := a.call(jobs.Submit, "j", submission("x")); code != http.StatusServiceUnavailable {
			t.Fatalf("outlook %v: %d %s", outlook, code, raw)
		}
		if n := s.store.Calls(platform.PathAppend); n != 0 {
			t.Errorf("outlook %v: %d appends", outlook, n)
		}
		s.store.SetFault(store.None, false)
		a.believes(reach.ThroughPeers)
		accept(t, a, "j", "x")
	}
}

// Guards against jobs that are refused, and results that wait, because the store does
// not serve the partition to which they belong while it serves others.
func TestBulkGoesToAnotherPartition(t *testing.T) {
	s := newSite(t)
	a := s.start("a", 1)
	const partitions = 4 // that of the fixture
	for p := range partitions / 2 {
		s.store.Refuse(jobs.BulkTopic, p)
	}
	for n := range partitions {
		id := fmt.Sprint("j", n)
		accept(t, a, id, id+"x", id+"y")
		complete(t, a.await(id, 2), id+"x", id+"y")
	}
}

// Guards against results that are lost or doubled when the store loses its answers to
// appends, or takes them seconds later.
func TestResultsSurviveLostAndLateAppends(t *testing.T) {
	for _, fault := range []store.Fault{store.Lost, store.Late, store.Busy} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			s := newSite(t)
			a := s.start("a", 1)
			hold := make(chan struct{})
			s.server.answer = func(net.Conn, *http.Request, int) bool { <-hold; return false }
			accept(t, a, "j", "x", "y")
			s.store.SetFault(fault, true)
			close(hold)
			// Both results have been tried at least once under the fault.
			waitFor(t, func() bool { return s.server.count("x") > 0 && s.server.count("y") > 0 })
			s.store.SetFault(store.None, false)
			s.store.Settle()
			complete(t, a.await("j", 2), "x", "y")
		})
	}
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatal("it did not come")
}

// Guards against 404 for a job that another instance has accepted, while this one
// cannot read the store.
func TestNotSureIsNot404(t *testing.T) {
	s := newSite(t)
	a := s.start("a", 1)
	s.store.SetFault(store.Busy, false)
	if code, raw := a.call(jobs.ReadResults, "unknown", nil); code != http.StatusServiceUnavailable {
		t.Fatalf("%d %s", code, raw)
	}
	s.store.SetFault(store.None, false)
	if code, raw := a.call(jobs.ReadResults, "unknown", nil); code != http.StatusNotFound {
		t.Fatalf("%d %s", code, raw)
	}
}

// Guards against an item that is run after the end of its job was acknowledged, and
// against results that were listed before being lost by it.
func TestEndedJobStops(t *testing.T) {
	s := newSite(t)
	a, b := s.start("a", 1), s.start("b", 2)
	cut := make(chan struct{})
	s.server.answer = func(c net.Conn, r *http.Request, _ int) bool {
		if r.Header.Get("Id") != "slow" {
			return false
		}
		head(c, "slow")
		event(c, "slow", 1)
		var one [1]byte
		_, _ = c.Read(one[:]) // the cancelled request closes the connection
		close(cut)
		return true
	}
	accept(t, a, "j", "x", "slow")
	complete(t, b.await("j", 1), "x")
	for range 2 { // a repeat has the same answer
		if code, raw := b.call(jobs.End, "j", nil); code != http.StatusOK {
			t.Fatalf("%d %s", code, raw)
		}
	}
	<-cut
	complete(t, a.await("j", 1), "x")
}

// Guards against an item that can never be done being run for ever, or given up after
// one failure.
func TestItemsThatFail(t *testing.T) {
	s := newSite(t)
	a := s.start("a", 1)
	s.server.answer = func(c net.Conn, r *http.Request, run int) bool {
		switch id := r.Header.Get("Id"); {
		case id == "never":
			status(c, id, http.StatusUnprocessableEntity)
		case id == "failing", id == "once" && run == 0:
			status(c, id, http.StatusInternalServerError)
		default:
			return false
		}
		return true
	}
	accept(t, a, "j", "never", "failing", "once")
	for _, l := range a.await("j", 3) {
		if dead := l.ID != "once"; l.DeadLetter != dead {
			t.Errorf("%s dead: %v", l.ID, l.DeadLetter)
		}
	}
	if n := s.server.count("never"); n != 1 {
		t.Errorf("an item that can never be done ran %d times", n)
	}
	if n := s.server.count("failing"); n != 3 {
		t.Errorf("a failing item ran %d times, maxAttempts is 3", n)
	}
}

// Guards against an output with a gap, a doubled event or half an event when a run
// breaks off and goes on, and against output that starts again from nothing.
func TestBrokenRunGoesOn(t *testing.T) {
	s := newSite(t)
	a := s.start("a", 1)
	resumed := make(chan string, 1)
	s.server.answer = func(c net.Conn, r *http.Request, run int) bool {
		if run > 0 {
			resumed <- r.Header.Get("After")
			return false
		}
		head(c, "x")
		event(c, "x", 1)
		event(c, "x", 2)
		fmt.Fprintf(c, "a\r\nid: 3\ndata") // torn
		return true
	}
	accept(t, a, "j", "x")
	complete(t, a.await("j", 1), "x")
	if after := <-resumed; after != "2" {
		t.Fatalf("went on after %q", after)
	}
}

// Guards against items that wait for an instance that is lost, and against work that
// is thrown away when an instance drains: the next one goes on from the kept output.
func TestDrainHandsOutputOver(t *testing.T) {
	s := newSite(t)
	a, b := s.start("a", 1), s.start("b", 2)
	begun := make(chan struct{})
	resumed := make(chan string, 1)
	s.server.answer = func(c net.Conn, r *http.Request, run int) bool {
		if run > 0 {
			resumed <- r.Header.Get("After")
			return false
		}
		head(c, "x")
		event(c, "x", 1)
		event(c, "x", 2)
		close(begun)
		var one [1]byte
		_, _ = c.Read(one[:])
		return true
	}
	accept(t, a, "j", "x")
	<-begun
	// The events have to be read before the drain can keep them.
	time.Sleep(50 * time.Millisecond)
	s.members.set("a", 0)
	a.runner.Drain(t.Context())
	complete(t, b.await("j", 1), "x")
	if after := <-resumed; after != "2" {
		t.Fatalf("went on after %q", after)
	}
}

// Guards against items that are lost or listed twice where two instances run a job
// for which neither has room.
func TestTwoInstancesShareAJobLargerThanTheirRoom(t *testing.T) {
	s := newSite(t)
	a, b := s.start("a", 1), s.start("b", 2)
	hold := make(chan struct{})
	s.server.answer = func(net.Conn, *http.Request, int) bool { <-hold; return false }
	ids := []string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11"}
	accept(t, a, "j", ids...)
	s.members.set("a", 0)
	waitFor(t, func() bool { return s.server.count("0") > 1 })
	close(hold)
	complete(t, b.await("j", len(ids)), ids...)
	accept(t, a, "next", "n")
	complete(t, a.await("next", 1), "n")
}

// Guards against an instance that outlives its grace because a result cannot be
// written while the store is away (found by the bench: grown KME, trouble-2, a process
// that was killed at the end of its grace).
func TestInstanceEndsWhileTheStoreIsAway(t *testing.T) {
	s := newSite(t)
	a := s.start("a", 1)
	hold := make(chan struct{})
	s.server.answer = func(net.Conn, *http.Request, int) bool { <-hold; return false }
	accept(t, a, "j", "x")
	s.store.SetFault(store.Busy, true)
	close(hold)
	// The output is whole and its write has failed at least once.
	before := s.store.Calls(platform.PathAppend)
	waitFor(t, func() bool { return s.store.Calls(platform.PathAppend) > before+1 })
	ended := make(chan struct{})
	go func() { a.kill(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(testLimit):
		t.Fatal("the instance does not end")
	}
}
