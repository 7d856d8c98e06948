package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/policy/poison"
)

// waitForBlock waits until all instances block a request.
func waitForBlock(t *testing.T, nodes []*node, r poison.Request) {
	t.Helper()
	for _, n := range nodes {
		waitFor(t, fmt.Sprint(n.name, " does not block ", r.Parts), func() bool { return n.group.Blocked(r) })
	}
}

// Guards against instances that go on sending requests with a part of which only others know
// that it crashes servers, against an answer that only one of them got being ignored, and
// against what is blocked being forgotten when the hubs are lost; while datagrams are lost.
func TestBlocksReachAllInstances(t *testing.T) {
	const system, shared, deadly, other = 1, 2, 3, 4
	inVirtualTime(t, 20, func(t *testing.T, net *network) {
		f := &fakeFeed{entries: map[string]Instance{}}
		var nodes []*node
		for i := range 5 {
			nodes = append(nodes, startNode(t, net, f, fmt.Sprint("n", i), 1, 1))
		}
		for _, n := range nodes {
			waitFor(t, n.name+" does not find all instances", func() bool { return len(n.group.Alive()) == len(nodes)-1 })
		}
		net.setQuality(5*time.Millisecond, 0.1)
		nodes[0].group.RecordAnswer(poison.Request{Parts: []poison.Subject{system}})
		all := poison.Request{Parts: []poison.Subject{system, shared, deadly}}
		for i := range 4 {
			r := poison.Request{Whole: poison.Subject(100 + i), Parts: all.Parts}
			nodes[i].group.RecordBreak(r, &serving.Server{ID: fmt.Sprint("crashed", i)})
			time.Sleep(200 * time.Millisecond)
		}
		waitForBlock(t, nodes, all)
		// Twice the interval of the rosters, one of which may be lost, with the answer of the
		// instance to what the hub suspects.
		time.Sleep(4 * rosterInterval)
		sound := poison.Request{Parts: []poison.Subject{system, shared}}
		for _, n := range nodes {
			if n.group.Blocked(sound) || n.group.Blocked(poison.Request{Parts: []poison.Subject{system, other}}) {
				t.Fatalf("%s blocks sound requests", n.name)
			}
		}
		nodes[4].group.RecordAnswer(sound)
		waitForBlock(t, nodes, poison.Request{Parts: []poison.Subject{other, deadly}})
		for range 2 {
			hub := hubOf(nodes, nodes[len(nodes)-1])
			hub.stop()
			rest := nodes[:0:0]
			for _, n := range nodes {
				if n != hub {
					rest = append(rest, n)
				}
			}
			nodes = rest
			time.Sleep(2 * (heardTTL + listedTTL))
		}
		nodes = append(nodes, startNode(t, net, f, "late", 1, 1))
		waitForBlock(t, nodes, poison.Request{Parts: []poison.Subject{other, deadly}})
	})
}
