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
	// wireOverhead is what a message costs beside its payload: IPv4 and TCP
	// headers, the bare acknowledgement and the drpc frame, in bytes.
	wireOverhead = 110
	// announcers is the number of members that announce backlogs, as many as
	// there are partitions, and announced that of models each announces.
	announcers = 64
	announced  = 7
)

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

// fleetSim runs membership tables against each other in virtual time.
type fleetSim struct {
	now    time.Time
	rng    *rand.Rand
	queue  simQueue
	seq    int
	tables []*member.Table
	dead   []bool
	byID   map[string]int
	bytes  float64
	// noticed and headSeen count the members that know of the last death and of
	// the last head, lastNotice and lastHead are when the last one learned it.
	victim               string
	noticed, headSeen    int
	lastNotice, lastHead time.Time
	firstNotice          time.Time
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
		s.do(i, t.ApplyList(s.now, list, nil))
		s.after(time.Duration(s.rng.IntN(int(time.Second))), i, func() { s.tick(i) })
		if i < announcers {
			s.after(0, i, func() { s.announce(i) })
		}
	}
	return s
}

func (s *fleetSim) after(d time.Duration, to int, run func()) {
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
	s.do(i, t.Tick(s.now))
	s.after(max(t.NextTick().Sub(s.now), time.Millisecond), i, func() { s.tick(i) })
}

// announce changes the member's backlogs four times a second, as the duty does.
func (s *fleetSim) announce(i int) {
	for m := range announced {
		s.tables[i].SetBacklog(fmt.Sprintf("model-%d", m), uint32(1000+s.rng.IntN(1000)), s.now.UnixMilli())
	}
	s.after(250*time.Millisecond, i, func() { s.announce(i) })
}

func (s *fleetSim) send(to int, m proto.Message, run func()) {
	s.bytes += float64(proto.Size(m) + wireOverhead)
	s.after(500*time.Microsecond+time.Duration(s.rng.IntN(int(time.Millisecond))), to, run)
}

func (s *fleetSim) ping(from int, p member.SendPing, done func(*peerpb.Ack)) {
	to := s.byID[p.To]
	s.send(to, p.Ping, func() {
		ack, actions := s.tables[to].HandlePing(s.now, p.Ping)
		s.do(to, actions)
		s.send(from, ack, func() { done(ack) })
	})
}

func (s *fleetSim) do(i int, actions []member.Action) {
	t := s.tables[i]
	for _, a := range actions {
		switch a := a.(type) {
		case member.SendPing:
			s.ping(i, a, func(ack *peerpb.Ack) { s.do(i, t.HandleAck(s.now, a.Ping.Seq, ack)) })
		case member.SendPingVia:
			via := s.byID[a.Via]
			s.send(via, a.Request, func() {
				s.ping(via, s.tables[via].RelayPing(s.now, a.Request), func(ack *peerpb.Ack) {
					s.send(i, ack, func() { s.do(i, t.HandleAck(s.now, a.Request.Seq, ack)) })
				})
			})
		case member.MemberChanged:
			if a.Member.Status == member.Dead && a.Member.ID == s.victim {
				if s.noticed++; s.noticed == 1 {
					s.firstNotice = s.now
				}
				s.lastNotice = s.now
			}
		case member.ConfigAhead:
			// The fetch takes two trips.
			s.after(2*time.Millisecond, i, func() {
				t.SetConfigHead(a.Revision)
				s.headSeen, s.lastHead = s.headSeen+1, s.now
			})
		}
	}
}

// loss kills a member and returns when the first and the last noticed.
func (s *fleetSim) loss(victim int) (first, last float64) {
	alive := 0
	for _, d := range s.dead {
		if !d {
			alive++
		}
	}
	at := s.now
	s.victim, s.noticed, s.dead[victim] = fmt.Sprintf("instance-%03d", victim), 0, true
	for range 600 {
		if s.runFor(100 * time.Millisecond); s.noticed >= alive-1 {
			break
		}
	}
	return s.firstNotice.Sub(at).Seconds(), s.lastNotice.Sub(at).Seconds()
}

// head gives one member a newer configuration and returns when the last member
// has it.
func (s *fleetSim) head(revision int64) float64 {
	at := s.now
	s.headSeen, s.lastHead = 0, at
	s.tables[len(s.tables)-1].SetConfigHead(revision)
	s.runFor(15 * time.Second)
	return s.lastHead.Sub(at).Seconds()
}

func measureMembers(f *Figures, quick bool) error {
	sizes, steady := []int{4, 8, 16, 32, 64, 390}, 30*time.Second
	if quick {
		sizes, steady = []int{4, 16, 64}, 10*time.Second
	}
	for _, n := range sizes {
		row := MemberRow{Members: n}
		row.Memory = sizeOf(func() any {
			s := newFleetSim(n)
			s.runFor(30 * time.Second)
			return s
		}) / float64(n)
		s := newFleetSim(n)
		s.runFor(30 * time.Second)
		s.bytes = 0
		row.CPU = cpuOf(func() { s.runFor(steady) }) / float64(n) / steady.Seconds()
		// Each message is sent by one member and received by another.
		row.Bytes = 2 * s.bytes / float64(n) / steady.Seconds()
		const heads = 3
		for k := range heads {
			row.Head = max(row.Head, s.head(int64(k+1)))
		}
		losses := min(3, n/2)
		for k := range losses {
			first, last := s.loss(k)
			row.Notice += first / float64(losses)
			row.Slowest = max(row.Slowest, last)
		}
		f.Members = append(f.Members, row)
	}
	return nil
}
