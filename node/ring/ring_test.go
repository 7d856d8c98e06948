package ring

import (
	"context"
	"errors"
	"expvar"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
)

// Guards against items that are lost, delivered twice or reordered within one
// producer when several producers and consumers wait on a small ring.
func TestDeliversEveryItemOnce(t *testing.T) {
	const producers, consumers, each = 8, 4, 2000
	r := New[[2]int](3, nil)
	ctx := t.Context()
	got := make([][][2]int, consumers)
	var in, out conc.WaitGroup
	for p := range producers {
		in.Go(func() {
			for i := range each {
				if err := r.Put(ctx, [2]int{p, i}); err != nil {
					t.Errorf("Put: %v", err)
				}
			}
		})
	}
	for c := range consumers {
		out.Go(func() {
			for {
				item, err := r.Get(ctx)
				if err != nil {
					return
				}
				got[c] = append(got[c], item)
			}
		})
	}
	in.Wait()
	r.Close()
	out.Wait()
	seen := make(map[[2]int]bool)
	for _, items := range got {
		last := make(map[int]int)
		for _, it := range items {
			if prev, ok := last[it[0]]; ok && it[1] <= prev {
				t.Fatalf("producer %d: %d after %d", it[0], it[1], prev)
			}
			last[it[0]] = it[1]
			if seen[it] {
				t.Fatalf("item %v twice", it)
			}
			seen[it] = true
		}
	}
	if len(seen) != producers*each {
		t.Errorf("%d items, want %d", len(seen), producers*each)
	}
}

// Guards against a full ring that blocks Offer or does not count rejected items,
// and against a closed ring that loses its items.
func TestFullAndClosedRing(t *testing.T) {
	var rejected expvar.Int
	r := New[int](2, &rejected)
	for i := range 3 {
		err := r.Offer(i)
		if (i < 2) != (err == nil) || i == 2 && !errors.Is(err, ErrFull) {
			t.Errorf("Offer %d: %v", i, err)
		}
	}
	r.Close()
	if err := r.Offer(9); !errors.Is(err, ErrClosed) {
		t.Errorf("Offer after Close: %v", err)
	}
	if rejected.Value() != 2 {
		t.Errorf("rejected %d, want 2", rejected.Value())
	}
	if v, err := r.Get(t.Context()); v != 0 || err != nil {
		t.Errorf("Get: %d, %v", v, err)
	}
	if rest := r.Drain(); len(rest) != 1 || rest[0] != 1 {
		t.Errorf("Drain: %v", rest)
	}
	if _, err := r.Get(t.Context()); !errors.Is(err, ErrClosed) {
		t.Errorf("Get: %v", err)
	}
}

// Guards against a Get or Put that waits after its context has ended.
func TestContextEndsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New[int](1, nil)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := r.Get(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Get: %v", err)
		}
		if err := r.Offer(1); err != nil {
			t.Fatal(err)
		}
		if err := r.Put(ctx, 2); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Put: %v", err)
		}
	})
}
