package servermemory

import (
	"slices"
	"time"
)

const (
	// survivalTime is the time after which a server on which no request broke has survived what it held:
	// a server that runs out of memory breaks its requests at once.
	survivalTime = 2 * time.Second
	// stopLag is the time after broken requests in which it shows that their server has stopped.
	stopLag = 20 * time.Second
	// trialPause is the pause after a trial in which requests broke. If the server stopped, no other trial
	// begins for trialBackoff, twice as long after each further one, up to maxTrialBackoff.
	trialPause      = 5 * time.Second
	trialBackoff    = 10 * time.Second
	maxTrialBackoff = 10 * time.Minute
	// limitShare is the share of what a server held when it crashed that other servers may hold.
	limitShare = 0.8
)

// survival is how much a server has held and lived on.
type survival struct {
	// proven is the most bytes that it held for survivalTime without a broken request, at least.
	proven int64
	// level is what it held at levelAt, and peak the most since, at peakAt.
	level, peak     int64
	levelAt, peakAt time.Time
	// brokenAt is the time at which requests broke while it held most, and heldThen how much that was.
	brokenAt time.Time
	heldThen int64
	// triedAt is the time at which its trial began, zero without one, and brokeOnTrial is set if requests broke
	// in the last one.
	triedAt      time.Time
	brokeOnTrial bool
}

// rise records that the server holds at least so many bytes.
func (v *survival) rise(now time.Time, bytes int64) {
	if bytes > v.peak {
		v.peak, v.peakAt = bytes, now
	}
	if v.levelAt.IsZero() {
		v.level, v.levelAt = bytes, now
	}
}

// update takes over what the server has survived.
func (v *survival) update(now time.Time) {
	if now.Sub(v.levelAt) < survivalTime || v.brokeWithin(now, stopLag) {
		return
	}
	v.proven = max(v.proven, v.level)
	if now.Sub(v.peakAt) >= survivalTime {
		v.proven = max(v.proven, v.peak)
	}
	v.level, v.levelAt, v.peak = v.peak, v.peakAt, 0
}

// brokeWithin reports whether requests broke on the server lately.
func (v *survival) brokeWithin(now time.Time, d time.Duration) bool {
	return !v.brokenAt.IsZero() && now.Sub(v.brokenAt) < d
}

// RecordBroken records that requests broke on the server, on which inFlight requests ran until then.
func (s *Server) RecordBroken(now time.Time, inFlight InFlight) {
	v := &s.survival
	if held := s.Bytes(now, inFlight); held >= v.heldThen || !v.brokeWithin(now, stopLag) {
		v.brokenAt, v.heldThen = now, held
	}
}

// Bound is the number of bytes that the servers of a service can hold, as learned from crashes. It
// does not limit a server that has survived more. While batch requests wait for room, some servers
// at a time may exceed it as a trial, so that a crash for another reason, or of a smaller server,
// does not limit the others for long. Its zero value knows no bound.
type Bound struct {
	// crashed is the least bytes that a server held that crashed; zero if none did.
	crashed int64
	// trials holds the servers on trial, width at a time, from nextTrial on. backoff is the last pause after a
	// server stopped.
	trials    []*Server
	width     int
	nextTrial time.Time
	backoff   time.Duration
	stats     Stats
}

// Stats counts trials since the start of the process.
type Stats struct {
	// Trials is the number of trials that began, and FailedTrials that of those after which the server stopped.
	Trials, FailedTrials uint64
}

// Bytes returns the bound, or zero if none is known.
func (b *Bound) Bytes() int64 { return b.crashed }

// Stats returns the counters.
func (b *Bound) Stats() Stats { return b.stats }

// Limit returns the number of bytes that a server may hold, or zero if it is not limited.
func (b *Bound) Limit(s *Server) int64 {
	if b.crashed == 0 || s.survival.proven >= b.crashed {
		return 0
	}
	return max(1, s.survival.proven, int64(limitShare*float64(b.crashed)))
}

// Observe records what a server that is up has survived. It must be called before each placement.
func (b *Bound) Observe(now time.Time, s *Server) { s.survival.update(now) }

// MayTry reports whether a server may get a batch request beyond its limit.
func (b *Bound) MayTry(now time.Time, s *Server) bool {
	for _, other := range slices.Clone(b.trials) {
		if now.Sub(other.survival.triedAt) >= survivalTime {
			b.endTrial(now, other)
		}
	}
	return s.survival.triedAt.IsZero() && !now.Before(b.nextTrial) && len(b.trials) < max(1, b.width)
}

// StartTrial records that a server has got a batch request beyond its limit.
func (b *Bound) StartTrial(now time.Time, s *Server) {
	b.trials = append(b.trials, s)
	b.stats.Trials++
	s.survival.triedAt, s.survival.brokeOnTrial = now, false
}

// endTrial ends a trial. Each one that went well adds one to the width, which doubles it a round. If
// requests broke, a pause gives a stop of the server the time to show.
func (b *Bound) endTrial(now time.Time, s *Server) {
	v := &s.survival
	v.brokeOnTrial = v.brokenAt.After(v.triedAt) || v.brokenAt.Equal(v.triedAt)
	v.triedAt = time.Time{}
	b.trials = slices.DeleteFunc(b.trials, func(other *Server) bool { return other == s })
	if v.brokeOnTrial {
		b.width, b.nextTrial = 1, now.Add(trialPause)
		return
	}
	b.width = max(1, b.width) + 1
}

// recordFailedTrial records that a server stopped after requests broke in its trial.
func (b *Bound) recordFailedTrial(now time.Time) {
	b.stats.FailedTrials++
	b.width = 1
	b.backoff = min(maxTrialBackoff, max(trialBackoff, 2*b.backoff))
	b.nextTrial = now.Add(b.backoff)
}

// RecordStop records that a server has stopped without having announced it. Servers stop for other
// reasons too: only one on which requests broke while it held more than it had survived gives a
// bound. It reports whether the bound changed.
func (b *Bound) RecordStop(now time.Time, s *Server) bool {
	v := &s.survival
	broke := v.brokeWithin(now, stopLag)
	if !v.triedAt.IsZero() {
		b.endTrial(now, s)
	}
	if broke && v.brokeOnTrial {
		b.recordFailedTrial(now)
	}
	if !broke || v.heldThen <= v.proven || b.crashed > 0 && v.heldThen >= b.crashed {
		return false
	}
	b.crashed = v.heldThen
	return true
}
