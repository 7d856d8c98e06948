package serving

import (
	"testing"
	"time"
)

// Guards against a server that said that it is leaving being used again because its entry was
// written or read later, and against one that was started again staying unused.
func TestDepartureLastsUntilANewStart(t *testing.T) {
	at := func(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }
	started := func(seconds float64) int64 { return at(seconds).UnixMilli() }
	type step struct {
		do     func(r *Registry)
		usable bool
	}
	put := func(s *Server) func(*Registry) { return func(r *Registry) { r.Put(s) } }
	says := func(id string, start int64, seconds float64) func(*Registry) {
		return func(r *Registry) { r.RecordDeparture(Departure{id, start, at(seconds)}) }
	}
	first := &Server{ID: "a", Started: started(0)}
	cases := map[string][]step{
		"a later entry says ready":  {{put(first), true}, {says("a", first.Started, 10), false}, {put(first), false}},
		"the entry is removed":      {{put(first), true}, {says("a", first.Started, 10), false}, {func(r *Registry) { r.Remove(at(11), "a") }, false}, {put(first), false}},
		"an entry without a start":  {{put(first), true}, {says("a", first.Started, 10), false}, {put(&Server{ID: "a"}), false}},
		"a new start":               {{put(first), true}, {says("a", first.Started, 10), false}, {put(&Server{ID: "a", Started: started(12)}), true}},
		"start read late":           {{put(first), true}, {says("a", first.Started, 10), false}, {put(&Server{ID: "a", Started: started(8)}), false}},
		"start read late, said on":  {{put(first), true}, {says("a", first.Started, 10), false}, {says("a", first.Started, 14), false}, {put(&Server{ID: "a", Started: started(12)}), false}},
		"before the entry is known": {{says("a", 0, 10), false}, {put(first), false}, {put(&Server{ID: "a", Started: started(12)}), true}},
		"late report of a peer":     {{put(&Server{ID: "a", Started: started(12)}), true}, {says("a", first.Started, 10), true}},
		"another server":            {{put(first), true}, {says("b", 0, 10), true}},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			r := NewRegistry()
			for i, s := range steps {
				s.do(r)
				server := r.Servers()["a"]
				if usable := server != nil && server.Usable(); usable != s.usable {
					t.Fatalf("step %d: usable %v, want %v", i, usable, s.usable)
				}
			}
		})
	}
}

// Guards against departures that use memory without end.
func TestDeparturesAreBounded(t *testing.T) {
	r := NewRegistry()
	r.Put(&Server{ID: "in use"})
	r.RecordDeparture(Departure{Server: "in use", At: epoch})
	for i := range 2 * maxDepartures {
		r.RecordDeparture(Departure{Server: time.Duration(i).String(), At: epoch.Add(time.Duration(i))})
	}
	if n := len(r.departures); n > maxDepartures || r.Servers()["in use"].Usable() {
		t.Fatalf("%d departures, the server in use is usable: %v", n, r.Servers()["in use"].Usable())
	}
}
