// Package sim replays a trace in virtual time: a discrete-event simulation of the
// engines and of several instances. Each instance sees only its own requests and
// what the servers report. It calls the policy packages as node/instance does and
// measures the outcomes.
package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/health"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
	"github.com/jacinthnotch/jacinthnotch/policy/trace"
)

// Mode selects whether batch work runs and how it is scheduled.
type Mode string

// The modes. Policy is what the product does; the others are baselines.
const (
	// NoBatch runs online requests only.
	NoBatch Mode = "no batch"
	// Policy fills idle slots and preempts batch streams as the policy packages decide.
	Policy Mode = "policy"
	// NoPriority keeps all slots filled with batch streams and never preempts.
	NoPriority Mode = "batch without priority"
	// StaticPartition gives every third server to batch work, and to batch work only.
	StaticPartition Mode = "static partition"
)

// Config is the configuration of one replay.
type Config struct {
	Trace  *trace.Trace
	Mode   Mode
	Picker route.Picker
	Seed   uint64
}

const (
	// One-way network latencies, within a data centre and between two.
	sameDCLatency  = 100 * time.Microsecond
	crossDCLatency = 500 * time.Microsecond
	// Each engine reports its load at this interval, and the report arrives after this
	// delay.
	loadReportInterval = 100 * time.Millisecond
	loadReportDelay    = 100 * time.Millisecond
	// Cache events are sent in pages at this interval and arrive after loadReportDelay.
	// One page in cacheLossOdds is lost.
	cacheEventInterval = 500 * time.Millisecond
	cacheLossOdds      = 100
	// With StaticPartition, one server in staticBatchStride is for batch work only.
	staticBatchStride = 3
	// crashRestartTime is how long a server is down after a request crashed it.
	crashRestartTime = 20 * time.Second
	modelService     = "model"
)

// simulation is the state of one replay.
type simulation struct {
	clock
	cfg           Config
	engines       []*engine
	engineIndex   map[string]int // by server ID
	instances     []*instance
	directors     []*director
	jobs          *jobSource
	quarantine    *quarantine
	stats         stats
	lastRequestID uint64 // IDs of calls, hedges and batch attempts
	end           time.Duration
	cacheLossRNG  *rand.Rand // selects the pages of cache events that are lost
}

// Run replays a trace once.
func Run(cfg Config) *Result {
	s := &simulation{cfg: cfg, engineIndex: map[string]int{}, end: cfg.Trace.Duration, cacheLossRNG: rand.New(rand.NewPCG(cfg.Seed, 77))}
	s.stats.deaths = map[int]int{}
	s.quarantine = newQuarantine(s)
	for i, spec := range cfg.Trace.Servers {
		e := &engine{clock: &s.clock, spec: spec, slowdown: 1, onCrash: s.requestCrashed}
		s.engines = append(s.engines, e)
		s.engineIndex[spec.ID] = i
	}
	for i := range cfg.Trace.Instances {
		s.instances = append(s.instances, newInstance(s, i))
	}
	s.jobs = newJobSource(s)
	if cfg.Mode != NoBatch {
		s.addDirectors()
	}
	s.every(loadReportInterval, s.sendLoadReports)
	s.every(cacheEventInterval, s.sendCacheEvents)
	s.scheduleEvent(0)
	s.runUntil(s.end)
	return s.result()
}

// scheduleEvent schedules event i of the trace. Each event schedules the next one, which
// keeps the event queue short.
func (s *simulation) scheduleEvent(i int) {
	if i >= len(s.cfg.Trace.Events) {
		return
	}
	e := &s.cfg.Trace.Events[i]
	s.after(e.At-s.now, func() {
		s.scheduleEvent(i + 1)
		s.handleEvent(i, e)
	})
}

// handleEvent injects a fault, adds a batch item to its job or passes an online request
// to a random instance.
func (s *simulation) handleEvent(i int, e *trace.Event) {
	switch {
	case e.Fault != "":
		s.injectFault(e)
	case e.Class == trace.Batch:
		s.jobs.addItem(i, e)
	default:
		// The instance depends on the seed and on the position of the request in
		// the trace only, so that replays with different modes are comparable.
		rng := rand.New(rand.NewPCG(s.cfg.Seed, uint64(i)))
		s.instances[rng.IntN(len(s.instances))].startCall(i, e)
	}
}

