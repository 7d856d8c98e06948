package sim

import (
	"slices"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/fill"
	"github.com/jacinthnotch/jacinthnotch/policy/health"
	"github.com/jacinthnotch/jacinthnotch/policy/preempt"
	"github.com/jacinthnotch/jacinthnotch/policy/retry"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
	"github.com/jacinthnotch/jacinthnotch/policy/trace"
)

const (
	assessInterval = 10 * time.Second
	// refillOffset shifts the refill ticks of the directors, so that they coincide neither
	// with each other nor with the load reports.
	refillOffset = 2300 * time.Microsecond
)

// item is a batch item.
type item struct {
	eventIndex int
	job        string
	template   attempt // event and output tokens of earlier attempts; event is nil once finished
	attempts   int
	prefilled  bool     // an earlier attempt had its first token
	attempt    *attempt // nil while it does not run
	startedAt  time.Time
	server     string
	id         uint64 // of the current attempt
}

// director runs the batch streams of one server.
type director struct {
	sim               *simulation
	inst              *instance
	index             int
	engine            *engine
	latency           time.Duration // one-way, to the server
	burst             fill.BurstEstimator
	occupancy         fill.Occupancy
	preemptController preempt.Controller
	streams           []*item
	lastReport        route.LoadReport
	onlineCount       int             // online requests started less those ended
	paused            bool            // the server is down
	vacantSince       time.Duration   // since when there is room for another batch stream; -1 if there is none
	cachedPrefixes    map[uint64]bool // prefixes of batch streams that had a first token here
}

func newDirector(s *simulation, i int, x *instance) *director {
	d := &director{sim: s, inst: x, index: i, engine: s.engines[i], cachedPrefixes: map[uint64]bool{}, vacantSince: -1}
	d.latency = s.latency(x.dataCentre, d.engine.spec.DataCentre)
	s.after(time.Duration(i)*refillOffset, func() { s.every(fill.RefillInterval, d.refill) })
	return d
}

// latencyFrom returns how long a message from the instance takes.
func (d *director) latencyFrom(x *instance) time.Duration {
	if x == d.inst {
		return 0
	}
	return d.sim.latency(x.dataCentre, d.inst.dataCentre)
}

func (d *director) loadReported(r route.LoadReport) {
	d.lastReport = r
	d.occupancy.LoadReported(r.At, r.Running+r.Waiting, len(d.streams))
}

// onlineStarted handles the start of an online request: it preempts the batch streams that
// would delay it.
func (d *director) onlineStarted(e traceEvent) {
	now := d.sim.wallTime()
	online := d.occupancy.Online()
	d.occupancy.OnlineStarted(now)
	d.onlineCount++
	d.burst.Observe(now, d.onlineCount)
	if d.sim.cfg.Mode != Policy {
		return
	}
	d.preemptController.RecordArrival(now)
	kvCapacity := float64(d.engine.spec.KVTokens)
	var streams []preempt.Stream
	for _, it := range d.streams {
		ev := it.attempt.event
		streams = append(streams, preempt.Stream{
			ID: it.id, Started: it.startedAt, OutputTokens: it.attempt.outputTokens, ExpectedTokens: ev.OutputTokens,
			PrefillTokens: d.uncachedPromptTokens(ev), KVShare: float64(ev.PromptTokens+ev.OutputTokens) / kvCapacity,
		})
	}
	victims := preempt.SelectVictims(preempt.Server{
		Slots: d.engine.spec.Slots, OnlineStreams: online, FreeKVShare: 1 - d.usedKVShare(),
		MaxPrefillAhead: d.preemptController.MaxPrefillAhead(now),
	}, streams, preempt.Arrival{Requests: 1, KVShare: float64(e.PromptTokens+e.OutputTokens) / kvCapacity}, nil)
	d.preemptController.RecordPreemption(now, victims)
	for _, v := range victims {
		d.preemptStream(v.ID)
	}
}

// uncachedPromptTokens returns the number of prompt tokens that the engine has to process,
// if the prefixes of earlier batch streams are still in its cache.
func (d *director) uncachedPromptTokens(e *trace.Event) int {
	if d.cachedPrefixes[e.Prefix] {
		return e.PromptTokens - e.PrefixTokens
	}
	return e.PromptTokens
}

