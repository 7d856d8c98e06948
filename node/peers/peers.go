package peers

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/node/internal/guard"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/policy/pathselect"
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
	// Protocol is the version of the protocol between instances that it speaks.
	Protocol uint8 `json:"protocol,omitempty"`
}

const (
	// peerTTL is how long an instance is kept after the last sign of it. Its entry in the
	// store is then removed.
	peerTTL = 60 * time.Second
	// aliveCacheTTL is how long the result of Alive is reused.
	aliveCacheTTL = 50 * time.Millisecond
	// maxDatagramBytes is the maximum size of a datagram.
	maxDatagramBytes = 64 << 10
	// maxPeers limits the instances that are known by name.
	maxPeers = 4096
)

// Options are the options of a Group.
type Options struct {
	Name, DataCentre string
	// Cores is the number of cores of the host.
	Cores       float64
	Incarnation uint32
	// Listen is the IP:PORT at which the instance receives datagrams.
	Listen string
	// Conn sends and receives the datagrams; nil means a socket at Listen.
	Conn PacketConn
	View *fleet.View
	Feed port.Feed[Instance]
	// ReachesStore reports whether this instance's own path to the store is up; nil means
	// that it always is.
	ReachesStore func() bool
	// StoreUpFor returns for how long no call on the own path has failed; nil means zero.
	StoreUpFor func() time.Duration
	// OnPreempt preempts one batch request of this instance on a server. It returns false
	// if the instance has none there.
	OnPreempt func(server string) bool
	// Origins is told where streams began; nil means that nobody is.
	Origins Origins
}

// Group is the set of all instances, as known to one of them. It is safe for concurrent
// use.
type Group struct {
	opt  Options
	conn PacketConn
	// wakeups receives a value when the load of this instance has changed.
	wakeups chan struct{}

	mu sync.Mutex
	// peers holds the other instances by name, and peersByHash by the hash of the name.
	peers       map[string]*peer
	peersByHash map[uint32]*peer
	// order holds the names of all known instances, this one included, in the order of
	// their rank as hubs; nil if it has to be determined anew.
	order []string
	// hub is the state of this instance as a hub.
	hub hubState
	// stateVersion counts the changes of leaving and reachesStore.
	stateVersion uint64
	// leaving is set once the instance is draining.
	leaving bool
	// reachesStore is whether this instance's own path to the store was up at the last
	// check.
	reachesStore bool
	lastSequence uint64
	// livenessCheckedAt is the time of the last check of the peers.
	livenessCheckedAt time.Time
	// pending holds the requests to hubs that have no reply yet, by sequence number.
	pending map[uint64]chan placement
	servers serverList
	// origins holds the questions about the origins of streams.
	origins originQuestions
	// preemptions keeps one order from preempting two batch requests.
	preemptions preemptionLog
	// containment has its own lock.
	containment containment
	quota       quotaState
	// shares has its own lock.
	shares shares
	// outages has its own lock.
	outages outageCheck
	// entriesMissing is set when a roster names an instance whose entry is not known.
	entriesMissing bool
	// pacesSentAt is the time of the last paceReport.
	pacesSentAt time.Time
	// alive is the result of Alive at aliveAt.
	alive   map[string]uint32
	aliveAt time.Time
}

// NewGroup returns the group of an instance and opens its datagram socket.
func NewGroup(opt Options) (*Group, error) {
	if opt.Conn == nil {
		conn, err := listen(opt.Listen)
		if err != nil {
			return nil, err
		}
		opt.Conn = conn
	}
	g := &Group{
		opt: opt, conn: opt.Conn, wakeups: make(chan struct{}, 1), peers: map[string]*peer{}, peersByHash: map[uint32]*peer{},
		pending: map[uint64]chan placement{}, preemptions: newPreemptionLog(), lastSequence: firstSequence(time.Now()),
		origins: newOriginQuestions(), outages: newOutageCheck(), containment: newContainment(opt.Name), quota: newQuotaState(opt.Name),
	}
	opt.View.NotifyLoadChanges(g.wake)
	opt.View.NotifyOutages(g.outages.add)
	return g, nil
}

