package health

import (
	"math/rand/v2"
	"time"
)

// Phase is the phase of a request on a connection.
type Phase uint8

const (
	// PhaseConnect waits for the connection to be established.
	PhaseConnect Phase = iota
	// PhaseFirstByte waits for the first byte of the answer.
	PhaseFirstByte
	// PhaseStream waits for the next chunk of a stream.
	PhaseStream
	// PhaseProbe waits for the answer to a probe on a new connection.
	PhaseProbe
)

const (
	connectTimeout = 500 * time.Millisecond
	probeTimeout   = 500 * time.Millisecond
	// The gap timeout is gapTimeoutFactor times the expected time, but not less
	// than the minimum of the phase and not more than gapMax. The time between
	// tokens is a few tens of milliseconds and rarely above ten times that.
	gapTimeoutFactor = 8
	firstByteGapMin  = 2 * time.Second
	streamGapMin     = time.Second
	gapMax           = 30 * time.Second
)

// GapTimeout returns how long a connection may receive no data in a phase before
// it counts as stalled. expected is the expected time to the first byte or between
// chunks.
func GapTimeout(p Phase, expected time.Duration) time.Duration {
	switch p {
	case PhaseConnect:
		return connectTimeout
	case PhaseProbe:
		return probeTimeout
	case PhaseFirstByte:
		return min(max(gapTimeoutFactor*expected, firstByteGapMin), gapMax)
	default:
		return min(max(gapTimeoutFactor*expected, streamGapMin), gapMax)
	}
}

// ProbeResult is the outcome of a probe on a new connection.
type ProbeResult uint8

const (
	// ProbeOK means that the server answered.
	ProbeOK ProbeResult = iota
	// ProbeRefused means that the server refused the connection: it is dead.
	ProbeRefused
	// ProbeTimedOut means that the server did not answer within the timeout.
	ProbeTimedOut
)

// StallAction is what to do about a stalled connection.
type StallAction uint8

const (
	// KeepWaiting means that the server is slow and the connection may work.
	KeepWaiting StallAction = iota
	// ProbeServer means to probe the server on a new connection.
	ProbeServer
	// Reconnect means that this connection is broken and the server is healthy:
	// close the connection and resume on a new one.
	Reconnect
	// FailOver means that the server does not answer: close the connection, count
	// a failure of the server and resume on another server.
	FailOver
)

// StallDetector decides what to do when one request's connection receives no
// data. The zero value is ready to use.
type StallDetector struct {
	timeouts int // gap timeouts since the last data
}

// GapTimedOut is called when the gap timeout has passed without data. The timeout
// then starts again.
func (s *StallDetector) GapTimedOut() StallAction {
	s.timeouts++
	return ProbeServer
}

// Received is called when data has arrived.
func (s *StallDetector) Received() { s.timeouts = 0 }

// Probed is called with the result of a probe. progress is set when the answer to
// the probe (the server's load report or its state) shows that the request still
// runs or waits there. In that case the first gap timeout is attributed to a slow server
// and the second one to a broken connection.
func (s *StallDetector) Probed(r ProbeResult, progress bool) StallAction {
	switch {
	case r != ProbeOK:
		return FailOver
	case progress && s.timeouts < 2:
		return KeepWaiting
	default:
		return Reconnect
	}
}

const (
	// DefaultMaxConnAge is the age from which a pooled connection is not reused.
	// A connection that broke while idle is not detected otherwise.
	DefaultMaxConnAge = 60 * time.Second
	connAgeJitter     = 0.2
)

// MaxConnAge returns the age limit of a new connection: base less up to a fifth, so
// that connections opened together are not all closed at once.
func MaxConnAge(base time.Duration, rng *rand.Rand) time.Duration {
	return base - time.Duration(rng.Float64()*connAgeJitter*float64(base))
}
