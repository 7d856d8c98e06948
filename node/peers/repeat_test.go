package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/policy/poison"
)

// Guards against a request that crashes servers and is not held back because the reports of its
// crashes were lost, and against a repetition that counts again after an answer.
func TestLostReportsOfBrokenRunsAreRepeated(t *testing.T) {
	inVirtualTime(t, 3, func(t *testing.T, net *network) {
		f := &fakeFeed{entries: map[string]Instance{}}
		var nodes []*node
		for i := range 4 {
			nodes = append(nodes, startNode(t, net, f, fmt.Sprint("n", i), 1, 1))
		}
		for _, n := range nodes {
			waitFor(t, n.name+" does not find all instances", func() bool { return len(n.group.Alive()) == len(nodes)-1 })
		}
		r := poison.Request{Whole: 1}
		net.setQuality(time.Millisecond, 1)
		for i := range poison.MaxServers {
			nodes[i].group.RecordBreak(r, &serving.Server{ID: fmt.Sprint("crashed", i)})
		}
		time.Sleep(breakRepeatInterval / 2)
		net.setQuality(time.Millisecond, 0)
		waitForBlock(t, nodes, r)
		hub, reporter := hubOf(nodes, nodes[0]), nodes[0]
		if reporter == hub {
			reporter = nodes[1]
		}
		r.Whole = 2
		for i := range poison.MaxServers {
			reporter.group.RecordBreak(r, &serving.Server{ID: fmt.Sprint("crashed later ", i)})
			time.Sleep(breakRepeatInterval / 2)
			if i == 0 {
				hub.group.RecordAnswer(r)
			}
		}
		for range breakRepeats + 1 {
			time.Sleep(breakRepeatInterval)
			if hub.group.Blocked(r) {
				t.Fatal("a crash counts again after an answer")
			}
		}
	})
}
