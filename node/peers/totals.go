package peers

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthnotch/jacinthnotch/policy/balance"
)

// maxPackedCount is the largest number of requests of a class that a packed load states.
const maxPackedCount = 15

// totals is a hub's report on the load of all servers.
type totals struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Servers is the digest of the list of servers to which Packed refers.
	Servers uint64
	// Packed holds a byte for each server in the order of the hashes of the ids: the
	// online requests in the low half and the batch requests in the high half.
	Packed []byte
}

// serverList holds the registered servers by the hashes of their ids.
type serverList struct {
	// version is that of the view that the list was made from.
	version uint64
	byHash  map[uint32]string
	// ambiguous are the ids that share a hash with another one. They are not in byHash.
	ambiguous []string
	// order holds the ids in the order of their hashes, and digest identifies it.
	order  []string
	digest uint64
}

func newServerList(version uint64, ids []string) serverList {
	l := serverList{version: version, byHash: make(map[uint32]string, len(ids)), order: slices.Clone(ids)}
	idsOf := make(map[uint32][]string, len(ids))
	for _, id := range ids {
		idsOf[hash(id)] = append(idsOf[hash(id)], id)
	}
	for h, same := range idsOf {
		if len(same) == 1 {
			l.byHash[h] = same[0]
		} else {
			l.ambiguous = append(l.ambiguous, same...)
		}
	}
	slices.SortFunc(l.order, func(a, b string) int { return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b)) })
	digest := xxhash.New()
	for _, id := range l.order {
		var raw [4]byte
		binary.BigEndian.PutUint32(raw[:], hash(id))
		_, _ = digest.Write(raw[:]) // a hash returns no error
	}
	l.digest = digest.Sum64()
	return l
}

// encodeTotals returns the report of a hub on the load of the servers.
func (l serverList) encodeTotals(hub string, loads map[string]balance.Load) *totals {
	report := &totals{Name: hub, Servers: l.digest, Packed: make([]byte, len(l.order))}
	for i, id := range l.order {
		c := loads[id].Counts
		report.Packed[i] = byte(min(maxPackedCount, c[balance.Online]) | min(maxPackedCount, c[balance.Batch])<<4)
	}
	return report
}

// decodeTotals returns the load by server. It returns false if the report refers to
// another list of servers.
func (l serverList) decodeTotals(report *totals) (map[string]balance.Load, bool) {
	if report.Servers != l.digest || len(report.Packed) != len(l.order) {
		return nil, false
	}
	loads := make(map[string]balance.Load, len(l.order))
	for i, packed := range report.Packed {
		if packed != 0 {
			loads[l.order[i]] = balance.Load{Counts: balance.Counts{balance.Online: int(packed & maxPackedCount), balance.Batch: int(packed >> 4)}}
		}
	}
	return loads, true
}

// serverIDs returns the list of the registered servers. The lock must be held.
func (g *Group) serverIDs() serverList {
	if version := g.opt.View.ServersVersion(); g.servers.byHash == nil || version != g.servers.version {
		g.servers = newServerList(version, g.opt.View.ServerIDs())
	}
	return g.servers
}

// ambiguousServers returns the ids of the servers that no datagram can name.
func (g *Group) ambiguousServers() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serverIDs().ambiguous
}

// serverID returns the id of the server with a hash, or "" if none is registered or several are.
func (g *Group) serverID(h uint32) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serverIDs().byHash[h]
}
