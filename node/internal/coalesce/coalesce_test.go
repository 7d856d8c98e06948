package coalesce

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a caller that gets the outcome of a call that began before it asked, against
// calls that are not shared, and against callers that wait longer than they want to.
func TestDo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Group
		var calls atomic.Int64
		var began atomic.Pointer[time.Time]
		failure := errors.New("failed")
		f := func(context.Context) error {
			now := time.Now()
			began.Store(&now)
			calls.Add(1)
			time.Sleep(10 * time.Millisecond)
			return failure
		}
		var running sync.WaitGroup
		for range 100 {
			time.Sleep(time.Millisecond)
			for range 5 {
				running.Go(func() {
					asked := time.Now()
					if err := g.Do(t.Context(), time.Second, f); !errors.Is(err, failure) {
						t.Error(err)
					}
					if began.Load().Before(asked) {
						t.Error("the call began before it was asked for")
					}
				})
			}
		}
		running.Wait()
		if n := calls.Load(); n > 12 {
			t.Errorf("%d calls in 100 ms, want one in 10 ms", n)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Millisecond)
		defer cancel()
		if err := g.Do(ctx, time.Second, f); !errors.Is(err, context.DeadlineExceeded) {
			t.Error(err)
		}
		if err := g.Do(t.Context(), time.Millisecond, func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }); !errors.Is(err, context.DeadlineExceeded) {
			t.Error(err)
		}
	})
}
