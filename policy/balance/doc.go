// Package balance chooses the backend server for a request from what one instance
// knows: its own requests in flight, those that its peers state, and how each
// server has answered lately.
//
// It does no I/O and reads no clock: times and random numbers are arguments. A
// Table is not safe for concurrent use.
package balance
