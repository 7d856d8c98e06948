// Package ring provides bounded queues, implemented as ring buffers, that pass
// items between the goroutines of an instance.
//
// A ring has a fixed capacity. Offer never blocks: it rejects and counts an item
// if the ring is full or closed. Put and Get wait no longer than their context.
// After Close, the items in the ring can still be received.
package ring

import (
	"context"
	"errors"
	"expvar"
	"sync"
)

var (
	// ErrFull is returned for an item that was rejected because the ring is full.
	ErrFull = errors.New("ring: full")
	// ErrClosed is returned for a closed ring: to a producer at once, to a consumer
	// when no item is left.
	ErrClosed = errors.New("ring: closed")
)

// Ring is a bounded queue for any number of producers and consumers.
type Ring[T any] struct {
	mu     sync.Mutex
	items  []T
	head   int
	count  int
	closed bool
	// notEmpty and notFull hold at most one token, which wakes one waiter. That
	// waiter puts the token back if another one can proceed too.
	notEmpty chan struct{}
	notFull  chan struct{}
	done     chan struct{}
	rejected *expvar.Int
}

// New returns a ring for capacity items, at least one. rejected counts the
// rejected items; it may be shared between rings and may be nil.
func New[T any](capacity int, rejected *expvar.Int) *Ring[T] {
	if rejected == nil {
		rejected = new(expvar.Int)
	}
	return &Ring[T]{
		items:    make([]T, max(capacity, 1)),
		notEmpty: make(chan struct{}, 1),
		notFull:  make(chan struct{}, 1),
		done:     make(chan struct{}),
		rejected: rejected,
	}
}

// Offer adds an item without waiting. It returns ErrFull or ErrClosed if it
// rejected and counted the item.
func (r *Ring[T]) Offer(item T) error {
	err := r.push(item)
	if err != nil {
		r.rejected.Add(1)
	}
	return err
}

// TryPut is like Offer, but does not count a rejected item. It is for a producer
// that keeps a rejected item and handles it in another way.
func (r *Ring[T]) TryPut(item T) error { return r.push(item) }

// Put adds an item. If the ring is full, it waits until there is space or ctx
// ends. It returns ErrClosed or the context's error if it rejected and counted
// the item.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	for {
		err := r.push(item)
		if err == nil {
			return nil
		}
		if err == ErrClosed {
			r.rejected.Add(1)
			return err
		}
		select {
		case <-r.notFull:
		case <-r.done:
		case <-ctx.Done():
			r.rejected.Add(1)
			return ctx.Err()
		}
	}
}

// Get removes and returns the oldest item. If the ring is empty, it waits for an
// item until ctx ends. It returns ErrClosed if the ring is closed and empty. If the
// ring has an item, Get returns it even if ctx has ended.
func (r *Ring[T]) Get(ctx context.Context) (T, error) {
	for {
		item, ok, closed := r.pop()
		if ok {
			return item, nil
		}
		if closed {
			return item, ErrClosed
		}
		select {
		case <-r.notEmpty:
		case <-r.done:
		case <-ctx.Done():
			return item, ctx.Err()
		}
	}
}

// TryGet removes and returns the oldest item without waiting. It returns false if
// the ring is empty.
func (r *Ring[T]) TryGet() (T, bool) {
	item, ok, _ := r.pop()
	return item, ok
}

// Close makes the ring reject new items. Items in the ring can still be received.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.closed = true
		close(r.done)
	}
}

// Drain closes the ring, and removes and returns its remaining items.
func (r *Ring[T]) Drain() []T {
	r.Close()
	var out []T
	for {
		item, ok := r.TryGet()
		if !ok {
			return out
		}
		out = append(out, item)
	}
}

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Cap returns the capacity.
func (r *Ring[T]) Cap() int { return len(r.items) }

func (r *Ring[T]) push(item T) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return ErrClosed
	}
	if r.count == len(r.items) {
		return ErrFull
	}
	r.items[(r.head+r.count)%len(r.items)] = item
	r.count++
	wake(r.notEmpty)
	if r.count < len(r.items) {
		wake(r.notFull)
	}
	return nil
}

func (r *Ring[T]) pop() (item T, ok, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 {
		return item, false, r.closed
	}
	var zero T
	item = r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.count--
	wake(r.notFull)
	if r.count > 0 {
		wake(r.notEmpty)
	}
	return item, true, r.closed
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