// usedKVShare estimates the used share of the KV cache: that of the last report, or the need
// of the batch streams if it is higher.
func (d *director) usedKVShare() float64 {
	reservedTokens := 0
	for _, it := range d.streams {
		reservedTokens += it.attempt.event.PromptTokens + it.attempt.event.OutputTokens
	}
	return max(d.lastReport.KVUsed, float64(reservedTokens)/float64(d.engine.spec.KVTokens))
}

func (d *director) onlineEnded() {
	d.occupancy.OnlineEnded(d.sim.wallTime())
	d.onlineCount--
	d.burst.Observe(d.sim.wallTime(), d.onlineCount)
	d.refill()
}

// preemptStream cancels a batch stream and requeues its item.
func (d *director) preemptStream(id uint64) {
	i := slices.IndexFunc(d.streams, func(it *item) bool { return it.id == id })
	it := d.streams[i]
	a := it.attempt
	d.inst.suspects.Finished(it.id, false)
	d.removeStream(it)
	d.sim.stats.preemptions++
	d.sim.after(d.latency, func() { d.engine.cancel(a) })
	// The tokens that the engine has made by now are kept, those in transit included.
	d.sim.jobs.requeue(it, a)
}

// removeStream removes a stream that has ended.
func (d *director) removeStream(it *item) {
	it.attempt = nil
	d.streams = slices.DeleteFunc(d.streams, func(o *item) bool { return o == it })
	d.occupancy.BatchChanged(d.sim.wallTime(), -1)
}

// refill starts batch streams while there is room.
func (d *director) refill() {
	if d.paused {
		return
	}
	for range d.streamsToStart() {
		it := d.sim.jobs.nextItem()
		if it == nil {
			return
		}
		if !d.startItem(it) {
			d.sim.jobs.requeue(it, nil)
			return
		}
	}
}

// streamsToStart returns the number of batch streams to start now.
func (d *director) streamsToStart() int {
	slots, online := d.engine.spec.Slots, d.occupancy.Online()
	switch d.sim.cfg.Mode {
	case NoPriority:
		return max(0, slots-len(d.streams))
	case StaticPartition:
		if d.sim.isBatchOnly(d.index) {
			return max(0, slots-len(d.streams))
		}
		return 0
	}
	now := d.sim.wallTime()
	waiting := 0
	prefilling := 0
	for _, it := range d.streams {
		if !it.attempt.hasFirstToken {
			prefilling++
		}
	}
	free := 1 - d.usedKVShare()
	view := fill.Server{
		Slots: slots, Online: online, Batch: len(d.streams), Waiting: waiting, BatchPrefilling: prefilling,
		KVFree: free, KVPerStream: 0.03, Headroom: d.headroom(now), MaxStreams: d.maxStreams(),
		HoldUntil: d.preemptController.RefillAfter(now),
	}
	n := fill.StreamsToStart(now, view)
	d.measureRefillDelay(fill.MaxBatchStreams(view) > len(d.streams), n > 0)
	return n
}

// measureRefillDelay measures the time in which the server had room for another batch stream
// and none was started. It includes the refill delays after arrivals and preemptions.
func (d *director) measureRefillDelay(hasRoom, started bool) {
	s := d.sim
	if hasRoom && d.vacantSince < 0 {
		d.vacantSince = s.now
	}
	if d.vacantSince >= 0 && (started || !hasRoom) {
		s.stats.refillDelays = append(s.stats.refillDelays, s.now-d.vacantSince)
		d.vacantSince = -1
	}
	if hasRoom && started {
		d.vacantSince = s.now
	}
}

// headroom returns the number of slots to keep free for a burst of online requests.
func (d *director) headroom(now time.Time) int {
	t := d.inst.table(modelService)
	if f := t.Fleet(); f.OnlineFirst > 0 && fill.IsLowOnlineLoad(f.OnlineShare) && !t.IsOnlineFirst(d.engine.spec.ID) {
		return 0
	}
	return d.burst.Headroom(now) + d.preemptController.ExtraHeadroom(now)
}

