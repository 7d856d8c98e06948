package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcmux"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
	"github.com/jacinthnotch/jacinthnotch/domain/member"
	"github.com/jacinthnotch/jacinthnotch/domain/record"
	"github.com/jacinthnotch/jacinthnotch/node/client"
	"github.com/jacinthnotch/jacinthnotch/node/follower"
	"github.com/jacinthnotch/jacinthnotch/node/members"
	"github.com/jacinthnotch/jacinthnotch/node/peer"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/standin/log"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// controlInstance runs the membership and configuration components of one instance.
type controlInstance struct {
	members  *members.Members
	follower *follower.Follower
}

// controlFleet is a fleet of control instances with a stand-in log, on loopback.
type controlFleet struct {
	log       *log.Log
	list      *staticDirectory
	instances []*controlInstance
	peerBytes byteCounter
	revision  int64 // revision of the section that edit changes
	edits     int
	wg        conc.WaitGroup
	cancel    context.CancelFunc
	closers   []func()
}

func startControl(n int) (*controlFleet, error) {
	f := &controlFleet{log: log.New(log.Options{}, log.Faults{}), list: &staticDirectory{}}
	if err := f.log.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	entries, err := config.ImportEntries(sizeDocument(targetSize.Workspaces), "a", "import", time.Now().UnixMilli())
	if err != nil {
		return nil, err
	}
	payload, err := record.Encode(&recordpb.Batch{Instance: "a", Entries: entries})
	if err != nil {
		return nil, err
	}
	f.revision = f.log.Put(follower.Stream, payload) + 1
	for i := range targetSize.Servers {
		f.list.listing.Servers = append(f.list.listing.Servers, port.ServerEntry{ID: serverID(i), Service: "s1", Address: "127.0.0.1:1", DataCentre: "dc-1"})
	}
	listeners := make([]net.Listener, n)
	for i := range listeners {
		if listeners[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, err
		}
		f.list.listing.Instances = append(f.list.listing.Instances, port.InstanceEntry{ID: instanceID(i),
			PeerAddress: listeners[i].Addr().String(), DataCentre: "dc-1", Weight: 100})
	}
	var ctx context.Context
	ctx, f.cancel = context.WithCancel(context.Background())
	for i, ln := range listeners {
		if err := f.start(ctx, i, ln); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func instanceID(i int) string { return fmt.Sprintf("instance-%03d", i) }

func (f *controlFleet) start(ctx context.Context, i int, ln net.Listener) error {
	id, peers, c := instanceID(i), peer.NewPool(nil), &controlInstance{}
	c.members = members.New(members.Options{
		Self:        member.Info{ID: id, Address: ln.Addr().String(), DataCentre: "dc-1", Weight: 100},
		Incarnation: uint64(time.Now().UnixMilli()), Partitions: targetSize.Partitions, Directory: f.list, Peers: peers, Seed: uint64(i + 1),
		OnConfigAhead: func(instance, address string, revision int64) {
			c.follower.NotifyNewerRevision(instance, address, revision)
		},
	})
	c.follower = follower.New(follower.Options{Instance: id, Log: client.NewLog(f.log.Addr(), id, client.Options{}), Peers: peers,
		Members: c.members.Live, IsPreferred: func() bool { return c.members.IsPreferred("config") }, OnNewRevision: c.members.SetConfigRevision})
	mux := drpcmux.New()
	if err := errors.Join(c.members.Register(mux), c.follower.Register(mux)); err != nil {
		return err
	}
	server := peer.NewServer(countedListener{ln, &f.peerBytes}, mux, nil)
	f.wg.Go(func() { _ = server.Serve(ctx) })
	f.wg.Go(func() { c.members.Run(ctx) })
	f.wg.Go(func() { c.follower.Run(ctx) })
	f.instances = append(f.instances, c)
	f.closers = append(f.closers, func() { _ = peers.Close() })
	return nil
}

func (f *controlFleet) close() {
	f.cancel()
	f.log.Kill()
	f.wg.Wait()
	for _, c := range f.closers {
		c()
	}
}

// countInForce returns the number of instances that have a revision in force.
func (f *controlFleet) countInForce(revision int64) int {
	n := 0
	for _, c := range f.instances {
		if doc := c.follower.Document(); doc != nil && doc.Revision >= revision {
			n++
		}
	}
	return n
}

// edit appends a change of one section to the log and returns the time until it is in
// force on all instances, in seconds.
func (f *controlFleet) edit() (float64, error) {
	f.edits++
	content := strings.TrimRight(workspaceSection(1, 100+f.edits), "\n")
	payload, err := record.Encode(&recordpb.Batch{Instance: "a", Entries: []*recordpb.Entry{{AtMs: time.Now().UnixMilli(),
		Kind: &recordpb.Entry_ConfigRevision{ConfigRevision: &recordpb.ConfigRevision{Section: "workspaces.workspace-001", Content: content,
			BaseRevision: f.revision, EditId: fmt.Sprint("edit-", f.edits), Actor: "operator"}}}}})
	if err != nil {
		return 0, err
	}
	began := time.Now()
	f.revision = f.log.Put(follower.Stream, payload) + 1
	for f.countInForce(f.revision) < len(f.instances) {
		if time.Since(began) > 30*time.Second {
			return 0, fmt.Errorf("%d of %d instances have revision %d in force after 30 s", f.countInForce(f.revision), len(f.instances), f.revision)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(began).Seconds(), nil
}

// measureControl runs fleets of several sizes, first idle and then with edits. The last
// edits are made while only one instance can reach the log, so that the others fetch them
// from peers.
func measureControl(f *Figures, quick bool) error {
	sizes, settle, idle, edits, peerEdits := []int{4, 12, 48}, 9*time.Second, 5*time.Second, 20, 5
	if quick {
		sizes, settle, idle, edits, peerEdits = []int{4, 12}, time.Second, time.Second, 3, 1
	}
	for _, n := range sizes {
		c, err := startControl(n)
		if err != nil {
			return err
		}
		row := ControlRow{Instances: n}
		err = waitUntil(20*time.Second, func() bool { return c.countInForce(c.revision) == n })
		time.Sleep(settle)
		bytes := c.peerBytes.bytes.Load()
		row.CPU = cpuSeconds(func() { time.Sleep(idle) }) / idle.Seconds() / float64(n)
		// Each byte counts twice: one instance sends it and another receives it.
		row.Bytes = 2 * float64(c.peerBytes.bytes.Load()-bytes) / idle.Seconds() / float64(n)
		measureEdits := func(times int, mean, slowest *float64) {
			for range times {
				took, e := c.edit()
				err = errors.Join(err, e)
				*mean += took / float64(times)
				*slowest = max(*slowest, took)
			}
		}
		measureEdits(edits, &row.LogMean, &row.LogMax)
		var cutOff []string
		for i := 1; i < n; i++ {
			cutOff = append(cutOff, instanceID(i))
		}
		c.log.SetFaults(log.Faults{Outage: true, OutageClients: cutOff})
		measureEdits(peerEdits, &row.PeersMean, &row.PeersMax)
		c.close()
		if err != nil {
			return err
		}
		f.Control = append(f.Control, row)
	}
	return nil
}
