package owner

import (
	"context"
	"time"

	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

const (
	// defaultWait is how long a request without its own bound may wait.
	defaultWait = 10 * time.Second
	// maxWait bounds every wait within a duty.
	maxWait = time.Minute
	// replyMargin is how long before the caller's deadline a waiting request is
	// answered, so that the reason still arrives: twice the period of the check.
	replyMargin = 2 * busyTickPeriod
)

// replyDeadline returns when a request is to be answered at the latest.
func replyDeadline(ctx context.Context, waitMs int64) time.Time {
	now := time.Now()
	wait := defaultWait
	if waitMs > 0 {
		wait = min(time.Duration(waitMs)*time.Millisecond, maxWait)
	}
	until := now.Add(wait)
	if deadline, ok := ctx.Deadline(); ok {
		until = earlier(until, deadline.Add(-min(replyMargin, deadline.Sub(now)/4)))
	}
	return until
}

type answer[T any] struct {
	value   T
	refusal *peerpb.Refusal
}

// ask runs f in the duty and waits until it has replied or ctx ends. Only the
// first reply counts.
func ask[T any](ctx context.Context, o *partitionOwner, f func(reply func(T, *peerpb.Refusal))) (T, *peerpb.Refusal) {
	replies := make(chan answer[T], 1)
	reply := func(v T, r *peerpb.Refusal) {
		select {
		case replies <- answer[T]{v, r}:
		default:
		}
	}
	var zero T
	err := o.events.Offer(func() {
		if r := o.ownershipRefusal(); r != nil {
			reply(zero, r)
			return
		}
		f(reply)
	})
	if err != nil {
		if o.getPhase() == phaseEnded {
			return zero, refuseOwner("", "this instance does not hold the partition")
		}
		return zero, refuseBusy("too many requests for the partition")
	}
	select {
	case a := <-replies:
		return a.value, a.refusal
	case <-ctx.Done():
		return zero, refuseUnknown()
	}
}

// query reads the state of a partition.
func query[T any](ctx context.Context, o *partitionOwner, f func() (T, *peerpb.Refusal)) (T, *peerpb.Refusal) {
	return ask(ctx, o, func(reply func(T, *peerpb.Refusal)) { reply(f()) })
}

// withDefaultTimeout gives a context without a deadline the default one: drpc does not
// carry deadlines.
func withDefaultTimeout(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, wait)
}
