// Package health detects unhealthy backend servers and stalled connections.
//
// A Tracker reduces the load-balancing weight of a server that is slow or fails
// some requests, ejects one that fails many, probes ejected servers and restores
// the weight in steps. It ejects at most a share of the fleet at once. A
// StallDetector tells a slow server from a broken connection. The package does no
// I/O and reads no clock.
package health

import (
	"math"
	"slices"
	"time"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	ActionSetWeight ActionKind = iota
	ActionProbe
)

// Action is a request of the Tracker to set a server's weight or to probe the
// server.
type Action struct {
	Kind   ActionKind
	Server string
	// Weight is set with ActionSetWeight, from 0 (ejected) to 1.
	Weight float64
}

// Sample is the outcome of a request or a probe.
type Sample struct {
	OK bool
	// LatencyRatio is the measured time as a multiple of the time expected for
	// this request on this server; zero when it was not measured.
	LatencyRatio float64
	// Dead is set when the server refused the connection or closed all of its
	// connections.
	Dead bool
	// Probe is set for the outcome of a probe.
	Probe bool
}

const (
	// EvaluateInterval is the time between calls of Evaluate.
	EvaluateInterval = time.Second
	// DefaultMaxEjectedShare is the share of the fleet that may be ejected at
	// once.
	DefaultMaxEjectedShare = 0.3

	// failureAlpha and latencyAlpha are the weights of a new sample in the
	// exponentially weighted moving averages.
	failureAlpha = 0.1
	latencyAlpha = 0.1
	// minSamples is the number of samples below which the moving averages are
	// not used.
	minSamples = 5
	// From degradedFailureRate the weight is reduced, from ejectFailureRate the
	// server is ejected.
	degradedFailureRate = 0.1
	ejectFailureRate    = 0.5
	// ejectConsecutiveFailures eject a server without waiting for Evaluate.
	ejectConsecutiveFailures = 3
	// slowLatencyRatio is the multiple of the fleet's median latency ratio above
	// which the weight is reduced.
	slowLatencyRatio = 2.0
	// weightReduction is the factor by which one Evaluate reduces a weight.
	weightReduction = 0.6
	// minWeight is the lowest weight of a server that is not ejected. Its few
	// requests show when it has recovered.
	minWeight = 0.05
	// cappedWeight is the weight of a server that is not ejected only because of
	// the limit on ejections. When the whole fleet fails, the cause is not in the
	// servers, and with much lower weights the few others would get all the load
	// afterwards.
	cappedWeight = 0.25
	// probeInterval is the time between probes of an ejected server.
	probeInterval = time.Second
	// probesToReadmit is the number of consecutive successful probes after which
	// a server is no longer ejected.
	probesToReadmit = 2
)

// recoveryWeights are the weights of a recovering server. It advances by one each
// EvaluateInterval.
var recoveryWeights = [...]float64{0.1, 0.25, 0.5, 1}

type serverState struct {
	weight              float64
	failureRate         float64 // moving average
	latencyRatio        float64 // moving average; zero before the first sample
	samples             int
	consecutiveFailures int
	ejected             bool
	probeSuccesses      int
	lastProbeAt         time.Time
	failedRecently      bool // a failure since the last Evaluate
}

// Tracker holds the health of the servers that one instance uses.
type Tracker struct {
	maxEjectedShare float64
	servers         map[string]*serverState
	sortedNames     []string
	scratch         []float64
}

// NewTracker returns a tracker that ejects at most maxEjectedShare of the fleet.
// Zero stands for DefaultMaxEjectedShare.
func NewTracker(maxEjectedShare float64) *Tracker {
	if maxEjectedShare <= 0 {
		maxEjectedShare = DefaultMaxEjectedShare
	}
	return &Tracker{maxEjectedShare: maxEjectedShare, servers: map[string]*serverState{}}
}

// Add starts to track a server. A known server keeps its state.
func (t *Tracker) Add(server string) {
	if _, ok := t.servers[server]; ok {
		return
	}
	t.servers[server] = &serverState{weight: 1}
	i, _ := slices.BinarySearch(t.sortedNames, server)
	t.sortedNames = slices.Insert(t.sortedNames, i, server)
}

// Remove removes a server with its state.
func (t *Tracker) Remove(server string) {
	delete(t.servers, server)
	if i, ok := slices.BinarySearch(t.sortedNames, server); ok {
		t.sortedNames = slices.Delete(t.sortedNames, i, i+1)
	}
}

// Weight returns a server's weight, or 1 for an unknown server.
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

