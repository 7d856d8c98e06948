package peers

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
	"github.com/jacinthnotch/jacinthnotch/policy/pathselect"
	"github.com/jacinthnotch/jacinthnotch/policy/poison"
)

// Instance is an instance's entry in the store.
type Instance struct {
	// Address is the IP:PORT at which it receives datagrams and, over TCP, calls.
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	// Cores is the number of cores of its host.
	Cores float64 `json:"cores"`
	// Incarnation changes each time the instance starts.
	Incarnation uint32 `json:"incarnation"`
}

const (
	// tickInterval is the interval at which the instance checks which reports are due.
	tickInterval = 10 * time.Millisecond
	// minReportInterval is the minimum interval of load reports to a hub, and
	// maxReportInterval the interval while nothing changes.
	minReportInterval = 20 * time.Millisecond
	maxReportInterval = 300 * time.Millisecond
	// hubReportInterval is the interval of a hub's reports.
	hubReportInterval = 400 * time.Millisecond
	// candidateReportInterval is the interval of load reports to the instances that would
	// rank first if they were live.
	candidateReportInterval = 2 * time.Second
	// preemptionInterval is the interval at which a hub looks for servers on which batch
	// requests have to be preempted.
	preemptionInterval = 100 * time.Millisecond
	// peerTTL is how long an instance is kept after the last sign of it. Its entry in the
	// store is then removed.
	peerTTL = 60 * time.Second
	// announceRetryDelay is the pause after the instance's entry could not be read or was
	// not published yet.
	announceRetryDelay = 500 * time.Millisecond
	// maxDatagramBytes is the maximum size of a datagram. The hub report of a fleet of 390
	// instances and 740 servers takes 21 KB.
	maxDatagramBytes = 64 << 10
	// maxReportedBlocked limits the blocked requests in a hub report.
	maxReportedBlocked = 64
)

// Options are the options of a Group.
type Options struct {
	Name, DataCentre string
	// Cores is the number of cores of the host.
	Cores       float64
	Incarnation uint32
	// Listen is the IP:PORT at which the instance receives datagrams.
	Listen string
	View   *fleet.View
	Feed   port.Feed[Instance]
	// ReachesStore reports whether this instance's own path to the store is up; nil means
	// that it always is.
	ReachesStore func() bool
	// OnPreempt preempts one batch request of this instance on a server. It returns false
	// if the instance has none there.
	OnPreempt func(server string) bool
}

// Group is the set of all instances, as known to one of them. It is safe for concurrent
// use.
type Group struct {
	opt  Options
	conn *net.UDPConn

	mu sync.Mutex
	// peers holds the other instances by name, and peersByHash by the hash of the name.
	peers       map[string]*peer
	peersByHash map[uint32]*peer
	// lastLoad is this instance's load at the last check, and lastChange the time at which
	// the load or reachesStore last changed.
	lastLoad       map[string]balance.Load
	lastChange     time.Time
	lastPreemption time.Time
	// isHub is set while peers send load reports to this instance.
	isHub bool
	// leaving is set once the instance is draining.
	leaving bool
	// reachesStore is whether this instance's own path to the store was up at the last
	// check.
	reachesStore bool
	lastSequence uint64
	// pending holds the requests to hubs that have no reply yet, by sequence number.
	pending map[uint64]chan grant
	// serversByHash holds the ids of the registered servers by their hashes.
	serversByHash map[uint32]string
	tracker       *poison.Tracker
}

// NewGroup returns the group of an instance and opens its datagram socket.
func NewGroup(opt Options) (*Group, error) {
	address, err := net.ResolveUDPAddr("udp4", opt.Listen)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, err
	}
	return &Group{
		opt: opt, conn: conn, peers: map[string]*peer{}, peersByHash: map[uint32]*peer{},
		pending: map[uint64]chan grant{}, serversByHash: map[uint32]string{}, tracker: poison.NewTracker(),
	}, nil
}

