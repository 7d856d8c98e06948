package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/health"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
	"github.com/jacinthnotch/jacinthnotch/policy/trace"
)

// Mode is what is done with batch work.
type Mode string

// The modes. Policy is the product's; the others are baselines.
const (
	// NoBatch runs the online requests alone.
	NoBatch Mode = "no batch"
	// Policy fills and preempts by the decision packages.
	Policy Mode = "policy"
	// NoPriority keeps every slot filled and never preempts.
	NoPriority Mode = "batch without priority"
	// StaticPartition gives a third of the servers to batch alone.
	StaticPartition Mode = "static partition"
)

// Config is one replay.
type Config struct {
	Trace  *trace.Trace
	Mode   Mode
	Picker route.Picker
	Seed   uint64
}

const (
	// One-way latencies.
	latencySame  = 100 * time.Microsecond
	latencyOther = 500 * time.Microsecond
	// reportEvery and reportLag are of the engines' load reports.
	reportEvery = 100 * time.Millisecond
	reportLag   = 100 * time.Millisecond
	// Cache events arrive late, and one page in cacheLoss is lost.
	cacheEvery = 500 * time.Millisecond
	cacheLoss  = 100
	// staticShare is one server in so many for batch alone.
	staticShare = 3
	// restartTime is how long a server is away after a crashing request.
	restartTime = 20 * time.Second
	modelName   = "model"
)

type simulation struct {
	clock
	cfg       Config
	engines   []*engine
	index     map[string]int
	instances []*instance
	directors []*director
	jobs      *jobSource
	quar      *quarantine
	stats     stats
	calls     uint64
	end       time.Duration
	rng       *rand.Rand // lost cache pages
}

// Run replays a trace.
func Run(cfg Config) *Result {
	s := &simulation{cfg: cfg, index: map[string]int{}, end: cfg.Trace.Duration, rng: rand.New(rand.NewPCG(cfg.Seed, 77))}
	s.stats.deaths = map[int]int{}
	s.quar = newQuarantine(s)
	for i, spec := range cfg.Trace.Servers {
		e := &engine{clock: &s.clock, spec: spec, slow: 1, onCrash: s.crashed}
		s.engines = append(s.engines, e)
		s.index[spec.ID] = i
	}
	for i := range cfg.Trace.Instances {
		s.instances = append(s.instances, newInstance(s, i))
	}
	s.jobs = newJobSource(s)
	if cfg.Mode != NoBatch {
		s.addDirectors()
	}
	s.every(reportEvery, s.reports)
	s.every(cacheEvery, s.cacheEvents)
	s.feed(0)
	s.run(s.end)
	return s.result()
}

// feed schedules the trace's events one after another, so that the queue stays
// short.
func (s *simulation) feed(i int) {
	if i >= len(s.cfg.Trace.Events) {
		return
	}
	e := &s.cfg.Trace.Events[i]
	s.after(e.At-s.now, func() {
		s.feed(i + 1)
		s.event(i, e)
	})
}

func (s *simulation) event(i int, e *trace.Event) {
	switch {
	case e.Fault != "":
		s.fault(e)
	case e.Class == trace.Batch:
		s.jobs.add(i, e)
	default:
		// The balancer's choice depends on the request alone, so that replays
		// of one trace differ only by the decisions.
		rng := rand.New(rand.NewPCG(s.cfg.Seed, uint64(i)))
		s.instances[rng.IntN(len(s.instances))].arrive(i, e)
	}
}

func (s *simulation) fault(e *trace.Event) {
	switch e.Fault {
	case trace.Crash:
		s.engines[s.index[e.Server]].crash(e.FaultDuration)
		s.died(e.Server)
	case trace.Slow:
		s.engines[s.index[e.Server]].slowDown(e.SlowdownFactor, e.FaultDuration)
	case trace.Silent:
		s.engines[s.index[e.Server]].silence()
	case trace.Outage:
		for _, x := range s.engines {
			if x.spec.Service == e.Service {
				x.crash(e.FaultDuration)
				s.died(x.spec.ID)
			}
		}
		s.stats.outages = append(s.stats.outages, span{s.now, s.now + e.FaultDuration})
	}
}

// crashed is called when a request crashes an engine.
func (s *simulation) crashed(e *engine, r *run) {
	s.stats.crashes++
	e.crash(restartTime)
	s.died(e.spec.ID)
}

// died tells the instances, which notice by their broken connections.
func (s *simulation) died(server string) {
	for _, x := range s.instances {
		x.serverDied(server)
	}
	if d := s.director(s.index[server]); d != nil {
		d.pause()
	}
}

func (s *simulation) latency(a, b string) time.Duration {
	if a == b {
		return latencySame
	}
	return latencyOther
}

func (s *simulation) reports() {
	for i, e := range s.engines {
		if e.down {
			continue
		}
		r := e.report()
		d := s.director(i)
		if d != nil {
			r.Batch = len(d.streams)
		}
		s.after(reportLag, func() {
			for _, x := range s.instances {
				if e.spec.Service == modelName || e.spec.Plain {
					x.table(e.spec.Service).LoadReported(e.spec.ID, r)
				}
			}
			if d != nil {
				d.reported(r)
			}
		})
	}
}

func (s *simulation) cacheEvents() {
	for _, e := range s.engines {
		page := e.cache.events
		e.cache.events = nil
		if len(page) == 0 || s.rng.IntN(cacheLoss) == 0 {
			continue
		}
		s.after(reportLag, func() {
			for _, x := range s.instances {
				x.table(e.spec.Service).CacheEvents(e.spec.ID, page)
			}
		})
	}
}

func (s *simulation) director(i int) *director {
	if i < len(s.directors) {
		return s.directors[i]
	}
	return nil
}

func (s *simulation) addDirectors() {
	for i, e := range s.engines {
		if e.spec.Plain {
			s.directors = append(s.directors, nil)
			continue
		}
		s.directors = append(s.directors, newDirector(s, i, s.instances[i%len(s.instances)]))
	}
}

// batchOnly tells whether the static partition gives the server to batch.
func (s *simulation) batchOnly(i int) bool {
	return s.cfg.Mode == StaticPartition && !s.engines[i].spec.Plain && i%staticShare == staticShare-1
}

func (s *simulation) probe(server string) health.Sample {
	e := s.engines[s.index[server]]
	return health.Sample{Probe: true, OK: !e.down, Slowness: e.slow}
}

// notifyArrival tells the server's director of an online request that is being
// sent there, in one message when the director is another instance.
func (s *simulation) notifyArrival(x *instance, server int, e *trace.Event) {
	if d := s.director(server); d != nil {
		s.after(d.distance(x), func() { d.arrived(e) })
	}
}

// notifyEnd tells the director of the end of an online request.
func (s *simulation) notifyEnd(x *instance, server int) {
	if d := s.director(server); d != nil {
		s.after(d.distance(x), d.left)
	}
}

func fingerprint(i int, e *trace.Event) string {
	if e.Key != "" && e.Class == trace.Online {
		return e.Key
	}
	return fmt.Sprint(i)
}
