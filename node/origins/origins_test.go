package origins

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/origin"
	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/standin/memlog"
)

// cluster is a set of instances, of which the first one is the hub.
type cluster struct {
	store   memlog.Log
	servers []port.Entry[serving.Server]
	nodes   []*testNode
	streams int
	// hubUnreachable makes the other instances reach no hub.
	hubUnreachable atomic.Bool
}

type testNode struct {
	*Index
	cluster  *cluster
	hubSince time.Time
	kill     func()
	// cutOff keeps the instance from the store and from all other instances.
	cutOff atomic.Bool
}

func (n *testNode) ActsAsFirstHub() bool {
	return n == n.cluster.nodes[0] || n.cluster.hubUnreachable.Load()
}
func (n *testNode) HubSince() time.Time { return n.hubSince }
func (n *testNode) SendOrigins(payload []byte) {
	if hub := n.cluster.nodes[0]; !hub.cutOff.Load() && !n.cutOff.Load() {
		_ = hub.ReceiveOrigins(payload)
	}
}

// readServers reads the entries of the servers.
func (n *testNode) readServers(context.Context) error {
	if n.cutOff.Load() {
		return errors.New("cut off")
	}
	n.View.ApplyServers(n.cluster.servers, true)
	return nil
}

func (n *testNode) AskOrigin(ctx context.Context, service string, id uint64) (origin.Origin, origin.Status, bool) {
	o, status := n.cluster.nodes[0].ResolveHere(ctx, service, id)
	return o, status, ctx.Err() == nil
}

// restart replaces all instances by new ones.
func (c *cluster) restart() {
	c.stop()
	c.nodes = nil
	for range 3 {
		n := &testNode{Index: NewIndex(), cluster: c}
		n.Store, n.View, n.Hubs = &c.store, fleet.NewView(rand.New(rand.NewPCG(1, 2))), n
		n.RefreshServers = n.readServers
		_ = n.RefreshServers(context.Background())
		c.nodes = append(c.nodes, n)
	}
	c.nodes[0].hubSince = time.Now()
	for _, n := range c.nodes {
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { n.Run(ctx) })
		n.kill = func() { cancel(); running.Wait() }
	}
}

func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.kill()
	}
}

func server(id, version string, started time.Time) port.Entry[serving.Server] {
	return port.Entry[serving.Server]{Key: id, Value: &serving.Server{ID: id, Service: "svc", Version: version, Started: started.UnixMilli()}}
}

// inCluster runs a test with three instances before servers of two versions, in virtual time.
func inCluster(t *testing.T, test func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{servers: []port.Entry[serving.Server]{server("a", "v1", time.Now()), server("b", "v2", time.Now())}}
		c.restart()
		defer func() { c.stop() }()
		test(t, c)
	})
}

// want checks what an instance that is no hub knows of streams, by their versions.
func (c *cluster) want(t *testing.T, status origin.Status, streams map[string]string) {
	t.Helper()
	for id, version := range streams {
		if o, got := c.nodes[1].Resolve(context.Background(), "svc", id); got != status || o.Version != version {
			t.Errorf("%s began at %q (status %d), want %q (status %d)", id, o.Version, got, version, status)
		}
	}
}

// beginStreams lets each instance send streams to the servers in turn, and returns their versions.
func (c *cluster) beginStreams(count int) map[string]string {
	began := map[string]string{}
	for range count {
		s, id := c.servers[c.streams%len(c.servers)].Value, fmt.Sprint("stream-", c.streams)
		c.nodes[c.streams%len(c.nodes)].Record(id, 1, s)
		c.streams++
		began[id] = s.Version
		time.Sleep(2 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	return began
}

// Guards against streams that change their version, or are given up, because all instances were
// killed at once, the version has just left, or the store failed when they were recorded.
func TestOriginsSurviveTheLossOfInstances(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		began := c.beginStreams(2000)
		c.want(t, origin.Known, began)
		c.servers = c.servers[1:]
		c.restart()
		c.want(t, origin.Known, began)
		if n := c.store.Len(); n > 150 {
			t.Errorf("%d appends in 4 s, want 25 a second", n)
		}
		c.store.SetDown(true)
		began = c.beginStreams(3 * maxEncodedStreams)
		c.store.SetDown(false)
		time.Sleep(2 * writeRetryDelay)
		c.store.Prepend([]byte("not a record"), 10*tailRecords, 100)
		c.restart()
		c.want(t, origin.Known, began)
	})
}

