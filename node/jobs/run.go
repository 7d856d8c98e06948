package jobs

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/exchange"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/node/gateway"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
	"github.com/jacinthnotch/jacinthnotch/policy/poison"
)

const (
	// minEventTimeout is the minimum time without a complete event after which an item
	// continues on another server. Items are only sent to free slots, so that they do not
	// wait there. After each such run without a new event the timeout doubles, at most
	// maxTimeoutDoublings times, so that an item also ends on servers that are all slow.
	minEventTimeout     = 1500 * time.Millisecond
	eventTimeoutFactor  = 5
	maxTimeoutDoublings = 6
	// maxRetryDoublings limits the exponential backoff of an item whose runs end by timeouts,
	// and maxBreakDoublings that of one whose servers break off.
	maxRetryDoublings = 5
	maxBreakDoublings = 2
	// invalidRetryDelay is the time before an item is tried again that cannot be sent.
	invalidRetryDelay = 10 * time.Second
	// oversizedRetryDelay is the time before an item is tried again that no server can hold.
	oversizedRetryDelay = 5 * time.Second
	// maxErrorBody is the maximum part of the body of an error response that is read, in
	// bytes.
	maxErrorBody = 64 << 10
	// progressWriteTimeout is the timeout for saving partial output while the instance
	// drains.
	progressWriteTimeout = 2 * time.Second
)

// Causes of the cancellation of a run.
var (
	errPreempted    = errors.New("jobs: preempted by an online request")
	errNotNeeded    = errors.New("jobs: the item already has a result or its job has ended")
	errDraining     = errors.New("jobs: the instance is draining")
	errEventTimeout = errors.New("jobs: timeout waiting for an event from the server")
)

// itemRun is the state of one item on this instance, over all its runs here. The lock of
// the runner guards it. While active is set, only the goroutine of the run uses output and
// lastEvent.
type itemRun struct {
	job   string
	index int
	// active is set during a run, and saving while its result is written.
	active bool
	saving bool
	// server is the server of the active run; empty once the run was preempted.
	server    string
	startedAt time.Time
	// notBefore is the earliest time of the next run.
	notBefore time.Time
	// cancel ends the active run with a cause.
	cancel context.CancelCauseFunc
	// spent is the total time of the runs whose output is kept. fromStart is set during a
	// run that produces the output from its start.
	spent     time.Duration
	fromStart bool
	// output is the output so far, up to and including lastEvent. hasOutput is set once
	// there was an event. reserved is the part of the output budget that the output uses.
	output    []byte
	reserved  int
	lastEvent int64
	hasOutput bool
	// origin is where the output began. The item has waited for a slot at that version since
	// versionWaitSince.
	origin           joblog.Origin
	versionWaitSince time.Time
	// dropsProgress is set if the output that another instance saved, up to the event
	// droppedUpTo, is not used.
	dropsProgress bool
	droppedUpTo   int64
	// failures counts responses with status 500, also those to earlier holders. timeouts and breaks count the runs since the
	// last event that ended by a timeout, or otherwise without a complete response.
	failures, timeouts, breaks int
}

// runOutcome is the outcome of one run.
type runOutcome struct {
	// result is the final state of the item; nil if the item must run again.
	result *joblog.Result
	// output is the output of a completed item.
	output []byte
	// retryDelay is the time before the item may run again.
	retryDelay time.Duration
}

// execute runs an item once on the leased server and writes its result if it is final.
func (r *Runner) execute(ctx context.Context, run *itemRun, accepted *joblog.Accepted, progress *joblog.Progress, route *serving.Route, lease *fleet.Lease) {
	outcome := r.attempt(ctx, run, accepted, progress, route, lease)
	took := time.Since(run.startedAt)
	if outcome.result != nil {
		r.mu.Lock()
		run.saving = true
		r.mu.Unlock()
		r.writeResult(ctx, outcome)
	} else if errors.Is(context.Cause(ctx), errDraining) && run.hasOutput {
		r.saveProgress(ctx, run)
	}
	run.cancel(nil)
	r.mu.Lock()
	run.active, run.saving, run.server = false, false, ""
	run.notBefore = time.Now().Add(outcome.retryDelay)
	r.running--
	r.recordRun(run, accepted, outcome, took)
	if js := r.jobs[run.job]; js != nil && outcome.result != nil {
		// The result may not have been read back from the index yet.
		run.notBefore = time.Now().Add(time.Second)
		r.dropOutput(run)
	}
	r.mu.Unlock()
	r.wake()
}

// recordRun records the time of a run. The caller holds the lock.
func (r *Runner) recordRun(run *itemRun, accepted *joblog.Accepted, outcome runOutcome, took time.Duration) {
	if outcome.result != nil && outcome.result.State == joblog.Completed && run.fromStart {
		r.runTimes.RecordRun(took, accepted.ItemTokens(run.index))
	}
	if run.hasOutput {
		run.spent += took
	}
	run.fromStart = false
}

