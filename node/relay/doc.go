// Package relay lets an instance that does not reach the platform's store make its
// calls through another instance that does.
//
// A Store is a port.Store with several paths. Its own path comes first. A call that
// fails there, or stays without an answer for several times the usual time, is made
// again through a peer. Calls may thus be made twice; what the project writes is
// void or harmless when it stands twice. Package policy/reach decides on paths.
package relay
