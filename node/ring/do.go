package ring

import (
	"context"
	"time"
)

// Do has the duty that receives from r run fn, and waits until it was run. The
// error is that of ctx, or of a ring that is closed; fn may still run after ctx
// has ended.
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