// attempt sends the item to the leased server and reads its output.
func (r *Runner) attempt(ctx context.Context, run *itemRun, accepted *joblog.Accepted, progress *joblog.Progress, route *serving.Route, lease *fleet.Lease) runOutcome {
	items, err := r.content(ctx, accepted)
	if err == nil && run.index >= len(items) {
		err = errors.New("jobs: the submission has fewer items than its record says")
	}
	if err == nil {
		err = r.restore(ctx, run, progress)
	}
	if err != nil {
		lease.End(balance.Abandoned)
		klog.InfoS("reading the item or its saved output failed", "job", accepted.Job, "item", run.index, "err", err)
		return runOutcome{retryDelay: failedRetryDelay}
	}
	if !r.canGoOn(ctx, run, lease) {
		klog.InfoS("output of an item dropped", "job", run.job, "item", run.index, "serverVersion", run.origin.Version, "next", lease.Server.Version)
		r.restart(run, progress)
	}
	if !lease.Usable() {
		// The server announced that it is leaving while the item was read.
		lease.End(balance.Abandoned)
		return runOutcome{}
	}
	item := &items[run.index]
	run.fromStart = !run.hasOutput
	klog.InfoS("item started", "id", item.ID, "job", run.job, "item", run.index, "server", lease.Server.ID, "serverVersion", lease.Server.Version, "by", lease.Picker,
		"busy", lease.InFlight, "slots", lease.Slots, "after", run.lastEvent)
	sendCtx, cancelSend := context.WithCancelCause(ctx)
	defer cancelSend(nil)
	eventTimeout := run.eventTimeout(route)
	eventTimer := time.AfterFunc(eventTimeout, func() { cancelSend(errEventTimeout) })
	defer eventTimer.Stop()
	response, err := r.Pool.Do(sendCtx, lease.Server.Address, r.buildRequest(run, accepted, item, lease.Server.ID), r.parseServerHeader)
	if err != nil {
		return r.handleInterruption(sendCtx, run, item, lease, err)
	}
	defer response.Close()
	parsed := r.Protocol.ParseResponse(response.Status, response.Header)
	if parsed.Leaving {
		lease.RecordLeaving(parsed.Server)
	}
	if parsed.Signed || parsed.RateLimit > 0 {
		lease.RecordRateLimit(parsed.RateLimit)
	}
	lease.RecordLoad(parsed.Load)
	switch {
	case parsed.NotRun:
		// A read error also makes Close discard the connection.
		_, _ = io.Copy(io.Discard, io.LimitReader(response, maxErrorBody))
		return r.handleRefusal(run, item, lease)
	case response.Status == http.StatusOK && parsed.Signed:
		return r.readOutput(sendCtx, run, item, progress, lease, response, eventTimer, eventTimeout)
	}
	return r.handleFailure(ctx, run, item, accepted, route, lease, response)
}

// eventTimeout returns the time without a complete event after which the run ends.
func (run *itemRun) eventTimeout(route *serving.Route) time.Duration {
	timeout := max(minEventTimeout, eventTimeoutFactor*route.GapObjective)
	return timeout << min(run.timeouts, maxTimeoutDoublings)
}

// interrupted records a run that ended without a complete response, and returns the time
// before the next one. cause is errEventTimeout or nil. Only timeouts count against the item:
// a server that crashes may do so for any reason.
func (run *itemRun) interrupted(cause error) time.Duration {
	if errors.Is(cause, errEventTimeout) {
		run.timeouts++
		return failedRetryDelay << min(run.timeouts-1, maxRetryDoublings)
	}
	run.breaks++
	return failedRetryDelay << min(run.breaks-1, maxBreakDoublings)
}

// restore loads the output that another instance saved.
func (r *Runner) restore(ctx context.Context, run *itemRun, progress *joblog.Progress) error {
	if !run.usesProgress(progress) {
		return nil
	}
	if joblog.TotalBytes(progress.Output) > maxOutputBytes {
		r.restart(run, progress)
		return nil
	}
	output, err := r.Blobs.Read(ctx, progress.Output)
	if err != nil {
		return err
	}
	r.dropOutput(run)
	if err := r.appendOutput(run, output); err != nil {
		return err
	}
	run.lastEvent, run.origin = progress.LastEvent, progress.Origin
	return nil
}

func (r *Runner) buildRequest(run *itemRun, accepted *joblog.Accepted, item *Item, server string) *exchange.Request {
	h := http.Header{}
	for name, value := range item.Header {
		h.Set(name, value)
	}
	r.Codec.SetRequestID(h, item.ID)
	r.Protocol.SetAttemptHeaders(h, server, 0, run.lastEvent, run.hasOutput)
	r.Protocol.SetWorkspace(h, accepted.Workspace)
	return &exchange.Request{Method: http.MethodPost, Target: item.Path, Host: accepted.Host, Header: h, Body: item.Body, ID: item.ID}
}

