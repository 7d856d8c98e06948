// Package clock holds waits that end with a context.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d or the end of ctx, whichever is first.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
