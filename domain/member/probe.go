package member

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

const (
	// tickInterval is the maximum time between two ticks. A gap of more than minPause
	// is treated as a pause of the process.
	tickInterval = 100 * time.Millisecond
	minPause     = 3 * tickInterval
	// lostProbeRounds is the number of probe intervals after which one dead member, or
	// one listed instance that has not answered, is probed.
	lostProbeRounds = 5
)

type probeKind uint8

const (
	// probeRegular is the kind of probes that detect failures. Missing answers to
	// the other kinds are ignored.
	probeRegular probeKind = iota
	// probeGossip is the kind of pings that disseminate updates, that are relayed for
	// another member, or that tell a suspect of the suspicion.
	probeGossip
	// probeJoin is the kind of pings to listed instances and dead members.
	probeJoin
)

// probe is a ping that has not been answered.
type probe struct {
	target   string
	kind     probeKind
	indirect bool
	deadline time.Time
	// incarnation is that of the target when the ping was sent.
	incarnation uint64
}

// offsetCycle is the sequence of the n-1 offsets in the sorted list of members at
// which members probe each other, one per interval.
type offsetCycle struct {
	number  int64
	n       int
	offsets []int
}

// at returns the offset for a probe interval with n members. It is the same on every
// member.
func (c *offsetCycle) at(interval int64, n int) int {
	number := interval / int64(n-1)
	if c.offsets == nil || c.number != number || c.n != n {
		*c = offsetCycle{number: number, n: n, offsets: rand.New(rand.NewPCG(uint64(number), uint64(n))).Perm(n - 1)}
	}
	return 1 + c.offsets[interval%int64(n-1)]
}

// nextProbeAfter returns the time of this member's next regular probe after now. A
// hash of the name distributes the members over the interval.
func (t *Table) nextProbeAfter(now time.Time) time.Time {
	interval := int64(t.cfg.ProbeInterval)
	phase := int64(xxhash.Sum64String(t.self) % uint64(interval))
	next := (now.UnixNano()-phase)/interval*interval + phase
	for next <= now.UnixNano() {
		next += interval
	}
	return time.Unix(0, next)
}

// NextTick returns the latest time for the next call of Tick.
func (t *Table) NextTick() time.Time {
	if t.gossipsDue > 0 || len(t.pendingJoins) > 0 {
		return t.lastTick.Add(tickInterval / 10)
	}
	return t.lastTick.Add(tickInterval)
}

// Tick processes the timers that are due and returns the resulting actions.
func (t *Table) Tick(now time.Time) []Action {
	if gap := now.Sub(t.lastTick); gap > minPause {
		t.extendTimeouts(gap)
	}
	t.lastTick = now
	out := t.expireProbes(now)
	out = append(out, t.expireSuspicions(now)...)
	out = append(out, t.pingSuspects(now)...)
	out = append(out, t.pingListed(now)...)
	if !now.Before(t.nextProbe) {
		t.nextProbe = t.nextProbeAfter(now)
		out = append(out, t.startProbeRound(now)...)
	}
	for t.gossipsDue > 0 && t.gossipLimiter.allow(now) {
		t.gossipsDue--
		out = append(out, t.gossipToRandom(now)...)
	}
	t.announceBacklogs(now)
	return out
}

// extendTimeouts extends the running timeouts by a pause of this process, since answers
// may have arrived that are not yet processed.
func (t *Table) extendTimeouts(gap time.Duration) {
	t.counters.LocalPauses++
	for _, p := range t.probes {
		p.deadline = p.deadline.Add(gap)
	}
	for id, d := range t.suspicionDeadlines {
		t.suspicionDeadlines[id] = d.Add(gap)
	}
}

// startProbeRound sends the regular probe of this interval, and a probe of a lost
// member if one is due.
func (t *Table) startProbeRound(now time.Time) []Action {
	t.removeExpired(now)
	t.probeRounds++
	out := t.probeLost(now)
	live := t.sortedLive()
	if len(live) < 2 {
		return out
	}
	i := sort.SearchStrings(live, t.self)
	interval := now.UnixNano() / int64(t.cfg.ProbeInterval)
	target := t.members[live[(i+t.offsets.at(interval, len(live)))%len(live)]]
	t.counters.Probes++
	return append(out, t.ping(now, target, probeRegular))
}

