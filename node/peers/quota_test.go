package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/domain/workspace"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
	"github.com/jacinthnotch/jacinthnotch/policy/workspacequota"
)

// A workspace may send quotaFactor times its quota and quotaSlack requests in a window.
const (
	quotaFactor = 1.1
	quotaSlack  = 20
)

// setQuotas puts a configuration with one hot and one usual workspace in force.
func setQuotas(n *node, version int64, quota workspace.Quota) {
	directory, _ := workspace.NewDirectory([]workspace.Definition{
		{Workspace: workspace.Workspace{Name: "hot", Quota: quota}, Keys: []string{"h"}},
		{Workspace: workspace.Workspace{Name: "usual", Quota: quota}, Keys: []string{"u"}},
	})
	revision := &serving.Revision{Version: version, Services: map[string]*serving.Service{"svc": {Name: "svc"}}, Workspaces: directory}
	revision.Index()
	n.view.ApplyConfig([]port.Entry[serving.Revision]{{Key: "c", Value: revision}}, true)
}

// quotaLoad sends requests of a workspace through an instance at an interval until a time.
func (s *sentTimes) quotaLoad(n *node, name string, interval time.Duration, until time.Time) {
	for ; time.Now().Before(until); time.Sleep(interval) {
		lease, rejection := n.group.Place(balance.Query{Service: "svc", Workspace: name})
		s.mu.Lock()
		if rejection == nil {
			s.times[name] = append(s.times[name], time.Now())
		} else {
			s.refused++
		}
		s.mu.Unlock()
		if lease != nil {
			lease.End(balance.Answered)
		}
	}
}

// Guards against instances that send more than a workspace's quota together, and refuse requests
// within it, while datagrams are lost, or so late that many replies of the hubs are not awaited,
// and first one hub is stopped and then the other.
func TestWorkspaceQuotaWhileHubsAreLost(t *testing.T) {
	t.Run("losses", func(t *testing.T) { testWorkspaceQuota(t, 5*time.Millisecond, 0.01) })
	t.Run("late replies", func(t *testing.T) { testWorkspaceQuota(t, 15*time.Millisecond, 0.2) })
}

// testWorkspaceQuota refuses at most maxRefused of the requests within the quota.
func testWorkspaceQuota(t *testing.T, maxDelay time.Duration, maxRefused float64) {
	quota := workspace.Quota{Rate: 20, Burst: 20}
	seeds := uint64(20)
	if testing.Short() {
		seeds = 3
	}
	inVirtualTime(t, seeds, func(t *testing.T, net *network) {
		nodes := startAll(t, net, 6, 3, 8)
		for _, n := range nodes {
			setQuotas(n, 1, quota)
		}
		net.setQuality(maxDelay, 0.02)
		time.Sleep(time.Second)
		first := hubOf(nodes, nodes[0])
		first.group.mu.Lock()
		second := first.group.liveHubs(time.Now())[1]
		first.group.mu.Unlock()
		hot, usual := &sentTimes{times: map[string][]time.Time{}}, &sentTimes{times: map[string][]time.Time{}}
		start := time.Now()
		var running []chan struct{}
		for i, n := range nodes {
			if n == first || n.name == second {
				continue
			}
			for _, run := range []func(){
				func() { hot.quotaLoad(n, "hot", 50*time.Millisecond, start.Add(30*time.Second)) },
				func() {
					usual.quotaLoad(n, "usual", time.Duration(300+20*i)*time.Millisecond, start.Add(30*time.Second))
				},
			} {
				done := make(chan struct{})
				running = append(running, done)
				go func() { defer close(done); run() }()
			}
		}
		time.Sleep(8 * time.Second)
		first.stop()
		time.Sleep(8 * time.Second)
		for _, n := range nodes {
			if n.name == second {
				n.stop()
			}
		}
		for _, done := range running {
			<-done
		}
		allowed := quotaFactor*(quota.Rate*workspacequota.Window.Seconds()+quota.Burst) + quotaSlack
		most := 0
		var window []time.Time
		for _, at := range hot.times["hot"] {
			window = append(window, at)
			for at.Sub(window[0]) >= workspacequota.Window {
				window = window[1:]
			}
			most = max(most, len(window))
		}
		if float64(most) > allowed {
			t.Errorf("%d requests in a window, %.0f allowed", most, allowed)
		}
		if n, least := len(hot.times["hot"]), int(0.8*quota.Rate*30); n < least {
			t.Errorf("%d requests of the hot workspace sent, want at least %d", n, least)
		}
		t.Logf("%d in a window of %.0f, usual %d sent, %d refused", most, allowed, len(usual.times["usual"]), usual.refused)
		if n := len(usual.times["usual"]) + usual.refused; float64(usual.refused) > maxRefused*float64(n) {
			t.Errorf("%d of %d requests within the quota refused", usual.refused, n)
		}
	})
}