// Observe records a sample and appends to dst the actions that cannot wait for
// Evaluate: a dead server is ejected at once.
func (t *Tracker) Observe(now time.Time, server string, v Sample, dst []Action) []Action {
	s := t.servers[server]
	if s == nil {
		return dst
	}
	if v.Probe {
		s.recordProbe(v)
		return dst
	}
	s.samples++
	if !v.OK {
		s.failureRate += failureAlpha * (1 - s.failureRate)
		s.consecutiveFailures++
		s.failedRecently = true
		if v.Dead || s.consecutiveFailures >= ejectConsecutiveFailures {
			return t.eject(now, server, s, dst)
		}
		return dst
	}
	s.consecutiveFailures = 0
	s.failureRate -= failureAlpha * s.failureRate
	if v.LatencyRatio > 0 {
		if s.latencyRatio == 0 {
			s.latencyRatio = 1
		}
		s.latencyRatio += latencyAlpha * (v.LatencyRatio - s.latencyRatio)
	}
	return dst
}

func (s *serverState) recordProbe(v Sample) {
	if v.OK && v.LatencyRatio < slowLatencyRatio {
		s.probeSuccesses++
		return
	}
	s.probeSuccesses = 0
}

// eject ejects a server. When the limit on ejections is reached, it reduces the
// weight instead.
func (t *Tracker) eject(now time.Time, server string, s *serverState, dst []Action) []Action {
	if s.ejected {
		return dst
	}
	if t.Ejected() >= t.maxEjected() {
		return s.setWeight(server, min(s.weight, cappedWeight), dst)
	}
	s.ejected, s.probeSuccesses, s.lastProbeAt = true, 0, now
	return s.setWeight(server, 0, dst)
}

// maxEjected returns how many servers may be ejected: with the default share none
// of one and one of two or three.
func (t *Tracker) maxEjected() int {
	n := len(t.servers)
	if n < 2 {
		return 0
	}
	return max(1, int(t.maxEjectedShare*float64(n)))
}

// Evaluate appends to dst the weight changes and probes that are due. It is called
// once each EvaluateInterval.
func (t *Tracker) Evaluate(now time.Time, dst []Action) []Action {
	median := t.medianLatencyRatio()
	for _, name := range t.sortedNames {
		s := t.servers[name]
		switch {
		case s.ejected:
			dst = s.probeOrReadmit(now, name, dst)
		case s.samples >= minSamples && s.failureRate >= ejectFailureRate:
			dst = t.eject(now, name, s, dst)
		case s.samples >= minSamples && (s.failureRate >= degradedFailureRate && s.failedRecently || s.latencyRatio > slowLatencyRatio*median):
			dst = s.setWeight(name, max(minWeight, s.weight*weightReduction), dst)
		case s.weight < 1 && !s.failedRecently:
			dst = s.setWeight(name, nextRecoveryWeight(s.weight), dst)
		}
		s.failedRecently = false
	}
	return dst
}

func (s *serverState) probeOrReadmit(now time.Time, name string, dst []Action) []Action {
	if s.probeSuccesses >= probesToReadmit {
		s.ejected, s.failureRate, s.latencyRatio, s.consecutiveFailures, s.samples = false, 0, 0, 0, 0
		return s.setWeight(name, recoveryWeights[0], dst)
	}
	if now.Sub(s.lastProbeAt) >= probeInterval {
		s.lastProbeAt = now
		dst = append(dst, Action{Kind: ActionProbe, Server: name})
	}
	return dst
}

func (s *serverState) setWeight(name string, weight float64, dst []Action) []Action {
	if weight == s.weight {
		return dst
	}
	s.weight = weight
	return append(dst, Action{Kind: ActionSetWeight, Server: name, Weight: weight})
}

// nextRecoveryWeight returns the first recovery weight above weight.
func nextRecoveryWeight(weight float64) float64 {
	for _, w := range recoveryWeights {
		if w > weight {
			return w
		}
	}
	return 1
}

// medianLatencyRatio returns the median latency ratio of the fleet, at least 1.
// Servers are compared with it, so that no weight is reduced when the whole fleet
// is slow, for example under load. Without samples it is infinite.
func (t *Tracker) medianLatencyRatio() float64 {
	t.scratch = t.scratch[:0]
	for _, name := range t.sortedNames {
		if s := t.servers[name]; s.latencyRatio > 0 {
			t.scratch = append(t.scratch, s.latencyRatio)
		}
	}
	if len(t.scratch) == 0 {
		return math.Inf(1)
	}
	slices.Sort(t.scratch)
	// The lower median is used so that in a fleet of two a single slow server does
	// not determine it.
	return max(1, t.scratch[(len(t.scratch)-1)/2])
}