// Receive handles datagrams until ctx is done, and closes the socket then.
func (g *Group) Receive(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = g.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := g.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				klog.InfoS("receiving datagram failed", "err", err)
			}
			continue
		}
		if err := g.receive(buffer[:n], from); err != nil {
			klog.InfoS("datagram ignored", "from", from.String(), "err", err)
		}
	}
}

func (g *Group) receive(raw []byte, from netip.AddrPort) error {
	if len(raw) == 0 {
		return errEmptyDatagram
	}
	switch kind(raw[0]) {
	case kindLoadReport:
		return handle(raw, from, g.onLoadReport)
	case kindHubReport:
		return handle(raw, from, g.onHubReport)
	case kindServerRequest:
		return handle(raw, from, g.onServerRequest)
	case kindGrant:
		return handle(raw, from, g.onGrant)
	case kindRequestOutcome:
		return handle(raw, from, func(o *requestOutcome, _ netip.AddrPort) { g.applyOutcome(o) })
	case kindPreemption:
		return handle(raw, from, func(p *preemption, _ netip.AddrPort) { g.opt.OnPreempt(g.serverID(p.Server)) })
	}
	return errors.New("peers: datagram of unknown kind")
}

// handle decodes a datagram and passes its body to f.
func handle[T any](raw []byte, from netip.AddrPort, f func(*T, netip.AddrPort)) error {
	message, err := decode[T](raw)
	if err == nil {
		f(message, from)
	}
	return err
}

// getOrCreatePeer returns the peer of a name, which it adds if it is new. The lock must be
// held.
func (g *Group) getOrCreatePeer(name string, now time.Time) *peer {
	p := g.peers[name]
	if p == nil {
		p = &peer{name: name, discoveredAt: now}
		g.peers[name] = p
		g.peersByHash[hash(name)] = p
	}
	return p
}

// recordHeard records a datagram of a peer. The lock must be held.
func (g *Group) recordHeard(name string, from netip.AddrPort) *peer {
	now := time.Now()
	p := g.getOrCreatePeer(name, now)
	p.heardAt, p.Address = now, from.String()
	return p
}

// onLoadReport applies a peer's load report, which makes this instance a hub.
func (g *Group) onLoadReport(report *loadReport, from netip.AddrPort) {
	if report.Name == g.opt.Name {
		return
	}
	now := time.Now()
	g.mu.Lock()
	p := g.recordHeard(report.Name, from)
	p.Incarnation, p.leaving, p.reachesStore = report.Incarnation, report.Leaving, report.ReachesStore
	isFirst := now.Sub(p.reportedAt) > heardTTL
	p.reportedAt = now
	becameHub := !g.isHub
	g.isHub = true
	loads := decodeLoads(report.Loads, g.serverIDs(report.Loads))
	g.mu.Unlock()
	if becameHub {
		klog.InfoS("acting as a hub", "firstStatementOf", report.Name)
		g.opt.View.RemoveHubTotal()
	}
	g.opt.View.UpdatePeer(report.Name, loads, report.IncludedGrants)
	if isFirst {
		g.sendHubReport([]netip.AddrPort{from})
	}
}

// onHubReport applies a hub's report on all instances.
func (g *Group) onHubReport(report *hubReport, from netip.AddrPort) {
	now := time.Now()
	g.mu.Lock()
	g.recordHeard(report.Name, from)
	for _, i := range report.LiveInstances {
		if p := g.peersByHash[i.Name]; p != nil {
			p.listedAt, p.Incarnation, p.reachesStore = now, i.Incarnation, i.ReachesStore
		}
	}
	for _, f := range report.Blocked {
		g.tracker.Block(now, f)
	}
	isHub := g.isHub
	loads := decodeLoads(report.Loads, g.serverIDs(report.Loads))
	g.mu.Unlock()
	if !isHub {
		g.opt.View.UpdateHubTotal(loads)
	}
}

// serverIDs returns the server ids by hash, refreshed if a load names an unknown server.
// The lock must be held.
func (g *Group) serverIDs(loads []load) map[uint32]string {
	for _, l := range loads {
		if _, ok := g.serversByHash[l.Server]; !ok {
			g.refreshServers()
			break
		}
	}
	return g.serversByHash
}

