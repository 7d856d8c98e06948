// Package fairshare decides which online requests of a service are rejected while the service
// has too little room for all of them, so that the others find short queues.
//
// A Controller counts, with exponential decay, the work that each workspace asked for and was
// granted at each priority. While requests are expected to wait for longer than their latency
// objective allows, it divides the work that the servers finish: more urgent priorities first,
// but with a minimum for all of them, and within a priority by weighted max-min fairness over
// the workspaces that ask now, with a minimum in proportion to what they ask. A request is
// rejected if its workspace was granted its share already. Its size counts only after its
// admission, so that large requests are admitted as often as small ones.
//
// A rejected request gets the time of a turn of its own, later than those given to requests of
// its workspace before it. A session that returns at its turn goes before new sessions.
//
// The package does no I/O and reads no clock. A Controller is not safe for concurrent use.
package fairshare
