// Package member maintains one instance's view of the members of the fleet with a
// SWIM-style gossip protocol. From this view it derives which instance should own
// a partition or direct the batch work of a backend server.
//
// A Table takes events (a tick, a message, the platform's list of instances and
// servers) with a time and returns actions. It does no I/O. Times in messages and
// in the list may come from other clocks. Between instances only incarnations and
// the versions of updates are compared, and each of these is written by a single
// kind of writer.
//
// # Failure detection
//
// In each probe interval a member pings one other member. Members are sorted by
// name, and all of them use the same offset in the same interval, so that each
// member is pinged about once per interval, which random targets would not ensure.
// Where views or clocks differ, this degrades to a random order. Over n-1 intervals
// a member pings every other member once.
//
// If the target does not answer within the direct timeout, two other members are
// asked to ping it. If it does not answer these either, it becomes suspect and,
// after a suspicion timeout that grows with the logarithm of the number of members,
// dead. A member that receives a statement that it is suspect or dead refutes it
// with a higher incarnation.
//
// A pause of this process is no evidence that others have failed: time in which
// Tick was not called is added to all running timeouts.
//
// # Dissemination
//
// Updates are piggybacked on pings and acknowledgements, up to a limit in bytes per
// message. Each update is sent about RetransmitFactor*log2(n) times. A message
// always carries the sender's own state and the revision of its configuration. A
// change of a member's status, of the leaving mark of a server or of the
// configuration revision is also sent immediately to GossipFanout members, within a
// rate limit.
//
// # The platform's list
//
// The list can lag behind arrivals and departures. A listed instance is pinged and
// counts as a member only after it has answered or another member has reported it
// as live. An instance that answers remains a member whether it is listed or not.
// A leaving mark from any source takes precedence.
package member
