// Command jacinthnotchd runs one instance of jacinthnotch, or a whole development
// fleet in one process.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/member"
	"github.com/jacinthnotch/jacinthnotch/node/development"
	"github.com/jacinthnotch/jacinthnotch/node/instance"
	"github.com/jacinthnotch/jacinthnotch/node/settings"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
	// exitDrainCutShort reports a drain that a second signal or drain_limit cut short.
	exitDrainCutShort = 3
)

const (
	devReadyTimeout = 30 * time.Second
	// devMinLiveTime replaces the default of 5 s for which an instance has to be live
	// before partitions are assigned to it.
	devMinLiveTime = 300 * time.Millisecond
)

type cli struct {
	Verbosity int      `help:"Log verbosity; 0 logs state changes only." short:"v" default:"0"`
	Run       runCmd   `cmd:"" help:"Run one instance until SIGTERM, which drains it; a second SIGTERM stops it at once."`
	Check     checkCmd `cmd:"" help:"Check a settings file and print every problem with its line."`
	Serve     serveCmd `cmd:"" help:"Run one instance on the users' platform until SIGTERM, which drains it."`
	Dev       devCmd   `cmd:"" help:"Run a whole fleet with stand-ins for the platform and the servers in this process."`
}

func main() { os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr)) }

// execute parses and runs a command line and returns the exit code.
func execute(args []string, stdout, stderr io.Writer) int {
	var c cli
	code := -1
	parser, err := kong.New(&c, kong.Name("jacinthnotchd"),
		kong.Description("One instance of jacinthnotch.\n\nExample: jacinthnotchd dev --listen 127.0.0.1:8080\n\n"+
			"Exit codes: 0 done or drained, 1 failure, 2 usage or settings, 3 drain cut short."),
		kong.Writers(stdout, stderr), kong.Exit(func(n int) { code = n }), kong.BindTo(stdout, (*io.Writer)(nil)))
	if err != nil {
		fmt.Fprintln(stderr, "jacinthnotchd:", err)
		return exitUsage
	}
	ctx, err := parser.Parse(args)
	if code >= 0 {
		return code // help was printed
	}
	if err != nil {
		fmt.Fprintf(stderr, "jacinthnotchd: %v\nSee: jacinthnotchd --help\n", err)
		return exitUsage
	}
	setUpLog(stderr, c.Verbosity)
	defer klog.Flush()
	return exitCode(ctx.Run(), stderr)
}

func setUpLog(w io.Writer, verbosity int) {
	var flags flag.FlagSet
	klog.InitFlags(&flags)
	_ = flags.Set("logtostderr", "false")
	_ = flags.Set("alsologtostderr", "false")
	_ = flags.Set("v", strconv.Itoa(verbosity))
	klog.SetOutput(w)
}

func exitCode(err error, stderr io.Writer) int {
	var settingsErr *settings.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &settingsErr):
		for _, p := range settingsErr.Problems {
			fmt.Fprintln(stderr, p)
		}
		return exitUsage
	case errors.Is(err, os.ErrNotExist):
		fmt.Fprintln(stderr, "jacinthnotchd:", err)
		return exitUsage
	case errors.Is(err, instance.ErrKilled), errors.Is(err, instance.ErrDrainLimit):
		fmt.Fprintln(stderr, "jacinthnotchd:", err)
		return exitDrainCutShort
	}
	fmt.Fprintln(stderr, "jacinthnotchd:", err)
	return exitFailure
}

type checkCmd struct {
	Settings string `help:"Settings file." required:"" placeholder:"FILE"`
}

// Run validates the settings file.
func (c *checkCmd) Run(out io.Writer) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: valid settings of instance %s in %s\n", c.Settings, s.Instance, s.DataCentre)
	return err
}

type runCmd struct {
	Settings string `help:"Settings file." required:"" placeholder:"FILE"`
}

// Run serves until the instance is drained or stopped.
func (c *runCmd) Run(out io.Writer) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	i, err := instance.New(instance.Options{Settings: s})
	if err != nil {
		return err
	}
	printAddresses(out, s.Instance, i)
	done := make(chan error, 1)
	go func() { done <- i.Run() }()
	return handleSignals(done, signals, i.Drain, i.Kill)
}

// handleSignals drains on the first signal and kills on each later one. It returns the
// result that the instance sends on done.
func handleSignals(done <-chan error, signals <-chan os.Signal, drain, kill func()) error {
	for draining := false; ; {
		select {
		case err := <-done:
			return err
		case <-signals:
			if draining {
				kill()
			} else {
				drain()
			}
			draining = true
		}
	}
}

func printAddresses(out io.Writer, name string, i *instance.Instance) {
	fmt.Fprintf(out, "%s callers  %s\n%s operator %s\n%s peer     %s\n", name, i.CallersAddress(), name, i.OperatorAddress(), name, i.PeerAddress())
}

type devCmd struct {
	Listen    string `help:"Callers' address of the first instance. The operators' listener uses the next port and the other instances the ports after that; port 0 picks free ports for all of them." default:"127.0.0.1:8080"`
	Instances int    `help:"Number of instances." default:"3"`
	Servers   int    `help:"Number of model servers, divided among the models of the sample configuration." default:"4"`
}

// Run serves until SIGTERM or SIGINT.
func (c *devCmd) Run(out io.Writer) error {
	if c.Instances < 1 || c.Servers < 1 {
		return errors.New("--instances and --servers must be at least 1")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	began := time.Now()
	// All instances start together, so a short minimum live time is enough.
	membership := member.DefaultConfig()
	membership.MinLiveTime = devMinLiveTime
	f, err := development.Start(development.Options{Listen: c.Listen, Instances: c.Instances, Servers: c.Servers, Membership: &membership})
	if err != nil {
		return err
	}
	defer f.Close()
	readyCtx, cancel := context.WithTimeout(ctx, devReadyTimeout)
	defer cancel()
	if err := errors.Join(f.WaitReady(readyCtx), f.WaitPartitionsOwned(readyCtx)); err != nil {
		return err
	}
	for _, name := range f.StandinNames() {
		fmt.Fprintf(out, "%s %s\n", name, f.StandinAddress(name))
	}
	for _, m := range f.Members() {
		printAddresses(out, m.Name, m.Instance)
	}
	fmt.Fprintf(out, "ready after %d ms\n", time.Since(began).Milliseconds())
	select {
	case <-ctx.Done():
		return nil
	case err := <-f.Failed():
		return err
	}
}
