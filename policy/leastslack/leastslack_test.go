package leastslack

import (
	"testing"
	"time"
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// Guards against items that are late in any case taking the slots of items that can
// still be done in time, so that after an outage each late item makes the next one late.
// This made 93 of 308 items late after a power loss.
func TestItemsThatCannotBeDoneInTimeGoLast(t *testing.T) {
	var e RunTimeEstimator
	e.RecordRun(5*time.Second, 1000) // 5 ms a token
	item := func(due time.Duration, tokens int64, spent time.Duration) Item {
		return Item{Due: epoch.Add(due), Tokens: tokens, Spent: spent}
	}
	inOrder := []Item{
		item(4*time.Second, 1000, 0),             // in time on a fast server only
		item(6*time.Second, 1000, 0),             // slack of 1 s
		item(9*time.Second, 1500, 0),             // slack of 1.5 s
		item(9*time.Second, 1500, 3*time.Second), // part of the output is kept
		item(-2*time.Second, 1000, 0),            // overdue
		item(time.Second, 1000, 0),               // cannot be done in time
	}
	for i := 1; i < len(inOrder); i++ {
		if a, b := e.Slack(epoch, inOrder[i-1]), e.Slack(epoch, inOrder[i]); a >= b {
			t.Errorf("item %d has a slack of %v, want less than that of item %d, %v", i-1, a, i, b)
		}
	}
}
