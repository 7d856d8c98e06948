package member

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

const (
	// tickInterval is the longest time between two ticks; pauseGap is the gap
	// from which on the process is taken to have been paused.
	tickInterval = 100 * time.Millisecond
	pauseGap     = 3 * tickInterval
	// healTurns is the number of probe intervals between two probes of a member
	// that is dead or silent.
	healTurns = 5
)

type probeKind uint8

const (
	// probeTurn is the regular probe; only its silence has consequences.
	probeTurn probeKind = iota
	probeGossip
	probeJoin
)

// probe is a ping without an answer so far.
type probe struct {
	target   string
	kind     probeKind
	indirect bool
	deadline time.Time
	// incarnation is the target's when the ping was sent.
	incarnation uint64
}

// cycle is the order of offsets in which members probe each other.
type cycle struct {
	number int64
	n      int
	offset []int
}

// at returns the offset for an interval among n members; the same on every member.
func (c *cycle) at(interval int64, n int) int {
	number := interval / int64(n-1)
	if c.offset == nil || c.number != number || c.n != n {
		*c = cycle{number: number, n: n, offset: rand.New(rand.NewPCG(uint64(number), uint64(n))).Perm(n - 1)}
	}
	return 1 + c.offset[interval%int64(n-1)]
}

// turnAfter returns the time of this member's next probe after now. Members are
// spread over the interval by a hash of their names.
func (t *Table) turnAfter(now time.Time) time.Time {
	interval := int64(t.cfg.ProbeInterval)
	phase := int64(xxhash.Sum64String(t.self) % uint64(interval))
	next := (now.UnixNano()-phase)/interval*interval + phase
	for next <= now.UnixNano() {
		next += interval
	}
	return time.Unix(0, next)
}

// NextTick returns when Tick must be called at the latest.
func (t *Table) NextTick() time.Time {
	if t.urgent > 0 || len(t.joins) > 0 {
		return t.lastTick.Add(tickInterval / 10)
	}
	return t.lastTick.Add(tickInterval)
}

// Tick advances the protocol to now.
func (t *Table) Tick(now time.Time) []Action {
	if gap := now.Sub(t.lastTick); gap > pauseGap {
		t.addPause(gap)
	}
	t.lastTick = now
	out := t.expireProbes(now)
	out = append(out, t.expireSuspicions(now)...)
	out = append(out, t.remind(now)...)
	out = append(out, t.join(now)...)
	if !now.Before(t.nextTurn) {
		t.nextTurn = t.turnAfter(now)
		out = append(out, t.turn(now)...)
	}
	for t.urgent > 0 && t.gossip.take(now) {
		t.urgent--
		out = append(out, t.gossipTo(now)...)
	}
	t.announceBacklogs(now)
	return out
}

// addPause moves all timeouts on by a pause of this process: answers may wait
// unread.
func (t *Table) addPause(gap time.Duration) {
	t.counters.LocalPauses++
	for _, p := range t.probes {
		p.deadline = p.deadline.Add(gap)
	}
	for id, d := range t.suspects {
		t.suspects[id] = d.Add(gap)
	}
}

// turn probes the member whose turn it is.
func (t *Table) turn(now time.Time) []Action {
	t.forget(now)
	t.turns++
	out := t.heal(now)
	live := t.live()
	if len(live) < 2 {
		return out
	}
	i := sort.SearchStrings(live, t.self)
	interval := now.UnixNano() / int64(t.cfg.ProbeInterval)
	target := t.members[live[(i+t.cycle.at(interval, len(live)))%len(live)]]
	t.counters.Probes++
	return append(out, t.ping(now, target, probeTurn))
}

// heal probes one dead or silent instance, so that separated parts of the fleet
// meet again and a listed instance that starts late is found.
func (t *Table) heal(now time.Time) []Action {
	if t.turns%healTurns != 0 {
		return nil
	}
	var lost []string
	for _, id := range sortedKeys(t.members) {
		if m := t.members[id]; (m.Status == Dead || m.Status == Listed) && m.Address != "" {
			lost = append(lost, id)
		}
	}
	if len(lost) == 0 {
		return nil
	}
	return []Action{t.ping(now, t.members[lost[t.rng.IntN(len(lost))]], probeJoin)}
}

func (t *Table) join(now time.Time) []Action {
	var out []Action
	for range t.cfg.MaxJoinPingsPerTick {
		if len(t.joins) == 0 {
			break
		}
		id := t.joins[0]
		t.joins = t.joins[1:]
		if m := t.members[id]; m != nil && m.Status == Listed {
			t.counters.Joins++
			out = append(out, t.ping(now, m, probeJoin))
		}
	}
	return out
}

