// Package agenda orders the items of batch jobs: which one starts next.
//
// The order is that of the latest start: the time until which an item can wait and still
// be done when it is due. An item that is long, or that has lost its output, goes before
// a short one of the same job. It does no I/O and reads no clock.
package agenda

import "time"

const (
	// firstStep is taken for the time of one output token before any item was
	// completed: the users' servers make a token in 1 to 4 ms.
	firstStep = 3 * time.Millisecond
	// stepShare is the weight of one completed run in the mean time of a token.
	stepShare = 0.05
)

// Pace is the mean time of one token of an item's size, over the servers that ran items.
// The zero value is ready to use.
type Pace struct{ step time.Duration }

// Ran records a run that made the whole output of an item of the given size in tokens.
func (p *Pace) Ran(took time.Duration, tokens int64) {
	if tokens <= 0 {
		return
	}
	step := took / time.Duration(tokens)
	if p.step == 0 {
		p.step = step
	}
	p.step += time.Duration(stepShare * float64(step-p.step))
}

// Of returns the expected time of a run of the given size.
func (p *Pace) Of(tokens int64) time.Duration {
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

// LatestStart returns the time until which the item can wait.
func (p *Pace) LatestStart(i Item) time.Time {
	return i.Due.Add(-max(0, p.Of(i.Tokens)-i.Spent))
}
