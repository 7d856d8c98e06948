// Package placement plans which models, adapters and roles the engines of a model
// service hold.
//
// The owner of the service's partition runs one Planner per epoch of the partition.
// The Planner compares the configuration with the states that it reads from the
// engines and issues orders that carry the epoch as fencing number.
//
// # Reading the state back
//
// The answer to an order is not conclusive: it can be lost, and the order can still be
// executed later. An order is over when a read that began after it shows its result,
// when the answer says that it had no effect, or after the maximum time that an order
// can take (max_order_ms of the service, from sending to completion). Until then its
// server counts as in motion and gets no other order.
//
// An order that is sent again is the same order. A server to which an order was sent
// more than once counts as in motion and gets no other order until the maximum time
// has passed since it was last sent, because a delayed copy could still take effect.
//
// # Change of owner
//
// An owner issues orders only for ConfirmationTTL after it last read back a record
// under its own epoch, so that an owner that resumes after a pause issues none.
//
// If the engines check the fencing number, a new owner first raises it on each engine
// with an order that sets the role to its current value. Until the number is raised on
// a server, orders of the previous owner can still reach it; the server counts as in
// motion until then, or until ConfirmationTTL and the maximum order time have passed.
// If the engines ignore the fencing number, a new owner waits for this time before it
// reads any state.
//
// # Servers in motion and load rate
//
// At most in_motion_share of the service's servers, and at least one, are in motion at
// the same time. Loads start at most at the rate limit of the weight store.
//
// # Versions
//
// A new version of a model is rolled out to one server, then to a quarter, to half and
// to all of the model's servers. A step begins when the previous one has run for
// SoakTime without a fault. Faults are orders that fail repeatedly and those that the
// caller reports with ReportFault. A fault halts the rollout: the servers with the new
// version return to the previous one until the configuration names another version.
// The halt is not recorded, so that a later owner tries one server again.
package placement
