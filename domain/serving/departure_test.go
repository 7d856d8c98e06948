package serving

import (
	"testing"
	"time"
)

// Guards against a server that said that it is leaving being used again because its entry was
// written or read later, and against one that was started again staying unused.
func TestDepartureLastsUntilANewStart(t *testing.T) {
	at := func(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }
	started := func(seconds int) *Server { return &Server{ID: "a", Started: at(seconds).UnixMilli()} }
	says := func(id string, s *Server, seconds int) Departure { return Departure{id, s.Started, at(seconds)} }
	for name, c := range map[string]struct {
		entry  *Server
		says   []Departure
		next   *Server
		usable bool
	}{
		"a later entry says ready":  {started(0), []Departure{says("a", started(0), 10)}, started(0), false},
		"an entry without a start":  {started(0), []Departure{says("a", started(0), 10)}, &Server{ID: "a"}, false},
		"a new start":               {started(0), []Departure{says("a", started(0), 10)}, started(12), true},
		"start read late":           {started(0), []Departure{says("a", started(0), 10)}, started(8), false},
		"start read late, said on":  {started(0), []Departure{says("a", started(0), 10), says("a", started(0), 14)}, started(12), false},
		"before the entry is known": {&Server{ID: "b"}, []Departure{says("a", &Server{}, 10)}, started(0), false},
		"late report of a peer":     {started(12), []Departure{says("a", started(0), 10)}, started(12), true},
		"another server":            {started(0), []Departure{says("b", started(0), 10)}, started(0), true},
	} {
		r := NewRegistry()
		r.Put(c.entry)
		for _, d := range c.says {
			r.RecordDeparture(d)
		}
		r.Remove(at(20), "a")
		r.Put(c.next)
		if usable := r.Servers()["a"].Usable(); usable != c.usable {
			t.Errorf("%s: usable %v, want %v", name, usable, c.usable)
		}
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
		t.Fatalf("%d departures", n)
	}
}
