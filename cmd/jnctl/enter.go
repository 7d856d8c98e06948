package main

import (
	"fmt"

	nodeclient "github.com/jacinthnotch/jacinthnotch/node/client"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// listFlags are the flags of commands that add an entry to a stand-in for the platform's
// list.
type listFlags struct {
	List       string `help:"IP address and port of the stand-in for the list." required:"" placeholder:"ADDRESS"`
	ID         string `help:"Identifier of the entry." required:""`
	DataCentre string `help:"Data centre." default:"dc-1"`
	Leaving    bool   `help:"Mark the entry as leaving."`
}

func (f *listFlags) directory() *nodeclient.Directory {
	return nodeclient.NewDirectory(f.List, nodeclient.Options{})
}

func (f *listFlags) report(e *env, err error) error {
	if err != nil {
		return &failure{code: exitUnavailable, message: fmt.Sprintf("adding the entry to the list at %s failed: %v", f.List, err),
			hint: "Check that --list is the address of a running: jnctl standin list"}
	}
	_, err = fmt.Fprintf(e.out, "entered %s\n", f.ID)
	return err
}

type enterInstanceCmd struct {
	listFlags
	PeerAddress string `help:"Peer listener of the instance." required:"" placeholder:"ADDRESS"`
	Weight      int    `help:"Capacity of the instance in percent of a standard one." default:"100"`
}

// Run adds the instance to the list.
func (c *enterInstanceCmd) Run(e *env) error {
	return c.report(e, c.directory().Register(e.ctx, port.InstanceEntry{ID: c.ID, PeerAddress: c.PeerAddress,
		DataCentre: c.DataCentre, Leaving: c.Leaving, Weight: c.Weight}))
}

type enterServerCmd struct {
	listFlags
	Service string `help:"Configured service that the server belongs to." required:""`
	Address string `help:"IP address and port of the server." required:"" placeholder:"ADDRESS"`
}

// Run adds the server to the list.
func (c *enterServerCmd) Run(e *env) error {
	return c.report(e, c.directory().RegisterServer(e.ctx, port.ServerEntry{ID: c.ID, Service: c.Service, Address: c.Address,
		DataCentre: c.DataCentre, Leaving: c.Leaving}))
}
