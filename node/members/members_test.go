package members

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/jacinthnotch/jacinthnotch/domain/member"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

// network carries messages between the instances of a test without sockets.
type network struct {
	mu    sync.Mutex
	nodes map[string]*Members
	cut   map[string]bool
	list  port.Listing
}

func (n *network) List(context.Context) (port.Listing, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return port.Listing{Instances: slices.Clone(n.list.Instances), Servers: slices.Clone(n.list.Servers)}, nil
}

// change runs f while no message or listing is looked up.
func (n *network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

func (n *network) reach(from, to string) (m *Members) {
	n.change(func() {
		if !n.cut[from] && !n.cut[to] {
			m = n.nodes[to]
		}
	})
	return m
}

type conn struct {
	drpc.Conn
	n    *network
	to   string
	from string
}

func (c conn) Close() error { return nil }

func (c conn) Invoke(ctx context.Context, rpc string, _ drpc.Encoding, in, out drpc.Message) error {
	to := c.n.reach(c.from, c.to)
	if to == nil {
		<-ctx.Done()
		return errors.New("no answer")
	}
	var ack *peerpb.Ack
	var err error
	if ping, ok := in.(*peerpb.Ping); ok {
		ack, err = to.Probe(ctx, ping)
	} else {
		ack, err = to.ProbeVia(ctx, in.(*peerpb.PingVia))
	}
	if err == nil {
		proto.Merge(out.(*peerpb.Ack), ack)
	}
	return err
}

type peers struct {
	n    *network
	from string
}

func (p peers) Conn(_ context.Context, address string) drpc.Conn {
	return conn{n: p.n, to: address, from: p.from}
}

// add starts an instance whose address is its name.
func (n *network) add(ctx context.Context, name string) *Members {
	m := New(Options{Self: member.Info{ID: name, Address: name + ":1", DataCentre: "dc-1", Weight: 100}, Partitions: 32, Seed: 7,
		Incarnation: uint64(time.Now().UnixMilli()), Directory: n, Peers: peers{n, name + ":1"}})
	n.change(func() {
		n.nodes[name+":1"] = m
		n.list.Instances = append(n.list.Instances, port.InstanceEntry{ID: name, PeerAddress: name + ":1", DataCentre: "dc-1", Weight: 100})
	})
	go m.Run(ctx)
	return m
}

func owners(m *Members) (out []string) {
	for p := range 32 {
		name, _ := m.Preferred(p)
		out = append(out, name)
	}
	return out
}

// Guards against a new instance that takes partitions at once, a lost one that
// keeps them, and instances that disagree for long.
func TestPreferenceFollowsMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := &network{nodes: map[string]*Members{}, cut: map[string]bool{}}
		a, b := n.add(ctx, "a"), n.add(ctx, "b")
		time.Sleep(10 * time.Second)
		before := owners(a)
		if fmt.Sprint(before) != fmt.Sprint(owners(b)) {
			t.Fatalf("a prefers %v, b prefers %v", before, owners(b))
		}
		c := n.add(ctx, "c")
		time.Sleep(2500 * time.Millisecond)
		if !c.Settled() || fmt.Sprint(owners(c)) != fmt.Sprint(before) || fmt.Sprint(owners(a)) != fmt.Sprint(before) {
			t.Fatalf("partitions moved to a member that has just started: %v", owners(c))
		}
		time.Sleep(10 * time.Second)
		shared := owners(a)
		if fmt.Sprint(shared) == fmt.Sprint(before) || fmt.Sprint(shared) != fmt.Sprint(owners(c)) {
			t.Fatalf("after 12 s a prefers %v, c prefers %v", shared, owners(c))
		}
		n.change(func() { n.cut["c:1"] = true })
		time.Sleep(6 * time.Second)
		if a.Alive("c") || fmt.Sprint(owners(a)) != fmt.Sprint(before) {
			t.Fatalf("6 s after the loss of c: alive %v, %v", a.Alive("c"), owners(a))
		}
	})
}

// Guards against a leaving instance or server that still gets work.
func TestLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := &network{nodes: map[string]*Members{}, cut: map[string]bool{}}
		n.list.Servers = []port.ServerEntry{{ID: "s1", Service: "letters"}}
		a, b := n.add(ctx, "a"), n.add(ctx, "b")
		time.Sleep(8 * time.Second)
		if a.Directs("s1") == b.Directs("s1") {
			t.Fatal("the server has no director or two")
		}
		n.change(func() { n.list.Servers[0].Leaving = true })
		if err := b.Leave(ctx); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if !a.ServerLeaving("s1") || !a.Directs("s1") || b.Directs("s1") {
			t.Fatalf("leaving mark %v, director a %v, b %v", a.ServerLeaving("s1"), a.Directs("s1"), b.Directs("s1"))
		}
		for p, name := range owners(a) {
			if name != "a" {
				t.Fatalf("partition %d is at %q", p, name)
			}
		}
	})
}