// maxStreams returns the maximum number of streams on a server that online requests go to
// first, which bounds their time per token; zero for no limit.
func (d *director) maxStreams() int {
	t := d.inst.table(modelService)
	if !t.IsOnlineFirst(d.engine.spec.ID) {
		return 0
	}
	f := t.Fleet()
	return fill.OnlineFirstStreamLimit(d.engine.spec.Slots, f.OnlineFirst, f.Slots, f.OnlineShare)
}

// startItem starts an attempt of an item. It returns false if the item is a suspect that
// must not run on this server now.
func (d *director) startItem(it *item) bool {
	s, x := d.sim, d.inst
	now := s.wallTime()
	fp := fingerprint(it.eventIndex, it.template.event)
	suspected := x.suspects.IsSuspect(now, fp)
	if suspected && (!x.suspects.CanRun(now, d.engine.spec.ID, fp) || !s.quarantine.gate(d.engine.spec.ID).Acquire(now, fp, suspectGateTimeout)) {
		return false
	}
	s.lastRequestID++
	it.id, it.startedAt, it.server = s.lastRequestID, now, d.engine.spec.ID
	it.attempts++
	s.stats.recordAttempt(s.now, it.template.event)
	a := &attempt{event: it.template.event, batch: true, outputTokens: it.template.outputTokens, promptProcessedBefore: it.prefilled}
	it.attempt = a
	d.streams = append(d.streams, it)
	d.occupancy.BatchChanged(now, 1)
	x.suspects.Started(it.id, d.engine.spec.ID, fp, a.outputTokens)
	if suspected {
		x.updateSuspectServers()
		a.onToken = func() {
			if x.suspects.Progress(s.wallTime(), it.id, a.outputTokens) {
				d.onSuspectCleared(it)
			}
		}
	}
	deliver := func(do func()) func() {
		return func() {
			s.after(d.latency, func() {
				if it.attempt == a {
					do()
				}
			})
		}
	}
	a.onFirstToken = deliver(func() {
		d.cachedPrefixes[a.event.Prefix] = true
		d.refill()
	})
	a.onDone = deliver(func() { d.onDone(it) })
	a.onFail = func(f retry.Failure) { deliver(func() { d.onFail(it, f) })() }
	s.after(d.latency, func() { d.engine.submit(a) })
	return true
}

// onSuspectCleared releases the gate of the server and clears the fingerprint on all
// instances.
func (d *director) onSuspectCleared(it *item) {
	fp := fingerprint(it.eventIndex, it.template.event)
	d.sim.quarantine.gate(it.server).Release(fp)
	d.sim.quarantine.clearSuspect(fp)
}

func (d *director) onDone(it *item) {
	now := d.sim.wallTime()
	a := it.attempt
	d.preemptController.RecordOutput(now, a.outputTokens-a.initialTokens+a.prefillDone)
	if d.inst.suspects.Finished(it.id, true) {
		d.onSuspectCleared(it)
	}
	d.removeStream(it)
	d.sim.jobs.recordFinished(it, a)
	d.refill()
}

// onFail requeues an item whose attempt was lost with its server. The server gets no batch
// work until it answers again.
func (d *director) onFail(it *item, f retry.Failure) {
	s := d.sim
	a := it.attempt
	d.inst.suspects.Finished(it.id, false)
	s.quarantine.gate(it.server).Release(fingerprint(it.eventIndex, it.template.event))
	d.removeStream(it)
	// The item must not run again before the crash report is recorded and has reached
	// the instances.
	s.after(crashReportDelay+quarantineDelay, func() { s.jobs.requeue(it, a) })
	d.inst.observeHealth(d.inst.services[modelService], it.server, health.Sample{Dead: true})
	if f == retry.NotSent {
		d.pause()
	}
}

// pause stops batch work on a server that is down until it answers probes.
func (d *director) pause() {
	if !d.paused {
		d.paused = true
		clear(d.cachedPrefixes)
		d.probeUntilUp()
	}
}

// probeUntilUp probes the server at intervals and resumes batch work when it answers.
func (d *director) probeUntilUp() {
	d.sim.after(evaluateInterval, func() {
		if d.engine.down {
			d.probeUntilUp()
			return
		}
		d.paused = false
	})
}
