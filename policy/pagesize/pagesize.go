// Package pagesize chooses how much to ask for in one read of a store that many readers share.
//
// A read that does not end in time has used the store's bandwidth for nothing, and is made again. If
// all readers ask for long pages at once, no page may arrive in time. Short pages let each reader
// keep what it has got.
//
// The package does no I/O and reads no clock. Size is not safe for concurrent use.
package pagesize

import "time"

const (
	// fastRead is the time within which a full page lets the next one be longer, and slowRead the
	// time from which the next one is shorter.
	fastRead = 100 * time.Millisecond
	slowRead = 400 * time.Millisecond
)

// Size is the size in bytes to ask for in the next read.
type Size struct{ current, least, most int }

// New returns a size that starts at initial and stays between least and most, in bytes.
func New(initial, least, most int) *Size { return &Size{initial, least, most} }

// Bytes returns the size in bytes to ask for.
func (s *Size) Bytes() int { return s.current }

// RecordPage records a page and the time that the read took, without a requested wait. full is set if
// there was more to read.
func (s *Size) RecordPage(full bool, took time.Duration) {
	switch {
	case took >= slowRead:
		s.halve()
	case took <= fastRead && full:
		s.current = min(s.most, 2*s.current)
	}
}

// RecordFailure records a read without a response.
func (s *Size) RecordFailure() { s.halve() }

func (s *Size) halve() { s.current = max(s.least, s.current/2) }
