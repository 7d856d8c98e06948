package owner

import (
	"context"
	"time"

	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

const (
	// defaultWait is how long a request may wait that does not set a wait of its own.
	defaultWait = 10 * time.Second
	// maxWait bounds the wait of every request.
	maxWait = time.Minute
	// replyMargin is how long before the caller's deadline a waiting request is
	// answered, so that the refusal still arrives: twice the period of the check.
	replyMargin = 2 * busyTickPeriod
)

// replyDeadline returns the latest time to answer a request.
func replyDeadline(ctx context.Context, waitMs int64) time.Time {
	now := time.Now()
	wait := defaultWait
	if waitMs > 0 {
		wait = min(time.Duration(waitMs)*time.Millisecond, maxWait)
	}
	latest := now.Add(wait)
	if deadline, ok := ctx.Deadline(); ok {
		latest = earlier(latest, deadline.Add(-min(replyMargin, deadline.Sub(now)/4)))
	}
	return latest
}

type answer[T any] struct {
	value   T
	refusal *peerpb.Refusal
}

// ask runs f in the owner's goroutine and waits for its reply or the end of ctx. Only
// the first reply counts.
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
		if o.currentPhase() == phaseEnded {
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

// query runs f, which reads the partition's state, in the owner's goroutine and
// returns its result.
func query[T any](ctx context.Context, o *partitionOwner, f func() (T, *peerpb.Refusal)) (T, *peerpb.Refusal) {
	return ask(ctx, o, func(reply func(T, *peerpb.Refusal)) { reply(f()) })
}

// withDefaultTimeout applies a timeout to a context that has no deadline. Requests of
// other instances have none, since drpc does not transmit deadlines.
func withDefaultTimeout(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, wait)
}
