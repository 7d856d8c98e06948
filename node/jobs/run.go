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
	"github.com/jacinthnotch/jacinthnotch/node/internal/clock"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
)

const (
	// firstSilence and gapSilence are the times without an event after which a run
	// goes on at another server. Items are sent to free slots only.
	firstSilence = 1500 * time.Millisecond
	gapSilence   = 1500 * time.Millisecond
	// breaksMost bounds the doublings of the pause of an item that breaks its servers.
	breaksMost = 5
	// maxAnswer bounds the body of a failure that is read, in bytes.
	maxAnswer = 64 << 10
	// saveLimit bounds the saving of output while the instance drains.
	saveLimit = 2 * time.Second
)

// Causes for which a run is ended.
var (
	errPreempted = errors.New("jobs: the slot is needed for an online request")
	errNotNeeded = errors.New("jobs: the item is listed or its job has ended")
	errLeaving   = errors.New("jobs: the instance drains")
	errSilent    = errors.New("jobs: the server is silent")
)

// run is this instance's work on one item. Its fields are guarded by the runner's
// lock; while busy is set, text and after belong to the goroutine that runs it.
type run struct {
	job       string
	index     int
	busy      bool
	saving    bool
	server    string
	began     time.Time
	notBefore time.Time
	stop      context.CancelCauseFunc
	// spent is the time of the runs whose output is kept; whole is set while a run
	// makes the output from its beginning.
	spent time.Duration
	whole bool
	// text is the output so far, up to the event after; begun is set once it has one.
	text  []byte
	after int64
	begun bool
	// failures counts the server's answers of 500, breaks the runs that broke off since
	// the last event.
	failures, breaks int
}

// outcome is the end of one run.
type outcome struct {
	result *joblog.Result
	// text is the output of a completed item.
	text  []byte
	pause time.Duration
}

// execute runs an item once on the leased server and lists it if that ends it.
func (r *Runner) execute(ctx context.Context, it *run, a *joblog.Accepted, p *joblog.Progress, route *serving.Route, lease *fleet.Lease) {
	end := r.attempt(ctx, it, a, p, route, lease)
	took := time.Since(it.began)
	if end.result != nil {
		r.mu.Lock()
		it.saving = true
		r.mu.Unlock()
		r.list(ctx, end)
	} else if errors.Is(context.Cause(ctx), errLeaving) && it.begun {
		r.keep(ctx, it)
	}
	it.stop(nil)
	r.mu.Lock()
	it.busy, it.saving, it.server = false, false, ""
	it.notBefore = time.Now().Add(end.pause)
	r.running--
	r.learn(it, a, end, took)
	if w := r.work[it.job]; w != nil && end.result != nil {
		// The index may not have shown the result yet.
		it.notBefore = time.Now().Add(time.Second)
		it.text = nil
		it.begun, it.after, it.spent = false, 0, 0
	}
	r.mu.Unlock()
	r.kick()
}

// learn records the time of a run. The lock is held.
func (r *Runner) learn(it *run, a *joblog.Accepted, end outcome, took time.Duration) {
	if end.result != nil && end.result.State == joblog.Completed && it.whole {
		r.pace.RecordRun(took, a.ItemTokens(it.index))
	}
	if it.begun {
		it.spent += took
	}
	it.whole = false
}

// attempt sends the item to the leased server and collects its output.
func (r *Runner) attempt(ctx context.Context, it *run, a *joblog.Accepted, p *joblog.Progress, route *serving.Route, lease *fleet.Lease) outcome {
	items, err := r.content(ctx, a)
	if err == nil && it.index >= len(items) {
		err = errors.New("jobs: the submission has fewer items than its record says")
	}
	if err == nil {
		err = r.restore(ctx, it, p)
	}
	if err != nil {
		lease.End(balance.Abandoned)
		klog.InfoS("item cannot be read", "job", a.Job, "item", it.index, "err", err)
		return outcome{pause: failedPause}
	}
	item := &items[it.index]
	it.whole = !it.begun
	sendCtx, silent := context.WithCancelCause(ctx)
	defer silent(nil)
	watch := time.AfterFunc(firstSilence, func() { silent(errSilent) })
	defer watch.Stop()
	answer, err := r.Pool.Do(sendCtx, lease.Server.Address, r.outgoing(it, a, item, lease.Server.ID), r.echo)
	if err != nil {
		return r.broken(sendCtx, it, item, lease, err)
	}
	defer answer.Close()
	said := r.Protocol.ParseResponse(answer.Status, answer.Header)
	switch {
	case said.NotRun:
		// A failure shows in Close, which then drops the connection.
		_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxAnswer))
		lease.End(balance.Refused)
		r.log(item, it, lease, "refused by the server", nil)
		return outcome{pause: refusedPause}
	case answer.Status == http.StatusOK && said.Signed:
		return r.collect(sendCtx, it, item, lease, answer, watch)
	}
	return r.failed(it, item, a, route, lease, answer)
}

// restore loads the output that another instance kept.
func (r *Runner) restore(ctx context.Context, it *run, p *joblog.Progress) error {
	if p == nil || it.begun && it.after >= p.LastEvent {
		return nil
	}
	text, err := r.Blobs.Read(ctx, p.Output)
	if err != nil {
		return err
	}
	it.text, it.after, it.begun = append([]byte(nil), text...), p.LastEvent, true
	return nil
}

func (r *Runner) outgoing(it *run, a *joblog.Accepted, item *Item, server string) *exchange.Request {
	h := http.Header{}
	for name, value := range item.Header {
		h.Set(name, value)
	}
	r.Codec.SetRequestID(h, item.ID)
	r.Protocol.SetAttemptHeaders(h, server, 0, it.after, it.begun)
	return &exchange.Request{Method: http.MethodPost, Target: item.Path, Host: a.Host, Header: h, Body: item.Body, ID: item.ID}
}

