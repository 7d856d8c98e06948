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
	// fastRead is the time within which a full page doubles the next one, and slowRead the time from
	// which the next one is half as long. Between them it grows by the least size.
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
	case !full:
	case took <= fastRead:
		s.current = min(s.most, 2*s.current)
	default:
		// A store that takes long to begin any response may still send long ones.
		s.current = min(s.most, s.current+s.least)
	}
}

// RecordFailure records a read without a response.
func (s *Size) RecordFailure() { s.halve() }

func (s *Size) halve() { s.current = max(s.least, s.current/2) }
