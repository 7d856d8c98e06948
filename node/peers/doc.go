// Package peers lets the instances share the figures on which they place requests.
//
// A few instances act as hubs: those that rank first among the instances that are
// thought to be alive. Every instance states to the first two hubs what it has in
// flight on each server, and asks the first one which server to use; the hub counts
// what it grants, so that instances do not send their requests to the same free
// slot. A hub states the totals and the instances that it hears to all of them.
//
// Any instance can be a hub; a hub keeps nothing that its peers do not state again.
// Nothing that has to be right depends on it: without an answer within a few
// milliseconds an instance decides on its own figures, and a lost datagram costs
// some balance of load, or an item that runs twice. Instances find each other in a
// topic of the platform's store.
package peers
