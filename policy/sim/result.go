package sim

import (
	"slices"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/trace"
)

// interval is an interval of virtual time.
type interval struct{ from, to time.Duration }

// stats are the counters of a replay.
type stats struct {
	calls               []*call
	refusals            int // by the admission queue
	failures            int
	answered            int
	callerResends       int
	answeredTwice       int
	preemptions         int
	silentConnections   int
	hedges              int
	refillDelays        []time.Duration
	requestCrashes      int // servers crashed by a request
	deaths              map[int]int
	quarantinedKeys     []string
	outages             []interval
	attempts            []sentAttempt
	nonIdempotentReruns int
}

// sentAttempt is an attempt that was sent to a server.
type sentAttempt struct {
	at     time.Duration
	online bool
	plain  bool
}

func (s *stats) recordArrival(c *call) { s.calls = append(s.calls, c) }

func (s *stats) recordRefusal(c *call) {
	s.refusals++
	c.finished = true
	c.outcome = -1
}

func (s *stats) recordAttempt(at time.Duration, e *trace.Event) {
	s.attempts = append(s.attempts, sentAttempt{at, e.Class == trace.Online, e.Service != modelService})
}

// recordEnd records the answer or the failure of a call.
func (s *stats) recordEnd(c *call, ok bool) {
	if !ok {
		s.failures++
		c.outcome = -1
		return
	}
	s.answered++
	c.outcome = 1
	c.endedAt = c.sim().now
}

// Result holds the outcomes of one replay, or of several that RunSeeds combined.
type Result struct {
	Mode Mode
	// FirstTokenLatencies and TotalLatencies are the latencies of answered online requests
	// to the model service, sorted. Requests that arrive from recoveryExclusion before a
	// total outage to recoveryExclusion after it are left out, and so are requests that
	// crash servers.
	FirstTokenLatencies, TotalLatencies []time.Duration
	Answered                            int
	Failed                              int
	Refused                             int
	// AnsweredTwice counts online requests and batch items that were answered twice; more
	// than zero is an error.
	AnsweredTwice int
	// NonIdempotentReruns counts repeated attempts of non-idempotent requests; more than
	// zero is an error.
	NonIdempotentReruns int
	// Unanswered counts requests without an answer whose deadline has passed; more than
	// zero is an error.
	Unanswered int
	// IdleFillRatio is the share of the idle engine time that was used for finished batch
	// items; see computeIdleFill.
	IdleFillRatio float64
	// WasteRatio is the share of the processed batch tokens that were wasted: prompt tokens
	// processed again, or for a prompt that was cancelled before its first output token.
	WasteRatio        float64
	BatchTokens       int
	BatchItems        int
	Preemptions       int
	SilentConnections int
	Hedges            int
	// RefillDelays are the times from when a server has room for another batch stream until
	// the stream is started, sorted.
	RefillDelays []time.Duration
	// OutageLoadFactor is the number of attempts sent to the model service during a total
	// outage, as a multiple of the requests that arrive in it. RecoveryTime is the time from
	// its end until requests are answered as before.
	OutageLoadFactor float64
	RecoveryTime     time.Duration
	// ServersLost counts the servers that requests crashed.
	ServersLost int
	// QuarantinedKeys are the quarantined fingerprints.
	QuarantinedKeys []string
	// JobsAtRisk counts the reports of jobs that may miss their deadline.
	JobsAtRisk int
}

const (
	// recoveryExclusion is the time before and after an outage whose requests are left out
	// of the latencies.
	recoveryExclusion = 5 * time.Second
	// recoveryWindow is the time after an outage in which RecoveryTime is measured.
	recoveryWindow = 30 * time.Second
	// A request counts as answered as before if its first-token latency is at most
	// normalLatencyFactor times the p99 of FirstTokenLatencies, which leave out the outage.
	normalLatencyFactor = 2
)

// Quantile returns the quantile q, 0 to 1, of sorted latencies; zero if there are none.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}

