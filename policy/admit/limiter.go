// Package admit decides which online requests run, wait or are refused.
//
// A Limiter learns how many requests a server takes before latency grows. A
// Queue holds the requests that find no free place, fair between workspaces,
// and refuses at once those that cannot meet their deadline. Limits bounds the
// work of the instance itself. Nothing here does I/O or reads a clock, and
// nothing is safe for concurrent use.
package admit

import (
	"math"
	"time"
)

// LimiterOptions are the bounds of a Limiter. Zero values are replaced by the
// defaults 1, 1024 and 8.
type LimiterOptions struct {
	Min, Max, Initial int
}

const (
	defaultMin     = 1
	defaultMax     = 1024
	defaultInitial = 8

	// A sample moves the short average by a fifth.
	shortShare = 0.2
	// tolerance is the growth of latency over the uncongested one that is taken
	// as noise.
	tolerance = 1.5
	// smoothing damps each change of the limit.
	smoothing = 0.2
	// minGradient bounds the cut by one sample.
	minGradient = 0.5
	// The uncongested latency is the least of this and the last window of
	// samples, so that a lasting change of the server's speed is learned. If
	// more than half of a window was congested, its least latency would be a
	// congested one; the limit is then cut by probeCut for a moment, so that
	// the next window sees the server without a queue.
	window   = 500
	probeCut = 0.5
	// failureCut is the cut by a failed request.
	failureCut = 0.9
)

// Limiter is the adaptive concurrency limit of one server, after the gradient
// of the uncongested to the present latency.
type Limiter struct {
	opt       LimiterOptions
	limit     float64
	short     float64
	low, last float64 // least latency of this and the last window
	samples   int
	congested int
}

// Sample is one finished request.
type Sample struct {
	// Latency is the measured time to the first token or to the response.
	Latency time.Duration
	// ExpectedLatency is the latency without load for a request of this size, so that
	// large and small requests can be compared. Zero means that all requests
	// are alike.
	ExpectedLatency time.Duration
	// InFlight is the number of requests on the server when this one began.
	InFlight int
	// Failed is set when the server refused or failed the request.
	Failed bool
}

// NewLimiter returns a limiter at its initial limit.
func NewLimiter(opt LimiterOptions) *Limiter {
	if opt.Min <= 0 {
		opt.Min = defaultMin
	}
	if opt.Max <= 0 {
		opt.Max = defaultMax
	}
	if opt.Initial <= 0 {
		opt.Initial = defaultInitial
	}
	l := &Limiter{opt: opt}
	l.set(float64(opt.Initial))
	return l
}

// Limit returns the number of requests that may be on the server at once.
func (l *Limiter) Limit() int { return int(l.limit) }

// Observe learns from one finished request.
func (l *Limiter) Observe(s Sample) {
	if s.Failed {
		l.set(l.limit * failureCut)
		return
	}
	ratio := s.Latency.Seconds()
	if s.ExpectedLatency > 0 {
		ratio /= s.ExpectedLatency.Seconds()
	}
	if ratio <= 0 {
		return
	}
	if l.short == 0 {
		l.short, l.low, l.last = ratio, ratio, ratio
	}
	l.short += shortShare * (ratio - l.short)
	l.low = min(l.low, ratio)
	gradient := min(1, max(minGradient, tolerance*min(l.low, l.last)/l.short))
	if gradient < 1 {
		l.congested++
	}
	if l.samples++; l.samples == window {
		l.renew(ratio)
		return
	}
	// With less than half of the limit in use, low latency says nothing about
	// whether a higher limit would hold.
	if gradient == 1 && float64(s.InFlight) < l.limit/2 {
		return
	}
	next := l.limit*gradient + math.Sqrt(l.limit)
	l.set(l.limit*(1-smoothing) + next*smoothing)
}

func (l *Limiter) renew(ratio float64) {
	if l.congested > window/2 {
		l.set(l.limit * probeCut)
	}
	l.last, l.low = l.low, ratio
	l.samples, l.congested = 0, 0
}

func (l *Limiter) set(v float64) {
	l.limit = min(max(v, float64(l.opt.Min)), float64(l.opt.Max))
}

// Limits bounds the work that one instance holds at once.
type Limits struct {
	// InFlight and Queued are numbers of requests.
	InFlight int
	Queued   int
	// BodyBytes is the memory for request bodies and unfinished answers.
	BodyBytes int64
}

const (
	// A core relays some thousand streams; 2,000 leaves room for bursts.
	inFlightPerCore = 2000
	queuedPerCore   = 500
	// An online request holds about 64 KiB with its buffers.
	bytesPerRequest = 64 << 10
	// bodyShare of the memory may be held by bodies.
	bodyShare = 4
	minCores  = 0.25
)

// InstanceLimits returns the limits of an instance with the given cores, which
// may be a fraction, and memory in bytes.
func InstanceLimits(cores float64, memory int64) Limits {
	cores = max(cores, minCores)
	body := max(memory/bodyShare, 1<<20)
	byMemory := int(body / bytesPerRequest)
	inFlight := max(1, min(int(cores*inFlightPerCore), byMemory))
	return Limits{
		InFlight:  inFlight,
		Queued:    max(1, min(int(cores*queuedPerCore), inFlight/4)),
		BodyBytes: body,
	}
}
