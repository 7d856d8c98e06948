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
	// kvPerStream is the assumed share of KV memory that a new batch stream takes.
	kvPerStream = 0.03
	// The target length of the queue is slots/prefetchDivisor items, at least
	// minPrefetch, so that a free slot is filled without a call to an owner.
	prefetchDivisor = 4
	minPrefetch     = 4
	// defaultOutputTokens is the assumed length of an answer of unknown length.
	defaultOutputTokens = 256
	// auditBurstStreams preemptions within auditBurstWindow are recorded in the
	// audit trail.
	auditBurstStreams = 8
	auditBurstWindow  = time.Second
)

// serverScheduler schedules the batch work of one server.
type serverScheduler struct {
	director    *Director
	server      *servers.Server
	group       *servers.Group
	wake        chan struct{}
	streamCount atomic.Int64 // length of streams, to be read without mu

	mu                sync.Mutex
	burstEstimator    fill.BurstEstimator
	occupancy         fill.Occupancy
	preemptController preempt.Controller
	// onlineRequests is the number of online requests on the server, counted from
	// the arrivals and ends at this and other instances.
	onlineRequests int
	lastArrivalAt  time.Time
	lastReport     port.LoadReport
	streams        []*batchStream
	queue          []*item
	pulling        bool
	nextPullAt     time.Time
	// pausedUntil is the time until which no stream starts after a failure.
	pausedUntil time.Time
	emptyPulls  int
	// recentPreemptions is the number of preempted streams since recentSince.
	recentPreemptions int
	recentSince       time.Time
}

func newServerScheduler(d *Director, s *servers.Server) *serverScheduler {
	sched := &serverScheduler{director: d, server: s, group: s.Group(), wake: make(chan struct{}, 1)}
	sched.lastReport, _ = sched.group.Load(s.ID)
	return sched
}

func (sched *serverScheduler) wakeUp() {
	select {
	case sched.wake <- struct{}{}:
	default:
	}
}

// run refills the server until it is no longer directed and has no streams.
func (sched *serverScheduler) run(ctx context.Context, wg *conc.WaitGroup) {
	defer sched.director.removeScheduler(sched)
	tick := time.NewTicker(fill.RefillInterval)
	defer tick.Stop()
	for {
		if !sched.isDirected() {
			// A pull in progress adds items to the queue before it ends.
			pulling := sched.isPulling()
			if sched.returnQueue() == 0 && !pulling {
				return
			}
		} else {
			sched.refill(ctx, wg)
		}
		select {
		case <-tick.C:
		case <-sched.wake:
		case <-ctx.Done():
			return
		}
	}
}

func (sched *serverScheduler) isPulling() bool {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	return sched.pulling
}

func (sched *serverScheduler) isDirected() bool {
	p := sched.director.pool
	return p.Directs(sched.server.ID) && p.Server(sched.server.ID) == sched.server && !sched.director.isDraining()
}

// returnQueue returns the queued items to their owners and reports how many
// streams still run.
func (sched *serverScheduler) returnQueue() int {
	sched.mu.Lock()
	queue := sched.queue
	sched.queue = nil
	n := len(sched.streams)
	sched.mu.Unlock()
	sched.director.pusher.returnItems(queue)
	return n
}

// drain cancels the streams of idempotent items, which can run elsewhere, and
// returns the queued items to their owners. It reports how many streams and pulls
// are still in progress.
func (sched *serverScheduler) drain() int {
	sched.mu.Lock()
	for _, st := range sched.streams {
		if !st.item.NonIdempotent {
			st.cancel(causeDrained)
		}
	}
	pulling := sched.pulling
	sched.mu.Unlock()
	n := sched.returnQueue()
	if pulling {
		n++
	}
	return n
}

// refill starts as many streams as the server has free slots for, and pulls more
// items when the queue is short.
func (sched *serverScheduler) refill(ctx context.Context, wg *conc.WaitGroup) {
	if !sched.group.Available(sched.server.ID) {
		sched.returnItemsWithoutTokens()
		sched.returnOverdueItems()
		return
	}
	for n := sched.streamsToStart(); n > 0; n-- {
		it := sched.nextItem()
		if it == nil || !sched.startStream(ctx, wg, it) {
			break
		}
	}
	sched.returnOverdueItems()
	if models := sched.modelsToPull(); models != nil {
		wg.Go(func() { sched.pull(ctx, models) })
	}
}

