package fairshare

import "time"

// endRateWindow is the time over which the rate of ends is measured. A burst that passes within
// it is left to the queues.
const endRateWindow = 100 * time.Millisecond

// endRateSmoothing is the weight of one window in the rate. Requests that began together end
// together.
const endRateSmoothing = 0.3

// endRateTTL is the age up to which a measured rate is used when the slots are taken again.
const endRateTTL = 10 * time.Second

// endRate measures how many requests end in a second while all slots are taken: as many as are
// admitted, less those by which the queue grows.
type endRate struct {
	// since is the start of the window, zero while a slot is free, and waiting the number of
	// waiting requests then; admitted counts the requests that were admitted since.
	since             time.Time
	waiting, admitted int
	// perSecond is the measured rate as of measuredAt, zero if it is not known.
	perSecond  float64
	measuredAt time.Time
}

// observe records the number of waiting requests. expected is the rate that is expected by the
// run time of the requests, zero if it is not known.
func (e *endRate) observe(now time.Time, waiting int, expected float64) {
	elapsed := now.Sub(e.since)
	switch {
	case waiting <= 0:
		if !e.since.IsZero() {
			e.observeEmptied(now, elapsed)
		}
		e.since = time.Time{}
		return
	case e.since.IsZero():
		if now.Sub(e.measuredAt) > endRateTTL {
			e.perSecond = 0
		}
	case elapsed < endRateWindow:
		return
	default:
		// Half an end counts where none is seen, so that the rate is never zero.
		ended := max(0.5, float64(e.admitted-(waiting-e.waiting)))
		measured := ended / elapsed.Seconds()
		previous := e.perSecond
		if previous == 0 {
			// Few requests end before the slots were taken for a run time.
			previous = max(expected, measured)
		}
		e.perSecond, e.measuredAt = previous+endRateSmoothing*(measured-previous), now
	}
	e.since, e.waiting, e.admitted = now, waiting, 0
}

// observeEmptied records that the queue has become empty within a window. At least as many requests
// have ended as waited and were admitted, which may raise the rate: if requests that began together
// empty the queue whenever they end, the windows that are left have few ends.
func (e *endRate) observeEmptied(now time.Time, elapsed time.Duration) {
	atLeast := float64(e.admitted+e.waiting) / max(elapsed, endRateWindow).Seconds()
	if e.perSecond > 0 && atLeast > e.perSecond {
		e.perSecond, e.measuredAt = e.perSecond+endRateSmoothing*(atLeast-e.perSecond), now
	}
}

// endRate returns the number of requests that end in a second; zero if it is not known.
func (s *service) endRate(now time.Time, room Room) float64 {
	expected := 0.0
	if room.RunTime > 0 {
		expected = float64(room.Slots) / room.RunTime.Seconds()
	}
	if room.Deciders > 1 {
		return expected
	}
	s.ends.observe(now, room.Waiting, expected)
	return s.ends.perSecond
}
