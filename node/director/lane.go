package director

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/servers"
	"github.com/jacinthnotch/jacinthnotch/policy/fill"
	"github.com/jacinthnotch/jacinthnotch/policy/preempt"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
)

const (
	// kvPerStream is the share of KV memory that a batch stream is taken to need
	// before streams have shown their need.
	kvPerStream = 0.03
	// prefetchShare of the slots, and at least minPrefetch items, are held ready,
	// so that a free place is filled without asking an owner first.
	prefetchShare = 4
	minPrefetch   = 4
	// expectedTokens is the length of an answer of which nothing is known.
	expectedTokens = 256
	// burstStreams preempted within burstTime are worth an audit entry.
	burstStreams = 8
	burstTime    = time.Second
)

// lane directs the batch work of one server.
type lane struct {
	director *Director
	server   *servers.Server
	group    *servers.Group
	wake     chan struct{}
	count    atomic.Int64 // streams

	mu    sync.Mutex
	burst fill.BurstEstimator
	occ   fill.Occupancy
	guard preempt.Controller
	// noticed is the number of online requests that arrived less those that
	// ended, here and at other instances.
	noticed   int
	noticedAt time.Time
	load      port.LoadReport
	streams   []*run
	queue     []*item
	pulling   bool
	pullAt    time.Time
	// pausedUntil is when streams may start again after a failure.
	pausedUntil time.Time
	empties     int
	// recent counts the preempted streams since recentAt.
	recent   int
	recentAt time.Time
}

func newLane(d *Director, s *servers.Server) *lane {
	l := &lane{director: d, server: s, group: s.Group(), wake: make(chan struct{}, 1)}
	l.load, _ = l.group.Load(s.ID)
	return l
}

func (l *lane) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run refills the server until it is not directed any more and nothing runs.
func (l *lane) run(ctx context.Context, wg *conc.WaitGroup) {
	defer l.director.ended(l)
	tick := time.NewTicker(fill.RefillInterval)
	defer tick.Stop()
	for {
		if !l.directed() {
			if l.giveUp() == 0 {
				return
			}
		} else {
			l.refill(ctx, wg)
		}
		select {
		case <-tick.C:
		case <-l.wake:
		case <-ctx.Done():
			return
		}
	}
}

func (l *lane) directed() bool {
	p := l.director.pool
	return p.Directs(l.server.ID) && p.Server(l.server.ID) == l.server && !l.director.isDraining()
}

// giveUp returns the queued items and reports how many streams still run.
func (l *lane) giveUp() int {
	l.mu.Lock()
	queue := l.queue
	l.queue = nil
	n := len(l.streams)
	l.mu.Unlock()
	l.director.pusher.returnAll(queue)
	return n
}

// drain does the same and stops the streams that can run elsewhere.
func (l *lane) drain() int {
	l.mu.Lock()
	for _, st := range l.streams {
		if !st.item.NonIdempotent {
			st.cancel(causeDrained)
		}
	}
	pulling := l.pulling
	l.mu.Unlock()
	n := l.giveUp()
	if pulling {
		n++
	}
	return n
}

// refill starts as many streams as the server has room for and asks for more
// items when few are left.
func (l *lane) refill(ctx context.Context, wg *conc.WaitGroup) {
	if !l.group.Available(l.server.ID) {
		l.returnFresh()
		l.returnLate()
		return
	}
	for n := l.plan(); n > 0; n-- {
		it := l.take()
		if it == nil || !l.start(ctx, wg, it) {
			break
		}
	}
	l.returnLate()
	if names := l.wants(); names != nil {
		wg.Go(func() { l.pull(ctx, names) })
	}
}

// plan returns how many streams to start now.
func (l *lane) plan() int {
	now := time.Now()
	// The group calls the director under its own lock, so it is asked before
	// the lane is locked.
	fleet, first := l.group.Fleet(), l.group.IsOnlineFirst(l.server.ID)
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.pausedUntil) {
		return 0
	}
	c := l.director.pool.Capacity(l.server.Service)
	prefilling := 0
	for _, st := range l.streams {
		if !st.first.Load() {
			prefilling++
		}
	}
	s := fill.Server{
		Slots: l.load.MaxSlots, Online: l.occ.Online(), Batch: len(l.streams), BatchPrefilling: prefilling,
		KVFree: 1 - l.load.KVUsed, KVPerStream: kvPerStream, HoldUntil: l.guard.RefillAfter(now),
	}
	l.bound(now, &s, fleet, first)
	if c != nil {
		if c.BatchSlotsPerServer <= len(l.streams) {
			return 0
		}
		return min(fill.StreamsToStart(now, s), c.BatchSlotsPerServer-len(l.streams))
	}
	return fill.StreamsToStart(now, s)
}

