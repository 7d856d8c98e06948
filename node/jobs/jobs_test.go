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
	"github.com/jacinthnotch/jacinthnotch/policy/pathselect"
	"github.com/jacinthnotch/jacinthnotch/standin/store"
)

func bodyReader(b []byte) io.Reader { return bytes.NewReader(b) }

// checkResults checks that the results hold the complete output of each item once.
func checkResults(t *testing.T, results []jobs.ItemResult, ids ...string) {
	t.Helper()
	var got []string
	for _, result := range results {
		if result.DeadLetter || string(result.Text) != output(result.ID) {
			t.Fatalf("result %+v, text %q", result, result.Text)
		}
		got = append(got, result.ID)
	}
	slices.Sort(got)
	slices.Sort(ids)
	if !slices.Equal(got, ids) {
		t.Fatalf("listed %v, want %v", got, ids)
	}
}

func submitJob(t *testing.T, i *instance, job string, ids ...string) {
	t.Helper()
	if code, raw := i.call(jobs.Submit, job, submission(ids...)); code != http.StatusAccepted {
		t.Fatalf("submission: %d %s", code, raw)
	}
}

// Guards against the loss of a job when all instances lose power directly after its
// acceptance.
func TestAcceptedJobSurvivesLossOfAllInstances(t *testing.T) {
	s := newCluster(t)
	a := s.start("a", 1)
	release := make(chan struct{})
	s.server.respond = func(net.Conn, *http.Request, int) bool { <-release; return true }
	submitJob(t, a, "j", "x", "y", "z")
	a.kill()
	close(release)
	s.server.mu.Lock()
	s.server.respond = nil
	s.server.mu.Unlock()
	b := s.start("b", 2)
	checkResults(t, b.awaitResults("j", 3), "x", "y", "z")
}

// Guards against results that differ in position or content between instances, and against
// reads that fail on an instance that did not accept the job.
func TestAllInstancesReturnSameResults(t *testing.T) {
	s := newCluster(t)
	a, b := s.start("a", 1), s.start("b", 2)
	submitJob(t, a, "j", "x", "y", "z")
	fromA, fromB := a.awaitResults("j", 3), b.awaitResults("j", 3)
	checkResults(t, fromA, "x", "y", "z")
	for i := range fromA {
		if fromA[i].ID != fromB[i].ID || !bytes.Equal(fromA[i].Text, fromB[i].Text) {
			t.Fatalf("position %d: %+v and %+v", i, fromA[i], fromB[i])
		}
	}
	if code, raw := b.call(jobs.ReadItem, "j", nil, "Item", "y"); code != http.StatusOK || string(raw) != "body of y" {
		t.Fatalf("read item: %d %q", code, raw)
	}
}

// Guards against accepting a job twice when it is resent to another instance, and against
// two results of an item when two instances run the job.
func TestResentJobHasOneResultPerItem(t *testing.T) {
	s := newCluster(t)
	a, b := s.start("a", 1), s.start("b", 2)
	// After the two submissions, each instance considers the other one lost.
	submitJob(t, a, "j", "x", "y")
	submitJob(t, b, "j", "x", "y")
	s.members.set("a", 0)
	s.members.set("b", 0)
	results := b.awaitResults("j", 2)
	checkResults(t, results, "x", "y")
	if code, raw := a.call(jobs.ReadResults, "j", nil, "From", "2"); code != http.StatusOK || !bytes.Contains(raw, []byte(`"Total":2`)) {
		t.Fatalf("results after both: %d %s", code, raw)
	}
}

// Guards against refusing a job that the store has stored, and against accepting a job that
// it has not stored.
func TestStoreFaultsAtSubmission(t *testing.T) {
	cases := map[string]struct {
		fault store.Fault
		code  int
	}{
		"unavailable": {store.Unavailable, http.StatusServiceUnavailable},
		// The items are written before the acceptance; a failure there refuses the job.
		"reset": {store.ResetConnection, http.StatusServiceUnavailable},
		"lost":  {store.LoseResponse, http.StatusServiceUnavailable},
		"late":  {store.DelayAppend, http.StatusServiceUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newCluster(t)
			a := s.start("a", 1)
			s.store.SetFault(c.fault, true)
			if code, raw := a.call(jobs.Submit, "j", submission("x")); code != c.code {
				t.Fatalf("%d %s", code, raw)
			}
			s.store.SetFault(store.NoFault, false)
			s.store.ApplyDelayed()
			if code, raw := a.call(jobs.ReadResults, "j", nil); code != http.StatusNotFound {
				t.Fatalf("results of a refused job: %d %s, want 404", code, raw)
			}
			if n := s.server.count("x"); n != 0 {
				t.Fatalf("an item of a refused job ran %d times", n)
			}
		})
	}
}

