// Package agenda orders the items of batch jobs: which one starts next.
//
// The order is that of the slack: the time for which an item can wait and still be done
// when it is due. An item that is long, or that has lost its output, goes before a short
// one of the same job; one that is late in any case goes last. It does no I/O and reads no
// clock.
package agenda

import "time"

const (
	// firstStep is taken for the time of one output token before any item was
	// completed: the users' servers make a token in 1 to 4 ms.
	firstStep = 3 * time.Millisecond
	// stepShare is the weight of one completed run in the mean time of a token.
	stepShare = 0.05
	// fastShare is the time of a run on a fast server by that on a mean one: the users'
	// servers differ in speed by a factor of 2.7.
	fastShare = 0.55
	// lateSlack is above the slack of every item that can be done in time.
	lateSlack = time.Hour
)

// RunTimeEstimator is the mean time of one token of an item's size, over the servers that ran items.
// The zero value is ready to use.
type RunTimeEstimator struct{ step time.Duration }

// RecordRun records a run that made the whole output of an item of the given size in tokens.
func (p *RunTimeEstimator) RecordRun(took time.Duration, tokens int64) {
	if tokens <= 0 {
		return
	}
	step := took / time.Duration(tokens)
	if p.step == 0 {
		p.step = step
	}
	p.step += time.Duration(stepShare * float64(step-p.step))
}

// RunTime returns the expected time of a run of the given size.
func (p *RunTimeEstimator) RunTime(tokens int64) time.Duration {
	step := p.step
	if step == 0 {
		step = firstStep
	}
	return step * time.Duration(max(0, tokens))
}

// Item is what the order of an item depends on.
type Item struct {
	// Due is when the item's result is due.
	Due time.Time
	// Tokens is the item's size, and Spent the time of the runs whose output is kept.
	Tokens int64
	Spent  time.Duration
}

// Slack returns the time for which the item can wait at now. An item that cannot be done
// in time any more, even on a fast server, has more slack than all that can: its result is
// worth little, and run first it would make others late as well. Among such items the one
// that was due first has the least slack.
func (p *RunTimeEstimator) Slack(now time.Time, i Item) time.Duration {
	left := max(0, p.RunTime(i.Tokens)-i.Spent)
	untilDue := i.Due.Sub(now)
	if untilDue < time.Duration(fastShare*float64(left)) {
		return lateSlack + untilDue
	}
	return untilDue - left
}
