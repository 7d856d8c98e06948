// Package members runs the membership protocol of package domain/member: it sends
// and answers probes over drpc, polls the platform's list for members to join, and
// publishes snapshots of the members.
//
// The event loop, one goroutine, owns the membership table. Other goroutines pass it
// events through a bounded ring, and read an immutable snapshot without a lock. A few
// goroutines send its messages to other instances.
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
	// eventQueueCapacity limits the events that wait for the event loop. With 390
	// instances, about ten messages arrive per second.
	eventQueueCapacity = 512
	// sendQueueCapacity limits the messages that wait to be sent, and senderCount those
	// that are being sent. A peer that does not respond occupies a sender only until the
	// message times out.
	sendQueueCapacity = 256
	senderCount       = 8
	// listInterval is the interval at which the platform's list is read, and listTimeout
	// limits one read. A leaving mark in the list has to take effect within 3 s.
	listInterval = time.Second
	listTimeout  = time.Second
	// eventTimeout limits how long a request, such as a peer's message, waits for the
	// event loop.
	eventTimeout = time.Second
	// maxSettleTime is how long a new instance waits for the listed instances to answer
	// before it uses the members that it knows.
	maxSettleTime = time.Second
	// serverRetention is how long a server that is no longer listed keeps its director.
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

// Options configure a Members. Self, Incarnation, Directory and Peers are required.
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
	// OnConfigAhead is called when a member reports a newer configuration revision,
	// and OnServerLeaving when the leaving mark of a server has changed. They are
	// called by the event loop and must not block. Both may be nil.
	OnConfigAhead   func(instance, address string, revision int64)
	OnServerLeaving func(server string, leaving bool)
	// Models returns the names of the models and adapters that can have a backlog; nil
	// means that Backlogs returns nothing.
	Models func() []string
	// Backlog returns this instance's own backlog, which is announced to the other
	// members. It is called every backlogInterval. It may be nil.
	Backlog func() []member.Backlog
	// Seed is the seed of the table's random choices; zero selects a random seed.
	Seed uint64
}

// event is a function that the event loop runs.
type event func(now time.Time)

// outgoingMessage is a ping or, if via is set, a request for an indirect ping.
type outgoingMessage struct {
	address string
	ping    *peerpb.Ping
	via     *peerpb.PingVia
}

// Members maintains the view that one instance has of the fleet's members. Its
// methods are safe for concurrent use.
type Members struct {
	opts     Options
	events   *ring.Ring[event]
	outgoing *ring.Ring[outgoingMessage]
	snapshot atomic.Pointer[snapshot]
	changes  chan struct{}
	table    *member.Table
	state    state
}

// New returns a Members that does nothing until Run is called.
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
		opts:     o,
		events:   ring.New[event](eventQueueCapacity, eventsRejected),
		outgoing: ring.New[outgoingMessage](sendQueueCapacity, sendsRejected),
		changes:  make(chan struct{}, 1),
		table:    member.New(cfg, o.Self, o.Incarnation, now, rand.New(rand.NewPCG(seed, o.Incarnation))),
	}
	m.state = state{minLiveTime: cfg.MinLiveTime, startedAt: now, serversListedAt: map[string]time.Time{}, directors: map[string]string{},
		owners: make([]string, o.Partitions), leaving: map[string]bool{}, announcedModels: map[string]string{}}
	for p := range o.Partitions {
		m.state.partitionKeys = append(m.state.partitionKeys, member.PartitionKey(ident.PartitionStream(p)))
	}
	m.snapshot.Store(&snapshot{self: o.Self.ID, view: m.table.View(), owners: make([]string, o.Partitions)})
	return m
}

// Run drives the protocol until ctx ends.
func (m *Members) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	defer m.outgoing.Close()
	// The senders end when outgoing is closed and empty, so that the messages queued by
	// Exit are still sent.
	for range senderCount {
		wg.Go(m.sendMessages)
	}
	wg.Go(func() { m.pollList(ctx) })
	m.publish(time.Now())
	for ctx.Err() == nil {
		now := time.Now()
		m.execute(now, m.table.Tick(now))
		m.announceBacklog(now)
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

// do has the event loop run f and waits until it has done so.
func (m *Members) do(ctx context.Context, f event) error {
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	return ring.Do(ctx, m.events, f)
}

// execute performs the actions that the table has returned.
func (m *Members) execute(now time.Time, actions []member.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case member.SendPing:
			_ = m.outgoing.Offer(outgoingMessage{address: a.Address, ping: a.Ping})
		case member.SendPingVia:
			_ = m.outgoing.Offer(outgoingMessage{address: a.Address, via: a.Request})
		case member.MemberChanged:
			m.memberChanged(a)
		case member.ServerChanged:
			m.serverChanged(a)
		case member.ConfigAhead:
			if from, ok := m.table.Member(a.From); ok && m.opts.OnConfigAhead != nil {
				m.opts.OnConfigAhead(a.From, from.Address, a.Revision)
			}
		case member.MarkedLeaving:
			klog.InfoS("this instance was marked as leaving by another source", "instance", m.opts.Self.ID)
		}
	}
}

