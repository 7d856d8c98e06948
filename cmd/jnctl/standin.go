package main

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/jacinthnotch/jacinthnotch/standin/engine"
	"github.com/jacinthnotch/jacinthnotch/standin/faulty"
	"github.com/jacinthnotch/jacinthnotch/standin/list"
	"github.com/jacinthnotch/jacinthnotch/standin/log"
	"github.com/jacinthnotch/jacinthnotch/standin/plain"
	"github.com/jacinthnotch/jacinthnotch/standin/weights"
)

// standinCmd holds the commands that run a stand-in for a part of the platform or for a backend
// server, and those that add an entry to a stand-in for the list.
type standinCmd struct {
	Log     logStandinCmd     `cmd:"" help:"Stand-in for the platform's append-only log."`
	List    listStandinCmd    `cmd:"" help:"Stand-in for the platform's list of instances and servers."`
	Engine  engineStandinCmd  `cmd:"" help:"Stand-in for a model engine."`
	Weights weightsStandinCmd `cmd:"" help:"Stand-in for the weight store."`
	Plain   plainStandinCmd   `cmd:"" help:"Stand-in for a server of a plain HTTP service."`
	Faulty  faultyStandinCmd  `cmd:"" help:"Stand-in for a backend server whose answers break the rules of HTTP."`

	EnterInstance enterInstanceCmd `cmd:"" help:"Add an instance to a stand-in for the list, as the platform does in a deployment."`
	EnterServer   enterServerCmd   `cmd:"" help:"Add a backend server to a stand-in for the list."`
}

// standinFlags holds the flag that all stand-ins share.
type standinFlags struct {
	Listen string `help:"IP address and port to listen on; port 0 picks a free one." default:"127.0.0.1:0"`
}

// standin is a stand-in that can be started and stopped.
type standin interface {
	Start(addr string) error
	Addr() string
	Kill()
}

// run starts a stand-in, prints its address and serves until SIGTERM or SIGINT.
func (f standinFlags) run(name string, s standin) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := s.Start(f.Listen); err != nil {
		return err
	}
	fmt.Printf("%s listening on %s\n", name, s.Addr())
	<-ctx.Done()
	s.Kill()
	return nil
}

type logStandinCmd struct {
	standinFlags
	log.Options
	Faults log.Faults `embed:"" prefix:"fault-"`
}

// Run serves the log.
func (c *logStandinCmd) Run() error { return c.run("log", log.New(c.Options, c.Faults)) }

type listStandinCmd struct {
	standinFlags
	list.Options
	Faults list.Faults `embed:"" prefix:"fault-"`
}

// Run serves the list.
func (c *listStandinCmd) Run() error { return c.run("list", list.New(c.Options, c.Faults)) }

type engineStandinCmd struct {
	standinFlags
	engine.Options
	Faults engine.Faults `embed:"" prefix:"fault-"`
}

// Run serves the engine.
func (c *engineStandinCmd) Run() error {
	e := engine.New(c.Options, c.Faults)
	defer e.Close()
	return c.run("engine", e)
}

type weightsStandinCmd struct {
	standinFlags
	weights.Options
	Faults weights.Faults `embed:"" prefix:"fault-"`
}

// Run serves the weight store.
func (c *weightsStandinCmd) Run() error { return c.run("weights", weights.New(c.Options, c.Faults)) }

type plainStandinCmd struct {
	standinFlags
	plain.Options
	Faults plain.Faults `embed:"" prefix:"fault-"`
}

// Run serves the plain service.
func (c *plainStandinCmd) Run() error { return c.run("plain", plain.New(c.Options, c.Faults)) }

type faultyStandinCmd struct {
	standinFlags
	faulty.Options
}

// Run serves the faulty answers.
func (c *faultyStandinCmd) Run() error { return c.run("faulty", faulty.New(c.Options)) }