// streamsToStart returns the number of streams to start now.
func (sched *serverScheduler) streamsToStart() int {
	now := time.Now()
	// The group calls the director while it holds its own lock. To avoid a
	// deadlock, the group is called before the scheduler is locked.
	fleet, onlineFirst := sched.group.Fleet(), sched.group.IsOnlineFirst(sched.server.ID)
	sched.mu.Lock()
	defer sched.mu.Unlock()
	if now.Before(sched.pausedUntil) {
		return 0
	}
	capacity := sched.director.pool.Capacity(sched.server.Service)
	prefilling := 0
	for _, st := range sched.streams {
		if !st.hasFirstToken.Load() {
			prefilling++
		}
	}
	server := fill.Server{
		Slots: sched.lastReport.MaxSlots, Online: sched.occupancy.Online(), Batch: len(sched.streams), BatchPrefilling: prefilling,
		KVFree: 1 - sched.lastReport.KVUsed, KVPerStream: kvPerStream, HoldUntil: sched.preemptController.RefillAfter(now),
	}
	sched.setLimits(now, &server, fleet, onlineFirst)
	if capacity != nil {
		if capacity.BatchSlotsPerServer <= len(sched.streams) {
			return 0
		}
		return min(fill.StreamsToStart(now, server), capacity.BatchSlotsPerServer-len(sched.streams))
	}
	return fill.StreamsToStart(now, server)
}

// setLimits sets the headroom for bursts of online requests and the stream limit
// that keeps decoding fast. While the fleet's online load is low, only the servers
// that take online requests first need them.
func (sched *serverScheduler) setLimits(now time.Time, s *fill.Server, fleet route.Fleet, onlineFirst bool) {
	if onlineFirst {
		s.MaxStreams = fill.OnlineFirstStreamLimit(s.Slots, fleet.OnlineFirst, fleet.Slots, fleet.OnlineShare)
	}
	if onlineFirst || fleet.OnlineFirst == 0 || !fill.IsLowOnlineLoad(fleet.OnlineShare) {
		s.Headroom = sched.burstEstimator.Headroom(now) + sched.preemptController.ExtraHeadroom(now)
	}
}

// nextItem removes and returns the first item of the queue. If the queue is empty,
// it steals an item from the queue of another server with the same model.
func (sched *serverScheduler) nextItem() *item {
	sched.mu.Lock()
	if len(sched.queue) > 0 {
		it := sched.queue[0]
		sched.queue = slices.Delete(sched.queue, 0, 1)
		sched.mu.Unlock()
		return it
	}
	sched.mu.Unlock()
	models := sched.group.LoadedNames(sched.server.ID)
	for _, other := range sched.director.allSchedulers() {
		if other == sched {
			continue
		}
		if it := other.stealItem(models); it != nil {
			return it
		}
	}
	return nil
}

// stealItem removes and returns an item that has been queued for more than two
// refill intervals.
func (sched *serverScheduler) stealItem(models []string) *item {
	now := time.Now()
	sched.mu.Lock()
	defer sched.mu.Unlock()
	for i, it := range sched.queue {
		if now.Sub(it.queuedAt) > 2*fill.RefillInterval && slices.Contains(models, it.model) {
			sched.queue = slices.Delete(sched.queue, i, i+1)
			return it
		}
	}
	return nil
}

// enqueue adds items to the front or the back of the queue.
func (sched *serverScheduler) enqueue(atFront bool, items ...*item) {
	now := time.Now()
	sched.mu.Lock()
	for _, it := range items {
		it.queuedAt = now
	}
	if atFront {
		sched.queue = slices.Insert(sched.queue, 0, items...)
	} else {
		sched.queue = append(sched.queue, items...)
	}
	sched.mu.Unlock()
}

// returnItemsWithoutTokens returns the queued items that have no tokens to their
// owners. The others stay queued, so that another server of this director can
// resume them with their tokens.
func (sched *serverScheduler) returnItemsWithoutTokens() {
	var returned []*item
	sched.mu.Lock()
	sched.queue = slices.DeleteFunc(sched.queue, func(it *item) bool {
		if it.builder.Tokens() > 0 {
			return false
		}
		returned = append(returned, it)
		return true
	})
	sched.mu.Unlock()
	sched.director.pusher.returnItems(returned)
}

