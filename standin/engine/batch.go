package engine

import (
	"context"
	"strings"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/standin/kit"
)

// sequence is a request that is waiting or in the batch.
type sequence struct {
	prompt         string
	prefixHashes   []uint64
	fingerprint    string
	id             string
	from, to       int // range [from, to) of the tokens to generate, as positions in the whole answer
	reservedTokens int // KV memory that the request needs, in tokens

	// The engine's mu guards the fields below.
	prefillRemaining int           // prompt and resumed tokens that are not yet processed
	cachedTokens     int           // prompt tokens found in the prefix cache
	produced         int           // position of the next token to generate
	done             bool          // completed, cancelled or aborted
	aborted          bool          // the engine was killed
	changed          chan struct{} // receives after a change of produced or aborted; capacity 1
}

func (s *sequence) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// loop runs the steps of the batch until the engine is closed.
func (e *Engine) loop(ctx context.Context) {
	defer close(e.loopDone)
	for {
		e.mu.Lock()
		e.startWaiting()
		d, busy := e.stepDuration()
		e.mu.Unlock()
		if !busy {
			select {
			case <-e.wakeUp:
				continue
			case <-ctx.Done():
				return
			}
		}
		if kit.Sleep(ctx, e.opts.Clock, d) != nil {
			return
		}
		e.mu.Lock()
		e.runStep()
		e.mu.Unlock()
	}
}

// wakeLoop wakes the loop if it waits for a request.
func (e *Engine) wakeLoop() {
	select {
	case e.wakeUp <- struct{}{}:
	default:
	}
}

// startWaiting moves waiting requests to the batch in order of arrival while there are free
// slots and KV memory. The caller holds mu.
func (e *Engine) startWaiting() {
	e.removeDone()
	for len(e.waiting) > 0 && len(e.running) < e.opts.Slots {
		s := e.waiting[0]
		if e.reservedTokens()+s.reservedTokens > e.opts.KVTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
		blocks := e.cache.match(s.prefixHashes)
		s.cachedTokens = blocks * blockTokens
		s.prefillRemaining = max(0, len(s.prompt)/BytesPerToken-s.cachedTokens) + s.from
		e.cache.shrink(e.opts.KVTokens-e.reservedTokens(), e.opts.Clock.Now(), e.faults.EventGap)
		e.recordStart(s)
	}
	e.recordLoad()
}

// recordStart counts the start of a run and crashes the engine if the prompt contains
// CrashMark. The caller holds mu.
func (e *Engine) recordStart(s *sequence) {
	c := e.runCounts[s.fingerprint]
	if c == nil {
		c = new(RunCount)
		e.runCounts[s.fingerprint] = c
	}
	c.Runs++
	if s.from > 0 {
		c.Resumed++
	}
	if len(c.IDs) < maxRunIDs {
		c.IDs = append(c.IDs, s.id)
	}
	if strings.Contains(s.prompt, CrashMark) {
		e.crashes++
		e.terminate() // immediately, so that no request in the batch makes progress
		go e.crashAndRestart()
	}
}

// removeDone removes finished and cancelled requests from the batch and from the waiting
// requests. The caller holds mu.
func (e *Engine) removeDone() {
	remaining := func(list []*sequence) []*sequence {
		out := list[:0]
		for _, s := range list {
			if !s.done {
				out = append(out, s)
			}
		}
		clear(list[len(out):])
		return out
	}
	e.running, e.waiting = remaining(e.running), remaining(e.waiting)
}

// reservedTokens returns the KV memory that the batch has reserved. The caller holds mu.
func (e *Engine) reservedTokens() int {
	n := 0
	for _, s := range e.running {
		n += s.reservedTokens
	}
	return n
}

// stepDuration returns the duration of the next step. It returns false if the batch is
// empty. The caller holds mu.
func (e *Engine) stepDuration() (time.Duration, bool) {
	if len(e.running) == 0 {
		return 0, false
	}
	seconds, budget, decoding := 0.0, prefillChunk, 0
	for _, s := range e.running {
		if s.prefillRemaining > 0 {
			budget -= min(budget, s.prefillRemaining)
		} else {
			decoding++
		}
	}
	if e.opts.PrefillRate > 0 {
		seconds += float64(prefillChunk-budget) / e.opts.PrefillRate
	}
	if e.opts.DecodeRate > 0 && decoding > 0 {
		seconds += (1 + e.opts.BatchCost*float64(decoding-1)) / e.opts.DecodeRate
	}
	return time.Duration(seconds * max(1, e.faults.Slow) * float64(time.Second)), true
}

// runStep runs the step whose duration stepDuration returned. The caller holds mu.
func (e *Engine) runStep() {
	budget := prefillChunk
	for _, s := range e.running {
		if s.done {
			continue
		}
		if s.prefillRemaining > 0 {
			n := min(budget, s.prefillRemaining)
			budget -= n
			s.prefillRemaining -= n
			if s.prefillRemaining == 0 {
				e.cache.insert(s.prefixHashes, e.opts.KVTokens-e.reservedTokens(), e.opts.Clock.Now(), e.faults.EventGap)
			}
			continue
		}
		if s.produced < s.to {
			s.produced++
			e.runCount(s).Tokens++
		}
		if s.produced >= s.to {
			s.done = true
			e.runCount(s).Completed++
		}
		s.notify()
	}
}

func (e *Engine) runCount(s *sequence) *RunCount { return e.runCounts[s.fingerprint] }

// recordLoad records the current load for Load, which returns it after LoadLag. The caller
// holds mu.
func (e *Engine) recordLoad() {
	now := e.opts.Clock.Now()
	used := e.reservedTokens()
	r := port.LoadReport{
		At: now, Running: len(e.running), Waiting: len(e.waiting), MaxSlots: e.opts.Slots,
		KVUsed:      float64(used) / float64(e.opts.KVTokens),
		PrefillRate: e.opts.PrefillRate / max(1, e.faults.Slow),
		DecodeRate:  e.opts.DecodeRate / max(1, e.faults.Slow),
	}
	if n := len(e.loadReports); n > 0 && e.loadReports[n-1].At.Equal(now) {
		e.loadReports[n-1] = r
		return
	}
	if len(e.loadReports) >= maxReports {
		e.loadReports = append(e.loadReports[:0], e.loadReports[maxReports/4:]...)
	}
	e.loadReports = append(e.loadReports, r)
}

// Load returns the newest load report that is at least LoadLag old, or the oldest one.
func (e *Engine) Load() port.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordLoad()
	cutoff := e.opts.Clock.Now().Add(-e.opts.LoadLag.Std())
	newest := e.loadReports[0]
	for _, r := range e.loadReports {
		if !r.At.After(cutoff) {
			newest = r
		}
	}
	return newest
}
