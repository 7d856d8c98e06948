// Package balance chooses the backend server for a request from what one instance
// knows: its own requests in flight, those that its peers report, and the recent
// outcomes and response times of each server.
//
// An instance that acts as a hub (see node/peers) picks servers for other instances too
// and counts the slots that it grants; its Table then has the load of all instances.
// node/serve is built on this package; node/instance uses package route instead.
//
// It does no I/O and reads no clock: times and random numbers are arguments. A
// Table is not safe for concurrent use.
package balance
