// Package gateway forwards callers' requests to backend servers.
//
// A request is retried only if the kind of its route allows it or the server stated
// that it did not run it. Responses are forwarded unchanged: a stream event by event,
// any other response once it has been received in full, unless it is too large to be
// buffered. A stream of a resumable route that breaks is continued on another server
// within the same response. A request that cannot be served is rejected at once.
package gateway
