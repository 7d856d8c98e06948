// Package linkstate decides by which path an instance connects to backend servers: directly, or
// through another instance (a peer) while its own links to all servers are down.
//
// The package does no I/O and reads no clock; times are arguments. Links is not safe for
// concurrent use.
package linkstate

import (
	"math/rand/v2"
	"time"
)

const (
	// minEvidence is the number of distinct servers that show that the links are down or up. One
	// server alone may have lost its network to this instance only.
	minEvidence = 2
	// evidenceTTL is the age above which a failure does not count.
	evidenceTTL = 3 * time.Second
	// refusalTTL is how long peers are not asked for a server that they did not reach either.
	refusalTTL = time.Second
	// probeInterval and probeJitter bound the interval of probes while the links are down.
	probeInterval = 400 * time.Millisecond
	probeJitter   = 200 * time.Millisecond
	// confirmInterval is the interval while one more server decides.
	confirmInterval = 50 * time.Millisecond
	// maxServers limits the servers that are remembered.
	maxServers = 1024
)

// Path is the way to a server.
type Path uint8

// The paths.
const (
	// Direct: the instance's own connection.
	Direct Path = iota
	// ThroughPeer: a connection that another instance opens.
	ThroughPeer
)

// String returns the name of the path in logs and metrics.
func (p Path) String() string { return [...]string{"direct", "through a peer"}[p] }

// server is what is known of one server.
type server struct {
	// failedAt is the time of the last direct dial that failed, and relayedAt that of the last
	// dial through a peer that succeeded; zero if a direct dial succeeded since.
	failedAt, relayedAt time.Time
	// reachedAt is the time of the last direct dial that succeeded.
	reachedAt time.Time
	// refusedAt is the time of the last dial through peers that failed at the server.
	refusedAt time.Time
}

// Links is the state of the links of one instance to the servers.
type Links struct {
	down    bool
	servers map[string]*server
	// reachedAt is the time of the last direct dial to any server that succeeded.
	reachedAt time.Time
	// downSince is the time of the last transition to down.
	downSince time.Time
}

// New returns links that are up.
func New() *Links { return &Links{servers: map[string]*server{}} }

// Path returns the path of all dials.
func (l *Links) Path() Path {
	if l.down {
		return ThroughPeer
	}
	return Direct
}

// DirectSucceeded records a direct dial to an address. The instance knows the given number of servers.
// It reports whether the links are up again.
func (l *Links) DirectSucceeded(now time.Time, address string, known int) (changed bool) {
	l.reachedAt = now
	s := l.get(now, address)
	s.reachedAt, s.failedAt, s.relayedAt, s.refusedAt = now, time.Time{}, time.Time{}, time.Time{}
	if !l.down {
		return false
	}
	reached := 0
	for _, s := range l.servers {
		if s.reachedAt.After(l.downSince) && now.Sub(s.reachedAt) < evidenceTTL {
			reached++
		}
	}
	if reached < evidenceFor(known) {
		return false
	}
	l.down = false
	return true
}

// DirectFailed records a direct dial to an address that failed. It reports whether this shows that the
// links are down.
func (l *Links) DirectFailed(now time.Time, address string, known int) (changed bool) {
	s := l.get(now, address)
	s.failedAt, s.reachedAt = now, time.Time{}
	return l.judge(now, known)
}

// MayAskPeers reports whether peers may be asked for an address that a direct dial has not reached
// since it began. While the links are up, that is so unless other servers are reached or peers did not
// reach it either.
func (l *Links) MayAskPeers(now, began time.Time, address string) bool {
	if s := l.servers[address]; s != nil && !s.refusedAt.IsZero() && now.Sub(s.refusedAt) < refusalTTL {
		return false
	}
	return l.down || !l.reachedAt.After(began)
}

// PeerSucceeded records that a peer reached an address. It reports whether this shows that the
// links are down.
func (l *Links) PeerSucceeded(now time.Time, address string, known int) (changed bool) {
	s := l.get(now, address)
	s.relayedAt, s.refusedAt = now, time.Time{}
	return l.judge(now, known)
}

// judge reports whether the links are found to be down, though they counted as up.
func (l *Links) judge(now time.Time, known int) (changed bool) {
	if l.down || l.evidence(now) < evidenceFor(known) {
		return false
	}
	l.down, l.downSince = true, now
	return true
}

// PeersFailed records that peers did not reach an address.
func (l *Links) PeersFailed(now time.Time, address string) { l.get(now, address).refusedAt = now }

// Doubtful reports whether direct dials to several servers have failed since one succeeded, so that the
// links or all servers may be down.
func (l *Links) Doubtful(now time.Time) bool {
	failed := 0
	for _, s := range l.servers {
		if s.failedAt.After(l.reachedAt) && now.Sub(s.failedAt) < evidenceTTL {
			failed++
		}
	}
	return failed >= minEvidence
}

// Suspect reports whether a server was reached by a peer only, so that a probe of another one should
// tell whether the links are down.
func (l *Links) Suspect(now time.Time) bool { return !l.down && l.evidence(now) > 0 }

// WorthProbing reports whether a direct dial to an address may add to what is known.
func (l *Links) WorthProbing(now time.Time, address string) bool {
	s := l.servers[address]
	if s == nil {
		return true
	}
	if l.down {
		// Servers that peers do not reach either have crashed.
		return !s.reachedAt.After(l.downSince) && s.refusedAt.IsZero()
	}
	return !s.counts(now, l.reachedAt)
}

// ProbeDelay returns the time until the next probe.
func (l *Links) ProbeDelay(now time.Time, random *rand.Rand) time.Duration {
	if l.down && l.reachedAt.After(l.downSince) && now.Sub(l.reachedAt) < probeInterval || l.Suspect(now) {
		return confirmInterval
	}
	return probeInterval + time.Duration(random.Int64N(int64(probeJitter)))
}

// evidence returns the number of servers that only peers reach.
func (l *Links) evidence(now time.Time) int {
	n := 0
	for _, s := range l.servers {
		if s.counts(now, l.reachedAt) {
			n++
		}
	}
	return n
}

// counts reports whether the server was reached by a peer, but not directly, and no server was since.
func (s *server) counts(now, reachedAt time.Time) bool {
	return s.failedAt.After(reachedAt) && !s.relayedAt.IsZero() && now.Sub(s.failedAt) < evidenceTTL && now.Sub(s.relayedAt) < evidenceTTL
}

// latest returns the time of the last event.
func (s *server) latest() time.Time {
	at := s.failedAt
	for _, t := range [...]time.Time{s.relayedAt, s.reachedAt, s.refusedAt} {
		if t.After(at) {
			at = t
		}
	}
	return at
}

// evidenceFor returns the number of servers that decide if the given number are known.
func evidenceFor(known int) int { return max(1, min(minEvidence, known)) }

// get returns the server of an address, which it adds if it is new.
func (l *Links) get(now time.Time, address string) *server {
	s := l.servers[address]
	if s != nil {
		return s
	}
	if len(l.servers) >= maxServers {
		for a, old := range l.servers {
			if now.Sub(old.latest()) >= evidenceTTL {
				delete(l.servers, a)
			}
		}
	}
	s = &server{}
	l.servers[address] = s
	return s
}
