package peers

import (
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
)

const (
	// hubTimeout is the timeout for a hub's reply. A round trip takes 1 to 2 ms, and a
	// server's response some ten times that.
	hubTimeout = 12 * time.Millisecond
	// After maxUnanswered requests in a row without a reply, a hub is not asked for
	// suspensionTime.
	maxUnanswered  = 2
	suspensionTime = 500 * time.Millisecond
)

// Place picks a server for a request and counts the request in flight there. The hub picks
// the server if it replies in time, otherwise this instance does. Place returns false if no
// server can take the request.
func (g *Group) Place(q balance.Query) (*fleet.Lease, bool) {
	q.DataCentre, q.Requester = g.opt.DataCentre, g.opt.Name
	hub, self := g.currentHub()
	if hub == nil {
		q.CompleteView = self
		lease, ok := g.opt.View.Pick(q)
		if ok && self && lease.Preempt && q.Class == balance.Online {
			g.Preempt(lease.Server.ID)
		}
		return lease, ok
	}
	lease, replied := g.askHub(hub, q)
	if lease != nil {
		return lease, true
	}
	if replied && q.Class == balance.Batch {
		return nil, false // no server has a free slot
	}
	return g.opt.View.Pick(q)
}

// currentHub returns the hub to ask, or nil if there is none; self is set if this
// instance itself is the hub.
func (g *Group) currentHub() (hub *peer, self bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range firstN(g.rankedHubs(now, false), hubCount) {
		if name == g.opt.Name {
			return nil, true
		}
		if p := g.peers[name]; now.After(p.suspendedUntil) {
			return p, false
		}
	}
	return nil, false
}

// askHub asks a hub for a server. It returns no lease if the hub has no server for the
// request, picks one that this instance would not use, or does not reply.
func (g *Group) askHub(hub *peer, q balance.Query) (lease *fleet.Lease, replied bool) {
	var avoid []uint32
	for _, id := range g.opt.View.ServersToAvoid(q) {
		avoid = append(avoid, hash(id))
	}
	replies := make(chan grant, 1)
	g.mu.Lock()
	to, ok := hub.addrPort()
	g.lastSequence++
	sequence := g.lastSequence
	g.pending[sequence] = replies
	g.mu.Unlock()
	// The request is pending until the lease is counted here, so that no load report
	// claims to include a grant that it does not include.
	defer func() {
		g.mu.Lock()
		delete(g.pending, sequence)
		g.mu.Unlock()
	}()
	if !ok {
		return nil, false
	}
	g.send(kindServerRequest, &serverRequest{
		Name: g.opt.Name, Sequence: sequence, Service: q.Service, Class: q.Class, AtMostOnce: q.AtMostOnce, Headroom: q.Headroom, Avoid: avoid, DataCentre: q.DataCentre,
		SlackMs: q.Slack.Milliseconds(),
	}, []netip.AddrPort{to})
	timer := time.NewTimer(hubTimeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		g.recordHubReply(hub, true)
		lease, _ = g.opt.View.AcceptPick(g.serverID(reply.Server), q)
		return lease, true
	case <-timer.C:
		g.recordHubReply(hub, false)
		return nil, false
	}
}

// recordHubReply records whether a hub replied to a request.
func (g *Group) recordHubReply(hub *peer, replied bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if replied {
		hub.unanswered = 0
		return
	}
	if hub.unanswered++; hub.unanswered >= maxUnanswered {
		hub.unanswered = 0
		hub.suspendedUntil = time.Now().Add(suspensionTime)
		klog.InfoS("hub suspended", "peer", hub.name, "for", suspensionTime)
	}
}

// includedGrants returns the sequence number up to which no request to a hub is pending.
// The lock must be held.
func (g *Group) includedGrants() uint64 {
	included := g.lastSequence
	for sequence := range g.pending {
		included = min(included, sequence-1)
	}
	return included
}

// onServerRequest picks a server for a peer's request and replies with a grant.
func (g *Group) onServerRequest(request *serverRequest, from netip.AddrPort) {
	q := balance.Query{
		Service: request.Service, Class: request.Class, AtMostOnce: request.AtMostOnce, Headroom: request.Headroom, DataCentre: request.DataCentre, CompleteView: true, Tried: map[string]bool{},
		Slack: time.Duration(request.SlackMs) * time.Millisecond, Requester: request.Name,
	}
	for _, h := range request.Avoid {
		q.Tried[g.serverID(h)] = true
	}
	g.mu.Lock()
	g.recordHeard(request.Name, from)
	g.mu.Unlock()
	choice, ok := g.opt.View.PickForPeer(request.Name, request.Sequence, q)
	reply := &grant{Sequence: request.Sequence}
	if ok {
		reply.Server = hash(choice.Server.ID)
	}
	g.send(kindGrant, reply, []netip.AddrPort{from})
	if ok && choice.Preempt && request.Class == balance.Online {
		g.Preempt(choice.Server.ID)
	}
}

// onGrant passes a grant to the request that waits for it.
func (g *Group) onGrant(reply *grant, _ netip.AddrPort) {
	g.mu.Lock()
	replies := g.pending[reply.Sequence]
	g.mu.Unlock()
	if replies == nil {
		return // the request has timed out
	}
	select {
	case replies <- *reply:
	default: // a duplicate datagram
	}
}
