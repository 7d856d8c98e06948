package engine

import (
	"container/list"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// blockTokens is the size of one block of the prefix cache.
const blockTokens = BlockBytes / BytesPerToken

// prefixCache keeps block prefixes, the most recently used in front. The caller
// holds the engine's lock.
type prefixCache struct {
	order   *list.List // of uint64
	entries map[uint64]*list.Element
	events  []timedEvent
	seq     uint64
}

type timedEvent struct {
	at    time.Time
	event port.CacheEvent
}

func newPrefixCache() prefixCache {
	return prefixCache{order: list.New(), entries: make(map[uint64]*list.Element)}
}

func (c *prefixCache) tokens() int { return c.order.Len() * blockTokens }

// match returns the number of leading prefixes that are cached, and uses them.
func (c *prefixCache) match(prefixes []uint64) int {
	n := 0
	for n < len(prefixes) && c.entries[prefixes[n]] != nil {
		n++
	}
	for i := n - 1; i >= 0; i-- {
		c.order.MoveToFront(c.entries[prefixes[i]])
	}
	return n
}

// insert adds the prefixes as far as room tokens allow; older ones give way.
func (c *prefixCache) insert(prefixes []uint64, room int, now time.Time, gap int) {
	prefixes = prefixes[:min(len(prefixes), room/blockTokens)]
	// The longest goes in first, so that the shortest is the last to be evicted.
	for i := len(prefixes) - 1; i >= 0; i-- {
		p := prefixes[i]
		if e := c.entries[p]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.entries[p] = c.order.PushFront(p)
		c.publish(port.CacheEvent{Prefix: p, Tokens: (i + 1) * blockTokens}, now, gap)
	}
	c.shrink(room, now, gap)
}

// shrink evicts the least recently used prefixes until room tokens suffice.
func (c *prefixCache) shrink(room int, now time.Time, gap int) {
	for c.tokens() > max(0, room) {
		p := c.order.Remove(c.order.Back()).(uint64)
		delete(c.entries, p)
		c.publish(port.CacheEvent{Prefix: p, Evicted: true}, now, gap)
	}
}

// publish numbers an event; every gap-th is lost after it was numbered.
func (c *prefixCache) publish(e port.CacheEvent, now time.Time, gap int) {
	c.seq++
	e.Seq = c.seq
	if gap > 0 && c.seq%uint64(gap) == 0 {
		return
	}
	if len(c.events) >= maxEvents {
		c.events = append(c.events[:0], c.events[maxEvents/4:]...)
	}
	c.events = append(c.events, timedEvent{now, e})
}

// after returns the events above seq that are at least delay old.
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

// clear empties the cache without events, as a restart does. The sequence goes
// on, so that readers see a gap.
func (c *prefixCache) clear() {
	c.order.Init()
	clear(c.entries)
	c.events = nil
	c.seq++
}
