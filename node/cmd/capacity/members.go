package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthnotch/jacinthnotch/domain/member"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

const (
	// messageOverheadBytes is the size of a message beside its payload: the IPv4 and TCP
	// headers, the bare acknowledgement and the drpc frame.
	messageOverheadBytes = 110
	// announcingMembers is the number of members that announce backlogs, one for each
	// partition. Each announces announcedModels models.
	announcingMembers = 64
	announcedModels   = 7
)

// simEvent is a function that runs at a virtual time unless the member that it belongs to
// is dead. seq orders events of the same time.
type simEvent struct {
	at  time.Time
	seq int
	to  int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any     { o := *q; x := o[len(o)-1]; *q = o[:len(o)-1]; return x }

// fleetSim simulates a fleet of membership tables in virtual time.
type fleetSim struct {
	now    time.Time
	rng    *rand.Rand
	queue  simQueue
	seq    int
	tables []*member.Table
	dead   []bool
	byID   map[string]int
	bytes  float64
	// deathDetections and headUpdates count the members that know of the last death and of
	// the last configuration head. lastDetection and lastHeadUpdate are the times at which
	// the latest of them learned of it.
	killedID                      string
	deathDetections, headUpdates  int
	lastDetection, lastHeadUpdate time.Time
	firstDetection                time.Time
}

func newFleetSim(n int) *fleetSim {
	s := &fleetSim{now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(7, uint64(n))), byID: map[string]int{}, dead: make([]bool, n)}
	var list []member.ListedInstance
	for i := range n {
		id := fmt.Sprintf("instance-%03d", i)
		info := member.Info{ID: id, Address: "10.0.0.1:" + id, DataCentre: fmt.Sprintf("dc-%d", i%5), Weight: 100}
		list = append(list, member.ListedInstance{Info: info})
		s.byID[id] = i
		s.tables = append(s.tables, member.New(member.DefaultConfig(), info, uint64(s.now.UnixMilli()), s.now, rand.New(rand.NewPCG(s.rng.Uint64(), 2))))
	}
	for i, t := range s.tables {
		s.perform(i, t.ApplyList(s.now, list, nil))
		s.schedule(time.Duration(s.rng.IntN(int(time.Second))), i, func() { s.tick(i) })
		if i < announcingMembers {
			s.schedule(0, i, func() { s.announce(i) })
		}
	}
	return s
}

func (s *fleetSim) schedule(d time.Duration, to int, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now.Add(d), s.seq, to, run})
}

func (s *fleetSim) runFor(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		e := heap.Pop(&s.queue).(simEvent)
		if s.now = e.at; !s.dead[e.to] {
			e.run()
		}
	}
	s.now = end
}

func (s *fleetSim) tick(i int) {
	t := s.tables[i]
	s.perform(i, t.Tick(s.now))
	s.schedule(max(t.NextTick().Sub(s.now), time.Millisecond), i, func() { s.tick(i) })
}

// announce changes the member's backlogs four times a second, as node/members does.
func (s *fleetSim) announce(i int) {
	for m := range announcedModels {
		s.tables[i].SetBacklog(fmt.Sprintf("model-%d", m), uint32(1000+s.rng.IntN(1000)), s.now.UnixMilli())
	}
	s.schedule(250*time.Millisecond, i, func() { s.announce(i) })
}

// send counts a message and delivers it after a random delay of 0.5 ms to 1.5 ms.
func (s *fleetSim) send(to int, m proto.Message, run func()) {
	s.bytes += float64(proto.Size(m) + messageOverheadBytes)
	s.schedule(500*time.Microsecond+time.Duration(s.rng.IntN(int(time.Millisecond))), to, run)
}

func (s *fleetSim) ping(from int, p member.SendPing, done func(*peerpb.Ack)) {
	to := s.byID[p.To]
	s.send(to, p.Ping, func() {
		ack, actions := s.tables[to].HandlePing(s.now, p.Ping)
		s.perform(to, actions)
		s.send(from, ack, func() { done(ack) })
	})
}

// perform carries out the actions that the i-th member's table returned.
func (s *fleetSim) perform(i int, actions []member.Action) {
	t := s.tables[i]
	for _, a := range actions {
		switch a := a.(type) {
		case member.SendPing:
			s.ping(i, a, func(ack *peerpb.Ack) { s.perform(i, t.HandleAck(s.now, a.Ping.Seq, ack)) })
		case member.SendPingVia:
			via := s.byID[a.Via]
			s.send(via, a.Request, func() {
				s.ping(via, s.tables[via].RelayPing(s.now, a.Request), func(ack *peerpb.Ack) {
					s.send(i, ack, func() { s.perform(i, t.HandleAck(s.now, a.Request.Seq, ack)) })
				})
			})
		case member.MemberChanged:
			if a.Member.Status == member.Dead && a.Member.ID == s.killedID {
				if s.deathDetections++; s.deathDetections == 1 {
					s.firstDetection = s.now
				}
				s.lastDetection = s.now
			}
		case member.ConfigAhead:
			// Fetching the revision takes one round trip.
			s.schedule(2*time.Millisecond, i, func() {
				t.SetConfigRevision(a.Revision)
				s.headUpdates, s.lastHeadUpdate = s.headUpdates+1, s.now
			})
		}
	}
}

// killMember stops a member and returns the times until the first and the last of the
// others detect its death, in seconds.
func (s *fleetSim) killMember(index int) (first, last float64) {
	alive := 0
	for _, d := range s.dead {
		if !d {
			alive++
		}
	}
	at := s.now
	s.killedID, s.deathDetections, s.dead[index] = fmt.Sprintf("instance-%03d", index), 0, true
	for range 600 {
		if s.runFor(100 * time.Millisecond); s.deathDetections >= alive-1 {
			break
		}
	}
	return s.firstDetection.Sub(at).Seconds(), s.lastDetection.Sub(at).Seconds()
}

// spreadConfigHead gives one member a newer configuration revision and returns the time
// until the last member has it, in seconds.
func (s *fleetSim) spreadConfigHead(revision int64) float64 {
	at := s.now
	s.headUpdates, s.lastHeadUpdate = 0, at
	s.tables[len(s.tables)-1].SetConfigRevision(revision)
	s.runFor(15 * time.Second)
	return s.lastHeadUpdate.Sub(at).Seconds()
}

func measureMembers(f *Figures, quick bool) error {
	sizes, steady := []int{4, 8, 16, 32, 64, 390}, 30*time.Second
	if quick {
		sizes, steady = []int{4, 16, 64}, 10*time.Second
	}
	for _, n := range sizes {
		row := MemberRow{Members: n}
		row.Memory = retainedBytes(func() any {
			s := newFleetSim(n)
			s.runFor(30 * time.Second)
			return s
		}) / float64(n)
		s := newFleetSim(n)
		s.runFor(30 * time.Second)
		s.bytes = 0
		row.CPU = cpuSeconds(func() { s.runFor(steady) }) / float64(n) / steady.Seconds()
		// Each message counts twice: one member sends it and another receives it.
		row.Bytes = 2 * s.bytes / float64(n) / steady.Seconds()
		const heads = 3
		for k := range heads {
			row.Head = max(row.Head, s.spreadConfigHead(int64(k+1)))
		}
		losses := min(3, n/2)
		for k := range losses {
			first, last := s.killMember(k)
			row.Notice += first / float64(losses)
			row.Slowest = max(row.Slowest, last)
		}
		f.Members = append(f.Members, row)
	}
	return nil
}
