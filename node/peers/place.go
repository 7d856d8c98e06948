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
// the server if it replies in time, otherwise this instance does. Place returns no lease, but
// the reason, if the request gets no server.
func (g *Group) Place(q balance.Query) (*fleet.Lease, *balance.Rejection) {
	q.DataCentre, q.Requester = g.opt.DataCentre, g.opt.Name
	hub, self, warm := g.currentHub()
	switch {
	case self && q.Class == balance.Batch && !warm:
		return nil, &balance.Rejection{}
	case self:
		return g.placeAsHub(q)
	}
	decided := false // by a hub
	if hub != nil {
		lease, rejection := g.askHub(hub, q)
		if lease != nil || rejection != nil && (rejection.Reason != balance.NoServer || q.Class == balance.Batch) {
			return lease, rejection
		}
		decided = rejection != nil
	}
	if q.Class == balance.Batch {
		// No slot is free, or no hub has replied. Only a hub knows which slots are granted, so
		// the request waits until another instance is the hub, a few seconds at most.
		return nil, &balance.Rejection{}
	}
	q.Instances = len(g.Alive()) + 1
	if !decided {
		if rejection := g.admitAlone(&q); rejection != nil {
			return g.askStandby(hub, q, rejection)
		}
	}
	if rejection := g.checkShare(&q); rejection != nil {
		return nil, rejection
	}
	return g.pickCharged(q)
}

// pick picks a server by this instance's own view.
func (g *Group) pick(q balance.Query) (*fleet.Lease, *balance.Rejection) {
	lease, ok := g.opt.View.Pick(q)
	if !ok {
		return nil, g.opt.View.Rejection(q)
	}
	return lease, nil
}

// placeAsHub picks a server for a request of this instance, which is the hub.
func (g *Group) placeAsHub(q balance.Query) (*fleet.Lease, *balance.Rejection) {
	q.CompleteView = true
	if rejection := g.admitAsHub(&q); rejection != nil {
		return nil, rejection
	}
	rejection := g.checkShare(&q)
	var lease *fleet.Lease
	if rejection == nil {
		lease, rejection = g.pick(q)
	}
	if rejection != nil {
		if !q.Charged {
			g.ReturnQuota(q)
		}
		return nil, rejection
	}
	lease.Picker = g.opt.Name
	if lease.Preempt && q.Class == balance.Online {
		g.mu.Lock()
		g.lastSequence++
		order := &preemption{Requester: hash(g.opt.Name), Sequence: g.lastSequence}
		g.mu.Unlock()
		g.preempt(order, lease.Server.ID)
	}
	return lease, nil
}

// currentHub returns the hub to ask, or nil if there is none. If this instance itself is the
// hub, self is set, and warm if it knows the load of all instances.
func (g *Group) currentHub() (hub *peer, self, warm bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	hub, self = g.askedHub(now)
	g.updateFirst(now, self)
	return hub, self, g.hub.warm(now)
}

// askHub asks a hub for a server. It returns no lease, and the reason if the hub gave one, if the
// hub has no server for the request, picks one that this instance would not use, or does not
// reply.
func (g *Group) askHub(hub *peer, q balance.Query) (*fleet.Lease, *balance.Rejection) {
	var avoid []uint32
	for _, id := range g.opt.View.ServersToAvoid(q) {
		avoid = append(avoid, hash(id))
	}
	replies := make(chan placement, 1)
	g.mu.Lock()
	to, protocol := hub.addrPort, hub.protocol
	g.lastSequence++
	sequence := g.lastSequence
	g.pending[sequence] = replies
	g.mu.Unlock()
	if !to.IsValid() {
		g.finishRequest(hub, sequence, false)
		return nil, nil
	}
	request := &serverRequest{
		Name: g.opt.Name, Sequence: sequence, Service: q.Service, Class: q.Class, AtMostOnce: q.AtMostOnce, Headroom: q.Headroom, Avoid: avoid, DataCentre: q.DataCentre,
		SlackMs: q.Slack.Milliseconds(), LeftMs: q.Left.Milliseconds(), RunMs: q.RunTime.Milliseconds(),
	}
	if protocol >= protocolPlacements {
		placementRequest := newPlacementRequest(request, &q)
		placementRequest.Incarnation = g.opt.Incarnation
		g.send(kindPlacementRequest, placementRequest, to)
	} else {
		g.send(kindServerRequest, request, to)
	}
	timer := time.NewTimer(hubTimeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		g.recordHubReply(hub, true)
		return g.acceptPlacement(hub, &reply, q)
	case <-timer.C:
		g.recordHubReply(hub, false)
		g.finishRequest(hub, sequence, true)
		return nil, nil
	}
}

// acceptPlacement counts a request on the slot that a hub granted. It returns no lease if the
// hub has no server, with the reason, or picks one that this instance would not use.
func (g *Group) acceptPlacement(hub *peer, reply *placement, q balance.Query) (*fleet.Lease, *balance.Rejection) {
	server := g.serverID(reply.Server)
	// A load report that includes the grant must include the request and the reverse, or
	// the hub would count it not at all or twice.
	g.mu.Lock()
	lease, ok := g.opt.View.AcceptPick(server, q)
	g.recordQuotaReply(&q, reply.Recent, ok)
	delete(g.pending, reply.Sequence)
	g.mu.Unlock()
	switch {
	case ok:
		lease.Picker = hub.name
		return lease, nil
	case reply.Server != 0:
		g.finishRequest(hub, reply.Sequence, true)
		return nil, &balance.Rejection{}
	}
	return nil, reply.rejection()
}

// finishRequest ends a request to a hub without a lease. If the hub may have granted a slot,
// the next load report, which is due early, tells it that the slot is not used.
func (g *Group) finishRequest(hub *peer, sequence uint64, mayBeGranted bool) {
	g.mu.Lock()
	delete(g.pending, sequence)
	hub.holdsUnusedGrant = hub.holdsUnusedGrant || mayBeGranted
	g.mu.Unlock()
	if mayBeGranted {
		g.wake()
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

// onGrant passes the grant of a hub that does not know placement requests to the request that
// waits for it.
func (g *Group) onGrant(reply *grant, from netip.AddrPort) {
	g.onPlacement(&placement{Sequence: reply.Sequence, Server: reply.Server}, from)
}

// onPlacement passes a placement to the request that waits for it.
func (g *Group) onPlacement(reply *placement, _ netip.AddrPort) {
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
