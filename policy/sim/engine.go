package sim

import (
	"slices"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/retry"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
	"github.com/jacinthnotch/jacinthnotch/policy/trace"
)

// The engine model at speed 1. A decode step generates one token of each running stream and
// takes longer with each stream, as on an engine that is bound by memory bandwidth. Prompts
// are processed in chunks within the steps and lengthen them.
const (
	baseStepTime        = 25 * time.Millisecond
	stepTimePerStream   = 100 * time.Microsecond
	prefillTimePerToken = 100 * time.Microsecond
	prefillChunkTokens  = 512
	plainStepTime       = 5 * time.Millisecond
	// prefixCacheTokens is the capacity of the prefix cache.
	prefixCacheTokens = 12000
)

// attempt is one execution of a request on an engine.
type attempt struct {
	event                 *trace.Event
	batch                 bool
	outputTokens          int  // those of earlier attempts included
	promptProcessedBefore bool // an earlier attempt had its first token
	initialTokens         int  // output tokens at submission

	kvTokens        int // reserved in the KV cache
	prefillLeft     int // prompt tokens to process
	prefillDone     int // prompt tokens processed
	hasFirstToken   bool
	ended           bool // cancelled, failed or finished
	silent          bool // its connection delivers nothing any more
	deliveredTokens int  // output tokens delivered before the connection went silent

	onFirstToken func()
	onToken      func()
	onDone       func()
	onFail       func(retry.Failure)
}

// engine simulates the inference engine of one server.
type engine struct {
	clock        *clock
	spec         trace.Server
	waiting      []*attempt
	running      []*attempt
	kvUsedTokens int
	cache        prefixCache
	down         bool
	generation   int     // number of crashes; a step that began before a crash has no effect
	slowdown     float64 // factor of the step time; 1 without a fault
	stepping     bool    // a step is in progress
	onCrash      func(*engine, *attempt)

	lostTime           time.Duration // engine time lost to faults
	onlinePromptTokens int           // prompt tokens processed, by class
	batchPromptTokens  int
	onlineOutputTokens int // output tokens generated, by class
	batchOutputTokens  int
	wastedBatchTokens  int // see countWaste
	steps              int
}

// submit queues an attempt, or fails it if the engine is down.
func (e *engine) submit(a *attempt) {
	a.initialTokens = a.outputTokens
	if e.down {
		a.fail(retry.NotSent)
		return
	}
	e.waiting = append(e.waiting, a)
	e.startIfIdle()
}

func (e *engine) startIfIdle() {
	if !e.stepping && !e.down {
		e.startStep()
	}
}

// cancel ends an attempt. Its slot is free at the next step, as on an engine that checks for
// closed connections between steps.
func (e *engine) cancel(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	e.countWaste(a)
}

// admitWaiting frees the slots of ended attempts and starts waiting ones, in order of
// arrival, while there are slots and KV memory.
func (e *engine) admitWaiting() {
	e.running = slices.DeleteFunc(e.running, func(a *attempt) bool {
		if a.ended {
			e.kvUsedTokens -= a.kvTokens
		}
		return a.ended
	})
	for len(e.waiting) > 0 {
		a := e.waiting[0]
		if a.ended {
			e.waiting = e.waiting[1:]
			continue
		}
		a.kvTokens = a.event.PromptTokens + a.event.OutputTokens
		if len(e.running) >= e.spec.Slots || e.kvUsedTokens+a.kvTokens > e.spec.KVTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.kvUsedTokens += a.kvTokens
		a.prefillLeft = a.event.PromptTokens + a.outputTokens
		if e.cache.touch(a.event.Prefix) {
			a.prefillLeft -= a.event.PrefixTokens
		}
		a.prefillLeft = max(1, a.prefillLeft)
		e.running = append(e.running, a)
	}
}

// startStep admits waiting attempts and begins a step, which processes up to
// prefillChunkTokens of the prompts. finishStep runs at the end of the step.
func (e *engine) startStep() {
	e.admitWaiting()
	if len(e.running) == 0 {
		return
	}
	budget, streams := prefillChunkTokens, 0
	for _, a := range e.running {
		if a.prefillLeft == 0 {
			streams++
			continue
		}
		n := min(budget, a.prefillLeft)
		budget -= n
		a.prefillLeft -= n
		a.prefillDone += n
		if a.batch {
			e.batchPromptTokens += n
		} else {
			e.onlinePromptTokens += n
		}
	}
	d := e.stepTime(streams) + time.Duration(prefillChunkTokens-budget)*prefillTimePerToken
	if e.spec.Plain {
		d = plainStepTime
	}
	d = time.Duration(float64(d) / e.spec.Speed * e.slowdown)
	e.stepping = true
	e.steps++
	generation, admitted := e.generation, len(e.running)
	e.clock.after(d, func() {
		if generation == e.generation {
			e.finishStep(admitted)
		}
	})
}

// stepTime returns the duration of a decode step at speed 1.
func (e *engine) stepTime(streams int) time.Duration {
	return baseStepTime + time.Duration(streams)*stepTimePerStream
}

