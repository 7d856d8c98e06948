package member

import (
	"time"

	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

// Config holds the protocol's constants. DefaultConfig is meant for production.
type Config struct {
	// ProbeInterval is the time between two probes by one member.
	ProbeInterval time.Duration
	// DirectTimeout is the wait for the answer to a ping, IndirectTimeout the
	// further wait for answers through other members.
	DirectTimeout   time.Duration
	IndirectTimeout time.Duration
	// IndirectProbes is the number of members asked to ping a silent one.
	IndirectProbes int
	// SuspicionTimeout is the time from suspicion to death among ten members or fewer;
	// it is multiplied by log10(n).
	SuspicionTimeout time.Duration
	// RetransmitFactor times log2(n+1) is how often an update is sent.
	RetransmitFactor float64
	// MaxUpdateBytes bounds the updates in one message, the sender's own state aside.
	MaxUpdateBytes int
	// MaxUrgentUpdateBytes bounds them while there are deaths, suspicions, refutations or
	// leaving marks to tell, so that the loss of a data centre is told in time. A
	// message still fits into one Ethernet frame.
	MaxUrgentUpdateBytes int
	// GossipFanout is the number of members that are told of a change at once;
	// GossipPerSecond bounds the messages sent for that.
	GossipFanout    int
	GossipPerSecond float64
	// MaxJoinPingsPerTick is the number of listed instances pinged in one tick.
	MaxJoinPingsPerTick int
	// MinLiveTime is how long a member must be live before work moves to it.
	MinLiveTime time.Duration
	// DeadRetention is how long a dead member is remembered, so that a late
	// update cannot bring it back, and probed, so that separated parts of the
	// fleet find each other again.
	DeadRetention time.Duration
	// ListStableTime is how long the list must show a server as not leaving before a
	// leaving mark is taken back: copies of the list may lag behind each other.
	ListStableTime time.Duration
	// BacklogIntervalPerMember times n is the least time between two announcements of
	// this member's backlog of one model, so that a member's traffic for
	// backlogs does not grow with n. A backlog that begins or ends is announced
	// after BacklogEdge.
	BacklogIntervalPerMember time.Duration
	MinBacklogInterval       time.Duration
	// LowPrioritySends is how often each member passes on an update that may miss some
	// members: a backlog, or a new member. With three about 19 of 20 hear of it.
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

// The states of a member. Listed is an instance that is on the platform's list
// and has not been heard of.
const (
	Listed Status = iota
	Alive
	Suspect
	Dead
)

func (s Status) String() string { return [...]string{"listed", "alive", "suspect", "dead"}[s] }

// Info is what a member says about itself.
type Info struct {
	ID string
	// Address is the IP address and port of the peer listener.
	Address    string
	DataCentre string
	// Weight is the instance's size relative to the others, 100 for the usual size.
	Weight uint32
}

// Member is one instance as this instance sees it.
type Member struct {
	Info
	Status Status
	// Incarnation orders statements about a member. A process starts with its
	// start time in milliseconds since the Unix epoch.
	Incarnation uint64
	// Leaving is set for a member that gets no new work.
	Leaving bool
	// Since is when the member got its status; LiveSince when it last became live.
	Since     time.Time
	LiveSince time.Time

	// listedLeaving is whether this instance's list last said leaving; a mark is
	// set when the list starts to say so, because a lagging list still names the
	// process before a restart.
	listedLeaving bool
}

// Live tells whether the member counts as running: alive or only suspected.
func (m *Member) Live() bool { return m.Status == Alive || m.Status == Suspect }

// Action is something that the caller of a Table has to do or may want to know.
type Action interface{ action() }

// SendPing asks for a ping. An answer is handed to Table.Answered; a failure
// needs no report.
type SendPing struct {
	To      string
	Address string
	Ping    *peerpb.Ping
}

// SendPingVia asks a member to ping another one. An answer with reached set is
// handed to Table.Answered.
type SendPingVia struct {
	Via     string
	Address string
	Request *peerpb.PingVia
}

// MemberChanged reports a new status or leaving mark of a member.
type MemberChanged struct {
	Member         Member
	PreviousStatus Status
	Leaving        bool
}

// ServerChanged reports a new leaving mark of a backend server.
type ServerChanged struct {
	Server  string
	Leaving bool
}

// ConfigAhead reports that a peer holds a newer configuration. It is repeated
// with each message until SetConfigHead is called with that revision.
type ConfigAhead struct {
	Revision int64
	// From is the member that said so.
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

// Counters counts what a Table has met since it was made.
type Counters struct {
	Probes, IndirectProbes, Gossip, Joins       uint64
	Suspected, Refuted, Died, Recovered         uint64
	UpdatesSent, UpdatesReceived, UpdatesUseful uint64
	// LocalPauses counts gaps between ticks that were added to the timeouts.
	LocalPauses uint64
}
