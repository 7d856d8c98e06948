package member

import (
	"time"

	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

// Config holds the constants of the protocol.
type Config struct {
	// ProbeInterval is the time between two regular probes by one member.
	ProbeInterval time.Duration
	// DirectTimeout bounds the wait for the acknowledgement of a ping,
	// IndirectTimeout the additional wait for the indirect pings.
	DirectTimeout   time.Duration
	IndirectTimeout time.Duration
	// IndirectProbes is the number of members that are asked to ping a target that
	// has not answered.
	IndirectProbes int
	// SuspicionTimeout is the time from suspicion to death with up to 10 members. With
	// more it is multiplied by log10(n).
	SuspicionTimeout time.Duration
	// RetransmitFactor times log2(n+1) is how often an update is sent.
	RetransmitFactor float64
	// MaxUpdateBytes bounds the size of the updates in one message, without the
	// sender's own state.
	MaxUpdateBytes int
	// MaxUrgentUpdateBytes is the larger bound for deaths, suspicions, refutations
	// and leaving marks of members, so that the loss of a data centre is
	// disseminated in time. Such a message still fits into one Ethernet frame.
	MaxUrgentUpdateBytes int
	// GossipFanout is the number of members to which a change is sent immediately.
	// GossipPerSecond limits the rate of the messages sent for this.
	GossipFanout    int
	GossipPerSecond float64
	// MaxJoinPingsPerTick is the maximum number of newly listed instances that are
	// pinged in one tick.
	MaxJoinPingsPerTick int
	// MinLiveTime is how long a member must have been live before work moves to it,
	// as long as there are other members to hold it.
	MinLiveTime time.Duration
	// DeadRetention is how long a dead member is kept in the table, so that a late
	// update cannot restore it, and probed, so that the parts of a partitioned
	// network find each other again. Servers, and instances that never answered, are
	// kept for the same time after they were last listed.
	DeadRetention time.Duration
	// ListStableTime is how long the list must show a server as not leaving before
	// its leaving mark is cleared, and this instance as leaving before it is marked.
	// Copies of the list may lag behind each other and behind a restart.
	ListStableTime time.Duration
	// BacklogIntervalPerMember times n is the minimum time between two announcements
	// of this member's backlog of one model, so that the traffic for backlogs per
	// member does not grow with n. MinBacklogInterval is the absolute minimum and
	// the only limit for a backlog that becomes empty or non-empty.
	BacklogIntervalPerMember time.Duration
	MinBacklogInterval       time.Duration
	// LowPrioritySends is how often each member sends an update that need not reach
	// every member: a backlog or a new member. With 3, about 19 of 20 members
	// receive it.
	LowPrioritySends int
}

// DefaultConfig returns the constants used in production.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:            time.Second,
		DirectTimeout:            250 * time.Millisecond,
		IndirectTimeout:          350 * time.Millisecond,
		IndirectProbes:           2,
		SuspicionTimeout:         time.Second,
		RetransmitFactor:         3,
		MaxUpdateBytes:           160,
		MaxUrgentUpdateBytes:     1200,
		GossipFanout:             3,
		GossipPerSecond:          6,
		MaxJoinPingsPerTick:      16,
		MinLiveTime:              5 * time.Second,
		DeadRetention:            15 * time.Minute,
		ListStableTime:           30 * time.Second,
		BacklogIntervalPerMember: 500 * time.Millisecond,
		MinBacklogInterval:       2 * time.Second,
		LowPrioritySends:         3,
	}
}

// Status is a member's state as this instance sees it.
type Status uint8

// The states of a member. A Listed member is on the platform's list, but neither
// the instance itself nor another member has reported its state.
const (
	Listed Status = iota
	Alive
	Suspect
	Dead
)

func (s Status) String() string { return [...]string{"listed", "alive", "suspect", "dead"}[s] }

// Info describes a member. The member itself is the source.
type Info struct {
	ID string
	// Address is the IP address and port of the peer listener.
	Address    string
	DataCentre string
	// Weight is the relative capacity of the instance; 100 is the normal value.
	Weight uint32
}

// Member is one instance as this instance sees it.
type Member struct {
	Info
	Status Status
	// Incarnation orders the statements about a member. Its initial value is the
	// start time of the process in milliseconds since the Unix epoch.
	Incarnation uint64
	// Leaving is set for a member that gets no new work.
	Leaving bool
	// Since is when Status last changed, LiveSince when the member last became live.
	// For a listed member, Since is the time of the last list that contains it.
	Since     time.Time
	LiveSince time.Time

	// listedLeaving is whether the last list that this instance read shows the
	// member as leaving. Only a change to true sets Leaving, because a lagging list
	// can still show the mark of the process before a restart.
	listedLeaving bool
}

// Live reports whether the member is considered to be running, that is, alive or
// suspect.
func (m *Member) Live() bool { return m.Status == Alive || m.Status == Suspect }

// Action is an operation that the caller of a Table has to perform, or a change
// that is reported to it.
type Action interface{ action() }

// SendPing requests a ping. The acknowledgement is passed to Table.HandleAck; a
// failure is not reported.
type SendPing struct {
	To      string
	Address string
	Ping    *peerpb.Ping
}

// SendPingVia requests an indirect ping: the member Via is asked to ping the target.
// Its answer is passed to Table.HandleAck.
type SendPingVia struct {
	Via     string
	Address string
	Request *peerpb.PingVia
}

// MemberChanged reports a change of the status or of the leaving mark of a member.
type MemberChanged struct {
	Member         Member
	PreviousStatus Status
	Leaving        bool
}

// ServerChanged reports that the leaving mark of a backend server was set or
// cleared.
type ServerChanged struct {
	Server  string
	Leaving bool
}

// ConfigAhead reports that a member holds a newer configuration. It is repeated
// for each message of such a member until SetConfigRevision is called with the revision.
type ConfigAhead struct {
	Revision int64
	// From is the member that holds the revision.
	From string
}

// MarkedLeaving reports that another source marked this instance as leaving.
type MarkedLeaving struct{}

func (SendPing) action()      {}
func (SendPingVia) action()   {}
func (MemberChanged) action() {}
func (ServerChanged) action() {}
func (ConfigAhead) action()   {}
func (MarkedLeaving) action() {}

// Counters counts the events of a Table since it was created. UpdatesUseful counts the
// received updates that were new to it.
type Counters struct {
	Probes, IndirectProbes, Gossip, Joins       uint64
	Suspected, Refuted, Died, Recovered         uint64
	UpdatesSent, UpdatesReceived, UpdatesUseful uint64
	// LocalPauses counts the gaps between ticks that were added to the timeouts.
	LocalPauses uint64
}
