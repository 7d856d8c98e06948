package preempt

import "time"

const (
	// minRefillDelay is the delay before refilling after a single preemption. Idle
	// capacity has to be filled within 100 ms.
	minRefillDelay = 50 * time.Millisecond
	// arrivalRefillDelay is the delay before refilling after an online request has
	// arrived, so that no batch prompt is processed at the same time as its prompt.
	arrivalRefillDelay = 60 * time.Millisecond
	// maxRefillDelay limits the delay after repeated preemptions. It is below 100 ms too.
	maxRefillDelay = 90 * time.Millisecond
	// resetInterval is the time without a preemption after which the delay is
	// minRefillDelay again.
	resetInterval = 5 * time.Second
	// TargetWasteRatio is the target for the ratio of wasted to useful tokens.
	TargetWasteRatio = 0.05
	// maxExtraHeadroom is the maximum of ExtraHeadroom, in slots.
	maxExtraHeadroom = 2
	// lowWasteRatio is the ratio below which batch streams are also cancelled merely to
	// shorten the wait of an online request.
	lowWasteRatio = 0.02
	// maxPrefillAhead is the number of batch prompt tokens that may be processed ahead of
	// an online prompt once the waste ratio has reached lowWasteRatio. Engines process
	// that many in one step together with decoding.
	maxPrefillAhead = 256
	// wasteHalfLife is the half-life of the token counts.
	wasteHalfLife = 30 * time.Second
	// minUsefulTokens is the least number of useful tokens assumed for the ratio, so that
	// the first preemption does not exceed the target.
	minUsefulTokens = 2000
)

// Controller tracks the recent preemptions on one server. It delays refilling after a
// preemption and limits the tokens wasted by preemption.
type Controller struct {
	lastPreemption  time.Time
	refillDelay     time.Duration
	afterPreemption time.Time // when refilling is allowed after the last preemption
	afterArrival    time.Time // when refilling is allowed after the last arrival
	usefulTokens    float64
	wastedTokens    float64
	decayedAt       time.Time
}

// RecordArrival records the arrival of an online request.
func (c *Controller) RecordArrival(now time.Time) { c.afterArrival = now.Add(arrivalRefillDelay) }

// MaxPrefillAhead returns the value of Server.MaxPrefillAhead. It is zero while little is
// wasted, so that a batch prompt that is being processed is preempted at once.
func (c *Controller) MaxPrefillAhead(now time.Time) int {
	c.decay(now)
	if c.WasteRatio() < lowWasteRatio {
		return 0
	}
	return maxPrefillAhead
}

// RecordPreemption records the victims of a preemption. A preemption soon after a refill
// doubles the delay before the next refill, to prevent thrashing.
func (c *Controller) RecordPreemption(now time.Time, victims []Victim) {
	if len(victims) == 0 {
		return
	}
	c.decay(now)
	for _, v := range victims {
		c.wastedTokens += float64(v.WastedTokens)
	}
	if c.lastPreemption.IsZero() || now.Sub(c.lastPreemption) > resetInterval {
		c.refillDelay = minRefillDelay
	} else if !now.Before(c.afterPreemption) {
		// Only a preemption after a refill shows that the server was refilled too early.
		c.refillDelay = min(2*c.refillDelay, maxRefillDelay)
	}
	c.lastPreemption = now
	c.afterPreemption = now.Add(c.refillDelay)
}

// RecordOutput records output tokens of batch streams, which count as useful.
func (c *Controller) RecordOutput(now time.Time, tokens int) {
	c.decay(now)
	c.usefulTokens += float64(tokens)
}

// RefillAfter returns the time from which the server may be refilled with batch streams.
func (c *Controller) RefillAfter(time.Time) time.Time {
	if c.afterArrival.After(c.afterPreemption) {
		return c.afterArrival
	}
	return c.afterPreemption
}

// ExtraHeadroom returns the number of slots to keep free in addition to those for bursts.
// With more free slots fewer arrivals preempt batch streams, which limits the waste without
// making online requests wait.
func (c *Controller) ExtraHeadroom(now time.Time) int {
	c.decay(now)
	return min(maxExtraHeadroom, int(c.WasteRatio()/TargetWasteRatio))
}

// WasteRatio returns the recent ratio of wasted to useful tokens.
func (c *Controller) WasteRatio() float64 {
	return c.wastedTokens / max(c.usefulTokens, minUsefulTokens)
}

// decay halves the token counts for each wasteHalfLife that has passed.
func (c *Controller) decay(now time.Time) {
	if c.decayedAt.IsZero() {
		c.decayedAt = now
		return
	}
	for now.Sub(c.decayedAt) >= wasteHalfLife {
		c.usefulTokens, c.wastedTokens = c.usefulTokens/2, c.wastedTokens/2
		c.decayedAt = c.decayedAt.Add(wasteHalfLife)
		if c.usefulTokens+c.wastedTokens < 1 {
			c.decayedAt = now
		}
	}
}
