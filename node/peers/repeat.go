package peers

import (
	"maps"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/poison"
)

const (
	// breakRepeats is how often a report of a broken run is sent again, at intervals of
	// breakRepeatInterval, because datagrams may be lost and no other crash may follow.
	breakRepeats        = 4
	breakRepeatInterval = 200 * time.Millisecond
	// maxPendingBreaks limits the reports that are sent again; the oldest are dropped.
	maxPendingBreaks = 256
	// seenBreakTTL is the time for which a hub remembers reports to ignore their repetitions.
	seenBreakTTL = 10 * breakRepeats * breakRepeatInterval
	// maxSeenBreaks is the number of remembered reports from which old ones are forgotten.
	maxSeenBreaks = 1024
)

// pendingBreak is a report of a broken run that is sent again at a time.
type pendingBreak struct {
	report *brokenRun
	at     time.Time
	left   int
}

// breakKey identifies a broken run.
type breakKey struct {
	server uint32
	whole  poison.Subject
}

// repeatLater makes a report of a broken run be sent again. The lock must be held.
func (c *containment) repeatLater(now time.Time, report *brokenRun) {
	if len(c.pendingBreaks) >= maxPendingBreaks {
		c.pendingBreaks = c.pendingBreaks[1:]
	}
	c.pendingBreaks = append(c.pendingBreaks, pendingBreak{report, now.Add(breakRepeatInterval), breakRepeats})
}

// dueBreaks returns the reports to send again now.
func (c *containment) dueBreaks(now time.Time) []*brokenRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []*brokenRun
	kept := c.pendingBreaks[:0]
	for _, p := range c.pendingBreaks {
		if !now.Before(p.at) {
			due = append(due, p.report)
			p.left, p.at = p.left-1, now.Add(breakRepeatInterval)
		}
		if p.left > 0 {
			kept = append(kept, p)
		}
	}
	clear(c.pendingBreaks[len(kept):])
	c.pendingBreaks = kept
	return due
}

// isRepetition reports whether a report of a broken run arrived before. A repetition must not
// count again, because an answer may have cleared the request since. The lock must be held.
func (c *containment) isRepetition(now time.Time, report *brokenRun) bool {
	key := breakKey{report.Server, report.Whole}
	at, known := c.seenBreaks[key]
	if known && now.Sub(at) < seenBreakTTL {
		return true
	}
	if len(c.seenBreaks) >= maxSeenBreaks {
		maps.DeleteFunc(c.seenBreaks, func(_ breakKey, at time.Time) bool { return now.Sub(at) >= seenBreakTTL })
	}
	c.seenBreaks[key] = now
	return false
}

// resendBreaks sends the reports of broken runs that are due again.
func (g *Group) resendBreaks(now time.Time) {
	for _, report := range g.containment.dueBreaks(now) {
		g.sendToHubs(kindBrokenRun, report)
	}
}
