// Package peers lets the instances tell each other, in datagrams, what they have
// in flight on each server, and ask each other for the slots of batch requests.
//
// Nothing that has to be right depends on it: a lost or late datagram costs some
// balance of load, or an item that runs twice. Instances find each other in a
// topic of the platform's store.
package peers
