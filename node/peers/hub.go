package peers

import (
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
)

const (
	// hubTickInterval is the interval at which a hub checks which reports are due and on
	// which servers batch requests have to be preempted.
	hubTickInterval = 50 * time.Millisecond
	// rosterInterval is the interval of a hub's reports on the live instances, and
	// totalsInterval that of the first hub's reports on the load of the servers.
	rosterInterval = 500 * time.Millisecond
	totalsInterval = time.Second
	// rosterHistory is the age up to which changes are repeated in each roster, so that a
	// peer may miss a few of them.
	rosterHistory = 1800 * time.Millisecond
	// hubReportInterval is the interval of hub reports to peers that do not know rosters.
	hubReportInterval = 400 * time.Millisecond
	// hubWarmUp is the time for which a new hub grants no slots to batch requests: all
	// instances report their load to it within that time.
	hubWarmUp = maxReportInterval
)

// hubState is the state of an instance as a hub.
type hubState struct {
	// active is set while peers send load reports to this instance, since when.
	active bool
	since  time.Time
	// firstSince is when this instance began to rank first among the live ones, zero if it
	// does not.
	firstSince time.Time
	// tickedAt is the time of the last call of hubTick that was due.
	tickedAt time.Time
	roster   roster
}

// warm reports whether the hub has had the time to hear the load of all instances.
func (h *hubState) warm(now time.Time) bool {
	since := h.firstSince
	if h.active && (since.IsZero() || h.since.Before(since)) {
		since = h.since
	}
	return !since.IsZero() && now.Sub(since) >= hubWarmUp
}

// updateFirst records whether this instance ranks first among the live ones. The lock must
// be held.
func (g *Group) updateFirst(now time.Time, first bool) {
	switch {
	case !first:
		g.hub.firstSince = time.Time{}
	case g.hub.firstSince.IsZero():
		g.hub.firstSince = now
	}
}

// onLoadReport applies a peer's load report, which makes this instance a hub.
func (g *Group) onLoadReport(report *loadReport, from netip.AddrPort) {
	if report.Name == g.opt.Name {
		return
	}
	now := time.Now()
	g.mu.Lock()
	p := g.recordProcess(report.Name, report.Incarnation, from)
	if p == nil || g.peers[report.Name] == nil {
		g.mu.Unlock()
		return
	}
	p.Incarnation, p.reachesStore, p.protocol = report.Incarnation, report.ReachesStore, report.Protocol
	if report.Leaving {
		p.leavingIncarnation = report.Incarnation
	}
	isFirst := now.Sub(p.reportedAt) > heardTTL
	p.reportedAt = now
	becameHub := !g.hub.active
	if becameHub {
		g.hub.active, g.hub.since = true, now
	}
	loads := decodeLoads(report.Loads, g.serverIDs().byHash)
	g.mu.Unlock()
	if becameHub {
		klog.InfoS("acting as a hub", "firstStatementOf", report.Name)
		g.opt.View.RemoveHubTotal()
		g.wake()
	}
	g.opt.View.UpdatePeer(report.Name, report.Incarnation, loads, report.IncludedGrants)
	if isFirst {
		g.sendFullRoster(p, from)
	}
}

// onRates applies a peer's report on servers with a rate limit.
func (g *Group) onRates(report *rateReport, _ netip.AddrPort) {
	g.mu.Lock()
	rates := decodeRates(time.Now(), report.Servers, g.serverIDs().byHash)
	g.mu.Unlock()
	g.opt.View.UpdatePeerRates(report.Name, rates, report.IncludedGrants)
}

// onDepartures applies a peer's report on servers that state that they are leaving.
func (g *Group) onDepartures(report *departureReport, _ netip.AddrPort) {
	now := time.Now()
	g.mu.Lock()
	ids := g.serverIDs().byHash
	g.mu.Unlock()
	for _, d := range report.Servers {
		if id, ok := ids[d.Server]; ok {
			at := now.Add(-time.Duration(max(0, d.AgeMs)) * time.Millisecond)
			g.opt.View.RecordDeparture(serving.Departure{Server: id, Started: d.Started, At: at})
		}
	}
}

