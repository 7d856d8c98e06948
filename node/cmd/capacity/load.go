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
	// subsetPerServer and subsetMinServers have the values of the constants perServer and
	// minServers of node/instance, which determine the subset of servers that an instance
	// uses.
	subsetPerServer  = 24
	subsetMinServers = 16
	// exchangeHeaderBytes is the size of the TCP and IPv4 headers of a short request, its
	// response and the acknowledgements.
	exchangeHeaderBytes = 156
)

// waitUntil polls a condition until it is true, and returns an error after limit.
func waitUntil(limit time.Duration, cond func() bool) error {
	for end := time.Now().Add(limit); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("timed out waiting for a condition")
		}
	}
	return nil
}

// measureLoads measures how one instance's server pool polls stand-in engines.
func measureLoads(f *Figures, quick bool) error {
	wait := 3 * time.Second
	if quick {
		wait = 700 * time.Millisecond
	}
	var members []route.Member
	for i := range targetSize.Instances {
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
		o := servers.Options{BatchAssignment: assignmentFunc(func(id string) bool { return id < serverID(c.directed) })}
		if c.subset {
			o.Members, o.InstancesPerServer, o.MinServers = func() []route.Member { return members }, subsetPerServer, subsetMinServers
		}
		before := liveBytes()
		p, conns := e.newPool(c.servers, o)
		ctx, cancel := context.WithCancel(context.Background())
		var wg conc.WaitGroup
		wg.Go(func() { p.Run(ctx) })
		err = waitUntil(5*time.Second, func() bool { return e.polls.Load() > int64(3*len(p.Engines())) && len(p.Engines()) > 0 })
		row := LoadRow{Servers: c.servers, Used: len(p.Engines()), Directed: c.directed}
		reads, bytes := e.polls.Load(), e.traffic.bytes.Load()
		row.CPU = cpuSeconds(func() { time.Sleep(wait) }) / wait.Seconds()
		n := float64(e.polls.Load()-reads) / wait.Seconds()
		row.Reads, row.Bytes = n, float64(e.traffic.bytes.Load()-bytes)/wait.Seconds()+n*exchangeHeaderBytes
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

// measureListing measures reads of the platform's list over HTTP.
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
		row.CPU = cpuSeconds(func() {
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