// returnOverdueItems returns the items that were queued for too long. Items with
// tokens stay three times as long, because returning them loses the tokens.
func (sched *serverScheduler) returnOverdueItems() {
	now := time.Now()
	var overdue []*item
	sched.mu.Lock()
	sched.queue = slices.DeleteFunc(sched.queue, func(it *item) bool {
		if now.Sub(it.queuedAt) < maxQueueTime || it.builder.Tokens() > 0 && now.Sub(it.queuedAt) < 3*maxQueueTime {
			return false
		}
		overdue = append(overdue, it)
		return true
	})
	sched.mu.Unlock()
	sched.director.pusher.returnItems(overdue)
}

// modelsToPull returns the names of the models to pull items for, and marks a pull
// as in progress. It returns nil if no pull is due.
func (sched *serverScheduler) modelsToPull() []string {
	now := time.Now()
	sched.mu.Lock()
	defer sched.mu.Unlock()
	target := max(minPrefetch, sched.lastReport.MaxSlots/prefetchDivisor)
	if sched.pulling || sched.lastReport.MaxSlots == 0 || len(sched.queue) >= target/2+1 || now.Before(sched.nextPullAt) || sched.director.pusher.isFull() {
		return nil
	}
	models := sched.group.LoadedNames(sched.server.ID)
	if len(models) == 0 {
		return nil
	}
	sched.pulling = true
	return models
}

// pull leases items from the owners, in order of their earliest due time.
func (sched *serverScheduler) pull(ctx context.Context, models []string) {
	type offer struct {
		owner Owner
		model string
	}
	var offers []offer
	for _, model := range models {
		for _, o := range sched.director.opts.Source.Owners(model) {
			if o.Items > 0 {
				offers = append(offers, offer{o, model})
			}
		}
	}
	slices.SortStableFunc(offers, func(a, b offer) int { return a.owner.Due.Compare(b.owner.Due) })
	// Enough for the target length of the queue and for the free slots.
	sched.mu.Lock()
	want := max(minPrefetch, sched.lastReport.MaxSlots/prefetchDivisor) + max(0, sched.lastReport.MaxSlots-sched.occupancy.Online()-len(sched.streams)) - len(sched.queue)
	sched.mu.Unlock()
	pulled := 0
	for _, o := range offers {
		if pulled >= want || ctx.Err() != nil {
			break
		}
		sched.director.metrics.BatchPulls.Add(1)
		pullCtx, cancel := context.WithTimeout(ctx, pullTimeout)
		items, err := sched.director.opts.Source.Pull(pullCtx, o.owner, o.model, sched.server.ID, want-pulled)
		cancel()
		if err != nil {
			continue
		}
		newItems := make([]*item, 0, len(items))
		for _, it := range items {
			pulledItem := newItem(it, o.owner, o.model)
			sched.director.pusher.trackLease(pulledItem)
			newItems = append(newItems, pulledItem)
		}
		pulled += len(newItems)
		sched.enqueue(false, newItems...)
		sched.wakeUp()
	}
	sched.mu.Lock()
	sched.pulling = false
	if pulled > 0 {
		sched.emptyPulls, sched.nextPullAt = 0, time.Time{}
	} else {
		sched.emptyPulls++
		sched.nextPullAt = time.Now().Add(min(minEmptyPullDelay<<min(sched.emptyPulls-1, 10), maxEmptyPullDelay))
	}
	sched.mu.Unlock()
}

// routeRequest returns the routing request of an item, whose model may be an adapter.
func (sched *serverScheduler) routeRequest(it *item) *route.Request {
	target, known := sched.director.pool.Target(it.model)
	if !known {
		target.Model = it.model
	}
	r := &route.Request{Model: target.Model, Adapter: target.Adapter, PromptTokens: it.parsed.PromptTokens, OutputTokens: it.parsed.OutputTokens,
		Prefix: it.parsed.PrefixHash, PrefixTokens: it.parsed.PrefixTokens, Batch: true}
	return r
}

// loadReported updates the scheduler from a load report of the engine.
func (sched *serverScheduler) loadReported(r port.LoadReport) {
	now := time.Now()
	sched.mu.Lock()
	onlineBefore := sched.occupancy.Online()
	sched.lastReport = r
	sched.occupancy.LoadReported(r.At, r.Running+r.Waiting, len(sched.streams))
	online := sched.occupancy.Online()
	// An instance that was lost never reports the ends of its requests, so the
	// count is corrected by the engine's report. A report from before the last
	// arrival does not include that request.
	if r.At.After(sched.lastArrivalAt) {
		sched.onlineRequests = min(sched.onlineRequests, r.Running+r.Waiting)
	}
	sched.burstEstimator.Observe(now, sched.onlineRequests)
	sched.mu.Unlock()
	if online < onlineBefore {
		sched.wakeUp()
	}
}

