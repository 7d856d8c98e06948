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
	"github.com/jacinthnotch/jacinthnotch/policy/contain"
	"github.com/jacinthnotch/jacinthnotch/policy/reach"
)

// Instance is an instance's entry in the store.
type Instance struct {
	// Address is the IP:PORT of its datagrams and, over TCP, of its calls.
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	// Cores is the processor of its host.
	Cores float64 `json:"cores"`
	// Incarnation changes at each start.
	Incarnation uint32 `json:"incarnation"`
}

const (
	tick = 10 * time.Millisecond
	// stateInterval is the least time between two statements to a hub, and
	// quietInterval that between statements when nothing changes.
	stateInterval = 20 * time.Millisecond
	quietInterval = 300 * time.Millisecond
	// totalInterval is the time between a hub's statements of the totals.
	totalInterval = 400 * time.Millisecond
	// helloInterval is the time between statements to the instances that would rank
	// first if they were alive.
	helloInterval = 2 * time.Second
	// shedInterval is the time between a hub's looks at servers that are overfull.
	shedInterval = 100 * time.Millisecond
	// forgetAfter is the silence after which an instance is not addressed any more;
	// its entry in the store is then dropped.
	forgetAfter = 60 * time.Second
	// announceRetry is the pause after a failed announcement in the store.
	announceRetry = 500 * time.Millisecond
	// maxDatagram is the largest datagram. The totals of 390 instances before 740 servers
	// take 21 KB.
	maxDatagram = 64 << 10
	// heldMost bounds the requests that a statement of a hub names as held back.
	heldMost = 64
)

// Options are what a Group needs.
type Options struct {
	Name, DataCentre string
	// Cores is the processor of the host.
	Cores       float64
	Incarnation uint32
	// Listen is the IP:PORT of datagrams.
	Listen string
	View   *fleet.View
	Feed   port.Feed[Instance]
	// ReachesStore reports whether this instance reaches the store on its own path; nil
	// means that it does.
	ReachesStore func() bool
	// OnPreempt gives up the slot of one batch request of this instance on a server; it
	// reports whether there was one.
	OnPreempt func(server string) bool
}

// Group is the set of instances, as one of them knows it. It is safe for concurrent
// use.
type Group struct {
	opt  Options
	conn *net.UDPConn

	mu      sync.Mutex
	peers   map[string]*peer
	hashes  map[uint32]*peer
	last    map[string]balance.Load
	changed time.Time
	shed    time.Time
	hub     bool
	leaving bool
	// reaches is what was stated last of this instance's path to the store.
	reaches  bool
	sequence uint64
	// open holds the questions that are not answered yet.
	open map[uint64]chan grant
	// servers holds the ids of the registered servers by their hashes.
	servers map[uint32]string
	ledger  *contain.Tracker
}

// NewGroup opens the socket of an instance.
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
		opt: opt, conn: conn, peers: map[string]*peer{}, hashes: map[uint32]*peer{},
		open: map[uint64]chan grant{}, servers: map[uint32]string{}, ledger: contain.NewTracker(),
	}, nil
}

// Receive receives until ctx ends.
func (g *Group) Receive(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = g.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := g.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				klog.InfoS("datagram not received", "err", err)
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
		return errEmpty
	}
	switch kind(raw[0]) {
	case kindState:
		return handle(raw, from, g.onState)
	case kindTotal:
		return handle(raw, from, g.onTotal)
	case kindAsk:
		return handle(raw, from, g.onAsk)
	case kindGrant:
		return handle(raw, from, g.onGrant)
	case kindBreak:
		return handle(raw, from, func(b *breakage, _ netip.AddrPort) { g.takeBreakage(b) })
	case kindYield:
		return handle(raw, from, func(y *yield, _ netip.AddrPort) { g.opt.OnPreempt(g.serverID(y.Server)) })
	}
	return errors.New("peers: a datagram of an unknown kind")
}

func handle[T any](raw []byte, from netip.AddrPort, f func(*T, netip.AddrPort)) error {
	body, err := decode[T](raw)
	if err == nil {
		f(body, from)
	}
	return err
}

// peer returns the peer of a name, which is made when it is new. The lock is held.
func (g *Group) peer(name string, now time.Time) *peer {
	p := g.peers[name]
	if p == nil {
		p = &peer{name: name, known: now}
		g.peers[name] = p
		g.hashes[hash(name)] = p
	}
	return p
}

// hear records a sign of life.
func (g *Group) hear(name string, from netip.AddrPort) *peer {
	now := time.Now()
	p := g.peer(name, now)
	p.heard, p.Address = now, from.String()
	return p
}

