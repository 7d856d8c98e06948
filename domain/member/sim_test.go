package member

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

// messageOverhead is what a message costs beside its payload: IPv4 and TCP
// headers, the bare acknowledgement and the drpc frame, in bytes.
const messageOverhead = 110

type event struct {
	at   time.Time
	seq  int
	node int
	run  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

// simNode is one member with what happened to it.
type simNode struct {
	t          *Table
	dead       bool
	paused     time.Time
	bytes      int
	diedOthers map[string]time.Time
	sawServer  time.Time
	sawConfig  time.Time
}

// sim runs tables against each other in virtual time.
type sim struct {
	now    time.Time
	rng    *rand.Rand
	queue  events
	seq    int
	nodes  []*simNode
	byID   map[string]int
	loss   float64
	cut    func(a, b int) bool
	falses int
}

var seed = flag.Uint64("seed", 7, "seed of the fault simulation")

func newSim(n int, seed uint64) *sim {
	s := &sim{now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), byID: map[string]int{}}
	for range n {
		s.start(fmt.Sprintf("instance-%03d", len(s.nodes)))
	}
	s.list(nil)
	return s
}

func (s *sim) start(id string) int {
	i := len(s.nodes)
	info := Info{ID: id, Address: "10.0.0.1:" + id, DataCentre: fmt.Sprintf("dc-%d", i%4), Weight: 100}
	s.nodes = append(s.nodes, &simNode{
		t:          New(DefaultConfig(), info, uint64(s.now.UnixMilli()), s.now, rand.New(rand.NewPCG(s.rng.Uint64(), 2))),
		diedOthers: map[string]time.Time{},
	})
	s.byID[id] = i
	s.after(time.Duration(s.rng.IntN(int(tickInterval))), i, func() { s.tick(i) })
	return i
}

// list gives every member the platform's list of all instances.
func (s *sim) list(servers []ListedServer) {
	var l []ListedInstance
	for _, n := range s.nodes {
		l = append(l, ListedInstance{Info: n.t.members[n.t.self].Info})
	}
	for i, n := range s.nodes {
		if !n.dead {
			s.do(i, n.t.ApplyList(s.now, l, servers))
		}
	}
}

func (s *sim) after(d time.Duration, node int, run func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now.Add(d), s.seq, node, run})
}

func (s *sim) runFor(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		n := s.nodes[e.node]
		if n.dead {
			continue
		}
		if s.now.Before(n.paused) {
			s.after(n.paused.Sub(s.now), e.node, e.run)
			continue
		}
		e.run()
	}
	s.now = end
}

func (s *sim) tick(i int) {
	t := s.nodes[i].t
	s.do(i, t.Tick(s.now))
	s.after(max(t.NextTick().Sub(s.now), time.Millisecond), i, func() { s.tick(i) })
}

// send delivers a message unless it is lost; one-way latency is 0.5 to 1.5 ms.
func (s *sim) send(from, to int, m proto.Message, run func()) {
	size := proto.Size(m) + messageOverhead
	s.nodes[from].bytes += size
	if s.rng.Float64() < s.loss || s.cut != nil && s.cut(from, to) {
		return
	}
	s.nodes[to].bytes += size
	s.after(500*time.Microsecond+time.Duration(s.rng.IntN(int(time.Millisecond))), to, run)
}

func (s *sim) ping(from int, p SendPing, done func(*peerpb.Ack)) {
	to := s.byID[p.To]
	s.send(from, to, p.Ping, func() {
		ack, actions := s.nodes[to].t.HandlePing(s.now, p.Ping)
		s.do(to, actions)
		s.send(to, from, ack, func() { done(ack) })
	})
}

func (s *sim) do(i int, actions []Action) {
	n := s.nodes[i]
	for _, a := range actions {
		switch a := a.(type) {
		case SendPing:
			s.ping(i, a, func(ack *peerpb.Ack) { s.do(i, n.t.HandleAck(s.now, a.Ping.Seq, ack)) })
		case SendPingVia:
			via := s.byID[a.Via]
			s.send(i, via, a.Request, func() {
				s.ping(via, s.nodes[via].t.RelayPing(s.now, a.Request), func(ack *peerpb.Ack) {
					s.send(via, i, ack, func() { s.do(i, n.t.HandleAck(s.now, a.Request.Seq, ack)) })
				})
			})
		case MemberChanged:
			if a.Member.Status == Dead {
				n.diedOthers[a.Member.ID] = s.now
				if j := s.byID[a.Member.ID]; !s.nodes[j].dead {
					s.falses++
				}
			}
		case ServerChanged:
			n.sawServer = s.now
		case ConfigAhead:
			// The fetch takes two trips.
			s.after(2*time.Millisecond, i, func() {
				n.t.SetConfigHead(a.Revision)
				n.sawConfig = s.now
			})
		}
	}
}

// spread returns how long after from the first and the last living member saw
// something.
func (s *sim) spread(from time.Time, except int, saw func(*simNode) time.Time) (first, last time.Duration, missing int) {
	var ds []time.Duration
	for i, n := range s.nodes {
		if n.dead || i == except {
			continue
		}
		if at := saw(n); at.Before(from) {
			missing++
		} else {
			ds = append(ds, at.Sub(from))
		}
	}
	if len(ds) == 0 {
		return 0, 0, missing
	}
	sort.Slice(ds, func(i, j int) bool { return ds[i] < ds[j] })
	return ds[0], ds[len(ds)-1], missing
}