// Guards against a guess for a stream without a record while there is more than one version, and
// against refusals while there is only one.
func TestStreamWithoutARecord(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.nodes[1].Record("", 1, c.servers[0].Value)
		c.want(t, origin.Unknown, map[string]string{"two versions of servers": "", "": ""})
		c.beginStreams(10)
		c.servers = c.servers[:1]
		c.restart()
		c.want(t, origin.Unknown, map[string]string{"v2 has just left": ""})
		time.Sleep(origin.Retention)
		c.beginStreams(2 * tailRecords * int(writeInterval/(2*time.Millisecond)))
		c.restart()
		c.want(t, origin.Known, map[string]string{"one version": "v1"})
	})
}

// Guards against a guess, and against a final refusal, while the records cannot be read.
func TestUnreadableStore(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.servers = c.servers[:1]
		began := c.beginStreams(10)
		c.restart()
		c.store.SetDown(true)
		c.want(t, origin.Unreadable, map[string]string{"stream-1": ""})
		c.store.SetDown(false)
		c.want(t, origin.Known, began)
		time.Sleep(memoryTime) // a hub that has heard of all streams needs no store
		c.store.SetDown(true)
		c.want(t, origin.Known, map[string]string{"stream-1": "v1", "lost report": "v1"})
		c.hubUnreachable.Store(true)
		c.want(t, origin.Unreadable, map[string]string{"isolated": ""})
	})
}

// Guards against a stream that began at a server that had been started again under its ID, with
// another version, before its new entry was read.
func TestServerRestartsWithAnotherVersion(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		before := c.servers[0].Value
		c.nodes[1].Record("before", 1, before)
		time.Sleep(5 * time.Second)
		c.servers[0] = server("a", "v3", time.Now())
		time.Sleep(time.Second)
		c.nodes[2].Record("after", 1, before)
		time.Sleep(100 * time.Millisecond)
		c.want(t, origin.Known, map[string]string{"before": "v1"})
		c.want(t, origin.Unknown, map[string]string{"after": ""})
	})
}

// Guards against a stream that goes on at another version at an instance which was out of step
// while servers of that version joined, for as long as all servers that it knows have one version.
func TestInstanceOutOfStepDoesNotGuess(t *testing.T) {
	for name, c := range map[string]struct {
		// storeDown keeps the instance from the records and cutOff from the servers as well.
		storeDown, cutOff bool
		// left is set if the new version has left before the instance reads the servers.
		left bool
		want origin.Status
	}{
		"cut off from all":                    {true, true, false, origin.Unreadable},
		"cut off from the servers' entries":   {false, true, false, origin.Unreadable},
		"records not readable":                {true, false, false, origin.Unknown},
		"new version has come and gone again": {true, false, true, origin.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, cluster *cluster) {
				both := cluster.servers
				cluster.servers = both[:1]
				cluster.restart()
				time.Sleep(memoryTime) // the hub counts as one that was told of all streams
				hub := cluster.nodes[0]
				hub.cutOff.Store(true)
				cluster.servers = both
				cluster.nodes[1].Record("stream", 1, both[1].Value)
				time.Sleep(2 * repeatDelay)
				cluster.store.SetDown(c.storeDown)
				hub.cutOff.Store(c.cutOff)
				if c.left {
					gone := port.Entry[serving.Server]{Key: both[1].Key}
					hub.View.ApplyServers([]port.Entry[serving.Server]{both[1], gone}, false)
					cluster.servers = both[:1]
				}
				if o, got := hub.Resolve(context.Background(), "svc", "stream"); got != c.want || o.Version != "" {
					t.Errorf("the stream began at %q (status %d), want status %d", o.Version, got, c.want)
				}
			})
		})
	}
}