// onlineEnded records the end of online requests.
func (sched *serverScheduler) onlineEnded(requests int) {
	now := time.Now()
	sched.mu.Lock()
	for range requests {
		sched.occupancy.OnlineEnded(now)
	}
	sched.onlineRequests = max(0, sched.onlineRequests-requests)
	sched.burstEstimator.Observe(now, sched.onlineRequests)
	sched.mu.Unlock()
	sched.wakeUp()
}

// onlineArrived records arrivals of online requests and preempts streams to free
// slots and memory for them. It returns the number of preempted streams.
func (sched *serverScheduler) onlineArrived(requests, tokens int) int {
	now := time.Now()
	sched.mu.Lock()
	defer sched.mu.Unlock()
	online := sched.occupancy.Online()
	for range requests {
		sched.occupancy.OnlineStarted(now)
	}
	sched.onlineRequests += requests
	sched.lastArrivalAt = now
	sched.burstEstimator.Observe(now, sched.onlineRequests)
	sched.preemptController.RecordArrival(now)
	if len(sched.streams) == 0 {
		return 0
	}
	kv := sched.kvPerToken()
	candidates := make([]preempt.Stream, 0, len(sched.streams))
	for _, st := range sched.streams {
		if st.cancelling.Load() {
			continue
		}
		outputTokens := int(st.outputTokens.Load())
		candidates = append(candidates, preempt.Stream{ID: st.id, Started: st.startedAt, OutputTokens: outputTokens, ExpectedTokens: st.expectedOutputTokens(),
			PrefillTokens: st.prefillTokens, KVShare: kv * float64(st.prefillTokens+outputTokens), NonIdempotent: st.item.NonIdempotent})
	}
	victims := preempt.SelectVictims(preempt.Server{Slots: sched.lastReport.MaxSlots, OnlineStreams: online, FreeKVShare: 1 - sched.lastReport.KVUsed, MaxPrefillAhead: sched.preemptController.MaxPrefillAhead(now)}, candidates,
		preempt.Arrival{Requests: requests, KVShare: kv * float64(tokens)}, nil)
	sched.preemptController.RecordPreemption(now, victims)
	for _, victim := range victims {
		i := slices.IndexFunc(sched.streams, func(st *batchStream) bool { return st.id == victim.ID })
		sched.streams[i].cancel(causePreempted)
		sched.director.metrics.Preemptions.Add(1)
		sched.director.metrics.WastedTokens.Add(int64(victim.WastedTokens))
	}
	sched.auditBurst(now, len(victims))
	return len(victims)
}

// kvPerToken estimates the share of KV memory per token, from the reported use and
// the tokens of the batch streams. It returns zero if online requests outnumber
// the batch streams, because the reported use includes online requests, whose
// tokens are not known here.
func (sched *serverScheduler) kvPerToken() float64 {
	tokens := 0
	for _, st := range sched.streams {
		tokens += st.prefillTokens + int(st.outputTokens.Load())
	}
	if tokens == 0 || sched.occupancy.Online() > len(sched.streams) {
		return 0
	}
	return sched.lastReport.KVUsed / float64(tokens)
}

// auditBurst records a burst of preemptions in the audit trail.
func (sched *serverScheduler) auditBurst(now time.Time, n int) {
	if now.Sub(sched.recentSince) > auditBurstWindow {
		sched.recentPreemptions, sched.recentSince = 0, now
	}
	before := sched.recentPreemptions
	sched.recentPreemptions += n
	if before < auditBurstStreams && sched.recentPreemptions >= auditBurstStreams {
		sched.director.audit("preemption-burst", sched.server.ID, "", sched.recentPreemptions)
	}
}

// cancelMatching cancels the streams whose items match and drops matching queued
// items. It returns the number of cancelled streams.
func (sched *serverScheduler) cancelMatching(match func(*item) bool) int {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	n := 0
	for _, st := range sched.streams {
		if match(st.item) && !st.cancelling.Load() {
			st.cancel(causeItemCancelled)
			n++
		}
	}
	sched.queue = slices.DeleteFunc(sched.queue, func(it *item) bool {
		if match(it) {
			sched.director.pusher.dropLease(it)
			return true
		}
		return false
	})
	return n
}