// probeLost probes one dead member or listed instance that has not answered, so that
// the parts of a partitioned network find each other again and a listed instance that
// starts late is found.
func (t *Table) probeLost(now time.Time) []Action {
	if t.probeRounds%lostProbeRounds != 0 {
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

func (t *Table) pingListed(now time.Time) []Action {
	var out []Action
	for range t.cfg.MaxJoinPingsPerTick {
		if len(t.pendingJoins) == 0 {
			break
		}
		id := t.pendingJoins[0]
		t.pendingJoins = t.pendingJoins[1:]
		if m := t.members[id]; m != nil && m.Status == Listed {
			t.counters.Joins++
			out = append(out, t.ping(now, m, probeJoin))
		}
	}
	return out
}

// ProbeNow probes a member immediately, for example after a connection to it has
// failed. It does nothing if the member is not live, if a regular probe of it is
// running or if the rate limit for gossip is reached.
func (t *Table) ProbeNow(now time.Time, id string) []Action {
	m := t.members[id]
	if m == nil || !m.Live() || id == t.self || !t.gossipLimiter.allow(now) {
		return nil
	}
	for _, p := range t.probes {
		if p.target == id && p.kind == probeRegular {
			return nil
		}
	}
	return []Action{t.ping(now, m, probeRegular)}
}

func (t *Table) ping(now time.Time, m *Member, kind probeKind) Action {
	t.seq++
	t.probes[t.seq] = &probe{target: m.ID, kind: kind, deadline: now.Add(t.cfg.DirectTimeout), incarnation: m.Incarnation}
	ping := &peerpb.Ping{From: t.self, Seq: t.seq, Updates: t.updatesFor(m)}
	return SendPing{To: m.ID, Address: m.Address, Ping: ping}
}

func (t *Table) gossipToRandom(now time.Time) []Action {
	var out []Action
	for _, m := range t.randomLive(1, "") {
		t.counters.Gossip++
		out = append(out, t.ping(now, m, probeGossip))
	}
	return out
}

// expireProbes starts indirect pings for regular probes whose direct timeout has
// passed, and marks targets as suspect that have not answered these either.
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
		if p.kind != probeRegular || m == nil || !m.Live() {
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
			out = append(out, t.setMember(now, m, Suspect, m.Incarnation, m.Leaving)...)
			// This member pings the suspect until the timeout ends, so that the
			// suspect learns of the suspicion and can refute it.
			t.nextSuspectPing[m.ID] = now
			t.suspicionDeadlines[m.ID] = now.Add(t.suspicionTimeout())
		}
	}
	return out
}

// pingSuspects pings the suspects in nextSuspectPing that are due. Pings are repeated
// until the suspicion ends.
func (t *Table) pingSuspects(now time.Time) []Action {
	var out []Action
	for _, id := range sortedKeys(t.nextSuspectPing) {
		m := t.members[id]
		if m == nil || m.Status != Suspect {
			delete(t.nextSuspectPing, id)
			continue
		}
		if !now.Before(t.nextSuspectPing[id]) {
			t.nextSuspectPing[id] = now.Add(t.cfg.DirectTimeout)
			out = append(out, t.ping(now, m, probeGossip))
		}
	}
	return out
}

func (t *Table) expireSuspicions(now time.Time) []Action {
	var out []Action
	for _, id := range sortedKeys(t.suspicionDeadlines) {
		if now.Before(t.suspicionDeadlines[id]) {
			continue
		}
		delete(t.suspicionDeadlines, id)
		if m := t.members[id]; m != nil && m.Status == Suspect {
			out = append(out, t.setMember(now, m, Dead, m.Incarnation, m.Leaving)...)
		}
	}
	return out
}

// HandlePing applies the updates of a ping and returns the acknowledgement.
func (t *Table) HandlePing(now time.Time, p *peerpb.Ping) (*peerpb.Ack, []Action) {
	out := t.merge(now, p.From, p.Updates)
	ack := &peerpb.Ack{From: t.self, Seq: p.Seq, Reached: true, Updates: t.updatesFor(t.members[p.From])}
	return ack, out
}

// RelayPing returns the ping that this member sends for an indirect ping of another
// member. The acknowledgement is returned to that member and may also be passed to
// HandleAck.
func (t *Table) RelayPing(now time.Time, p *peerpb.PingVia) SendPing {
	m := t.members[p.Target]
	if m == nil || m.Address != p.TargetAddress {
		m = &Member{Info: Info{ID: p.Target, Address: p.TargetAddress}}
	}
	return t.ping(now, m, probeGossip).(SendPing)
}

// HandleAck applies the answer to a ping or to a request for an indirect ping. seq is
// the sequence number of the ping or request.
func (t *Table) HandleAck(now time.Time, seq uint64, a *peerpb.Ack) []Action {
	p := t.probes[seq]
	if a.Reached && p != nil {
		delete(t.probes, seq)
	}
	return t.merge(now, a.From, a.Updates)
}
