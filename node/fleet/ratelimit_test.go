package fleet

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// Guards against a rejection by the rate limit of the store that is taken for an outage: entries
// that are removed then are those of servers that have left, not ones that expired.
func TestRejectedReadIsNoOutage(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	rejected := fmt.Errorf("%w: %w", port.ErrUnavailable, &port.StatusError{Status: http.StatusTooManyRequests})
	f := &scriptedFeed{onEnd: cancel, reads: []read{{entries: revision(1), next: 1}, {err: rejected}, {err: rejected}, {entries: revision(2), next: 2}}}
	var outcomes []bool
	follower := &Follower[serving.Revision]{Name: "test", Feed: f, Apply: func([]port.Entry[serving.Revision], bool) {}, OnRead: func(ok bool) { outcomes = append(outcomes, ok) }}
	follower.Run(ctx)
	if !slices.Equal(outcomes, []bool{true, true}) {
		t.Fatalf("outcomes of the reads %v, want two that succeeded", outcomes)
	}
}