// wake makes SendReports check which reports are due.
func (g *Group) wake() {
	select {
	case g.wakeups <- struct{}{}:
	default:
	}
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
		guard.Run("datagram of a peer", func() {
			if err := g.receive(buffer[:n], from); err != nil {
				klog.InfoS("datagram ignored", "from", from.String(), "err", err)
			}
		})
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
	case kindPlacementRequest:
		return handle(raw, from, g.onPlacementRequest)
	case kindPlacement:
		return handle(raw, from, g.onPlacement)
	case kindRequestOutcome:
		return handle(raw, from, func(o *requestOutcome, _ netip.AddrPort) { g.onOutcome(o) })
	case kindBrokenRun:
		return handle(raw, from, func(b *brokenRun, _ netip.AddrPort) { g.onBrokenRun(b) })
	case kindRates:
		return handle(raw, from, g.onRates)
	case kindPaces:
		return handle(raw, from, g.onPaces)
	case kindDepartures:
		return handle(raw, from, g.onDepartures)
	case kindOrigins:
		return handle(raw, from, g.onOrigins)
	case kindOriginQuestion:
		return handle(raw, from, g.onOriginQuestion)
	case kindOriginReply:
		return handle(raw, from, g.onOriginReply)
	case kindAnswer:
		return handle(raw, from, func(a *answer, _ netip.AddrPort) { g.onAnswer(a) })
	case kindContainment:
		return handle(raw, from, g.onContainment)
	case kindPreemption:
		return handle(raw, from, func(p *preemption, _ netip.AddrPort) { g.preemptOwn(p) })
	case kindRoster:
		return handle(raw, from, g.onRoster)
	case kindRosterRequest:
		return handle(raw, from, g.onRosterRequest)
	case kindTotals:
		return handle(raw, from, g.onTotals)
	case kindQuotaReport:
		return handle(raw, from, g.onQuotaReport)
	case kindStoreQuestion:
		return handle(raw, from, g.onStoreQuestion)
	case kindStoreReply:
		return handle(raw, from, g.onStoreReply)
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
		p = &peer{name: name, discoveredAt: now, loggedLive: true}
		if len(g.peers) >= maxPeers {
			return p // not recorded: no fleet has as many, so that most names are made up
		}
		g.peers[name] = p
		g.peersByHash[hash(name)] = p
		g.order = nil
	}
	return p
}

// recordHeard records a datagram of a peer. The lock must be held.
func (g *Group) recordHeard(name string, from netip.AddrPort) *peer {
	now := time.Now()
	p := g.getOrCreatePeer(name, now)
	p.heardAt = now
	p.setAddress(from)
	return p
}

// send sends a datagram to each of the addresses.
func (g *Group) send(k kind, body any, to ...netip.AddrPort) {
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

// Leave reports to the hubs at once that the instance is draining.
func (g *Group) Leave() {
	g.mu.Lock()
	g.leaving = true
	g.stateVersion++
	for _, p := range g.peers {
		p.reportSentAt = time.Time{}
	}
	g.mu.Unlock()
	g.tick()
}

// Alive returns the incarnations of the other instances that are live and not leaving, by
// name. The caller must not change the map.
func (g *Group) Alive() map[string]uint32 {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.alive != nil && now.Sub(g.aliveAt) < aliveCacheTTL {
		return g.alive
	}
	g.alive, g.aliveAt = make(map[string]uint32, len(g.peers)), now
	for name, p := range g.peers {
		if p.live(now) && !p.leaving() {
			g.alive[name] = p.Incarnation
		}
	}
	return g.alive
}

// LivePeers returns the other instances that are live and not leaving, with whether they
// report that their own path to the store is up.
func (g *Group) LivePeers() []pathselect.Peer {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []pathselect.Peer
	for name, p := range g.peers {
		if p.live(now) && !p.leaving() && p.Address != "" {
			list = append(list, pathselect.Peer{Name: name, Address: p.Address, SameDataCentre: p.DataCentre == g.opt.DataCentre, ReachesStore: p.reachesStore})
		}
	}
	return list
}