// hubTick sends a hub's reports that are due and preempts batch requests where a surplus
// lasts. It returns the time at which it has to be called next.
func (g *Group) hubTick(now time.Time) (next time.Time) {
	g.mu.Lock()
	if next = g.hub.tickedAt.Add(hubTickInterval); now.Before(next) {
		g.mu.Unlock()
		return next
	}
	g.hub.tickedAt = now
	g.hub.roster.update(now, g.heardInstances(now))
	g.updateReach(now)
	_, first := g.askedHub(now)
	var rosterTo, totalsTo, hubReportsTo []netip.AddrPort
	for _, p := range g.peers {
		if now.Sub(p.reportedAt) > heardTTL || !p.addrPort.IsValid() {
			continue
		}
		if p.protocol < protocolRosters {
			if now.Sub(p.rosterSentAt) >= hubReportInterval {
				p.rosterSentAt = now
				hubReportsTo = append(hubReportsTo, p.addrPort)
			}
			continue
		}
		if now.Sub(p.rosterSentAt) >= rosterInterval {
			p.rosterSentAt = now
			rosterTo = append(rosterTo, p.addrPort)
		}
		if first && now.Sub(p.totalsSentAt) >= totalsInterval {
			p.totalsSentAt = now
			totalsTo = append(totalsTo, p.addrPort)
		}
	}
	roster := g.hub.roster.changesSince(now.Add(-rosterHistory))
	roster.Name, roster.Incarnation = g.opt.Name, g.opt.Incarnation
	servers := g.serverIDs()
	g.mu.Unlock()
	if len(rosterTo) > 0 {
		roster.Blocked = g.containment.blockedWhole(now)
		g.send(kindRoster, roster, rosterTo...)
		g.sendContainment(now, rosterTo...)
	}
	if len(totalsTo) > 0 {
		g.send(kindTotals, servers.encodeTotals(g.opt.Name, g.opt.View.TotalLoad()), totalsTo...)
	}
	if len(hubReportsTo) > 0 {
		g.sendHubReport(hubReportsTo)
	}
	if first {
		for _, server := range g.opt.View.PreemptionCandidates() {
			g.preempt(&preemption{}, server)
		}
	}
	return now.Add(hubTickInterval)
}

// heardInstances returns the instances from which this one receives datagrams and which
// are not leaving, itself included, by the hash of their names. The lock must be held.
func (g *Group) heardInstances(now time.Time) map[uint32]liveInstance {
	list := make(map[uint32]liveInstance, len(g.peers)+1)
	if !g.leaving {
		name := hash(g.opt.Name)
		list[name] = liveInstance{Name: name, Incarnation: g.opt.Incarnation, ReachesStore: g.reachesStore}
	}
	for h, p := range g.peersByHash {
		if now.Sub(p.heardAt) < heardTTL && !p.leaving() {
			list[h] = liveInstance{Name: h, Incarnation: p.Incarnation, ReachesStore: p.reachesStore}
		}
	}
	return list
}

// sendFullRoster sends the list of live instances, or a hub report if the peer does not
// know rosters.
func (g *Group) sendFullRoster(p *peer, to netip.AddrPort) {
	now := time.Now()
	g.mu.Lock()
	supported := p.protocol >= protocolRosters
	g.hub.roster.update(now, g.heardInstances(now))
	full := g.hub.roster.full()
	full.Name, full.Incarnation = g.opt.Name, g.opt.Incarnation
	g.mu.Unlock()
	if !supported {
		g.sendHubReport([]netip.AddrPort{to})
		return
	}
	full.Blocked = g.containment.blockedWhole(now)
	g.send(kindRoster, full, to)
	g.sendContainment(now, to)
}

// onRosterRequest sends the list of live instances to a peer that missed changes of it.
func (g *Group) onRosterRequest(request *rosterRequest, from netip.AddrPort) {
	g.mu.Lock()
	p := g.recordHeard(request.Name, from)
	p.protocol = max(p.protocol, protocolRosters)
	g.mu.Unlock()
	g.sendFullRoster(p, from)
}

// onRoster applies a hub's report on the live instances.
func (g *Group) onRoster(report *rosterReport, from netip.AddrPort) {
	now := time.Now()
	g.mu.Lock()
	p := g.recordProcess(report.Name, report.Incarnation, from)
	if p == nil {
		g.mu.Unlock()
		return
	}
	complete := p.roster.apply(report)
	for h, i := range p.roster.members {
		if listed := g.peersByHash[h]; listed != nil {
			listed.listedAt, listed.Incarnation, listed.reachesStore = now, i.Incarnation, i.ReachesStore
		} else if h != hash(g.opt.Name) {
			g.entriesMissing = true
		}
	}
	ask := !complete && now.Sub(p.rosterAskedAt) >= rosterRequestInterval
	if ask {
		p.rosterAskedAt = now
	}
	g.mu.Unlock()
	if ask {
		g.send(kindRosterRequest, &rosterRequest{Name: g.opt.Name}, from)
	}
}

// onTotals applies a hub's report on the load of the servers.
func (g *Group) onTotals(report *totals, from netip.AddrPort) {
	g.mu.Lock()
	g.recordHeard(report.Name, from)
	isHub := g.hub.active
	loads, ok := g.serverIDs().decodeTotals(report)
	g.mu.Unlock()
	if ok && !isHub {
		g.opt.View.UpdateHubTotal(loads)
	}
}

// sendHubReport sends the load of the servers and the live instances to peers that do not
// know rosters.
func (g *Group) sendHubReport(to []netip.AddrPort) {
	now := time.Now()
	report := &hubReport{Name: g.opt.Name, Loads: encodeLoads(g.opt.View.TotalLoad())}
	g.mu.Lock()
	for _, i := range g.heardInstances(now) {
		report.LiveInstances = append(report.LiveInstances, i)
	}
	g.mu.Unlock()
	report.Blocked = g.containment.blockedWhole(now)
	g.send(kindHubReport, report, to...)
}

