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
