// Package promptcache estimates which prompt segments the servers of one service keep in their KV
// caches, from the requests that were placed on them. It decides nothing: policy/balance
// weighs the tokens that a server need not read against its load. Homes gives an instance that
// does not know all placements a stable choice of servers.
package promptcache
