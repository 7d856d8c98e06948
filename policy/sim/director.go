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
	assessEvery = 10 * time.Second
	// tickOffset keeps the directors' ticks apart from each other and from the
	// reports.
	tickOffset = 2300 * time.Microsecond
)

// item is one batch item.
type item struct {
	event  int
	job    string
	work   run // template: the event and the tokens so far
	tried  int
	warm   bool // its prompt was processed before
	runner *run
	began  time.Time
	server string
	id     uint64
}

// director runs the batch streams of one server.
type director struct {
	sim     *simulation
	inst    *instance
	index   int
	engine  *engine
	net     time.Duration
	burst   fill.BurstEstimator
	occ     fill.Occupancy
	guard   preempt.Controller
	streams []*item
	last    route.LoadReport
	noticed int // online requests that arrived less those that left
	paused  bool
	vacant  time.Duration   // since when there is room for batch; negative for none
	warm    map[uint64]bool // prefixes of batch streams that had a first token here
}

func newDirector(s *simulation, i int, x *instance) *director {
	d := &director{sim: s, inst: x, index: i, engine: s.engines[i], warm: map[uint64]bool{}, vacant: -1}
	d.net = s.latency(x.dc, d.engine.spec.DataCentre)
	s.after(time.Duration(i)*tickOffset, func() { s.every(fill.RefillInterval, d.refill) })
	return d
}

// distance is how long a notice from the instance takes.
func (d *director) distance(x *instance) time.Duration {
	if x == d.inst {
		return 0
	}
	return d.sim.latency(x.dc, d.inst.dc)
}

func (d *director) reported(r route.LoadReport) {
	d.last = r
	d.occ.LoadReported(r.At, r.Running+r.Waiting, len(d.streams))
}

// arrived makes room for an online request.
func (d *director) arrived(e eventRef) {
	now := d.sim.time()
	online := d.occ.Online()
	d.occ.OnlineStarted(now)
	d.noticed++
	d.burst.Observe(now, d.noticed)
	if d.sim.cfg.Mode != Policy {
		return
	}
	d.guard.RecordArrival(now)
	kv := float64(d.engine.spec.KVTokens)
	var streams []preempt.Stream
	for _, it := range d.streams {
		ev := it.runner.ev
		streams = append(streams, preempt.Stream{
			ID: it.id, Started: it.began, OutputTokens: it.runner.produced, ExpectedTokens: ev.OutputTokens,
			PrefillTokens: d.uncached(ev), KVShare: float64(ev.PromptTokens+ev.OutputTokens) / kv,
		})
	}
	out := preempt.SelectVictims(preempt.Server{
		Slots: d.engine.spec.Slots, OnlineStreams: online, FreeKVShare: 1 - d.kvUsed(), MaxPrefillAhead: d.guard.MaxPrefillAhead(now),
	}, streams, preempt.Arrival{Requests: 1, KVShare: float64(e.PromptTokens+e.OutputTokens) / kv}, nil)
	d.guard.RecordPreemption(now, out)
	for _, r := range out {
		d.cancel(r.ID)
	}
}

// uncached returns the prompt tokens that the engine has to process, when the
// prefixes of earlier answers are still in its cache.
func (d *director) uncached(e *trace.Event) int {
	if d.warm[e.Prefix] {
		return e.PromptTokens - e.PrefixTokens
	}
	return e.PromptTokens
}

// kvUsed estimates the used KV memory: the last report, or the batch streams'
// own need when that is more.
func (d *director) kvUsed() float64 {
	own := 0
	for _, it := range d.streams {
		own += it.runner.ev.PromptTokens + it.runner.ev.OutputTokens
	}
	return max(d.last.KVUsed, float64(own)/float64(d.engine.spec.KVTokens))
}

func (d *director) left() {
	d.occ.OnlineEnded(d.sim.time())
	d.noticed--
	d.burst.Observe(d.sim.time(), d.noticed)
	d.refill()
}

func (d *director) cancel(id uint64) {
	i := slices.IndexFunc(d.streams, func(it *item) bool { return it.id == id })
	it := d.streams[i]
	r := it.runner
	d.inst.suspects.Finished(it.id, false)
	d.end(it)
	d.sim.stats.preempted++
	d.sim.after(d.net, func() { d.engine.cancel(r) })
	// Tokens under way until the cancellation takes effect are kept as well.
	d.sim.jobs.giveBack(it, r)
}

// end takes a stream off the server.
func (d *director) end(it *item) {
	it.runner = nil
	d.streams = slices.DeleteFunc(d.streams, func(o *item) bool { return o == it })
	d.occ.BatchChanged(d.sim.time(), -1)
}

// refill starts batch streams.
func (d *director) refill() {
	if d.paused {
		return
	}
	for range d.plan() {
		it := d.sim.jobs.next()
		if it == nil {
			return
		}
		if !d.start(it) {
			d.sim.jobs.giveBack(it, nil)
			return
		}
	}
}