func (g *Group) refreshServers() {
	g.serversByHash = map[uint32]string{}
	for _, id := range g.opt.View.ServerIDs() {
		g.serversByHash[hash(id)] = id
	}
}

// serverID returns the id of the server with a hash, or "" if none is registered.
func (g *Group) serverID(h uint32) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.serversByHash[h]; !ok {
		g.refreshServers()
	}
	return g.serversByHash[h]
}

// SendReports sends load reports and, on a hub, hub reports until ctx is done.
func (g *Group) SendReports(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.tick()
		}
	}
}

// tick sends the reports that are due. On a hub it also preempts batch requests.
func (g *Group) tick() {
	now := time.Now()
	reachesStore := g.opt.ReachesStore == nil || g.opt.ReachesStore()
	g.mu.Lock()
	includedGrants := g.includedGrants()
	own := g.opt.View.OwnLoad()
	if !maps.EqualFunc(own, g.lastLoad, equalCounts) || reachesStore != g.reachesStore {
		g.lastLoad, g.reachesStore, g.lastChange = own, reachesStore, now
	}
	g.updateLiveness(now)
	reportsTo, hubReportsTo := g.loadReportsDue(now), g.hubReportsDue(now)
	preempt := g.isHub && now.Sub(g.lastPreemption) >= preemptionInterval
	if preempt {
		g.lastPreemption = now
	}
	leaving := g.leaving
	g.mu.Unlock()
	if len(reportsTo) > 0 {
		g.send(kindLoadReport, &loadReport{
			Name: g.opt.Name, Incarnation: g.opt.Incarnation, Leaving: leaving, IncludedGrants: includedGrants, Loads: encodeLoads(own), ReachesStore: reachesStore,
		}, reportsTo)
	}
	if len(hubReportsTo) > 0 {
		g.sendHubReport(hubReportsTo)
	}
	if preempt {
		for _, server := range g.opt.View.PreemptionCandidates() {
			g.Preempt(server)
		}
	}
}

// updateLiveness logs the peers that are lost or regained, drops the load of peers that no
// longer report, and ends the hub role if no peer reports. The lock must be held.
func (g *Group) updateLiveness(now time.Time) {
	hasReports := false
	for name, p := range g.peers {
		live := p.live(now)
		if live != p.loggedLive {
			p.loggedLive = live
			message := "dependency regained"
			if !live {
				message = "dependency lost"
			}
			klog.InfoS(message, "dependency", "peer", "peer", name, "incarnation", p.Incarnation)
		}
		if now.Sub(p.reportedAt) < heardTTL {
			hasReports = true
		} else if !p.reportedAt.IsZero() {
			p.reportedAt = time.Time{}
			g.opt.View.RemovePeer(name)
		}
	}
	if g.isHub && !hasReports {
		g.isHub = false
		klog.InfoS("no longer acting as a hub")
	}
}

// rankedHubs returns the live instances, or all if all is set, in the order of their rank
// as hubs. The lock must be held.
func (g *Group) rankedHubs(now time.Time, all bool) []string {
	cores := map[string]float64{}
	if !g.leaving {
		cores[g.opt.Name] = g.opt.Cores
	}
	for name, p := range g.peers {
		if all || p.live(now) && !p.leaving {
			cores[name] = p.Cores
		}
	}
	return rankHubs(cores)
}

// loadReportsDue returns the addresses to which a load report is due, and records it as
// sent. The lock must be held.
func (g *Group) loadReportsDue(now time.Time) []netip.AddrPort {
	var due []netip.AddrPort
	add := func(name string, interval time.Duration) {
		p := g.peers[name]
		if p == nil || now.Sub(p.reportSentAt) < interval {
			return
		}
		if to, ok := p.addrPort(); ok {
			p.reportSentAt = now
			due = append(due, to)
		}
	}
	for _, name := range firstN(g.rankedHubs(now, false), hubCount) {
		interval := maxReportInterval
		if p := g.peers[name]; p != nil && g.lastChange.After(p.reportSentAt) {
			interval = minReportInterval
		}
		add(name, interval)
	}
	for _, name := range firstN(g.rankedHubs(now, true), hubCount) {
		add(name, candidateReportInterval)
	}
	return due
}

