package serving

import (
	"testing"
	"time"
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func has(r *Registry, id string) bool { return r.Servers()[id] != nil }

// Guards against requests being sent to a server whose entry was removed, and against
// live servers being dropped because their entries expired during a store outage.
func TestRemovedAndExpiredEntries(t *testing.T) {
	r := NewRegistry()
	for _, id := range []string{"a", "b", "c", "leaving"} {
		r.Put(&Server{ID: id, Leaving: id == "leaving"})
	}
	if !r.Remove(epoch, "a") || has(r, "a") {
		t.Fatal("removed entry is still registered")
	}
	r.StoreUnavailable()
	if r.Remove(epoch, "b") || r.Remove(epoch, "c") || !has(r, "b") {
		t.Fatal("entry that expired during a store outage was dropped immediately")
	}
	if !r.Remove(epoch, "leaving") {
		t.Fatal("draining server is still registered after its entry was removed")
	}
	if dropped := r.Expire(epoch.Add(time.Hour)); len(dropped) != 0 {
		t.Fatalf("dropped %v while the store is unavailable", dropped)
	}
	recovered := epoch.Add(time.Hour)
	if !r.RecordRead(recovered) {
		t.Fatal("the end of an outage is not noticed")
	}
	r.Put(&Server{ID: "b"}) // registers again
	if dropped := r.Expire(recovered.Add(ReregistrationGrace - 1)); len(dropped) != 0 {
		t.Fatalf("dropped %v before the end of the grace period", dropped)
	}
	if dropped := r.Expire(recovered.Add(ReregistrationGrace)); len(dropped) != 1 || dropped[0] != "c" || !has(r, "b") {
		t.Fatalf("dropped %v, want [c]", dropped)
	}
	if !r.Remove(recovered.Add(ReregistrationGrace), "b") {
		t.Fatal("removal outside an outage and its grace period is delayed")
	}
}

// Guards against a server that is missing from a full listing staying in use.
func TestRetain(t *testing.T) {
	r := NewRegistry()
	r.Put(&Server{ID: "a"})
	r.Put(&Server{ID: "b"})
	if dropped := r.Retain(epoch, map[string]bool{"a": true}); len(dropped) != 1 || dropped[0] != "b" {
		t.Fatalf("dropped %v, want [b]", dropped)
	}
}

// Guards against a heartbeat being reported as a change, and against a restart under
// the same ID being treated as a heartbeat.
func TestPutReportsChanges(t *testing.T) {
	r := NewRegistry()
	if !r.Put(&Server{ID: "a", Started: 1}) || r.Put(&Server{ID: "a", Started: 1}) || !r.Put(&Server{ID: "a", Started: 2}) {
		t.Fatal("Put does not distinguish changes from heartbeats")
	}
}
