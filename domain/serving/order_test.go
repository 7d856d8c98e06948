package serving

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// entry returns an entry of the server "a".
func entry(started, sequence int64, leaving bool) *Server {
	return &Server{ID: "a", Started: started, Sequence: sequence, Leaving: leaving}
}

// Guards against a server that is draining or gone and gets requests again, because the store
// executed one of its heartbeats after its later entries.
func TestOutdatedEntryIsIgnored(t *testing.T) {
	put := func(s *Server) func(*Registry) { return func(r *Registry) { r.Put(s) } }
	remove := func(r *Registry) { r.Remove(epoch, "a") }
	list := func(s *Server) func(*Registry) {
		return func(r *Registry) { r.Put(s); r.Retain(epoch, map[string]bool{"a": true}) }
	}
	listNone := func(r *Registry) { r.Retain(epoch, nil) }
	for name, c := range map[string]struct {
		steps  []func(*Registry)
		usable bool
	}{
		"heartbeats":                         {[]func(*Registry){put(entry(1, 4, false)), put(entry(1, 5, false))}, true},
		"draining":                           {[]func(*Registry){put(entry(1, 4, false)), put(entry(1, 5, true))}, false},
		"held until after the report":        {[]func(*Registry){put(entry(1, 9, false)), put(entry(1, 10, true)), put(entry(1, 8, false))}, false},
		"held, entry removed in between":     {[]func(*Registry){put(entry(1, 7, false)), remove, put(entry(1, 9, false)), put(entry(1, 10, true)), put(entry(1, 8, false))}, false},
		"held until after the end":           {[]func(*Registry){put(entry(1, 9, false)), remove, put(entry(1, 8, false))}, false},
		"held, found in a list":              {[]func(*Registry){put(entry(1, 10, true)), list(entry(1, 8, false))}, false},
		"held, gone from the list before":    {[]func(*Registry){put(entry(1, 10, true)), listNone, list(entry(1, 8, false))}, false},
		"report read across a gap":           {[]func(*Registry){put(entry(1, 4, false)), list(entry(1, 12, true)), put(entry(1, 11, false))}, false},
		"expired entry returns":              {[]func(*Registry){put(entry(1, 7, false)), remove, put(entry(1, 8, false))}, true},
		"the same entry again":               {[]func(*Registry){put(entry(1, 7, false)), remove, put(entry(1, 7, false))}, true},
		"started again":                      {[]func(*Registry){put(entry(1, 10, true)), remove, put(entry(2, 1, false))}, true},
		"entry of the start before":          {[]func(*Registry){put(entry(1, 10, false)), put(entry(2, 3, true)), put(entry(1, 11, false))}, false},
		"started again without a start time": {[]func(*Registry){put(entry(0, 10, true)), remove, put(entry(0, 1, false))}, true},
		"started again, its clock was set back": {[]func(*Registry){put(entry(9, 10, true)), remove, func(r *Registry) {
			for n := range int64(maxOutdated) {
				r.Put(entry(5, 1+n, false))
			}
		}}, true},
		"the same outdated entry in many lists": {[]func(*Registry){put(entry(9, 10, true)), func(r *Registry) {
			for range 2 * maxOutdated {
				list(entry(9, 8, false))(r)
			}
		}}, false},
	} {
		r := NewRegistry()
		for _, step := range c.steps {
			step(r)
		}
		if s := r.Servers()["a"]; (s != nil && s.Usable()) != c.usable {
			t.Errorf("%s: %+v, want usable: %v", name, s, c.usable)
		}
	}
}

// Guards against a state that depends on the order in which the store executes the writes of a
// server.
func TestStateIsThatOfTheLastWrite(t *testing.T) {
	const starts, beats = 2, 5
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var entries []*Server
		for started := range int64(starts) {
			for sequence := range int64(beats) {
				entries = append(entries, entry(started+1, sequence+1, sequence >= random.Int64N(beats)))
			}
		}
		last := *entries[len(entries)-1]
		random.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
		r := NewRegistry()
		for _, e := range entries {
			if random.IntN(4) == 0 {
				r.Remove(epoch, "a")
			}
			r.Put(e)
		}
		// A removal before the last write is that of an earlier entry.
		if got := r.Servers()["a"]; got != nil && *got != last || got == nil && r.order.latest["a"].sequence != last.Sequence {
			t.Fatalf("seed %d: %+v, want %+v", seed, got, last)
		}
	}
}

// Guards against memory that grows with each server that was ever removed.
func TestOrderOfRemovedServersIsBounded(t *testing.T) {
	r := NewRegistry()
	r.Put(entry(1, 10, true))
	for i := range 2 * maxRemembered {
		id := fmt.Sprint("s", i)
		r.Put(&Server{ID: id, Started: 1, Sequence: 2})
		r.Remove(epoch, id)
	}
	if n := len(r.order.latest); n > maxRemembered {
		t.Fatalf("%d servers are remembered", n)
	}
	r.Put(entry(1, 8, false))
	r.Put(&Server{ID: fmt.Sprint("s", 2*maxRemembered-1), Started: 1, Sequence: 1})
	if r.Server("a").Usable() || r.Server(fmt.Sprint("s", 2*maxRemembered-1)) != nil {
		t.Fatal("a registered server, or the one that was removed last, is forgotten")
	}
}
