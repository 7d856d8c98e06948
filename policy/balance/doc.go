// Package balance chooses the backend server for a request from what one instance
// knows: its own requests in flight, those that its peers report, and the recent
// outcomes and response times of each server.
//
// It does no I/O and reads no clock: times and random numbers are arguments. A
// Table is not safe for concurrent use.
package balance
