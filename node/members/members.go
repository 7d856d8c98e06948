// Package members drives an instance's view of the fleet: probes over drpc, the
// platform's list as the seed, and snapshots for readers.
//
// One duty (goroutine) owns the membership table. Everything else reaches it
// through a bounded ring of events and reads an immutable snapshot without a
// lock. Senders, a few goroutines, carry its messages to other instances.
package members

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/ident"
	"github.com/jacinthnotch/jacinthnotch/domain/member"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/peer"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/ring"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	// ringEvents bounds the events that wait for the duty. At 390 instances about
	// ten messages arrive in a second.
	ringEvents = 512
	// ringSends bounds the messages that wait for a sender; senders is the number
	// of messages on their way. A silent peer holds one for its timeout only.
	ringSends = 256
	senders   = 8
	// listPoll is the interval at which the platform's list is read, listTimeout
	// the bound on one read. A leaving mark has to take effect within 3 s.
	listPoll    = time.Second
	listTimeout = time.Second
	// answerWait bounds the wait of a peer's message for the duty.
	answerWait = time.Second
	// settleTime is how long a new instance waits for answers of the listed
	// instances before it counts on what it has heard.
	settleTime = time.Second
	// serverRetention is how long a server that is off the list keeps its director.
	serverRetention = time.Minute
)

var (
	eventsRejected = expvar.NewInt("members_events_rejected_total")
	sendsRejected  = expvar.NewInt("members_sends_rejected_total")
	sendsFailed    = expvar.NewInt("members_sends_failed_total")
	messagesSent   = expvar.NewInt("members_messages_sent_total")
	messagesServed = expvar.NewInt("members_messages_served_total")
	listReads      = expvar.NewInt("members_list_reads_total")
	listFailures   = expvar.NewInt("members_list_failures_total")
	statusChanges  = expvar.NewInt("members_status_changes_total")
)

// Options configure the duty. Self, Incarnation, Directory and Peers are
// required.
type Options struct {
	Self member.Info
	// Incarnation is the start time of the process in milliseconds since the
	// Unix epoch.
	Incarnation uint64
	Partitions  int
	Directory   port.Directory
	Peers       peer.Connector
	// Config holds the constants of the protocol; member.DefaultConfig when nil.
	Config *member.Config
	// Audit may be nil.
	Audit api.AuditSink
	// OnConfigAhead is told that a member holds a newer configuration, and
	// OnServer that a leaving mark of a server has changed. They run on the duty
	// and must not block; nil for none.
	OnConfigAhead func(instance, address string, revision int64)
	OnServer      func(server string, leaving bool)
	// Models returns the names under which backlogs may be announced; nil for none.
	Models func() []string
	// Backlog returns this instance's own backlog; nil for none. It is asked
	// about twice a second.
	Backlog func() []member.Backlog
	// Seed of the table's random choices; zero for a random one.
	Seed uint64
}

type event func(now time.Time)

type send struct {
	address string
	ping    *peerpb.Ping
	via     *peerpb.PingVia
}

// Members is the membership duty of one instance. Its readers are safe for
// concurrent use.
type Members struct {
	opts     Options
	events   *ring.Ring[event]
	sends    *ring.Ring[send]
	snapshot atomic.Pointer[snapshot]
	changes  chan struct{}
	table    *member.Table
	state    state
}

// New returns the duty; it does nothing until Run.
func New(o Options) *Members {
	cfg := member.DefaultConfig()
	if o.Config != nil {
		cfg = *o.Config
	}
	seed := o.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	now := time.Now()
	m := &Members{
		opts:    o,
		events:  ring.New[event](ringEvents, eventsRejected),
		sends:   ring.New[send](ringSends, sendsRejected),
		changes: make(chan struct{}, 1),
		table:   member.New(cfg, o.Self, o.Incarnation, now, rand.New(rand.NewPCG(seed, o.Incarnation))),
	}
	m.state = state{maturity: cfg.MinLiveTime, started: now, servers: map[string]time.Time{}, directors: map[string]string{},
		owners: make([]string, o.Partitions), leaving: map[string]bool{}, known: map[string]string{}}
	for p := range o.Partitions {
		m.state.keys = append(m.state.keys, member.PartitionKey(ident.PartitionStream(p)))
	}
	m.snapshot.Store(&snapshot{self: o.Self.ID, view: m.table.View(), owners: make([]string, o.Partitions)})
	return m
}

// Run drives the protocol until ctx ends.
func (m *Members) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	defer m.sends.Close()
	// Senders end with their ring, so that what an exit announces still leaves.
	for range senders {
		wg.Go(m.sender)
	}
	wg.Go(func() { m.readList(ctx) })
	m.publish(time.Now())
	for ctx.Err() == nil {
		now := time.Now()
		m.act(now, m.table.Tick(now))
		m.ownBacklog(now)
		m.publish(now)
		until := m.table.NextTick()
		if soon := now.Add(backlogInterval); soon.Before(until) {
			until = soon
		}
		wait, cancel := context.WithDeadline(ctx, until)
		handle, err := m.events.Get(wait)
		cancel()
		if err == nil {
			handle(time.Now())
		}
	}
}

// ask runs f on the duty and waits until it was run.
func (m *Members) ask(ctx context.Context, f event) error {
	ctx, cancel := context.WithTimeout(ctx, answerWait)
	defer cancel()
	return ring.Do(ctx, m.events, f)
}

