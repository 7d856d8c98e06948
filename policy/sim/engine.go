package sim

import (
	"slices"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/retry"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
	"github.com/jacinthnotch/jacinthnotch/policy/trace"
)

// The engine model at speed 1: one decode step makes a token of each running
// stream, and takes longer for each stream, as on engines that are bound by
// memory bandwidth. Prompts are processed in chunks within the steps and
// lengthen them.
const (
	stepBase      = 25 * time.Millisecond
	stepPerStream = 100 * time.Microsecond
	prefillToken  = 100 * time.Microsecond
	prefillChunk  = 512
	plainStep     = 5 * time.Millisecond
	// cacheTokens is the memory of the prefix cache.
	cacheTokens = 12000
)

// run is one request on an engine.
type run struct {
	ev       *trace.Event
	batch    bool
	produced int // output tokens, those of earlier attempts included
	repeat   bool
	mark     int // output tokens at submission

	kv          int
	prefillLeft int
	prefillDone int
	first       bool
	gone        bool // cancelled, finished or failed
	silent      bool // its connection delivers nothing any more
	delivered   int  // output tokens delivered before the silence

	onFirst func()
	onToken func()
	onDone  func()
	onFail  func(retry.Failure)
}

type engine struct {
	clock   *clock
	spec    trace.Server
	waiting []*run
	active  []*run
	kvUsed  int
	cache   prefixCache
	down    bool
	life    int // counts restarts, so that a step of an earlier life is void
	slow    float64
	busy    bool
	onCrash func(*engine, *run)

	lost     time.Duration // engine time lost to faults
	onlineIn int           // prompt tokens processed
	batchIn  int
	online   int // output tokens made
	batch    int
	wasted   int // batch tokens processed again
	steps    int
}

func (e *engine) submit(r *run) {
	r.mark = r.produced
	if e.down {
		r.fail(retry.NotSent)
		return
	}
	e.waiting = append(e.waiting, r)
	e.kick()
}

func (e *engine) kick() {
	if !e.busy && !e.down {
		e.step()
	}
}

// cancel takes effect between steps, as on an engine that looks for closed
// connections there.
func (e *engine) cancel(r *run) {
	if r.gone {
		return
	}
	r.gone = true
	e.account(r)
}

// admit takes requests in arrival order while there are slots and memory.
func (e *engine) admit() {
	e.active = slices.DeleteFunc(e.active, func(r *run) bool {
		if r.gone {
			e.kvUsed -= r.kv
		}
		return r.gone
	})
	for len(e.waiting) > 0 {
		r := e.waiting[0]
		if r.gone {
			e.waiting = e.waiting[1:]
			continue
		}
		r.kv = r.ev.PromptTokens + r.ev.OutputTokens
		if len(e.active) >= e.spec.Slots || e.kvUsed+r.kv > e.spec.KVTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.kvUsed += r.kv
		r.prefillLeft = r.ev.PromptTokens + r.produced
		if e.cache.use(r.ev.Prefix) {
			r.prefillLeft -= r.ev.PrefixTokens
		}
		r.prefillLeft = max(1, r.prefillLeft)
		e.active = append(e.active, r)
	}
}

func (e *engine) step() {
	e.admit()
	if len(e.active) == 0 {
		return
	}
	budget, streams := prefillChunk, 0
	for _, r := range e.active {
		if r.prefillLeft == 0 {
			streams++
			continue
		}
		n := min(budget, r.prefillLeft)
		budget -= n
		r.prefillLeft -= n
		r.prefillDone += n
		if r.batch {
			e.batchIn += n
		} else {
			e.onlineIn += n
		}
	}
	d := e.stepTime(streams) + time.Duration(prefillChunk-budget)*prefillToken
	if e.spec.Plain {
		d = plainStep
	}
	d = time.Duration(float64(d) / e.spec.Speed * e.slow)
	e.busy = true
	e.steps++
	life, admitted := e.life, len(e.active)
	e.clock.after(d, func() {
		if life == e.life {
			e.end(admitted)
		}
	})
}

func (e *engine) stepTime(streams int) time.Duration {
	return stepBase + time.Duration(streams)*stepPerStream
}

