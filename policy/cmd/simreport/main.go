// Command simreport replays the generated traces with all baselines and writes
// the tables and plots of docs/measurements/scheduling.md.
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
	Others int      `help:"Number of other trace seeds for the table of the spread." default:"2"`
	Traces string   `help:"Also write the traces as JSON lines into this directory." type:"path"`
}

// variant is one way to run a trace.
type variant struct {
	name   string
	mode   sim.Mode
	picker route.Picker
}

var variants = []variant{
	{"no batch", sim.NoBatch, route.PowerOfTwo},
	{"policy", sim.Policy, route.PowerOfTwo},
	{"batch without priority", sim.NoPriority, route.PowerOfTwo},
	{"static partition", sim.StaticPartition, route.PowerOfTwo},
	{"policy, random picker", sim.Policy, route.Random},
	{"policy, round-robin picker", sim.Policy, route.RoundRobin},
	{"policy, least-in-flight picker", sim.Policy, route.LeastInFlight},
}

// study is the results of one trace, in the order of variants.
type study struct {
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
	var studies []study
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
		s := study{trace: t}
		for _, v := range variants {
			begin := time.Now()
			s.results = append(s.results, sim.RunSeeds(t, v.mode, v.picker, sim.DefaultSeeds))
			fmt.Printf("%s, %s: %v\n", name, v.name, time.Since(begin).Round(time.Millisecond))
		}
		if err := plotLatencies(o.Out, s); err != nil {
			return err
		}
		studies = append(studies, s)
	}
	if err := plotTradeOff(o.Out, studies); err != nil {
		return err
	}
	others, err := replayOthers(o, names)
	if err != nil {
		return err
	}
	return writeReport(filepath.Join(o.Out, "scheduling.md"), o.Seed, studies, others)
}

// replayOthers replays the traces of the next seeds without batch and with the
// policy.
func replayOthers(o options, names []string) ([]study, error) {
	var out []study
	for _, name := range names {
		for i := range o.Others {
			t, err := trace.Generate(name, o.Seed+uint64(i)+1)
			if err != nil {
				return nil, err
			}
			s := study{trace: t}
			for _, v := range variants[:2] {
				s.results = append(s.results, sim.RunSeeds(t, v.mode, v.picker, sim.DefaultSeeds))
			}
			out = append(out, s)
		}
	}
	return out, nil
}

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