// Guards against a quota that does not bind, that binds after it was raised or removed, or that
// counts what it does not apply to; and against a refusal without a time to return.
func TestWorkspaceQuotaChanges(t *testing.T) {
	inVirtualTime(t, 1, func(t *testing.T, net *network) {
		nodes := startAll(t, net, 3, 3, 8)
		time.Sleep(8 * time.Second) // the instances are not new any more
		sent := func(q balance.Query) int {
			for i := range 100 {
				lease, rejection := nodes[i%3].group.Place(q)
				if rejection == nil {
					lease.End(balance.Answered)
					continue
				}
				if rejection.Reason != balance.OverQuota || rejection.RetryAfter <= 0 || rejection.RetryAfter > workspacequota.Window {
					t.Errorf("%+v", rejection)
				}
				return i
			}
			return 100
		}
		hot := balance.Query{Service: "svc", Workspace: "hot"}
		for version, c := range []struct {
			quota       workspace.Quota
			least, most int
		}{{workspace.Quota{Rate: 1, Burst: 10}, 10, 17}, {workspace.Quota{Rate: 1, Burst: 30}, 19, 22}, {workspace.Quota{}, 100, 100}} {
			for _, n := range nodes {
				setQuotas(n, int64(version+1), c.quota)
			}
			time.Sleep(livenessInterval)
			if n := sent(hot); n < c.least || n > c.most {
				t.Errorf("%+v: %d sent, want %d to %d", c.quota, n, c.least, c.most)
			}
		}
		for _, n := range nodes {
			setQuotas(n, 9, workspace.Quota{Rate: 1, Burst: 1})
		}
		hot.Charged = true
		if n := sent(hot); n < 100 {
			t.Errorf("%d of 100 requests that count in no quota sent", n)
		}
	})
}

// Guards against a hub that counts a request twice: when it grants it and when the report that
// includes it arrives.
func TestWorkspaceQuotaCountsOnce(t *testing.T) {
	inVirtualTime(t, 1, func(t *testing.T, net *network) {
		nodes := startAll(t, net, 2, 3, 8)
		for _, n := range nodes {
			setQuotas(n, 1, workspace.Quota{Rate: 1, Burst: 30})
		}
		time.Sleep(8 * time.Second) // the instances are not new any more
		hub := hubOf(nodes, nodes[0])
		var leases []*fleet.Lease
		for i := range 2 {
			for range 10 {
				lease, rejection := nodes[i].group.Place(balance.Query{Service: "svc", Workspace: "hot"})
				if rejection != nil {
					t.Fatal(fmt.Sprint(*rejection))
				}
				leases = append(leases, lease)
			}
		}
		time.Sleep(time.Second)
		for _, n := range nodes {
			n.group.mu.Lock()
			v := n.group.quota.table.Decide(time.Now(), hash("hot"), workspace.Quota{Rate: 1, Burst: 30}, workspacequota.Role{})
			n.group.mu.Unlock()
			if !v.Allowed || v.Recent != 21 {
				t.Errorf("%s, hub %v: %+v, want 21 requests with this one", n.name, n == hub, v)
			}
		}
		for _, lease := range leases {
			lease.End(balance.Answered)
		}
	})
}

// Guards against quota reports that take more than half of the 2 KB a second that an instance may
// spend on control: 8.2 requests a second of as many workspaces, of which the standby gets a
// report each 150 ms.
func TestBytesOfQuotaReports(t *testing.T) {
	const requestsPerSecond = 3200.0 / 390
	perSecond := 0.0
	for _, interval := range []time.Duration{quotaReportInterval, standbyQuotaReportInterval} {
		report := &quotaReport{Instance: 1 << 31, Incarnation: 1 << 31, IncludedGrants: 1 << 20, UptimeMs: 60000}
		for range int(requestsPerSecond*(2*interval+reportSlack).Seconds() + 1) {
			report.Counts = append(report.Counts, quotaCount{Workspace: 1 << 31, Total: 1 << 12})
		}
		raw, err := encode(kindQuotaReport, report)
		if err != nil {
			t.Fatal(err)
		}
		perSecond += float64(len(raw)) / interval.Seconds()
	}
	t.Logf("%.0f bytes a second", perSecond)
	if perSecond > 1000 {
		t.Errorf("%.0f bytes a second", perSecond)
	}
}