// finishStep generates a token of each stream whose prompt is processed. admitted is the
// number of running attempts at the start of the step.
func (e *engine) finishStep(admitted int) {
	for _, a := range e.running[:admitted] {
		if a.ended || a.prefillLeft > 0 {
			continue
		}
		a.outputTokens++
		if a.batch {
			e.batchOutputTokens++
		} else {
			e.onlineOutputTokens++
		}
		if a.event.CrashAtToken > 0 && a.outputTokens >= a.event.CrashAtToken {
			a.outputTokens--
			e.onCrash(e, a)
			return
		}
		e.emitToken(a)
	}
	e.stepping = false
	e.startStep()
}

// emitToken notifies the sender of a token and of the end of the answer.
func (e *engine) emitToken(a *attempt) {
	if !a.hasFirstToken {
		a.hasFirstToken = true
		e.cache.add(a.event.Prefix, a.event.PrefixTokens)
		if a.onFirstToken != nil && !a.silent {
			a.onFirstToken()
		}
	}
	if a.onToken != nil && !a.silent {
		a.onToken()
	}
	if a.outputTokens < a.event.OutputTokens || a.ended {
		return
	}
	a.ended = true
	e.countWaste(a)
	if !a.silent {
		a.onDone()
	}
}

// countWaste counts the prompt tokens of a batch attempt as wasted if an earlier attempt had
// already processed the prompt, or if this attempt ends without a first token.
func (e *engine) countWaste(a *attempt) {
	if a.batch && (a.promptProcessedBefore || !a.hasFirstToken) {
		e.wastedBatchTokens += a.prefillDone
	}
}

func (a *attempt) fail(f retry.Failure) {
	if a.ended {
		return
	}
	a.ended = true
	if !a.silent {
		a.onFail(f)
	}
}

// crash fails all attempts, empties the prefix cache and restarts the engine after the
// duration d.
func (e *engine) crash(d time.Duration) {
	if e.down {
		return
	}
	all := append(e.running, e.waiting...)
	e.running, e.waiting, e.kvUsedTokens = nil, nil, 0
	e.down, e.stepping = true, false
	e.generation++
	e.cache.clear()
	e.lostTime += d
	for _, a := range all {
		if !a.ended {
			e.countWaste(a)
		}
		a.fail(retry.ConnectionLost)
	}
	e.clock.after(d, func() { e.down = false })
}

// slowDown multiplies the step time by factor for the duration d.
func (e *engine) slowDown(factor float64, d time.Duration) {
	e.slowdown = factor
	e.lostTime += time.Duration(float64(d) * (1 - 1/factor))
	e.clock.after(d, func() { e.slowdown = 1 })
}

// stallConnections makes the open connections silent without closing them.
func (e *engine) stallConnections() {
	for _, a := range append(slices.Clone(e.running), e.waiting...) {
		a.silent, a.deliveredTokens = true, a.outputTokens
	}
}

func (e *engine) loadReport() route.LoadReport {
	decode := e.stepTime(e.spec.Slots).Seconds() / e.spec.Speed
	return route.LoadReport{
		At: e.clock.wallTime(), Running: len(e.running), Waiting: len(e.waiting), MaxSlots: e.spec.Slots,
		KVUsed:      float64(e.kvUsedTokens) / float64(e.spec.KVTokens),
		PrefillRate: e.spec.Speed / prefillTimePerToken.Seconds(), DecodeRate: 1 / decode,
	}
}

// prefixCache is an LRU cache of prompt prefixes.
type prefixCache struct {
	entries []cacheEntry // least recently used first
	tokens  int
	seq     uint64
	events  []route.CacheEvent // not sent yet
}

type cacheEntry struct {
	prefix uint64
	tokens int
}

// touch reports whether the prefix is cached and marks it as used.
func (c *prefixCache) touch(prefix uint64) bool {
	i := slices.IndexFunc(c.entries, func(x cacheEntry) bool { return x.prefix == prefix })
	if prefix == 0 || i < 0 {
		return false
	}
	x := c.entries[i]
	c.entries = append(slices.Delete(c.entries, i, i+1), x)
	return true
}

// add caches a prefix and evicts the least recently used ones beyond the capacity.
func (c *prefixCache) add(prefix uint64, tokens int) {
	if prefix == 0 || c.touch(prefix) {
		return
	}
	c.entries = append(c.entries, cacheEntry{prefix, tokens})
	c.tokens += tokens
	c.recordEvent(prefix, tokens, false)
	for c.tokens > prefixCacheTokens {
		x := c.entries[0]
		c.entries = slices.Delete(c.entries, 0, 1)
		c.tokens -= x.tokens
		c.recordEvent(x.prefix, x.tokens, true)
	}
}

func (c *prefixCache) recordEvent(prefix uint64, tokens int, evicted bool) {
	c.seq++
	c.events = append(c.events, route.CacheEvent{Seq: c.seq, Prefix: prefix, Tokens: tokens, Evicted: evicted})
}

// clear empties the cache on a restart. The gap in the sequence numbers shows the readers
// that events are missing.
func (c *prefixCache) clear() {
	c.entries, c.tokens, c.events = nil, 0, nil
	c.seq += 100
}