// Guards against submissions that wait for a store that is known to be unavailable, and
// against store calls for each of them.
func TestSubmissionIsRefusedImmediatelyWhileStoreIsUnavailable(t *testing.T) {
	for _, reachability := range []pathselect.Reachability{pathselect.Unreachable, pathselect.Isolated} {
		s := newCluster(t)
		a := s.start("a", 1)
		s.store.SetFault(store.Unavailable, true)
		a.setReachability(reachability)
		if code, raw := a.call(jobs.Submit, "j", submission("x")); code != http.StatusServiceUnavailable {
			t.Fatalf("reachability %v: %d %s", reachability, code, raw)
		}
		if n := s.store.CallCount(platform.PathAppend); n != 0 {
			t.Errorf("reachability %v: %d appends", reachability, n)
		}
		s.store.SetFault(store.NoFault, false)
		a.setReachability(pathselect.ThroughPeers)
		submitJob(t, a, "j", "x")
	}
}

// Guards against refused jobs and delayed results while the store rejects calls to their
// preferred partition but serves others.
func TestBlobsAreWrittenToAnotherPartition(t *testing.T) {
	s := newCluster(t)
	a := s.start("a", 1)
	const partitions = 4 // as in the fixture
	for p := range partitions / 2 {
		s.store.RefusePartition(jobs.BulkTopic, p)
	}
	for n := range partitions {
		id := fmt.Sprint("j", n)
		submitJob(t, a, id, id+"x", id+"y")
		checkResults(t, a.awaitResults(id, 2), id+"x", id+"y")
	}
}

// Guards against lost or duplicate results when the store loses responses to appends, or
// applies appends seconds later.
func TestResultsSurviveLostAndLateAppends(t *testing.T) {
	for _, fault := range []store.Fault{store.LoseResponse, store.DelayAppend, store.Unavailable} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			s := newCluster(t)
			a := s.start("a", 1)
			release := make(chan struct{})
			s.server.respond = func(net.Conn, *http.Request, int) bool { <-release; return false }
			submitJob(t, a, "j", "x", "y")
			s.store.SetFault(fault, true)
			close(release)
			// The server has received both items.
			waitFor(t, func() bool { return s.server.count("x") > 0 && s.server.count("y") > 0 })
			s.store.SetFault(store.NoFault, false)
			s.store.ApplyDelayed()
			checkResults(t, a.awaitResults("j", 2), "x", "y")
		})
	}
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatal("timeout waiting for a condition")
}

// Guards against status 404 for a job that another instance may have accepted while this
// instance cannot read the store.
func TestUnreadableStoreIsNot404(t *testing.T) {
	s := newCluster(t)
	a := s.start("a", 1)
	s.store.SetFault(store.Unavailable, false)
	if code, raw := a.call(jobs.ReadResults, "unknown", nil); code != http.StatusServiceUnavailable {
		t.Fatalf("%d %s", code, raw)
	}
	s.store.SetFault(store.NoFault, false)
	if code, raw := a.call(jobs.ReadResults, "unknown", nil); code != http.StatusNotFound {
		t.Fatalf("%d %s", code, raw)
	}
}

// Guards against running items of a job after its end was acknowledged, and against losing
// results that were written before the end.
func TestEndedJobStops(t *testing.T) {
	s := newCluster(t)
	a, b := s.start("a", 1), s.start("b", 2)
	disconnected := make(chan struct{})
	s.server.respond = func(c net.Conn, r *http.Request, _ int) bool {
		if r.Header.Get("Id") != "slow" {
			return false
		}
		writeHead(c, "slow")
		writeEvent(c, "slow", 1)
		var one [1]byte
		_, _ = c.Read(one[:]) // returns when the cancelled request closes the connection
		close(disconnected)
		return true
	}
	submitJob(t, a, "j", "x", "slow")
	checkResults(t, b.awaitResults("j", 1), "x")
	for range 2 { // a repeated call gets the same response
		if code, raw := b.call(jobs.End, "j", nil); code != http.StatusOK {
			t.Fatalf("%d %s", code, raw)
		}
	}
	<-disconnected
	checkResults(t, a.awaitResults("j", 1), "x")
}

