// Package route selects the backend server for a request.
//
// A Table is the routing table of one instance: the servers that the instance
// may use and what it knows of each. Events update it: a dispatch, a first
// token, the end of an answer, a load report, cache events. Pick filters the
// servers, scores a few of them and returns the best. The package does no I/O
// and reads no clock; times and random numbers are passed as arguments. A Table
// is not safe for concurrent use. Pick does not allocate.
//
// node/instance is built on this package; node/serve uses package balance instead.
package route