// onState takes a peer's statement, which makes this instance a hub.
func (g *Group) onState(s *state, from netip.AddrPort) {
	if s.Name == g.opt.Name {
		return
	}
	now := time.Now()
	g.mu.Lock()
	p := g.hear(s.Name, from)
	p.Incarnation, p.leaving, p.reaches = s.Incarnation, s.Leaving, s.Reaches
	first := now.Sub(p.stated) > heardFor
	p.stated = now
	became := !g.hub
	g.hub = true
	loads := decodeLoads(s.Loads, g.serverIDs(s.Loads))
	g.mu.Unlock()
	if became {
		klog.InfoS("acting as a hub", "firstStatementOf", s.Name)
		g.opt.View.RemoveHubTotal()
	}
	g.opt.View.UpdatePeer(s.Name, loads, s.Seen)
	if first {
		g.sendTotals([]netip.AddrPort{from})
	}
}

// onTotal takes a hub's statement of all instances.
func (g *Group) onTotal(t *total, from netip.AddrPort) {
	now := time.Now()
	g.mu.Lock()
	g.hear(t.Name, from)
	for _, m := range t.Alive {
		if p := g.hashes[m.Name]; p != nil {
			p.listed, p.Incarnation, p.reaches = now, m.Incarnation, m.Reaches
		}
	}
	for _, f := range t.Held {
		g.ledger.Block(now, f)
	}
	hub := g.hub
	loads := decodeLoads(t.Loads, g.serverIDs(t.Loads))
	g.mu.Unlock()
	if !hub {
		g.opt.View.UpdateHubTotal(loads)
	}
}

// serverIDs returns the ids by hash, read anew when a load names an unknown one. The
// lock is held.
func (g *Group) serverIDs(loads []load) map[uint32]string {
	for _, l := range loads {
		if _, ok := g.servers[l.Server]; !ok {
			g.readServers()
			break
		}
	}
	return g.servers
}

func (g *Group) readServers() {
	g.servers = map[uint32]string{}
	for _, id := range g.opt.View.ServerIDs() {
		g.servers[hash(id)] = id
	}
}

// serverID returns the id of a hash, or "" when no such server is registered.
func (g *Group) serverID(h uint32) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.servers[h]; !ok {
		g.readServers()
	}
	return g.servers[h]
}

