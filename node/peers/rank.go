package peers

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minHubCoresShare is the share of the largest host's cores from which a host counts
	// as large enough for a hub.
	minHubCoresShare = 0.6
	// hubCount is the number of hubs that receive all load reports: one that is asked for
	// servers and one that takes over if it is lost.
	hubCount = 2
	// An instance counts as live for heardTTL after a datagram from it and for listedTTL
	// after a roster that names it.
	heardTTL  = 1200 * time.Millisecond
	listedTTL = 1800 * time.Millisecond
	// discoveredTTL is how long an instance counts as live after its entry was found.
	discoveredTTL = 2 * time.Second
)

// peer is another instance.
type peer struct {
	Instance
	name string
	// discoveredAt is the time at which its entry was found in the store, heardAt that of
	// its last datagram, listedAt that of the last roster that names it, and reportedAt
	// that of its last load report.
	discoveredAt, heardAt, listedAt, reportedAt time.Time
	// leavingIncarnation is that of its process that reported that it is leaving; zero if none did.
	leavingIncarnation uint32
	// loggedLive is the state of live that was logged last.
	loggedLive bool
	// reachesStore is set while it reports that its own path to the store is up.
	reachesStore bool
	// addrPort is the parsed Address; it is not valid if the address is not known.
	addrPort netip.AddrPort
	// protocol is the version of the protocol that it speaks.
	protocol uint8
	// reportSentAt, rosterSentAt and totalsSentAt are the times of the last load report,
	// roster and totals that were sent to it, and sentVersion that of the load report.
	reportSentAt, rosterSentAt, totalsSentAt time.Time
	sentVersion                              reportVersion
	// holdsUnusedGrant is set if it may count a grant that this instance does not use, until
	// the next load report.
	holdsUnusedGrant bool
	// roster is the copy of its roster as a hub, which was asked for at rosterAskedAt.
	roster        rosterReplica
	rosterAskedAt time.Time
	// unanswered counts the requests in a row to which it did not reply as a hub. It is
	// not asked until suspendedUntil.
	unanswered     int
	suspendedUntil time.Time
	// quotaReports is the state of the quota reports to it.
	quotaReports quotaReportState
	// process tells late datagrams of its earlier processes.
	process processHistory
}

// leaving reports whether the peer's current process is leaving.
func (p *peer) leaving() bool {
	return p.leavingIncarnation != 0 && p.leavingIncarnation == p.Incarnation
}

// setAddress sets the address at which the peer receives datagrams and calls.
func (p *peer) setAddress(address netip.AddrPort) {
	if p.addrPort != address {
		p.addrPort, p.Address = address, address.String()
	}
}

// live reports whether the peer counts as live.
func (p *peer) live(now time.Time) bool {
	return now.Sub(p.heardAt) < heardTTL || now.Sub(p.listedAt) < listedTTL || now.Sub(p.discoveredAt) < discoveredTTL
}

// hubCandidate is an instance with the properties that determine its rank as a hub.
type hubCandidate struct {
	name     string
	cores    float64
	nameHash uint64
}

// rankHubs returns the instances in the order of their rank as hubs. Instances on hosts
// that are large enough come first, then those that would be large enough without them,
// and so on. Within each of these groups the order is that of a hash of the name, so that
// all instances agree on it.
func rankHubs(cores map[string]float64) []string {
	rest := make([]hubCandidate, 0, len(cores))
	for name, c := range cores {
		rest = append(rest, hubCandidate{name, c, xxhash.Sum64String("hub\x00" + name)})
	}
	slices.SortFunc(rest, func(a, b hubCandidate) int { return cmp.Compare(b.cores, a.cores) })
	names := make([]string, 0, len(rest))
	for len(rest) > 0 {
		n := 1
		for n < len(rest) && rest[n].cores >= minHubCoresShare*rest[0].cores {
			n++
		}
		group := rest[:n]
		slices.SortFunc(group, func(a, b hubCandidate) int {
			return cmp.Or(cmp.Compare(a.nameHash, b.nameHash), cmp.Compare(a.name, b.name))
		})
		for _, c := range group {
			names = append(names, c.name)
		}
		rest = rest[n:]
	}
	return names
}

// rank returns the names of all known instances in the order of their rank as hubs. The
// lock must be held.
func (g *Group) rank() []string {
	if g.order == nil {
		cores := map[string]float64{g.opt.Name: g.opt.Cores}
		for name, p := range g.peers {
			cores[name] = p.Cores
		}
		g.order = rankHubs(cores)
	}
	return g.order
}

// rankedHubs returns the instances that rank first whether they are live or not. The lock
// must be held.
func (g *Group) rankedHubs() []string {
	order := g.rank()
	return order[:min(hubCount, len(order))]
}

// liveHubs returns the live instances that rank first and are not leaving. The lock must
// be held.
func (g *Group) liveHubs(now time.Time) []string {
	hubs := make([]string, 0, hubCount)
	for _, name := range g.rank() {
		if len(hubs) == hubCount {
			break
		}
		if p := g.peers[name]; p == nil && !g.leaving || p != nil && p.live(now) && !p.leaving() {
			hubs = append(hubs, name)
		}
	}
	return hubs
}

// askedHub returns the hub to ask for a server, or nil if there is none; self is set if
// this instance itself is the hub. The lock must be held.
func (g *Group) askedHub(now time.Time) (hub *peer, self bool) {
	for _, name := range g.liveHubs(now) {
		p := g.peers[name]
		if p == nil {
			return nil, true
		}
		if now.After(p.suspendedUntil) {
			return p, false
		}
	}
	return nil, false
}
