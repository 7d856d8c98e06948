package main

import (
	"fmt"

	platform "github.com/jacinthnotch/jacinthnotch/node/client"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// listFlags name a stand-in for the list.
type listFlags struct {
	List       string `help:"IP address and port of the stand-in for the list." required:"" placeholder:"ADDRESS"`
	ID         string `help:"Identifier." required:""`
	DataCentre string `help:"Data centre." default:"dc-1"`
	Leaving    bool   `help:"Set the leaving mark."`
}

func (f *listFlags) directory() *platform.Directory {
	return platform.NewDirectory(f.List, platform.Options{})
}

func (f *listFlags) done(e *env, err error) error {
	if err != nil {
		return &failure{code: exitUnavailable, message: fmt.Sprintf("the list at %s does not take the entry: %v", f.List, err),
			remedy: "Check that --list names a running: jnctl standin list"}
	}
	_, err = fmt.Fprintf(e.out, "entered %s\n", f.ID)
	return err
}

type enterInstanceCmd struct {
	listFlags
	PeerAddress string `help:"Peer listener of the instance." required:"" placeholder:"ADDRESS"`
	Weight      int    `help:"Size of the instance relative to the usual one, in percent." default:"100"`
}

// Run enters the instance.
func (c *enterInstanceCmd) Run(e *env) error {
	return c.done(e, c.directory().Register(e.ctx, port.InstanceEntry{ID: c.ID, PeerAddress: c.PeerAddress,
		DataCentre: c.DataCentre, Leaving: c.Leaving, Weight: c.Weight}))
}

type enterServerCmd struct {
	listFlags
	Service string `help:"Service of the configuration that the server belongs to." required:""`
	Address string `help:"IP address and port of the server." required:"" placeholder:"ADDRESS"`
}

// Run enters the server.
func (c *enterServerCmd) Run(e *env) error {
	return c.done(e, c.directory().RegisterServer(e.ctx, port.ServerEntry{ID: c.ID, Service: c.Service, Address: c.Address,
		DataCentre: c.DataCentre, Leaving: c.Leaving}))
}
