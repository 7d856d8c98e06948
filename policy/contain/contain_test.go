package contain

import (
	"testing"
	"time"
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// Guards against a request that crashes servers reaching more than three of them, and
// against being held back for ever.
func TestHeldAfterThreeServers(t *testing.T) {
	l := NewLedger()
	for n := range uint32(Most) {
		if l.Held(epoch, 1) {
			t.Fatalf("held after %d servers", n)
		}
		if held := l.Broke(epoch, 1, n); held != (n == Most-1) {
			t.Fatalf("server %d: held %v", n, held)
		}
	}
	if !l.Held(epoch.Add(Memory-1), 1) || l.Held(epoch.Add(Memory), 1) {
		t.Fatal("not held for the time that it should be")
	}
	if l.Held(epoch, 2) {
		t.Fatal("another request is held")
	}
}

// Guards against harmless requests being held back: one server that breaks again and
// again, and requests that have been answered.
func TestHarmlessRequestsAreNotHeld(t *testing.T) {
	l := NewLedger()
	for range 10 {
		l.Broke(epoch, 1, 7)
	}
	if l.Held(epoch, 1) {
		t.Fatal("held for the breaks of one server")
	}
	l.Broke(epoch, 2, 1)
	if !l.Answered(2) || l.Answered(2) || l.Answered(3) {
		t.Fatal("the first answer after a break is not told from others")
	}
	for n := range uint32(10) {
		l.Broke(epoch, 2, n)
	}
	if l.Held(epoch, 2) {
		t.Fatal("held although it was answered")
	}
}

// Guards against a ledger that grows with every request.
func TestLedgerIsBounded(t *testing.T) {
	l := NewLedger()
	l.Hold(epoch.Add(time.Hour), 1)
	for f := range Fingerprint(largest + 100) {
		l.Broke(epoch, f+10, 1)
	}
	if len(l.entries) > largest || !l.Held(epoch.Add(time.Hour), 1) {
		t.Fatalf("%d entries", len(l.entries))
	}
}
