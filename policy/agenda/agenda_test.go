package agenda

import (
	"testing"
	"time"
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// Guards against items that are late in any case taking the slots of items that can
// still be done in time, so that after an outage one late item makes the next one late
// (found by a hunt on kme-confirm: 93 of 308 items late after a loss of power).
func TestHopelessItemsGoLast(t *testing.T) {
	var p RunTimeEstimator
	p.RecordRun(5*time.Second, 1000) // 5 ms a token
	item := func(due time.Duration, tokens int64, spent time.Duration) Item {
		return Item{Due: epoch.Add(due), Tokens: tokens, Spent: spent}
	}
	inOrder := []Item{
		item(4*time.Second, 1000, 0),             // a fast server can still do it
		item(6*time.Second, 1000, 0),             // 1 s left
		item(9*time.Second, 1500, 0),             // 1.5 s left
		item(9*time.Second, 1500, 3*time.Second), // most of it is made
		item(-2*time.Second, 1000, 0),            // overdue
		item(time.Second, 1000, 0),               // cannot be done in time
	}
	for i := 1; i < len(inOrder); i++ {
		if a, b := p.Slack(epoch, inOrder[i-1]), p.Slack(epoch, inOrder[i]); a >= b {
			t.Errorf("item %d has a slack of %v, item %d of %v", i-1, a, i, b)
		}
	}
}
