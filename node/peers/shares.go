package peers

import (
	"expvar"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/policy/balance"
	"github.com/jacinthnotch/jacinthnotch/policy/fairshare"
)

// shares divides the room of the services among the workspaces, for the requests for which this
// instance picks the server.
type shares struct {
	mu         sync.Mutex
	controller fairshare.Controller
	counts     expvar.Map
}

// ShareMetrics returns the counts of the requests that were judged by the shares of the
// workspaces.
func (g *Group) ShareMetrics() *expvar.Map { return &g.shares.counts }

// checkShare returns a rejection if a service has too little room and the request's workspace
// has its share of it already. Otherwise it counts the request as granted. A configuration
// without workspaces has no shares.
func (g *Group) checkShare(q *balance.Query) *balance.Rejection {
	revision := g.opt.View.Revision()
	if q.Class != balance.Online || revision == nil || revision.Workspaces == nil {
		return nil
	}
	request := fairshare.Request{
		Service: q.Service, Workspace: q.Workspace, Priority: q.Priority, Objective: q.Objective, Repeated: q.Repeated,
		Work: fairshare.Work(q.PromptTokens, q.OutputTokens),
	}
	if w := revision.Workspaces.Workspace(q.Workspace); w != nil {
		request.Weight = w.Quota.Rate
	}
	if n := len(q.Prompt); n > 0 {
		request.Session = q.Prompt[n-1].Segment
	}
	room := fairshare.Room{RunTime: g.opt.View.ShortRunTime(q.Service)}
	room.Waiting, room.Slots = g.opt.View.OnlineRoom(q.Service)
	if !q.CompleteView {
		room.Deciders = q.Instances
	}
	g.shares.mu.Lock()
	d := g.shares.controller.Admit(time.Now(), request, room)
	g.shares.mu.Unlock()
	if d.Ended {
		klog.InfoS("room for all requests again", "service", q.Service)
	}
	if d.Admitted {
		g.shares.counts.Add("granted", 1)
		return nil
	}
	g.shares.counts.Add("over_share", 1)
	if d.Began {
		klog.InfoS("too little room: requests over their workspace's share are rejected", "service", q.Service, "waiting", room.Waiting,
			"slots", room.Slots, "expectedWait", d.Wait, "workspace", q.Workspace, "priority", q.Priority, "retryAfter", d.RetryAfter)
	}
	return &balance.Rejection{Reason: balance.OverShare, RetryAfter: d.RetryAfter}
}
