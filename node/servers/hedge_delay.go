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

func (r *firstTokenRatios) add(measured, expected time.Duration) {
	if expected <= 0 {
		return
	}
	r.ratios[r.pos] = float64(measured) / float64(expected)
	r.pos = (r.pos + 1) % ratioSamples
	r.n = min(r.n+1, ratioSamples)
	// Sorting at every eighth sample is accurate enough.
	if r.pos%8 == 0 && r.n >= minRatioSamples {
		sorted := r.scratch[:copy(r.scratch[:], r.ratios[:r.n])]
		slices.Sort(sorted)
		r.quantile = sorted[int(hedgeQuantile*float64(r.n-1))]
	}
}

// hedgeDelay returns the hedgeQuantile of the time to the first token for a request
// with the expected time, at least minHedgeDelay, or zero while there are too few
// samples.
func (r *firstTokenRatios) hedgeDelay(expected time.Duration) time.Duration {
	if r.quantile == 0 {
		return 0
	}
	return max(time.Duration(r.quantile*float64(expected)), minHedgeDelay)
}