// act carries out what the table asks for.
func (m *Members) act(now time.Time, actions []member.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case member.SendPing:
			_ = m.sends.Offer(send{address: a.Address, ping: a.Ping})
		case member.SendPingVia:
			_ = m.sends.Offer(send{address: a.Address, via: a.Request})
		case member.MemberChanged:
			m.memberChanged(a)
		case member.ServerChanged:
			m.serverChanged(a)
		case member.ConfigAhead:
			if from, ok := m.table.Member(a.From); ok && m.opts.OnConfigAhead != nil {
				m.opts.OnConfigAhead(a.From, from.Address, a.Revision)
			}
		case member.MarkedLeaving:
			klog.InfoS("Another source marked this instance as leaving", "instance", m.opts.Self.ID)
		}
	}
}

func (m *Members) memberChanged(a member.MemberChanged) {
	statusChanges.Add(1)
	klog.InfoS("Member changed", "instance", m.opts.Self.ID, "member", a.Member.ID,
		"status", a.Member.Status.String(), "before", a.PreviousStatus.String(), "leaving", a.Member.Leaving)
	// One entry of each death is enough: the preferred owner of the name writes it.
	if m.opts.Audit != nil && a.Member.Status == member.Dead && a.PreviousStatus != member.Dead &&
		m.table.View().PreferredOwner("audit/"+a.Member.ID, "", time.Now()) == m.opts.Self.ID {
		m.opts.Audit.Record(&recordpb.Audit{Kind: "member", Cause: "no answer to probes", Actor: "system",
			Before: a.PreviousStatus.String(), After: a.Member.ID + " " + a.Member.Status.String()})
	}
}

func (m *Members) serverChanged(a member.ServerChanged) {
	m.state.leaving[a.Server] = a.Leaving
	if !a.Leaving {
		delete(m.state.leaving, a.Server)
	}
	m.state.stale = true
	klog.InfoS("Server leaving mark heard", "instance", m.opts.Self.ID, "server", a.Server, "leaving", a.Leaving)
	if m.opts.OnServer != nil {
		m.opts.OnServer(a.Server, a.Leaving)
	}
}

// ownBacklog announces this instance's backlog.
func (m *Members) ownBacklog(now time.Time) {
	if m.opts.Backlog == nil || now.Sub(m.state.backlogAt) < backlogInterval {
		return
	}
	m.state.backlogAt = now
	own := map[string]bool{}
	for _, b := range m.opts.Backlog() {
		own[b.Model] = true
		m.state.known[b.Model] = ""
		m.table.SetBacklog(b.Model, b.Items, b.EarliestDueMs)
	}
	for model := range m.state.known {
		if !own[model] {
			m.table.SetBacklog(model, 0, 0)
		}
	}
}

// SetConfigHead tells the members which configuration revision this instance
// holds. It does not wait.
func (m *Members) SetConfigHead(revision int64) {
	_ = m.events.Offer(func(time.Time) { m.table.SetConfigHead(revision) })
}

// Leave marks this instance as leaving, at the start of a drain.
func (m *Members) Leave(ctx context.Context) error {
	return m.ask(ctx, func(now time.Time) { m.act(now, m.table.Leave(now)) })
}

// Exit announces the end of this instance at the end of a drain. Run sends what
// is waiting before it returns.
func (m *Members) Exit(ctx context.Context) error {
	return m.ask(ctx, func(now time.Time) { m.act(now, m.table.Exit(now)) })
}

// ProbeNow probes a member out of turn, for instance after a connection to it
// has failed. It does not wait.
func (m *Members) ProbeNow(instance string) {
	_ = m.events.Offer(func(now time.Time) { m.act(now, m.table.ProbeNow(now, instance)) })
}

// Counters returns what the table has met.
func (m *Members) Counters(ctx context.Context) (c member.Counters, err error) {
	err = m.ask(ctx, func(time.Time) { c = m.table.Counters() })
	return c, err
}

// readList polls the platform's list.
func (m *Members) readList(ctx context.Context) {
	timer := time.NewTicker(listPoll)
	defer timer.Stop()
	failing := false
	for {
		listing, err := m.list(ctx)
		listReads.Add(1)
		if err == nil {
			_ = m.events.Put(ctx, func(now time.Time) { m.listRead(now, listing) })
		} else {
			listFailures.Add(1)
		}
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			klog.InfoS("Platform's list changed state", "instance", m.opts.Self.ID, "available", !failing, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
	}
}

func (m *Members) list(ctx context.Context) (port.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return m.opts.Directory.List(ctx)
}

func (m *Members) listRead(now time.Time, l port.Listing) {
	instances := make([]member.ListedInstance, 0, len(l.Instances))
	for _, e := range l.Instances {
		if _, _, err := net.SplitHostPort(e.PeerAddress); err != nil || e.ID == "" {
			continue
		}
		instances = append(instances, member.ListedInstance{Leaving: e.Leaving,
			Info: member.Info{ID: e.ID, Address: e.PeerAddress, DataCentre: e.DataCentre, Weight: uint32(max(0, e.Weight))}})
	}
	servers := make([]member.ListedServer, len(l.Servers))
	for i, e := range l.Servers {
		servers[i] = member.ListedServer{ID: e.ID, Leaving: e.Leaving}
		if m.state.servers[e.ID].IsZero() {
			m.state.stale = true
		}
		m.state.servers[e.ID] = now
	}
	for id, seen := range m.state.servers {
		if now.Sub(seen) > serverRetention {
			delete(m.state.servers, id)
			delete(m.state.directors, id)
			m.state.stale = true
		}
	}
	m.state.stale = m.state.stale || m.state.listed == nil
	m.state.listed = instances
	m.act(now, m.table.ApplyList(now, instances, servers))
}
