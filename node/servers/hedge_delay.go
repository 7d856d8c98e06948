package servers

import (
	"slices"
	"time"
)

const (
	// ratioSamples is the number of samples kept; hedging begins after
	// minRatioSamples.
	ratioSamples    = 128
	minRatioSamples = 32
	// hedgeQuantile is the quantile above which a request counts as slow.
	hedgeQuantile = 0.95
	// minHedgeDelay prevents hedging of requests with a very short expected time
	// because of a scheduling or network pause.
	minHedgeDelay = 20 * time.Millisecond
)

// firstTokenRatios holds the ratios of measured to expected time to the first token
// of recent requests.
type firstTokenRatios struct {
	ratios   [ratioSamples]float64
	n, pos   int
	quantile float64
	scratch  [ratioSamples]float64
}

func (s *firstTokenRatios) add(measured, expected time.Duration) {
	if expected <= 0 {
		return
	}
	s.ratios[s.pos] = float64(measured) / float64(expected)
	s.pos = (s.pos + 1) % ratioSamples
	s.n = min(s.n+1, ratioSamples)
	// Sorting at every eighth sample is accurate enough.
	if s.pos%8 == 0 && s.n >= minRatioSamples {
		sorted := s.scratch[:copy(s.scratch[:], s.ratios[:s.n])]
		slices.Sort(sorted)
		s.quantile = sorted[int(hedgeQuantile*float64(s.n-1))]
	}
}

// hedgeDelay returns the hedgeQuantile of the time to the first token for a request
// with the expected time, at least minHedgeDelay, or zero while there are too few
// samples.
func (s *firstTokenRatios) hedgeDelay(expected time.Duration) time.Duration {
	if s.quantile == 0 {
		return 0
	}
	return max(time.Duration(s.quantile*float64(expected)), minHedgeDelay)
}
