// Package leastslack orders the items of batch jobs by their slack (least-slack-time
// scheduling).
//
// The item with the least slack starts first. Slack is the time for which an item can
// wait and still be done when it is due. A long item, or one that has lost its output,
// therefore goes before a short one of the same job; an item that cannot be done in time
// goes last. The package does no I/O and reads no clock.
package leastslack

import "time"

const (
	// defaultTokenTime is the assumed time of one output token before any item was
	// completed: servers produce a token in 1 to 4 ms.
	defaultTokenTime = 3 * time.Millisecond
	// tokenTimeSmoothing is the weight of one completed run in the mean token time.
	tokenTimeSmoothing = 0.05
	// fastServerRatio is the ratio of the run time on a fast server to the mean run time:
	// the servers of a fleet differ in speed by a factor of 2.7.
	fastServerRatio = 0.55
	// lateSlackOffset is added to the slack of items that cannot be done in time. It is
	// above the slack of every item that can.
	lateSlackOffset = time.Hour
)

// RunTimeEstimator estimates the run time of items from the mean time of one token, over
// the servers that ran items. The zero value is ready to use.
type RunTimeEstimator struct{ tokenTime time.Duration }

// RecordRun records a run that produced the whole output of an item of the given size.
func (e *RunTimeEstimator) RecordRun(took time.Duration, tokens int64) {
	if tokens <= 0 {
		return
	}
	tokenTime := took / time.Duration(tokens)
	if e.tokenTime == 0 {
		e.tokenTime = tokenTime
	}
	e.tokenTime += time.Duration(tokenTimeSmoothing * float64(tokenTime-e.tokenTime))
}

// RunTime returns the expected time of a run of the given size.
func (e *RunTimeEstimator) RunTime(tokens int64) time.Duration {
	tokenTime := e.tokenTime
	if tokenTime == 0 {
		tokenTime = defaultTokenTime
	}
	return tokenTime * time.Duration(max(0, tokens))
}

// Item is the part of an item that its slack depends on.
type Item struct {
	// Due is when the item's result is due.
	Due time.Time
	// Tokens is the item's size, and Spent the time of the runs whose output is kept.
	Tokens int64
	Spent  time.Duration
}

// Remaining returns the expected time of the item's next run.
func (e *RunTimeEstimator) Remaining(i Item) time.Duration {
	return max(0, e.RunTime(i.Tokens)-i.Spent)
}

// Slack returns the time for which the item can wait, as of now. An item that cannot be
// done in time, even on a fast server, gets more slack than any that can: its result is
// of little use, and running it first would make others late as well. Among such items
// the one that was due first has the least slack.
func (e *RunTimeEstimator) Slack(now time.Time, i Item) time.Duration {
	remaining := e.Remaining(i)
	untilDue := i.Due.Sub(now)
	if untilDue < time.Duration(fastServerRatio*float64(remaining)) {
		return lateSlackOffset + untilDue
	}
	return untilDue - remaining
}