// onHubReport applies a report of a hub that does not know rosters.
func (g *Group) onHubReport(report *hubReport, from netip.AddrPort) {
	now := time.Now()
	g.mu.Lock()
	g.recordHeard(report.Name, from)
	for _, i := range report.LiveInstances {
		if p := g.peersByHash[i.Name]; p != nil {
			p.listedAt, p.Incarnation, p.reachesStore = now, i.Incarnation, i.ReachesStore
		}
	}
	isHub := g.hub.active
	loads := decodeLoads(report.Loads, g.serverIDs().byHash)
	g.mu.Unlock()
	if !isHub {
		g.opt.View.UpdateHubTotal(loads)
	}
}

// preempt preempts one batch request on a server: one of this instance or, if it has none
// there, one of the peer that reports the most.
func (g *Group) preempt(order *preemption, server string) {
	order.Server = hash(server)
	g.opt.View.RecordPreemption(server)
	if g.preemptOwn(order) {
		return
	}
	name := g.opt.View.PeerWithMostBatch(server)
	g.mu.Lock()
	var to netip.AddrPort
	if p := g.peers[name]; p != nil {
		to = p.addrPort
	}
	g.mu.Unlock()
	if to.IsValid() {
		g.send(kindPreemption, order, to)
	}
}

// preemptOwn preempts a batch request of this instance, unless the order was carried out
// before. It reports whether there was one.
func (g *Group) preemptOwn(order *preemption) bool {
	now := time.Now()
	server := g.serverID(order.Server)
	g.mu.Lock()
	repeated := g.preemptions.isRepeated(now, order)
	g.mu.Unlock()
	if repeated || !g.opt.OnPreempt(server) {
		return false
	}
	g.mu.Lock()
	g.preemptions.record(now, order)
	g.mu.Unlock()
	return true
}

// onServerRequest picks a server for a request of a peer that does not know placement requests,
// and replies with a grant.
func (g *Group) onServerRequest(request *serverRequest, from netip.AddrPort) {
	g.mu.Lock()
	g.recordHeard(request.Name, from)
	g.mu.Unlock()
	choice, rejection := g.placeForPeer(request, 0, request.query())
	reply := &grant{Sequence: request.Sequence}
	if rejection == nil {
		reply.Server = hash(choice.Server.ID)
	}
	g.send(kindGrant, reply, from)
	g.preemptFor(request, choice)
}

// onPlacementRequest picks a server for a peer's request and replies with a placement.
func (g *Group) onPlacementRequest(request *placementRequest, from netip.AddrPort) {
	g.mu.Lock()
	p := g.recordProcess(request.Request.Name, request.Incarnation, from)
	g.mu.Unlock()
	if p == nil {
		return
	}
	q := request.query()
	recent, counted, rejection := g.grantQuota(&request.Request, &q)
	var choice balance.Choice
	if rejection == nil {
		choice, rejection = g.placeForPeer(&request.Request, request.Incarnation, q)
		if rejection != nil && counted {
			g.dropQuotaGrant(&request.Request)
		}
	}
	reply := newPlacement(request.Request.Sequence, choice, rejection)
	reply.Recent = recent
	g.send(kindPlacement, reply, from)
	g.preemptFor(&request.Request, choice)
}

// placeForPeer picks a server for a peer's request and counts the request there. The incarnation is that of
// the peer's process, zero if not known. The choice has no server if there is a rejection.
func (g *Group) placeForPeer(request *serverRequest, incarnation uint32, q balance.Query) (balance.Choice, *balance.Rejection) {
	// The peer could take the hash of an ambiguous server for that of another one.
	if ambiguous := g.ambiguousServers(); len(request.Avoid)+len(ambiguous) > 0 {
		q.Tried = map[string]bool{}
		for _, id := range ambiguous {
			q.Tried[id] = true
		}
		for _, h := range request.Avoid {
			q.Tried[g.serverID(h)] = true
		}
	}
	now := time.Now()
	g.mu.Lock()
	warm := g.hub.warm(now)
	g.mu.Unlock()
	if !warm && request.Class == balance.Batch {
		return balance.Choice{}, &balance.Rejection{}
	}
	if rejection := g.checkShare(&q); rejection != nil {
		return balance.Choice{}, rejection
	}
	choice, ok := g.opt.View.PickForPeer(request.Name, incarnation, request.Sequence, q)
	if !ok {
		return balance.Choice{}, g.opt.View.Rejection(q)
	}
	return choice, nil
}

// preemptFor preempts a batch request for a peer's request, if its choice needs that.
func (g *Group) preemptFor(request *serverRequest, choice balance.Choice) {
	if choice.Server != nil && choice.Preempt && request.Class == balance.Online {
		g.preempt(&preemption{Requester: hash(request.Name), Sequence: request.Sequence}, choice.Server.ID)
	}
}