// bound sets the headroom for bursts and the bound that keeps decoding fast. In
// a calm fleet only the servers that take online requests first need either.
func (l *lane) bound(now time.Time, s *fill.Server, fleet route.Fleet, first bool) {
	if first {
		s.MaxStreams = fill.OnlineFirstStreamLimit(s.Slots, fleet.OnlineFirst, fleet.Slots, fleet.OnlineShare)
	}
	if first || fleet.OnlineFirst == 0 || !fill.IsLowOnlineLoad(fleet.OnlineShare) {
		s.Headroom = l.burst.Headroom(now) + l.guard.ExtraHeadroom(now)
	}
}

// take removes the next item: the first in the queue, or one that waits longer
// at another server with the same model.
func (l *lane) take() *item {
	l.mu.Lock()
	if len(l.queue) > 0 {
		it := l.queue[0]
		l.queue = slices.Delete(l.queue, 0, 1)
		l.mu.Unlock()
		return it
	}
	l.mu.Unlock()
	names := l.group.Names(l.server.ID)
	for _, o := range l.director.all() {
		if o == l {
			continue
		}
		if it := o.spare(names); it != nil {
			return it
		}
	}
	return nil
}

// spare gives up an item that has waited for more than one refill.
func (l *lane) spare(names []string) *item {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, it := range l.queue {
		if now.Sub(it.queued) > 2*fill.RefillInterval && slices.Contains(names, it.model) {
			l.queue = slices.Delete(l.queue, i, i+1)
			return it
		}
	}
	return nil
}

// put adds items to the queue; those that have tokens go first.
func (l *lane) put(first bool, items ...*item) {
	now := time.Now()
	l.mu.Lock()
	for _, it := range items {
		it.queued = now
	}
	if first {
		l.queue = slices.Insert(l.queue, 0, items...)
	} else {
		l.queue = append(l.queue, items...)
	}
	l.mu.Unlock()
}

// returnFresh gives the items without tokens back. The others wait a while for
// another server of this director, so that their tokens are not lost.
func (l *lane) returnFresh() {
	var fresh []*item
	l.mu.Lock()
	l.queue = slices.DeleteFunc(l.queue, func(it *item) bool {
		if it.builder.Tokens() > 0 {
			return false
		}
		fresh = append(fresh, it)
		return true
	})
	l.mu.Unlock()
	l.director.pusher.returnAll(fresh)
}

// returnLate gives items back that found no place for too long.
func (l *lane) returnLate() {
	now := time.Now()
	var late []*item
	l.mu.Lock()
	l.queue = slices.DeleteFunc(l.queue, func(it *item) bool {
		if now.Sub(it.queued) < queueLimit || it.builder.Tokens() > 0 && now.Sub(it.queued) < 3*queueLimit {
			return false
		}
		late = append(late, it)
		return true
	})
	l.mu.Unlock()
	l.director.pusher.returnAll(late)
}

// wants decides whether to pull; it returns the names of the models to pull.
func (l *lane) wants() []string {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	ready := max(minPrefetch, l.load.MaxSlots/prefetchShare)
	if l.pulling || l.load.MaxSlots == 0 || len(l.queue) >= ready/2+1 || now.Before(l.pullAt) || l.director.pusher.full() {
		return nil
	}
	names := l.group.Names(l.server.ID)
	if len(names) == 0 {
		return nil
	}
	l.pulling = true
	return names
}

// pull asks the owners with the earliest due time first.
func (l *lane) pull(ctx context.Context, names []string) {
	type offer struct {
		owner Owner
		model string
	}
	var offers []offer
	for _, m := range names {
		for _, o := range l.director.opts.Source.Owners(m) {
			if o.Items > 0 {
				offers = append(offers, offer{o, m})
			}
		}
	}
	slices.SortStableFunc(offers, func(a, b offer) int { return a.owner.Due.Compare(b.owner.Due) })
	l.mu.Lock()
	want := max(minPrefetch, l.load.MaxSlots/prefetchShare) + max(0, l.load.MaxSlots-l.occ.Online()-len(l.streams)) - len(l.queue)
	l.mu.Unlock()
	got := 0
	for _, o := range offers {
		if got >= want || ctx.Err() != nil {
			break
		}
		l.director.metrics.BatchPulls.Add(1)
		pctx, cancel := context.WithTimeout(ctx, pullTimeout)
		items, err := l.director.opts.Source.Pull(pctx, o.owner, o.model, l.server.ID, want-got)
		cancel()
		if err != nil {
			continue
		}
		fresh := make([]*item, 0, len(items))
		for _, it := range items {
			n := newItem(it, o.owner, o.model)
			l.director.pusher.hold(n)
			fresh = append(fresh, n)
		}
		got += len(fresh)
		l.put(false, fresh...)
		l.wakeUp()
	}
	l.mu.Lock()
	l.pulling = false
	if got > 0 {
		l.empties, l.pullAt = 0, time.Time{}
	} else {
		l.empties++
		l.pullAt = time.Now().Add(min(emptyWait<<min(l.empties-1, 10), maxWait))
	}
	l.mu.Unlock()
}

