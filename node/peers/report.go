package peers

import (
	"context"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/internal/guard"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
)

const (
	// minReportInterval is the minimum interval of load reports to the hub that is asked
	// for servers, standbyReportInterval that to the other hub, and maxReportInterval the
	// interval while nothing changes.
	minReportInterval     = 20 * time.Millisecond
	standbyReportInterval = 100 * time.Millisecond
	maxReportInterval     = 300 * time.Millisecond
	// candidateReportInterval is the interval of load reports to the instances that would
	// rank first if they were live.
	candidateReportInterval = 2 * time.Second
	// maxLoggedPeers is the number of peers that are lost or regained at once and named in
	// the log.
	maxLoggedPeers = 5
	// livenessInterval is the interval at which peers are checked for being lost.
	livenessInterval = 250 * time.Millisecond
	// maxPause is the time without a check of the peers after which this instance stood still.
	maxPause = time.Second
)

// reportVersion identifies what a load report says.
type reportVersion struct {
	load  balance.LoadVersion
	state uint64
}

// SendReports sends load reports and, on a hub, reports to the peers until ctx is done.
func (g *Group) SendReports(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-g.wakeups:
		}
		next := time.Now().Add(livenessInterval)
		guard.Run("reports to peers", func() { next = g.tick() })
		timer.Reset(time.Until(next))
	}
}

// tick sends the reports that are due and, on a hub, preempts batch requests. It returns
// the time at which it has to be called next, unless the load changes before.
func (g *Group) tick() (next time.Time) {
	now := time.Now()
	reachesStore := g.opt.ReachesStore == nil || g.opt.ReachesStore()
	g.mu.Lock()
	if reachesStore != g.reachesStore {
		g.reachesStore = reachesStore
		g.stateVersion++
	}
	if now.Sub(g.livenessCheckedAt) >= livenessInterval {
		g.recordPause(now)
		g.livenessCheckedAt = now
		g.updateLiveness(now)
		g.updateQuotas(now)
		if !g.hub.active {
			g.updateReach(now)
		}
		g.preemptions.expire(now)
	}
	next = g.livenessCheckedAt.Add(livenessInterval)
	version := reportVersion{g.opt.View.LoadVersion(), g.stateVersion}
	due, nextReport := g.loadReportsDue(now, version)
	next = earlier(next, nextReport)
	var report *loadReport
	var rates *rateReport
	var departures []serving.Departure
	if len(due) > 0 {
		report = &loadReport{
			Name: g.opt.Name, Incarnation: g.opt.Incarnation, Leaving: g.leaving, IncludedGrants: g.includedGrants(),
			ReachesStore: reachesStore, Protocol: currentProtocol, Loads: encodeLoads(g.opt.View.OwnLoad()),
		}
		departures = g.opt.View.OwnDepartures(now)
		if own := g.opt.View.OwnRates(); len(own) > 0 {
			rates = &rateReport{Name: g.opt.Name, IncludedGrants: report.IncludedGrants, Servers: encodeRates(now, own)}
		}
	}
	nextPaces, pacesTo, paces := g.pacesDue(now)
	next = earlier(next, nextPaces)
	isHub := g.hub.active
	quotaReports := g.quotaReportsDue(now)
	g.mu.Unlock()
	if paces != nil {
		g.send(kindPaces, paces, pacesTo)
	}
	g.sendQuotaReports(quotaReports)
	if report != nil {
		g.send(kindLoadReport, report, due...)
	}
	if rates != nil {
		g.send(kindRates, rates, due...)
	}
	if len(departures) > 0 {
		g.send(kindDepartures, &departureReport{Name: g.opt.Name, Servers: encodeDepartures(now, departures)}, due...)
	}
	g.resendBreaks(now)
	if isHub {
		next = earlier(next, g.hubTick(now))
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// loadReportsDue returns the addresses to which a load report is due, which it records as
// sent, and the time at which the next one is due. The lock must be held.
func (g *Group) loadReportsDue(now time.Time, version reportVersion) (due []netip.AddrPort, next time.Time) {
	next = now.Add(maxReportInterval)
	add := func(p *peer, interval time.Duration) {
		if p == nil {
			return
		}
		if at := p.reportSentAt.Add(interval); now.Before(at) {
			next = earlier(next, at)
			return
		}
		if p.addrPort.IsValid() {
			p.reportSentAt, p.sentVersion, p.holdsUnusedGrant = now, version, false
			due = append(due, p.addrPort)
		}
	}
	asked, self := g.askedHub(now)
	g.updateFirst(now, self)
	for _, name := range g.liveHubs(now) {
		p := g.peers[name]
		if p == nil {
			continue // this instance
		}
		interval := maxReportInterval
		switch {
		case p.holdsUnusedGrant, p.sentVersion.state != version.state, p == asked && p.sentVersion.load.Ends != version.load.Ends:
			interval = minReportInterval
		case p.sentVersion.load.Changes != version.load.Changes:
			interval = standbyReportInterval
		}
		add(p, interval)
	}
	for _, name := range g.rankedHubs() {
		add(g.peers[name], candidateReportInterval)
	}
	return due, next
}

// updateLiveness logs the peers that are lost or regained, drops the load of peers that no
// longer report, and ends the hub role if no peer reports. The lock must be held.
func (g *Group) updateLiveness(now time.Time) {
	hasReports := false
	lost, regained := 0, 0
	for name, p := range g.peers {
		if live := p.live(now); live != p.loggedLive {
			p.loggedLive = live
			message := "dependency regained"
			if live {
				regained++
			} else {
				message = "dependency lost"
				lost++
			}
			if lost+regained <= maxLoggedPeers {
				klog.InfoS(message, "dependency", "peer", "peer", name, "incarnation", p.Incarnation)
			}
		}
		if now.Sub(p.reportedAt) < heardTTL {
			hasReports = true
		} else if !p.reportedAt.IsZero() {
			p.reportedAt = time.Time{}
			g.opt.View.RemovePeer(name)
		}
	}
	if lost+regained > maxLoggedPeers {
		klog.InfoS("many peers lost or regained", "lost", lost, "regained", regained, "known", len(g.peers))
	}
	if g.hub.active && !hasReports {
		g.hub.active = false
		klog.InfoS("no longer acting as a hub")
	}
}
