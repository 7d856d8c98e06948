package jobs

import (
	"sync"
	"time"
)

const (
	// gaugeShare is the weight of one measured append.
	gaugeShare = 0.2
	// limitTimes the usual time of an append, and at least limitLeast, is how long a
	// submission waits for the store to take its items. A caller that is refused that
	// soon still has its job accepted in time elsewhere.
	limitTimes = 6
	limitLeast = 80 * time.Millisecond
	// suspicion is the time for which submissions are refused at once after the store
	// did not take one, unless a call succeeds.
	suspicion = time.Second
)

// gauge knows how fast the store takes appends, and whether it does.
type gauge struct {
	mu      sync.Mutex
	usual   time.Duration
	suspect time.Time
}

// took records a successful append.
func (g *gauge) took(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.usual == 0 {
		g.usual = d
	}
	g.usual += time.Duration(gaugeShare * float64(d-g.usual))
	g.suspect = time.Time{}
}

// answered records a successful call of another kind.
func (g *gauge) answered() {
	g.mu.Lock()
	g.suspect = time.Time{}
	g.mu.Unlock()
}

// failed records a call that the store refused or did not answer in time.
func (g *gauge) failed(now time.Time) {
	g.mu.Lock()
	g.suspect = now
	g.mu.Unlock()
}

// away reports whether the store is thought not to take appends.
func (g *gauge) away(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.suspect.IsZero() && now.Sub(g.suspect) < suspicion
}

// limit returns how long a submission waits for the store to take its items.
func (g *gauge) limit() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(limitLeast, limitTimes*g.usual)
}