// ProbeNow probes a member out of turn, for instance when a connection to it
// has failed.
func (t *Table) ProbeNow(now time.Time, id string) []Action {
	m := t.members[id]
	if m == nil || !m.Live() || id == t.self || !t.gossip.take(now) {
		return nil
	}
	for _, p := range t.probes {
		if p.target == id && p.kind == probeTurn {
			return nil
		}
	}
	return []Action{t.ping(now, m, probeTurn)}
}

func (t *Table) ping(now time.Time, m *Member, kind probeKind) Action {
	t.seq++
	t.probes[t.seq] = &probe{target: m.ID, kind: kind, deadline: now.Add(t.cfg.DirectTimeout), incarnation: m.Incarnation}
	ping := &peerpb.Ping{From: t.self, Seq: t.seq, Updates: t.updatesFor(m)}
	return SendPing{To: m.ID, Address: m.Address, Ping: ping}
}

func (t *Table) gossipTo(now time.Time) []Action {
	var out []Action
	for _, m := range t.randomLive(1, "") {
		t.counters.Gossip++
		out = append(out, t.ping(now, m, probeGossip))
	}
	return out
}

// expireProbes asks others about silent members and suspects those that nobody
// reaches.
func (t *Table) expireProbes(now time.Time) []Action {
	var due []uint64
	for seq, p := range t.probes {
		if !now.Before(p.deadline) {
			due = append(due, seq)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i] < due[j] })
	var out []Action
	for _, seq := range due {
		p := t.probes[seq]
		m := t.members[p.target]
		if p.kind != probeTurn || m == nil || !m.Live() {
			delete(t.probes, seq)
			continue
		}
		if !p.indirect {
			p.indirect, p.deadline = true, now.Add(t.cfg.IndirectTimeout)
			for _, via := range t.randomLive(t.cfg.IndirectProbes, p.target) {
				t.counters.IndirectProbes++
				out = append(out, SendPingVia{Via: via.ID, Address: via.Address, Request: &peerpb.PingVia{
					From: t.self, Seq: seq, TargetAddress: m.Address, Target: m.ID,
				}})
			}
			continue
		}
		delete(t.probes, seq)
		if m.Status == Alive && m.Incarnation == p.incarnation {
			out = append(out, t.set(now, m, Suspect, m.Incarnation, m.Leaving)...)
			// The suspected member hears of it from the accuser and can refute it.
			t.accused[m.ID] = now
			t.suspects[m.ID] = now.Add(t.suspicionTimeout())
		}
	}
	return out
}

// remind pings the members whose suspicion began here until it ends.
func (t *Table) remind(now time.Time) []Action {
	var out []Action
	for _, id := range sortedKeys(t.accused) {
		m := t.members[id]
		if m == nil || m.Status != Suspect {
			delete(t.accused, id)
			continue
		}
		if !now.Before(t.accused[id]) {
			t.accused[id] = now.Add(t.cfg.DirectTimeout)
			out = append(out, t.ping(now, m, probeGossip))
		}
	}
	return out
}

func (t *Table) expireSuspicions(now time.Time) []Action {
	var out []Action
	for _, id := range sortedKeys(t.suspects) {
		if now.Before(t.suspects[id]) {
			continue
		}
		delete(t.suspects, id)
		if m := t.members[id]; m != nil && m.Status == Suspect {
			out = append(out, t.set(now, m, Dead, m.Incarnation, m.Leaving)...)
		}
	}
	return out
}

// HandlePing handles a ping and returns the answer.
func (t *Table) HandlePing(now time.Time, p *peerpb.Ping) (*peerpb.Ack, []Action) {
	out := t.merge(now, p.From, p.Updates)
	ack := &peerpb.Ack{From: t.self, Seq: p.Seq, Reached: true, Updates: t.updatesFor(t.members[p.From])}
	return ack, out
}

// RelayPing returns the ping that this member sends on behalf of another one. Its
// answer is returned to that member; it may also be handed to Answered.
func (t *Table) RelayPing(now time.Time, p *peerpb.PingVia) SendPing {
	m := t.members[p.Target]
	if m == nil || m.Address != p.TargetAddress {
		m = &Member{Info: Info{ID: p.Target, Address: p.TargetAddress}}
	}
	return t.ping(now, m, probeGossip).(SendPing)
}

// HandleAck handles the answer to a ping or to a request for an indirect one.
// seq is the number of the ping or request that was sent.
func (t *Table) HandleAck(now time.Time, seq uint64, a *peerpb.Ack) []Action {
	p := t.probes[seq]
	if a.Reached && p != nil {
		delete(t.probes, seq)
	}
	return t.merge(now, a.From, a.Updates)
}
