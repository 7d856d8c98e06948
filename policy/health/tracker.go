// Package health finds backend servers that are slow or fail without being
// dead, and connections that have gone silent.
//
// A Tracker lowers the weight of such a server gradually, probes it, and gives
// the weight back in steps. It never takes away more than a share of the fleet.
// Nothing here does I/O or reads a clock.
package health

import (
	"math"
	"slices"
	"time"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of action.
const (
	ActionSetWeight ActionKind = iota
	ActionProbe
)

// Action is a change that the tracker asks for.
type Action struct {
	Kind   ActionKind
	Server string
	// Weight is 0 (ejected) to 1, with SetWeight.
	Weight float64
}

// Sample is the end of one request or probe.
type Sample struct {
	OK bool
	// LatencyRatio is the measured time as a multiple of what is expected for this
	// request on this server; zero when it was not measured.
	LatencyRatio float64
	// Dead is set when the server refused the connection or broke all of them.
	Dead bool
	// Probe is set for the answer of a probe.
	Probe bool
}

const (
	// EvaluateInterval is the time between calls of Evaluate.
	EvaluateInterval = time.Second
	// DefaultMaxEjectedShare is the share of the fleet that may be ejected at once.
	DefaultMaxEjectedShare = 0.3

	failShare = 0.1
	slowShare = 0.1
	// minSamples are needed before a rate means anything.
	minSamples = 5
	// failLow lowers the weight, failHigh ejects.
	failLow  = 0.1
	failHigh = 0.5
	// deadRow failures in a row eject at once.
	deadRow = 3
	// slowLow times the fleet's median slowness lowers the weight.
	slowLow = 2.0
	// Down is the factor of one gradual loss. Trickle is the lowest weight of
	// a server that is not ejected; its requests show when it has recovered.
	down    = 0.6
	trickle = 0.05
	// capped is the weight of a server that would be ejected but for the cap.
	// When the whole fleet fails, that is its cause and not the servers; much
	// lower weights would send the load after it to the few others.
	capped = 0.25
	// probeInterval is the time between probes of an ejected server, and
	// probesToReturn the successful ones in a row that bring it back.
	probeInterval  = time.Second
	probesToReturn = 2
)

// steps are the weights on the way back, one for each EvaluateInterval.
var steps = [...]float64{0.1, 0.25, 0.5, 1}

type state struct {
	weight   float64
	fail     float64
	slow     float64
	samples  int
	row      int
	ejected  bool
	probes   int
	probedAt time.Time
	bad      bool // a failure since the last Evaluate
}

// Tracker holds the health of the servers that one instance uses.
type Tracker struct {
	limit   float64
	servers map[string]*state
	names   []string
	scratch []float64
}

// NewTracker returns a tracker that ejects at most the share limit of the
// fleet; zero is DefaultCap.
func NewTracker(limit float64) *Tracker {
	if limit <= 0 {
		limit = DefaultMaxEjectedShare
	}
	return &Tracker{limit: limit, servers: map[string]*state{}}
}

// Add begins to track a server. A known server keeps its state.
func (t *Tracker) Add(server string) {
	if _, ok := t.servers[server]; ok {
		return
	}
	t.servers[server] = &state{weight: 1}
	i, _ := slices.BinarySearch(t.names, server)
	t.names = slices.Insert(t.names, i, server)
}

// Remove forgets a server.
func (t *Tracker) Remove(server string) {
	delete(t.servers, server)
	if i, ok := slices.BinarySearch(t.names, server); ok {
		t.names = slices.Delete(t.names, i, i+1)
	}
}

// Weight returns a server's weight; 1 for an unknown server.
func (t *Tracker) Weight(server string) float64 {
	if s := t.servers[server]; s != nil {
		return s.weight
	}
	return 1
}

// Ejected returns the number of ejected servers.
func (t *Tracker) Ejected() int {
	n := 0
	for _, s := range t.servers {
		if s.ejected {
			n++
		}
	}
	return n
}

// Observe takes in a sample and appends to dst what it asks for at once: a dead
// server is ejected without waiting for Evaluate.
func (t *Tracker) Observe(now time.Time, server string, v Sample, dst []Action) []Action {
	s := t.servers[server]
	if s == nil {
		return dst
	}
	if v.Probe {
		s.probe(v)
		return dst
	}
	s.samples++
	if !v.OK {
		s.fail += failShare * (1 - s.fail)
		s.row++
		s.bad = true
		if v.Dead || s.row >= deadRow {
			return t.eject(now, server, s, dst)
		}
		return dst
	}
	s.row = 0
	s.fail -= failShare * s.fail
	if v.LatencyRatio > 0 {
		if s.slow == 0 {
			s.slow = 1
		}
		s.slow += slowShare * (v.LatencyRatio - s.slow)
	}
	return dst
}

func (s *state) probe(v Sample) {
	if v.OK && v.LatencyRatio < slowLow {
		s.probes++
		return
	}
	s.probes = 0
}

// eject takes away the whole weight, or a part of it when the cap is reached.
func (t *Tracker) eject(now time.Time, server string, s *state, dst []Action) []Action {
	if s.ejected {
		return dst
	}
	if t.Ejected() >= t.maxEjected() {
		return s.set(server, min(s.weight, capped), dst)
	}
	s.ejected, s.probes, s.probedAt = true, 0, now
	return s.set(server, 0, dst)
}

// maxEjected is the cap in servers: one of two or three, none of one.
func (t *Tracker) maxEjected() int {
	n := len(t.servers)
	if n < 2 {
		return 0
	}
	return max(1, int(t.limit*float64(n)))
}

// Evaluate appends to dst the changes of weight and the probes that are due. It
// is called each EvaluateInterval.
func (t *Tracker) Evaluate(now time.Time, dst []Action) []Action {
	median := t.median()
	for _, name := range t.names {
		s := t.servers[name]
		switch {
		case s.ejected:
			dst = s.whileEjected(now, name, dst)
		case s.samples >= minSamples && s.fail >= failHigh:
			dst = t.eject(now, name, s, dst)
		case s.samples >= minSamples && (s.fail >= failLow && s.bad || s.slow > slowLow*median):
			dst = s.set(name, max(trickle, s.weight*down), dst)
		case s.weight < 1 && !s.bad:
			dst = s.set(name, nextStep(s.weight), dst)
		}
		s.bad = false
	}
	return dst
}

func (s *state) whileEjected(now time.Time, name string, dst []Action) []Action {
	if s.probes >= probesToReturn {
		s.ejected, s.fail, s.slow, s.row, s.samples = false, 0, 0, 0, 0
		return s.set(name, steps[0], dst)
	}
	if now.Sub(s.probedAt) >= probeInterval {
		s.probedAt = now
		dst = append(dst, Action{Kind: ActionProbe, Server: name})
	}
	return dst
}

func (s *state) set(name string, weight float64, dst []Action) []Action {
	if weight == s.weight {
		return dst
	}
	s.weight = weight
	return append(dst, Action{Kind: ActionSetWeight, Server: name, Weight: weight})
}

func nextStep(weight float64) float64 {
	for _, w := range steps {
		if w > weight {
			return w
		}
	}
	return 1
}

// median returns the fleet's median slowness, at least 1, so that a fleet that
// is slow as a whole, for example under load, loses no weight.
func (t *Tracker) median() float64 {
	t.scratch = t.scratch[:0]
	for _, name := range t.names {
		if s := t.servers[name]; s.slow > 0 {
			t.scratch = append(t.scratch, s.slow)
		}
	}
	if len(t.scratch) == 0 {
		return math.Inf(1)
	}
	slices.Sort(t.scratch)
	// The lower median keeps one slow server of two from setting the standard.
	return max(1, t.scratch[(len(t.scratch)-1)/2])
}
