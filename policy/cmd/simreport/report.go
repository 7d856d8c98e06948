package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/sim"
)

// intro is a format string for the trace seed and the replay seeds.
const intro = `# Scheduling measurements

Written by ` + "`go run ./policy/cmd/simreport --seed %d`" + `; do not edit. Replay seeds %v.

The figures are of the engine model in virtual time (policy/sim), not of real engines. The model decodes one token of each
running stream in a step of 25 ms plus 0.1 ms for each stream at speed 1, and processes prompts in chunks of 512 tokens at
0.1 ms a token within the steps. The decisions are the packages that the instances use; each instance sees its own
requests, load reports 100 to 200 ms old and cache events 100 to 600 ms old. Each trace is ten minutes of a scaled day.

- p99 ratio: the online p99 beside batch as a multiple of that of the run without batch. Requests that arrive from 5 s
  before a total outage to 5 s after it are left out of both.
- Idle filled: the cost of the finished batch tokens as a share of the engine time that online tokens and faults leave. A
  token costs what it takes on an engine with all slots in use, so that 100%% needs full slots at every step.
- Waste: batch tokens that were processed again, as a share of all processed batch tokens.
- Steering (route.Steer) works only while batch runs: online requests then go to fewer and faster servers than without
  batch. The p99 ratios contain this effect.
`

func writeReport(path string, seed uint64, all, otherSeeds []traceResults) error {
	var b strings.Builder
	fmt.Fprintf(&b, intro, seed, sim.DefaultSeeds)
	for _, s := range all {
		writeTraceSection(&b, s)
	}
	writeOtherSeeds(&b, otherSeeds)
	b.WriteString("\n## Latency against filled capacity\n\n![p99 ratio and idle filled](tradeoff.svg)\n")
	return os.WriteFile(path, []byte(b.String()), 0o644)
}

// writeTraceSection writes the table of all variants and the table of the targets.
func writeTraceSection(b *strings.Builder, s traceResults) {
	base := s.results[0]
	fmt.Fprintf(b, "\n## %s\n\n%d servers, %d instances, %d online answers of the model service in each variant.\n\n", s.trace.Name,
		len(s.trace.Servers), s.trace.Instances, len(base.FirstTokenLatencies))
	b.WriteString("| variant | first p50 | first p99 | ratio | total p50 | total p99 | ratio | idle filled | waste | batch tokens | failed |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|\n")
	for i, r := range s.results {
		fmt.Fprintf(b, "| %s | %s | %s | %.3f | %s | %s | %.3f | %.1f%% | %.1f%% | %d | %d |\n", variants[i].name,
			quantileText(r.FirstTokenLatencies, 0.5), quantileText(r.FirstTokenLatencies, 0.99),
			p99Ratio(r.FirstTokenLatencies, base.FirstTokenLatencies),
			quantileText(r.TotalLatencies, 0.5), quantileText(r.TotalLatencies, 0.99),
			p99Ratio(r.TotalLatencies, base.TotalLatencies), 100*r.IdleFillRatio, 100*r.WasteRatio, r.BatchTokens, r.Failed)
	}
	b.WriteString("\n| expected outcome of the policy | measured | bound | holds |\n|---|---|---|---|\n")
	for _, c := range sim.CheckTargets(s.trace.Targets, base, s.results[1]) {
		verdict := "yes"
		if !c.OK {
			verdict = "**no**"
		}
		fmt.Fprintf(b, "| %s | %.4f | %.4f | %s |\n", c.Name, c.Measured, c.Bound, verdict)
	}
	fmt.Fprintf(b, "\n![first token, %s](%s)\n", s.trace.Name, latencyPlotName(s))
}

// writeOtherSeeds writes the outcomes for trace seeds that the tests do not use.
func writeOtherSeeds(b *strings.Builder, otherSeeds []traceResults) {
	b.WriteString("\n## Other trace seeds\n\nThe same outcomes for traces of other seeds, which the test run does not check.\n\n")
	b.WriteString("| trace | seed | p99 first | p99 total | idle filled | waste |\n|---|---|---|---|---|---|\n")
	for _, s := range otherSeeds {
		base, got := s.results[0], s.results[1]
		fmt.Fprintf(b, "| %s | %d | %.3f | %.3f | %.3f | %.3f |\n", s.trace.Name, s.trace.Seed,
			p99Ratio(got.FirstTokenLatencies, base.FirstTokenLatencies), p99Ratio(got.TotalLatencies, base.TotalLatencies), got.IdleFillRatio, got.WasteRatio)
	}
}

func quantileText(sorted []time.Duration, q float64) string {
	return fmt.Sprintf("%d ms", sim.Quantile(sorted, q).Milliseconds())
}

// p99Ratio returns the p99 of a as a multiple of that of b.
func p99Ratio(a, b []time.Duration) float64 {
	return float64(sim.Quantile(a, 0.99)) / float64(max(1, sim.Quantile(b, 0.99)))
}
