package pathselect

const (
	// hedgeShare is the share of the calls that the store answered by which calls may be made a second
	// time, and hedgeBurst how many of these may come at once.
	hedgeShare = 0.1
	hedgeBurst = 3
)

// Hedges limits the calls that are made again while the first attempt is in flight. Without a limit, all
// callers of a store that is slow under load multiply the load. The zero value is ready to use. Hedges is
// not safe for concurrent use.
type Hedges struct {
	// spent is the number of second attempts that no answered calls have made up for yet.
	spent float64
}

// RecordAnswer records a call that the store answered.
func (h *Hedges) RecordAnswer() { h.spent = max(0, h.spent-hedgeShare) }

// Allow reports whether a call may be made again, and counts it if so.
func (h *Hedges) Allow() bool {
	if h.spent+1 > hedgeBurst {
		return false
	}
	h.spent++
	return true
}
