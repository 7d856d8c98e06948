package health

import (
	"math/rand/v2"
	"time"
)

// Phase is what a connection waits for.
type Phase uint8

// The phases of a request on a connection.
const (
	// PhaseConnect waits for the connection.
	PhaseConnect Phase = iota
	// PhaseFirstByte waits for the first byte of the answer.
	PhaseFirstByte
	// PhaseStream waits for the next chunk of a stream.
	PhaseStream
	// PhaseProbe waits for the answer of a probe on a new connection.
	PhaseProbe
)

const (
	connectTimeout = 500 * time.Millisecond
	probeTimeout   = 500 * time.Millisecond
	// A gap of gapFactor times what is expected, and at least the minimum of
	// the phase, counts as silence. Time between tokens is a few tens of
	// milliseconds and rarely above ten times that.
	gapFactor = 8
	firstMin  = 2 * time.Second
	streamMin = time.Second
	gapMax    = 30 * time.Second
)

// GapTimeout returns how long a connection may be silent in a phase. expected
// is the expected time to the first byte or between chunks.
func GapTimeout(p Phase, expected time.Duration) time.Duration {
	switch p {
	case PhaseConnect:
		return connectTimeout
	case PhaseProbe:
		return probeTimeout
	case PhaseFirstByte:
		return min(max(gapFactor*expected, firstMin), gapMax)
	default:
		return min(max(gapFactor*expected, streamMin), gapMax)
	}
}

// ProbeResult is the outcome of a probe on a new connection.
type ProbeResult uint8

// The outcomes of a probe.
const (
	// ProbeOK: the server answered on a new connection.
	ProbeOK ProbeResult = iota
	// ProbeRefused: the server refused the connection; it is dead.
	ProbeRefused
	// ProbeTimedOut: no answer within the timeout either.
	ProbeTimedOut
)

// StallAction is what to do about a silent connection.
type StallAction uint8

// The actions for a silent connection.
const (
	// KeepWaiting: the server is slow, the connection may be sound.
	KeepWaiting StallAction = iota
	// ProbeServer: probe the server on a new connection.
	ProbeServer
	// Reconnect: the path of this connection is dead and the server is well.
	// Close the connection and resume on a new one.
	Reconnect
	// FailOver: the server does not answer. Close the connection, count a
	// failure of the server and resume elsewhere.
	FailOver
)

// StallDetector follows one request's connection from its first gap timeout. The
// zero value is ready to use.
type StallDetector struct {
	gaps int
}

// GapTimedOut is called when the gap timeout has passed without a byte. The timeout
// starts again after it.
func (s *StallDetector) GapTimedOut() StallAction {
	s.gaps++
	return ProbeServer
}

// Received is called when a byte has arrived.
func (s *StallDetector) Received() { s.gaps = 0 }

// Probed is called with the result of a probe. progress says that the probe's
// answer (the server's load report or state) shows that the request still runs
// or waits there; then the first gap is taken as slowness, and the second as a
// dead path.
func (s *StallDetector) Probed(r ProbeResult, progress bool) StallAction {
	switch {
	case r != ProbeOK:
		return FailOver
	case progress && s.gaps < 2:
		return KeepWaiting
	default:
		return Reconnect
	}
}

const (
	// DefaultMaxConnAge is the age at which a pooled connection is not used again.
	// Connections that go silent while idle are not noticed otherwise.
	DefaultMaxConnAge = 60 * time.Second
	ageJitter         = 0.2
)

// MaxConnAge returns the age limit of a new connection: base less up to a fifth, so
// that connections opened together do not close together.
func MaxConnAge(base time.Duration, rng *rand.Rand) time.Duration {
	return base - time.Duration(rng.Float64()*ageJitter*float64(base))
}
