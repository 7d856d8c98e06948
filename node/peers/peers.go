package peers

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
)

// Instance is an instance's entry in the store.
type Instance struct {
	// Address is the IP:PORT of its datagrams.
	Address string `json:"address"`
	// DataCentre is where it runs.
	DataCentre string `json:"data_centre"`
	// Incarnation changes at each start.
	Incarnation uint32 `json:"incarnation"`
}

const (
	// stateInterval is the least time between two statements to a peer of the same
	// data centre, farInterval to one of another, whose bytes are priced.
	stateInterval = 100 * time.Millisecond
	farInterval   = 200 * time.Millisecond
	// quietInterval is the time between statements when nothing changes.
	quietInterval = 400 * time.Millisecond
	// peersAtLeast peers get statements at these intervals; with more of them the
	// intervals grow, so that an instance sends no more datagrams.
	peersAtLeast = 16
	// aliveFor is the silence after which a peer counts as lost.
	aliveFor = 1500 * time.Millisecond
	// helloInterval is the time between statements to a peer that is silent.
	helloInterval = time.Second
	// forgetAfter is the silence after which an instance is not addressed any more;
	// its entry in the store is then dropped.
	forgetAfter = 60 * time.Second
	// announceRetry is the pause after a failed announcement in the store.
	announceRetry = 500 * time.Millisecond
	tick          = 25 * time.Millisecond
	maxDatagram   = 8 << 10
	// yieldInterval is the least time between two requests for slots of one server.
	yieldInterval = 5 * time.Millisecond
)

// Options are what a Group needs.
type Options struct {
	Name, DataCentre string
	Incarnation      uint32
	// Listen is the IP:PORT of datagrams.
	Listen string
	View   *fleet.View
	Feed   port.Feed[Instance]
	// OnYield gives up the slot of one batch request of this instance on a server; it
	// reports whether there was one.
	OnYield func(server string) bool
}

type peer struct {
	Instance
	to          netip.AddrPort
	heard, sent time.Time
	known       time.Time
	leaving     bool
	alive       bool
}

// Group is the set of instances, as one of them knows it. It is safe for concurrent
// use.
type Group struct {
	opt  Options
	conn *net.UDPConn

	mu      sync.Mutex
	peers   map[string]*peer
	last    map[string]balance.Counts
	changed time.Time
	yields  map[string]time.Time
	leaving bool
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
	return &Group{opt: opt, conn: conn, peers: map[string]*peer{}, yields: map[string]time.Time{}}, nil
}

// Run states and receives until ctx ends.
func (g *Group) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = g.conn.Close() })
	defer stop()
	ids := map[uint32]string{}
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := g.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				klog.InfoS("datagram not received", "err", err)
			}
			continue
		}
		d, err := decode(buffer[:n])
		if err != nil {
			klog.InfoS("datagram ignored", "from", from.String(), "err", err)
			continue
		}
		g.receive(d, from, ids)
	}
}

func (g *Group) receive(d *datagram, from netip.AddrPort, ids map[uint32]string) {
	if d.Name == g.opt.Name {
		return
	}
	g.hear(d, from)
	switch d.Kind {
	case kindState:
		for _, l := range d.Loads {
			if _, ok := ids[l.Server]; !ok {
				clear(ids)
				for _, id := range g.opt.View.ServerIDs() {
					ids[serverHash(id)] = id
				}
				break
			}
		}
		g.opt.View.PeerLoad(d.Name, decodeLoads(d.Loads, ids))
	case kindYield:
		for _, id := range g.opt.View.ServerIDs() {
			if serverHash(id) == d.Server {
				g.opt.OnYield(id)
			}
		}
	}
}

// hear records a sign of life.
func (g *Group) hear(d *datagram, from netip.AddrPort) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[d.Name]
	if p == nil {
		p = &peer{known: now}
		g.peers[d.Name] = p
	}
	p.to, p.heard, p.leaving, p.Incarnation = from, now, d.Leaving, d.Incarnation
	if !p.alive {
		p.alive = true
		klog.InfoS("dependency regained", "dependency", "peer", "peer", d.Name, "incarnation", d.Incarnation)
	}
}

// State sends statements until ctx ends.
func (g *Group) State(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.state()
		}
	}
}

func (g *Group) state() {
	now := time.Now()
	own := g.opt.View.Own()
	g.mu.Lock()
	if !maps.Equal(own, g.last) {
		g.last, g.changed = own, now
	}
	due := g.due(now)
	leaving := g.leaving
	g.mu.Unlock()
	if len(due) == 0 {
		return
	}
	g.send(&datagram{Kind: kindState, Loads: encodeLoads(own), Leaving: leaving}, due)
}

