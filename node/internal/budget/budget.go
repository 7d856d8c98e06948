// Package budget limits the memory that many concurrent activities take together.
package budget

import "sync"

// Budget limits the sum of the sizes of buffers. A buffer may always grow to its share, so that
// short ones go on while long ones use the budget up. It is safe for concurrent use. A nil
// Budget limits nothing.
type Budget struct {
	mu sync.Mutex
	// used is the sum of the sizes of all buffers, in bytes.
	used int
	// limit is the sum up to which a buffer may be longer than share.
	limit, share int
}

// New returns a budget of limit bytes, of which each buffer may take share bytes whatever the
// others take.
func New(limit, share int) *Budget { return &Budget{limit: limit, share: share} }

// Resize records that the size of a buffer changes, in bytes; a new buffer has the size zero. It
// returns false, and changes nothing, if the buffer must not grow to this size.
func (b *Budget) Resize(from, to int) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if to > from && to > b.share && b.used+to-from > b.limit {
		return false
	}
	b.used += to - from
	return true
}

// Used returns the sum of the sizes of all buffers in bytes.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