func (r *Runner) parseServerHeader(status int, h http.Header) (string, time.Duration) {
	response := r.Protocol.ParseResponse(status, h)
	return response.RequestID, response.KeepAliveTimeout
}

// handleInterruption records a run that was cancelled, or whose response did not start or
// was interrupted. The output so far is kept.
func (r *Runner) handleInterruption(ctx context.Context, run *itemRun, item *Item, lease *fleet.Lease, err error) runOutcome {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(err, exchange.ErrInvalidRequest):
		// Records of older versions may hold such items. They are given up at the end of their
		// retention time.
		lease.End(balance.Abandoned)
		r.logRun(item, run, lease, "invalid", err)
		return runOutcome{retryDelay: invalidRetryDelay}
	case cause == nil, errors.Is(cause, errEventTimeout):
		if exchange.IsPathFault(err) {
			lease.End(balance.Abandoned)
		} else {
			lease.End(balance.Unreachable)
		}
		r.Metrics.count("broken")
		r.logRun(item, run, lease, "broken", err)
		return runOutcome{retryDelay: run.interrupted(cause)}
	}
	lease.End(balance.Abandoned)
	r.logRun(item, run, lease, "stopped", cause)
	if errors.Is(cause, errPreempted) {
		return runOutcome{retryDelay: preemptedRetryDelay}
	}
	return runOutcome{}
}

// handleRefusal handles the response of a server that did not run the item.
func (r *Runner) handleRefusal(run *itemRun, item *Item, lease *fleet.Lease) runOutcome {
	r.logRun(item, run, lease, "refused by the server", nil)
	if r.exceedsServers(item, lease.Server.Service) {
		// No server can run it, so that the refusal is no fault of this one.
		lease.End(balance.Abandoned)
		return runOutcome{retryDelay: oversizedRetryDelay}
	}
	lease.End(balance.Refused)
	return runOutcome{retryDelay: refusedRetryDelay}
}

// exceedsServers reports whether an item states more tokens than the servers of a service hold,
// by the configuration in force.
func (r *Runner) exceedsServers(item *Item, service string) bool {
	revision := r.View.Revision()
	if revision == nil {
		return false
	}
	s := revision.Services[service]
	return s != nil && s.Engine != nil && s.Engine.KVCacheTokens > 0 && item.Tokens > s.Engine.KVCacheTokens
}

// handleFailure handles a response of the server without output.
func (r *Runner) handleFailure(ctx context.Context, run *itemRun, item *Item, accepted *joblog.Accepted, route *serving.Route, lease *fleet.Lease, response *exchange.Response) runOutcome {
	// A read error also makes Close discard the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(response, maxErrorBody))
	r.Metrics.count("failed")
	r.logRun(item, run, lease, "failed", fmt.Errorf("status %d", response.Status))
	deadLetter := &joblog.Result{Job: accepted.Job, Item: run.index, ID: item.ID, State: joblog.DeadLetter}
	switch response.Status {
	case http.StatusUnprocessableEntity:
		lease.End(balance.Answered)
		deadLetter.Reason = "the server says that it can never be done"
		return runOutcome{result: deadLetter}
	case http.StatusInternalServerError:
		lease.End(balance.Failed)
		run.failures++
		if run.failures >= route.MaxAttempts {
			deadLetter.Reason = fmt.Sprintf("failed %d times", run.failures)
			return runOutcome{result: deadLetter}
		}
		r.saveFailures(ctx, run)
	default:
		lease.End(balance.Failed)
	}
	return runOutcome{retryDelay: failedRetryDelay}
}

// readOutput reads the events of the item's output.
func (r *Runner) readOutput(ctx context.Context, run *itemRun, item *Item, progress *joblog.Progress, lease *fleet.Lease, response *exchange.Response, eventTimer *time.Timer, eventTimeout time.Duration) runOutcome {
	if !gateway.IsEventStream(response.Header) {
		lease.End(balance.Failed)
		r.Metrics.count("failed")
		r.logRun(item, run, lease, "failed", fmt.Errorf("type %q", response.Header.Get("Content-Type")))
		return runOutcome{retryDelay: failedRetryDelay}
	}
	events, lastReceived, count := gateway.NewEventReader(response), time.Now(), 0
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && run.hasOutput {
			lease.End(balance.Answered)
			r.recordAnswer(item)
			r.Metrics.count("completed")
			r.logRun(item, run, lease, "completed", nil)
			return runOutcome{result: &joblog.Result{Job: run.job, Item: run.index, ID: item.ID, State: joblog.Completed}, output: run.output}
		}
		if err == nil && run.hasOutput && (event.HasID || !run.fromStart) {
			err = event.Follows(run.lastEvent)
		}
		if err != nil {
			return r.handleInterruption(ctx, run, item, lease, err)
		}
		eventTimer.Reset(eventTimeout)
		now := time.Now()
		if count == 0 {
			lease.ResponseStarted()
		} else {
			lease.RecordStepTime(now.Sub(lastReceived))
		}
		lastReceived = now
		count++
		run.timeouts, run.breaks, run.versionWaitSince = 0, 0, time.Time{}
		if !run.hasOutput {
			run.origin = originOf(lease, run.startedAt)
		}
		err = r.appendOutput(run, event.Data())
		if item.Tokens > 0 && int64(count) > item.Tokens+maxExtraEvents {
			err = errOutputTooLong
		}
		if err != nil {
			return r.handleExcessOutput(run, item, progress, lease, err)
		}
		if event.HasID {
			run.lastEvent = event.ID
		}
	}
}