// plan returns how many batch streams to start now.
func (d *director) plan() int {
	slots, online := d.engine.spec.Slots, d.occ.Online()
	switch d.sim.cfg.Mode {
	case NoPriority:
		return max(0, slots-len(d.streams))
	case StaticPartition:
		if d.sim.batchOnly(d.index) {
			return max(0, slots-len(d.streams))
		}
		return 0
	}
	now := d.sim.time()
	waiting := 0
	prefilling := 0
	for _, it := range d.streams {
		if !it.runner.first {
			prefilling++
		}
	}
	free := 1 - d.kvUsed()
	view := fill.Server{
		Slots: slots, Online: online, Batch: len(d.streams), Waiting: waiting, BatchPrefilling: prefilling,
		KVFree: free, KVPerStream: 0.03, Headroom: d.headroom(now), MaxStreams: d.maxStreams(),
		HoldUntil: d.guard.RefillAfter(now),
	}
	n := fill.StreamsToStart(now, view)
	d.vacancy(fill.MaxBatchStreams(view) > len(d.streams), n > 0)
	return n
}

// vacancy measures the time for which batch could run more streams and none
// was started, holds after arrivals and preemptions included.
func (d *director) vacancy(room, started bool) {
	s := d.sim
	if room && d.vacant < 0 {
		d.vacant = s.now
	}
	if d.vacant >= 0 && (started || !room) {
		s.stats.refills = append(s.stats.refills, s.now-d.vacant)
		d.vacant = -1
	}
	if room && started {
		d.vacant = s.now
	}
}

// headroom is the number of slots kept free for the next burst.
func (d *director) headroom(now time.Time) int {
	t := d.inst.table(modelName)
	if f := t.Fleet(); f.OnlineFirst > 0 && fill.IsLowOnlineLoad(f.OnlineShare) && !t.IsOnlineFirst(d.engine.spec.ID) {
		return 0
	}
	return d.burst.Headroom(now) + d.guard.ExtraHeadroom(now)
}

// maxStreams bounds the streams beside online ones for the sake of their speed.
func (d *director) maxStreams() int {
	t := d.inst.table(modelName)
	if !t.IsOnlineFirst(d.engine.spec.ID) {
		return 0
	}
	f := t.Fleet()
	return fill.OnlineFirstStreamLimit(d.engine.spec.Slots, f.OnlineFirst, f.Slots, f.OnlineShare)
}

// start runs an item; false when it is a suspect that may not run here now.
func (d *director) start(it *item) bool {
	s, x := d.sim, d.inst
	now := s.time()
	fp := fingerprint(it.event, it.work.ev)
	suspected := x.suspects.IsSuspect(now, fp)
	if suspected && (!x.suspects.CanRun(now, d.engine.spec.ID, fp) || !s.quar.gate(d.engine.spec.ID).Acquire(now, fp, suspectLimit)) {
		return false
	}
	s.calls++
	it.id, it.began, it.server = s.calls, now, d.engine.spec.ID
	it.tried++
	s.stats.attempt(s.now, it.work.ev)
	r := &run{ev: it.work.ev, batch: true, produced: it.work.produced, repeat: it.warm}
	it.runner = r
	d.streams = append(d.streams, it)
	d.occ.BatchChanged(now, 1)
	x.suspects.Started(it.id, d.engine.spec.ID, fp, r.produced)
	if suspected {
		x.markSuspects()
		r.onToken = func() {
			if x.suspects.Progress(s.time(), it.id, r.produced) {
				d.cleared(it)
			}
		}
	}
	back := func(do func()) func() {
		return func() {
			s.after(d.net, func() {
				if it.runner == r {
					do()
				}
			})
		}
	}
	r.onFirst = back(func() {
		d.warm[r.ev.Prefix] = true
		d.refill()
	})
	r.onDone = back(func() { d.done(it) })
	r.onFail = func(f retry.Failure) { back(func() { d.failed(it, f) })() }
	s.after(d.net, func() { d.engine.submit(r) })
	return true
}

func (d *director) cleared(it *item) {
	fp := fingerprint(it.event, it.work.ev)
	d.sim.quar.gate(it.server).Release(fp)
	d.sim.quar.clear(fp)
}

func (d *director) done(it *item) {
	now := d.sim.time()
	r := it.runner
	d.guard.RecordOutput(now, r.produced-r.mark+r.prefillDone)
	if d.inst.suspects.Finished(it.id, true) {
		d.cleared(it)
	}
	d.end(it)
	d.sim.jobs.done(it, r)
	d.refill()
}

// failed gives an item back after the loss of its server. The server gets no
// batch work until its health has returned.
func (d *director) failed(it *item, f retry.Failure) {
	s := d.sim
	r := it.runner
	d.inst.suspects.Finished(it.id, false)
	s.quar.gate(it.server).Release(fingerprint(it.event, it.work.ev))
	d.end(it)
	// The item runs again after the crash report is recorded and known.
	s.after(recordTime+quarantineLag, func() { s.jobs.giveBack(it, r) })
	d.inst.observe(d.inst.services[modelName], it.server, health.Sample{Dead: true})
	if f == retry.NotSent {
		d.pause()
	}
}

// pause stops batch work on a dead server until it answers probes.
func (d *director) pause() {
	if !d.paused {
		d.paused = true
		clear(d.warm)
		d.tryLater()
	}
}

// tryLater asks for the server's state until it answers.
func (d *director) tryLater() {
	d.sim.after(evaluateEvery, func() {
		if d.engine.down {
			d.tryLater()
			return
		}
		d.paused = false
	})
}
