package coalesce

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a caller that gets the outcome of a call that began before it asked, against
// calls that are not shared, and against a caller that waits for longer than it wants to.
func TestDo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Group
		var mu sync.Mutex
		var began []time.Time
		failure := errors.New("failed")
		f := func(context.Context) error {
			mu.Lock()
			began = append(began, time.Now())
			mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			return failure
		}
		var running sync.WaitGroup
		for range 100 {
			time.Sleep(time.Millisecond)
			running.Go(func() {
				asked := time.Now()
				err := g.Do(t.Context(), time.Second, f)
				mu.Lock()
				defer mu.Unlock()
				if !errors.Is(err, failure) || began[len(began)-1].Before(asked) || len(began) > 12 {
					t.Errorf("%v after %d calls", err, len(began))
				}
			})
		}
		running.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Millisecond)
		defer cancel()
		defer time.Sleep(time.Second) // until the call has ended
		if err := g.Do(ctx, time.Second, f); !errors.Is(err, context.DeadlineExceeded) {
			t.Error(err)
		}
	})
}