// hubReportsDue returns the addresses of the reporting peers to which a hub report is due,
// and records it as sent. The lock must be held.
func (g *Group) hubReportsDue(now time.Time) []netip.AddrPort {
	var due []netip.AddrPort
	for _, p := range g.peers {
		if now.Sub(p.reportedAt) > heardTTL || now.Sub(p.hubReportSentAt) < hubReportInterval {
			continue
		}
		if to, ok := p.addrPort(); ok {
			p.hubReportSentAt = now
			due = append(due, to)
		}
	}
	return due
}

func (g *Group) sendHubReport(to []netip.AddrPort) {
	now := time.Now()
	report := &hubReport{Name: g.opt.Name, Loads: encodeLoads(g.opt.View.TotalLoad())}
	g.mu.Lock()
	if !g.leaving {
		report.LiveInstances = append(report.LiveInstances, liveInstance{Name: hash(g.opt.Name), Incarnation: g.opt.Incarnation, ReachesStore: g.reachesStore})
	}
	for name, p := range g.peers {
		if now.Sub(p.heardAt) < heardTTL && !p.leaving {
			report.LiveInstances = append(report.LiveInstances, liveInstance{Name: hash(name), Incarnation: p.Incarnation, ReachesStore: p.reachesStore})
		}
	}
	report.Blocked = firstN(g.tracker.ListBlocked(now), maxReportedBlocked)
	g.mu.Unlock()
	g.send(kindHubReport, report, to)
}

// equalCounts reports whether two loads of a server have the same requests in flight. A
// change of anything else need not be reported early.
func equalCounts(a, b balance.Load) bool { return a.Counts == b.Counts }

func firstN[T any](list []T, n int) []T { return list[:min(n, len(list))] }

// addrPort returns the peer's address. It returns false if the address is not known.
func (p *peer) addrPort() (netip.AddrPort, bool) {
	to, err := netip.ParseAddrPort(p.Address)
	return to, err == nil
}

func (g *Group) send(k kind, body any, to []netip.AddrPort) {
	raw, err := encode(k, body)
	if err != nil {
		klog.ErrorS(err, "encoding datagram failed", "kind", k)
		return
	}
	for _, address := range to {
		// Datagrams may be lost anyway; the next report follows soon.
		_, _ = g.conn.WriteToUDPAddrPort(raw, address)
	}
}

// Preempt preempts one batch request on a server: one of this instance or, if it has none
// there, one of the peer that reports the most.
func (g *Group) Preempt(server string) {
	if g.opt.OnPreempt(server) {
		return
	}
	g.mu.Lock()
	p := g.peers[g.opt.View.PeerWithMostBatch(server)]
	g.mu.Unlock()
	if p == nil {
		return
	}
	if to, ok := p.addrPort(); ok {
		g.send(kindPreemption, &preemption{Server: hash(server)}, []netip.AddrPort{to})
	}
}

// Leave reports to the hubs at once that the instance is draining.
func (g *Group) Leave() {
	g.mu.Lock()
	g.leaving = true
	for _, p := range g.peers {
		p.reportSentAt = time.Time{}
	}
	g.mu.Unlock()
	g.tick()
}

// Alive returns the incarnations of the other instances that are live and not leaving, by
// name.
func (g *Group) Alive() map[string]uint32 {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	alive := map[string]uint32{}
	for name, p := range g.peers {
		if p.live(now) && !p.leaving {
			alive[name] = p.Incarnation
		}
	}
	return alive
}

// LivePeers returns the other instances that are live and not leaving, with whether they
// report that their own path to the store is up.
func (g *Group) LivePeers() []pathselect.Peer {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []pathselect.Peer
	for name, p := range g.peers {
		if p.live(now) && !p.leaving && p.Address != "" {
			list = append(list, pathselect.Peer{Name: name, Address: p.Address, SameDataCentre: p.DataCentre == g.opt.DataCentre, ReachesStore: p.reachesStore})
		}
	}
	return list
}
