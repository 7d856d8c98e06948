package linkstate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// world is what the links of one instance are like in a model: which servers run, and which of them the
// instance reaches itself. Peers reach all servers that run.
type world struct {
	running, linked map[string]bool
}

const modelServers = 5

func newWorld() *world {
	w := &world{running: map[string]bool{}, linked: map[string]bool{}}
	for n := range modelServers {
		w.setAll(w.running, true)
		w.linked[name(n)] = true
	}
	return w
}

func name(n int) string { return fmt.Sprintf("10.0.0.%d:80", n) }

func (w *world) setAll(m map[string]bool, value bool) {
	for n := range modelServers {
		m[name(n)] = value
	}
}

// model plays dials and probes on links.
type model struct {
	*world
	links    *Links
	random   *rand.Rand
	now      time.Time
	changes  int
	peerAsks int
}

func newModel(seed uint64) *model {
	return &model{world: newWorld(), links: New(), random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0)}
}

// dial dials an address as an instance does, and reports whether it is connected.
func (m *model) dial(address string) bool {
	began := m.now
	if m.links.Path() == Direct {
		m.now = m.now.Add(time.Millisecond)
		if m.running[address] && m.linked[address] {
			m.count(m.links.DirectSucceeded(m.now, address, modelServers))
			return true
		}
		m.count(m.links.DirectFailed(m.now, address, modelServers))
	}
	if !m.links.MayAskPeers(m.now, began, address) {
		return false
	}
	m.peerAsks++
	m.now = m.now.Add(time.Millisecond)
	if !m.running[address] {
		m.links.PeersFailed(m.now, address)
		return false
	}
	m.count(m.links.PeerSucceeded(m.now, address, modelServers))
	return true
}

func (m *model) count(changed bool) {
	if changed {
		m.changes++
	}
}

// probe probes a server directly while the links are down.
func (m *model) probe() {
	address := name(m.random.IntN(modelServers))
	for n := 0; n < 10 && !m.links.WorthProbing(m.now, address); n++ {
		address = name(m.random.IntN(modelServers))
	}
	if m.running[address] && m.linked[address] {
		m.count(m.links.DirectSucceeded(m.now, address, modelServers))
	} else {
		m.links.DirectFailed(m.now, address, modelServers)
	}
}

// play makes dials for a time and returns the share that connected.
func (m *model) play(d time.Duration) float64 {
	dials, connected := 0, 0
	probeAt := m.now
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(time.Duration(m.random.IntN(40)) * time.Millisecond) {
		if m.links.Path() == ThroughPeer && !m.now.Before(probeAt) {
			m.probe()
			probeAt = m.now.Add(m.links.ProbeDelay(m.now, m.random))
		}
		dials++
		if m.dial(name(m.random.IntN(modelServers))) {
			connected++
		}
	}
	return float64(connected) / float64(dials)
}

func forSeeds(t *testing.T, f func(t *testing.T, m *model)) {
	t.Helper()
	for seed := range uint64(50) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { f(t, newModel(seed)) })
	}
}

// Guards against an instance without links to servers that fails the requests of its callers, and against
// one that stays on the longer path for good.
func TestLostLinksAreBridgedUntilTheyAreBack(t *testing.T) {
	forSeeds(t, func(t *testing.T, m *model) {
		m.play(time.Second)
		for range 3 {
			m.setAll(m.linked, false)
			if share := m.play(3 * time.Second); share < 1 || m.links.Path() != ThroughPeer {
				t.Fatalf("%.3f of the dials connected, path %v", share, m.links.Path())
			}
			m.setAll(m.linked, true)
			if share := m.play(2 * time.Second); share < 1 || m.links.Path() != Direct {
				t.Fatalf("after the cut: %.3f of the dials connected, path %v", share, m.links.Path())
			}
		}
		if m.changes != 6 {
			t.Errorf("%d changes of the path in three cuts", m.changes)
		}
	})
}

// Guards against an outage of the servers that looks like lost links, and that costs a question to peers
// with each request.
func TestOutageOfAllServersIsNoLossOfLinks(t *testing.T) {
	forSeeds(t, func(t *testing.T, m *model) {
		m.play(time.Second)
		m.setAll(m.running, false)
		m.peerAsks = 0
		m.play(10 * time.Second)
		if m.links.Path() != Direct || m.changes != 0 {
			t.Errorf("path %v, %d changes", m.links.Path(), m.changes)
		}
		if most := 11 * modelServers; m.peerAsks > most {
			t.Errorf("%d questions to peers in 10 s, at most %d are due", m.peerAsks, most)
		}
		m.setAll(m.running, true)
		if share := m.play(2 * time.Second); m.links.Path() != Direct || share < 1 {
			t.Errorf("after the outage: path %v, %.3f of the dials connected", m.links.Path(), share)
		}
	})
}

// Guards against crashed servers, or a loss of the link to one server, that move all traffic to the longer
// path.
func TestOneServerOutOfReachIsNoLossOfLinks(t *testing.T) {
	forSeeds(t, func(t *testing.T, m *model) {
		m.linked[name(0)] = false
		m.running[name(1)] = false
		m.play(10 * time.Second)
		if m.changes != 0 {
			t.Errorf("%d changes of the path", m.changes)
		}
	})
}

// Guards against lost links that go unnoticed since some servers have crashed too.
func TestLostLinksBesideCrashedServers(t *testing.T) {
	forSeeds(t, func(t *testing.T, m *model) {
		m.running[name(0)], m.running[name(1)] = false, false
		m.setAll(m.linked, false)
		m.play(time.Second)
		if m.links.Path() != ThroughPeer {
			t.Error("the loss was not noticed")
		}
		m.setAll(m.linked, true)
		m.play(3 * time.Second)
		if m.links.Path() != Direct || m.changes != 2 {
			t.Errorf("path %v after %d changes", m.links.Path(), m.changes)
		}
	})
}

// Guards against an instance that helps others though it does not know whether its own links are up.
func TestInstanceInDoubtDoesNotHelp(t *testing.T) {
	l, now := New(), time.Unix(1000, 0)
	l.DirectSucceeded(now, name(0), modelServers)
	now = now.Add(time.Millisecond)
	l.DirectFailed(now, name(1), modelServers)
	l.DirectFailed(now, name(1), modelServers)
	if l.Doubtful(now) {
		t.Error("one server out of reach raises doubt")
	}
	l.DirectFailed(now, name(2), modelServers)
	if !l.Doubtful(now) {
		t.Error("two servers out of reach raise no doubt")
	}
	l.DirectSucceeded(now.Add(time.Millisecond), name(3), modelServers)
	if l.Doubtful(now.Add(time.Millisecond)) {
		t.Error("doubt remains though a server is reached")
	}
}

// Guards against a fleet with a single server whose instances never notice lost links.
func TestOnlyServerDecides(t *testing.T) {
	l, now := New(), time.Unix(1000, 0)
	l.DirectFailed(now, name(0), 1)
	if !l.PeerSucceeded(now, name(0), 1) {
		t.Fatal("the loss was not noticed")
	}
	if !l.DirectSucceeded(now.Add(time.Second), name(0), 1) {
		t.Error("the return was not noticed")
	}
}