// result computes the outcomes at the end of the replay.
func (s *simulation) result() *Result {
	r := &Result{
		Mode: s.cfg.Mode, Answered: s.stats.answered, Failed: s.stats.failures, Refused: s.stats.refusals,
		AnsweredTwice: s.stats.answeredTwice, NonIdempotentReruns: s.stats.nonIdempotentReruns,
		BatchTokens: s.jobs.finishedOutputTokens, BatchItems: s.jobs.finishedItems,
		Preemptions: s.stats.preemptions, SilentConnections: s.stats.silentConnections, Hedges: s.stats.hedges,
		RefillDelays: s.stats.refillDelays,
		ServersLost:  s.stats.requestCrashes, QuarantinedKeys: s.stats.quarantinedKeys, JobsAtRisk: len(s.jobs.risks),
	}
	for _, c := range s.stats.calls {
		if c.outcome == 0 && c.arrivedAt+c.event.Deadline < s.end {
			r.Unanswered++
		}
		if c.event.Service != modelService || c.event.CrashAtToken > 0 || s.isExcluded(c.arrivedAt) || c.outcome != 1 {
			continue
		}
		r.FirstTokenLatencies = append(r.FirstTokenLatencies, c.firstTokenAt-c.arrivedAt)
		r.TotalLatencies = append(r.TotalLatencies, c.endedAt-c.arrivedAt)
	}
	slices.Sort(r.FirstTokenLatencies)
	slices.Sort(r.TotalLatencies)
	slices.Sort(r.RefillDelays)
	s.computeIdleFill(r)
	for _, o := range s.stats.outages {
		s.computeOutage(o, r)
	}
	return r
}

// isExcluded reports whether requests that arrive at this time are left out of the
// latencies.
func (s *simulation) isExcluded(at time.Duration) bool {
	for _, o := range s.stats.outages {
		if at >= o.from-recoveryExclusion && at <= o.to+recoveryExclusion {
			return true
		}
	}
	return false
}

// computeIdleFill sets IdleFillRatio and WasteRatio. The capacity of a server is its engine
// time. An output token costs the time per token of an engine with all slots in use. Idle
// time is the engine time less the cost of the online tokens and the time lost to faults.
func (s *simulation) computeIdleFill(r *Result) {
	var idle, batch float64
	var generated, wasted, processed int
	for _, e := range s.engines {
		if e.spec.Plain {
			continue
		}
		token := e.stepTime(e.spec.Slots).Seconds() / float64(e.spec.Slots) / e.spec.Speed
		prompt := prefillTimePerToken.Seconds() / e.spec.Speed
		online := float64(e.onlineOutputTokens)*token + float64(e.onlinePromptTokens)*prompt
		idle += max(0, (s.end-e.lostTime).Seconds()-online)
		batch += float64(e.batchOutputTokens)*token + float64(e.batchPromptTokens-e.wastedBatchTokens)*prompt
		generated += e.batchOutputTokens
		wasted += e.wastedBatchTokens
		processed += e.batchOutputTokens + e.batchPromptTokens
	}
	if generated == 0 {
		return
	}
	r.IdleFillRatio = batch / idle * min(1, float64(s.jobs.finishedOutputTokens)/float64(generated))
	r.WasteRatio = float64(wasted) / float64(processed)
}

// computeOutage sets OutageLoadFactor and RecoveryTime to the maximum of their value and
// that of this outage.
func (s *simulation) computeOutage(o interval, r *Result) {
	sent, offered := 0, 0
	for _, a := range s.stats.attempts {
		if !a.plain && a.at >= o.from && a.at < o.to {
			sent++
		}
	}
	var recovery time.Duration
	normal := normalLatencyFactor * Quantile(r.FirstTokenLatencies, 0.99)
	for _, c := range s.stats.calls {
		if c.event.Service != modelService || c.event.CrashAtToken > 0 {
			continue
		}
		if c.arrivedAt >= o.from && c.arrivedAt < o.to {
			offered++
		}
		if c.arrivedAt < o.to || c.arrivedAt > o.to+recoveryWindow {
			continue
		}
		if c.outcome == -1 || c.firstTokenAt == 0 || c.firstTokenAt-c.arrivedAt > normal {
			recovery = max(recovery, c.arrivedAt-o.to)
		}
	}
	if offered > 0 {
		r.OutageLoadFactor = max(r.OutageLoadFactor, float64(sent)/float64(offered))
	}
	r.RecoveryTime = max(r.RecoveryTime, recovery)
}
