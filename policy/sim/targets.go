package sim

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/route"
	"github.com/jacinthnotch/jacinthnotch/policy/trace"
)

// DefaultSeeds are the seeds that each trace is replayed with. Their latencies are pooled,
// because the slowest hundredth of one replay of a quiet trace is some twenty requests, too
// few to compare.
var DefaultSeeds = []uint64{1, 2, 3, 4}

// RunSeeds replays a trace once with each seed, in parallel, and combines the results:
// latencies are pooled, counts added and ratios averaged. Of the outcomes of faults the
// worst replay counts.
func RunSeeds(t *trace.Trace, mode Mode, picker route.Picker, seeds []uint64) *Result {
	parts := make([]*Result, len(seeds))
	var wg sync.WaitGroup
	for i, seed := range seeds {
		wg.Go(func() { parts[i] = Run(Config{Trace: t, Mode: mode, Picker: picker, Seed: seed}) })
	}
	wg.Wait()
	sum := &Result{Mode: mode}
	for _, p := range parts {
		sum.merge(p, float64(len(parts)))
	}
	slices.Sort(sum.FirstTokenLatencies)
	slices.Sort(sum.TotalLatencies)
	slices.Sort(sum.RefillDelays)
	slices.Sort(sum.QuarantinedKeys)
	sum.QuarantinedKeys = slices.Compact(sum.QuarantinedKeys)
	return sum
}

// merge adds the result p of one of n replays to r.
func (r *Result) merge(p *Result, n float64) {
	r.FirstTokenLatencies = append(r.FirstTokenLatencies, p.FirstTokenLatencies...)
	r.TotalLatencies = append(r.TotalLatencies, p.TotalLatencies...)
	r.Answered += p.Answered
	r.Failed += p.Failed
	r.Refused += p.Refused
	r.AnsweredTwice += p.AnsweredTwice
	r.NonIdempotentReruns += p.NonIdempotentReruns
	r.Unanswered += p.Unanswered
	r.IdleFillRatio += p.IdleFillRatio / n
	r.WasteRatio += p.WasteRatio / n
	r.BatchTokens += p.BatchTokens
	r.BatchItems += p.BatchItems
	r.Preemptions += p.Preemptions
	r.SilentConnections += p.SilentConnections
	r.Hedges += p.Hedges
	r.RefillDelays = append(r.RefillDelays, p.RefillDelays...)
	r.OutageLoadFactor = max(r.OutageLoadFactor, p.OutageLoadFactor)
	r.RecoveryTime = max(r.RecoveryTime, p.RecoveryTime)
	r.ServersLost = max(r.ServersLost, p.ServersLost)
	r.QuarantinedKeys = append(r.QuarantinedKeys, p.QuarantinedKeys...)
	r.JobsAtRisk += p.JobsAtRisk
}

// Check compares one outcome with its target.
type Check struct {
	// Name is the name of the outcome, such as p99-first.
	Name     string
	Measured float64
	Bound    float64
	// OK reports whether the target is met.
	OK bool
}

// String returns the measured value and the bound.
func (c Check) String() string {
	verdict := "holds"
	if !c.OK {
		verdict = "does not hold"
	}
	return fmt.Sprintf("%s %.4f, bound %.4f, %s", c.Name, c.Measured, c.Bound, verdict)
}

// CheckTargets compares the result of a replay with batch work with the targets of the
// trace. base is the result of the replay without batch work.
func CheckTargets(targets trace.Targets, base, result *Result) []Check {
	atMost := func(name string, v, bound float64) Check { return Check{name, v, bound, v <= bound} }
	out := []Check{
		atMost("p99-first", p99Ratio(result.FirstTokenLatencies, base.FirstTokenLatencies), targets.MaxP99Ratio),
		atMost("p99-total", p99Ratio(result.TotalLatencies, base.TotalLatencies), targets.MaxP99Ratio),
		{"idle-filled", result.IdleFillRatio, targets.MinIdleFillRatio, result.IdleFillRatio >= targets.MinIdleFillRatio},
		atMost("waste", result.WasteRatio, targets.MaxWasteRatio),
		atMost("refill-p99-seconds", Quantile(result.RefillDelays, 0.99).Seconds(), targets.MaxRefillDelay.Seconds()),
		atMost("wrong-answers", float64(result.AnsweredTwice+result.NonIdempotentReruns+result.Unanswered), 0),
	}
	if targets.MaxOutageLoadFactor > 0 {
		out = append(out, atMost("outage-load", result.OutageLoadFactor, targets.MaxOutageLoadFactor),
			atMost("recovery-seconds", result.RecoveryTime.Seconds(), targets.MaxRecoveryTime.Seconds()))
	}
	harmless := 0
	for _, f := range result.QuarantinedKeys {
		if f != trace.CrashingKey {
			harmless++
		}
	}
	out = append(out, atMost("harmless-quarantined", float64(harmless), 0))
	if targets.MaxServersLost > 0 {
		out = append(out, atMost("servers-lost", float64(result.ServersLost), float64(targets.MaxServersLost)))
	}
	return out
}

// p99Ratio returns the p99 of a as a multiple of that of b.
func p99Ratio(a, b []time.Duration) float64 {
	return float64(Quantile(a, 0.99)) / float64(max(1, Quantile(b, 0.99)))
}
