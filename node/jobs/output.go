package jobs

import (
	"errors"

	"github.com/jacinthnotch/jacinthnotch/node/internal/budget"
)

const (
	// maxOutputBytes is the maximum size of the output of an item, in bytes. A longer one fits
	// into no response to a caller.
	maxOutputBytes = maxResultBytes
	// maxExtraEvents is the number of events that an output may have beyond the tokens of its
	// item, because callers may state too few tokens.
	maxExtraEvents = 1000
	// defaultOutputBudget is the size of the output budget of a Runner that has none.
	defaultOutputBudget = 16 << 20
)

// Errors of a run whose output is not kept.
var (
	errOutputTooLong = errors.New("jobs: the output is longer than the item allows")
	errOutputBudget  = errors.New("jobs: the unfinished outputs take too much memory")
)

// newOutputBudget returns the budget of the unfinished outputs of all items, in which as many
// outputs as items run at once have their share.
func newOutputBudget(limit int) *budget.Budget { return budget.New(limit, limit/maxRunningItems) }

// appendOutput appends the data of an event to the output of a run.
func (r *Runner) appendOutput(run *itemRun, data []byte) error {
	size := len(run.output) + len(data)
	if run.hasOutput {
		size++ // the separator
	}
	if size > maxOutputBytes {
		return errOutputTooLong
	}
	if !r.outputs.Resize(run.reserved, size) {
		return errOutputBudget
	}
	run.reserved = size
	if run.hasOutput {
		run.output = append(run.output, '\n')
	}
	run.output = append(run.output, data...)
	run.hasOutput = true
	return nil
}

// dropOutput drops the output of a run.
func (r *Runner) dropOutput(run *itemRun) {
	r.outputs.Resize(run.reserved, 0)
	run.output, run.reserved, run.hasOutput, run.lastEvent, run.spent = nil, 0, false, 0, 0
}

// dropOutputs drops the outputs of a job that this instance does not hold any more.
func (r *Runner) dropOutputs(js *jobState) {
	for _, run := range js.items {
		r.dropOutput(run)
	}
}