// due returns the addresses that get a statement now.
func (g *Group) due(now time.Time) []netip.AddrPort {
	var due []netip.AddrPort
	stretch := max(1, float64(len(g.peers))/peersAtLeast)
	for name, p := range g.peers {
		if p.alive && now.Sub(p.heard) > aliveFor {
			p.alive = false
			klog.InfoS("dependency lost", "dependency", "peer", "peer", name, "silentFor", now.Sub(p.heard))
			g.opt.View.PeerGone(name)
		}
		if !p.to.IsValid() {
			continue
		}
		interval := farInterval
		if p.DataCentre == g.opt.DataCentre {
			interval = stateInterval
		}
		interval = time.Duration(float64(interval) * stretch)
		switch {
		case !p.alive:
			interval = helloInterval
		case !g.changed.After(p.sent):
			interval = max(interval, quietInterval)
		}
		if now.Sub(p.sent) >= interval {
			p.sent = now
			due = append(due, p.to)
		}
	}
	return due
}

func (g *Group) send(d *datagram, to []netip.AddrPort) {
	d.Name, d.Incarnation = g.opt.Name, g.opt.Incarnation
	raw, err := encode(d)
	if err != nil {
		klog.ErrorS(err, "datagram not encoded")
		return
	}
	for _, address := range to {
		// Datagrams may be lost anyway; the next statement follows soon.
		_, _ = g.conn.WriteToUDPAddrPort(raw, address)
	}
}

// Yield asks for the slot of one batch request on a server: of this instance's own
// requests or, when it has none there, of one peer that states some.
func (g *Group) Yield(server string) {
	if g.opt.OnYield(server) {
		return
	}
	holders := g.opt.View.BatchHolders(server)
	if len(holders) == 0 {
		return
	}
	now := time.Now()
	g.mu.Lock()
	if now.Sub(g.yields[server]) < yieldInterval {
		g.mu.Unlock()
		return
	}
	g.yields[server] = now
	p := g.peers[holders[rand.IntN(len(holders))]]
	g.mu.Unlock()
	if p != nil && p.to.IsValid() {
		g.send(&datagram{Kind: kindYield, Server: serverHash(server)}, []netip.AddrPort{p.to})
	}
}

// Leave states that the instance drains.
func (g *Group) Leave() {
	g.mu.Lock()
	g.leaving = true
	for _, p := range g.peers {
		p.sent = time.Time{}
	}
	g.mu.Unlock()
	g.state()
}

// Alive returns the incarnations of the peers that are heard and not leaving, by
// name.
func (g *Group) Alive() map[string]uint32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	alive := map[string]uint32{}
	for name, p := range g.peers {
		if p.alive && !p.leaving {
			alive[name] = p.Incarnation
		}
	}
	return alive
}

// Apply takes the entries of the instances' feed.
func (g *Group) Apply(entries []port.Entry[Instance], _ bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range entries {
		if e.Key == g.opt.Name || e.Value == nil {
			continue
		}
		to, err := netip.ParseAddrPort(e.Value.Address)
		if err != nil {
			klog.InfoS("entry of an instance ignored", "peer", e.Key, "err", err)
			continue
		}
		p := g.peers[e.Key]
		if p == nil {
			p = &peer{known: now}
			g.peers[e.Key] = p
		}
		p.Instance, p.to = *e.Value, to
	}
}

// Announce keeps the instance's entry in the store, lists those of the others, and
// drops the entries of instances that have been silent for long.
func (g *Group) Announce(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		entries, _, err := g.opt.Feed.Newest(ctx)
		pause := announceRetry
		if err == nil {
			g.Apply(entries, true)
			g.forget(ctx)
			if g.listed(entries) {
				pause = interval
			} else if err := g.announce(ctx); err != nil {
				klog.InfoS("instance not announced", "err", err)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (g *Group) announce(ctx context.Context) error {
	self := &Instance{Address: g.opt.Listen, DataCentre: g.opt.DataCentre, Incarnation: g.opt.Incarnation}
	return g.opt.Feed.Put(ctx, g.opt.Name, self)
}

// listed reports whether the instance's own entry stands in the store.
func (g *Group) listed(entries []port.Entry[Instance]) bool {
	for _, e := range entries {
		if e.Key == g.opt.Name && e.Value != nil && e.Value.Incarnation == g.opt.Incarnation {
			return true
		}
	}
	return false
}

func (g *Group) forget(ctx context.Context) {
	now := time.Now()
	var gone []string
	g.mu.Lock()
	for name, p := range g.peers {
		if now.Sub(p.known) > forgetAfter && now.Sub(p.heard) > forgetAfter {
			gone = append(gone, name)
			delete(g.peers, name)
		}
	}
	g.mu.Unlock()
	for _, name := range gone {
		if err := g.opt.Feed.Put(ctx, name, nil); err != nil {
			klog.InfoS("entry of a lost instance not dropped", "peer", name, "err", err)
		}
	}
}
