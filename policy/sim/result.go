package sim

import (
	"slices"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/trace"
)

type span struct{ from, to time.Duration }

// stats are collected during a replay.
type stats struct {
	calls       []*call
	refusals    int
	failures    int
	done        int
	resent      int
	doubled     int
	preempted   int
	silences    int
	hedges      int
	refills     []time.Duration
	crashes     int
	deaths      map[int]int
	quarantined []string
	outages     []span
	attempts    []attempt
	repeated    int
}

type attempt struct {
	at     time.Duration
	online bool
	plain  bool
}

func (s *stats) arrived(c *call) { s.calls = append(s.calls, c) }

func (s *stats) refused(c *call) {
	s.refusals++
	c.over = true
	c.outcome = -1
}

func (s *stats) attempt(at time.Duration, e *trace.Event) {
	s.attempts = append(s.attempts, attempt{at, e.Class == trace.Online, e.Service != modelName})
}

func (s *stats) finished(c *call, ok bool) {
	if !ok {
		s.failures++
		c.outcome = -1
		return
	}
	s.done++
	c.outcome = 1
	c.ended = c.sim().now
}

// Result is the outcome of a replay.
type Result struct {
	Mode Mode
	// FirstTokenLatencies and TotalLatencies are the online latencies of the model service, sorted.
	// Requests that arrive during a total outage or in the recovery time after
	// it, and requests that crash servers, are left out.
	FirstTokenLatencies, TotalLatencies []time.Duration
	Answered                            int
	Failed                              int
	Refused                             int
	// AnsweredTwice counts requests that were answered twice; always zero.
	AnsweredTwice int
	// NonIdempotentReruns counts second runs of non-idempotent requests; always zero.
	NonIdempotentReruns int
	// Unanswered counts requests without an answer whose deadline has passed; always
	// zero.
	Unanswered int
	// IdleFillRatio is the share of the idle engine time turned into finished
	// batch items, see idle.
	IdleFillRatio float64
	// WasteRatio is the share of batch tokens that were processed again.
	WasteRatio        float64
	BatchTokens       int
	BatchItems        int
	Preemptions       int
	SilentConnections int
	Hedges            int
	// RefillDelays are the times from room for a batch stream to its start, sorted.
	RefillDelays []time.Duration
	// OutageLoadFactor is the attempts sent to the model service during outages as a
	// multiple of the requests offered; Recovery the time after the end of the
	// outage until requests are answered as before.
	OutageLoadFactor float64
	RecoveryTime     time.Duration
	ServersLost      int
	QuarantinedKeys  []string
	JobsAtRisk       int
}

const (
	// recoveryTime is left out of the latencies after an outage.
	recoveryTime = 5 * time.Second
	// recoveryWatch is how long after an outage its effects are looked for.
	recoveryWatch = 30 * time.Second
	// recoveryFactor times the replay's own p99 of the first-token time, which
	// leaves out the outage, counts as answered as before.
	recoveryFactor = 2
)

// Quantile returns a quantile of sorted latencies; zero for none.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}

func (s *simulation) result() *Result {
	r := &Result{
		Mode: s.cfg.Mode, Answered: s.stats.done, Failed: s.stats.failures, Refused: s.stats.refusals, AnsweredTwice: s.stats.doubled, NonIdempotentReruns: s.stats.repeated,
		BatchTokens: s.jobs.tokens, BatchItems: s.jobs.items, Preemptions: s.stats.preempted, SilentConnections: s.stats.silences, Hedges: s.stats.hedges, RefillDelays: s.stats.refills,
		ServersLost: s.stats.crashes, QuarantinedKeys: s.stats.quarantined, JobsAtRisk: len(s.jobs.risks),
	}
	for _, c := range s.stats.calls {
		if c.outcome == 0 && c.arrived+c.ev.Deadline < s.end {
			r.Unanswered++
		}
		if c.ev.Service != modelName || c.ev.CrashAtToken > 0 || s.excluded(c.arrived) || c.outcome != 1 {
			continue
		}
		r.FirstTokenLatencies = append(r.FirstTokenLatencies, c.first-c.arrived)
		r.TotalLatencies = append(r.TotalLatencies, c.ended-c.arrived)
	}
	slices.Sort(r.FirstTokenLatencies)
	slices.Sort(r.TotalLatencies)
	slices.Sort(r.RefillDelays)
	s.idle(r)
	for _, o := range s.stats.outages {
		s.outage(o, r)
	}
	return r
}

func (s *simulation) excluded(at time.Duration) bool {
	for _, o := range s.stats.outages {
		if at >= o.from-recoveryTime && at <= o.to+recoveryTime {
			return true
		}
	}
	return false
}

// idle computes the share of idle capacity that was turned into finished batch
// work. The capacity of a server is its engine time; a token costs what it
// takes on an engine with all slots in use. Idle is the time less the cost of
// the online tokens and the time lost to faults.
func (s *simulation) idle(r *Result) {
	var idle, batch float64
	var made, wasted, processed int
	for _, e := range s.engines {
		if e.spec.Plain {
			continue
		}
		token := e.stepTime(e.spec.Slots).Seconds() / float64(e.spec.Slots) / e.spec.Speed
		prompt := prefillToken.Seconds() / e.spec.Speed
		online := float64(e.online)*token + float64(e.onlineIn)*prompt
		idle += max(0, (s.end-e.lost).Seconds()-online)
		batch += float64(e.batch)*token + float64(e.batchIn-e.wasted)*prompt
		made += e.batch
		wasted += e.wasted
		processed += e.batch + e.batchIn
	}
	if made == 0 {
		return
	}
	r.IdleFillRatio = batch / idle * min(1, float64(s.jobs.tokens)/float64(made))
	r.WasteRatio = float64(wasted) / float64(processed)
}

func (s *simulation) outage(o span, r *Result) {
	sent, offered := 0, 0
	for _, a := range s.stats.attempts {
		if !a.plain && a.at >= o.from && a.at < o.to {
			sent++
		}
	}
	var bad time.Duration
	normal := recoveryFactor * Quantile(r.FirstTokenLatencies, 0.99)
	for _, c := range s.stats.calls {
		if c.ev.Service != modelName || c.ev.CrashAtToken > 0 {
			continue
		}
		if c.arrived >= o.from && c.arrived < o.to {
			offered++
		}
		if c.arrived < o.to || c.arrived > o.to+recoveryWatch {
			continue
		}
		if c.outcome == -1 || c.first == 0 || c.first-c.arrived > normal {
			bad = max(bad, c.arrived-o.to)
		}
	}
	if offered > 0 {
		r.OutageLoadFactor = max(r.OutageLoadFactor, float64(sent)/float64(offered))
	}
	r.RecoveryTime = max(r.RecoveryTime, bad)
}