// SendReports sends statements until ctx ends.
func (g *Group) SendReports(ctx context.Context) {
	ticker := time.NewTicker(tick)
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

func (g *Group) tick() {
	now := time.Now()
	reaches := g.opt.ReachesStore == nil || g.opt.ReachesStore()
	g.mu.Lock()
	seen := g.seen()
	own := g.opt.View.OwnLoad()
	if !maps.EqualFunc(own, g.last, sameCounts) || reaches != g.reaches {
		g.last, g.reaches, g.changed = own, reaches, now
	}
	g.notice(now)
	states, totals := g.statesDue(now), g.totalsDue(now)
	shed := g.hub && now.Sub(g.shed) >= shedInterval
	if shed {
		g.shed = now
	}
	leaving := g.leaving
	g.mu.Unlock()
	if len(states) > 0 {
		g.send(kindState, &state{
			Name: g.opt.Name, Incarnation: g.opt.Incarnation, Leaving: leaving, Seen: seen, Loads: encodeLoads(own), Reaches: reaches,
		}, states)
	}
	if len(totals) > 0 {
		g.sendTotals(totals)
	}
	if shed {
		for _, server := range g.opt.View.PreemptionCandidates() {
			g.Preempt(server)
		}
	}
}

// notice logs the peers that are lost or back, and ends the role of a hub that gets
// no statements. The lock is held.
func (g *Group) notice(now time.Time) {
	stated := false
	for name, p := range g.peers {
		present := p.present(now)
		if present != p.alive {
			p.alive = present
			word := "dependency regained"
			if !present {
				word = "dependency lost"
			}
			klog.InfoS(word, "dependency", "peer", "peer", name, "incarnation", p.Incarnation)
		}
		if now.Sub(p.stated) < heardFor {
			stated = true
		} else if !p.stated.IsZero() {
			p.stated = time.Time{}
			g.opt.View.RemovePeer(name)
		}
	}
	if g.hub && !stated {
		g.hub = false
		klog.InfoS("not a hub any more")
	}
}

// ranking returns the instances in the order of hubs; with all also those that are
// not thought to be alive. The lock is held.
func (g *Group) ranking(now time.Time, all bool) []string {
	cores := map[string]float64{}
	if !g.leaving {
		cores[g.opt.Name] = g.opt.Cores
	}
	for name, p := range g.peers {
		if all || p.present(now) && !p.leaving {
			cores[name] = p.Cores
		}
	}
	return rankHubs(cores)
}

// statesDue returns the addresses that get a statement now. The lock is held.
func (g *Group) statesDue(now time.Time) []netip.AddrPort {
	var due []netip.AddrPort
	add := func(name string, interval time.Duration) {
		p := g.peers[name]
		if p == nil || now.Sub(p.sentState) < interval {
			return
		}
		if to, ok := p.to(); ok {
			p.sentState = now
			due = append(due, to)
		}
	}
	for _, name := range first(g.ranking(now, false), hubs) {
		interval := quietInterval
		if p := g.peers[name]; p != nil && g.changed.After(p.sentState) {
			interval = stateInterval
		}
		add(name, interval)
	}
	for _, name := range first(g.ranking(now, true), hubs) {
		add(name, helloInterval)
	}
	return due
}

// totalsDue returns the addresses of the peers that stated and get the totals now.
// The lock is held.
func (g *Group) totalsDue(now time.Time) []netip.AddrPort {
	var due []netip.AddrPort
	for _, p := range g.peers {
		if now.Sub(p.stated) > heardFor || now.Sub(p.sentTotal) < totalInterval {
			continue
		}
		if to, ok := p.to(); ok {
			p.sentTotal = now
			due = append(due, to)
		}
	}
	return due
}

func (g *Group) sendTotals(to []netip.AddrPort) {
	now := time.Now()
	t := &total{Name: g.opt.Name, Loads: encodeLoads(g.opt.View.TotalLoad())}
	g.mu.Lock()
	if !g.leaving {
		t.Alive = append(t.Alive, member{Name: hash(g.opt.Name), Incarnation: g.opt.Incarnation, Reaches: g.reaches})
	}
	for name, p := range g.peers {
		if now.Sub(p.heard) < heardFor && !p.leaving {
			t.Alive = append(t.Alive, member{Name: hash(name), Incarnation: p.Incarnation, Reaches: p.reaches})
		}
	}
	t.Held = first(g.ledger.ListBlocked(now), heldMost)
	g.mu.Unlock()
	g.send(kindTotal, t, to)
}

// sameCounts reports whether two statements of a server say the same of the requests
// in flight; the rest can wait for the next statement.
func sameCounts(a, b balance.Load) bool { return a.Counts == b.Counts }

func first[T any](list []T, n int) []T { return list[:min(n, len(list))] }

// to returns the peer's address.
func (p *peer) to() (netip.AddrPort, bool) {
	to, err := netip.ParseAddrPort(p.Address)
	return to, err == nil
}

func (g *Group) send(k kind, body any, to []netip.AddrPort) {
	raw, err := encode(k, body)
	if err != nil {
		klog.ErrorS(err, "datagram not encoded", "kind", k)
		return
	}
	for _, address := range to {
		// Datagrams may be lost anyway; the next statement follows soon.
		_, _ = g.conn.WriteToUDPAddrPort(raw, address)
	}
}

// Preempt asks for the slot of one batch request on a server: of this instance's own
// requests or, when it has none there, of the peer that states most.
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
	if to, ok := p.to(); ok {
		g.send(kindYield, &yield{Server: hash(server)}, []netip.AddrPort{to})
	}
}

// Leave states that the instance drains.
func (g *Group) Leave() {
	g.mu.Lock()
	g.leaving = true
	for _, p := range g.peers {
		p.sentState = time.Time{}
	}
	g.mu.Unlock()
	g.tick()
}

// Alive returns the incarnations of the other instances that are thought to be alive
// and not leaving, by name.
func (g *Group) Alive() map[string]uint32 {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	alive := map[string]uint32{}
	for name, p := range g.peers {
		if p.present(now) && !p.leaving {
			alive[name] = p.Incarnation
		}
	}
	return alive
}

// LivePeers returns the other instances that are thought to be alive, with what they
// state of their path to the store.
func (g *Group) LivePeers() []reach.Peer {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []reach.Peer
	for name, p := range g.peers {
		if p.present(now) && !p.leaving && p.Address != "" {
			list = append(list, reach.Peer{Name: name, Address: p.Address, SameDataCentre: p.DataCentre == g.opt.DataCentre, ReachesStore: p.reaches})
		}
	}
	return list
}
