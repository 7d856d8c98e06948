package peers

import (
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
)

const (
	// askLimit is the longest wait for a hub's answer. A round trip takes 1 to 2 ms,
	// and a server's answer some ten times that.
	askLimit = 12 * time.Millisecond
	// unansweredMost questions in a row without an answer suspend a hub for
	// suspension.
	unansweredMost = 2
	suspension     = 500 * time.Millisecond
)

// Place chooses a server for a request: by the hub's figures when one answers, by
// this instance's own otherwise. It returns false when there is no server.
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
	lease, answered := g.ask(hub, q)
	if lease != nil {
		return lease, true
	}
	if answered && q.Class == balance.Batch {
		return nil, false // no server has a free slot
	}
	return g.opt.View.Pick(q)
}

// currentHub returns the hub to ask; nil when there is none, with self when this
// instance is the hub.
func (g *Group) currentHub() (hub *peer, self bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range first(g.ranking(now, false), hubs) {
		if name == g.opt.Name {
			return nil, true
		}
		if p := g.peers[name]; now.After(p.suspended) {
			return p, false
		}
	}
	return nil, false
}

// ask asks a hub for a server. It returns no lease when the hub knows no server, or
// one that this instance does not use, or does not answer.
func (g *Group) ask(hub *peer, q balance.Query) (lease *fleet.Lease, answered bool) {
	var avoid []uint32
	for _, id := range g.opt.View.ServersToAvoid(q) {
		avoid = append(avoid, hash(id))
	}
	reply := make(chan grant, 1)
	g.mu.Lock()
	to, ok := hub.to()
	g.sequence++
	sequence := g.sequence
	g.open[sequence] = reply
	g.mu.Unlock()
	// The question counts as open until the lease is counted here, so that no
	// statement claims to show a grant that it does not.
	defer func() {
		g.mu.Lock()
		delete(g.open, sequence)
		g.mu.Unlock()
	}()
	if !ok {
		return nil, false
	}
	g.send(kindAsk, &ask{
		Name: g.opt.Name, Sequence: sequence, Service: q.Service, Class: q.Class, Once: q.AtMostOnce, Headroom: q.Headroom, Avoid: avoid, Home: q.DataCentre,
		SlackMs: q.Slack.Milliseconds(),
	}, []netip.AddrPort{to})
	timer := time.NewTimer(askLimit)
	defer timer.Stop()
	select {
	case r := <-reply:
		g.answered(hub, true)
		lease, _ = g.opt.View.AcceptPick(g.serverID(r.Server), q)
		return lease, true
	case <-timer.C:
		g.answered(hub, false)
		return nil, false
	}
}

// answered records whether a hub answered a question.
func (g *Group) answered(hub *peer, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ok {
		hub.unanswered = 0
		return
	}
	if hub.unanswered++; hub.unanswered >= unansweredMost {
		hub.unanswered = 0
		hub.suspended = time.Now().Add(suspension)
		klog.InfoS("hub suspended", "peer", hub.name, "for", suspension)
	}
}

// seen returns the sequence number up to which no question is open. The lock is
// held.
func (g *Group) seen() uint64 {
	seen := g.sequence
	for sequence := range g.open {
		seen = min(seen, sequence-1)
	}
	return seen
}

// onAsk answers a peer's question.
func (g *Group) onAsk(a *ask, from netip.AddrPort) {
	q := balance.Query{
		Service: a.Service, Class: a.Class, AtMostOnce: a.Once, Headroom: a.Headroom, DataCentre: a.Home, CompleteView: true, Tried: map[string]bool{},
		Slack: time.Duration(a.SlackMs) * time.Millisecond, Requester: a.Name,
	}
	for _, h := range a.Avoid {
		q.Tried[g.serverID(h)] = true
	}
	g.mu.Lock()
	g.hear(a.Name, from)
	g.mu.Unlock()
	choice, ok := g.opt.View.PickForPeer(a.Name, a.Sequence, q)
	answer := &grant{Sequence: a.Sequence}
	if ok {
		answer.Server = hash(choice.Server.ID)
	}
	g.send(kindGrant, answer, []netip.AddrPort{from})
	if ok && choice.Preempt && a.Class == balance.Online {
		g.Preempt(choice.Server.ID)
	}
}

// onGrant passes an answer to the question that waits for it.
func (g *Group) onGrant(r *grant, _ netip.AddrPort) {
	g.mu.Lock()
	reply := g.open[r.Sequence]
	g.mu.Unlock()
	if reply == nil {
		return // the question was given up
	}
	select {
	case reply <- *r:
	default: // a doubled datagram
	}
}