// end makes a token for each stream whose prompt is processed.
func (e *engine) end(admitted int) {
	for _, r := range e.active[:admitted] {
		if r.gone || r.prefillLeft > 0 {
			continue
		}
		r.produced++
		if r.batch {
			e.batch++
		} else {
			e.online++
		}
		if r.ev.CrashAtToken > 0 && r.produced >= r.ev.CrashAtToken {
			r.produced--
			e.onCrash(e, r)
			return
		}
		e.token(r)
	}
	e.busy = false
	e.step()
}

func (e *engine) token(r *run) {
	if !r.first {
		r.first = true
		e.cache.add(r.ev.Prefix, r.ev.PrefixTokens)
		if r.onFirst != nil && !r.silent {
			r.onFirst()
		}
	}
	if r.onToken != nil && !r.silent {
		r.onToken()
	}
	if r.produced < r.ev.OutputTokens || r.gone {
		return
	}
	r.gone = true
	e.account(r)
	if !r.silent {
		r.onDone()
	}
}

// account counts the prompt tokens of a batch run that were processed for
// nothing: again, or without reaching the first token.
func (e *engine) account(r *run) {
	if r.batch && (r.repeat || !r.first) {
		e.wasted += r.prefillDone
	}
}

func (r *run) fail(f retry.Failure) {
	if r.gone {
		return
	}
	r.gone = true
	if !r.silent {
		r.onFail(f)
	}
}

// crash loses all that is on the engine until it is restarted.
func (e *engine) crash(d time.Duration) {
	if e.down {
		return
	}
	all := append(e.active, e.waiting...)
	e.active, e.waiting, e.kvUsed = nil, nil, 0
	e.down, e.busy = true, false
	e.life++
	e.cache.clear()
	e.lost += d
	for _, r := range all {
		if !r.gone {
			e.account(r)
		}
		r.fail(retry.ConnectionLost)
	}
	e.clock.after(d, func() { e.down = false })
}

func (e *engine) slowDown(factor float64, d time.Duration) {
	e.slow = factor
	e.lost += time.Duration(float64(d) * (1 - 1/factor))
	e.clock.after(d, func() { e.slow = 1 })
}

// silence breaks the connections that are open now without closing them.
func (e *engine) silence() {
	for _, r := range append(slices.Clone(e.active), e.waiting...) {
		r.silent, r.delivered = true, r.produced
	}
}

// report is the load as the engine sees it now.
func (e *engine) report() route.LoadReport {
	decode := e.stepTime(e.spec.Slots).Seconds() / e.spec.Speed
	return route.LoadReport{
		At: e.clock.time(), Running: len(e.active), Waiting: len(e.waiting), MaxSlots: e.spec.Slots,
		KVUsed:      float64(e.kvUsed) / float64(e.spec.KVTokens),
		PrefillRate: e.spec.Speed / prefillToken.Seconds(), DecodeRate: 1 / decode,
	}
}

// prefixCache is a least recently used cache of prompt prefixes.
type prefixCache struct {
	order  []cached // least recently used first
	tokens int
	seq    uint64
	events []route.CacheEvent
}

type cached struct {
	prefix uint64
	tokens int
}

func (c *prefixCache) use(prefix uint64) bool {
	i := slices.IndexFunc(c.order, func(x cached) bool { return x.prefix == prefix })
	if prefix == 0 || i < 0 {
		return false
	}
	x := c.order[i]
	c.order = append(slices.Delete(c.order, i, i+1), x)
	return true
}

func (c *prefixCache) add(prefix uint64, tokens int) {
	if prefix == 0 || c.use(prefix) {
		return
	}
	c.order = append(c.order, cached{prefix, tokens})
	c.tokens += tokens
	c.publish(prefix, tokens, false)
	for c.tokens > cacheTokens {
		x := c.order[0]
		c.order = slices.Delete(c.order, 0, 1)
		c.tokens -= x.tokens
		c.publish(x.prefix, x.tokens, true)
	}
}

func (c *prefixCache) publish(prefix uint64, tokens int, evicted bool) {
	c.seq++
	c.events = append(c.events, route.CacheEvent{Seq: c.seq, Prefix: prefix, Tokens: tokens, Evicted: evicted})
}

// clear empties the cache on a restart. The jump of the sequence tells the
// readers that events are missing.
func (c *prefixCache) clear() {
	c.order, c.tokens, c.events = nil, 0, nil
	c.seq += 100
}
