package reach

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

// Guards against calls through a peer that does not reach the store either or that has
// just failed, against bytes between data centres while a near peer helps, and against
// asking only instances of one data centre, which a cut takes together (scale-2 of
// kme-confirm).
func TestChoose(t *testing.T) {
	peers := []Peer{{Name: "far", ReachesStore: true}, {Name: "cut", SameDataCentre: true}, {Name: "a", SameDataCentre: true, ReachesStore: true}, {Name: "b", SameDataCentre: true, ReachesStore: true}}
	table := NewPaths()
	if got := names(table.RankPeers(epoch, peers)); !slices.Equal(got, []string{"a", "far", "b"}) {
		t.Fatalf("chose %v", got)
	}
	table.RecordPeerFailure(epoch, "a")
	if got := names(table.RankPeers(epoch, peers)); !slices.Equal(got, []string{"b", "far"}) {
		t.Fatalf("chose %v after a failed", got)
	}
	if got := names(table.RankPeers(epoch.Add(avoidFor), peers)); !slices.Equal(got, []string{"a", "far", "b"}) {
		t.Fatalf("chose %v once a may help again", got)
	}
}

// Guards against a store that is taken as away while a peer reaches it, and as reached
// by others when nobody is heard.
func TestOutlook(t *testing.T) {
	reaching, cut := Peer{Name: "a", ReachesStore: true}, Peer{Name: "b"}
	table := NewPaths()
	if o := table.Reachability(epoch, nil); o != Direct {
		t.Fatalf("at the start: %v", o)
	}
	if !table.RecordFailure() || table.RecordFailure() {
		t.Fatal("only the first failure is a loss")
	}
	for _, c := range []struct {
		peers []Peer
		want  Reachability
	}{{nil, Isolated}, {[]Peer{cut}, Unreachable}, {[]Peer{cut, reaching}, ThroughPeers}} {
		if o := table.Reachability(epoch, c.peers); o != c.want {
			t.Errorf("peers %v: %v, want %v", c.peers, o, c.want)
		}
	}
	table.RecordPeerFailure(epoch, "a")
	if o := table.Reachability(epoch, []Peer{cut, reaching}); o != Unreachable {
		t.Errorf("after the only reaching peer failed: %v", o)
	}
	if !table.RecordSuccess(time.Millisecond) || table.RecordSuccess(time.Millisecond) || table.Reachability(epoch, nil) != Direct {
		t.Error("an answer on the own path does not end the loss")
	}
}

// Guards against a store that answers slowly for everybody being taken as lost by each
// call, and against a patience that lets a submission miss its objective in calm times.
func TestPatienceFollowsTheStore(t *testing.T) {
	table := NewPaths()
	for range 20 {
		table.RecordSuccess(4 * time.Millisecond)
	}
	if p := table.AttemptTimeout(); p != patienceLeast {
		t.Fatalf("calm: %v", p)
	}
	for range 100 {
		table.RecordSuccess(0) // a call that was kept waiting
	}
	if p := table.AttemptTimeout(); p != patienceLeast {
		t.Fatalf("after calls that were kept waiting: %v", p)
	}
	for range 20 {
		table.RecordSuccess(240 * time.Millisecond)
	}
	if p := table.AttemptTimeout(); p < 240*time.Millisecond || p > patienceMost {
		t.Fatalf("slow: %v", p)
	}
}
