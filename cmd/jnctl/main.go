// Command jnctl is the command line for operators and callers of jacinthnotch.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

const description = `Operates jacinthnotch and submits jobs to it.

Examples:
  jnctl config show
  jnctl config edit letters.toml --note "more headroom"
  jnctl job submit items.jsonl --window 24h
  jnctl audit --since 1h --follow
  jnctl explain 8d8a77aae6103dd3 front-1.log front-2.log

Exit codes: 0 success, 1 failure, 2 usage, 3 refused, 4 not found, 5 unavailable,
6 unknown outcome. Each command's --address names the listener that it uses: the
callers' listener for job and replay, the operators' listener for all others.`

type cli struct {
	Output string `help:"Output format: table or json." enum:"table,json" default:"table" short:"o"`

	Config     configCmd     `cmd:"" help:"Show and change the configuration."`
	Job        jobCmd        `cmd:"" help:"Submit, watch and cancel batch jobs."`
	Audit      auditCmd      `cmd:"" help:"Show the audit trail."`
	Servers    serversCmd    `cmd:"" help:"Show the backend servers as one instance sees them."`
	Members    membersCmd    `cmd:"" help:"Show the instances as one instance sees them."`
	Quarantine quarantineCmd `cmd:"" help:"List and release quarantined requests, which crashed servers."`
	Replay     replayCmd     `cmd:"" help:"Send the online requests of a trace to a fleet and show the latencies."`
	Explain    explainCmd    `cmd:"" help:"Show what the logs of instances say about a request, an item or a job."`
	Standin    standinCmd    `cmd:"" help:"Run a stand-in for a part of the platform or for a backend server."`
}

// env holds the context, the streams and the output format that commands use.
type env struct {
	ctx    context.Context
	in     io.Reader
	out    io.Writer
	err    io.Writer
	asJSON bool
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := execute(&env{ctx: ctx, in: os.Stdin, out: os.Stdout, err: os.Stderr}, os.Args[1:])
	stop()
	os.Exit(code)
}

// execute parses and runs a command line and returns the exit code.
func execute(e *env, args []string) int {
	var c cli
	code := -1
	parser, err := kong.New(&c, kong.Name("jnctl"), kong.Description(description), kong.Writers(e.out, e.err),
		kong.Exit(func(n int) { code = n }), kong.Bind(e), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		fmt.Fprintln(e.err, "jnctl:", err)
		return exitUsage
	}
	ctx, err := parser.Parse(args)
	if code >= 0 {
		return code // help was printed
	}
	if err != nil {
		fmt.Fprintf(e.err, "jnctl: %v\nSee: jnctl --help\n", err)
		return exitUsage
	}
	e.asJSON = c.Output == "json"
	if err = ctx.Run(); err == nil {
		return 0
	}
	var f *failure
	if !errors.As(err, &f) {
		f = &failure{code: exitFailure, message: err.Error()}
	}
	fmt.Fprintln(e.err, "jnctl:", f.message)
	if f.hint != "" {
		fmt.Fprintln(e.err, "  "+f.hint)
	}
	return f.code
}