func (m *Members) memberChanged(a member.MemberChanged) {
	statusChanges.Add(1)
	klog.InfoS("member changed", "instance", m.opts.Self.ID, "member", a.Member.ID,
		"status", a.Member.Status.String(), "before", a.PreviousStatus.String(), "leaving", a.Member.Leaving)
	// Only the preferred owner of this key records the death, so that the audit trail has
	// one entry for it.
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
	klog.InfoS("server leaving mark received", "instance", m.opts.Self.ID, "server", a.Server, "leaving", a.Leaving)
	if m.opts.OnServerLeaving != nil {
		m.opts.OnServerLeaving(a.Server, a.Leaving)
	}
}

// announceBacklog passes this instance's backlog to the table, which announces it. A
// model that has no backlog any more is set to zero.
func (m *Members) announceBacklog(now time.Time) {
	if m.opts.Backlog == nil || now.Sub(m.state.announcedAt) < backlogInterval {
		return
	}
	m.state.announcedAt = now
	own := map[string]bool{}
	for _, b := range m.opts.Backlog() {
		own[b.Model] = true
		m.state.announcedModels[b.Model] = ""
		m.table.SetBacklog(b.Model, b.Items, b.EarliestDueMs)
	}
	for model := range m.state.announcedModels {
		if !own[model] {
			m.table.SetBacklog(model, 0, 0)
		}
	}
}

// SetConfigRevision sets the configuration revision that this instance reports to the
// other members. It does not wait for the event loop.
func (m *Members) SetConfigRevision(revision int64) {
	_ = m.events.Offer(func(time.Time) { m.table.SetConfigRevision(revision) })
}

// Leave announces that this instance is leaving. It is called during a drain.
func (m *Members) Leave(ctx context.Context) error {
	return m.do(ctx, func(now time.Time) { m.execute(now, m.table.Leave(now)) })
}

// Exit announces the end of this instance. It is called at the end of a drain. Run
// sends the queued messages before it returns.
func (m *Members) Exit(ctx context.Context) error {
	return m.do(ctx, func(now time.Time) { m.execute(now, m.table.Exit(now)) })
}

// ProbeNow probes a member immediately, for example after a connection to it has
// failed. It does not wait for the event loop.
func (m *Members) ProbeNow(instance string) {
	_ = m.events.Offer(func(now time.Time) { m.execute(now, m.table.ProbeNow(now, instance)) })
}

// Counters returns the counters of the table.
func (m *Members) Counters(ctx context.Context) (c member.Counters, err error) {
	err = m.do(ctx, func(time.Time) { c = m.table.Counters() })
	return c, err
}

// pollList reads the platform's list at intervals until ctx ends.
func (m *Members) pollList(ctx context.Context) {
	timer := time.NewTicker(listInterval)
	defer timer.Stop()
	failing := false
	for {
		listing, err := m.readList(ctx)
		listReads.Add(1)
		if err == nil {
			_ = m.events.Put(ctx, func(now time.Time) { m.applyList(now, listing) })
		} else {
			listFailures.Add(1)
		}
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			klog.InfoS("platform list availability changed", "instance", m.opts.Self.ID, "available", !failing, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
	}
}

func (m *Members) readList(ctx context.Context) (port.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return m.opts.Directory.List(ctx)
}

func (m *Members) applyList(now time.Time, l port.Listing) {
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
		if m.state.serversListedAt[e.ID].IsZero() {
			m.state.stale = true
		}
		m.state.serversListedAt[e.ID] = now
	}
	for id, seen := range m.state.serversListedAt {
		if now.Sub(seen) > serverRetention {
			delete(m.state.serversListedAt, id)
			delete(m.state.directors, id)
			m.state.stale = true
		}
	}
	m.state.stale = m.state.stale || m.state.listedInstances == nil
	m.state.listedInstances = instances
	m.execute(now, m.table.ApplyList(now, instances, servers))
}
