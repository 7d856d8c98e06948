package peers

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/domain/workspace"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
)

// returning is a request that returns at its turn.
type returning struct {
	at        time.Time
	node      *node
	workspace string
}

// heldLease is a slot that a test holds until a time.
type heldLease struct {
	lease *fleet.Lease
	until time.Time
}

// shareCounts counts the requests of one workspace; inTime are those that got a slot within
// their objective, at once or when they returned at their turn.
type shareCounts struct{ asked, granted, inTime, overShare int }

// Guards against a workspace with few requests that gets no room because its hub is lost while
// another workspace sends far more than its share, and against an overload that nobody limits
// then.
func TestSharesWhileTheHubIsLost(t *testing.T) {
	const servers, slots, runTime, objective = 2, 8, 200 * time.Millisecond, 300 * time.Millisecond
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
		freeAt := map[string][]time.Time{} // by server, when each slot is free
		// After each step the instances do what they have to at that time, so that it does not vary
		// which load a report includes.
		play := func(length time.Duration) map[string]*shareCounts {
			counts := map[string]*shareCounts{"small": {}, "hot": {}}
			var turns []returning
			place := func(n *node, name string, again bool) {
				q := balance.Query{Service: "svc", Workspace: name, Objective: objective, Left: 5 * time.Second, RunTime: runTime}
				lease, rejection := n.group.Place(q)
				synctest.Wait()
				if !again {
					counts[name].asked++
				}
				switch {
				case lease != nil:
					counts[name].granted++
					free, now := freeAt[lease.Server.ID], time.Now()
					if free == nil {
						free = make([]time.Time, slots)
						freeAt[lease.Server.ID] = free
					}
					slices.SortFunc(free, time.Time.Compare)
					if free[0].Before(now) {
						free[0] = now
					}
					if free[0].Sub(now) <= objective {
						counts[name].inTime++
					}
					free[0] = free[0].Add(runTime)
					held = append(held, heldLease{lease, free[0]})
				case rejection.Reason != balance.OverShare:
					t.Errorf("%s is rejected for %s", name, rejection.Reason)
				case rejection.RetryAfter <= 0:
					t.Error("no time at which to return")
				default:
					counts[name].overShare++
					if !again && rejection.RetryAfter <= q.Left/3 {
						turns = append(turns, returning{time.Now().Add(rejection.RetryAfter), n, name})
					}
				}
			}
			for end, i := time.Now().Add(length), 0; time.Now().Before(end); i++ {
				held = slices.DeleteFunc(held, func(h heldLease) bool {
					ended := !time.Now().Before(h.until)
					if ended {
						h.lease.End(balance.Answered)
						synctest.Wait()
					}
					return ended
				})
				for _, n := range nodes {
					place(n, "hot", false)
					if i%10 == 0 {
						place(n, "small", false)
					}
				}
				turns = slices.DeleteFunc(turns, func(r returning) bool {
					due := !time.Now().Before(r.at)
					if due {
						place(r.node, r.workspace, true)
					}
					return due
				})
				time.Sleep(10 * time.Millisecond)
				synctest.Wait()
			}
			return counts
		}
		play(time.Second)
		for _, phase := range []string{"with the hub", "without the hub", "with another hub"} {
			if phase == "without the hub" {
				lost.stop()
			}
			counts := play(2 * time.Second)
			t.Logf("%s: small %+v, hot %+v", phase, *counts["small"], *counts["hot"])
			small, hot := counts["small"], counts["hot"]
			if hot.overShare == 0 || hot.granted == 0 {
				t.Errorf("%s the other workspace gets %+v", phase, *hot)
			}
			if small.inTime*hot.asked < hot.inTime*small.asked {
				t.Errorf("%s the small workspace gets %+v, the other one %+v", phase, *small, *hot)
			}
			if phase != "without the hub" && small.inTime*10 < small.asked*9 {
				t.Errorf("%s the small workspace gets %+v", phase, *small)
			}
		}
	})
}
