// Package reach decides by which path an instance calls the platform's store: its own,
// or that of another instance while its own fails.
//
// It does no I/O and reads no clock: times are arguments. A Table is not safe for
// concurrent use.
package reach

import (
	"time"
)

const (
	// tookShare is the weight of one measured call.
	tookShare = 0.2
	// patienceTimes the usual time of a call, and at least patienceLeast, is how long
	// a path is waited for before another one is tried. The store answers in 4 ms, and
	// in 0.24 s on the slowest days that the pages describe; a submission has to be
	// accepted within 0.4 s.
	patienceTimes = 6
	patienceLeast = 80 * time.Millisecond
	// patienceMost is reached by a store that answers slowly for all instances.
	patienceMost = time.Second
	// avoidFor is the time for which a peer that could not help is not asked again.
	avoidFor = time.Second
)

// Peer is another instance that states whether its own path works.
type Peer struct {
	Name string
	// Address is the IP:PORT of its calls.
	Address string
	// SameDataCentre is set for a peer in the same data centre: bytes between them have a price.
	SameDataCentre bool
	// ReachesStore is set while the peer's own path works.
	ReachesStore bool
}

// Reachability is what an instance believes of the store.
type Reachability uint8

// The outlooks.
const (
	// Direct: the instance's own path works.
	Direct Reachability = iota
	// ThroughPeers: its own path fails, and that of a peer works.
	ThroughPeers
	// Isolated: its own path fails, and it hears no peer. Others may reach the store.
	Isolated
	// Unreachable: no instance that is heard reaches the store.
	Unreachable
)

// String returns the outlook's name in logs.
func (o Reachability) String() string {
	return [...]string{"direct", "through peers", "isolated", "away"}[o]
}

// Paths is what one instance knows of the paths.
type Paths struct {
	failed bool
	usual  time.Duration
	avoid  map[string]time.Time
}

// NewPaths returns a table in which the own path works.
func NewPaths() *Paths { return &Paths{avoid: map[string]time.Time{}} }

// OwnPathUp reports whether the instance's own path works, as far as it knows.
func (t *Paths) OwnPathUp() bool { return !t.failed }

// RecordSuccess records a call that the store answered on the own path within d, which is
// zero when that does not show how fast the store is. It reports whether the path had
// failed before.
func (t *Paths) RecordSuccess(d time.Duration) (regained bool) {
	if t.usual == 0 {
		t.usual = d
	}
	if d > 0 {
		t.usual += time.Duration(tookShare * float64(d-t.usual))
	}
	regained, t.failed = t.failed, false
	return regained
}

// RecordFailure records a call without an answer on the own path. It reports whether the path
// had worked before.
func (t *Paths) RecordFailure() (lost bool) {
	lost, t.failed = !t.failed, true
	return lost
}

// AttemptTimeout returns how long a call on one path is waited for.
func (t *Paths) AttemptTimeout() time.Duration {
	return min(patienceMost, max(patienceLeast, patienceTimes*t.usual))
}

// RecordPeerFailure records that a peer could not help.
func (t *Paths) RecordPeerFailure(now time.Time, name string) { t.avoid[name] = now.Add(avoidFor) }

// RankPeers returns the peers to ask, in this order: a near one first, then one of another
// data centre, since a cut often takes several instances of one, and so on. The order of
// the list is kept otherwise; a caller that shuffles it spreads the load.
func (t *Paths) RankPeers(now time.Time, peers []Peer) []Peer {
	var near, far, order []Peer
	for _, p := range peers {
		switch {
		case !p.ReachesStore || now.Before(t.avoid[p.Name]):
		case p.SameDataCentre:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	for len(near) > 0 && len(far) > 0 {
		order = append(order, near[0], far[0])
		near, far = near[1:], far[1:]
	}
	return append(append(order, near...), far...)
}

// Reachability returns what the instance believes of the store.
func (t *Paths) Reachability(now time.Time, peers []Peer) Reachability {
	switch {
	case t.OwnPathUp():
		return Direct
	case len(t.RankPeers(now, peers)) > 0:
		return ThroughPeers
	case len(peers) == 0:
		return Isolated
	}
	return Unreachable
}