// handleExcessOutput handles a run whose output is not kept: that of a server that sends events
// without end, or one that does not fit into the memory.
func (r *Runner) handleExcessOutput(run *itemRun, item *Item, progress *joblog.Progress, lease *fleet.Lease, err error) runOutcome {
	r.Metrics.count("dropped_output")
	r.logRun(item, run, lease, "output dropped", err)
	r.restart(run, progress)
	if errors.Is(err, errOutputBudget) {
		lease.End(balance.Abandoned)
	} else {
		lease.End(balance.Unreachable)
	}
	return runOutcome{retryDelay: run.interrupted(nil)}
}

// recordAnswer records that the parts of an item's prompt crash no server.
func (r *Runner) recordAnswer(item *Item) {
	request := r.parseItem(item)
	if parts := gateway.SharedParts(&request); len(parts) > 0 {
		r.Answers.RecordAnswer(poison.Request{Parts: parts})
	}
}

// writeResult writes the result of an item to the store. It retries until the write
// succeeds, the item is no longer needed or ctx is done.
func (r *Runner) writeResult(ctx context.Context, outcome runOutcome) {
	var extents [][]joblog.Extent
	for first := true; ; first = false {
		if errors.Is(context.Cause(ctx), errNotNeeded) {
			return
		}
		if !first {
			r.Index.storeHealth.await(ctx, maxRetryDelay)
		}
		writeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeWriteTimeout)
		var err error
		if outcome.result.State == joblog.Completed && extents == nil {
			extents, err = r.Blobs.Write(writeCtx, preferredPartition(outcome.result.Job), [][]byte{outcome.output})
			if err == nil {
				outcome.result.Output = extents[0]
			}
		}
		if err == nil {
			err = r.Index.Append(writeCtx, &joblog.Record{Result: outcome.result})
		}
		cancel()
		if err == nil {
			klog.InfoS("item result written", "id", outcome.result.ID, "job", outcome.result.Job, "item", outcome.result.Item, "state", outcome.result.State, "reason", outcome.result.Reason)
			return
		}
		klog.InfoS("writing the item result failed", "id", outcome.result.ID, "job", outcome.result.Job, "err", err)
		if ctx.Err() != nil {
			return // the instance stops; another one runs the item again
		}
	}
}

// saveProgress writes the output so far to the store, so that another instance can
// continue from there.
func (r *Runner) saveProgress(ctx context.Context, run *itemRun) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), progressWriteTimeout)
	defer cancel()
	extents, err := r.Blobs.Write(ctx, preferredPartition(run.job), [][]byte{run.output})
	if err == nil {
		err = r.Index.Append(ctx, &joblog.Record{Progress: &joblog.Progress{Job: run.job, Item: run.index, LastEvent: run.lastEvent, Output: extents[0], Origin: run.origin}})
	}
	klog.InfoS("partial output saved", "job", run.job, "item", run.index, "after", run.lastEvent, "err", err)
}

// saveFailures records the number of failures, so that it counts at the next holder of the job.
func (r *Runner) saveFailures(ctx context.Context, run *itemRun) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), progressWriteTimeout)
	defer cancel()
	err := r.Index.Append(ctx, &joblog.Record{Failed: &joblog.Failed{Job: run.job, Item: run.index, Count: run.failures}})
	if err != nil {
		klog.InfoS("recording a failure of an item failed", "job", run.job, "item", run.index, "failures", run.failures, "err", err)
	}
}

// logRun logs the end of one run of an item.
func (r *Runner) logRun(item *Item, run *itemRun, lease *fleet.Lease, outcome string, err error) {
	klog.InfoS("item run", "id", item.ID, "job", run.job, "item", run.index, "server", lease.Server.ID, "outcome", outcome,
		"busy", lease.InFlight, "slots", lease.Slots, "after", run.lastEvent, "took", time.Since(run.startedAt), "err", err)
}
