package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthnotch/jacinthnotch/node/client"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/servers"
	"github.com/jacinthnotch/jacinthnotch/policy/route"
	"github.com/jacinthnotch/jacinthnotch/standin/list"
)

const (
	// perServer and minServers are the constants of node/instance for the subset.
	perServer  = 24
	minServers = 16
	// exchangeHeaders are the TCP and IPv4 headers of a short request, its answer
	// and the acknowledgements, in bytes.
	exchangeHeaders = 156
)

// until waits for a condition.
func until(limit time.Duration, cond func() bool) error {
	for end := time.Now().Add(limit); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("a part did not get ready in time")
		}
	}
	return nil
}

// measureLoads runs one instance's pool against stand-in engines.
func measureLoads(f *Figures, quick bool) error {
	wait := 3 * time.Second
	if quick {
		wait = 700 * time.Millisecond
	}
	var members []route.Member
	for i := range size.Instances {
		members = append(members, route.Member{ID: fmt.Sprintf("instance-%03d", i), Weight: 100})
	}
	for _, c := range []struct {
		servers, directed int
		subset            bool
	}{{10, 0, false}, {100, 0, false}, {740, 0, false}, {740, 0, true}, {740, 2, true}} {
		e, err := startEngines()
		if err != nil {
			return err
		}
		o := servers.Options{BatchAssignment: directs(func(id string) bool { return id < serverID(c.directed) })}
		if c.subset {
			o.Members, o.InstancesPerServer, o.MinServers = func() []route.Member { return members }, perServer, minServers
		}
		before := liveBytes()
		p, conns := e.newPool(c.servers, o)
		ctx, cancel := context.WithCancel(context.Background())
		var wg conc.WaitGroup
		wg.Go(func() { p.Run(ctx) })
		err = until(5*time.Second, func() bool { return e.reads.Load() > int64(3*len(p.Engines())) && len(p.Engines()) > 0 })
		row := LoadRow{Servers: c.servers, Used: len(p.Engines()), Directed: c.directed}
		reads, bytes := e.reads.Load(), e.c.bytes.Load()
		row.CPU = cpuOf(func() { time.Sleep(wait) }) / wait.Seconds()
		n := float64(e.reads.Load()-reads) / wait.Seconds()
		row.Reads, row.Bytes = n, float64(e.c.bytes.Load()-bytes)/wait.Seconds()+n*exchangeHeaders
		row.Memory = max(0, liveBytes()-before)
		cancel()
		wg.Wait()
		conns.Close()
		e.close()
		if err != nil {
			return err
		}
		f.Loads = append(f.Loads, row)
	}
	return nil
}

// measureListing reads the platform's list over HTTP.
func measureListing(f *Figures, quick bool) error {
	reads := 40
	if quick {
		reads = 5
	}
	for _, c := range []struct{ instances, servers int }{{12, 18}, {100, 190}, {390, 740}} {
		l := list.New(list.Options{}, list.Faults{})
		if err := l.Start("127.0.0.1:0"); err != nil {
			return err
		}
		for i := range c.instances {
			l.SetInstance(port.InstanceEntry{ID: fmt.Sprintf("instance-%03d", i), PeerAddress: "10.11.12.13:7403", DataCentre: "dc-1", Weight: 100}, 0)
		}
		for i := range c.servers {
			l.SetServer(port.ServerEntry{ID: serverID(i), Service: "letters", Address: "10.11.12.13:8000", DataCentre: "dc-1"}, 0)
		}
		d := client.NewDirectory(l.Addr(), client.Options{})
		row := ListingRow{Instances: c.instances, Servers: c.servers}
		var got port.Listing
		var err error
		row.CPU = cpuOf(func() {
			for range reads {
				if got, err = d.List(context.Background()); err != nil {
					return
				}
			}
		}) / float64(reads)
		if err == nil && len(got.Servers) != c.servers {
			err = fmt.Errorf("the list has %d servers", len(got.Servers))
		}
		if err == nil {
			row.Bytes, err = listingBytes(l.Addr())
		}
		l.Kill()
		if err != nil {
			return err
		}
		f.Listing = append(f.Listing, row)
	}
	return nil
}
