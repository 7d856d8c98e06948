package contain

import (
	"testing"
	"time"
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// Guards against a request that crashes servers reaching more than three of them, and
// against being held back for ever.
func TestHeldAfterThreeServers(t *testing.T) {
	l := NewTracker()
	for n := range uint32(MaxServers) {
		if l.Blocked(epoch, 1) {
			t.Fatalf("held after %d servers", n)
		}
		if held := l.RecordFailure(epoch, 1, n); held != (n == MaxServers-1) {
			t.Fatalf("server %d: held %v", n, held)
		}
	}
	if !l.Blocked(epoch.Add(FailureTTL-1), 1) || l.Blocked(epoch.Add(FailureTTL), 1) {
		t.Fatal("not held for the time that it should be")
	}
	if l.Blocked(epoch, 2) {
		t.Fatal("another request is held")
	}
}

// Guards against harmless requests being held back: one server that breaks again and
// again, and requests that have been answered.
func TestHarmlessRequestsAreNotHeld(t *testing.T) {
	l := NewTracker()
	for range 10 {
		l.RecordFailure(epoch, 1, 7)
	}
	if l.Blocked(epoch, 1) {
		t.Fatal("held for the breaks of one server")
	}
	l.RecordFailure(epoch, 2, 1)
	if !l.RecordSuccess(2) || l.RecordSuccess(2) || l.RecordSuccess(3) {
		t.Fatal("the first answer after a break is not told from others")
	}
	for n := range uint32(10) {
		l.RecordFailure(epoch, 2, n)
	}
	if l.Blocked(epoch, 2) {
		t.Fatal("held although it was answered")
	}
}

// Guards against a ledger that grows with every request.
func TestLedgerIsBounded(t *testing.T) {
	l := NewTracker()
	l.Block(epoch.Add(time.Hour), 1)
	for f := range Fingerprint(largest + 100) {
		l.RecordFailure(epoch, f+10, 1)
	}
	if len(l.entries) > largest || !l.Blocked(epoch.Add(time.Hour), 1) {
		t.Fatalf("%d entries", len(l.entries))
	}
}
