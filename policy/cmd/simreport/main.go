// Command simreport simulates the generated traces with the policy and with the
// baselines, and writes docs/measurements/scheduling.md and its plots.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"github.com/jacinthnotch/jacinthnotch/policy/route"
	"github.com/jacinthnotch/jacinthnotch/policy/sim"
	"github.com/jacinthnotch/jacinthnotch/policy/trace"
)

type options struct {
	Out    string   `help:"Directory for scheduling.md and the plots." default:"docs/measurements"`
	Seed   uint64   `help:"Seed of the traces." default:"${seed}"`
	Trace  []string `help:"Names of the traces to replay; all by default."`
	Others int      `help:"Number of additional trace seeds to replay for the table of other seeds." default:"2"`
	Traces string   `help:"Directory to also write the traces to, in JSON Lines format." type:"path"`
}

// variant is a mode and a picker that a trace is replayed with.
type variant struct {
	name   string
	mode   sim.Mode
	picker route.Picker
}

// variants are the rows of the report. The first is the base of all ratios, and the
// targets apply to the second.
var variants = []variant{
	{"no batch", sim.NoBatch, route.PowerOfTwo},
	{"policy", sim.Policy, route.PowerOfTwo},
	{"batch without priority", sim.NoPriority, route.PowerOfTwo},
	{"static partition", sim.StaticPartition, route.PowerOfTwo},
	{"policy, random picker", sim.Policy, route.Random},
	{"policy, round-robin picker", sim.Policy, route.RoundRobin},
	{"policy, least-in-flight picker", sim.Policy, route.LeastInFlight},
}

// traceResults holds the results of one trace, in the order of variants.
type traceResults struct {
	trace   *trace.Trace
	results []*sim.Result
}

func main() {
	var o options
	ctx := kong.Parse(&o, kong.Name("simreport"),
		kong.Description("Replays traces in virtual time and writes the scheduling measurements."),
		kong.Vars{"seed": fmt.Sprint(trace.DefaultSeed)})
	ctx.FatalIfErrorf(run(o))
}

func run(o options) error {
	names := o.Trace
	if len(names) == 0 {
		names = trace.Names()
	}
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return err
	}
	var all []traceResults
	for _, name := range names {
		t, err := trace.Generate(name, o.Seed)
		if err != nil {
			return err
		}
		if o.Traces != "" {
			if err := writeTrace(o.Traces, t); err != nil {
				return err
			}
		}
		s := traceResults{trace: t}
		for _, v := range variants {
			begin := time.Now()
			s.results = append(s.results, sim.RunSeeds(t, v.mode, v.picker, sim.DefaultSeeds))
			fmt.Printf("%s, %s: %v\n", name, v.name, time.Since(begin).Round(time.Millisecond))
		}
		if err := plotLatencies(o.Out, s); err != nil {
			return err
		}
		all = append(all, s)
	}
	if err := plotTradeOff(o.Out, all); err != nil {
		return err
	}
	otherSeeds, err := runOtherSeeds(o, names)
	if err != nil {
		return err
	}
	return writeReport(filepath.Join(o.Out, "scheduling.md"), o.Seed, all, otherSeeds)
}

// runOtherSeeds replays the traces of the o.Others seeds that follow o.Seed, with
// the first two variants only: without batch work and with the policy.
func runOtherSeeds(o options, names []string) ([]traceResults, error) {
	var out []traceResults
	for _, name := range names {
		for i := range o.Others {
			t, err := trace.Generate(name, o.Seed+uint64(i)+1)
			if err != nil {
				return nil, err
			}
			s := traceResults{trace: t}
			for _, v := range variants[:2] {
				s.results = append(s.results, sim.RunSeeds(t, v.mode, v.picker, sim.DefaultSeeds))
			}
			out = append(out, s)
		}
	}
	return out, nil
}

// writeTrace writes the trace to a file in dir that is named for the trace.
func writeTrace(dir string, t *trace.Trace) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, t.Name+".jsonl"))
	if err != nil {
		return err
	}
	if err := t.Write(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
