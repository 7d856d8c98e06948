package sim

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/route"
	"github.com/jacinthnotch/jacinthnotch/policy/trace"
)

// DefaultSeeds are the seeds with which each trace is replayed. The slowest hundredth
// of one replay of a quiet trace is some twenty requests, too few to compare;
// the latencies of the replays are put together.
var DefaultSeeds = []uint64{1, 2, 3, 4}

// RunSeeds replays a trace with each seed and puts the results together:
// latencies are pooled, counts added, shares averaged, and for outcomes of
// faults the worst replay counts. The replays run at the same time.
func RunSeeds(t *trace.Trace, mode Mode, picker route.Picker, seeds []uint64) *Result {
	parts := make([]*Result, len(seeds))
	var wg sync.WaitGroup
	for i, seed := range seeds {
		wg.Go(func() { parts[i] = Run(Config{Trace: t, Mode: mode, Picker: picker, Seed: seed}) })
	}
	wg.Wait()
	sum := &Result{Mode: mode}
	for _, p := range parts {
		sum.add(p, float64(len(parts)))
	}
	slices.Sort(sum.FirstTokenLatencies)
	slices.Sort(sum.TotalLatencies)
	slices.Sort(sum.RefillDelays)
	slices.Sort(sum.QuarantinedKeys)
	sum.QuarantinedKeys = slices.Compact(sum.QuarantinedKeys)
	return sum
}

func (r *Result) add(p *Result, n float64) {
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

// Check is one expected outcome and what was measured.
type Check struct {
	// Name is of the form p99-first.
	Name     string
	Measured float64
	Bound    float64
	// OK tells whether the outcome holds.
	OK bool
}

// String gives the measured and the expected value.
func (c Check) String() string {
	verdict := "holds"
	if !c.OK {
		verdict = "does not hold"
	}
	return fmt.Sprintf("%s %.4f, bound %.4f, %s", c.Name, c.Measured, c.Bound, verdict)
}

// CheckTargets compares a replay with batch with the trace's expected outcomes. base
// is the replay without batch.
func CheckTargets(e trace.Targets, base, got *Result) []Check {
	most := func(name string, v, bound float64) Check { return Check{name, v, bound, v <= bound} }
	out := []Check{
		most("p99-first", ratio(got.FirstTokenLatencies, base.FirstTokenLatencies), e.MaxP99Ratio),
		most("p99-total", ratio(got.TotalLatencies, base.TotalLatencies), e.MaxP99Ratio),
		{"idle-filled", got.IdleFillRatio, e.MinIdleFillRatio, got.IdleFillRatio >= e.MinIdleFillRatio},
		most("waste", got.WasteRatio, e.MaxWasteRatio),
		most("refill-p99-seconds", Quantile(got.RefillDelays, 0.99).Seconds(), e.MaxRefillDelay.Seconds()),
		most("wrong-answers", float64(got.AnsweredTwice+got.NonIdempotentReruns+got.Unanswered), 0),
	}
	if e.MaxOutageLoadFactor > 0 {
		out = append(out, most("outage-load", got.OutageLoadFactor, e.MaxOutageLoadFactor),
			most("recovery-seconds", got.RecoveryTime.Seconds(), e.MaxRecoveryTime.Seconds()))
	}
	harmless := 0
	for _, f := range got.QuarantinedKeys {
		if f != trace.CrashingKey {
			harmless++
		}
	}
	out = append(out, most("harmless-quarantined", float64(harmless), 0))
	if e.MaxServersLost > 0 {
		out = append(out, most("servers-lost", float64(got.ServersLost), float64(e.MaxServersLost)))
	}
	return out
}

func ratio(a, b []time.Duration) float64 {
	return float64(Quantile(a, 0.99)) / float64(max(1, Quantile(b, 0.99)))
}