// Guards against retrying an item forever that can never succeed, and against giving up an
// item after one failure.
func TestFailingItems(t *testing.T) {
	s := newCluster(t)
	a := s.start("a", 1)
	s.server.respond = func(c net.Conn, r *http.Request, run int) bool {
		switch id := r.Header.Get("Id"); {
		case id == "never":
			writeStatus(c, id, http.StatusUnprocessableEntity)
		case id == "failing", id == "once" && run == 0:
			writeStatus(c, id, http.StatusInternalServerError)
		default:
			return false
		}
		return true
	}
	submitJob(t, a, "j", "never", "failing", "once")
	for _, result := range a.awaitResults("j", 3) {
		if dead := result.ID != "once"; result.DeadLetter != dead {
			t.Errorf("%s dead: %v", result.ID, result.DeadLetter)
		}
	}
	if n := s.server.count("never"); n != 1 {
		t.Errorf("an item with status 422 ran %d times, want 1", n)
	}
	if n := s.server.count("failing"); n != 3 {
		t.Errorf("a failing item ran %d times, maxAttempts is 3", n)
	}
}

// Guards against missing, duplicate or partial events in the output when a run is
// interrupted and resumed, and against a restart from the first event.
func TestInterruptedRunIsResumed(t *testing.T) {
	s := newCluster(t)
	a := s.start("a", 1)
	resumed := make(chan string, 1)
	s.server.respond = func(c net.Conn, r *http.Request, run int) bool {
		if run > 0 {
			resumed <- r.Header.Get("After")
			return false
		}
		writeHead(c, "x")
		writeEvent(c, "x", 1)
		writeEvent(c, "x", 2)
		fmt.Fprintf(c, "a\r\nid: 3\ndata") // incomplete
		return true
	}
	submitJob(t, a, "j", "x")
	checkResults(t, a.awaitResults("j", 1), "x")
	if after := <-resumed; after != "2" {
		t.Fatalf("resumed after event %q, want 2", after)
	}
}

// Guards against items that wait for a lost instance, and against losing output when an
// instance drains: the next instance continues from the saved output.
func TestDrainHandsOverOutput(t *testing.T) {
	s := newCluster(t)
	a, b := s.start("a", 1), s.start("b", 2)
	eventsSent := make(chan struct{})
	resumed := make(chan string, 1)
	s.server.respond = func(c net.Conn, r *http.Request, run int) bool {
		if run > 0 {
			resumed <- r.Header.Get("After")
			return false
		}
		writeHead(c, "x")
		writeEvent(c, "x", 1)
		writeEvent(c, "x", 2)
		close(eventsSent)
		var one [1]byte
		_, _ = c.Read(one[:])
		return true
	}
	submitJob(t, a, "j", "x")
	<-eventsSent
	// The drain can only save events that were read before it.
	time.Sleep(50 * time.Millisecond)
	s.members.set("a", 0)
	a.runner.Drain(t.Context())
	checkResults(t, b.awaitResults("j", 1), "x")
	if after := <-resumed; after != "2" {
		t.Fatalf("resumed after event %q, want 2", after)
	}
}

// Guards against items without a result or with two when two instances run a job with more
// items than there are slots.
func TestTwoInstancesRunJobLargerThanFreeSlots(t *testing.T) {
	s := newCluster(t)
	a, b := s.start("a", 1), s.start("b", 2)
	release := make(chan struct{})
	s.server.respond = func(net.Conn, *http.Request, int) bool { <-release; return false }
	ids := []string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11"}
	submitJob(t, a, "j", ids...)
	s.members.set("a", 0)
	waitFor(t, func() bool { return s.server.count("0") > 1 })
	close(release)
	checkResults(t, b.awaitResults("j", len(ids)), ids...)
	submitJob(t, a, "next", "n")
	checkResults(t, a.awaitResults("next", 1), "n")
}

// Guards against an instance that does not stop within its grace period because it cannot
// write a result while the store is unavailable, and that is killed at its end.
func TestInstanceStopsWhileStoreIsUnavailable(t *testing.T) {
	s := newCluster(t)
	a := s.start("a", 1)
	release := make(chan struct{})
	s.server.respond = func(net.Conn, *http.Request, int) bool { <-release; return false }
	submitJob(t, a, "j", "x")
	s.store.SetFault(store.Unavailable, true)
	close(release)
	// The output is complete and its write has failed at least once.
	before := s.store.CallCount(platform.PathAppend)
	waitFor(t, func() bool { return s.store.CallCount(platform.PathAppend) > before+1 })
	stopped := make(chan struct{})
	go func() { a.kill(); close(stopped) }()
	select {
	case <-stopped:
	case <-time.After(testTimeout):
		t.Fatal("the instance does not stop")
	}
}
