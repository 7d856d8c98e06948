// Package pathselect selects the path by which an instance calls the platform's store: its
// own connection, or a relay through another instance (a peer) while its own path is down.
//
// The package does no I/O and reads no clock; times are arguments. Paths is not safe for
// concurrent use.
package pathselect

import (
	"time"
)

const (
	// latencyWeight is the weight of one call in the moving average of the latency.
	latencyWeight = 0.2
	// A call on one path times out after timeoutFactor times the mean latency, but not
	// before minTimeout, and another path is tried. The store answers in 4 ms, and in
	// 0.24 s on the slowest documented days; a submission has to be accepted within 0.4 s.
	timeoutFactor = 6
	minTimeout    = 80 * time.Millisecond
	// maxTimeout limits the timeout when the store is slow for all instances.
	maxTimeout = time.Second
	// peerCooldown is how long a peer is not tried after it failed to relay a call.
	peerCooldown = time.Second
)

// Peer is another instance, which reports whether its own path is up.
type Peer struct {
	Name string
	// Address is the IP:PORT at which the peer serves calls.
	Address string
	// SameDataCentre is set for a peer in the data centre of this instance. Traffic
	// between data centres is charged for.
	SameDataCentre bool
	// ReachesStore is set while the peer's own path is up.
	ReachesStore bool
}

// Reachability is how an instance can reach the store, as far as it knows.
type Reachability uint8

// States of reachability.
const (
	// Direct: the instance's own path is up.
	Direct Reachability = iota
	// ThroughPeers: its own path is down and a peer's path is up.
	ThroughPeers
	// Isolated: its own path is down and no peers are known. Others may reach the store.
	Isolated
	// Unreachable: its own path is down, and no peer that could be asked reaches the store.
	Unreachable
)

// String returns the name of the state in logs and error messages, where an unreachable
// store is "away".
func (r Reachability) String() string {
	return [...]string{"direct", "through peers", "isolated", "away"}[r]
}

// Paths is the state of the paths to the store, as known to one instance.
type Paths struct {
	ownFailed     bool
	meanLatency   time.Duration
	cooldownUntil map[string]time.Time
}

// NewPaths returns paths of which the instance's own is up.
func NewPaths() *Paths { return &Paths{cooldownUntil: map[string]time.Time{}} }

// OwnPathUp reports whether the last recorded call on the instance's own path succeeded.
func (ps *Paths) OwnPathUp() bool { return !ps.ownFailed }

// RecordSuccess records a call that the store answered on the instance's own path. The
// latency is zero if it does not tell how fast the store is. RecordSuccess reports whether
// the path was down before.
func (ps *Paths) RecordSuccess(latency time.Duration) (regained bool) {
	if ps.meanLatency == 0 {
		ps.meanLatency = latency
	}
	if latency > 0 {
		ps.meanLatency += time.Duration(latencyWeight * float64(latency-ps.meanLatency))
	}
	regained, ps.ownFailed = ps.ownFailed, false
	return regained
}

// RecordFailure records a call without an answer on the instance's own path. It reports
// whether the path was up before.
func (ps *Paths) RecordFailure() (lost bool) {
	lost, ps.ownFailed = !ps.ownFailed, true
	return lost
}

// AttemptTimeout returns the timeout for a call on one path.
func (ps *Paths) AttemptTimeout() time.Duration {
	return min(maxTimeout, max(minTimeout, timeoutFactor*ps.meanLatency))
}

// RecordTimeout records a call through a peer that was given up after a time: the store may have become as slow
// for all instances.
func (ps *Paths) RecordTimeout(after time.Duration) {
	ps.meanLatency += time.Duration(latencyWeight * float64(max(0, after-ps.meanLatency)))
}

// RecordPeerFailure records that a peer failed to relay a call.
func (ps *Paths) RecordPeerFailure(now time.Time, name string) {
	ps.cooldownUntil[name] = now.Add(peerCooldown)
}

// RankPeers returns the peers that can relay a call, in the order in which to try them. It
// alternates between peers in the same data centre, which come first, and in others, since
// a network cut often affects several instances of one data centre. Otherwise the order of
// the list is kept; shuffle the list to spread the load.
func (ps *Paths) RankPeers(now time.Time, peers []Peer) []Peer {
	var local, remote, ranked []Peer
	for _, p := range peers {
		switch {
		case !p.ReachesStore || now.Before(ps.cooldownUntil[p.Name]):
		case p.SameDataCentre:
			local = append(local, p)
		default:
			remote = append(remote, p)
		}
	}
	for len(local) > 0 && len(remote) > 0 {
		ranked = append(ranked, local[0], remote[0])
		local, remote = local[1:], remote[1:]
	}
	return append(append(ranked, local...), remote...)
}

// Reachability returns how the instance can reach the store through its own path or the peers.
func (ps *Paths) Reachability(now time.Time, peers []Peer) Reachability {
	switch {
	case ps.OwnPathUp():
		return Direct
	case len(ps.RankPeers(now, peers)) > 0:
		return ThroughPeers
	case len(peers) == 0:
		return Isolated
	}
	return Unreachable
}
