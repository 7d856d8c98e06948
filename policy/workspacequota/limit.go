package workspacequota

import (
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/workspace"
)

const (
	// A hub may grant extraShare of what a window allows, and extraRequests, beyond the quota:
	// the requests of a workspace that stays below its quota on average do not come evenly.
	extraShare    = 0.01
	extraRequests = 6
	// minExtra is the least factor of that where a hub grants only a share of the quota.
	minExtra = 0.5
	// coldShare of what a window allows, and coldRequests, may be sent at once after a start of
	// which it is not known what was sent before.
	coldShare    = 0.05
	coldRequests = 8
)

// perWindow returns the number of requests that a quota allows in a Window.
func perWindow(q workspace.Quota) float64 { return float64(q.Rate*Window.Seconds()) + q.Burst }

// space is what an instance knows of the requests of one workspace, over all instances.
type space struct {
	history history
	// quota is in force since changedAt. Windows that begin before that keep to the larger one
	// of it and previous.
	quota, previous workspace.Quota
	changedAt       time.Duration
	// returnAt is the time for which the latest rejected request was told to return.
	returnAt time.Duration
}

// setQuota records the quota in force.
func (s *space) setQuota(now time.Duration, q workspace.Quota) {
	switch {
	case q == s.quota:
		return
	case !s.quota.Limited():
		s.quota, s.changedAt = q, -Window
		return
	}
	if now-s.changedAt < Window {
		s.previous = larger(s.previous, s.quota)
	} else {
		s.previous = s.quota
	}
	s.quota, s.changedAt, s.returnAt = q, now, 0
}

func larger(a, b workspace.Quota) workspace.Quota {
	return workspace.Quota{Rate: max(a.Rate, b.Rate), Burst: max(a.Burst, b.Burst)}
}

// basis is what a decision rests on beside the known requests.
type basis struct {
	// scale is the share of the quota that may be granted here, in [0, 1].
	scale float64
	// knownSince is the time since which all requests are known.
	knownSince time.Duration
}

// wait returns the time after which the quota allows the next request; zero if it does now.
func (s *space) wait(now time.Duration, b basis) time.Duration {
	s.history.advance(now)
	extra := float64((float64(extraShare*perWindow(s.quota)) + extraRequests) * max(minExtra, b.scale))
	wait, sum, cold := time.Duration(0), 0.0, now-b.knownSince < Window
	consider := func(q workspace.Quota, burst float64, age time.Duration) {
		age = min(age, Window)
		room := burst + float64(q.Rate*b.scale*age.Seconds()) - sum
		if room >= 1 {
			return
		}
		// The room grows with the window's length, and the window slides past the requests.
		until := Window + binLength - age
		if rate := q.Rate * b.scale; rate > 0 {
			if seconds := (1 - room) / rate; seconds < until.Seconds() {
				until = time.Duration(seconds * float64(time.Second))
			}
		}
		wait = max(wait, until, 1)
	}
	for i := range windowBins {
		count := s.history.at(i)
		begin := time.Duration(s.history.newest-i) * binLength
		if isKnown := begin+binLength > b.knownSince; cold && !isKnown {
			cold = false
			consider(s.quota, s.coldBurst(b), now-b.knownSince)
		}
		sum += float64(count)
		if count == 0 {
			continue
		}
		q := s.quota
		if begin+binLength <= s.changedAt {
			q = larger(q, s.previous)
		}
		consider(q, float64(q.Burst*b.scale)+extra, now-begin)
	}
	if cold {
		consider(s.quota, s.coldBurst(b), now-b.knownSince)
	}
	return wait
}

// coldBurst returns how many requests may be sent at once at the start of what is known.
func (s *space) coldBurst(b basis) float64 {
	return float64((float64(coldShare*perWindow(s.quota)) + coldRequests) * max(minExtra, b.scale))
}

// retryAfter returns the time after which a rejected request finds room behind those that were
// told to return before it.
func (s *space) retryAfter(now, wait time.Duration) time.Duration {
	interval := Window
	if s.quota.Rate > 0 {
		if seconds := 1 / s.quota.Rate; seconds < Window.Seconds() {
			interval = time.Duration(seconds * float64(time.Second))
		}
	}
	s.returnAt = min(max(s.returnAt+interval, now+wait), now+max(wait, Window))
	return s.returnAt - now
}