func (r *Runner) echo(status int, h http.Header) (string, time.Duration) {
	answer := r.Protocol.ParseResponse(status, h)
	return answer.RequestID, answer.KeepAliveTimeout
}

// broken records a run whose answer did not begin or broke off. The output so far
// stays.
func (r *Runner) broken(ctx context.Context, it *run, item *Item, lease *fleet.Lease, err error) outcome {
	cause := context.Cause(ctx)
	switch {
	case cause == nil, errors.Is(cause, errSilent):
		lease.End(balance.Unreachable)
		r.Metrics.count("broken")
		r.log(item, it, lease, "broken", err)
		// An item that crashes its servers comes to them ever more seldom.
		it.breaks++
		return outcome{pause: failedPause << min(it.breaks-1, breaksMost)}
	}
	lease.End(balance.Abandoned)
	r.log(item, it, lease, "stopped", cause)
	if errors.Is(cause, errPreempted) {
		return outcome{pause: yieldPause}
	}
	return outcome{}
}

// failed handles a server's answer without output.
func (r *Runner) failed(it *run, item *Item, a *joblog.Accepted, route *serving.Route, lease *fleet.Lease, answer *exchange.Response) outcome {
	// A failure shows in Close, which then drops the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxAnswer))
	r.Metrics.count("failed")
	r.log(item, it, lease, "failed", fmt.Errorf("status %d", answer.Status))
	dead := &joblog.Result{Job: a.Job, Item: it.index, ID: item.ID, State: joblog.DeadLetter}
	switch answer.Status {
	case http.StatusUnprocessableEntity:
		lease.End(balance.Answered)
		dead.Reason = "the server says that it can never be done"
		return outcome{result: dead}
	case http.StatusInternalServerError:
		lease.End(balance.Failed)
		it.failures++
		if it.failures >= route.MaxAttempts {
			dead.Reason = fmt.Sprintf("failed %d times", it.failures)
			return outcome{result: dead}
		}
	default:
		lease.End(balance.Failed)
	}
	return outcome{pause: failedPause}
}

// collect reads the events of the item's output.
func (r *Runner) collect(ctx context.Context, it *run, item *Item, lease *fleet.Lease, answer *exchange.Response, watch *time.Timer) outcome {
	events, last, count := gateway.NewEvents(answer), time.Now(), 0
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && it.begun {
			lease.End(balance.Answered)
			r.Metrics.count("completed")
			r.log(item, it, lease, "completed", nil)
			return outcome{result: &joblog.Result{Job: it.job, Item: it.index, ID: item.ID, State: joblog.Completed}, text: it.text}
		}
		if err == nil && it.begun && event.HasID && event.ID != it.after+1 {
			err = fmt.Errorf("event %d after event %d", event.ID, it.after)
		}
		if err != nil {
			return r.broken(ctx, it, item, lease, err)
		}
		watch.Reset(gapSilence)
		now := time.Now()
		if count == 0 {
			lease.Answering()
		} else {
			lease.Pace(now.Sub(last))
		}
		last = now
		count++
		it.breaks = 0
		if it.begun {
			it.text = append(it.text, '\n')
		}
		it.text = append(it.text, event.Data()...)
		it.begun = true
		if event.HasID {
			it.after = event.ID
		}
	}
}

// list writes an item's result to the store, until it is there or the item is not
// needed any more.
func (r *Runner) list(ctx context.Context, end outcome) {
	var extents [][]joblog.Extent
	for first := true; ; first = false {
		if errors.Is(context.Cause(ctx), errNotNeeded) {
			return
		}
		if !first {
			clock.Sleep(ctx, retryMost)
		}
		writeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeLimit)
		var err error
		if end.result.State == joblog.Completed && extents == nil {
			extents, err = r.Blobs.Write(writeCtx, partitionOf(end.result.Job), [][]byte{end.text})
			if err == nil {
				end.result.Output = extents[0]
			}
		}
		if err == nil {
			err = r.Index.Append(writeCtx, &joblog.Record{Result: end.result})
		}
		cancel()
		if err == nil {
			klog.InfoS("item listed", "id", end.result.ID, "job", end.result.Job, "item", end.result.Item, "state", end.result.State, "reason", end.result.Reason)
			return
		}
		klog.InfoS("result not written yet", "id", end.result.ID, "job", end.result.Job, "err", err)
		if ctx.Err() != nil {
			return // the instance ends; another one runs the item again
		}
	}
}

// keep writes the output so far to the store.
func (r *Runner) keep(ctx context.Context, it *run) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), saveLimit)
	defer cancel()
	extents, err := r.Blobs.Write(ctx, partitionOf(it.job), [][]byte{it.text})
	if err == nil {
		err = r.Index.Append(ctx, &joblog.Record{Progress: &joblog.Progress{Job: it.job, Item: it.index, LastEvent: it.after, Output: extents[0]}})
	}
	klog.InfoS("output kept for others", "job", it.job, "item", it.index, "after", it.after, "err", err)
}

// log writes the line that closes one run of an item.
func (r *Runner) log(item *Item, it *run, lease *fleet.Lease, outcome string, err error) {
	klog.InfoS("item run", "id", item.ID, "job", it.job, "item", it.index, "server", lease.Server.ID, "outcome", outcome,
		"busy", lease.InFlight, "slots", lease.Slots, "after", it.after, "took", time.Since(it.began), "err", err)
}