// routeRequest describes an item for the routing table.
func (it *item) routeRequest() *route.Request {
	r := &route.Request{Model: it.model, PromptTokens: it.parsed.PromptTokens, OutputTokens: it.parsed.OutputTokens,
		Prefix: it.parsed.Prefix, PrefixTokens: it.parsed.PrefixTokens, Batch: true}
	return r
}

func (l *lane) reported(r port.LoadReport) {
	now := time.Now()
	l.mu.Lock()
	before := l.occ.Online()
	l.load = r
	l.occ.LoadReported(r.At, r.Running+r.Waiting, len(l.streams))
	online := l.occ.Online()
	// The end notices of an instance that was lost never come. Streams that were
	// there when the engine measured are in its report.
	if r.At.After(l.noticedAt) {
		l.noticed = min(l.noticed, r.Running+r.Waiting)
	}
	l.burst.Observe(now, l.noticed)
	l.mu.Unlock()
	if online < before {
		l.wakeUp()
	}
}

func (l *lane) left(requests int) {
	now := time.Now()
	l.mu.Lock()
	for range requests {
		l.occ.OnlineEnded(now)
	}
	l.noticed = max(0, l.noticed-requests)
	l.burst.Observe(now, l.noticed)
	l.mu.Unlock()
	l.wakeUp()
}

// arrived cancels the streams that make way for online requests.
func (l *lane) arrived(requests, tokens int) int {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	online := l.occ.Online()
	for range requests {
		l.occ.OnlineStarted(now)
	}
	l.noticed += requests
	l.noticedAt = now
	l.burst.Observe(now, l.noticed)
	l.guard.RecordArrival(now)
	if len(l.streams) == 0 {
		return 0
	}
	kv := l.kvPerToken()
	list := make([]preempt.Stream, 0, len(l.streams))
	for _, st := range l.streams {
		if st.stopping.Load() {
			continue
		}
		produced := int(st.produced.Load())
		list = append(list, preempt.Stream{ID: st.id, Started: st.began, OutputTokens: produced, ExpectedTokens: st.expected(),
			PrefillTokens: st.prompt, KVShare: kv * float64(st.prompt+produced), NonIdempotent: st.item.NonIdempotent})
	}
	out := preempt.SelectVictims(preempt.Server{Slots: l.load.MaxSlots, OnlineStreams: online, FreeKVShare: 1 - l.load.KVUsed, MaxPrefillAhead: l.guard.MaxPrefillAhead(now)}, list,
		preempt.Arrival{Requests: requests, KVShare: kv * float64(tokens)}, nil)
	l.guard.RecordPreemption(now, out)
	for _, r := range out {
		i := slices.IndexFunc(l.streams, func(st *run) bool { return st.id == r.ID })
		l.streams[i].cancel(causePreempted)
		l.director.metrics.Preemptions.Add(1)
		l.director.metrics.WastedTokens.Add(int64(r.WastedTokens))
	}
	l.auditBurst(now, len(out))
	return len(out)
}

// kvPerToken estimates the share of KV memory that a token takes.
func (l *lane) kvPerToken() float64 {
	tokens := 0
	for _, st := range l.streams {
		tokens += st.prompt + int(st.produced.Load())
	}
	if tokens == 0 || l.occ.Online() > len(l.streams) {
		return 0
	}
	return l.load.KVUsed / float64(tokens)
}

// auditBurst records that many streams were preempted at once.
func (l *lane) auditBurst(now time.Time, n int) {
	if now.Sub(l.recentAt) > burstTime {
		l.recent, l.recentAt = 0, now
	}
	before := l.recent
	l.recent += n
	if before < burstStreams && l.recent >= burstStreams {
		l.director.audit("preemption-burst", l.server.ID, "", l.recent)
	}
}

// stop cancels the streams whose items match and drops such queued items.
func (l *lane) stop(match func(*item) bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, st := range l.streams {
		if match(st.item) && !st.stopping.Load() {
			st.cancel(causeStopped)
			n++
		}
	}
	l.queue = slices.DeleteFunc(l.queue, func(it *item) bool {
		if match(it) {
			l.director.pusher.release(it)
			return true
		}
		return false
	})
	return n
}
