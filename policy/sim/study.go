package sim

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/route"
	"github.com/jacinthnotch/jacinthnotch/policy/trace"
)

// Seeds are the seeds with which each trace is replayed. The slowest hundredth
// of one replay of a quiet trace is some twenty requests, too few to compare;
// the latencies of the replays are put together.
var Seeds = []uint64{1, 2, 3, 4}

// Replay replays a trace with each seed and puts the results together:
// latencies are pooled, counts added, shares averaged, and for outcomes of
// faults the worst replay counts. The replays run at the same time.
func Replay(t *trace.Trace, mode Mode, picker route.Picker, seeds []uint64) *Result {
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
	slices.Sort(sum.First)
	slices.Sort(sum.Total)
	slices.Sort(sum.Refills)
	slices.Sort(sum.Quarantined)
	sum.Quarantined = slices.Compact(sum.Quarantined)
	return sum
}

func (r *Result) add(p *Result, n float64) {
	r.First = append(r.First, p.First...)
	r.Total = append(r.Total, p.Total...)
	r.Done += p.Done
	r.Failed += p.Failed
	r.Refused += p.Refused
	r.Doubled += p.Doubled
	r.Repeated += p.Repeated
	r.Open += p.Open
	r.IdleFilled += p.IdleFilled / n
	r.Waste += p.Waste / n
	r.BatchTokens += p.BatchTokens
	r.BatchItems += p.BatchItems
	r.Preempted += p.Preempted
	r.Silences += p.Silences
	r.Hedges += p.Hedges
	r.Refills = append(r.Refills, p.Refills...)
	r.OutageLoad = max(r.OutageLoad, p.OutageLoad)
	r.Recovery = max(r.Recovery, p.Recovery)
	r.ServersLost = max(r.ServersLost, p.ServersLost)
	r.Quarantined = append(r.Quarantined, p.Quarantined...)
	r.AtRisk += p.AtRisk
}

// Check is one expected outcome and what was measured.
type Check struct {
	// Name is of the form p99-first.
	Name  string
	Got   float64
	Bound float64
	// OK tells whether the outcome holds.
	OK bool
}

// String gives the measured and the expected value.
func (c Check) String() string {
	verdict := "holds"
	if !c.OK {
		verdict = "does not hold"
	}
	return fmt.Sprintf("%s %.4f, bound %.4f, %s", c.Name, c.Got, c.Bound, verdict)
}

// Checks compares a replay with batch with the trace's expected outcomes. base
// is the replay without batch.
func Checks(e trace.Targets, base, got *Result) []Check {
	most := func(name string, v, bound float64) Check { return Check{name, v, bound, v <= bound} }
	out := []Check{
		most("p99-first", ratio(got.First, base.First), e.MaxP99Ratio),
		most("p99-total", ratio(got.Total, base.Total), e.MaxP99Ratio),
		{"idle-filled", got.IdleFilled, e.MinIdleFillRatio, got.IdleFilled >= e.MinIdleFillRatio},
		most("waste", got.Waste, e.MaxWasteRatio),
		most("refill-p99-seconds", Quantile(got.Refills, 0.99).Seconds(), e.MaxRefillDelay.Seconds()),
		most("wrong-answers", float64(got.Doubled+got.Repeated+got.Open), 0),
	}
	if e.MaxOutageLoadFactor > 0 {
		out = append(out, most("outage-load", got.OutageLoad, e.MaxOutageLoadFactor),
			most("recovery-seconds", got.Recovery.Seconds(), e.MaxRecoveryTime.Seconds()))
	}
	harmless := 0
	for _, f := range got.Quarantined {
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
