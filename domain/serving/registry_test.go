package serving

import (
	"testing"
	"time"
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func has(r *Registry, id string) bool { return r.Servers()[id] != nil }

// Guards against work for a server whose entry was removed, and against servers being
// dropped because their entries lapsed while the store was away.
func TestRemovedAndLapsedEntries(t *testing.T) {
	r := NewRegistry()
	for _, id := range []string{"a", "b", "c", "leaving"} {
		r.Put(&Server{ID: id, Leaving: id == "leaving"})
	}
	if !r.Remove(epoch, "a") || has(r, "a") {
		t.Fatal("a removed entry stays")
	}
	r.StoreUnavailable()
	if r.Remove(epoch, "b") || r.Remove(epoch, "c") || !has(r, "b") {
		t.Fatal("an entry that lapsed in an outage is dropped at once")
	}
	if !r.Remove(epoch, "leaving") {
		t.Fatal("a server that announced its leaving is kept")
	}
	if gone := r.Expire(epoch.Add(time.Hour)); len(gone) != 0 {
		t.Fatalf("%v dropped while the store is away", gone)
	}
	back := epoch.Add(time.Hour)
	r.StoreRecovered(back)
	r.Put(&Server{ID: "b"}) // it has returned
	if gone := r.Expire(back.Add(ReregistrationGrace - 1)); len(gone) != 0 {
		t.Fatalf("%v dropped too early", gone)
	}
	if gone := r.Expire(back.Add(ReregistrationGrace)); len(gone) != 1 || gone[0] != "c" || !has(r, "b") {
		t.Fatalf("%v dropped, want c", gone)
	}
	if !r.Remove(back.Add(ReregistrationGrace), "b") {
		t.Fatal("a removal in calm times is put off")
	}
}

// Guards against a listing that misses a server leaving it in use for ever.
func TestRetain(t *testing.T) {
	r := NewRegistry()
	r.Put(&Server{ID: "a"})
	r.Put(&Server{ID: "b"})
	if gone := r.Retain(epoch, map[string]bool{"a": true}); len(gone) != 1 || gone[0] != "b" {
		t.Fatalf("dropped %v", gone)
	}
}

// Guards against heartbeats being taken for changes, and a restart under the old id
// for a heartbeat.
func TestPutReportsChanges(t *testing.T) {
	r := NewRegistry()
	if !r.Put(&Server{ID: "a", Started: 1}) || r.Put(&Server{ID: "a", Started: 1}) || !r.Put(&Server{ID: "a", Started: 2}) {
		t.Fatal("changes are not told from heartbeats")
	}
}
