// Package clock provides waits that end early when a context is done.
package clock

import (
	"context"
	"time"
)

// Sleep waits until d has passed or ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
