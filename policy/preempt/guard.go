package preempt

import "time"

const (
	// minHold is the shortest time without refilling after a preemption. It
	// is less than the 100 ms in which idle capacity has to be filled.
	minHold = 50 * time.Millisecond
	// arrivalHold is the time without refilling after an online request has
	// arrived, so that no batch prompt is processed beside its own.
	arrivalHold = 60 * time.Millisecond
	// maxHold bounds it when preemptions follow one another, and is less than
	// the 100 ms as well.
	maxHold = 90 * time.Millisecond
	// calm is the time without a preemption after which the hold is short again.
	calm = 5 * time.Second
	// TargetWasteRatio is the target for wasted tokens as a share of useful ones.
	TargetWasteRatio = 0.05
	// maxExtra bounds Headroom.
	maxExtra = 2
	// spareWaste is the waste below which cancelling for the sake of a shorter
	// wait is affordable.
	spareWaste = 0.02
	// maxAhead is the number of prompt tokens of batch streams that may be ahead
	// of an arrival's prompt otherwise. Engines process as many in one step
	// beside decoding.
	maxAhead = 256
	// wasteHalfLife is how quickly old waste is forgotten.
	wasteHalfLife = 30 * time.Second
	// minAccount keeps the first preemption from exhausting the budget.
	minAccount = 2000
)

// Controller holds one server's recent preemptions.
type Controller struct {
	last   time.Time
	hold   time.Duration
	until  time.Time
	quiet  time.Time
	useful float64
	wasted float64
	at     time.Time
}

// RecordArrival records the arrival of an online request.
func (g *Controller) RecordArrival(now time.Time) { g.quiet = now.Add(arrivalHold) }

// MaxPrefillAhead returns the bound for Server.MaxPrefillAhead: zero while little is being
// wasted, so that a batch prompt that is being processed gives way at once.
func (g *Controller) MaxPrefillAhead(now time.Time) int {
	g.decay(now)
	if g.WasteRatio() < spareWaste {
		return 0
	}
	return maxAhead
}

// RecordPreemption records a decision. Each preemption soon after another doubles the
// time until refilling, which is the hysteresis against thrash.
func (g *Controller) RecordPreemption(now time.Time, cancelled []Victim) {
	if len(cancelled) == 0 {
		return
	}
	g.decay(now)
	for _, r := range cancelled {
		g.wasted += float64(r.WastedTokens)
	}
	if g.last.IsZero() || now.Sub(g.last) > calm {
		g.hold = minHold
	} else if !now.Before(g.until) {
		// Only a preemption after a refill shows that refilling was too early.
		g.hold = min(2*g.hold, maxHold)
	}
	g.last = now
	g.until = now.Add(g.hold)
}

// RecordOutput records tokens of batch answers.
func (g *Controller) RecordOutput(now time.Time, tokens int) {
	g.decay(now)
	g.useful += float64(tokens)
}

// RefillAfter returns when the server may be refilled.
func (g *Controller) RefillAfter(time.Time) time.Time {
	if g.quiet.After(g.until) {
		return g.quiet
	}
	return g.until
}

// ExtraHeadroom returns the slots to keep free in addition to those for bursts. With
// one more free slot fewer arrivals make batch yield, which bounds the waste
// without an online request that waits for the sake of the budget.
func (g *Controller) ExtraHeadroom(now time.Time) int {
	g.decay(now)
	return min(maxExtra, int(g.WasteRatio()/TargetWasteRatio))
}

// WasteRatio returns the recent wasted tokens as a share of useful ones.
func (g *Controller) WasteRatio() float64 { return g.wasted / max(g.useful, minAccount) }

func (g *Controller) decay(now time.Time) {
	if g.at.IsZero() {
		g.at = now
		return
	}
	for now.Sub(g.at) >= wasteHalfLife {
		g.useful, g.wasted = g.useful/2, g.wasted/2
		g.at = g.at.Add(wasteHalfLife)
		if g.useful+g.wasted < 1 {
			g.at = now
		}
	}
}
