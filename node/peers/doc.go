// Package peers coordinates how the instances distribute requests among the servers.
//
// A few instances act as hubs: those that rank first among the live instances. Every
// instance reports its load, the requests that it has in flight on each server, to the
// first two hubs, and asks the first one which server to use. The hub counts the slots
// that it grants, so that instances do not send their requests to the same free slot. A
// hub reports the total load and the live instances to all instances that report to it.
//
// Any instance can be a hub, because a hub keeps no state that its peers do not report
// again. Correctness does not depend on hubs: without a response within a few
// milliseconds an instance decides by its own view, and a lost datagram at most makes the
// load less balanced or an item run twice. Instances discover each other through a topic
// of the platform's store.
package peers
