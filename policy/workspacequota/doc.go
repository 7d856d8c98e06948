// Package workspacequota keeps the online requests of each workspace, over all instances
// together, within its quota: a rate and a burst.
//
// Every instance counts the requests that it sends, by workspace, and reports the counts to the
// two hubs. A hub grants a request if, with it, no window up to Window that ends now holds more
// requests than the rate allows in that time and the burst. As the decision rests on the counts
// of all instances, a hub that takes over decides as the one before it.
//
// Some of the requests sent may be unknown to a hub. If it has lost other instances, these may
// be cut off and have a hub of their own, so that it grants only the share of the instances that
// it hears. If most instances have just started, it takes the quota as used up before that. An
// instance whose hubs do not reply decides alone, within the share of the workspace's requests
// that it sent itself and a small base share.
//
// The package does no I/O and reads no clock. A Table is not safe for concurrent use.
package workspacequota