func (s *simulation) injectFault(e *trace.Event) {
	switch e.Fault {
	case trace.Crash:
		s.engines[s.engineIndex[e.Server]].crash(e.FaultDuration)
		s.serverDied(e.Server)
	case trace.Slow:
		s.engines[s.engineIndex[e.Server]].slowDown(e.SlowdownFactor, e.FaultDuration)
	case trace.Silent:
		s.engines[s.engineIndex[e.Server]].stallConnections()
	case trace.Outage:
		for _, x := range s.engines {
			if x.spec.Service == e.Service {
				x.crash(e.FaultDuration)
				s.serverDied(x.spec.ID)
			}
		}
		s.stats.outages = append(s.stats.outages, interval{s.now, s.now + e.FaultDuration})
	}
}

// requestCrashed handles the crash of an engine by one of its requests.
func (s *simulation) requestCrashed(e *engine, a *attempt) {
	s.stats.requestCrashes++
	e.crash(crashRestartTime)
	s.serverDied(e.spec.ID)
}

// serverDied notifies the instances, which learn of a crash from their broken
// connections, and the director of the server.
func (s *simulation) serverDied(server string) {
	for _, x := range s.instances {
		x.serverDied(server)
	}
	if d := s.director(s.engineIndex[server]); d != nil {
		d.pause()
	}
}

// latency returns the one-way latency between two data centres.
func (s *simulation) latency(a, b string) time.Duration {
	if a == b {
		return sameDCLatency
	}
	return crossDCLatency
}

// sendLoadReports sends the load of each engine to all instances and to its director.
func (s *simulation) sendLoadReports() {
	for i, e := range s.engines {
		if e.down {
			continue
		}
		r := e.loadReport()
		d := s.director(i)
		if d != nil {
			r.Batch = len(d.streams)
		}
		s.after(loadReportDelay, func() {
			for _, x := range s.instances {
				if e.spec.Service == modelService || e.spec.Plain {
					x.table(e.spec.Service).LoadReported(e.spec.ID, r)
				}
			}
			if d != nil {
				d.loadReported(r)
			}
		})
	}
}

// sendCacheEvents sends the new cache events of each engine to all instances. Lost pages
// leave a gap in the sequence numbers.
func (s *simulation) sendCacheEvents() {
	for _, e := range s.engines {
		page := e.cache.events
		e.cache.events = nil
		if len(page) == 0 || s.cacheLossRNG.IntN(cacheLossOdds) == 0 {
			continue
		}
		s.after(loadReportDelay, func() {
			for _, x := range s.instances {
				x.table(e.spec.Service).CacheEvents(e.spec.ID, page)
			}
		})
	}
}

// director returns the director of the server with this index; nil if batch work does not
// run there.
func (s *simulation) director(i int) *director {
	if i < len(s.directors) {
		return s.directors[i]
	}
	return nil
}

// addDirectors gives each server of the model service a director, spread over the
// instances.
func (s *simulation) addDirectors() {
	for i, e := range s.engines {
		if e.spec.Plain {
			s.directors = append(s.directors, nil)
			continue
		}
		s.directors = append(s.directors, newDirector(s, i, s.instances[i%len(s.instances)]))
	}
}

// isBatchOnly reports whether StaticPartition gives the server to batch work.
func (s *simulation) isBatchOnly(i int) bool {
	return s.cfg.Mode == StaticPartition && !s.engines[i].spec.Plain && i%staticBatchStride == staticBatchStride-1
}

// probe returns the health sample of a probe that reaches the server now.
func (s *simulation) probe(server string) health.Sample {
	e := s.engines[s.engineIndex[server]]
	return health.Sample{Probe: true, OK: !e.down, LatencyRatio: e.slowdown}
}

// notifyArrival tells the director of the server that instance x is sending an online
// request there. The message takes no time if the director is on x.
func (s *simulation) notifyArrival(x *instance, server int, e *trace.Event) {
	if d := s.director(server); d != nil {
		s.after(d.latencyFrom(x), func() { d.onlineStarted(e) })
	}
}

// notifyEnd tells the director of the server that an online request has ended.
func (s *simulation) notifyEnd(x *instance, server int) {
	if d := s.director(server); d != nil {
		s.after(d.latencyFrom(x), d.onlineEnded)
	}
}

// fingerprint identifies the content of the request of event i: copies of a request have
// the same one.
func fingerprint(i int, e *trace.Event) string {
	if e.Key != "" && e.Class == trace.Online {
		return e.Key
	}
	return fmt.Sprint(i)
}
