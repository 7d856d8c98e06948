package serving

import (
	"testing"
	"time"
)

// registered returns a registry with servers a, b and c that was read last at epoch.
func registered() *Registry {
	r := NewRegistry()
	for _, id := range []string{"a", "b", "c"} {
		r.Put(&Server{ID: id})
	}
	r.RecordRead(epoch)
	return r
}

// Guards against requests to a server that left after an outage of the store: its entry was removed, and
// the instance took it for one that had expired in the outage.
func TestServerThatLeavesAfterAnOutageIsDropped(t *testing.T) {
	r := registered()
	r.StoreUnavailable()
	recovered := epoch.Add(7 * time.Second)
	if !r.RecordRead(recovered) || r.Remove(recovered, "a") || r.Remove(recovered, "b") {
		t.Fatal("an entry that expired in an outage of 7 s counts as removed")
	}
	r.RecordRead(recovered.Add(time.Second))
	r.Put(&Server{ID: "b", Sequence: 1})
	left := recovered.Add(2 * time.Second)
	r.RecordRead(left)
	if !r.Remove(left, "b") {
		t.Error("a server that wrote its entry after the outage, and left, is kept")
	}
	if r.Expire(left); !has(r, "a") {
		t.Error("the server whose entry expired is dropped before the end of the grace period")
	}
}

// Guards against an entry from before the outage, read only after it, that is taken for one written
// since: the entry expires then, and a live server is dropped.
func TestEntryFromBeforeTheOutageConfirmsNoServer(t *testing.T) {
	r := registered()
	r.StoreUnavailable()
	recovered := epoch.Add(5 * time.Second)
	r.RecordRead(recovered)
	r.Put(&Server{ID: "a", Sequence: 1})
	if r.Remove(recovered, "a") {
		t.Fatal("an entry that expired in the outage counts as removed")
	}
}

// Guards against servers that are kept after they have left, since a read failed in a moment in which no
// entry can have expired, or since this instance alone did not reach the store.
func TestEntriesExpireInLongOutagesOfTheStoreOnly(t *testing.T) {
	for name, c := range map[string]struct {
		gap      time.Duration
		up, kept bool
	}{
		"short":            {DefaultHeartbeat, false, false},
		"long":             {2 * DefaultHeartbeat, false, true},
		"the store was up": {10 * DefaultHeartbeat, true, false},
	} {
		r := registered()
		r.StoreUnavailable()
		now := epoch.Add(c.gap)
		r.RecordRead(now)
		r.Remove(now, "a")
		if c.up {
			r.StoreWasUp(now)
		}
		r.Remove(now, "b")
		if has(r, "a") != c.kept || has(r, "b") != c.kept || !has(r, "c") {
			t.Errorf("%s: servers %v, a and b kept: want %v", name, r.Servers(), c.kept)
		}
	}
}
