package pathselect

import (
	"slices"
	"testing"
	"time"
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func names(peers []Peer) []string {
	var list []string
	for _, p := range peers {
		list = append(list, p.Name)
	}
	return list
}

// Guards against calls through a peer that does not reach the store or has just failed,
// against traffic between data centres while a peer in the same one can relay, and against
// trying only peers of one data centre, which a network cut affects together.
func TestRankPeers(t *testing.T) {
	peers := []Peer{{Name: "far", ReachesStore: true}, {Name: "cut", SameDataCentre: true}, {Name: "a", SameDataCentre: true, ReachesStore: true}, {Name: "b", SameDataCentre: true, ReachesStore: true}}
	paths := NewPaths()
	if got := names(paths.RankPeers(epoch, peers)); !slices.Equal(got, []string{"a", "far", "b"}) {
		t.Fatalf("ranked %v", got)
	}
	paths.RecordPeerFailure(epoch, "a")
	if got := names(paths.RankPeers(epoch, peers)); !slices.Equal(got, []string{"b", "far"}) {
		t.Fatalf("ranked %v after a failed", got)
	}
	if got := names(paths.RankPeers(epoch.Add(peerCooldown), peers)); !slices.Equal(got, []string{"a", "far", "b"}) {
		t.Fatalf("ranked %v after the cooldown of a", got)
	}
}

// Guards against a store that is reported as unreachable while a peer reaches it, and against
// an instance without peers that reports it as unreachable for all.
func TestReachability(t *testing.T) {
	reaching, cut := Peer{Name: "a", ReachesStore: true}, Peer{Name: "b"}
	paths := NewPaths()
	if o := paths.Reachability(epoch, nil); o != Direct {
		t.Fatalf("at the start: %v", o)
	}
	if !paths.RecordFailure() || paths.RecordFailure() {
		t.Fatal("a path is not lost by the first failure, or is lost again by the second")
	}
	for _, c := range []struct {
		peers []Peer
		want  Reachability
	}{{nil, Isolated}, {[]Peer{cut}, Unreachable}, {[]Peer{cut, reaching}, ThroughPeers}} {
		if o := paths.Reachability(epoch, c.peers); o != c.want {
			t.Errorf("peers %v: %v, want %v", c.peers, o, c.want)
		}
	}
	paths.RecordPeerFailure(epoch, "a")
	if o := paths.Reachability(epoch, []Peer{cut, reaching}); o != Unreachable {
		t.Errorf("after the only peer that reaches the store failed: %v", o)
	}
	if !paths.RecordSuccess(time.Millisecond) || paths.RecordSuccess(time.Millisecond) || paths.Reachability(epoch, nil) != Direct {
		t.Error("the own path is not regained by the first answer, or is regained again by the second")
	}
}

// Guards against a timeout that makes each call fail when the store is slow for all
// instances, and against one that is so long at normal latency that a submission misses its
// objective.
func TestAttemptTimeoutFollowsLatency(t *testing.T) {
	paths := NewPaths()
	for range 20 {
		paths.RecordSuccess(4 * time.Millisecond)
	}
	if p := paths.AttemptTimeout(); p != minTimeout {
		t.Fatalf("at normal latency: %v", p)
	}
	for range 100 {
		paths.RecordSuccess(0) // no latency, as for a long poll
	}
	if p := paths.AttemptTimeout(); p != minTimeout {
		t.Fatalf("after calls without a latency: %v", p)
	}
	for range 20 {
		paths.RecordSuccess(240 * time.Millisecond)
	}
	if p := paths.AttemptTimeout(); p < 240*time.Millisecond || p > maxTimeout {
		t.Fatalf("at high latency: %v", p)
	}
}

// Guards against an instance without a path of its own whose calls through peers never succeed once the store is
// slow, since the time that it gives them does not grow.
func TestTimeoutsOfRelayedCallsGrow(t *testing.T) {
	const slow = 240 * time.Millisecond
	paths := NewPaths()
	paths.RecordSuccess(4 * time.Millisecond)
	calls := 0
	for ; paths.AttemptTimeout() < 2*slow && calls < 10; calls++ {
		paths.RecordTimeout(paths.AttemptTimeout())
	}
	if calls > 4 {
		t.Errorf("the timeout is %v after %d calls that were given up", paths.AttemptTimeout(), calls)
	}
	if paths.RecordTimeout(time.Minute); paths.AttemptTimeout() > maxTimeout {
		t.Errorf("the timeout is %v", paths.AttemptTimeout())
	}
}
