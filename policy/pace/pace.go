// Package pace follows how much longer than usual work takes on a server for a moment, because
// others use its machine, and how many requests the server itself counts.
//
// Servers state both in their responses. A statement is true for fractions of a second, so that
// its weight decays with its age. State holds what is known of one server. The package does no
// I/O and reads no clock, and nothing in it is safe for concurrent use.
package pace

import (
	"math"
	"time"
)

const (
	// Usual is the pace of a server that nothing slows down, in percent of the usual time of a
	// piece of work. Min and Max bound the paces that count.
	Usual = 100
	Min   = 25
	Max   = 1000
	// MaxCount bounds the requests that a statement counts.
	MaxCount = 1 << 12
	// usualMargin is the deviation from Usual, in percent, up to which a pace counts as usual.
	usualMargin = 10
	// spellTime is the time for which a server is slow without a break.
	spellTime = 600 * time.Millisecond
	// halfLife is the age at which half of the servers that stated a slow spell are still in it,
	// since a statement is made at any moment of a spell with equal probability.
	halfLife = spellTime / 2
	// TTL is the age from which a statement has no weight: no spell that it tells of is still on.
	TTL = spellTime
	// countTTL is the age from which the number of requests in a statement has no weight, since
	// short requests have ended by then, and the pace is not taken for that of measured work.
	countTTL = 100 * time.Millisecond
	// crossingRequests is the number of requests by which the count of a server may exceed that of
	// this instance without unknown requests: an end may be reported later than the statement.
	crossingRequests = 1
)

// Statement is what a server states of itself at one moment.
type Statement struct {
	// Pace is the time that work takes, in percent of the usual time; zero if not stated.
	Pace int
	// Requests is the number of requests on the server, Waiting that of the waiting ones among
	// them.
	Requests, Waiting int
	At                time.Time
}

// Clamp returns the statement with its values within their bounds.
func (s Statement) Clamp() Statement {
	if s.Pace != 0 {
		s.Pace = min(max(s.Pace, Min), Max)
	}
	s.Requests = min(max(s.Requests, 0), MaxCount)
	s.Waiting = min(max(s.Waiting, 0), s.Requests)
	return s
}

// Usual reports whether the pace counts as usual.
func (s Statement) Usual() bool {
	return s.Pace == 0 || s.Pace >= Usual-usualMargin && s.Pace <= Usual+usualMargin
}

// State is what is known of one server. The zero value is a server that has stated nothing.
type State struct {
	last Statement
	// unknown is the number of requests beyond those that this instance knew of at last.At.
	unknown int
}

// Record records a statement; known is the number of requests on the server that this instance
// knows of. It reports whether the statement is used: those without a pace, and those older than
// the last one, are not.
func (s *State) Record(statement Statement, known int) bool {
	if statement.Pace == 0 || !s.last.At.IsZero() && !statement.At.After(s.last.At) {
		return false
	}
	s.last = statement.Clamp()
	s.unknown = max(0, s.last.Requests-known-crossingRequests)
	return true
}

// Stated reports whether the server has stated a pace.
func (s *State) Stated() bool { return s.last.Pace != 0 }

// Last returns the last statement.
func (s *State) Last() Statement { return s.last }

// RequestEnded takes a request that has ended from the server's count, so that a later report of
// the statement does not hold it.
func (s *State) RequestEnded() { s.last.Requests = max(0, s.last.Requests-1) }

// weight returns the weight of the last statement, from 1 for a new one to 0.
func (s *State) weight(now time.Time) float64 {
	age := now.Sub(s.last.At)
	if s.last.Pace == 0 || age >= TTL {
		return 0
	}
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}

// Slowdown returns the expected time of a piece of work now, relative to the usual time.
func (s *State) Slowdown(now time.Time) float64 {
	if s.last.Usual() {
		return 1
	}
	return 1 + s.weight(now)*float64(s.last.Pace-Usual)/Usual
}

// UsualTime returns the time that a piece of work that has just ended would have taken at the usual
// pace. It returns false if the server states its pace, but not for this work.
func (s *State) UsualTime(now time.Time, took time.Duration) (time.Duration, bool) {
	switch {
	case !s.Stated():
		return took, true
	case now.Sub(s.last.At)-took > countTTL:
		return 0, false
	case s.last.Usual():
		return took, true
	}
	return time.Duration(float64(took) * Usual / float64(s.last.Pace)), true
}

// Unknown returns the number of requests on the server beyond those that this instance knows of.
func (s *State) Unknown(now time.Time) int {
	if s.unknown == 0 || now.Sub(s.last.At) >= countTTL {
		return 0
	}
	return s.unknown
}
