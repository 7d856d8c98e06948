package pagesize

import (
	"testing"
	"time"
)

// Guards against pages that stay long on a busy store, or short on one that is not.
func TestSizeFollowsTheStore(t *testing.T) {
	s := New(64<<10, 16<<10, 512<<10)
	for range 5 {
		s.RecordPage(true, fastRead)
	}
	if s.Bytes() != 512<<10 {
		t.Errorf("%d bytes after fast reads of full pages", s.Bytes())
	}
	s.RecordPage(false, time.Millisecond)
	s.RecordPage(true, slowRead-1)
	if s.Bytes() != 512<<10 {
		t.Errorf("%d bytes after a short page and one that was neither fast nor slow", s.Bytes())
	}
	for range 3 {
		s.RecordPage(true, slowRead)
		s.RecordFailure()
	}
	if s.Bytes() != 16<<10 {
		t.Errorf("%d bytes after slow and failed reads", s.Bytes())
	}
}

// Guards against a long catch-up in short pages on a store that begins each response late but sends it fast:
// pages that a busy time has shortened stay short.
func TestSizeGrowsThoughEachReadTakesLong(t *testing.T) {
	const latency = 240 * time.Millisecond
	s := New(64<<10, 16<<10, 512<<10)
	for range 2 {
		s.RecordFailure()
	}
	reads := 0
	for left := 2 << 20; left > 0; left -= s.Bytes() {
		s.RecordPage(true, latency)
		reads++
	}
	if most := 20; reads > most {
		t.Errorf("%d reads, want at most %d", reads, most)
	}
}
