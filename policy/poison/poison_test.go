package poison

import (
	"testing"
	"time"
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// Guards against a request that crashes more than MaxServers servers, and against a request
// that stays blocked after FailureTTL.
func TestBlockedAfterMaxServers(t *testing.T) {
	tracker := NewTracker()
	for n := range uint32(MaxServers) {
		if tracker.Blocked(epoch, 1) {
			t.Fatalf("blocked after %d servers", n)
		}
		if blocked := tracker.RecordFailure(epoch, 1, n); blocked != (n == MaxServers-1) {
			t.Fatalf("server %d: blocked %v", n, blocked)
		}
	}
	if !tracker.Blocked(epoch.Add(FailureTTL-1), 1) || tracker.Blocked(epoch.Add(FailureTTL), 1) {
		t.Fatal("not blocked for exactly FailureTTL")
	}
	if tracker.Blocked(epoch, 2) {
		t.Fatal("a request without failures is blocked")
	}
}

// Guards against harmless requests being blocked: those that fail repeatedly on one faulty
// server, and those that have been answered.
func TestHarmlessRequestsAreNotBlocked(t *testing.T) {
	tracker := NewTracker()
	for range 10 {
		tracker.RecordFailure(epoch, 1, 7)
	}
	if tracker.Blocked(epoch, 1) {
		t.Fatal("blocked after failures on one server")
	}
	tracker.RecordFailure(epoch, 2, 1)
	if !tracker.RecordSuccess(2) || tracker.RecordSuccess(2) || tracker.RecordSuccess(3) {
		t.Fatal("only the first answer after a failure reports a failed request")
	}
	for n := range uint32(10) {
		tracker.RecordFailure(epoch, 2, n)
	}
	if tracker.Blocked(epoch, 2) {
		t.Fatal("blocked although it was answered")
	}
}

// Guards against a tracker that grows with every request.
func TestTrackerIsBounded(t *testing.T) {
	tracker := NewTracker()
	tracker.Block(epoch.Add(time.Hour), 1)
	for f := range Fingerprint(maxRequests + 100) {
		tracker.RecordFailure(epoch, f+10, 1)
	}
	if len(tracker.requests) > maxRequests || !tracker.Blocked(epoch.Add(time.Hour), 1) {
		t.Fatalf("%d requests kept, or a blocked request was evicted", len(tracker.requests))
	}
}
