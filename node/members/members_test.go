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

// network passes messages between the instances of a test without sockets.
type network struct {
	mu          sync.Mutex
	nodes       map[string]*Members
	unreachable map[string]bool
	list        port.Listing
}

func (n *network) List(context.Context) (port.Listing, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return port.Listing{Instances: slices.Clone(n.list.Instances), Servers: slices.Clone(n.list.Servers)}, nil
}

// locked runs f with the lock that guards the network.
func (n *network) locked(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

func (n *network) lookup(from, to string) (m *Members) {
	n.locked(func() {
		if !n.unreachable[from] && !n.unreachable[to] {
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
	to := c.n.lookup(c.from, c.to)
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

// add starts an instance whose address is its name and port 1.
func (n *network) add(ctx context.Context, name string) *Members {
	m := New(Options{Self: member.Info{ID: name, Address: name + ":1", DataCentre: "dc-1", Weight: 100}, Partitions: 32, Seed: 7,
		Incarnation: uint64(time.Now().UnixMilli()), Directory: n, Peers: peers{n, name + ":1"}})
	n.locked(func() {
		n.nodes[name+":1"] = m
		n.list.Instances = append(n.list.Instances, port.InstanceEntry{ID: name, PeerAddress: name + ":1", DataCentre: "dc-1", Weight: 100})
	})
	go m.Run(ctx)
	return m
}

func preferredOwners(m *Members) (out []string) {
	for p := range 32 {
		name, _ := m.Preferred(p)
		out = append(out, name)
	}
	return out
}

// Guards against a new instance that is preferred for partitions immediately, a lost one
// that remains preferred, and instances whose preferences stay different.
func TestPreferenceFollowsMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := &network{nodes: map[string]*Members{}, unreachable: map[string]bool{}}
		a, b := n.add(ctx, "a"), n.add(ctx, "b")
		time.Sleep(10 * time.Second)
		before := preferredOwners(a)
		if fmt.Sprint(before) != fmt.Sprint(preferredOwners(b)) {
			t.Fatalf("a prefers %v, b prefers %v", before, preferredOwners(b))
		}
		c := n.add(ctx, "c")
		time.Sleep(2500 * time.Millisecond)
		if !c.Settled() || fmt.Sprint(preferredOwners(c)) != fmt.Sprint(before) || fmt.Sprint(preferredOwners(a)) != fmt.Sprint(before) {
			t.Fatalf("partitions moved to a member that has just started: %v", preferredOwners(c))
		}
		time.Sleep(10 * time.Second)
		shared := preferredOwners(a)
		if fmt.Sprint(shared) == fmt.Sprint(before) || fmt.Sprint(shared) != fmt.Sprint(preferredOwners(c)) {
			t.Fatalf("after 12 s a prefers %v, c prefers %v", shared, preferredOwners(c))
		}
		n.locked(func() { n.unreachable["c:1"] = true })
		time.Sleep(6 * time.Second)
		if a.Alive("c") || fmt.Sprint(preferredOwners(a)) != fmt.Sprint(before) {
			t.Fatalf("6 s after the loss of c: alive %v, %v", a.Alive("c"), preferredOwners(a))
		}
	})
}

// Guards against a leaving instance that is still preferred, and against a server's
// leaving mark that is not noticed.
func TestLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := &network{nodes: map[string]*Members{}, unreachable: map[string]bool{}}
		n.list.Servers = []port.ServerEntry{{ID: "s1", Service: "letters"}}
		a, b := n.add(ctx, "a"), n.add(ctx, "b")
		time.Sleep(8 * time.Second)
		if a.Directs("s1") == b.Directs("s1") {
			t.Fatal("the server has no director or two directors")
		}
		n.locked(func() { n.list.Servers[0].Leaving = true })
		if err := b.Leave(ctx); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if !a.ServerLeaving("s1") || !a.Directs("s1") || b.Directs("s1") {
			t.Fatalf("leaving mark %v, director a %v, b %v", a.ServerLeaving("s1"), a.Directs("s1"), b.Directs("s1"))
		}
		for p, name := range preferredOwners(a) {
			if name != "a" {
				t.Fatalf("the preferred owner of partition %d is %q", p, name)
			}
		}
	})
}
