package engine

import (
	"container/list"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// blockTokens is the size of a block of the prefix cache.
const blockTokens = BlockBytes / BytesPerToken

// prefixCache is an LRU cache of prompt prefixes, identified by their hashes. The engine's mu
// guards it.
type prefixCache struct {
	lru     *list.List // of hashes, the most recently used first
	entries map[uint64]*list.Element
	events  []timedEvent
	lastSeq uint64
}

// timedEvent is a cache event with the time at which it occurred.
type timedEvent struct {
	at    time.Time
	event port.CacheEvent
}

func newPrefixCache() prefixCache {
	return prefixCache{lru: list.New(), entries: make(map[uint64]*list.Element)}
}

func (c *prefixCache) tokens() int { return c.lru.Len() * blockTokens }

// match returns the number of leading prefixes that are cached and marks them as used.
func (c *prefixCache) match(hashes []uint64) int {
	n := 0
	for n < len(hashes) && c.entries[hashes[n]] != nil {
		n++
	}
	for i := n - 1; i >= 0; i-- {
		c.lru.MoveToFront(c.entries[hashes[i]])
	}
	return n
}

// insert adds as many of the prefixes as fit into maxTokens, and evicts others if necessary.
func (c *prefixCache) insert(hashes []uint64, maxTokens int, now time.Time, eventGap int) {
	hashes = hashes[:min(len(hashes), maxTokens/blockTokens)]
	// The longest prefix is inserted first, so that the shortest one is evicted last.
	for i := len(hashes) - 1; i >= 0; i-- {
		h := hashes[i]
		if e := c.entries[h]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.entries[h] = c.lru.PushFront(h)
		c.publish(port.CacheEvent{Prefix: h, Tokens: (i + 1) * blockTokens}, now, eventGap)
	}
	c.shrink(maxTokens, now, eventGap)
}

// shrink evicts the least recently used prefixes until the cache fits into maxTokens.
func (c *prefixCache) shrink(maxTokens int, now time.Time, eventGap int) {
	for c.tokens() > max(0, maxTokens) {
		h := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.entries, h)
		c.publish(port.CacheEvent{Prefix: h, Evicted: true}, now, eventGap)
	}
}

// publish assigns a sequence number to an event and adds it, except for every eventGap-th
// event, which is lost.
func (c *prefixCache) publish(e port.CacheEvent, now time.Time, eventGap int) {
	c.lastSeq++
	e.Seq = c.lastSeq
	if eventGap > 0 && c.lastSeq%uint64(eventGap) == 0 {
		return
	}
	if len(c.events) >= maxEvents {
		c.events = append(c.events[:0], c.events[maxEvents/4:]...)
	}
	c.events = append(c.events, timedEvent{now, e})
}

// after returns the events after sequence number seq that are at least delay old.
func (c *prefixCache) after(seq uint64, now time.Time, delay time.Duration) port.CacheEventPage {
	page := port.CacheEventPage{Events: []port.CacheEvent{}, Last: seq}
	for _, e := range c.events {
		if now.Sub(e.at) < delay {
			break
		}
		if e.event.Seq > seq {
			page.Events = append(page.Events, e.event)
			page.Last = e.event.Seq
		}
	}
	return page
}

// clear empties the cache and drops its events, as a restart does. It skips a sequence
// number, so that readers detect a gap.
func (c *prefixCache) clear() {
	c.lru.Init()
	clear(c.entries)
	c.events = nil
	c.lastSeq++
}
