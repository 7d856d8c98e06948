package ring

import (
	"context"
	"time"
)

// Do sends fn through r to the goroutine that receives from it, and waits until
// that goroutine has run fn. It returns ErrClosed if the ring is closed, or the
// context's error. In the latter case fn may still run later.
func Do[E ~func(time.Time)](ctx context.Context, r *Ring[E], fn func(now time.Time)) error {
	done := make(chan struct{})
	if err := r.Put(ctx, func(now time.Time) { fn(now); close(done) }); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
