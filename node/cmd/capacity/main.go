// Command capacity measures the cost of each role of an instance at several sizes and
// generates docs/measurements/run-mechanisms.md, which extrapolates the costs to the planned size.
//
// Everything runs in one process with small stand-ins. Processor time is that of the
// process (getrusage), including the stand-ins unless the page says otherwise. Bytes are
// counted on the connections. The text of the page is in page.md.tmpl; the figures are
// measured or, with --from, read from the file of an earlier run.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"k8s.io/klog/v2"
)

type cli struct {
	Quick   bool   `help:"Measure only a few small sizes; the page is marked as a trial."`
	Output  string `help:"File to write the page to; standard output by default." type:"path"`
	Figures string `help:"File to write the measured figures to, as JSON." type:"path"`
	From    string `help:"Generate the page from the figures file of an earlier run, without measuring." type:"existingfile"`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("capacity"), kong.Description("Measures the cost of each role of an instance and generates docs/CAPACITY.md."))
	klog.LogToStderr(false)
	klog.SetOutput(discard{})
	k.FatalIfErrorf(c.run())
}

// discard drops the log output of the instances in this process.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

func (c *cli) run() error {
	f := &Figures{}
	if c.From != "" {
		data, err := os.ReadFile(c.From)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(data, f); err != nil {
			return fmt.Errorf("capacity: %s: %w", c.From, err)
		}
	} else {
		f = measure(c.Quick)
	}
	if c.Figures != "" {
		data, err := json.MarshalIndent(f, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.Figures, append(data, '\n'), 0o644); err != nil {
			return err
		}
	}
	page, err := render(f)
	if err != nil {
		return err
	}
	if c.Output == "" {
		_, err = os.Stdout.Write(page)
	} else {
		err = os.WriteFile(c.Output, page, 0o644)
	}
	if err == nil && len(f.Failed) > 0 {
		err = fmt.Errorf("capacity: parts failed: %v", f.Failed)
	}
	return err
}
