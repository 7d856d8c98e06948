// Package admission implements admission control: which online requests run, wait or are
// refused.
//
// A Limiter adapts the number of concurrent requests on a server to its latency. A Queue
// holds the requests that exceed the limits, with fair queueing between workspaces, and
// refuses at once those that cannot meet their deadline. Limits bounds the work of the
// instance itself. The package does no I/O, reads no clock and is not safe for concurrent
// use.
package admission

import (
	"math"
	"time"
)

// LimiterOptions are the minimum, maximum and initial limit of a Limiter. Zero values are
// replaced by the defaults 1, 1024 and 8.
type LimiterOptions struct {
	Min, Max, Initial int
}

const (
	defaultMin     = 1
	defaultMax     = 1024
	defaultInitial = 8

	// latencyWeight is the weight of one sample in the moving average of the latency.
	latencyWeight = 0.2
	// latencyTolerance is the ratio of the mean to the uncongested latency up to which an
	// increase is treated as noise.
	latencyTolerance = 1.5
	// limitWeight is the weight of a new value in the moving average of the limit.
	limitWeight = 0.2
	// minGradient limits the reduction by one sample.
	minGradient = 0.5
	// The uncongested latency is the minimum over the current and the previous window of
	// windowSamples, so that a lasting change of the server's speed is learned. If more
	// than half of a window was congested, its minimum would be a congested latency.
	// The limit is then multiplied by probeFactor once, so that the next window has
	// samples of the server without a queue.
	windowSamples = 500
	probeFactor   = 0.5
	// The limit is multiplied by failureFactor for each failed request.
	failureFactor = 0.9
)

// Limiter is the adaptive concurrency limit of one server. It follows the gradient between
// the uncongested and the mean latency.
type Limiter struct {
	opt   LimiterOptions
	limit float64
	// Latencies are ratios to Sample.ExpectedLatency, or in seconds if that is zero.
	meanLatency                float64
	minLatency, prevMinLatency float64 // in the current and the previous window
	samples                    int     // number of samples in the current window
	congested                  int     // number of them that found the server congested
}

// Sample is the measurement of one finished request.
type Sample struct {
	// Latency is the measured time to the first token or to the response.
	Latency time.Duration
	// ExpectedLatency is the latency without load for a request of this size. The latency
	// is divided by it, so that large and small requests can be compared. Zero means that
	// all requests are alike.
	ExpectedLatency time.Duration
	// InFlight is the number of requests on the server when this one started.
	InFlight int
	// Failed is set if the server refused the request or failed to answer it.
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
	l.setLimit(float64(opt.Initial))
	return l
}

// Limit returns the maximum number of concurrent requests on the server.
func (l *Limiter) Limit() int { return int(l.limit) }

// Observe adjusts the limit to one finished request.
func (l *Limiter) Observe(s Sample) {
	if s.Failed {
		l.setLimit(l.limit * failureFactor)
		return
	}
	ratio := s.Latency.Seconds()
	if s.ExpectedLatency > 0 {
		ratio /= s.ExpectedLatency.Seconds()
	}
	if ratio <= 0 {
		return
	}
	if l.meanLatency == 0 {
		l.meanLatency, l.minLatency, l.prevMinLatency = ratio, ratio, ratio
	}
	l.meanLatency += latencyWeight * (ratio - l.meanLatency)
	l.minLatency = min(l.minLatency, ratio)
	gradient := min(1, max(minGradient, latencyTolerance*min(l.minLatency, l.prevMinLatency)/l.meanLatency))
	if gradient < 1 {
		l.congested++
	}
	if l.samples++; l.samples == windowSamples {
		l.startWindow(ratio)
		return
	}
	// While less than half of the limit is in use, low latency does not show that the
	// server could take more requests than the limit.
	if gradient == 1 && float64(s.InFlight) < l.limit/2 {
		return
	}
	next := l.limit*gradient + math.Sqrt(l.limit)
	l.setLimit(l.limit*(1-limitWeight) + next*limitWeight)
}

// startWindow starts a new window of samples.
func (l *Limiter) startWindow(ratio float64) {
	if l.congested > windowSamples/2 {
		l.setLimit(l.limit * probeFactor)
	}
	l.prevMinLatency, l.minLatency = l.minLatency, ratio
	l.samples, l.congested = 0, 0
}

// setLimit sets the limit within its minimum and maximum.
func (l *Limiter) setLimit(v float64) {
	l.limit = min(max(v, float64(l.opt.Min)), float64(l.opt.Max))
}
