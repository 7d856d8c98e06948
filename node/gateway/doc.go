// Package gateway forwards callers' requests to backend servers.
//
// A request is repeated only when its kind allows it or when the server stated
// that it did not run it. Answers are passed on unchanged: a plain answer after
// the whole of it has arrived, a stream event by event. A stream of a resumable
// route goes on at another server within the same answer. A request that cannot be
// served gets its final answer at once.
package gateway
