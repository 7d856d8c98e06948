package peers

import (
	"slices"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/domain/workspace"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
)

// heldLease is a slot that a test holds until a time.
type heldLease struct {
	lease *fleet.Lease
	until time.Time
}

// shareCounts counts the requests of one workspace.
type shareCounts struct{ asked, granted, overShare int }

// Guards against a workspace with few requests that gets no room because its hub is lost while
// another workspace sends far more than its share, and against an overload that nobody limits
// then.
func TestSharesWhileTheHubIsLost(t *testing.T) {
	const servers, slots, runTime = 2, 8, 200 * time.Millisecond
	directory, problems := workspace.NewDirectory([]workspace.Definition{{Workspace: workspace.Workspace{Name: "small"}}, {Workspace: workspace.Workspace{Name: "hot"}}})
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	inVirtualTime(t, 5, func(t *testing.T, net *network) {
		nodes := startAll(t, net, 4, servers, slots)
		for _, n := range nodes {
			n.view.ApplyConfig([]port.Entry[serving.Revision]{{Key: "c", Value: &serving.Revision{Version: 1, Workspaces: directory}}}, true)
		}
		lost := hubOf(nodes, nodes[0])
		nodes = slices.DeleteFunc(nodes, func(n *node) bool { return n == lost })
		var held []heldLease
		play := func(length time.Duration) (counts map[string]*shareCounts, mostWaiting int) {
			counts = map[string]*shareCounts{"small": {}, "hot": {}}
			place := func(n *node, name string) {
				q := balance.Query{Service: "svc", Workspace: name, Objective: 300 * time.Millisecond, Left: 5 * time.Second, RunTime: runTime}
				lease, rejection := n.group.Place(q)
				counts[name].asked++
				switch {
				case lease != nil:
					counts[name].granted++
					held = append(held, heldLease{lease, time.Now().Add(runTime)})
				case rejection.Reason != balance.OverShare:
					t.Errorf("%s is rejected for %s", name, rejection.Reason)
				case rejection.RetryAfter <= 0:
					t.Error("no time at which to return")
				default:
					counts[name].overShare++
				}
			}
			for end, i := time.Now().Add(length), 0; time.Now().Before(end); i++ {
				held = slices.DeleteFunc(held, func(h heldLease) bool {
					ended := !time.Now().Before(h.until)
					if ended {
						h.lease.End(balance.Answered)
					}
					return ended
				})
				mostWaiting = max(mostWaiting, len(held)-servers*slots)
				for _, n := range nodes {
					place(n, "hot")
					if i%10 == 0 {
						place(n, "small")
					}
				}
				time.Sleep(10 * time.Millisecond)
			}
			return counts, mostWaiting
		}
		for _, phase := range []string{"with the hub", "without the hub", "with another hub"} {
			if phase == "without the hub" {
				lost.stop()
			}
			counts, mostWaiting := play(2 * time.Second)
			t.Logf("%s: small %+v, hot %+v, up to %d waiting", phase, *counts["small"], *counts["hot"], mostWaiting)
			if c := counts["small"]; c.granted*10 < c.asked*9 {
				t.Errorf("%s the small workspace gets %+v", phase, *c)
			}
			if c := counts["hot"]; c.overShare == 0 || c.granted == 0 {
				t.Errorf("%s the other workspace gets %+v", phase, *c)
			}
		}
	})
}