func (s *sim) expectAllLive(t *testing.T, want int) {
	t.Helper()
	for _, n := range s.nodes {
		if got := len(n.t.live()); !n.dead && got != want {
			t.Fatalf("%s sees %d live members, want %d", n.t.self, got, want)
		}
	}
}

// Guards against a failure detector that is slow, loud or wrong. The bounds are
// those of docs/design.md: a kill is known everywhere within 3 s at 12 members
// in the mean, 2 KB/s sent and received for each member at 390.
func TestFleetSizes(t *testing.T) {
	for _, n := range []int{12, 48, 390} {
		kills := map[int]int{12: 40, 48: 10, 390: 3}[n]
		if testing.Short() {
			kills = 2
		}
		s := newSim(n, uint64(n))
		s.runFor(20 * time.Second)
		s.expectAllLive(t, n)
		for _, x := range s.nodes {
			x.bytes = 0
		}
		began := s.now
		var known []time.Duration
		var firstMax time.Duration
		var server, config time.Duration
		live := n
		for k := range kills {
			at := s.now
			s.nodes[0].t.SetConfigHead(int64(k + 1))
			s.do(1, s.nodes[1].t.ApplyList(s.now, nil, []ListedServer{{ID: fmt.Sprint("server-", k), Leaving: true}}))
			s.runFor(10 * time.Second)
			_, last, missing := s.spread(at, 1, func(x *simNode) time.Time { return x.sawServer })
			_, lastC, missingC := s.spread(at, 0, func(x *simNode) time.Time { return x.sawConfig })
			if missing+missingC > 0 {
				t.Errorf("n=%d: %d members missed a server's mark, %d a revision", n, missing, missingC)
			}
			server, config = max(server, last), max(config, lastC)
			for i, x := range s.nodes {
				x.t.SetBacklog("letters-7b", uint32(s.rng.IntN(3)*(i%3)), 1)
				x.t.SetBacklog("writer-13b", uint32(s.rng.IntN(2000)*(i%2)), 1)
			}
			victim := 2 + s.rng.IntN(n-2)
			s.nodes[victim].dead = true
			at = s.now
			s.runFor(20 * time.Second)
			id := s.nodes[victim].t.self
			first, last, missing := s.spread(at, -1, func(x *simNode) time.Time { return x.diedOthers[id] })
			if missing > 0 {
				t.Errorf("n=%d: %d members missed the death of %s", n, missing, id)
			}
			firstMax, known = max(firstMax, first), append(known, last)
			s.expectAllLive(t, live-1)
			s.nodes[victim].dead = false
			s.nodes[victim].t = New(DefaultConfig(), s.nodes[victim].t.members[id].Info, uint64(s.now.UnixMilli()), s.now, rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
			s.after(0, victim, func() { s.tick(victim) })
			s.list(nil)
			s.runFor(10 * time.Second)
			s.expectAllLive(t, live)
		}
		total := 0
		for _, x := range s.nodes {
			total += x.bytes
		}
		rate := float64(total) / float64(n) / s.now.Sub(began).Seconds()
		sort.Slice(known, func(i, j int) bool { return known[i] < known[j] })
		sum := time.Duration(0)
		for _, d := range known {
			sum += d
		}
		mean := sum / time.Duration(len(known))
		t.Logf("n=%d: %d kills, known everywhere mean %v median %v max %v (noticed max %v); server mark max %v, revision max %v; %.0f B/s sent and received; %d false deaths",
			n, kills, mean, known[len(known)/2], known[len(known)-1], firstMax, server, config, rate, s.falses)
		if n == 12 && mean > 3*time.Second {
			t.Errorf("n=12: a kill is known everywhere after %v in the mean, want 3 s", mean)
		}
		if limit := map[int]time.Duration{12: 2 * time.Second, 48: 2 * time.Second, 390: 8 * time.Second}[n]; config > limit || server > 3*time.Second {
			t.Errorf("n=%d: a revision took %v, want %v; a server's mark %v, want 3 s", n, config, limit, server)
		}
		if rate > 2048 {
			t.Errorf("n=%d: %.0f B/s for each member, want 2048", n, rate)
		}
		if s.falses > 0 {
			t.Errorf("n=%d: %d false deaths without faults", n, s.falses)
		}
	}
}

// Guards against false deaths from lost messages and pauses of members, and
// against members that stay lost after a separation.
func TestFaults(t *testing.T) {
	minutes := 10
	if testing.Short() {
		minutes = 1
	}
	s := newSim(48, *seed)
	s.loss = 0.02
	s.runFor(20 * time.Second)
	pauses := 0
	for range minutes * 60 {
		i := s.rng.IntN(48)
		s.nodes[i].paused = s.now.Add(time.Duration(100+s.rng.IntN(900)) * time.Millisecond)
		pauses++
		s.runFor(time.Second)
	}
	t.Logf("48 members, 2%% loss, %d pauses of 0.1 to 1 s in %d min: %d false deaths", pauses, minutes, s.falses)
	if s.falses > 0 {
		t.Errorf("%d false deaths", s.falses)
	}
	s.loss = 0
	s.cut = func(a, b int) bool { return (a < 24) != (b < 24) }
	s.runFor(60 * time.Second)
	s.expectAllLive(t, 24)
	s.cut = nil
	at := s.now
	for s.now.Sub(at) < 2*time.Minute {
		s.runFor(time.Second)
		whole := true
		for _, n := range s.nodes {
			whole = whole && len(n.t.live()) == 48
		}
		if whole {
			break
		}
	}
	s.expectAllLive(t, 48)
	t.Logf("two halves of 24 are one fleet %v after their separation ends", s.now.Sub(at))
}
