package engine

import (
	"context"
	"strings"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/standin/kit"
)

// sequence is one request on its way through the batch.
type sequence struct {
	prompt      string
	prefixes    []uint64
	fingerprint string
	id          string
	from, to    int // token positions in the whole answer to generate
	reserved    int // KV tokens

	// The fields below are guarded by the engine's lock.
	prefillLeft int
	cached      int
	produced    int // position of the next token
	gone        bool
	aborted     bool          // by a crash of the engine
	changed     chan struct{} // capacity 1: produced or aborted has changed
}

func (s *sequence) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// loop runs the batch, one step after the other, until the engine is closed.
func (e *Engine) loop(ctx context.Context) {
	defer close(e.done)
	for {
		e.mu.Lock()
		e.admit()
		d, busy := e.plan()
		e.mu.Unlock()
		if !busy {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if kit.Sleep(ctx, e.opts.Clock, d) != nil {
			return
		}
		e.mu.Lock()
		e.step()
		e.mu.Unlock()
	}
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// admit moves waiting requests to the batch in order of arrival while slots and
// KV memory last.
func (e *Engine) admit() {
	e.dropGone()
	for len(e.waiting) > 0 && len(e.running) < e.opts.Slots {
		s := e.waiting[0]
		if e.reserved()+s.reserved > e.opts.KVTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
		blocks := e.cache.match(s.prefixes)
		s.cached = blocks * blockTokens
		s.prefillLeft = max(0, len(s.prompt)/BytesPerToken-s.cached) + s.from
		e.cache.shrink(e.opts.KVTokens-e.reserved(), e.opts.Clock.Now(), e.faults.EventGap)
		e.began(s)
	}
	e.report()
}

// began counts a run and crashes the engine if the request is marked for it.
func (e *Engine) began(s *sequence) {
	c := e.runs[s.fingerprint]
	if c == nil {
		c = new(RunCount)
		e.runs[s.fingerprint] = c
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
		e.die() // at once, so that no request of the batch gets any further
		go e.crash()
	}
}

func (e *Engine) dropGone() {
	keep := func(list []*sequence) []*sequence {
		out := list[:0]
		for _, s := range list {
			if !s.gone {
				out = append(out, s)
			}
		}
		clear(list[len(out):])
		return out
	}
	e.running, e.waiting = keep(e.running), keep(e.waiting)
}

func (e *Engine) reserved() int {
	n := 0
	for _, s := range e.running {
		n += s.reserved
	}
	return n
}

// plan returns the time that the next step takes.
func (e *Engine) plan() (time.Duration, bool) {
	if len(e.running) == 0 {
		return 0, false
	}
	seconds, budget, decoding := 0.0, prefillChunk, 0
	for _, s := range e.running {
		if s.prefillLeft > 0 {
			budget -= min(budget, s.prefillLeft)
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

// step carries out what plan has timed.
func (e *Engine) step() {
	budget := prefillChunk
	for _, s := range e.running {
		if s.gone {
			continue
		}
		if s.prefillLeft > 0 {
			n := min(budget, s.prefillLeft)
			budget -= n
			s.prefillLeft -= n
			if s.prefillLeft == 0 {
				e.cache.insert(s.prefixes, e.opts.KVTokens-e.reserved(), e.opts.Clock.Now(), e.faults.EventGap)
			}
			continue
		}
		if s.produced < s.to {
			s.produced++
			e.count(s).Tokens++
		}
		if s.produced >= s.to {
			s.gone = true
			e.count(s).Completed++
		}
		s.notify()
	}
}

func (e *Engine) count(s *sequence) *RunCount { return e.runs[s.fingerprint] }

// report keeps a load report for the lag.
func (e *Engine) report() {
	now := e.opts.Clock.Now()
	used := e.reserved()
	r := port.LoadReport{
		At: now, Running: len(e.running), Waiting: len(e.waiting), MaxSlots: e.opts.Slots,
		KVUsed:      float64(used) / float64(e.opts.KVTokens),
		PrefillRate: e.opts.PrefillRate / max(1, e.faults.Slow),
		DecodeRate:  e.opts.DecodeRate / max(1, e.faults.Slow),
	}
	if n := len(e.reports); n > 0 && e.reports[n-1].At.Equal(now) {
		e.reports[n-1] = r
		return
	}
	if len(e.reports) >= maxReports {
		e.reports = append(e.reports[:0], e.reports[maxReports/4:]...)
	}
	e.reports = append(e.reports, r)
}

// Load returns the newest report that is at least LoadLag old.
func (e *Engine) Load() port.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report()
	limit := e.opts.Clock.Now().Add(-e.opts.LoadLag.Std())
	best := e.reports[0]
	for _, r := range e.reports {
		if !r.At.After(limit) {
			best = r
		}
	}
	return best
}
